#include "cut_streams_cases.hpp"
#include "cut_streams_group.hpp"

#include <CppUTest/TestHarness.h>
#include <boost/fiber/operations.hpp>

#include <algorithm>
#include <utility>

using namespace cardamompond;
using namespace cardamompond::testing;

// Callers that resume streams by themselves, read slowly, or send several requests on one connection.
TEST_GROUP(cut_streams_callers){};

namespace {

constexpr int engine_count = 40;
constexpr std::size_t stream_count = 40;

} // namespace

// Guards against a stream that begins with its first event because the daemon continues a run before any
// event came, and drops the Last-Event-Id with which the caller itself resumes the stream.
TEST(cut_streams_callers, caller_resumes_by_itself) {
  for_each_seed([](std::uint64_t seed, stream_report& report) {
    std::mt19937_64 random(seed);
    cut_streams_group group(2, engine_count, seed);
    std::vector<stream_case> cases;
    for (std::size_t i = 0; i < stream_count; ++i) {
      stream_run cut = make_cut(random, pick(all_framings, random));
      if (i % 2 == 0) {
        cut.m_events = 0; // cut before or inside the first event
      }
      if (!is_recognizable(cut) || (cut.m_events == 0 && cut.m_stage == stop_stage::between_events)) {
        cut.m_stage = stop_stage::before_first_event;
      }
      cases.push_back({.m_plan = {.m_runs = {cut}},
                       .m_daemon = i % 2,
                       .m_last_event_id = std::to_string(1 + random() % 47)});
    }
    // The last run has nothing left to send.
    for (const auto framing : {body_framing::chunks, body_framing::length}) {
      cases.push_back({.m_plan = {.m_runs = {{.m_framing = framing}}}, .m_last_event_id = "49"});
    }
    report.add(group, "caller resumes", group.read_all(cases));
  });
}

// Guards against pieces of two runs that are joined if a caller comes back at the other daemon, or at the
// same one, while the run that it has left, or still reads, goes on.
TEST(cut_streams_callers, caller_comes_back_while_its_first_run_goes_on) {
  for_each_seed([](std::uint64_t seed, stream_report& report) {
    std::mt19937_64 random(seed);
    cut_streams_group group(2, engine_count, seed);
    std::vector<stream_result> results;
    std::size_t running = 0;
    for (std::size_t i = 0; i < stream_count; ++i) {
      ++running;
      const int received = 3 + static_cast<int>(random() % 20);
      const stream_run first = i % 3 == 0 ? make_cut(random, pick(all_framings, random)) : stream_run{};
      const stream_run second = i % 2 == 0 ? make_cut(random, pick(all_framings, random)) : stream_run{};
      net::fiber_runtime::spawn([&, i, received, first, second] {
        stream_case sent{
            .m_plan = {.m_runs = {first}}, .m_daemon = i % 2, .m_leave_after = i % 4 < 2 ? received : 0};
        net::fiber_runtime::spawn([&, sent] {
          ++running;
          results.push_back(group.read(sent));
          --running;
        });
        boost::this_fiber::sleep_for(milliseconds(25 * received));
        sent.m_plan.m_runs = {second};
        sent.m_daemon = i % 8 < 4 ? 1 - i % 2 : i % 2;
        sent.m_leave_after = 0;
        sent.m_last_event_id = std::to_string(received);
        results.push_back(group.read(sent));
        --running;
      });
    }
    wait_until("the streams have ended", seconds(30), [&] { return running == 0; });
    report.add(group, "caller comes back", results);
  });
}

// Guards against a stream that looks complete because a write to a caller that reads slowly fails, while its
// engine ends, is cut or is replaced.
TEST(cut_streams_callers, caller_reads_slowly) {
  for_each_seed([](std::uint64_t seed, stream_report& report) {
    std::mt19937_64 random(seed);
    cut_streams_group group(2, engine_count, seed);
    std::vector<stream_case> cases;
    for (std::size_t i = 0; i < 16; ++i) {
      stream_case next{.m_plan = {.m_events = 40, .m_interval = milliseconds(10), .m_padding = 200'000},
                       .m_daemon = i % 2,
                       .m_deadline = milliseconds(1'500 + random() % 3'000),
                       .m_read_pause = milliseconds(5 + random() % 40),
                       .m_read_bytes = 16'384};
      if (i % 3 != 0) {
        next.m_plan.m_runs = {make_cut(random, pick(all_framings, random))};
      }
      cases.push_back(std::move(next));
    }
    report.add(group, "caller reads slowly", group.read_all(cases));
  });
}

// Guards against a response that goes to the wrong request, or a cut stream whose end is that of the next
// one, if a caller sends the next request on the same connection before the stream has ended.
TEST(cut_streams_callers, requests_follow_on_one_connection) {
  for_each_seed([](std::uint64_t seed, stream_report& report) {
    std::mt19937_64 random(seed);
    cut_streams_group group(2, engine_count, seed);
    std::vector<stream_result> results;
    std::size_t running = stream_count;
    for (std::size_t i = 0; i < stream_count; ++i) {
      std::vector<stream_case> cases(3);
      for (auto& each : cases) {
        each.m_daemon = i % 2;
        each.m_plan.m_events = 20;
        if (random() % 3 == 0) {
          each.m_plan.m_runs = {make_cut(random, pick(all_framings, random))};
        }
      }
      net::fiber_runtime::spawn([&, cases] {
        const auto ended = group.read_on_one_connection(cases);
        results.insert(results.end(), ended.begin(), ended.end());
        --running;
      });
    }
    wait_until("the streams have ended", seconds(30), [&] { return running == 0; });
    report.add(group, "requests on one connection", results);
  });
}
