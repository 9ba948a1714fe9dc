#include "cardamompond/standins/object_api.hpp"

#include <boost/fiber/operations.hpp>
#include <boost/json/array.hpp>
#include <boost/url/decode_view.hpp>

#include <algorithm>
#include <charconv>
#include <tuple>

namespace cardamompond::standins {
namespace {

constexpr std::size_t max_value_bytes = 1'000'000;
constexpr std::string_view object_path_prefix = "/v1/objects/";

// How long superseded revisions are kept for stale reads.
constexpr seconds revision_retention(60);

net::http_headers make_etag_header(std::int64_t version) {
  return {{"ETag", '"' + std::to_string(version) + '"'}};
}

// Parses a quoted version. Returns -1 if it is malformed.
std::int64_t parse_etag(std::string_view text) {
  std::int64_t version = -1;
  if (text.size() > 2 && text.front() == '"' && text.back() == '"') {
    std::from_chars(text.data() + 1, text.data() + text.size() - 1, version);
  }
  return version;
}

// Returns the number at the start of a query parameter, or 0 if there is none.
std::int64_t parse_query_number(const net::http_request& request, std::string_view name) {
  std::int64_t number = 0;
  const std::string text = request.query(name).value_or("");
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

} // namespace

bool rate_limiter::try_acquire(double rate_per_s) {
  if (rate_per_s <= 0) {
    return true;
  }
  const time_point now = monotonic_now();
  m_tokens = std::min(rate_per_s,
                      m_tokens + std::chrono::duration<double>(now - m_last_refill).count() * rate_per_s);
  m_last_refill = now;
  if (m_tokens < 1) {
    return false;
  }
  m_tokens -= 1;
  return true;
}

object_api::object_api(std::uint64_t seed)
    : standin(seed) {
  m_parameters.add("read_rate", &m_read_rate);
  m_parameters.add("write_rate", &m_write_rate);
  m_parameters.add("outage", &m_outage);
  m_parameters.add("latency_ms", &m_latency_ms);
  m_parameters.add("stale_read_ms", &m_stale_read_ms);
  m_parameters.add("lose_reply_rate", &m_lose_reply_rate);
  m_parameters.add("lose_request_rate", &m_lose_request_rate);
  m_parameters.add("lose_replies", &m_lose_replies);
  m_parameters.add("lose_requests", &m_lose_requests);
  m_parameters.add("fault_prefix", &m_fault_prefix);
}

void object_api::on_parameters_changed(const boost::json::object& /*values*/) {
  m_changed.notify_all(); // so that an outage ends pending watches
}

void object_api::handle(net::http_exchange& exchange) {
  const bool is_write = exchange.request().m_method == "PUT" || exchange.request().m_method == "DELETE";
  if (!admit(exchange, is_write)) {
    return;
  }
  const std::string path(exchange.request().path());
  if (path == "/v1/objects" && !is_write) {
    list_objects(exchange);
  } else if (path == "/v1/watch" && !is_write) {
    watch_object(exchange);
  } else if (path.starts_with(object_path_prefix) && path.size() > object_path_prefix.size()) {
    const std::string key(
        boost::urls::decode_view(std::string_view(path).substr(object_path_prefix.size())).begin(),
        boost::urls::decode_view(std::string_view(path).substr(object_path_prefix.size())).end());
    handle_object(exchange, key);
  } else {
    respond_json(exchange, 404, {{"error", "no such call"}});
  }
}

bool object_api::admit(net::http_exchange& exchange, bool is_write) {
  if (m_latency_ms > 0) {
    boost::this_fiber::sleep_for(milliseconds(m_latency_ms));
  }
  if (m_outage) {
    respond_json(exchange, 503, {{"error", "outage"}});
    return false;
  }
  if (!(is_write ? m_write_limiter.try_acquire(m_write_rate) : m_read_limiter.try_acquire(m_read_rate))) {
    respond_json(exchange, 429, {{"error", "over the rate limit"}}, {{"Retry-After", "1"}});
    return false;
  }
  return true;
}

void object_api::handle_object(net::http_exchange& exchange, const std::string& key) {
  const std::string& method = exchange.request().m_method;
  if (method == "PUT" || method == "DELETE") {
    write_object(exchange, key);
  } else if (method != "GET") {
    respond_json(exchange, 405, {{"error", "method not allowed"}});
  } else if (const auto* found = find_visible(key); found != nullptr && found->m_exists) {
    std::ignore = exchange.respond({200, make_etag_header(found->m_version), found->m_value});
  } else {
    respond_json(exchange, 404, {{"error", "no such object"}});
  }
}

bool object_api::decide_loss(double rate, std::int64_t& remaining, const std::string& key) {
  if (!key.starts_with(m_fault_prefix)) {
    return false;
  }
  if (remaining > 0) {
    --remaining;
    return true;
  }
  return m_random.with_probability(rate);
}

void object_api::write_object(net::http_exchange& exchange, const std::string& key) {
  const net::http_request& request = exchange.request();
  const bool is_delete = request.m_method == "DELETE";
  history_entry& entry = m_history.add({.m_key = key, .m_route = request.m_method + " " + request.m_target});
  const auto refuse = [&](int status, std::string_view reason, net::http_headers headers = {}) {
    history::record_outcome(entry, std::string(reason));
    respond_json(exchange, status, {{"error", reason}}, std::move(headers));
  };
  if (decide_loss(m_lose_request_rate, m_lose_requests, key)) {
    history::record_outcome(entry, "request_lost");
    return; // returning without a response closes the connection
  }
  if (request.m_body.size() > max_value_bytes) {
    refuse(413, "too_large");
    return;
  }
  const auto found = m_objects.find(key);
  const bool exists = found != m_objects.end() && found->second.back().m_exists;
  const std::int64_t current_version = exists ? found->second.back().m_version : 0;
  const auto if_match = net::find_header(request.m_headers, "If-Match");
  const bool is_create = !is_delete && header_or_empty(request, "If-None-Match") == "*";
  if (!if_match && !is_create) {
    refuse(400, "precondition_missing");
    return;
  }
  if (is_delete && !exists) {
    refuse(404, "not_found");
    return;
  }
  if (is_create ? exists : (!exists || parse_etag(*if_match) != current_version)) {
    refuse(412, "conflict", exists ? make_etag_header(current_version) : net::http_headers{});
    return;
  }
  add_revision(key, {.m_version = ++m_last_version, .m_exists = !is_delete, .m_value = request.m_body});
  entry.m_executed = true;
  entry.m_version = m_last_version;
  if (decide_loss(m_lose_reply_rate, m_lose_replies, key)) {
    history::record_outcome(entry, "reply_lost");
    return; // returning without a response closes the connection
  }
  history::record_outcome(entry, "completed");
  std::ignore = exchange.respond({200, make_etag_header(m_last_version), {}});
}

void object_api::add_revision(const std::string& key, revision new_revision) {
  new_revision.m_written_at = monotonic_now();
  revisions& object_revisions = m_objects[key];
  object_revisions.push_back(std::move(new_revision));
  // Only stale reads need superseded revisions. Without stale reads they are dropped at once, so that an
  // object that is written often does not use up the memory.
  const auto retention = m_stale_read_ms > 0 ? duration(revision_retention) : duration(0);
  while (object_revisions.size() > 1 && object_revisions[1].m_written_at <= monotonic_now() - retention) {
    object_revisions.pop_front();
  }
  m_changed.notify_all();
}

const object_api::revision* object_api::find_visible(const std::string& key) const {
  const auto found = m_objects.find(key);
  if (found == m_objects.end()) {
    return nullptr;
  }
  const time_point visible_until = monotonic_now() - milliseconds(m_stale_read_ms);
  const auto newest =
      std::find_if(found->second.rbegin(), found->second.rend(),
                   [&](const revision& candidate) { return candidate.m_written_at <= visible_until; });
  return newest == found->second.rend() ? nullptr : &*newest;
}

void object_api::list_objects(net::http_exchange& exchange) {
  const std::string prefix = exchange.request().query("prefix").value_or("");
  boost::json::array rows;
  for (auto it = m_objects.lower_bound(prefix); it != m_objects.end() && it->first.starts_with(prefix);
       ++it) {
    if (const auto* found = find_visible(it->first); found != nullptr && found->m_exists) {
      rows.push_back({{"key", it->first}, {"version", found->m_version}});
    }
  }
  respond_json(exchange, 200, rows);
}

void object_api::watch_object(net::http_exchange& exchange) {
  const std::string key = exchange.request().query("key").value_or("");
  const std::int64_t after = parse_query_number(exchange.request(), "after");
  const auto deadline =
      std::chrono::steady_clock::now() + milliseconds(parse_query_number(exchange.request(), "timeout_ms"));
  const auto find_newer = [&]() -> const revision* {
    const auto* found = find_visible(key);
    return found != nullptr && found->m_exists && found->m_version > after ? found : nullptr;
  };
  std::unique_lock<boost::fibers::mutex> lock(m_mutex);
  while (find_newer() == nullptr && !m_outage && std::chrono::steady_clock::now() < deadline) {
    // With stale reads, a revision becomes visible without a write that notifies the watch. The watch
    // therefore checks every 20 ms.
    const auto next_check = std::chrono::steady_clock::now() + milliseconds(m_stale_read_ms > 0 ? 20 : 1000);
    m_changed.wait_until(lock, std::min(deadline, next_check));
  }
  lock.unlock();
  if (m_outage) {
    respond_json(exchange, 503, {{"error", "outage"}});
  } else if (const auto* found = find_newer(); found != nullptr) {
    std::ignore = exchange.respond({200, make_etag_header(found->m_version), found->m_value});
  } else {
    std::ignore = exchange.respond({304, {}, {}});
  }
}

} // namespace cardamompond::standins
