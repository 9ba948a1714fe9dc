#include "cut_streams_cases.hpp"

namespace cardamompond::testing {
namespace {

constexpr std::array<stop_stage, 8> all_stages = {
    stop_stage::before_first_event, stop_stage::between_events,   stop_stage::inside_event,
    stop_stage::behind_chunk_size,  stop_stage::inside_chunk,     stop_stage::before_chunk_end,
    stop_stage::before_last_chunk,  stop_stage::inside_last_chunk};

constexpr int max_events = 20; // of a run that is cut

} // namespace

bool is_recognizable(const stream_run& run) {
  return run.m_framing != body_framing::connection || run.m_kind != stop_kind::fin ||
         run.m_stage == stop_stage::inside_event || run.m_stage == stop_stage::inside_chunk ||
         run.m_stage == stop_stage::before_first_event;
}

stream_run make_cut(std::mt19937_64& random, body_framing framing) {
  stream_run run;
  do {
    run = {.m_framing = framing,
           .m_stage = pick(all_stages, random),
           .m_kind = pick(all_cuts, random),
           .m_events = 1 + static_cast<int>(random() % max_events),
           .m_split_writes = random() % 3 == 0};
  } while (!is_recognizable(run));
  return run;
}

stream_run make_cut_with_an_event_due(std::mt19937_64& random) {
  stream_run run = {.m_framing = pick(all_framings, random),
                    .m_stage = pick(stages_with_an_event_due, random),
                    .m_kind = pick(all_cuts, random),
                    .m_events = 1 + static_cast<int>(random() % max_events)};
  if (run.m_framing == body_framing::connection && run.m_stage == stop_stage::behind_chunk_size) {
    run.m_stage = stop_stage::inside_event; // it has no chunks
  }
  return run;
}

} // namespace cardamompond::testing
