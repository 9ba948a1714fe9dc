#pragma once

#include "cardamompond/fleet/capacity_planner.hpp"
#include "cardamompond/gateway/admission_controller.hpp"
#include "cardamompond/gateway/duty_runner.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace cardamompond::gateway {

// Orders the number of engines of each service and availability zone for which the declarations set bounds.
class engine_duty final : public duty_task {
public:
  engine_duty(admission_controller& admission, const duty_peers& peers, std::string self, duty_api& api);

  void perform(duty_runner& runner) override;

  // The numbers in force, for metrics.
  const std::map<fleet::engine_group, std::uint32_t>& orders() const { return m_orders; }

private:
  // A call for a group without a response: it may be executed later.
  struct unanswered_call {
    std::uint32_t m_engines = 0;
    std::uint64_t m_token = 0;
  };

  void observe(time_point now);
  bool send(duty_runner& runner, const fleet::engine_group& group, std::uint32_t engines);

  admission_controller& m_admission;
  const duty_peers& m_peers;
  std::string m_self;
  duty_api& m_api;
  fleet::capacity_planner m_planner;
  std::map<fleet::engine_group, fleet::engine_demand> m_demands; // of all groups since the duty was claimed
  std::map<fleet::engine_group, unanswered_call> m_unanswered;
  std::map<fleet::engine_group, std::uint32_t> m_orders;
  std::optional<time_point> m_observed_at; // of boot_now()
};

} // namespace cardamompond::gateway
