#include "cardamompond/fleet/version_evidence.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <optional>

namespace cardamompond::fleet {
namespace {

// Bins of a timing: eight for each doubling, from 1/16 to 64 times the time of a server of the assumed speed.
constexpr int bins_per_octave = 8;
constexpr int bin_count = 80;
constexpr int first_bin = -4 * bins_per_octave;

// A deviation of a response from the level of its server lies within this many bins of 0.
constexpr int max_deviation = bin_count;
constexpr std::size_t deviation_count = 2 * max_deviation + 1;

// With fewer responses of the old version, nothing is concluded.
constexpr std::size_t min_old_samples = 20;

// The level of a server of the old version is used if at least this many of its responses are known.
constexpr std::size_t min_samples_per_server = 2;

// Prior of the increase per running request in bins, and its weight as a sum of squares of running requests.
constexpr double prior_load_slope = 0.04 * bins_per_octave;
constexpr double prior_load_weight = 100;
constexpr double max_load_slope = 0.12 * bins_per_octave;

// Part of all responses and of all servers that may lie anywhere, so that no single one decides.
constexpr double outlier_share = 0.03;
constexpr double unlike_server_share = 0.1;

// Weight, in responses, of the distribution that is assumed for deviations, and its scale in bins.
constexpr double prior_samples = 6;
constexpr double prior_scale = 1.5;

// Differences of the speed of a version in bins, up to which it is not slower than the old one.
constexpr int min_good_shift = -16;
constexpr int max_good_shift = 1;

// Slower versions: a share of the responses takes longer by a number of bins.
struct slowdown {
  double m_share;
  int m_shift;
};
constexpr std::array<slowdown, 16> slowdowns = {{{1, 3},
                                                 {1, 4},
                                                 {1, 5},
                                                 {1, 6},
                                                 {1, 8},
                                                 {1, 10},
                                                 {1, 13},
                                                 {1, 18},
                                                 {0.25, 8},
                                                 {0.25, 13},
                                                 {0.25, 18},
                                                 {0.25, 24},
                                                 {0.6, 8},
                                                 {0.6, 13},
                                                 {0.6, 18},
                                                 {0.6, 24}}};

using log_table = std::array<double, bin_count>;

struct observation {
  std::uint16_t m_server;
  const std::string* m_route;
  int m_bin;
  double m_running;
};

std::vector<observation> collect(const timings_by_route& timings, std::uint8_t response_timing::*field) {
  std::vector<observation> all;
  for (const auto& [route, responses] : timings) {
    for (const auto& each : responses) {
      if (each.*field < bin_count) {
        all.push_back({each.m_server, &route, each.*field, static_cast<double>(each.m_running)});
      }
    }
  }
  return all;
}

// The distribution of the times of the old version.
struct timing_model {
  double m_load_slope = 0;  // bins for each running request
  log_table m_log_levels{}; // logarithm of the density of the levels of the servers
  std::map<std::string, std::array<double, deviation_count>> m_deviations; // density, by route
};

double fit_load_slope(const std::map<std::uint16_t, std::vector<const observation*>>& by_server) {
  double squares = prior_load_weight;
  double products = prior_load_weight * prior_load_slope;
  for (const auto& [server, responses] : by_server) {
    double running = 0;
    double bins = 0;
    for (const auto* each : responses) {
      running += each->m_running;
      bins += each->m_bin;
    }
    const auto count = static_cast<double>(responses.size());
    for (const auto* each : responses) {
      const double difference = each->m_running - running / count;
      squares += difference * difference;
      products += difference * (each->m_bin - bins / count);
    }
  }
  return std::clamp(products / squares, 0.0, max_load_slope);
}

double median(std::vector<double> values) {
  const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

void add_kernel(std::span<double> density, double position, double weight) {
  constexpr std::array<double, 5> kernel = {0.06, 0.24, 0.4, 0.24, 0.06};
  const auto center = static_cast<int>(std::lround(position));
  for (int i = 0; i < static_cast<int>(kernel.size()); ++i) {
    const int index = std::clamp(center + i - 2, 0, static_cast<int>(density.size()) - 1);
    density[static_cast<std::size_t>(index)] += weight * kernel[static_cast<std::size_t>(i)];
  }
}

std::size_t deviation_index(int deviation) {
  const int index = deviation + max_deviation;
  return static_cast<std::size_t>(index);
}

std::array<double, deviation_count> make_deviation_density(const std::vector<double>& deviations) {
  std::array<double, deviation_count> density{};
  double prior_sum = 0;
  for (int i = -max_deviation; i <= max_deviation; ++i) {
    prior_sum += std::exp(-std::abs(i) / prior_scale);
  }
  const double weight = static_cast<double>(deviations.size()) + prior_samples;
  for (const double each : deviations) {
    add_kernel(density, each + max_deviation, 1);
  }
  for (int i = -max_deviation; i <= max_deviation; ++i) {
    double& each = density[deviation_index(i)];
    each = (each + prior_samples * std::exp(-std::abs(i) / prior_scale) / prior_sum) / weight;
    each = (1 - outlier_share) * each + outlier_share / deviation_count;
  }
  return density;
}

timing_model fit_model(const std::vector<observation>& old_version) {
  std::map<std::uint16_t, std::vector<const observation*>> by_server;
  for (const auto& each : old_version) {
    by_server[each.m_server].push_back(&each);
  }
  timing_model model;
  model.m_load_slope = fit_load_slope(by_server);
  std::map<std::string, std::vector<double>> deviations;
  std::array<double, bin_count> levels{};
  double server_count = 0;
  for (const auto& [server, responses] : by_server) {
    if (responses.size() < min_samples_per_server) {
      continue;
    }
    std::vector<double> unloaded;
    for (const auto* each : responses) {
      unloaded.push_back(each->m_bin - model.m_load_slope * each->m_running);
    }
    const double level = median(unloaded);
    ++server_count;
    add_kernel(levels, level, 1);
    // The median follows its own responses, the more so the fewer they are.
    const auto count = static_cast<double>(responses.size());
    const double widening = std::sqrt(count / (count - 1));
    for (std::size_t i = 0; i < responses.size(); ++i) {
      deviations[*responses[i]->m_route].push_back((unloaded[i] - level) * widening);
    }
  }
  for (std::size_t i = 0; i < levels.size(); ++i) {
    model.m_log_levels[i] =
        std::log(server_count == 0 ? 1.0 / bin_count
                                   : (1 - unlike_server_share) * levels[i] / server_count +
                                         unlike_server_share / bin_count);
  }
  for (const auto& [route, values] : deviations) {
    model.m_deviations.emplace(route, make_deviation_density(values));
  }
  return model;
}

double density_at(const std::array<double, deviation_count>& density, int deviation) {
  return density[deviation_index(std::clamp(deviation, -max_deviation, max_deviation))];
}

double log_sum(std::span<const double> logs) {
  const double largest = *std::max_element(logs.begin(), logs.end());
  double sum = 0;
  constexpr double negligible = -30;
  for (const double each : logs) {
    sum += each - largest > negligible ? std::exp(each - largest) : 0;
  }
  return largest + std::log(sum);
}

// Logarithms of the densities of the deviations of a route, if the target is as fast as the old version and
// for each slowdown.
struct deviation_logs {
  std::array<double, deviation_count> m_good{};
  std::array<std::array<double, deviation_count>, slowdowns.size()> m_slow{};
};

deviation_logs make_deviation_logs(const std::array<double, deviation_count>& density) {
  deviation_logs logs;
  for (int deviation = -max_deviation; deviation <= max_deviation; ++deviation) {
    const std::size_t index = deviation_index(deviation);
    logs.m_good[index] = std::log(density[index]);
    for (std::size_t i = 0; i < slowdowns.size(); ++i) {
      const auto& [share, shift] = slowdowns[i];
      logs.m_slow[i][index] =
          std::log((1 - share) * density[index] + share * density_at(density, deviation - shift));
    }
  }
  return logs;
}

// Log-likelihoods of the responses of one server of the target, for each level of the server.
class server_likelihood {
public:
  server_likelihood(const timing_model& model, std::size_t route_count)
      : m_model(model)
      , m_good(route_count)
      , m_slow(route_count) {}

  void add(std::size_t route, const deviation_logs& logs, int bin) {
    for (int level = 0; level < bin_count; ++level) {
      m_good[route][static_cast<std::size_t>(level)] += density_at(logs.m_good, bin - level);
      for (std::size_t i = 0; i < slowdowns.size(); ++i) {
        m_slow[route][i][static_cast<std::size_t>(level)] += density_at(logs.m_slow[i], bin - level);
      }
    }
  }

  // The likelihood if all levels differ by `shift` bins from those of the old version.
  double good(int shift) const {
    return sum_over_levels(
        [&](std::size_t level) {
          double sum = 0;
          for (const auto& each : m_good) {
            sum += each[level];
          }
          return sum;
        },
        shift);
  }

  // The likelihood if one route, or all if there is none, is slow.
  double slow(std::size_t index, std::optional<std::size_t> slow_route) const {
    return sum_over_levels(
        [&](std::size_t level) {
          double sum = 0;
          for (std::size_t route = 0; route < m_good.size(); ++route) {
            sum += !slow_route || *slow_route == route ? m_slow[route][index][level] : m_good[route][level];
          }
          return sum;
        },
        0);
  }

private:
  template <typename Log> double sum_over_levels(Log log_at, int shift) const {
    log_table logs;
    for (int level = 0; level < bin_count; ++level) {
      const int unshifted = std::clamp(level - shift, 0, bin_count - 1);
      logs[static_cast<std::size_t>(level)] =
          m_model.m_log_levels[static_cast<std::size_t>(unshifted)] + log_at(static_cast<std::size_t>(level));
    }
    return log_sum(logs);
  }

  const timing_model& m_model;
  std::vector<log_table> m_good; // by route
  std::vector<std::array<log_table, slowdowns.size()>> m_slow;
};

std::optional<double> compare(const timings_by_route& old_version, const timings_by_route& target,
                              std::uint8_t response_timing::*field) {
  const auto old_responses = collect(old_version, field);
  const auto responses = collect(target, field);
  if (old_responses.size() < min_old_samples || responses.empty()) {
    return std::nullopt;
  }
  const timing_model model = fit_model(old_responses);
  std::map<std::string, std::size_t> routes;
  std::vector<deviation_logs> logs; // by route
  for (const auto& each : responses) {
    if (const auto density = model.m_deviations.find(*each.m_route);
        density != model.m_deviations.end() && routes.emplace(*each.m_route, routes.size()).second) {
      logs.push_back(make_deviation_logs(density->second));
    }
  }
  std::map<std::uint16_t, server_likelihood> servers;
  for (const auto& each : responses) {
    if (const auto route = routes.find(*each.m_route); route != routes.end()) {
      const auto [server, added] = servers.try_emplace(each.m_server, model, routes.size());
      const auto bin = static_cast<int>(std::lround(each.m_bin - model.m_load_slope * each.m_running));
      server->second.add(route->second, logs[route->second], bin);
    }
  }
  if (servers.empty()) {
    return std::nullopt;
  }
  double good = -std::numeric_limits<double>::infinity();
  for (int shift = min_good_shift; shift <= max_good_shift; ++shift) {
    double sum = 0;
    for (const auto& [id, server] : servers) {
      sum += server.good(shift);
    }
    good = std::max(good, sum);
  }
  std::vector<double> slow;
  for (std::size_t i = 0; i < slowdowns.size(); ++i) {
    for (std::size_t scope = 0; scope <= (routes.size() > 1 ? routes.size() : 0); ++scope) {
      const auto slow_route = scope == 0 ? std::nullopt : std::optional(scope - 1);
      double sum = 0;
      for (const auto& [id, server] : servers) {
        sum += server.slow(i, slow_route);
      }
      slow.push_back(sum);
    }
  }
  return log_sum(slow) - std::log(static_cast<double>(slow.size())) - good;
}

} // namespace

std::uint8_t timing_bin(double observed_s, double expected_s) {
  if (!(observed_s > 0) || !(expected_s > 0)) {
    return 0;
  }
  const double bin = std::log2(observed_s / expected_s) * bins_per_octave - first_bin;
  return static_cast<std::uint8_t>(std::clamp(std::lround(bin), 0L, static_cast<long>(bin_count) - 1));
}

slowness_evidence compare_timings(const timings_by_route& old_version, const timings_by_route& target) {
  slowness_evidence evidence;
  for (const auto& [route, responses] : old_version) {
    evidence.m_old_samples += responses.size();
  }
  for (const auto& [route, responses] : target) {
    evidence.m_target_samples += responses.size();
  }
  const auto first = compare(old_version, target, &response_timing::m_first);
  const auto gap = compare(old_version, target, &response_timing::m_gap);
  if (first && gap) {
    // Both describe the same responses, so the mean of the ratios is used rather than the product.
    const std::array<double, 2> both = {*first, *gap};
    evidence.m_log_ratio = log_sum(both) - std::log(2.0);
  } else {
    evidence.m_log_ratio = first.value_or(gap.value_or(0));
  }
  return evidence;
}

} // namespace cardamompond::fleet
