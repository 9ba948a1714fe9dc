#pragma once

#include "cardamompond/standins/standin.hpp"

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

#include <deque>
#include <map>
#include <string>

namespace cardamompond::standins {

// A token bucket that limits the rate of calls. It holds at most the tokens of one second.
class rate_limiter {
public:
  // Consumes a token; returns false if there is none. A rate of 0 is unlimited.
  bool try_acquire(double rate_per_s);

private:
  double m_tokens = 0;
  time_point m_last_refill{};
};

// Stand-in for the platform's object API, with versions, conditional updates, lists and watches, and with the
// limits and faults of that API.
//
// Parameters:
// - read_rate, write_rate: limits in calls per second; 0 is unlimited.
// - outage: every call gets 503.
// - latency_ms: delay of every call.
// - stale_read_ms: reads, lists and watches show the state as of this time ago.
// - lose_reply_rate, lose_request_rate: probabilities that the connection of a write is closed without a
//   response, after the write took effect or before it does.
// - lose_replies, lose_requests: the number of next writes that fail in these two ways.
// - fault_prefix: limits these four parameters to keys that start with it.
class object_api final : public standin {
public:
  explicit object_api(std::uint64_t seed);

  void handle(net::http_exchange& exchange) override;
  void on_parameters_changed(const boost::json::object& values) override;

private:
  struct revision {
    time_point m_written_at{};
    std::int64_t m_version = 0;
    bool m_exists = false;
    std::string m_value{};
  };
  using revisions = std::deque<revision>;

  void handle_object(net::http_exchange& exchange, const std::string& key);
  void write_object(net::http_exchange& exchange, const std::string& key);
  void list_objects(net::http_exchange& exchange);
  void watch_object(net::http_exchange& exchange);
  // Delays the call. If there is an outage or the rate limit is exceeded, responds with an error and returns
  // false.
  bool admit(net::http_exchange& exchange, bool is_write);
  // Returns the latest revision that reads may see, or null if there is none.
  const revision* find_visible(const std::string& key) const;
  void add_revision(const std::string& key, revision new_revision);
  // Returns whether the present request or reply is lost. `remaining` is the number of further losses that
  // are certain; it is decremented for each.
  bool decide_loss(double rate, std::int64_t& remaining, const std::string& key);

  std::map<std::string, revisions, std::less<>> m_objects;
  std::int64_t m_last_version = 0;
  boost::fibers::mutex m_mutex;
  boost::fibers::condition_variable m_changed;
  rate_limiter m_read_limiter;
  rate_limiter m_write_limiter;

  double m_read_rate = 0;
  double m_write_rate = 0;
  bool m_outage = false;
  std::int64_t m_latency_ms = 0;
  std::int64_t m_stale_read_ms = 0;
  double m_lose_reply_rate = 0;
  double m_lose_request_rate = 0;
  std::int64_t m_lose_replies = 0;
  std::int64_t m_lose_requests = 0;
  std::string m_fault_prefix;
};

} // namespace cardamompond::standins
