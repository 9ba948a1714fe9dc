#include "stream_engines.hpp"

#include "cardamompond/testing/child_process.hpp"
#include "cardamompond/testing/environment.hpp"

#include <boost/fiber/operations.hpp>

#include <algorithm>
#include <cstdio>
#include <string_view>

namespace cardamompond::testing {
namespace {

const std::string comment = ": alive\n\n";

using connection = platform::testing::scripted_engine::connection;

std::string header_value(const std::string& request, const std::string& name) {
  const auto head_end = request.find("\r\n\r\n");
  const auto at = request.find("\r\n" + name + ": ");
  if (at == std::string::npos || at > head_end) {
    return {};
  }
  const auto begin = at + name.size() + 4;
  return request.substr(begin, request.find("\r\n", begin) - begin);
}

std::string make_chunk_size(std::size_t bytes) {
  std::array<char, 24> text{};
  const int length = std::snprintf(text.data(), text.size(), "%zx\r\n", bytes);
  return {text.data(), static_cast<std::size_t>(length)};
}

std::string frame(const stream_run& run, std::string_view bytes) {
  return run.m_framing != body_framing::chunks ? std::string(bytes)
                                               : make_chunk_size(bytes.size()).append(bytes) + "\r\n";
}

std::string make_head(const stream_engines::engine& self, int status, const std::string& request_id) {
  return "HTTP/1.1 " + std::to_string(status) + " Status\r\nX-Cardamompond-Request-Id: " + request_id +
         "\r\n" + (self.m_leaving ? "Server-Leaving: 1\r\n" : "");
}

std::string make_refusal(const stream_engines::engine& self, int status, const std::string& request_id) {
  return make_head(self, status, request_id) + "X-Cardamompond-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
}

// Returns the bytes that a run sends of the event in which it stops.
std::string make_remainder(const stream_run& run, const std::string& next_event) {
  const bool chunks = run.m_framing == body_framing::chunks;
  const std::string half = next_event.substr(0, next_event.size() / 2);
  switch (run.m_stage) {
  case stop_stage::inside_event:
    return frame(run, half);
  case stop_stage::behind_chunk_size:
    return chunks ? make_chunk_size(next_event.size()) : "";
  case stop_stage::inside_chunk:
    return chunks ? make_chunk_size(next_event.size()) + half : half;
  case stop_stage::before_chunk_end:
    return chunks ? make_chunk_size(next_event.size()) + next_event : next_event;
  case stop_stage::inside_last_chunk:
    return chunks ? "0\r\n" : "";
  default:
    return {};
  }
}

void end_run(const stream_run& run, connection& conn) {
  // A client that is sent a reset at once may lose what was sent before.
  constexpr milliseconds reset_delay{20};
  switch (run.m_stage == stop_stage::none ? stop_kind::stated_end : run.m_kind) {
  case stop_kind::fin:
    conn.close();
    break;
  case stop_kind::reset:
    boost::this_fiber::sleep_for(reset_delay);
    conn.reset();
    break;
  case stop_kind::silence:
    while (conn.read_bytes()) {
    }
    break;
  case stop_kind::stated_end:
    if (run.m_framing == body_framing::chunks) {
      conn.write("0\r\n\r\n");
    } else if (run.m_framing == body_framing::connection) {
      conn.close();
    }
    break;
  }
}

} // namespace

stream_engines::stream_engines(int count, bool with_relays) {
  for (int i = 0; i < count; ++i) {
    auto next = std::make_unique<engine>();
    next->m_id = "i-" + std::to_string(i);
    next->m_server = std::make_unique<platform::testing::scripted_engine>(test_runtime());
    next->m_server->set_default_script(
        [this, self = next.get()](connection& conn, const std::string& request) {
          handle(*self, conn, request);
        });
    if (with_relays) {
      next->m_relay = std::make_unique<tcp_relay>(next->m_server->address());
    }
    m_engines.push_back(std::move(next));
  }
}

stream_engines::~stream_engines() {
  wait_until("the runs have ended", seconds(20), [&] { return m_active_runs == 0; });
}

void stream_engines::handle(engine& self, connection& conn, const std::string& request) {
  constexpr int status_misdirected = 421;
  constexpr int status_unavailable = 503;
  const std::string id = header_value(request, "X-Cardamompond-Request-Id");
  const auto planned = m_plans.find(id);
  if (planned == m_plans.end() || header_value(request, "X-Cardamompond-Expect-Instance") != self.m_id) {
    conn.write(make_refusal(self, status_misdirected, id));
    return;
  }
  if (self.m_stopping) {
    conn.write(make_refusal(self, status_unavailable, id));
    return;
  }
  const stream_plan plan = planned->second;
  auto& runs = m_runs[id];
  const std::size_t index = runs.size();
  run_trace trace;
  trace.m_engine = self.m_id;
  trace.m_last_event_id = header_value(request, "Last-Event-Id");
  trace.m_deadline = milliseconds(std::atoi(header_value(request, "X-Cardamompond-Deadline-Ms").c_str()));
  trace.m_began = monotonic_now();
  trace.m_ended = trace.m_began;
  trace.m_end = "goes on";
  runs.push_back(trace);
  ++m_active_runs;
  run(self, conn, plan, index < plan.m_runs.size() ? plan.m_runs[index] : stream_run{}, id, trace);
  trace.m_ended = monotonic_now();
  m_runs[id][index] = trace;
  --m_active_runs;
}

void stream_engines::run(engine& self, connection& conn, const stream_plan& plan, const stream_run& run,
                         const std::string& request_id, run_trace& trace) {
  const int asked = next_event(plan, trace.m_last_event_id);
  constexpr int skipped_events = 3;
  trace.m_first = run.m_start == run_start::first_event   ? 1
                  : run.m_start == run_start::later_event ? asked + skipped_events
                  : run.m_start == run_start::named_event ? std::max(1, asked - 1)
                                                          : asked;
  trace.m_last = trace.m_first - 1;
  trace.m_end = describe(run);
  if (run.m_pause_after == 0) {
    boost::this_fiber::sleep_for(run.m_pause);
  }
  if (run.m_status != 200) {
    const std::string response = make_head(self, run.m_status, request_id) +
                                 (run.m_not_run ? "X-Cardamompond-Not-Executed: 1\r\n"
                                                : "X-Cardamompond-Server-Stamp: " + self.m_id + "\r\n") +
                                 (run.m_status == 204 ? "\r\n" : "Content-Length: 0\r\n\r\n");
    conn.write(response);
    if (run.m_repeats_response) {
      conn.write(response);
    }
    return;
  }
  std::string head = make_head(self, run.m_status, request_id) + "Content-Type: text/event-stream\r\n";
  head += run.m_signed ? "X-Cardamompond-Server-Stamp: " + self.m_id + "\r\n" : "";
  head += run.m_encoded ? "Content-Encoding: gzip\r\n" : "";
  if (run.m_framing == body_framing::chunks) {
    head += "Transfer-Encoding: chunked\r\n";
  } else if (run.m_framing == body_framing::length) {
    // A run that states an end too early states the length that it sends.
    const int last = run.m_stage != stop_stage::none && run.m_kind == stop_kind::stated_end
                         ? std::min(plan.m_events, trace.m_first + run.m_events - 1)
                         : plan.m_events;
    std::size_t length = 0;
    for (int number = trace.m_first; number <= last; ++number) {
      length += make_event(plan, request_id, number).size() + (plan.m_comments ? comment.size() : 0);
    }
    head += "Content-Length: " + std::to_string(length) + "\r\n";
  } else {
    head += "Connection: close\r\n";
  }
  if (!conn.try_write(head + "\r\n")) {
    trace.m_end = "the client has gone";
    return;
  }
  if (!send_events(self, conn, plan, run, request_id, trace)) {
    trace.m_end = "the client has gone";
    return;
  }
  if (self.m_stopping) {
    trace.m_end = "stated end as the engine stops";
    stream_run stated = run;
    stated.m_stage = stop_stage::between_events;
    stated.m_kind = stop_kind::stated_end;
    end_run(stated, conn);
    return;
  }
  const bool has_next = trace.m_last < plan.m_events;
  const std::string remainder =
      has_next || run.m_stage == stop_stage::inside_last_chunk
          ? make_remainder(run, has_next ? make_event(plan, request_id, trace.m_last + 1) : std::string())
          : std::string();
  conn.write(remainder);
  if (has_next && run.m_stage == stop_stage::before_chunk_end) {
    ++trace.m_last;
  }
  end_run(run, conn);
}

bool stream_engines::send_events(engine& self, connection& conn, const stream_plan& plan,
                                 const stream_run& run, const std::string& request_id, run_trace& trace) {
  int last = plan.m_events;
  if (run.m_stage == stop_stage::before_first_event) {
    last = trace.m_first - 1;
  } else if (run.m_stage != stop_stage::none && run.m_stage != stop_stage::before_last_chunk &&
             run.m_stage != stop_stage::inside_last_chunk && !run.m_before_deadline) {
    last = std::min(plan.m_events, trace.m_first + run.m_events - 1);
  }
  const time_point stops_at =
      run.m_before_deadline ? trace.m_began + trace.m_deadline - *run.m_before_deadline : time_point::max();
  for (int number = trace.m_first; number <= last; ++number) {
    if (self.m_stopping) {
      return true;
    }
    const std::string bytes =
        frame(run, (plan.m_comments ? comment : "") + make_event(plan, request_id, number));
    if (run.m_split_writes) {
      constexpr milliseconds write_gap{2};
      if (!conn.try_write(bytes.substr(0, bytes.size() / 2))) {
        return false;
      }
      boost::this_fiber::sleep_for(write_gap);
      if (!conn.try_write(bytes.substr(bytes.size() / 2))) {
        return false;
      }
    } else if (!conn.try_write(bytes)) {
      return false;
    }
    trace.m_last = number;
    if (run.m_pause_after > 0 && number - trace.m_first + 1 == run.m_pause_after) {
      boost::this_fiber::sleep_for(run.m_pause);
    }
    if (number < last || run.m_before_deadline) {
      const time_point next = monotonic_now() + plan.m_interval;
      if (next >= stops_at) {
        boost::this_fiber::sleep_until(stops_at);
        return true;
      }
      boost::this_fiber::sleep_until(next);
    }
  }
  return true;
}

} // namespace cardamompond::testing
