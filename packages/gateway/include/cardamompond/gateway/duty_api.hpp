#pragma once

#include "cardamompond/core/time.hpp"
#include "cardamompond/fleet/capacity_planner.hpp"
#include "cardamompond/fleet/duty_claim.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace cardamompond::gateway {

// How a call to the platform's API ended.
enum class duty_call_outcome {
  accepted,
  outdated_token, // the API has seen a higher token; not executed
  rate_limited,   // over the rate limit; not executed
  rejected,       // another status
  unreachable,    // the call was not sent
  no_response     // the call was sent and may be executed later
};

// Returns the outcome as it appears in logs and metrics, e.g. "no_response".
std::string_view to_string(duty_call_outcome outcome);

struct duty_call_result {
  duty_call_outcome m_outcome = duty_call_outcome::unreachable;
  std::string m_reason; // if it was not accepted
};

// Who makes a call.
struct duty_caller {
  std::string_view m_holder;
  std::uint64_t m_token = 0;
};

// The calls that are a duty of one daemon at a time. A call blocks the fiber for at most `timeout`.
class duty_api {
public:
  virtual ~duty_api() = default;

  // Reports the requests of each client account that began to run in a window.
  virtual duty_call_result report_usage(duty_caller caller, const fleet::recorded_window& window,
                                        milliseconds timeout) = 0;

  // Orders the number of engines of a service in a zone.
  virtual duty_call_result order_engines(duty_caller caller, const fleet::engine_group& group,
                                         std::uint32_t engines, milliseconds timeout) = 0;
};

} // namespace cardamompond::gateway
