#include "rate_sharing.hpp"

#include "rendezvous.hpp"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace cardamompond::fleet {
namespace {

// Daemons beyond the requests per second that may share a rate. Each may send one request at any moment, so
// that this is also the most by which a burst exceeds the rate.
constexpr double additional_daemons = 3;

constexpr double max_interval_s = 600;

// Returns the sum of the demands of the `count` daemons that rank highest.
double sum_highest_ranked(std::span<const sharing_daemon> daemons, std::uint64_t server, std::size_t count) {
  std::vector<std::pair<std::uint64_t, double>> ranked;
  ranked.reserve(daemons.size());
  for (const auto& each : daemons) {
    ranked.emplace_back(rendezvous_weight(each.m_hash, server), each.m_demand);
  }
  if (count < ranked.size()) {
    std::nth_element(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count), ranked.end(),
                     std::greater<>());
    ranked.resize(count);
  }
  double sum = 0;
  for (const auto& [weight, demand] : ranked) {
    sum += demand;
  }
  return sum;
}

} // namespace

std::size_t max_sending_daemons(double requests_per_s, double live_share) {
  return static_cast<std::size_t>(
      std::max(1.0, std::floor((std::floor(requests_per_s) + additional_daemons) * live_share)));
}

std::optional<duration> find_sending_interval(std::uint64_t server, double requests_per_s,
                                              std::size_t max_daemons, const sharing_group& group) {
  const auto& [self, self_preferred, preferred, others] = group;
  if (self.m_demand <= 0 || max_daemons == 0) {
    return std::nullopt;
  }
  // Most daemons do not send, which a few comparisons show.
  const std::size_t places =
      self_preferred ? max_daemons : max_daemons - std::min(max_daemons, preferred.size());
  if (places == 0 || count_higher_ranked(self_preferred ? preferred : others, self.m_hash, server, places,
                                         &sharing_daemon::m_hash) >= places) {
    return std::nullopt;
  }
  const std::size_t remaining = max_daemons - 1;
  double demand = self.m_demand + sum_highest_ranked(preferred, server, remaining);
  if (remaining > preferred.size()) {
    demand += sum_highest_ranked(others, server, remaining - preferred.size());
  }
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(std::min(max_interval_s, demand / (requests_per_s * self.m_demand))));
}

} // namespace cardamompond::fleet
