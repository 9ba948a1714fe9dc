#pragma once

#include "cardamompond/core/time.hpp"
#include "cardamompond/core/verdict.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace cardamompond {

// Metrics in the text format of Prometheus. Label values come only from declared names and fixed sets, so
// that outside input cannot create time series. Used on the daemon's thread only.
class request_metrics {
public:
  request_metrics();
  ~request_metrics();

  // Histograms for each client account and tier, in seconds.
  void observe_queue_wait(std::string_view account, std::string_view tier, duration value);
  void observe_first_token(std::string_view account, std::string_view tier, duration value);
  void observe_between_tokens(std::string_view account, std::string_view tier, duration value);
  void observe_response_time(std::string_view account, std::string_view tier, duration value);

  // Requests by account, tier and result: "answered", "broken", or the code of an error.
  void count_request(std::string_view account, std::string_view tier, std::string_view result);

  // Answers made before the account is known.
  void count_rejected(error_code code);

  // Sets a gauge without labels, or with one label; `name` has static storage and the prefix cardamompond_.
  void set_gauge(std::string_view name, double value);
  void set_gauge(std::string_view name, std::string_view label, std::string_view label_value, double value);

  // Sets a counter, with or without one label, to a value counted elsewhere; lower values are ignored.
  void set_counter(std::string_view name, double value);
  void set_counter(std::string_view name, std::string_view label, std::string_view label_value, double value);

  // The whole page.
  std::string serialize() const;

private:
  class impl;
  std::unique_ptr<impl> m_impl;
};

} // namespace cardamompond
