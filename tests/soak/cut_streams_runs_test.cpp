#include "cut_streams_cases.hpp"
#include "cut_streams_group.hpp"

#include <CppUTest/TestHarness.h>
#include <boost/fiber/operations.hpp>

#include <algorithm>
#include <utility>

using namespace cardamompond;
using namespace cardamompond::testing;

// The run that goes on with a stream: when it takes over, and what may come instead of events.
TEST_GROUP(cut_streams_runs){};

namespace {

constexpr int engine_count = 40;
constexpr std::size_t stream_count = 60;

template <typename Function>
void read_streams(stream_report& report, cut_streams_group& group, const std::string& name,
                  Function make_case) {
  std::vector<stream_case> cases;
  for (std::size_t i = 0; i < stream_count; ++i) {
    cases.push_back(make_case());
    cases.back().m_daemon = i % 2;
  }
  report.add(group, name, group.read_all(cases, stream_count));
}

} // namespace

// Guards against pieces of two runs that are joined, and an end that the wrong run states, if a replacement
// takes over from an engine that is silent and goes on, or ends, at about that time.
TEST(cut_streams_runs, replacement_takes_over_from_a_silent_engine) {
  for_each_seed([](std::uint64_t seed, stream_report& report) {
    std::mt19937_64 random(seed);
    cut_streams_group group(2, engine_count, seed);
    // The daemons look for a replacement after 1.4 s of silence, and every 0.1 s from then on.
    const auto draw_pause = [&] { return milliseconds(1'350 + random() % 400); };
    for (const bool ends : {false, true}) {
      read_streams(
          report, group, ends ? "silent engine that is cut or ends" : "silent engine that goes on", [&] {
            stream_run silent{.m_framing = pick(all_framings, random)};
            if (ends) {
              silent = make_cut(random, pick(all_framings, random));
              silent.m_events = silent.m_stage == stop_stage::before_first_event ? 0 : 5;
            }
            silent.m_pause = draw_pause();
            silent.m_pause_after = ends ? silent.m_events : static_cast<int>(random() % 48);
            stream_run next{.m_framing = pick(all_framings, random), .m_pause = milliseconds(random() % 250)};
            if (random() % 3 == 0) {
              next.m_pause = draw_pause();
              next.m_pause_after = static_cast<int>(random() % 10);
            }
            return stream_case{.m_plan = {.m_runs = {silent, next}},
                               .m_route = random() % 2 == 0 ? "note" : "three",
                               .m_deadline = milliseconds(8'000)};
          });
    }
  });
}

// Guards against a stream that ends as complete, or goes on with bytes that are no events, because an engine
// refuses or fails the run that should continue it.
TEST(cut_streams_runs, refused_and_failed_continuations) {
  constexpr std::array<int, 11> statuses = {429, 503, 408, 421, 500, 502, 504, 404, 204, 206, 302};
  for_each_seed([&](std::uint64_t seed, stream_report& report) {
    std::mt19937_64 random(seed);
    cut_streams_group group(2, engine_count, seed);
    for (const std::string route : {"note", "three"}) {
      read_streams(report, group, "refused continuations, route " + route, [&] {
        const int status = pick(statuses, random);
        return stream_case{.m_plan = {.m_runs = {make_cut(random, pick(all_framings, random)),
                                                 {.m_status = status,
                                                  .m_not_run = status != 204 && random() % 2 == 0,
                                                  .m_repeats_response = random() % 2 == 0}}},
                           .m_route = route};
      });
    }
  });
}

// Guards against a stream that goes on with a response that is not the engine's own.
TEST(cut_streams_runs, encoded_and_unsigned_continuations) {
  for_each_seed([](std::uint64_t seed, stream_report& report) {
    std::mt19937_64 random(seed);
    cut_streams_group group(2, engine_count, seed);
    read_streams(report, group, "encoded and unsigned continuations", [&] {
      const bool is_encoded = random() % 2 == 0;
      return stream_case{.m_plan = {.m_runs = {make_cut(random, pick(all_framings, random)),
                                               {.m_framing = pick(all_framings, random),
                                                .m_signed = is_encoded,
                                                .m_encoded = is_encoded}}},
                         .m_route = random() % 2 == 0 ? "note" : "three"};
    });
  });
}

// Guards against a copy of a refusal or failure that is taken for the response to the next request on its
// connection. Few engines make the connections carry many requests.
TEST(cut_streams_runs, copies_of_responses_on_shared_connections) {
  constexpr std::array<int, 4> statuses = {503, 429, 500, 504};
  for_each_seed([&](std::uint64_t seed, stream_report& report) {
    std::mt19937_64 random(seed);
    cut_streams_group group(2, 3, seed);
    std::vector<stream_case> cases;
    for (std::size_t i = 0; i < 200; ++i) {
      stream_case next{.m_plan = {.m_events = 8, .m_interval = milliseconds(5)},
                       .m_route = i % 2 == 0 ? "note" : "three",
                       .m_daemon = random() % 2};
      const int status = pick(statuses, random);
      if (random() % 2 == 0) {
        next.m_plan.m_runs.push_back(
            {.m_status = status, .m_not_run = status == 503 || status == 429, .m_repeats_response = true});
      }
      if (random() % 4 == 0) {
        next.m_plan.m_runs.push_back(make_cut(random, body_framing::chunks));
        next.m_plan.m_runs.back().m_kind = pick(std::array{stop_kind::fin, stop_kind::reset}, random);
        next.m_plan.m_runs.back().m_events = 3;
      }
      cases.push_back(std::move(next));
    }
    report.add(group, "copies of responses", group.read_all(cases, 12));
  });
}

// Guards against events that come twice because the process of an engine starts anew at the same address,
// with the same id, and begins streams with their first event whatever it is asked.
TEST(cut_streams_runs, engine_process_comes_back_with_the_same_id) {
  for_each_seed([](std::uint64_t seed, stream_report& report) {
    std::mt19937_64 random(seed);
    cut_streams_group group(2, 4, seed, true);
    net::fiber_runtime::spawn([&group] {
      for (int round = 0; round < 3; ++round) {
        boost::this_fiber::sleep_for(milliseconds(400));
        auto& engine = *group.engines().engines()[static_cast<std::size_t>(round)];
        engine.m_relay->set_refusing(true);
        boost::this_fiber::sleep_for(milliseconds(100));
        engine.m_relay->set_refusing(false);
        ++engine.m_born;
        group.register_engine(engine);
      }
    });
    read_streams(report, group, "engine processes that come back", [&] {
      const auto framing = random() % 2 == 0 ? body_framing::chunks : body_framing::length;
      return stream_case{.m_plan = {.m_events = 80,
                                    .m_runs = {{.m_framing = framing},
                                               {.m_framing = framing, .m_start = run_start::first_event}}},
                         .m_route = random() % 2 == 0 ? "note" : "three"};
    });
  });
}
