#pragma once

#include "cardamompond/core/result.hpp"
#include "cardamompond/core/time.hpp"
#include "cardamompond/core/verdict.hpp"
#include "cardamompond/scheduler/decisions.hpp"
#include "cardamompond/scheduler/events.hpp"

namespace cardamompond::daemon {

// Obtains permits for requests, from the scheduler in this process or from the cell owner in another process.
class permit_client {
public:
  virtual ~permit_client() = default;

  // Queues a request and blocks the fiber until the request is granted or refused, or its deadline passes.
  // Errors always have verdict::not_run. May be called again for the same key after its permit was declined
  // with expired or connect_failed.
  virtual result<scheduler::grant, request_error> acquire(const scheduler::submit_event& request) = 0;

  // Makes a blocked acquire() of this key fail with error_code::bad_request, because the caller has closed
  // its connection.
  virtual void cancel(request_key key) = 0;

  // Reports to the scheduler that the dispatch starts. Call it immediately before the first byte is sent.
  // Returns false if the permit has expired or may no longer be used for another reason.
  virtual bool start(const scheduler::grant& permit) = 0;

  // Gives back a permit without dispatching its request.
  virtual void decline(request_key key, scheduler::decline_reason reason) = 0;

  // Reports the end of a dispatched request.
  virtual void complete(const scheduler::completed_event& completed) = 0;

  // Returns a new key, unique within this incarnation of the daemon.
  virtual request_key next_key() = 0;
};

} // namespace cardamompond::daemon
