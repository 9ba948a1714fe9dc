#include "cardamompond/standins/plain_service.hpp"

#include <boost/fiber/operations.hpp>

namespace cardamompond::standins {

plain_service::plain_service(std::uint64_t seed)
    : backend(seed) {
  m_parameters.add("latency_ms", &m_latency_ms);
  m_parameters.add("slow_rate", &m_slow_rate);
  m_parameters.add("slow_ms", &m_slow_ms);
  m_parameters.add("answer_bytes", &m_answer_bytes);
}

void plain_service::serve(net::http_exchange& exchange, history_entry& entry) {
  const std::string path(exchange.request().path());
  if (refuse_stale_order(exchange, entry)) {
    return;
  }
  const std::uint64_t boot_number = m_boot_number;
  ++m_in_flight;
  ++m_running;
  const auto latency_ms = m_random.with_probability(m_slow_rate) ? m_slow_ms : m_latency_ms;
  const auto duration_ms = static_cast<double>(latency_ms) * duration_factor(path);
  boost::this_fiber::sleep_for(duration(static_cast<std::int64_t>(duration_ms * 1000)));
  if (boot_number != m_boot_number) {
    history::record_outcome(entry, "lost");
    exchange.close_after_response();
    return;
  }
  --m_in_flight;
  --m_running;
  const std::int64_t execution = count_execution(entry);
  if (is_fault_active(path) && m_random.with_probability(m_fail_after_rate)) {
    history::record_outcome(entry, "failed_after_effect");
    respond_json(exchange, 500, {{"error", "failed after the effect"}});
    return;
  }
  record_completion();
  history::record_outcome(entry, "completed");
  respond_json(exchange, 200,
               {{"path", path},
                {"key", entry.m_key},
                {"execution", execution},
                {"request_id", entry.m_request_id},
                {"padding", std::string(static_cast<std::size_t>(m_answer_bytes), 'x')}});
}

} // namespace cardamompond::standins
