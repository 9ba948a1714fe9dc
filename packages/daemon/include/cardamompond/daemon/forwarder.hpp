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

// The outcome of forwarding a request under a permit.
enum class forward_status {
  answered,    // the caller has received the complete response
  broken,      // the response began but could not be completed; the connection to the caller must be closed
  failed,      // no response began; m_error is to be sent to the caller
  not_started, // nothing was sent to the backend server; the permit was declined and another may be acquired
};

struct forward_result {
  forward_status m_status = forward_status::failed;
  request_error m_error;
  int m_backend_status = 0;
  scheduler::completed_event m_completed;
  scheduler::decline_reason m_decline_reason = scheduler::decline_reason::expired;
};

// A response that is buffered in memory until it has been recorded.
struct buffered_response {
  net::http_response m_response;
  bool m_complete = true; // false: the body was too large to be buffered and was streamed to the caller
};

struct forward_request {
  const routed_request* m_routed = nullptr;
  const scheduler::grant* m_permit = nullptr;
  net::http_request m_backend_request; // method, target, headers and body for the backend server
  std::string m_request_id;
  time_point m_deadline;

  // If set, a response of up to cell::max_recorded_body_bytes is buffered completely and passed to this
  // function before the caller receives any of it. A larger response is streamed and then passed without its
  // body.
  std::function<void(const buffered_response&)> m_record_response;
};

// Called for each chunk of a streamed response with the time since the previous chunk or, for the first
// chunk, since the dispatch.
using chunk_observer = std::function<void(bool first, duration elapsed)>;

// Sends a request to the backend server named in its permit and streams the response body to the caller
// unchanged. Buffers at most 16 KiB of a streamed body, so that a slow caller slows down reading from the
// backend server.
class forwarder {
public:
  forwarder(net::fiber_runtime& runtime, permit_client& permits);

  // Blocks until the response has ended. The permit is then used up, or was declined if the status is
  // not_started.
  forward_result forward(net::http_exchange& exchange, caller_monitor::watch& caller_watch,
                         const forward_request& request, const chunk_observer& observer);

private:
  net::http_client m_client;
  permit_client& m_permits;
};

// Returns the headers to forward, in either direction. Removes hop-by-hop headers, Host, the caller's
// Authorization and all headers of this system (Cardamompond-*).
net::http_headers end_to_end_headers(const net::http_headers& headers);

} // namespace cardamompond::daemon
