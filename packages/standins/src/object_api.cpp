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
constexpr std::string_view objects_path = "/v1/objects/";

// How long superseded revisions are kept for stale reads.
constexpr seconds kept_for(60);

net::http_headers etag(std::int64_t version) {
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
std::int64_t query_number(const net::http_request& request, std::string_view name) {
  std::int64_t number = 0;
  const std::string text = request.query(name).value_or("");
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

} // namespace

bool call_rate::take(double rate_per_s) {
  if (rate_per_s <= 0) {
    return true;
  }
  const time_point now = monotonic_now();
  m_tokens =
      std::min(rate_per_s, m_tokens + std::chrono::duration<double>(now - m_last).count() * rate_per_s);
  m_last = now;
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

void object_api::parameters_changed(const boost::json::object& /*values*/) {
  m_changed.notify_all(); // so that an outage ends pending watches
}

void object_api::handle(net::http_exchange& exchange) {
  const bool is_write = exchange.request().m_method == "PUT" || exchange.request().m_method == "DELETE";
  if (!admit(exchange, is_write)) {
    return;
  }
  const std::string path(exchange.request().path());
  if (path == "/v1/objects" && !is_write) {
    list(exchange);
  } else if (path == "/v1/watch" && !is_write) {
    watch(exchange);
  } else if (path.starts_with(objects_path) && path.size() > objects_path.size()) {
    const std::string key(
        boost::urls::decode_view(std::string_view(path).substr(objects_path.size())).begin(),
        boost::urls::decode_view(std::string_view(path).substr(objects_path.size())).end());
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
  if (!(is_write ? m_writes.take(m_write_rate) : m_reads.take(m_read_rate))) {
    respond_json(exchange, 429, {{"error", "over the rate limit"}}, {{"Retry-After", "1"}});
    return false;
  }
  return true;
}

void object_api::handle_object(net::http_exchange& exchange, const std::string& key) {
  const std::string& method = exchange.request().m_method;
  if (method == "PUT" || method == "DELETE") {
    write(exchange, key);
  } else if (method != "GET") {
    respond_json(exchange, 405, {{"error", "method not allowed"}});
  } else if (const auto* found = visible(key); found != nullptr && found->m_exists) {
    std::ignore = exchange.respond({200, etag(found->m_version), found->m_value});
  } else {
    respond_json(exchange, 404, {{"error", "no such object"}});
  }
}

bool object_api::lose(double rate, std::int64_t& next, const std::string& key) {
  if (!key.starts_with(m_fault_prefix)) {
    return false;
  }
  if (next > 0) {
    --next;
    return true;
  }
  return m_random.chance(rate);
}

void object_api::write(net::http_exchange& exchange, const std::string& key) {
  const net::http_request& request = exchange.request();
  const bool erase = request.m_method == "DELETE";
  history_entry& entry = m_history.add({.m_key = key, .m_route = request.m_method + " " + request.m_target});
  const auto refuse = [&](int status, std::string_view reason, net::http_headers headers = {}) {
    history::end(entry, std::string(reason));
    respond_json(exchange, status, {{"error", reason}}, std::move(headers));
  };
  if (lose(m_lose_request_rate, m_lose_requests, key)) {
    history::end(entry, "request_lost");
    return; // returning without a response closes the connection
  }
  if (request.m_body.size() > max_value_bytes) {
    refuse(413, "too_large");
    return;
  }
  const auto found = m_objects.find(key);
  const bool exists = found != m_objects.end() && found->second.back().m_exists;
  const std::int64_t current = exists ? found->second.back().m_version : 0;
  const auto if_match = net::find_header(request.m_headers, "If-Match");
  const bool create = !erase && header_or_empty(request, "If-None-Match") == "*";
  if (!if_match && !create) {
    refuse(400, "precondition_missing");
    return;
  }
  if (erase && !exists) {
    refuse(404, "not_found");
    return;
  }
  if (create ? exists : (!exists || parse_etag(*if_match) != current)) {
    refuse(412, "conflict", exists ? etag(current) : net::http_headers{});
    return;
  }
  store(key, {.m_version = ++m_last_version, .m_exists = !erase, .m_value = request.m_body});
  entry.m_executed = true;
  entry.m_version = m_last_version;
  if (lose(m_lose_reply_rate, m_lose_replies, key)) {
    history::end(entry, "reply_lost");
    return; // returning without a response closes the connection
  }
  history::end(entry, "completed");
  std::ignore = exchange.respond({200, etag(m_last_version), {}});
}

void object_api::store(const std::string& key, revision next) {
  next.m_at = monotonic_now();
  revisions& all = m_objects[key];
  all.push_back(std::move(next));
  // Only stale reads need superseded revisions. Without stale reads they are dropped at once, so that an
  // object that is written often does not use up the memory.
  const auto kept = m_stale_read_ms > 0 ? duration(kept_for) : duration(0);
  while (all.size() > 1 && all[1].m_at <= monotonic_now() - kept) {
    all.pop_front();
  }
  m_changed.notify_all();
}

const object_api::revision* object_api::visible(const std::string& key) const {
  const auto found = m_objects.find(key);
  if (found == m_objects.end()) {
    return nullptr;
  }
  const time_point until = monotonic_now() - milliseconds(m_stale_read_ms);
  const auto newest = std::find_if(found->second.rbegin(), found->second.rend(),
                                   [&](const revision& one) { return one.m_at <= until; });
  return newest == found->second.rend() ? nullptr : &*newest;
}

void object_api::list(net::http_exchange& exchange) {
  const std::string prefix = exchange.request().query("prefix").value_or("");
  boost::json::array rows;
  for (auto at = m_objects.lower_bound(prefix); at != m_objects.end() && at->first.starts_with(prefix);
       ++at) {
    if (const auto* found = visible(at->first); found != nullptr && found->m_exists) {
      rows.push_back({{"key", at->first}, {"version", found->m_version}});
    }
  }
  respond_json(exchange, 200, rows);
}

void object_api::watch(net::http_exchange& exchange) {
  const std::string key = exchange.request().query("key").value_or("");
  const std::int64_t after = query_number(exchange.request(), "after");
  const auto deadline =
      std::chrono::steady_clock::now() + milliseconds(query_number(exchange.request(), "timeout_ms"));
  const auto newer = [&]() -> const revision* {
    const auto* found = visible(key);
    return found != nullptr && found->m_exists && found->m_version > after ? found : nullptr;
  };
  std::unique_lock<boost::fibers::mutex> lock(m_mutex);
  while (newer() == nullptr && !m_outage && std::chrono::steady_clock::now() < deadline) {
    // With stale reads, a revision becomes visible without a write that notifies the watch. The watch
    // therefore checks every 20 ms.
    const auto next_look = std::chrono::steady_clock::now() + milliseconds(m_stale_read_ms > 0 ? 20 : 1000);
    m_changed.wait_until(lock, std::min(deadline, next_look));
  }
  lock.unlock();
  if (m_outage) {
    respond_json(exchange, 503, {{"error", "outage"}});
  } else if (const auto* found = newer(); found != nullptr) {
    std::ignore = exchange.respond({200, etag(found->m_version), found->m_value});
  } else {
    std::ignore = exchange.respond({304, {}, {}});
  }
}

} // namespace cardamompond::standins
