#pragma once

#include "cardamompond/gateway/duty_runner.hpp"
#include "cardamompond/gateway/engine_duty.hpp"
#include "cardamompond/gateway/gateway_settings.hpp"
#include "cardamompond/gateway/peer_exchange.hpp"
#include "cardamompond/gateway/store_era.hpp"
#include "cardamompond/gateway/usage_duty.hpp"
#include "cardamompond/net/http_client.hpp"
#include "cardamompond/platform/duty_api_client.hpp"
#include "cardamompond/platform/duty_store_client.hpp"
#include "cardamompond/telemetry/request_metrics.hpp"

#include <memory>
#include <string_view>
#include <vector>

namespace cardamompond::daemon {

// The duties of an entry daemon, as its settings name them.
class entry_duties {
public:
  entry_duties(const gateway::gateway_settings& settings, net::fiber_runtime& runtime,
               gateway::peer_group& group, gateway::peer_exchange& exchange,
               gateway::admission_controller& admission, std::shared_ptr<gateway::store_era> era);
  ~entry_duties();
  entry_duties(const entry_duties&) = delete;
  entry_duties& operator=(const entry_duties&) = delete;

  void start();

  // Counts a request of an account that has begun to run.
  void record_request(std::string_view account);

  // Gives all duties up; handed_over() tells when that is done.
  void hand_over();
  bool handed_over() const;

  void update_metrics(request_metrics& metrics) const;

private:
  // A duty with what it needs to be carried out.
  struct assignment {
    std::unique_ptr<gateway::duty_api> m_api;
    std::unique_ptr<gateway::duty_task> m_task;
    std::unique_ptr<gateway::duty_runner> m_runner;
  };

  std::unique_ptr<gateway::duty_task> make_task(fleet::duty which, const gateway::duty_settings& duty,
                                                gateway::duty_api& api);
  void add(const gateway::duty_settings& duty, const gateway::gateway_settings& settings);

  net::http_client m_connections;
  gateway::peer_group& m_group;
  gateway::peer_exchange& m_exchange;
  gateway::admission_controller& m_admission;
  std::shared_ptr<gateway::store_era> m_store_era;
  platform::duty_store_client m_store;
  gateway::duty_peers m_peers;
  std::uint64_t m_incarnation;
  std::unique_ptr<gateway::usage_ledger> m_ledger;
  gateway::usage_duty* m_usage = nullptr;
  gateway::engine_duty* m_engines = nullptr;
  std::vector<assignment> m_assignments;
};

} // namespace cardamompond::daemon
