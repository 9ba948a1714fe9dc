#pragma once

#include "cardamompond/core/hash.hpp"
#include "cardamompond/core/result.hpp"
#include "cardamompond/core/time.hpp"
#include "cardamompond/core/verdict.hpp"
#include "cardamompond/declarations/objects.hpp"
#include "cardamompond/net/http_message.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cardamompond::daemon {

// A caller's request after authentication and validation, with its service and route resolved.
struct routed_request {
  std::string m_client_account;
  std::string m_tier;
  std::string m_service;
  std::string m_route;          // declared path of the route; label for metrics and circuit breakers
  std::string m_backend_target; // path and query for the backend server
  bool m_at_most_once = false;  // may run at most once; needs a claim
  bool m_is_model_request = false;
  bool m_is_streaming = false;
  std::string m_idempotency_key; // empty if the caller sent none
  milliseconds m_timeout{};
  std::uint32_t m_prompt_tokens = 0; // estimated
  std::uint32_t m_max_output_tokens = 0;
  std::vector<std::uint64_t> m_prefix_blocks;
  hash128 m_fingerprint; // of method, target and body
};

// Determines the client account, service and route of requests according to one revision of the
// configuration, and validates the requests.
class request_router {
public:
  // `default_timeout` applies to requests of accounts whose tier is not declared.
  request_router(std::shared_ptr<const declarations::snapshot> configuration, milliseconds default_timeout);

  // All errors have verdict::not_run.
  result<routed_request, request_error> route(const net::http_request& request) const;

private:
  const declarations::client_account* find_account(const net::http_request& request) const;

  std::shared_ptr<const declarations::snapshot> m_configuration;
  milliseconds m_default_timeout;
  std::unordered_map<std::string_view, const declarations::client_account*> m_accounts_by_key_hash;
};

// Returns whether a backend server could interpret a path differently than the router. This is the case for
// dot segments, repeated slashes, backslashes, and encoded dots, slashes, backslashes, percent signs and null
// characters. Such a path could match an idempotent route here and reach another route there.
bool is_ambiguous_path(std::string_view path);

} // namespace cardamompond::daemon
