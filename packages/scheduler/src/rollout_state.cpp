#include "cardamompond/scheduler/scheduler.hpp"

namespace cardamompond::scheduler {

std::string_view to_string(rollout_state state) {
  switch (state) {
  case rollout_state::none:
    return "none";
  case rollout_state::in_progress:
    return "moving";
  case rollout_state::done:
    return "done";
  case rollout_state::rolled_back:
    return "taken_back";
  }
  return "none";
}

} // namespace cardamompond::scheduler
