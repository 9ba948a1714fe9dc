#include "cut_streams_cases.hpp"
#include "cut_streams_group.hpp"

#include <CppUTest/TestHarness.h>

#include <cstdint>
#include <random>
#include <utility>
#include <vector>

using namespace cardamompond;
using namespace cardamompond::testing;

// Streams whose runs are cut at each stage of a response.
TEST_GROUP(cut_streams){};

namespace {

constexpr int engine_count = 40;
constexpr std::size_t concurrency = 100;

std::vector<stream_case> make_matrix(std::uint64_t seed, std::size_t count, bool chunks_only) {
  std::mt19937_64 random(seed);
  std::vector<stream_case> cases;
  while (cases.size() < count) {
    stream_case next;
    next.m_daemon = cases.size() % 2;
    for (int run = 0; run < 2; ++run) {
      const auto framing = chunks_only ? body_framing::chunks : pick(all_framings, random);
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
  for_each_seed([](std::uint64_t seed, stream_report& report) {
    cut_streams_group group(2, engine_count, seed);
    report.add(group, "all framings", group.read_all(make_matrix(seed, 200, false), concurrency));
    report.add(group, "in chunks", group.read_all(make_matrix(seed + 1'000'000, 200, true), concurrency));
  });
}

// Guards against a stream that looks complete because the run that continues it has neither a length nor
// chunks, and its connection ends before its first event.
TEST(cut_streams, unframed_continuation_that_ends_before_its_first_event) {
  for_each_seed([](std::uint64_t seed, stream_report& report) {
    std::mt19937_64 random(seed);
    cut_streams_group group(2, engine_count, seed);
    std::vector<stream_case> cases;
    for (std::size_t i = 0; i < 40; ++i) {
      cases.push_back({.m_daemon = i % 2});
      cases.back().m_plan.m_runs = {make_cut(random, pick(all_framings, random)),
                                    {.m_framing = body_framing::connection,
                                     .m_stage = stop_stage::before_first_event,
                                     .m_kind = stop_kind::fin}};
    }
    report.add(group, "unframed continuation", group.read_all(cases));
  });
}
