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

namespace cardamompond::gateway {

// What a caller's request says, apart from method, path and body.
struct caller_request {
  std::string m_id; // given by the caller to each of its attempts
  std::string m_host;
  std::optional<std::string> m_api_key;
  std::optional<milliseconds> m_caller_timeout; // how long the caller will wait
  bool m_has_token_counts = false;
  std::uint32_t m_prompt_tokens = 0;
  std::uint32_t m_max_output_tokens = 0;
  std::uint32_t m_expected_output_tokens = 0; // the caller's estimate; 0: none
  std::uint64_t m_affinity = 0;               // hash of the prompt's shared parts; 0: none
};

// What is added to a request on its way to a backend server.
struct dispatch_parameters {
  const fleet::backend_server* m_server = nullptr;
  std::string_view m_client_account; // empty: anonymous
  milliseconds m_remaining_time{0};
  std::optional<std::string> m_resume_after_event_id; // replaces that of the caller
  std::string m_reservation_id; // place that the server keeps for the request; empty: none
};

// What the head of an answer says about the request and the server.
struct answer_metadata {
  bool m_has_server_stamp = false;         // bears the mark of a backend server
  bool m_not_run = false;                  // the server states that it did not run the request
  bool m_misdirected = false;              // another server has the address
  bool m_content_encoded = false;          // the body is not the server's own bytes
  std::optional<std::string> m_request_id; // of the request that is answered
  std::optional<fleet::stated_load> m_load;
  std::optional<milliseconds> m_cold_remaining;
};

// How requests and answers are written on the wire between callers, this daemon and backend servers.
class request_protocol {
public:
  virtual ~request_protocol() = default;

  virtual result<caller_request, request_error> read_request(const net::http_request& from) const = 0;

  // The request as a backend server gets it: what the caller sent, less what concerns one connection or is
  // the system's to set, and the terms.
  virtual net::http_request make_backend_request(const net::http_request& from,
                                                 const dispatch_parameters& parameters) const = 0;

  // Asks a backend server to keep a place, and memory for so many tokens, for a request that follows at once.
  virtual net::http_request make_reservation_request(std::uint32_t tokens, milliseconds lifetime) const = 0;

  // The reservation that the server made; nothing if it has no room.
  virtual std::optional<std::string> read_reservation(const net::http_response& answer) const = 0;

  virtual answer_metadata read_answer_metadata(const net::http_response& head) const = 0;

  // The headers of an answer as the caller gets them.
  virtual net::http_headers make_caller_headers(const net::http_response& head) const = 0;

  // An answer of the daemon itself. `retry_after` tells when to come back.
  virtual net::http_response make_error_answer(const request_error& error, std::string_view request_id,
                                               std::optional<milliseconds> retry_after) const = 0;
};

} // namespace cardamompond::gateway
