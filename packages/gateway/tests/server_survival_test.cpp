#include "cardamompond/gateway/server_survival.hpp"

#include <CppUTest/TestHarness.h>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>

#include <algorithm>
#include <deque>
#include <vector>

using namespace cardamompond;
using namespace cardamompond::gateway;

namespace {

// Returns its results one after the other, and the last one for good.
class scripted_probe final : public server_probe {
public:
  explicit scripted_probe(std::deque<probe_result> results, milliseconds response_time = milliseconds(0))
      : m_results(std::move(results))
      , m_response_time(response_time) {}

  probe_result probe(const fleet::backend_server& /*server*/, time_point until) override {
    ++m_probes;
    m_most_at_a_time = std::max(m_most_at_a_time, ++m_running);
    const time_point responds_at = monotonic_now() + m_response_time;
    boost::this_fiber::sleep_until(std::min(responds_at, until));
    --m_running;
    const probe_result result = m_results.front();
    if (m_results.size() > 1) {
      m_results.pop_front();
    }
    return responds_at <= until ? result : probe_result::failed;
  }

  int m_probes = 0;
  int m_most_at_a_time = 0;

private:
  std::deque<probe_result> m_results;
  milliseconds m_response_time;
  int m_running = 0;
};

fleet::backend_server make_server(std::string id) {
  fleet::backend_server server;
  server.m_id = std::move(id);
  server.m_address = "10.0.0.1:8080";
  return server;
}

time_point in(milliseconds time) {
  return monotonic_now() + time;
}

} // namespace

TEST_GROUP(server_survival_group){};

// Guards against a whole stream that is doubted because of one dropped or refused connection of a server that
// runs, and against a crash that is not seen because the server was asked while it ended.
TEST(server_survival_group, decides_by_the_last_of_two_attempts) {
  using enum probe_result;
  struct sample {
    std::deque<probe_result> m_results;
    survival_verdict m_verdict;
    int m_probes;
  };
  const std::vector<sample> samples = {{{answered}, survival_verdict::answered, 1},
                                       {{other_server}, survival_verdict::gone, 1},
                                       {{refused}, survival_verdict::gone, 1},
                                       {{failed}, survival_verdict::unknown, 1},
                                       {{closed, closed}, survival_verdict::gone, 2},
                                       {{closed, refused}, survival_verdict::gone, 2},
                                       {{closed, answered}, survival_verdict::answered, 2},
                                       {{closed, reset}, survival_verdict::unknown, 2},
                                       {{closed, failed}, survival_verdict::unknown, 2},
                                       {{reset, reset}, survival_verdict::unknown, 2},
                                       {{reset, refused}, survival_verdict::gone, 2},
                                       {{reset, closed}, survival_verdict::gone, 2},
                                       {{reset, answered}, survival_verdict::answered, 2},
                                       {{reset, failed}, survival_verdict::unknown, 2}};
  for (const auto& each : samples) {
    scripted_probe probe(each.m_results);
    server_survival survival(probe);
    CHECK(each.m_verdict == survival.find_out(make_server("i-1"), in(milliseconds(100))));
    LONGS_EQUAL(each.m_probes, probe.m_probes);
    UNSIGNED_LONGS_EQUAL(1, survival.count(each.m_verdict));
  }
}

// Load: 40 streams of a server end at the same time. Guards against as many questions, against an answer that
// counts for a stream that ended after it was asked for, and against fibers that are not woken.
TEST(server_survival_group, streams_that_end_together_share_two_answers) {
  constexpr std::size_t stream_count = 40;
  for (const auto& [result, verdict, probes] :
       {std::tuple(probe_result::answered, survival_verdict::answered, 2),
        std::tuple(probe_result::refused, survival_verdict::gone, 1)}) {
    scripted_probe probe({result}, milliseconds(10));
    server_survival survival(probe);
    std::vector<boost::fibers::fiber> streams;
    for (std::size_t i = 0; i < stream_count; ++i) {
      streams.emplace_back([&, expected = verdict] {
        CHECK(expected == survival.find_out(make_server("i-1"), in(seconds(1))));
      });
    }
    for (auto& each : streams) {
      each.join();
    }
    LONGS_EQUAL(probes, probe.m_probes);
    LONGS_EQUAL(1, probe.m_most_at_a_time);
    UNSIGNED_LONGS_EQUAL(stream_count, survival.count(verdict));
  }
}

// Guards against a crash that is not seen because the server had answered the question of an earlier stream
// before it crashed.
TEST(server_survival_group, an_answer_does_not_count_for_a_stream_that_ended_after_the_question) {
  scripted_probe probe({probe_result::answered, probe_result::refused}, milliseconds(20));
  server_survival survival(probe);
  boost::fibers::fiber earlier(
      [&] { CHECK(survival_verdict::answered == survival.find_out(make_server("i-1"), in(seconds(1)))); });
  boost::this_fiber::sleep_for(milliseconds(5));
  CHECK(survival_verdict::gone == survival.find_out(make_server("i-1"), in(seconds(1))));
  earlier.join();
}

// Guards against streams that wait for each other's questions for longer than their own bound.
TEST(server_survival_group, a_silent_server_delays_no_stream_beyond_its_bound) {
  scripted_probe probe({probe_result::answered}, milliseconds(10'000));
  server_survival survival(probe);
  std::vector<boost::fibers::fiber> streams;
  streams.reserve(5);
  for (int i = 0; i < 5; ++i) {
    streams.emplace_back([&, i] {
      boost::this_fiber::sleep_for(milliseconds(5 * i));
      const time_point began = monotonic_now();
      CHECK(survival_verdict::unknown == survival.find_out(make_server("i-1"), began + milliseconds(50)));
      CHECK(monotonic_now() - began < milliseconds(90));
    });
  }
  for (auto& each : streams) {
    each.join();
  }
}

// Guards against a crash that is not seen because a stream with little time left asked for the others, and
// against one more question for each of them.
TEST(server_survival_group, a_stream_with_little_time_left_does_not_ask_for_those_with_more) {
  scripted_probe probe({probe_result::answered, probe_result::refused}, milliseconds(40));
  server_survival survival(probe);
  std::vector<boost::fibers::fiber> streams;
  const auto add_stream = [&](milliseconds time, survival_verdict expected) {
    streams.emplace_back(
        [&survival, time, expected] { CHECK(expected == survival.find_out(make_server("i-1"), in(time))); });
  };
  add_stream(seconds(1), survival_verdict::answered);
  add_stream(milliseconds(60), survival_verdict::unknown); // 20 ms are left when the first question ends
  for (int i = 0; i < 20; ++i) {
    add_stream(milliseconds(500 + 10 * i), survival_verdict::gone);
  }
  for (auto& each : streams) {
    each.join();
  }
  LONGS_EQUAL(2, probe.m_probes);
}

// Guards against a stream that waits to its limit, because the stream with the latest limit has its answer
// already and asks no more.
TEST(server_survival_group, a_stream_that_has_its_answer_keeps_no_other_from_asking) {
  scripted_probe probe({probe_result::answered}, milliseconds(10));
  server_survival survival(probe);
  std::vector<boost::fibers::fiber> streams;
  for (const int limit_seconds : {9, 8, 7, 6, 5, 4}) { // one comes during each question and one before it
    streams.emplace_back([&survival, limit_seconds] {
      const time_point began = monotonic_now();
      CHECK(survival_verdict::answered ==
            survival.find_out(make_server("i-1"), began + seconds(limit_seconds)));
      CHECK(monotonic_now() - began < seconds(1));
    });
    boost::this_fiber::sleep_for(milliseconds(6));
  }
  for (auto& each : streams) {
    each.join();
  }
}

// Guards against the answer of one server that is taken for that of another.
TEST(server_survival_group, each_server_is_asked_for_itself) {
  scripted_probe probe({probe_result::refused, probe_result::answered}, milliseconds(10));
  server_survival survival(probe);
  boost::fibers::fiber other(
      [&] { CHECK(survival_verdict::gone == survival.find_out(make_server("i-1"), in(seconds(1)))); });
  boost::this_fiber::sleep_for(milliseconds(2));
  CHECK(survival_verdict::answered == survival.find_out(make_server("i-2"), in(seconds(1))));
  other.join();
}
