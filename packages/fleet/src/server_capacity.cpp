#include "cardamompond/fleet/server_capacity.hpp"

#include <algorithm>
#include <cmath>

namespace cardamompond::fleet {
namespace {

// Evidence loses its weight within this time, so that requests beyond a limit are tried anew after some time
// without them.
constexpr double evidence_time_s = 10;

// Observations after which the mean of a class counts, and upper bound of its weight.
constexpr double min_weight = 3;
constexpr double max_weight = 30;

// Part of the deviation of an observation from the mean of its class that is attributed to all classes.
// Requests at the same number of running ones took another time before, so the machine itself has changed.
constexpr double common_share = 0.5;

// A server is saturated if it turns less than this share of additional requests into throughput. The number
// of requests must grow by at least the given ratio, as smaller differences are within the noise.
constexpr double saturation_share = 0.4;
constexpr double min_ratio = 1.25;

// A difference must be this many times its standard error, because limits of many servers are judged several
// times a second.
constexpr double standard_errors = 2.5;

// Weight of an observation in the variance.
constexpr double variance_weight = 0.05;

// Smallest limit, as a share of the slots, so that requests go on showing how the server is.
constexpr double min_limit_share = 0.25;

// Bounds of the relative time, so that a few observations cannot rule a server out.
constexpr double min_relative_time = 0.5;
constexpr double max_relative_time = 4;

} // namespace

void server_capacity::set_slots(std::uint32_t slots) {
  if (slots != m_slots) {
    m_slots = slots;
    m_classes = {};
  }
}

std::size_t server_capacity::class_count() const {
  return std::min<std::size_t>(m_slots, max_classes);
}

std::size_t server_capacity::class_of(std::uint32_t running) const {
  const std::uint64_t number = std::clamp<std::uint64_t>(running, 1, m_slots);
  return static_cast<std::size_t>((number * class_count() + m_slots - 1) / m_slots) - 1;
}

double server_capacity::running_of(std::size_t index) const {
  return std::floor(static_cast<double>(index + 1) * m_slots / static_cast<double>(class_count()));
}

double server_capacity::weight(std::size_t index, time_point now) const {
  const double age = std::chrono::duration<double>(now - m_classes[index].m_last).count();
  return m_classes[index].m_weight * std::clamp(1 - age / evidence_time_s, 0.0, 1.0);
}

void server_capacity::record(std::uint32_t running, double seconds, time_point now) {
  if (m_slots == 0 || running == 0 || !std::isfinite(seconds) || seconds <= 0) {
    return;
  }
  const std::size_t index = class_of(running);
  observations& observed = m_classes[index];
  const double log_time = std::log(seconds);
  if (observed.m_count == 0) {
    observed = {1, 1, now, log_time};
    return;
  }
  // The mean of a class without recent evidence has followed the common changes and still counts a little, so
  // that a change of the machine in the meantime is not taken for an effect of the running requests.
  const double old_weight = std::max(1.0, weight(index, now));
  const double deviation = log_time - observed.m_log_time;
  const double common = common_share * std::min(1.0, observed.m_count / min_weight) * deviation;
  for (std::size_t i = 0; i < class_count(); ++i) {
    m_classes[i].m_log_time += common;
  }
  if (old_weight >= min_weight) {
    m_variance += variance_weight * (deviation * deviation - m_variance);
  }
  observed.m_log_time += (deviation - common) / (old_weight + 1);
  observed.m_weight = std::min(old_weight + 1, max_weight);
  observed.m_count += 1;
  observed.m_last = now;
}

// Whether more requests than those of the class add little throughput, by all that was observed.
bool server_capacity::saturates_at(std::size_t index, time_point now) const {
  const double running = running_of(index);
  double weights = 0;
  double sum = 0; // of the logarithms of the throughput relative to that of a saturated server
  for (std::size_t more = index + 1; more < class_count(); ++more) {
    const double ratio = running_of(more) / running;
    const double class_weight = weight(more, now);
    if (ratio < min_ratio || class_weight < min_weight) {
      continue;
    }
    const double excess = std::log(ratio) + m_classes[index].m_log_time - m_classes[more].m_log_time -
                          std::log(1 + saturation_share * (ratio - 1));
    if (excess > standard_errors * standard_error(weight(index, now), class_weight)) {
      return false;
    }
    weights += class_weight;
    sum += class_weight * excess;
  }
  return weights > 0 && sum / weights < -standard_errors * standard_error(weight(index, now), weights);
}

double server_capacity::standard_error(double first_weight, double second_weight) const {
  return std::sqrt(m_variance * (1 / first_weight + 1 / second_weight));
}

std::optional<std::uint32_t> server_capacity::learned_limit(time_point now) const {
  bool has_evidence = false;
  for (std::size_t i = 0; i < class_count(); ++i) {
    if (weight(i, now) < min_weight) {
      continue;
    }
    has_evidence = true;
    if (running_of(i) >= min_limit_share * m_slots && saturates_at(i, now)) {
      return static_cast<std::uint32_t>(running_of(i));
    }
  }
  return has_evidence ? std::optional(m_slots) : std::nullopt;
}

double server_capacity::relative_time(std::uint32_t running, time_point now) const {
  if (m_slots == 0) {
    return 1;
  }
  // The nearest class with evidence stands for those without.
  const std::size_t wanted = class_of(running);
  std::optional<std::size_t> nearest;
  double sum = 0;
  double weights = 0;
  const auto distance = [&](std::size_t index) { return index > wanted ? index - wanted : wanted - index; };
  for (std::size_t i = 0; i < class_count(); ++i) {
    const double class_weight = weight(i, now);
    if (class_weight < min_weight) {
      continue;
    }
    sum += class_weight * m_classes[i].m_log_time;
    weights += class_weight;
    if (!nearest || distance(i) < distance(*nearest)) {
      nearest = i;
    }
  }
  return nearest ? std::clamp(std::exp(m_classes[*nearest].m_log_time - sum / weights), min_relative_time,
                              max_relative_time)
                 : 1;
}

} // namespace cardamompond::fleet
