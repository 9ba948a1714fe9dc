#include "cardamompond/standins/backend.hpp"

#include <boost/json/parse.hpp>

#include <algorithm>

namespace cardamompond::standins {
namespace {

// Returns an integer member of a JSON body, or `fallback` if there is no such member.
std::int64_t read_integer_member(std::string_view body, std::string_view name, std::int64_t fallback) {
  boost::system::error_code error;
  const auto parsed = boost::json::parse(body, error);
  const auto* fields = error ? nullptr : parsed.if_object();
  const auto* member = fields != nullptr ? fields->if_contains(name) : nullptr;
  return member != nullptr && member->is_int64() ? member->as_int64() : fallback;
}

} // namespace

backend::backend(std::uint64_t seed)
    : standin(seed) {
  m_parameters.add("slots", &m_slots);
  m_parameters.add("cold_limit", &m_cold_limit);
  m_parameters.add("state_reported", &m_state_reported);
  m_parameters.add("load_lag_ms", &m_load_lag_ms);
  m_parameters.add("load_unavailable", &m_load_unavailable);
  m_parameters.add("fail_rate", &m_fail_rate);
  m_parameters.add("fail_after_rate", &m_fail_after_rate);
  m_parameters.add("refuse_rate", &m_refuse_rate);
  m_parameters.add("slow_factor", &m_slow_factor);
  m_parameters.add("fault_after", &m_fault_after);
  m_parameters.add("fault_route", &m_fault_route);
  m_parameters.add("fault_above_running", &m_fault_above_running);
  m_parameters.add("crash_marker", &m_crash_marker);
  m_parameters.add("down_ms", &m_down_ms);
  m_parameters.add("checks_fencing", &m_checks_fencing);
  m_parameters.add("restart", &m_restart);
  m_parameters.add("crash", &m_crash);
  boot();
}

void backend::boot() {
  ++m_boot_number;
  m_boot_id = "boot-" + std::to_string(m_random.next());
  m_in_flight = 0;
  m_running = 0;
  m_requests_since_boot = 0;
  m_completions = 0;
  m_cold_capacity = m_cold_limit;
}

void backend::on_parameters_changed(const boost::json::object& values) {
  if (m_restart || m_crash) {
    m_restart = false;
    m_crash = false;
    restart();
  } else if (values.contains("cold_limit")) {
    m_cold_capacity = m_cold_limit;
    m_completions = 0;
  }
  record_load();
}

void backend::restart() {
  clear_volatile_state();
  boot();
  if (m_drop_connections) {
    m_drop_connections(milliseconds(m_down_ms));
  }
}

std::int64_t backend::capacity() const {
  return m_cold_capacity > 0 ? std::min(m_cold_capacity, m_slots) : m_slots;
}

bool backend::is_fault_active(std::string_view path) const {
  return m_requests_since_boot > m_fault_after && path.starts_with(m_fault_route) &&
         (m_fault_above_running == 0 || m_in_flight > m_fault_above_running);
}

void backend::record_completion() {
  if (m_cold_capacity == 0 || ++m_completions < m_cold_capacity) {
    return;
  }
  m_completions = 0;
  m_cold_capacity *= 2;
  if (m_cold_capacity >= m_slots) {
    m_cold_capacity = 0;
  }
}

std::int64_t backend::count_execution(history_entry& entry) {
  entry.m_executed = true;
  return ++m_executions[entry.m_key];
}

bool backend::refuse_stale_order(net::http_exchange& exchange, history_entry& entry) {
  if (!m_checks_fencing || exchange.request().m_method != "POST") {
    return false;
  }
  const std::int64_t fencing_number =
      read_integer_member(exchange.request().m_body, "fencing", m_highest_fencing_number);
  if (fencing_number < m_highest_fencing_number) {
    history::record_outcome(entry, "stale_fencing");
    respond_json(exchange, 409, {{"error", "stale fencing number"}});
    return true;
  }
  m_highest_fencing_number = fencing_number;
  return false;
}

void backend::handle(net::http_exchange& exchange) {
  if (exchange.request().path() == "/load") {
    respond_with_load(exchange);
  } else if (!handle_control(exchange)) {
    handle_request(exchange);
    record_load();
  }
}

void backend::handle_request(net::http_exchange& exchange) {
  const net::http_request& request = exchange.request();
  ++m_requests_since_boot;
  history_entry& entry = m_history.add({.m_request_id = header_or_empty(request, "Cardamompond-Request-Id"),
                                        .m_key = header_or_empty(request, "Idempotency-Key"),
                                        .m_route = request.m_method + " " + std::string(request.path()),
                                        .m_boot_id = m_boot_id,
                                        .m_concurrent = m_in_flight + 1,
                                        .m_limit = capacity()});
  if (!m_crash_marker.empty() && request.m_body.find(m_crash_marker) != std::string::npos) {
    history::record_outcome(entry, "crashed");
    restart();
    exchange.close_after_response();
    return;
  }
  const bool fault_active = is_fault_active(request.path());
  if (m_random.with_probability(fault_active ? m_refuse_rate : 0)) {
    history::record_outcome(entry, "refused");
    respond_json(exchange, 503, {{"error", "refused"}}, {{"X-Not-Run", "1"}});
  } else if (m_cold_capacity > 0 && entry.m_concurrent > entry.m_limit) {
    history::record_outcome(entry, "cold_overrun");
    respond_json(exchange, 500, {{"error", "cold and over the limit"}});
  } else if (m_random.with_probability(fault_active ? m_fail_rate : 0)) {
    history::record_outcome(entry, "failed");
    respond_json(exchange, 500, {{"error", "failed"}});
  } else {
    serve(exchange, entry);
  }
}

void backend::record_load() {
  const time_point now = monotonic_now();
  const std::string_view state = !m_state_reported.empty() ? std::string_view(m_state_reported)
                                 : m_cold_capacity > 0     ? "cold"
                                                           : "warm";
  m_load_reports.push_back({now,
                            {{"boot_id", m_boot_id},
                             {"state", state},
                             {"running", m_running},
                             {"waiting", m_in_flight - m_running},
                             {"slots", m_slots},
                             {"tokens_per_s", tokens_per_s()}}});
  while (m_load_reports.size() > 1 && m_load_reports[1].m_recorded_at <= now - milliseconds(m_load_lag_ms)) {
    m_load_reports.pop_front();
  }
}

void backend::respond_with_load(net::http_exchange& exchange) {
  if (m_load_unavailable) {
    exchange.close_after_response();
    return;
  }
  record_load();
  boost::json::object content = m_load_reports.front().m_content;
  const time_point measured_at =
      std::max(m_load_reports.front().m_recorded_at, monotonic_now() - milliseconds(m_load_lag_ms));
  content["measured_ms_ago"] =
      std::chrono::duration_cast<milliseconds>(monotonic_now() - measured_at).count();
  respond_json(exchange, 200, content);
}

} // namespace cardamompond::standins
