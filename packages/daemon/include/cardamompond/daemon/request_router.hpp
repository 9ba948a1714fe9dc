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

// A caller's request after authentication and checks, with all names resolved.
struct routed_request {
  std::string m_client_account;
  std::string m_tier;
  std::string m_service;
  std::string m_route;          // label for metrics and breakers: the declared path
  std::string m_backend_target; // path and query for the backend server
  bool m_at_most_once = false;  // needs a claim
  bool m_is_model_request = false;
  bool m_is_streaming = false;
  std::string m_idempotency_key; // empty if the caller sent none
  milliseconds m_timeout{};
  std::uint32_t m_prompt_tokens = 0; // estimated
  std::uint32_t m_max_output_tokens = 0;
  std::vector<std::uint64_t> m_prefix_blocks;
  hash128 m_fingerprint; // of method, target and body
};

// Finds the client account, service and route of requests in one revision of the configuration, and checks
// what the caller may send.
class request_router {
public:
  // `default_timeout` applies to tiers that are not declared.
  request_router(std::shared_ptr<const declarations::snapshot> configuration, milliseconds default_timeout);

  // All errors are verdict::not_run.
  result<routed_request, request_error> route(const net::http_request& request) const;

private:
  const declarations::client_account* find_account(const net::http_request& request) const;

  std::shared_ptr<const declarations::snapshot> m_configuration;
  milliseconds m_default_timeout;
  std::unordered_map<std::string_view, const declarations::client_account*> m_accounts_by_key_hash;
};

// Whether a path could mean another one to a backend server: dot segments, encoded dots or slashes,
// backslashes, doubled slashes. Such a path could pass as an idempotent route and reach another.
bool is_ambiguous_path(std::string_view path);

} // namespace cardamompond::daemon
