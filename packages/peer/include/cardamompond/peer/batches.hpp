#pragma once

#include "cardamompond/core/time.hpp"
#include "cardamompond/scheduler/decisions.hpp"
#include "cardamompond/scheduler/events.hpp"

#include <cstdint>
#include <vector>

namespace cardamompond::peer {

// Events of a member on their way to the owner of an epoch. Only events about requests travel between
// daemons.
struct event_batch {
  std::uint64_t m_epoch = 0;
  std::uint64_t m_sequence = 0;
  std::uint64_t m_daemon_key = 0; // request_key::m_daemon of the sending incarnation
  time_point m_timestamp;         // the sender's clock when the batch was sent
  std::vector<scheduler::event> m_events;
};

// Decisions of the owner on their way to the member that asked. Expiry times are sent relative to the latest
// mark received from that member, so that a permit never lives longer than the owner meant, whatever the
// delay.
struct decision_batch {
  std::uint64_t m_epoch = 0;
  std::uint64_t m_sequence = 0;
  time_point m_timestamp;             // the member's own clock, as it sent it
  time_point m_timestamp_received_at; // the owner's clock when the mark arrived; not sent
  std::vector<scheduler::decision> m_decisions;
};

// Answer to a batch.
struct batch_reply {
  bool m_accepted = false;
  std::uint64_t m_acknowledged = 0; // highest sequence number received without a gap
};

} // namespace cardamompond::peer
