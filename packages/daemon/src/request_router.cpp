#include "cardamompond/daemon/request_router.hpp"

#include "cardamompond/daemon/chat_request.hpp"
#include "cardamompond/declarations/api_key_hash.hpp"

#include <algorithm>
#include <charconv>
#include <limits>
#include <optional>

namespace cardamompond::daemon {
namespace {

constexpr std::string_view chat_path = "/v1/chat/completions";
constexpr std::string_view services_prefix = "/services/";
constexpr std::int64_t max_timeout_ms = 3'600'000;
constexpr std::size_t max_idempotency_key_bytes = 255;

request_error make_refusal(error_code code, std::string message) {
  return {code, verdict::not_run, std::move(message), 0};
}

bool account_may_use(const declarations::service& service, std::string_view account) {
  return std::any_of(service.m_allowed_accounts.begin(), service.m_allowed_accounts.end(),
                     [&](const auto& name) { return name == "*" || name == account; });
}

const declarations::service* find_service(const declarations::snapshot& configuration, std::string_view name,
                                          declarations::service_kind kind) {
  const auto& services = configuration.m_objects.m_services;
  const auto found = services.find(name);
  return found != services.end() && found->second.m_kind == kind ? &found->second : nullptr;
}

bool path_matches(const declarations::route& route, std::string_view path) {
  const std::string_view prefix = route.m_path;
  return path.starts_with(prefix) &&
         (path.size() == prefix.size() || prefix.ends_with('/') || path[prefix.size()] == '/');
}

// Returns the route with the longest path that matches the request.
const declarations::route* find_route(const declarations::service& service, std::string_view method,
                                      std::string_view path) {
  const declarations::route* best = nullptr;
  for (const auto& route : service.m_routes) {
    const bool method_matches =
        route.m_methods.empty() ||
        std::find(route.m_methods.begin(), route.m_methods.end(), method) != route.m_methods.end();
    if (method_matches && path_matches(route, path) &&
        (best == nullptr || route.m_path.size() > best->m_path.size())) {
      best = &route;
    }
  }
  return best;
}

std::optional<request_error> read_timeout(const net::http_request& request, routed_request& routed) {
  const auto header = net::find_header(request.m_headers, "Cardamompond-Timeout-Ms");
  if (!header) {
    return std::nullopt;
  }
  std::int64_t value = 0;
  const auto [end, error] = std::from_chars(header->data(), header->data() + header->size(), value);
  if (error != std::errc() || end != header->data() + header->size() || value < 1 || value > max_timeout_ms) {
    return make_refusal(error_code::bad_request,
                        "Cardamompond-Timeout-Ms must be a whole number from 1 to 3600000");
  }
  routed.m_timeout = milliseconds(value);
  return std::nullopt;
}

std::optional<request_error> read_idempotency_key(const net::http_request& request, routed_request& routed) {
  const auto header = net::find_header(request.m_headers, "Idempotency-Key");
  if (header) {
    const bool printable =
        std::all_of(header->begin(), header->end(), [](char c) { return c >= ' ' && c < 0x7f; });
    if (header->empty() || header->size() > max_idempotency_key_bytes || !printable) {
      return make_refusal(error_code::bad_request,
                          "Idempotency-Key must have 1 to 255 printable ASCII characters");
    }
    routed.m_idempotency_key = *header;
  } else if (routed.m_at_most_once) {
    return make_refusal(error_code::idempotency_required,
                        "this call may run once only: send an Idempotency-Key and repeat it with each retry");
  }
  return std::nullopt;
}

std::optional<request_error> route_chat(const declarations::snapshot& configuration,
                                        const net::http_request& request, routed_request& routed,
                                        const declarations::service*& service) {
  if (request.m_method != "POST") {
    return make_refusal(error_code::not_found, "use POST for " + std::string(chat_path));
  }
  auto chat = parse_chat_request(request.m_body);
  if (!chat) {
    return make_refusal(error_code::bad_request, chat.error());
  }
  service = find_service(configuration, chat->m_model, declarations::service_kind::model);
  if (service == nullptr) {
    return make_refusal(error_code::not_found, "unknown model \"" + chat->m_model + "\"");
  }
  routed.m_is_model_request = true;
  routed.m_is_streaming = chat->m_stream;
  routed.m_route = chat_path;
  routed.m_backend_target = chat_path;
  routed.m_prompt_tokens = chat->m_prompt_tokens;
  routed.m_max_output_tokens = chat->m_max_output_tokens;
  routed.m_prefix_blocks = std::move(chat->m_prefix_blocks);
  return std::nullopt;
}

std::optional<request_error> route_plain(const declarations::snapshot& configuration,
                                         const net::http_request& request, routed_request& routed,
                                         const declarations::service*& service) {
  const std::string_view path = request.path();
  const std::string_view after_prefix = path.substr(services_prefix.size());
  const std::size_t slash = after_prefix.find('/');
  const std::string_view name = after_prefix.substr(0, slash);
  service = find_service(configuration, name, declarations::service_kind::plain);
  if (service == nullptr) {
    return make_refusal(error_code::not_found, "unknown service \"" + std::string(name) + "\"");
  }
  const std::string_view service_path = slash == std::string_view::npos ? "/" : after_prefix.substr(slash);
  const auto* route = find_route(*service, request.m_method, service_path);
  if (route == nullptr) {
    return make_refusal(error_code::not_found, "service \"" + std::string(name) +
                                                   "\" declares no route for " + request.m_method + " " +
                                                   std::string(service_path));
  }
  routed.m_route = route->m_path;
  routed.m_at_most_once = !route->m_idempotent;
  routed.m_backend_target = std::string(service_path) + request.m_target.substr(path.size());
  // The response counts as one output token. Without a limit its duration would at first be estimated like
  // that of a model, at several seconds, and calls with a shorter deadline would always be refused as
  // unmeetable.
  routed.m_max_output_tokens = 1;
  routed.m_prompt_tokens = static_cast<std::uint32_t>(
      std::min<std::size_t>(request.m_body.size() / bytes_per_token, std::numeric_limits<int>::max()));
  return std::nullopt;
}

} // namespace

bool is_ambiguous_path(std::string_view path) {
  if (path.empty() || path.front() != '/' || path.find('\\') != std::string_view::npos) {
    return true;
  }
  std::string lower(path);
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  for (const std::string_view part : {"//", "/./", "/../", "%2e", "%2f", "%5c", "%00", "%25"}) {
    if (lower.find(part) != std::string::npos) {
      return true;
    }
  }
  return lower.ends_with("/.") || lower.ends_with("/..");
}

request_router::request_router(std::shared_ptr<const declarations::snapshot> configuration,
                               milliseconds default_timeout)
    : m_configuration(std::move(configuration))
    , m_default_timeout(default_timeout) {
  for (const auto& [name, account] : m_configuration->m_objects.m_client_accounts) {
    for (const auto& hash : account.m_key_sha256) {
      m_accounts_by_key_hash.emplace(hash, &account);
    }
  }
}

const declarations::client_account* request_router::find_account(const net::http_request& request) const {
  constexpr std::string_view scheme = "Bearer ";
  const auto header = net::find_header(request.m_headers, "Authorization");
  if (!header || !header->starts_with(scheme)) {
    return nullptr;
  }
  const auto found = m_accounts_by_key_hash.find(declarations::hash_api_key(header->substr(scheme.size())));
  return found == m_accounts_by_key_hash.end() ? nullptr : found->second;
}

result<routed_request, request_error> request_router::route(const net::http_request& request) const {
  const declarations::snapshot& configuration = *m_configuration;
  const auto* account = find_account(request);
  if (account == nullptr) {
    return make_refusal(error_code::unauthorized,
                        "send the key of a client account in the header Authorization: Bearer KEY");
  }
  routed_request routed;
  routed.m_client_account = account->m_name;
  routed.m_tier = account->m_tier;
  const auto tier = configuration.m_objects.m_tiers.find(account->m_tier);
  routed.m_timeout = tier != configuration.m_objects.m_tiers.end()
                         ? milliseconds(tier->second.m_default_timeout_ms)
                         : m_default_timeout;
  const std::string_view path = request.path();
  if (is_ambiguous_path(path)) {
    return make_refusal(error_code::bad_request, "the path is not in normal form");
  }
  const declarations::service* service = nullptr;
  std::optional<request_error> error;
  if (path == chat_path) {
    error = route_chat(configuration, request, routed, service);
  } else if (path.starts_with(services_prefix)) {
    error = route_plain(configuration, request, routed, service);
  } else {
    error =
        make_refusal(error_code::not_found, "unknown path; see /v1/chat/completions and /services/NAME/...");
  }
  if (error) {
    return std::move(*error);
  }
  if (!account_may_use(*service, account->m_name)) {
    return make_refusal(error_code::forbidden, "the client account may not use this service");
  }
  routed.m_service = service->m_name;
  for (const auto check : {read_timeout, read_idempotency_key}) {
    if (auto refused = check(request, routed)) {
      return std::move(*refused);
    }
  }
  routed.m_fingerprint = hash_content(request.m_method + " " + request.m_target + "\n" + request.m_body);
  return routed;
}

} // namespace cardamompond::daemon
