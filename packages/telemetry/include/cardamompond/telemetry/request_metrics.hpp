#pragma once

#include "cardamompond/core/time.hpp"
#include "cardamompond/core/verdict.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace cardamompond {

// The metrics of a daemon. Callers pass only declared names and constants as label values, so that external
// input cannot create time series. Not thread-safe; used on the daemon's thread only.
class request_metrics {
public:
  request_metrics();
  ~request_metrics();

  // Record a duration in a histogram (in seconds) of the client account and tier. The response time is the
  // time from the arrival of the request to the end of the response.
  void observe_queue_wait(std::string_view account, std::string_view tier, duration value);
  void observe_first_token(std::string_view account, std::string_view tier, duration value);
  void observe_between_tokens(std::string_view account, std::string_view tier, duration value);
  void observe_response_time(std::string_view account, std::string_view tier, duration value);

  // Counts a request by account, tier and result: "answered", "broken" or the code of an error.
  void count_request(std::string_view account, std::string_view tier, std::string_view result);

  // Counts a request that was rejected before its client account was known.
  void count_rejected(error_code code);

  // Set a gauge without labels or with one label. `name` has static storage duration and begins with
  // cardamompond_.
  void set_gauge(std::string_view name, double value);
  void set_gauge(std::string_view name, std::string_view label, std::string_view label_value, double value);

  // Raise a counter without labels or with one label to a value that is counted elsewhere. A value below the
  // current one is ignored.
  void set_counter(std::string_view name, double value);
  void set_counter(std::string_view name, std::string_view label, std::string_view label_value, double value);

  // Returns all metrics in the text format of Prometheus.
  std::string serialize() const;

private:
  class impl;
  std::unique_ptr<impl> m_impl;
};

} // namespace cardamompond
