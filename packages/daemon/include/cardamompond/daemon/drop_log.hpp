#pragma once

#include "cardamompond/core/time.hpp"
#include "cardamompond/net/http_server.hpp"
#include "cardamompond/telemetry/request_metrics.hpp"

#include <array>
#include <cstdint>
#include <string_view>

namespace cardamompond::daemon {

std::string_view to_string(net::request_drop cause);

// Counts and logs requests and connections that ended without a response. Clients may cause any number of
// them, so that a line is written at most once a minute for each cause, with the number since the last line.
class drop_log {
public:
  explicit drop_log(request_metrics& metrics)
      : m_metrics(metrics) {}

  void record(net::request_drop cause, std::string_view detail, time_point now);

private:
  struct cause_state {
    std::uint64_t m_total = 0;
    std::uint64_t m_since_line = 0;
    time_point m_next_line{};
  };

  request_metrics& m_metrics;
  std::array<cause_state, net::request_drop_count> m_causes{};
};

} // namespace cardamompond::daemon
