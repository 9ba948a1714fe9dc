#pragma once

#include "cardamompond/core/object_store.hpp"
#include "cardamompond/net/http_client.hpp"

#include <cstdint>
#include <memory>
#include <string>

namespace cardamompond::net {

// Counts of calls, transferred bytes and failures, for metrics.
struct object_store_counters {
  std::uint64_t m_reads = 0;
  std::uint64_t m_writes = 0;
  std::uint64_t m_bytes_sent = 0;
  std::uint64_t m_bytes_received = 0;
  std::uint64_t m_failures = 0;
  std::uint64_t m_rate_limited = 0;
};

struct http_object_store_options {
  std::string m_address;
  // Rates of the client-side token buckets. A call that exceeds one waits for a token, at most for its
  // timeout.
  double m_max_reads_per_s = 50;
  double m_max_writes_per_s = 20;
  double m_burst = 50; // capacity of each bucket
};

// Accesses the platform's object API over HTTP. Client-side rate limits prevent a daemon from flooding the
// platform when it recovers from an outage. Callers are responsible for the backoff between retries.
class http_object_store final : public object_store {
public:
  http_object_store(fiber_runtime& runtime, http_object_store_options options);
  ~http_object_store() override;

  store_result<stored_value> get(std::string_view key, milliseconds timeout) override;
  store_result<object_version> put(std::string_view key, std::string_view value, object_version expected,
                                   milliseconds timeout) override;
  store_result<success> erase(std::string_view key, object_version expected, milliseconds timeout) override;
  store_result<std::vector<stored_key>> list(std::string_view prefix, milliseconds timeout) override;
  store_result<stored_value> watch(std::string_view key, object_version after, milliseconds timeout) override;

  object_store_counters counters() const;

private:
  class impl;
  std::unique_ptr<impl> m_impl;
};

} // namespace cardamompond::net
