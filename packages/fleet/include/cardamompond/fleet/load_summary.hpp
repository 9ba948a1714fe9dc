#pragma once

#include "cardamompond/fleet/blocked_requests.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace cardamompond::fleet {

// Classes of waiting requests in the order in which they are served: the urgency levels of those that can
// still be on time, then late ones whose caller has returned after a refusal, then the other late ones.
inline constexpr std::size_t returned_class = urgency_levels;
inline constexpr std::size_t late_class = urgency_levels + 1;
inline constexpr std::size_t request_classes = urgency_levels + 2;

// Amounts of work by class. Work is the time in milliseconds for which a request will probably occupy a slot
// of a typical server.
using work_by_class = std::array<std::uint32_t, request_classes>;
using work_by_level = std::array<std::uint32_t, urgency_levels>;

// What one daemon reports about the load of one service. Totals count from the start of the daemon and wrap
// around, so that lost and repeated reports do no harm.
struct load_summary {
  std::uint32_t m_service = 0;            // service_hash of the service
  work_by_class m_waiting{};              // at present
  bool m_has_totals = false;              // the totals below are included; they are reported less often
  work_by_level m_arrived{};              // of requests that were on time when they came
  work_by_level m_granted{};              // of all granted requests, late ones too
  work_by_level m_blocked_within_share{}; // number of blocked requests of accounts within their fair share
};

// Short identifier of a service in reports.
std::uint32_t service_hash(std::string_view service);

} // namespace cardamompond::fleet
