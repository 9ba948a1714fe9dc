#pragma once

#include "cardamompond/cell/event_stream.hpp"
#include "cardamompond/daemon/cell_permit_client.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

namespace cardamompond::daemon {

// A member without requests reports with the cancellation of a request that cannot exist, so that the new
// owner hears from it too.
request_key empty_report_key(std::uint64_t daemon);
bool is_empty_report(const scheduler::event& event);

// The owner's streams to and from the other members of one epoch.
class member_streams {
public:
  explicit member_streams(cell_link& link)
      : m_link(link) {}

  // Forgets all streams and begins those of an epoch.
  void reset(std::uint64_t epoch, std::string own_name);

  // Takes in a batch and appends the events that can be delivered. Not accepted if the sender is not
  // registered or an event belongs to another daemon.
  peer::batch_reply receive(std::string_view member, const peer::event_batch& batch, time_point now,
                            std::vector<scheduler::event>& events);

  // Queues a decision for a daemon; false if that daemon has not reported in this epoch.
  bool push_decision(std::uint64_t daemon, scheduler::decision decision);

  // Whether every live member has reported in this epoch. Until then grants could overlap with dispatches
  // that the owner does not know of. Does not wait for longer than 1 s.
  bool all_reported(time_point now);

  void send_due(time_point now);

private:
  struct member_stream {
    std::string m_name;
    cell::event_receiver<scheduler::event> m_events;
    cell::event_sender<scheduler::decision> m_decisions;
    time_point m_mark;
    time_point m_mark_received;
  };

  member_stream& find_or_create_stream(std::string_view member, std::uint64_t daemon);

  cell_link& m_link;
  std::string m_own_name;
  std::uint64_t m_epoch = 0;
  std::unordered_map<std::uint64_t, member_stream> m_streams; // by request_key::m_daemon
  std::set<std::string, std::less<>> m_reported_members;
  std::optional<time_point> m_waiting_since;
  bool m_all_reported = false;
};

} // namespace cardamompond::daemon
