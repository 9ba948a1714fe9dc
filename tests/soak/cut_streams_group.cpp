#include "cut_streams_group.hpp"

#include "cardamompond/testing/child_process.hpp"

#include <CppUTest/TestHarness.h>
#include <boost/fiber/operations.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <cstdlib>
#include <sstream>
#include <string_view>

namespace cardamompond::testing {
namespace {

namespace json = boost::json;

constexpr milliseconds long_timeout{30'000};
constexpr milliseconds short_timeout{900};

json::object make_route(const std::string& name, int max_attempts, bool resumable, milliseconds timeout) {
  return {{"name", name},
          {"host", "h"},
          {"path_prefix", "/" + name + "/"},
          {"type", "stream"},
          {"timeout_ms", timeout.count()},
          {"target_latency_ms", 300},
          {"priority", 0},
          {"service", "chat"},
          {"max_attempts", max_attempts},
          {"allow_anonymous", true},
          {"resumable", resumable},
          {"gap_aim_ms", 100}};
}

// Streams are cut on purpose, so the daemons may retry without a limit.
constexpr const char* unlimited_retries = "retry_ratio = 1\nretry_fixed = 100000\n";

int count_separators(std::string_view body) {
  int count = 0;
  for (auto at = body.find("\n\n"); at != std::string_view::npos; at = body.find("\n\n", at + 2)) {
    ++count;
  }
  return count;
}

net::http_request make_request(const stream_case& sent, const std::string& id) {
  net::http_request request{"POST",
                            "/" + sent.m_route + "/x",
                            {{"Host", "h"},
                             {"X-Cardamompond-Request-Id", id},
                             {"X-Cardamompond-Deadline-Ms", std::to_string(sent.m_deadline.count())}},
                            "body of " + id + std::string(sent.m_body_bytes, '.')};
  if (!sent.m_last_event_id.empty()) {
    request.m_headers.push_back({"Last-Event-Id", sent.m_last_event_id});
  }
  return request;
}

// Returns the number of the piece, or 0 if the event is none of the stream.
int piece_number(std::string_view event, const std::string& request_id) {
  const std::string prefix = "data: " + request_id + " ";
  const auto at = event.find(prefix);
  if (at == std::string_view::npos || (at > 0 && event[at - 1] != '\n')) {
    return 0;
  }
  const char* begin = event.data() + at + prefix.size();
  int number = 0;
  std::from_chars(begin, event.data() + event.size(), number);
  return number;
}

} // namespace

void check_pieces(const std::string& body, const stream_case& sent, stream_result& result) {
  const stream_plan& plan = sent.m_plan;
  std::string_view left = body;
  const auto add = [&](const std::string& what) {
    if (result.m_violations.size() < 3) {
      result.m_violations.push_back(what);
    }
  };
  for (auto end = left.find("\n\n"); end != std::string_view::npos; end = left.find("\n\n")) {
    const std::string_view event = left.substr(0, end);
    left.remove_prefix(end + 2);
    if (event.starts_with(':')) {
      continue; // a comment
    }
    const int number = piece_number(event, result.m_id);
    if (number == 0 || std::string(event) + "\n\n" != make_event(plan, result.m_id, number)) {
      add("after piece " + std::to_string(result.m_last) +
          " comes one of another stream or in parts: " + std::string(event.substr(0, 80)));
    } else if (number != result.m_last + 1) {
      if (sent.m_loss_is_untold && number > result.m_last) {
        result.m_untold_loss = true;
      } else {
        add("after piece " + std::to_string(result.m_last) + " comes piece " + std::to_string(number));
      }
      result.m_last = std::max(result.m_last, number);
    } else {
      result.m_last = number;
    }
  }
  if (result.m_complete && !left.empty()) {
    add("the stream ends as complete inside a piece");
  }
  if (result.m_complete && result.m_last < plan.m_events) {
    if (sent.m_loss_is_untold) {
      result.m_untold_loss = true;
    } else {
      add("the stream ends as complete after piece " + std::to_string(result.m_last) + " of " +
          std::to_string(plan.m_events));
    }
  }
}

cut_streams_group::cut_streams_group(int daemon_count, int engine_count, std::uint64_t seed, bool with_relays,
                                     const std::string& settings)
    : m_group(daemon_count, 0, seed, settings, unlimited_retries)
    , m_engines(engine_count, with_relays)
    , m_seed(seed) {
  m_group.store().put("config", "main",
                      {{"version", 1'000},
                       {"routes", json::array{make_route("note", 2, true, long_timeout),
                                              make_route("three", 3, true, long_timeout),
                                              make_route("short", 2, true, short_timeout),
                                              make_route("guide", 1, false, long_timeout)}},
                       {"services", json::array{{{"name", "chat"}, {"health_path", "/healthz"}}}},
                       {"tenants", json::array{}}});
  for (const auto& engine : m_engines.engines()) {
    register_engine(*engine);
  }
  m_group.wait_until_ready();
  for (std::size_t i = 0; i < m_group.daemons().size(); ++i) {
    wait_until("the daemon serves streams", milliseconds(10'000), [&] {
      return read({.m_plan = {.m_events = 1, .m_runs = {}}, .m_daemon = i, .m_deadline = milliseconds(500)})
                 .m_status == 200;
    });
  }
}

cut_streams_group::~cut_streams_group() {
  for (auto& daemon : m_group.daemons()) {
    daemon.m_process->kill(); // before the engines end, whose connections its streams use
  }
}

void cut_streams_group::register_engine(const stream_engines::engine& engine, const std::string& state) {
  m_group.store().put("servers", engine.m_id,
                      {{"service", "chat"},
                       {"address", engine.address()},
                       {"zone", "z0"},
                       {"version", "v1"},
                       {"slots", 32},
                       {"state", state},
                       {"born", engine.m_born},
                       {"sequence", 1}, // raised by the store with each write
                       {"cold_remaining_ms", 0}});
}

stream_result cut_streams_group::begin(const stream_case& sent) {
  stream_result result;
  result.m_id = std::to_string(m_seed) + "-" + std::to_string(++m_stream_count);
  result.m_first = next_event(sent.m_plan, sent.m_last_event_id);
  result.m_last = result.m_first - 1;
  result.m_sent_at = monotonic_now();
  m_engines.set_plan(result.m_id, sent.m_plan);
  return result;
}

void cut_streams_group::receive(net::http_call& call, const stream_case& sent, stream_result& result) {
  const milliseconds timeout = sent.m_deadline + milliseconds(1'000);
  auto head = call.read_head(timeout);
  if (!head) {
    result.m_error = head.error().m_message;
    return;
  }
  result.m_status = head->m_status;
  std::string body;
  std::vector<char> buffer(sent.m_read_bytes);
  for (int events = 0; sent.m_leave_after == 0 || events < sent.m_leave_after;) {
    auto part = call.read_some(buffer, timeout);
    if (!part) {
      result.m_error = part.error().m_message;
      break;
    }
    if (part->empty()) {
      result.m_complete = head->m_status == 200;
      break;
    }
    body.append(part->data(), part->size());
    events = sent.m_leave_after == 0 ? 0 : count_separators(body);
    if (sent.m_read_pause > milliseconds(0) && monotonic_now() < result.m_sent_at + sent.m_deadline) {
      boost::this_fiber::sleep_for(sent.m_read_pause);
    }
  }
  result.m_ended_at = monotonic_now();
  if (result.m_status == 200 && !result.m_complete && result.m_error.empty()) {
    result.m_left = true;
    call.abort();
  }
  if (result.m_status == 200) {
    check_pieces(body, sent, result);
  }
}

std::vector<stream_result> cut_streams_group::read_on_one_connection(const std::vector<stream_case>& cases) {
  std::vector<stream_result> results;
  results.reserve(cases.size());
  for (const auto& each : cases) {
    results.push_back(begin(each));
  }
  auto opened = m_group.client().open(m_group.callers_address(m_group.daemons()[cases.front().m_daemon]));
  if (!opened) {
    results.front().m_error = opened.error().m_message;
    return results;
  }
  for (std::size_t i = 0; i < cases.size(); ++i) {
    if (const auto written = (*opened)->send(make_request(cases[i], results[i].m_id), cases[i].m_deadline);
        !written) {
      results[i].m_error = written.error().m_message;
      return results;
    }
  }
  for (std::size_t i = 0; i < cases.size(); ++i) {
    receive(**opened, cases[i], results[i]);
    if (!results[i].m_error.empty()) {
      break;
    }
  }
  return results;
}

stream_result cut_streams_group::read(const stream_case& sent) {
  return read_on_one_connection({sent}).front();
}

std::vector<stream_result> cut_streams_group::read_all(const std::vector<stream_case>& cases,
                                                       std::size_t concurrency) {
  std::vector<stream_result> results(cases.size());
  std::size_t next = 0;
  std::size_t running = std::min(concurrency, cases.size());
  for (std::size_t i = running; i > 0; --i) {
    net::fiber_runtime::spawn([&] {
      while (next < cases.size()) {
        const std::size_t index = next++;
        results[index] = read(cases[index]);
      }
      --running;
    });
  }
  wait_until("the streams have ended", seconds(600), [&] { return running == 0; });
  return results;
}

void cut_streams_group::print_trace(const stream_result& result) {
  for (const auto& violation : result.m_violations) {
    std::printf("  %s: %s\n", result.m_id.c_str(), violation.c_str());
  }
  const auto& plan = m_engines.plan(result.m_id);
  for (const auto& run : m_engines.runs(result.m_id)) {
    std::printf("    run: %s\n", describe(run).c_str());
  }
  for (const auto& run : plan.m_runs) {
    std::printf("    planned: %s\n", describe(run).c_str());
  }
  for (const auto& daemon : m_group.daemons()) {
    std::istringstream lines(daemon.m_process->read_output());
    for (std::string line; std::getline(lines, line);) {
      if (line.find("request_id=" + result.m_id + " ") != std::string::npos) {
        std::printf("    %s: %s\n", daemon.m_name.c_str(), line.c_str());
      }
    }
  }
}

void stream_report::add(cut_streams_group& group, const std::string& name,
                        const std::vector<stream_result>& results) {
  constexpr std::size_t max_traces = 4;
  std::map<std::string, std::size_t> outcomes;
  std::size_t violated = 0;
  std::size_t resumed = 0;
  for (const auto& result : results) {
    const auto& plan = group.engines().plan(result.m_id);
    resumed += group.run_count(result) > 1 ? 1 : 0;
    ++outcomes[!result.m_violations.empty() ? "VIOLATED"
               : result.m_untold_loss       ? "lost events that nothing tells of"
               : result.whole(plan)         ? "whole"
               : result.m_left              ? "left by its caller"
               : result.m_status == 200     ? "broken off"
               : result.m_status == 0       ? "no response"
                                            : "status " + std::to_string(result.m_status)];
    if (!result.m_violations.empty() && violated++ < max_traces) {
      group.print_trace(result);
    }
  }
  std::ostringstream line;
  line << name << ", seed " << group.seed() << ": " << results.size() << " streams, " << resumed
       << " with two runs or more;";
  for (const auto& [outcome, count] : outcomes) {
    line << " " << outcome << " " << count;
  }
  std::printf("%s\n", line.str().c_str());
  std::fflush(stdout);
  if (violated > 0) {
    m_failures += line.str() + "\n";
  }
}

void stream_report::check() const {
  if (!m_failures.empty()) {
    fail_test("streams violate the order of their pieces:\n" + m_failures);
  }
}

void for_each_seed(const std::function<void(std::uint64_t seed, stream_report& report)>& body) {
  const char* seeds = std::getenv("CUT_STREAMS_SEEDS");
  std::istringstream numbers(seeds == nullptr ? "1" : seeds);
  stream_report report;
  for (std::uint64_t seed = 0; numbers >> seed;) {
    body(seed, report);
  }
  report.check();
}

} // namespace cardamompond::testing
