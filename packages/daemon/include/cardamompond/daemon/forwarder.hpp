#pragma once

#include "cardamompond/core/result.hpp"
#include "cardamompond/core/verdict.hpp"
#include "cardamompond/daemon/caller_monitor.hpp"
#include "cardamompond/daemon/permit_client.hpp"
#include "cardamompond/daemon/request_router.hpp"
#include "cardamompond/net/http_client.hpp"
#include "cardamompond/net/http_server.hpp"

#include <functional>
#include <optional>
#include <string>

namespace cardamompond::daemon {

// What came of a permit.
enum class forward_status {
  answered,    // the caller has the whole answer
  broken,      // the answer began and could not be completed; the connection to the caller must be closed
  failed,      // no answer began; m_error tells the caller
  not_started, // nothing was written to the backend server: the permit was declined and may be replaced
};

struct forward_result {
  forward_status m_status = forward_status::failed;
  request_error m_error;
  int m_backend_status = 0;
  scheduler::completed_event m_completed;
  scheduler::decline_reason m_decline_reason = scheduler::decline_reason::expired;
};

// A whole answer that is kept in memory until it has been recorded.
struct buffered_response {
  net::http_response m_response;
  bool m_complete = true; // false: too large to be held, the body was passed on
};

struct forward_request {
  const routed_request* m_routed = nullptr;
  const scheduler::grant* m_permit = nullptr;
  net::http_request m_backend_request; // method, target, headers and body for the backend server
  std::string m_request_id;
  time_point m_deadline;

  // If set: an answer is read whole before the caller gets any of it, up to claim answers' limit, and passed
  // to this function first.
  std::function<void(const buffered_response&)> m_record_response;
};

// Called for each part of a streamed answer with the time since the one before (or since dispatch).
using chunk_observer = std::function<void(bool first, duration since)>;

// Sends one request to the backend server of its permit and passes the answer on, byte for byte. Buffers at
// most 16 KB of it, so that a slow caller slows the backend server's socket down.
class forwarder {
public:
  forwarder(net::fiber_runtime& runtime, permit_client& permits);

  // Blocks until the answer is over. The permit is used up, or returned if the status is not_started.
  forward_result forward(net::http_exchange& exchange, caller_monitor::watch& caller_watch,
                         const forward_request& request, const chunk_observer& observer);

private:
  net::http_client m_client;
  permit_client& m_permits;
};

// The headers to pass on in either direction: all but those of the connection itself, of the caller's
// authentication and of this system.
net::http_headers end_to_end_headers(const net::http_headers& headers);

} // namespace cardamompond::daemon
