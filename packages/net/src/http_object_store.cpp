#include "cardamompond/net/http_object_store.hpp"

#include <boost/fiber/operations.hpp>
#include <boost/json.hpp>
#include <boost/url/encode.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>

#include <algorithm>
#include <charconv>

namespace cardamompond::net {
namespace {

constexpr std::size_t max_response_bytes = 4U << 20U;

// Limits the rate of calls. A caller that exceeds it waits for a token.
class token_bucket {
public:
  token_bucket(double rate_per_s, double burst)
      : m_rate_per_s(rate_per_s)
      , m_burst(burst)
      , m_tokens(burst) {}

  // Takes a token and sleeps until the bucket has accrued it. Returns false at once, without taking a token,
  // if the sleep would exceed `timeout`.
  bool acquire(milliseconds timeout) {
    refill(monotonic_now());
    m_tokens -= 1;
    if (m_tokens >= 0) {
      return true;
    }
    const auto wait =
        std::chrono::duration_cast<duration>(std::chrono::duration<double>(-m_tokens / m_rate_per_s));
    if (wait > timeout) {
      m_tokens += 1;
      return false;
    }
    boost::this_fiber::sleep_for(wait);
    return true;
  }

private:
  void refill(time_point now) {
    const double elapsed_s = std::chrono::duration<double>(now - m_last_refill).count();
    m_tokens = std::min(m_burst, m_tokens + elapsed_s * m_rate_per_s);
    m_last_refill = now;
  }

  double m_rate_per_s;
  double m_burst;
  double m_tokens;
  time_point m_last_refill = monotonic_now();
};

std::string percent_encode(std::string_view text, bool keep_slashes) {
  std::string encoded;
  while (true) {
    const auto slash = keep_slashes ? text.find('/') : std::string_view::npos;
    encoded += boost::urls::encode(text.substr(0, slash), boost::urls::unreserved_chars);
    if (slash == std::string_view::npos) {
      return encoded;
    }
    encoded += '/';
    text.remove_prefix(slash + 1);
  }
}

// Returns the version in a quoted ETag header such as "17", or 0 if there is none.
object_version parse_version(const http_response& response) {
  object_version version = 0;
  if (const auto etag = find_header(response.m_headers, "ETag"); etag && etag->size() > 2) {
    std::from_chars(etag->data() + 1, etag->data() + etag->size() - 1, version);
  }
  return version;
}

http_header precondition_header(object_version expected) {
  if (expected == 0) {
    return {"If-None-Match", "*"};
  }
  return {"If-Match", "\"" + std::to_string(expected) + "\""};
}

} // namespace

class http_object_store::impl {
public:
  impl(fiber_runtime& runtime, http_object_store_options options)
      : m_options(std::move(options))
      , m_client(runtime)
      , m_read_bucket(m_options.m_max_reads_per_s, m_options.m_burst)
      , m_write_bucket(m_options.m_max_writes_per_s, m_options.m_burst) {}

  // Makes one call and maps transport failures to store errors. If nothing was sent, the request has not
  // taken effect; if a write was sent and its response lost, the outcome is unknown.
  store_result<http_response> call(std::string_view method, std::string target, std::string_view body,
                                   const http_headers& headers, milliseconds timeout) {
    const bool write = method != "GET";
    if (!(write ? m_write_bucket : m_read_bucket).acquire(timeout)) {
      ++m_counters.m_rate_limited;
      return store_error{store_error_kind::rate_limited, 0, "client-side rate limit of the object API"};
    }
    ++(write ? m_counters.m_writes : m_counters.m_reads);
    http_request request{std::string(method), std::move(target), headers, std::string(body)};
    m_counters.m_bytes_sent += request.m_target.size() + body.size() + approximate_head_bytes;
    // The object API states no request ids. On a connection with earlier exchanges, a late copy of an answer
    // could be taken for that to this call.
    auto response = m_client.fetch(m_options.m_address, request, timeout, max_response_bytes,
                                   http_client::connection_choice::fresh);
    if (!response) {
      ++m_counters.m_failures;
      const bool outcome_unknown = write && response.error().m_sent;
      return store_error{outcome_unknown ? store_error_kind::outcome_unknown : store_error_kind::unavailable,
                         0, "object API at " + m_options.m_address + ": " + response.error().m_message};
    }
    m_counters.m_bytes_received += response->m_body.size() + approximate_head_bytes;
    return check_status(std::move(*response), write);
  }

  // Returns the response, or the store error that its status stands for.
  store_result<http_response> check_status(http_response response, bool write) {
    switch (response.m_status) {
    case 200:
    case 201:
    case 204:
    case 304:
      return response;
    case 404:
      return store_error{store_error_kind::not_found, 0, "not found"};
    case 412:
      return store_error{store_error_kind::conflict, parse_version(response), "version conflict"};
    case 413:
      return store_error{store_error_kind::too_large, 0, "value over the limit of the object API"};
    case 429:
      ++m_counters.m_rate_limited;
      return store_error{store_error_kind::rate_limited, 0, "rate limit of the object API"};
    case 503:
      ++m_counters.m_failures;
      return store_error{store_error_kind::unavailable, 0, "object API answered 503"};
    default:
      ++m_counters.m_failures;
      return store_error{write ? store_error_kind::outcome_unknown : store_error_kind::unavailable, 0,
                         "object API answered " + std::to_string(response.m_status)};
    }
  }

  static constexpr std::uint64_t approximate_head_bytes = 120;

  http_object_store_options m_options;
  http_client m_client;
  token_bucket m_read_bucket;
  token_bucket m_write_bucket;
  object_store_counters m_counters;
};

http_object_store::http_object_store(fiber_runtime& runtime, http_object_store_options options)
    : m_impl(std::make_unique<impl>(runtime, std::move(options))) {}

http_object_store::~http_object_store() = default;

store_result<stored_value> http_object_store::get(std::string_view key, milliseconds timeout) {
  auto response = m_impl->call("GET", "/v1/objects/" + percent_encode(key, true), {}, {}, timeout);
  if (!response) {
    return response.error();
  }
  const object_version version = parse_version(*response);
  return stored_value{std::move(response->m_body), version};
}

store_result<object_version> http_object_store::put(std::string_view key, std::string_view value,
                                                    object_version expected, milliseconds timeout) {
  auto response = m_impl->call("PUT", "/v1/objects/" + percent_encode(key, true), value,
                               {precondition_header(expected)}, timeout);
  if (!response) {
    return response.error();
  }
  return parse_version(*response);
}

store_result<success> http_object_store::erase(std::string_view key, object_version expected,
                                               milliseconds timeout) {
  auto response = m_impl->call("DELETE", "/v1/objects/" + percent_encode(key, true), {},
                               {precondition_header(expected)}, timeout);
  if (!response) {
    return response.error();
  }
  return success{};
}

store_result<std::vector<stored_key>> http_object_store::list(std::string_view prefix, milliseconds timeout) {
  auto response = m_impl->call("GET", "/v1/objects?prefix=" + percent_encode(prefix, false), {}, {}, timeout);
  if (!response) {
    return response.error();
  }
  boost::system::error_code error;
  const auto parsed = boost::json::parse(response->m_body, error);
  const store_error malformed{store_error_kind::unavailable, 0, "malformed list response of the object API"};
  if (error || !parsed.is_array()) {
    return malformed;
  }
  std::vector<stored_key> keys;
  for (const auto& entry : parsed.as_array()) {
    const auto* object = entry.if_object();
    const auto* key = object != nullptr ? object->if_contains("key") : nullptr;
    const auto* version = object != nullptr ? object->if_contains("version") : nullptr;
    if (key == nullptr || !key->is_string() || version == nullptr || !version->is_number()) {
      return malformed;
    }
    keys.push_back({std::string(key->as_string()), version->to_number<object_version>(error)});
  }
  return keys;
}

store_result<stored_value> http_object_store::watch(std::string_view key, object_version after,
                                                    milliseconds timeout) {
  // The server's timeout is shorter than the client's, so that a watch without a change is not reported as a
  // failure.
  constexpr milliseconds client_margin(500);
  auto response =
      m_impl->call("GET",
                   "/v1/watch?key=" + percent_encode(key, false) + "&after=" + std::to_string(after) +
                       "&timeout_ms=" + std::to_string(timeout.count()),
                   {}, {}, timeout + client_margin);
  if (!response) {
    return response.error();
  }
  if (response->m_status == 304) {
    return stored_value{{}, after};
  }
  const object_version version = parse_version(*response);
  return stored_value{std::move(response->m_body), version};
}

object_store_counters http_object_store::counters() const {
  return m_impl->m_counters;
}

} // namespace cardamompond::net
