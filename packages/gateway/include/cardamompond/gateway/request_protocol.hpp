#pragma once

#include "cardamompond/core/result.hpp"
#include "cardamompond/core/time.hpp"
#include "cardamompond/core/verdict.hpp"
#include "cardamompond/fleet/backend_server.hpp"
#include "cardamompond/fleet/dispatcher.hpp"
#include "cardamompond/net/http_message.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cardamompond::gateway {

// What the headers of a caller's request state.
struct caller_request {
  std::string m_id; // chosen by the caller; each of its attempts has the same id
  std::string m_host;
  std::optional<std::string> m_api_key;
  std::optional<milliseconds> m_caller_timeout; // how long the caller waits for the response
  bool m_has_token_counts = false;
  std::uint32_t m_prompt_tokens = 0;
  std::uint32_t m_max_output_tokens = 0;
  std::uint32_t m_expected_output_tokens = 0; // estimate of the caller; 0: none
  std::uint64_t m_shared_prefix_hash = 0; // of the prompt prefix that it shares with other requests; 0: none
  // The prompt parts that other requests may share, in the order of the prompt: all but the last one.
  std::vector<std::uint64_t> m_shared_parts;
};

// What the daemon adds to a request for a backend server.
struct dispatch_parameters {
  const fleet::backend_server* m_server = nullptr;
  std::string_view m_client_account; // empty: anonymous
  milliseconds m_remaining_time{0};
  std::optional<std::string> m_resume_after_event_id; // replaces the value sent by the caller
  std::string m_reservation_id;                       // id of the reservation on the server; empty: none
};

// The time for which a server that refused a request wants no others.
struct requested_pause {
  std::optional<milliseconds> m_duration; // nothing if it is not readable
  std::string m_text;                     // as the server stated it, shortened; for the log
};

// A higher rate that a server states counts as this one; it is far above what any server takes.
inline constexpr double max_stated_limit = 1e6;

// The number of requests per second that a server takes from all daemons together.
struct stated_limit {
  std::optional<double> m_requests_per_s; // up to max_stated_limit; nothing if it is not readable
  std::string m_text;                     // as the server stated it, shortened; for the log
};

// A higher number of rejections counts as this one.
inline constexpr std::uint32_t max_stated_rejections = 10'000;

// The number of rejections for lack of room in a second beyond which a server falls over.
struct stated_rejections {
  std::optional<std::uint32_t> m_max_rejections; // nothing if it is not readable
  std::string m_text;                            // as the server stated it, shortened; for the log
};

// What the headers of a response state about the request and the server.
struct response_metadata {
  bool m_has_server_stamp = false; // the response carries the stamp that backend servers add
  bool m_not_run = false;          // the server states that it did not run the request
  bool m_misdirected = false;      // another server uses the address now
  bool m_content_encoded = false;  // the body is encoded, so it is not what the server sent
  bool m_leaving = false;          // the server leaves and wants no new requests
  std::optional<requested_pause> m_pause;
  std::optional<stated_limit> m_stated_limit;
  std::optional<stated_rejections> m_stated_rejections;
  std::optional<std::string> m_server_id;  // id of the server that answers
  std::optional<std::string> m_request_id; // id of the request that is answered
  std::optional<fleet::reported_load> m_load;
  std::optional<milliseconds> m_cold_remaining;
};

// The HTTP conventions between callers, this daemon and backend servers.
class request_protocol {
public:
  virtual ~request_protocol() = default;

  virtual result<caller_request, request_error> read_request(const net::http_request& request) const = 0;

  // Returns the request for a backend server: the caller's request without headers that concern a single
  // connection or that only the system may set, with the parameters added.
  virtual net::http_request make_backend_request(const net::http_request& request,
                                                 const dispatch_parameters& parameters) const = 0;

  // Returns the request that reserves room and memory for `tokens` on a backend server for a request that
  // follows at once. It carries no request id, so that a plain server that uses the address now does not run
  // it.
  virtual net::http_request make_reservation_request(std::uint32_t tokens, milliseconds lifetime) const = 0;

  // Returns a request that any server answers at once, without work and whatever it runs. The answer shows
  // that the server can be reached.
  virtual net::http_request make_probe_request() const = 0;

  // Returns the id of the reservation that the server made; nothing if the server has no room.
  virtual std::optional<std::string> read_reservation(const net::http_response& response) const = 0;

  virtual response_metadata read_response_metadata(const net::http_response& head) const = 0;

  // Returns the headers of a response as they are sent to the caller.
  virtual net::http_headers make_caller_headers(const net::http_response& head) const = 0;

  // Returns an error response of the daemon itself. `retry_after` is the time after which the caller should
  // retry.
  virtual net::http_response make_error_response(const request_error& error, std::string_view request_id,
                                                 std::optional<milliseconds> retry_after) const = 0;
};

} // namespace cardamompond::gateway
