#include "stream_plan.hpp"

#include <array>
#include <cstdlib>
#include <string_view>

namespace cardamompond::testing {
namespace {

constexpr int tens_step = 10;

constexpr std::array<std::string_view, 3> framing_names = {"chunks", "length", "connection"};
constexpr std::array<std::string_view, 9> stage_names = {"whole",
                                                         "before the first event",
                                                         "between events",
                                                         "inside an event",
                                                         "behind a chunk size",
                                                         "inside a chunk",
                                                         "before a chunk's end",
                                                         "before the last chunk",
                                                         "inside the last chunk"};
constexpr std::array<std::string_view, 4> kind_names = {"fin", "reset", "silence", "stated end"};
constexpr std::array<std::string_view, 4> start_names = {"", ", from the first event", ", skips events",
                                                         ", repeats an event"};

template <typename Names, typename Value> std::string_view name_of(const Names& names, Value value) {
  return names[static_cast<std::size_t>(value)];
}

} // namespace

std::string describe(const stream_run& run) {
  std::string text;
  if (run.m_status != 200) {
    text = "status " + std::to_string(run.m_status) + (run.m_not_run ? " not run" : "");
  } else {
    text = std::string(name_of(framing_names, run.m_framing)) + ", " +
           std::string(name_of(stage_names, run.m_stage));
    if (run.m_stage != stop_stage::none) {
      text += " after " + std::to_string(run.m_events) + ", " + std::string(name_of(kind_names, run.m_kind));
    }
    text += name_of(start_names, run.m_start);
  }
  if (run.m_before_deadline) {
    text += ", " + std::to_string(run.m_before_deadline->count()) + " ms before its deadline";
  }
  if (run.m_pause > milliseconds(0)) {
    text += ", silent for " + std::to_string(run.m_pause.count()) + " ms";
  }
  text += run.m_split_writes ? ", two writes an event" : "";
  text += run.m_signed ? "" : ", not signed";
  text += run.m_encoded ? ", encoded" : "";
  text += run.m_repeats_response ? ", sent again" : "";
  return text;
}

std::string describe(const run_trace& run) {
  return run.m_engine + " asked after '" + run.m_last_event_id + "' for " +
         std::to_string(run.m_deadline.count()) + " ms, events " + std::to_string(run.m_first) + " to " +
         std::to_string(run.m_last) + " in " +
         std::to_string(std::chrono::duration_cast<milliseconds>(run.m_ended - run.m_began).count()) +
         " ms, " + run.m_end;
}

std::string make_event(const stream_plan& plan, const std::string& request_id, int number) {
  std::string event;
  if (plan.m_ids != id_scheme::odd_events || number % 2 == 1) {
    event = "id: " + std::to_string(plan.m_ids == id_scheme::tens ? number * tens_step : number) + "\n";
  }
  event += "data: " + request_id + " " + std::to_string(number) + "\n";
  if (plan.m_padding > 0) {
    event += "data: " + std::string(plan.m_padding, '.') + "\n";
  }
  return event + "\n";
}

int next_event(const stream_plan& plan, const std::string& last_event_id) {
  const int last = std::atoi(last_event_id.c_str());
  return (plan.m_ids == id_scheme::tens ? last / tens_step : last) + 1;
}

} // namespace cardamompond::testing
