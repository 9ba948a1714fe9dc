#pragma once

#include "cardamompond/core/result.hpp"
#include "cardamompond/core/verdict.hpp"
#include "cardamompond/scheduler/decisions.hpp"
#include "cardamompond/scheduler/events.hpp"

#include <boost/fiber/condition_variable.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>

namespace cardamompond::daemon {

enum class request_state { waiting, granted, dispatched };

using permit_result = result<scheduler::grant, request_error>;

// A request of this daemon that has not ended yet.
struct request_entry {
  scheduler::submit_event m_request;
  request_state m_state = request_state::waiting;
  std::string m_backend_server;          // set when the request is granted
  std::uint64_t m_epoch = 0;             // epoch of the permit
  time_point m_last_submitted;           // when the request was last submitted to the scheduler
  std::optional<permit_result> m_result; // to be returned by wait()
  boost::fibers::condition_variable m_result_ready;
};

// The requests that were received by this daemon and have not ended. A request is dispatched at most once,
// because only the daemon that received it can dispatch it, and only through the single transition from
// granted to dispatched in this table. Not thread-safe: use it on the daemon's thread only.
class request_table {
public:
  // Adds a request in state waiting; a request whose permit was declined may be added again. Returns false if
  // the request holds a permit that wait() has already returned.
  bool add(const scheduler::submit_event& request, time_point now);

  // Blocks the fiber until the request is granted or refused, or its deadline has passed. A refused request
  // is removed from the table. If the deadline has passed, nothing is returned and the request stays in the
  // table until remove() is called.
  std::optional<permit_result> wait(request_key key);

  // Gives a permit to a waiting request. Returns false if the request is unknown, is not waiting or has
  // already been refused.
  bool grant(const scheduler::grant& permit, std::uint64_t epoch);

  // Refuses a waiting request. Returns false if the request is unknown, is not waiting or has already been
  // refused.
  bool refuse(request_key key, request_error error);

  // Sets a granted request to dispatched. Returns false if the permit belongs to another epoch, has expired
  // or is not the one that the request holds.
  bool mark_dispatched(const scheduler::grant& permit, std::uint64_t epoch, time_point now);

  // Sets a granted request back to waiting. Returns false if it is not granted.
  bool return_to_waiting(request_key key);

  void remove(request_key key);

  request_entry* find(request_key key);

  // Calls `visit` for each request in order of arrival.
  void for_each(const std::function<void(request_entry&)>& visit);

  std::size_t size() const { return m_entries.size(); }
  std::size_t count(request_state state) const;

private:
  std::unordered_map<request_key, request_entry> m_entries;
};

} // namespace cardamompond::daemon
