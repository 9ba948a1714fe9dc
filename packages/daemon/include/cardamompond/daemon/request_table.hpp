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

// One request of this daemon between its arrival and its end.
struct request_entry {
  scheduler::submit_event m_request;
  request_state m_state = request_state::waiting;
  std::string m_backend_server;          // once granted
  std::uint64_t m_epoch = 0;             // of the permit
  time_point m_last_submitted;           // last time that it was told to the scheduler
  std::optional<permit_result> m_result; // for the fiber in wait()
  boost::fibers::condition_variable m_result_ready;
};

// The requests that entered through this daemon. A request is dispatched at most once because only its own
// daemon can do it, and only by the single step from granted to dispatched here. Used on the daemon's thread
// only.
class request_table {
public:
  // Adds a waiting request, or one whose permit was declined. Returns false if the request holds a permit
  // that wait() has returned already.
  bool add(const scheduler::submit_event& request, time_point now);

  // Blocks the fiber until the request is granted or refused, or its deadline has passed. A refused request
  // leaves the table; one whose deadline passed stays for the caller to remove.
  std::optional<permit_result> wait(request_key key);

  // Hands a permit to a waiting request; false if nobody waits for it.
  bool grant(const scheduler::grant& permit, std::uint64_t epoch);

  // Refuses a waiting request; false if it does not wait.
  bool refuse(request_key key, request_error error);

  // The step from granted to dispatched; false if the permit is of another epoch, has expired or is not held.
  bool mark_dispatched(const scheduler::grant& permit, std::uint64_t epoch, time_point now);

  // Makes a granted request waiting again; false if it is not granted.
  bool return_to_waiting(request_key key);

  void remove(request_key key);

  request_entry* find(request_key key);

  void for_each(const std::function<void(request_entry&)>& visit);

  std::size_t size() const { return m_entries.size(); }
  std::size_t count(request_state state) const;

private:
  std::unordered_map<request_key, request_entry> m_entries;
};

} // namespace cardamompond::daemon
