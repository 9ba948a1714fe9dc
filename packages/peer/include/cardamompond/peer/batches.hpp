#pragma once

#include "cardamompond/core/time.hpp"
#include "cardamompond/scheduler/decisions.hpp"
#include "cardamompond/scheduler/events.hpp"

#include <cstdint>
#include <vector>

namespace cardamompond::peer {

// A batch of scheduler events that a member sends to the owner of an epoch. Only events about requests are
// sent between daemons.
struct event_batch {
  std::uint64_t m_epoch = 0;
  std::uint64_t m_sequence = 0;
  std::uint64_t m_daemon_key = 0; // request_key::m_daemon of the sending incarnation
  time_point m_timestamp;         // the sender's clock when it sent the batch
  std::vector<scheduler::event> m_events;
};

// A batch of decisions that the owner sends to the member whose requests they concern. Permit expiry times
// are sent relative to the latest timestamp received from that member. Network delay therefore shortens the
// validity of a permit and never extends it.
struct decision_batch {
  std::uint64_t m_epoch = 0;
  std::uint64_t m_sequence = 0;
  time_point m_timestamp;             // the latest timestamp received from the member, on the member's clock
  time_point m_timestamp_received_at; // the owner's clock when the timestamp arrived; not sent
  std::vector<scheduler::decision> m_decisions;
};

// The receiver's reply to an event batch or a decision batch.
struct batch_reply {
  bool m_accepted = false;
  std::uint64_t m_acknowledged = 0; // highest sequence number received without a gap
};

} // namespace cardamompond::peer
