#pragma once

#include "cardamompond/standins/backend.hpp"

#include <cstdint>

namespace cardamompond::standins {

// Stand-in for a service without a language model, such as one for orders, bookings or stock. On any path, it
// responds with the number of times that requests with the same Idempotency-Key have been executed.
//
// Parameters in addition to those of backend:
// - latency_ms: latency of a normal response.
// - slow_rate, slow_ms: probability and latency of a slow response.
// - answer_bytes: number of padding bytes in the response.
class plain_service final : public backend {
public:
  explicit plain_service(std::uint64_t seed);

private:
  void serve(net::http_exchange& exchange, history_entry& entry) override;
  void clear_volatile_state() override {}

  std::int64_t m_latency_ms = 5;
  double m_slow_rate = 0;
  std::int64_t m_slow_ms = 1000;
  std::int64_t m_answer_bytes = 0;
};

} // namespace cardamompond::standins
