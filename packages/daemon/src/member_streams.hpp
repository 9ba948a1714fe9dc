#pragma once

#include "cardamompond/cell/event_stream.hpp"
#include "cardamompond/daemon/cell_permit_client.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

namespace cardamompond::daemon {

// A new owner waits for a report from each member. A member without requests reports by cancelling a request
// that cannot exist; this is the key of that request.
request_key empty_report_key(std::uint64_t daemon_key);
bool is_empty_report(const scheduler::event& event);

// The streams between the owner of one epoch and the other members: events to the owner, decisions to the
// members.
class member_streams {
public:
  explicit member_streams(cell_link& link)
      : m_link(link) {}

  // Discards all streams and starts a new epoch.
  void reset(std::uint64_t epoch, std::string self);

  // Receives a batch and stores in `events` those events that are now in sequence. The batch is rejected if
  // the sender is not registered or an event belongs to another daemon.
  peer::batch_reply receive(std::string_view member, const peer::event_batch& batch, time_point now,
                            std::vector<scheduler::event>& events);

  // Queues a decision for the daemon with this key. Returns false if that daemon has not reported in this
  // epoch or its queue is full.
  bool push_decision(std::uint64_t daemon_key, scheduler::decision decision);

  // Returns whether every live member has reported in this epoch. Before that, the owner may not know of
  // requests that are still dispatched, and its grants could exceed the limits of the backend servers.
  // Returns true 1 s after the first call in any case.
  bool all_reported(time_point now);

  // Sends the decision batches that are due, including those to be sent again.
  void send_due(time_point now);

private:
  struct member_stream {
    std::string m_name;
    cell::event_receiver<scheduler::event> m_events;
    cell::event_sender<scheduler::decision> m_decisions;
    time_point m_latest_timestamp;             // received from the member, on the member's clock
    time_point m_latest_timestamp_received_at; // on this daemon's clock
  };

  member_stream& find_or_create_stream(std::string_view member, std::uint64_t daemon_key);

  cell_link& m_link;
  std::string m_self;
  std::uint64_t m_epoch = 0;
  std::unordered_map<std::uint64_t, member_stream> m_streams; // by request_key::m_daemon
  std::set<std::string, std::less<>> m_reported;
  std::optional<time_point> m_waiting_since;
  bool m_all_reported = false;
};

} // namespace cardamompond::daemon
