#include "cut_streams_group.hpp"

#include <CppUTest/TestHarness.h>
#include <boost/fiber/operations.hpp>

#include <algorithm>
#include <array>
#include <iterator>

using namespace cardamompond;
using namespace cardamompond::testing;

// Streams whose runs are cut at each stage of a response.
TEST_GROUP(cut_streams){};

namespace {

constexpr int engine_count = 40;

template <typename T, std::size_t N> T pick(const std::array<T, N>& values, std::mt19937_64& random) {
  return values[random() % N];
}

constexpr std::array<stop_stage, 8> all_stages = {
    stop_stage::before_first_event, stop_stage::between_events,   stop_stage::inside_event,
    stop_stage::behind_chunk_size,  stop_stage::inside_chunk,     stop_stage::before_chunk_end,
    stop_stage::before_last_chunk,  stop_stage::inside_last_chunk};

// Whether an observer of the connection can tell the cut from the end of a whole response. An orderly end of
// a response that ends with its connection tells it only inside an event and before the first one.
bool is_recognizable(const stream_run& run) {
  return run.m_framing != body_framing::connection || run.m_kind != stop_kind::fin ||
         run.m_stage == stop_stage::inside_event || run.m_stage == stop_stage::inside_chunk ||
         run.m_stage == stop_stage::before_first_event;
}

stream_run make_cut(std::mt19937_64& random, body_framing framing) {
  constexpr std::array<stop_kind, 3> kinds = {stop_kind::fin, stop_kind::reset, stop_kind::silence};
  stream_run run;
  do {
    run = {.m_framing = framing,
           .m_stage = pick(all_stages, random),
           .m_kind = pick(kinds, random),
           .m_events = 1 + static_cast<int>(random() % 20),
           .m_split_writes = random() % 3 == 0};
  } while (!is_recognizable(run));
  return run;
}

std::vector<stream_case> make_matrix(std::uint64_t seed, std::size_t count, bool chunks_only) {
  constexpr std::array<body_framing, 3> framings = {body_framing::chunks, body_framing::length,
                                                    body_framing::connection};
  std::mt19937_64 random(seed);
  std::vector<stream_case> cases;
  while (cases.size() < count) {
    stream_case next;
    next.m_daemon = cases.size() % 2;
    for (int run = 0; run < 2; ++run) {
      const auto framing = chunks_only ? body_framing::chunks : pick(framings, random);
      next.m_plan.m_runs.push_back(random() % 4 == 0 && run == 1 ? stream_run{.m_framing = framing}
                                                                 : make_cut(random, framing));
    }
    cases.push_back(std::move(next));
  }
  return cases;
}

} // namespace

// Guards against a stream that looks complete without all its events, or has one twice, after its first run,
// the one that continues it, or both were cut off.
TEST(cut_streams, cut_runs_are_not_taken_for_the_end) {
  for_each_seed([](std::uint64_t seed) {
    cut_streams_group group(2, engine_count, seed);
    group.report("all framings", group.read_all(make_matrix(seed, 200, false)));
    group.report("in chunks", group.read_all(make_matrix(seed + 1'000'000, 200, true)));
  });
}
