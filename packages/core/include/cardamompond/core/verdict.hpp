#pragma once

#include <string>
#include <string_view>

namespace cardamompond {

// Tells whether a backend server may have executed a request. `not_run` is a guarantee: either no byte of the
// request has been or will be written to a backend server, or the backend server refused it explicitly.
enum class verdict { not_run, may_have_run };

// Codes of the error responses that the daemon itself produces. They are stable; docs/OPERATIONS.md explains
// each of them.
enum class error_code {
  bad_request,          // 400 the request, a header or the deadline is malformed
  idempotency_required, // 400 the call may run only once and has no Idempotency-Key
  unauthorized,         // 401 the API key is missing or unknown
  forbidden,            // 403 the account may not use the service
  not_found,            // 404 the model, service or route is unknown
  in_progress,          // 409 a request with this idempotency key is running or has an unknown outcome
  too_large,            // 413 the body is over the limit
  header_too_large,     // 431 the header is over the limit
  key_reused,           // 422 the idempotency key was used with another body
  account_limit,        // 429 the account has too many outstanding requests
  queue_full,           // 503 rejected on arrival for lack of capacity
  overloaded,           // 503 evicted from the queue for a higher tier or an earlier deadline
  deadline_unmeetable,  // 503 the request cannot finish before its deadline
  deadline_exceeded,    // 504 the deadline passed
  crashing_request,     // 422 the content crashed backend servers
  no_backend_server,    // 503 no backend server is in service
  owner_unavailable,    // 503 the cell has no owner, the platform is unreachable, and the tier is not the
                        // highest
  claims_unavailable,   // 503 the call may run only once, and the platform is unreachable
  isolated,             // 503 the daemon reaches neither peers nor platform
  shutting_down,        // 503 the daemon is shutting down
  backend_refused,      // 503 the backend server refused the request explicitly
  backend_failed,       // 502 the backend server failed after dispatch
  internal,             // 500 internal error
};

// Returns the code as it appears in responses, logs and metrics, e.g. "queue_full".
std::string_view to_string(error_code code);

// Returns the HTTP status that belongs to the code.
int http_status(error_code code);

// Returns "not-run" or "may-have-run", the value of the Cardamompond-Verdict header.
std::string_view to_string(verdict value);

// An error that the daemon itself returns to a caller. It contains the verdict on the request, and its
// message says what the caller can do.
struct request_error {
  error_code m_code = error_code::internal;
  verdict m_verdict = verdict::may_have_run;
  std::string m_message;
  int m_retry_after_s = 0; // seconds; 0: no Retry-After header unless the status requires one
};

} // namespace cardamompond
