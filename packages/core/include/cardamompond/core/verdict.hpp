#pragma once

#include <string>
#include <string_view>

namespace cardamompond {

// Says whether a request may have been executed by a backend server. `not_run` is a promise: no byte of the
// request was written to a backend server and none will be, or the backend server refused it explicitly.
enum class verdict { not_run, may_have_run };

// Stable codes of the answers that the daemon makes itself. docs/OPERATIONS.md explains each.
enum class error_code {
  bad_request,          // 400 malformed request, header or deadline
  idempotency_required, // 400 a call that may run once came without Idempotency-Key
  unauthorized,         // 401 no or unknown key
  forbidden,            // 403 the account may not use the service
  not_found,            // 404 unknown model, service or route
  in_progress,          // 409 the same idempotency key is being executed or its outcome is unknown
  too_large,            // 413 body over the limit
  header_too_large,     // 431 header over the limit
  key_reused,           // 422 the idempotency key was used with another body
  account_limit,        // 429 too many outstanding requests of the account
  queue_full,           // 503 shed for lack of capacity
  overloaded,           // 503 evicted by a higher tier
  deadline_unmeetable,  // 503 cannot finish before its deadline
  deadline_exceeded,    // 504 the deadline passed
  crashing_request,     // 422 the content crashed backend servers
  no_backend_server,    // 503 no backend server in service
  owner_unavailable,    // 503 lower tiers while the cell has no owner and the platform is unreachable
  claims_unavailable,   // 503 a call that may run once while the platform is unreachable
  isolated,             // 503 the daemon reaches neither peers nor platform
  shutting_down,        // 503 the daemon stops
  backend_refused,      // 503 the backend server refused explicitly
  backend_failed,       // 502 the backend server failed after dispatch
  internal,             // 500
};

// Returns the code as it appears in answers, logs and metrics, e.g. "queue_full".
std::string_view to_string(error_code code);

// Returns the HTTP status that belongs to the code.
int http_status(error_code code);

// Returns "not-run" or "may-have-run", the value of the Cardamompond-Verdict header.
std::string_view to_string(verdict v);

// An error made by the daemon, with the verdict about the request and what the caller can do.
struct request_error {
  error_code m_code = error_code::internal;
  verdict m_verdict = verdict::may_have_run;
  std::string m_message;
  int m_retry_after_s = 0; // seconds; 0 leaves the Retry-After header out unless the status requires one
};

} // namespace cardamompond
