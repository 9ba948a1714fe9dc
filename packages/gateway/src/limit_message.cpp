#include "limit_message.hpp"

#include "cardamompond/gateway/peer_report.hpp"
#include "cardamompond/gateway/request_protocol.hpp"

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace cardamompond::gateway {
namespace {

// Rates are sent in thousandths of a request per second, since the usual ones then take two bytes.
constexpr double rate_units = 1'000;

// An older statement is as good as one of this age.
constexpr milliseconds max_statement_age = std::chrono::minutes(60);

bool is_rate(double requests_per_s) {
  return std::isfinite(requests_per_s) && requests_per_s >= 0;
}

std::uint32_t to_wire_rate(double requests_per_s) {
  return static_cast<std::uint32_t>(std::lround(std::min(requests_per_s, max_stated_limit) * rate_units));
}

double from_wire_rate(std::uint32_t rate) {
  return std::min(rate / rate_units, max_stated_limit);
}

// Returns the first max_reported_limits entries that are valid.
template <typename T, typename Valid> std::vector<T> select_valid(std::span<const T> from, Valid is_valid) {
  std::vector<T> valid;
  for (const auto& each : from) {
    if (valid.size() < max_reported_limits && is_valid(each)) {
      valid.push_back(each);
    }
  }
  return valid;
}

std::uint32_t to_wire_age(duration age) {
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(
      std::chrono::duration_cast<milliseconds>(age).count(), 0, max_statement_age.count()));
}

} // namespace

void encode_limits(std::span<const fleet::limit_statement> from, wire::Report::Builder to) {
  const auto valid = select_valid(from, [](const fleet::limit_statement& each) {
    return !each.m_requests_per_s || is_rate(*each.m_requests_per_s);
  });
  if (valid.empty()) {
    return;
  }
  auto list = to.initLimits(static_cast<unsigned>(valid.size()));
  for (unsigned i = 0; i < list.size(); ++i) {
    const auto& [server, instance, requests_per_s, age] = valid[i];
    list[i].setServer(server);
    list[i].setInstance(instance);
    list[i].setLimit(requests_per_s ? 1 + to_wire_rate(*requests_per_s) : 0);
    list[i].setAgeMs(to_wire_age(age));
  }
}

void encode_demands(std::span<const fleet::service_demand> from, wire::Report::Builder to) {
  const auto valid =
      select_valid(from, [](const fleet::service_demand& each) { return is_rate(each.m_requests_per_s); });
  if (valid.empty()) {
    return;
  }
  auto list = to.initDemands(static_cast<unsigned>(valid.size()));
  for (unsigned i = 0; i < list.size(); ++i) {
    list[i].setService(valid[i].m_service);
    list[i].setDemand(to_wire_rate(valid[i].m_requests_per_s));
  }
}

void encode_brittle(std::span<const fleet::brittle_statement> from, wire::Report::Builder to) {
  if (from.empty()) {
    return;
  }
  auto list = to.initBrittle(static_cast<unsigned>(std::min(from.size(), max_reported_limits)));
  for (unsigned i = 0; i < list.size(); ++i) {
    const auto& [server, instance, max_rejections, age, rejections] = from[i];
    list[i].setServer(server);
    list[i].setInstance(instance);
    list[i].setMaxRejections(static_cast<std::uint16_t>(
        max_rejections ? 1 + std::min(*max_rejections, max_stated_rejections) : 0));
    list[i].setAgeMs(to_wire_age(age));
    list[i].setRejections(static_cast<std::uint16_t>(std::min(rejections, max_stated_rejections)));
  }
}

std::vector<fleet::limit_statement> read_limits(wire::Report::Reader from) {
  std::vector<fleet::limit_statement> limits;
  for (const auto& each : from.getLimits()) {
    if (limits.size() == max_reported_limits) {
      break;
    }
    limits.push_back(
        {each.getServer(), each.getInstance(),
         each.getLimit() == 0 ? std::nullopt : std::optional(from_wire_rate(each.getLimit() - 1)),
         std::min(milliseconds(each.getAgeMs()), max_statement_age)});
  }
  return limits;
}

std::vector<fleet::service_demand> read_demands(wire::Report::Reader from) {
  std::vector<fleet::service_demand> demands;
  for (const auto& each : from.getDemands()) {
    if (demands.size() == max_reported_limits) {
      break;
    }
    demands.push_back({each.getService(), from_wire_rate(each.getDemand())});
  }
  return demands;
}

std::vector<fleet::brittle_statement> read_brittle(wire::Report::Reader from) {
  std::vector<fleet::brittle_statement> brittle;
  for (const auto& each : from.getBrittle()) {
    if (brittle.size() == max_reported_limits) {
      break;
    }
    const auto max_rejections = each.getMaxRejections() == 0
                                    ? std::nullopt
                                    : std::optional<std::uint32_t>(each.getMaxRejections() - 1U);
    brittle.push_back({each.getServer(), each.getInstance(), max_rejections,
                       std::min(milliseconds(each.getAgeMs()), max_statement_age), each.getRejections()});
  }
  return brittle;
}

} // namespace cardamompond::gateway
