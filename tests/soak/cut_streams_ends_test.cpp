#include "cut_streams_cases.hpp"
#include "cut_streams_group.hpp"

#include <CppUTest/TestHarness.h>
#include <boost/fiber/operations.hpp>

#include <array>
#include <random>
#include <string>
#include <vector>

using namespace cardamompond;
using namespace cardamompond::testing;

// Engines that state the end of a stream that is not whole.
TEST_GROUP(cut_streams_ends){};

// Engines that stop at their deadline.
TEST_GROUP(cut_streams_deadlines){};

// Engines that stop some time after their deadline, and send events until then.
TEST_GROUP(cut_streams_late_stops){};

namespace {

constexpr int engine_count = 40;
constexpr std::size_t stream_count = 40;

stream_run make_stated_end(body_framing framing, stop_stage stage, int events) {
  return {.m_framing = framing, .m_stage = stage, .m_kind = stop_kind::stated_end, .m_events = events};
}

// Reads `stream_count` streams whose plans `make_runs` returns.
template <typename Function>
void read_streams(stream_report& report, cut_streams_group& group, const std::string& name,
                  Function make_case) {
  std::vector<stream_case> cases;
  for (std::size_t i = 0; i < stream_count; ++i) {
    cases.push_back(make_case());
    cases.back().m_daemon = i % 2;
  }
  report.add(group, name, group.read_all(cases));
}

// Reads streams whose engines state the end at one of the given times before their deadline; negative: after
// it.
void read_streams_that_stop_at_the_deadline(stream_report& report, std::uint64_t seed,
                                            const std::array<milliseconds, 3>& times) {
  constexpr std::array<body_framing, 2> framings = {body_framing::chunks, body_framing::connection};
  std::mt19937_64 random(seed);
  cut_streams_group group(2, engine_count, seed);
  const auto make_end = [&] {
    stream_run end = make_stated_end(pick(framings, random), stop_stage::between_events, 0);
    end.m_before_deadline = pick(times, random);
    return end;
  };
  read_streams(report, group, "deadline of the caller", [&] {
    return stream_case{.m_plan = {.m_runs = {make_end()}}, .m_deadline = milliseconds(500 + random() % 500)};
  });
  read_streams(report, group, "deadline of the route",
               [&] { return stream_case{.m_plan = {.m_runs = {make_end()}}, .m_route = "short"}; });
  read_streams(report, group, "deadline in the second run", [&] {
    stream_run cut = make_cut_with_an_event_due(random);
    cut.m_kind = stop_kind::fin;
    cut.m_events = 5;
    return stream_case{.m_plan = {.m_runs = {cut, make_end()}}, .m_deadline = milliseconds(800)};
  });
}

} // namespace

// Guards against a stream that looks complete because the engine stops at the deadline that the daemon handed
// to it, and ends its response in an orderly way. The deadline is that of the caller or that of the route.
TEST(cut_streams_deadlines, engines_stop_at_their_deadline) {
  for_each_seed([](std::uint64_t seed, stream_report& report) {
    read_streams_that_stop_at_the_deadline(report, seed,
                                           {milliseconds(0), milliseconds(-1), milliseconds(-2)});
  });
}

// Guards against a stream that looks complete because the engine that continues it states its end without an
// event, although the run before had been cut inside an event, behind a chunk's size or short of its length.
TEST(cut_streams_ends, a_continuation_without_an_event_is_not_the_end_while_one_is_due) {
  constexpr std::array<body_framing, 2> framings = {body_framing::chunks, body_framing::length};
  for_each_seed([&](std::uint64_t seed, stream_report& report) {
    std::mt19937_64 random(seed);
    cut_streams_group group(2, engine_count, seed);
    for (const std::string route : {"note", "three"}) {
      read_streams(report, group, "continuation without an event, route " + route, [&] {
        return stream_case{.m_plan = {.m_runs = {make_cut_with_an_event_due(random),
                                                 make_stated_end(pick(framings, random),
                                                                 stop_stage::before_first_event, 0)}},
                           .m_route = route};
      });
    }
  });
}

// Guards against an empty stream, or an empty rest of one that a caller resumes, that looks complete because
// a run was cut before its first event, and the engine that runs it again states its end without an event.
TEST(cut_streams_ends, a_stream_without_an_event_has_not_ended_behind_a_cut) {
  constexpr std::array<body_framing, 2> framings = {body_framing::chunks, body_framing::length};
  for_each_seed([&](std::uint64_t seed, stream_report& report) {
    std::mt19937_64 random(seed);
    cut_streams_group group(2, engine_count, seed);
    for (const std::string id : {"", "5"}) {
      read_streams(report, group, "no event behind a cut, Last-Event-Id '" + id + "'", [&] {
        return stream_case{.m_plan = {.m_runs = {{.m_framing = pick(all_framings, random),
                                                  .m_stage = stop_stage::before_first_event,
                                                  .m_kind = pick(all_cuts, random)},
                                                 make_stated_end(pick(framings, random),
                                                                 stop_stage::before_first_event, 0)}},
                           .m_last_event_id = id};
      });
    }
  });
}

// Guards against events that a caller gets twice because the engine that continues a stream begins with the
// first event, or with the one that the caller got last.
TEST(cut_streams_ends, a_continuation_that_repeats_events_is_not_passed_on) {
  constexpr std::array<run_start, 2> starts = {run_start::first_event, run_start::named_event};
  for_each_seed([&](std::uint64_t seed, stream_report& report) {
    std::mt19937_64 random(seed);
    cut_streams_group group(2, engine_count, seed);
    for (const std::string route : {"note", "three"}) {
      read_streams(report, group, "continuation that repeats events, route " + route, [&] {
        stream_run cut = make_cut(random, pick(all_framings, random));
        return stream_case{.m_plan = {.m_runs = {cut,
                                                 {.m_framing = pick(all_framings, random),
                                                  .m_start = pick(starts, random),
                                                  .m_split_writes = random() % 2 == 0}}},
                           .m_route = route};
      });
    }
  });
}

// Counts what nothing in the exchange tells of: a continuation that states its end without an event or skips
// events, after a cut between two events; an engine that states the end of its open streams as it is emptied,
// replaced or stopped. The order of the events holds all the same.
TEST(cut_streams_ends, ends_that_nothing_contradicts_keep_the_order) {
  constexpr std::array<body_framing, 2> framings = {body_framing::chunks, body_framing::length};
  for_each_seed([&](std::uint64_t seed, stream_report& report) {
    std::mt19937_64 random(seed);
    cut_streams_group group(2, engine_count, seed);
    const auto make_cut_between_events = [&] {
      return stream_run{.m_framing = body_framing::chunks,
                        .m_stage = stop_stage::between_events,
                        .m_kind = pick(all_cuts, random),
                        .m_events = 1 + static_cast<int>(random() % 20)};
    };
    read_streams(report, group, "end without an event after a cut between events", [&] {
      return stream_case{
          .m_plan = {.m_runs = {make_cut_between_events(),
                                make_stated_end(pick(framings, random), stop_stage::before_first_event, 0)}},
          .m_loss_is_untold = true};
    });
    read_streams(report, group, "continuation that skips events", [&] {
      return stream_case{
          .m_plan = {.m_runs = {make_cut_between_events(), {.m_start = run_start::later_event}}},
          .m_loss_is_untold = true};
    });
    for (const std::string how : {"draining in the store", "leaving in its answers", "removed", "stopped"}) {
      for (auto& engine : group.engines().engines()) {
        engine->m_leaving = how.starts_with("leaving");
      }
      net::fiber_runtime::spawn([&group, how] {
        boost::this_fiber::sleep_for(milliseconds(300));
        for (std::size_t i = 0; i < engine_count; i += 2) {
          auto& engine = *group.engines().engines()[i];
          if (how.starts_with("draining")) {
            group.register_engine(engine, "draining");
          } else if (how == "removed") {
            group.group().store().remove("servers", engine.m_id);
          }
        }
        boost::this_fiber::sleep_for(milliseconds(200));
        for (std::size_t i = 0; i < engine_count; i += 2) {
          group.engines().engines()[i]->m_stopping = true;
        }
      });
      read_streams(report, group, "engines that end their streams, " + how, [&] {
        return stream_case{.m_plan = {.m_runs = {{.m_framing = body_framing::chunks}}},
                           .m_loss_is_untold = true};
      });
      for (auto& engine : group.engines().engines()) {
        engine->m_stopping = false;
        ++engine->m_born;
        group.register_engine(*engine);
      }
      boost::this_fiber::sleep_for(milliseconds(300));
    }
  });
}

// Guards against a stream that looks complete because the engine stops soon after its deadline, and states
// the end after an event that it sent after the deadline.
TEST(cut_streams_late_stops, engines_stop_after_their_deadline) {
  for_each_seed([](std::uint64_t seed, stream_report& report) {
    read_streams_that_stop_at_the_deadline(report, seed,
                                           {milliseconds(-5), milliseconds(-20), milliseconds(-40)});
  });
}
