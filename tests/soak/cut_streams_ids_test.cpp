#include "cut_streams_cases.hpp"
#include "cut_streams_group.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <string>

using namespace cardamompond;
using namespace cardamompond::testing;

// Ids of events that tell less than a number for each event.
TEST_GROUP(cut_streams_ids){};

// Events of which some have no id.
TEST_GROUP(cut_streams_missing_ids){};

namespace {

constexpr int engine_count = 40;
constexpr std::size_t stream_count = 60;

void read_streams(const std::string& name, const stream_plan& plan) {
  for_each_seed([&](std::uint64_t seed, stream_report& report) {
    std::mt19937_64 random(seed);
    cut_streams_group group(2, engine_count, seed);
    std::vector<stream_case> cases;
    for (std::size_t i = 0; i < stream_count; ++i) {
      cases.push_back({.m_plan = plan, .m_daemon = i % 2});
      stream_run cut = make_cut(random, pick(all_framings, random));
      cut.m_split_writes = i % 2 == 0;
      cases.back().m_plan.m_runs = {cut,
                                    {.m_framing = pick(all_framings, random), .m_split_writes = i % 3 == 0}};
    }
    report.add(group, name, group.read_all(cases));
  });
}

} // namespace

// Guards against a stream that is continued at the wrong event if ids do not grow by one.
TEST(cut_streams_ids, ids_grow_by_ten) {
  read_streams("ids grow by ten", {.m_ids = id_scheme::tens});
}

// Guards against a stream that is continued at the wrong event, or judged by comments, if there are comments
// between its events.
TEST(cut_streams_ids, comments_between_events) {
  read_streams("comments between events", {.m_comments = true});
}

// Guards against an event that comes twice because it has no id, and the run that goes on begins after the
// last event that has one.
TEST(cut_streams_missing_ids, events_without_an_id) {
  read_streams("events without an id", {.m_ids = id_scheme::odd_events});
}
