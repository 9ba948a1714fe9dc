#pragma once

#include "cardamompond/gateway/duty_runner.hpp"
#include "cardamompond/gateway/usage_ledger.hpp"
#include "cardamompond/net/http_client.hpp"

#include <cstdint>
#include <optional>
#include <set>
#include <string>

namespace cardamompond::gateway {

// Reports the usage of each window once: gathers what the collectors of all zones know, records the sums in
// the store, and sends what is recorded until the API has accepted it.
class usage_duty final : public duty_task {
public:
  usage_duty(net::http_client& client, peer_group& group, usage_ledger& ledger, duty_api& api,
             duration late_after);

  void perform(duty_runner& runner) override;

  // The newest window that the API accepted from this daemon; 0: none.
  std::int64_t last_accepted_window() const { return m_last_accepted; }

private:
  void record_due_windows(duty_runner& runner);
  void send_recorded_window(duty_runner& runner);
  bool is_due(std::int64_t window) const;
  bool gather(std::int64_t window);

  net::http_client& m_client;
  peer_group& m_group;
  usage_ledger& m_ledger;
  duty_api& m_api;
  duration m_late_after;
  std::int64_t m_gathered_window = 0;         // the window of m_answered_zones
  std::set<std::string> m_answered_zones;     // whose collectors told what they know
  std::optional<time_point> m_next_gathering; // of boot_now()
  std::set<std::int64_t> m_accepted;
  std::int64_t m_last_accepted = 0;
};

} // namespace cardamompond::gateway
