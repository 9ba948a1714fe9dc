#include "soak_callers.hpp"

#include <CppUTest/TestHarness.h>
#include <boost/fiber/operations.hpp>

#include <algorithm>
#include <array>
#include <cstdio>
#include <deque>
#include <string>
#include <utility>

namespace cardamompond::testing {
namespace {

using platform::standins::backend_engine;

// Returns whether a response with that status states that the request was not run.
bool is_not_run_status(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

// Returns the complete body of a stream for the request.
std::string make_complete_stream(std::string_view id) {
  std::string body;
  for (int number = 1; number <= backend_engine::events_per_stream; ++number) {
    body += backend_engine::make_event(id, number);
  }
  return body;
}

} // namespace

soak_callers::soak_callers(soak_group& group, int caller_count, std::uint64_t seed,
                           milliseconds request_timeout)
    : m_group(group)
    , m_request_timeout(request_timeout)
    , m_seed(seed)
    , m_repetitions(seed) {
  for (int i = 0; i < caller_count; ++i) {
    ++m_running_callers;
    net::fiber_runtime::spawn([this, caller_seed = seed + static_cast<std::uint64_t>(i)] {
      run(caller_seed);
      --m_running_callers;
    });
  }
}

void soak_callers::run(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  constexpr std::array<std::string_view, 4> routes = {"order", "read", "guide", "note"};
  while (!m_stopping) {
    const auto& daemon = m_group.daemons()[random() % m_group.daemons().size()];
    send(m_group.callers_address(daemon), routes[random() % routes.size()]);
    boost::this_fiber::sleep_for(milliseconds(random() % 20));
  }
}

int soak_callers::send(const std::string& address, std::string_view route) {
  const std::string id = std::to_string(m_seed) + "-" + std::to_string(m_history->m_request_count + 1);
  const bool at_most_once = route == "order" || route == "guide";
  if (at_most_once) {
    m_history->m_at_most_once_ids.push_back(id);
  }
  int status = send(address, route, id);
  // Sent again to the same daemon, it may reach a connection on which it was refused before.
  while (at_most_once && is_not_run_status(status) && m_group.run_counter().runs(id) == 0 && !m_stopping &&
         m_repetitions() % 2 == 0) {
    boost::this_fiber::sleep_for(milliseconds(m_repetitions() % 50));
    status = send(address, route, id);
  }
  if (is_not_run_status(status)) {
    m_history->m_refused_ids.push_back(id);
  }
  return status;
}

int soak_callers::send(const std::string& address, std::string_view route, const std::string& id) {
  ++m_history->m_request_count;
  for (const auto& daemon : m_group.daemons()) {
    if (m_group.callers_address(daemon) == address) {
      m_history->m_dispatches[id].push_back({daemon.m_name, daemon.m_start_count, monotonic_now()});
    }
  }
  const std::string host = route == "moved" ? m_group.moved_host() : "h";
  const auto response =
      m_group.client().fetch(address,
                             {"POST",
                              "/" + std::string(route) + "/x",
                              {{"Host", host},
                               {"X-Cardamompond-Request-Id", id},
                               {"X-Cardamompond-Deadline-Ms", std::to_string(m_request_timeout.count())},
                               {"Api-Key", "k"}},
                              "body of " + id},
                             m_request_timeout);
  if (!response) {
    if (response.error().m_sent) {
      m_history->m_unanswered.push_back({id, response.error().m_message, monotonic_now()});
    }
    return 0;
  }
  if (const auto stamp = net::find_header(response->m_headers, "X-Cardamompond-Server-Stamp")) {
    const std::pair<std::string, std::string> answer(id, *stamp);
    const auto& [daemon, start_count, sent_at] = m_history->m_dispatches[id].back();
    for (const auto& engine : m_group.engines()) {
      const auto& limits = engine.m_engine->log().m_limit_answers;
      if (const auto limit = limits.find(answer); limit != limits.end()) {
        m_history->m_limit_known.try_emplace({daemon, answer.second, limit->second}, monotonic_now());
      }
      if (engine.m_engine->log().m_leaving_answers.contains(answer)) {
        m_history->m_leaving_known.try_emplace({daemon, start_count, answer.second}, monotonic_now());
      }
    }
  }
  check_response(route, id, *response);
  return response->m_status;
}

void soak_callers::check_response(std::string_view route, const std::string& id,
                                  const net::http_response& response) {
  if (response.m_status != 200) {
    return;
  }
  m_history->m_successful_ids.push_back(id);
  const bool streamed = route == "guide" || route == "note";
  const std::string expected = streamed ? make_complete_stream(id) : "answer " + id;
  if (response.m_body != expected) {
    m_history->m_violations.push_back(std::string(route) + " " + id +
                                      ": the body is not the complete response to this request");
  }
  if (!net::find_header(response.m_headers, "X-Cardamompond-Server-Stamp")) {
    m_history->m_violations.push_back(std::string(route) + " " + id +
                                      ": status 200 without the header X-Cardamompond-Server-Stamp");
  }
}

const soak_dispatch& soak_callers::find_dispatch(const std::string& id, time_point until) const {
  const auto& dispatches = m_history->m_dispatches.at(id);
  const auto last = std::find_if(dispatches.rbegin(), dispatches.rend(),
                                 [&](const auto& each) { return each.m_sent_at <= until; });
  return last == dispatches.rend() ? dispatches.front() : *last;
}

void soak_callers::stop() {
  m_stopping = true;
  wait_until("the last calls are complete", m_request_timeout + milliseconds(3'000),
             [&] { return m_running_callers == 0; });
}

// A request that was sent after its daemon had passed on the statement of an engine's process that it leaves
// must not reach that process.
void soak_callers::check_leaving(const platform::standins::engine_log& log) {
  for (const auto& arrival : log.m_arrivals) {
    const auto& [daemon, start_count, sent_at] = find_dispatch(arrival.m_request_id, arrival.m_at);
    const auto known = m_history->m_leaving_known.find({daemon, start_count, arrival.m_stamp});
    if (known != m_history->m_leaving_known.end() && sent_at > known->second) {
      m_history->m_violations.push_back(arrival.m_request_id + ": sent by " + daemon +
                                        " to the leaving engine " + arrival.m_stamp);
    }
  }
}

// At most two requests of a daemon reach an engine from half a second after its refusal until the end of the
// pause that it asked for, unless the daemon or its connections to the engine were disturbed in the meantime.
void soak_callers::check_pauses(const platform::standins::engine_log& log, const std::string& engine) {
  constexpr milliseconds reaction_time{500};
  constexpr std::ptrdiff_t max_requests = 2;
  m_history->m_pauses += log.m_pauses.size();
  for (const auto& pause : log.m_pauses) {
    const auto& asked = find_dispatch(pause.m_request_id, pause.m_asked_at);
    if (m_group.was_disturbed(asked.m_daemon, pause.m_asked_at, pause.m_until) ||
        m_group.was_disturbed(engine, pause.m_asked_at, pause.m_until)) {
      continue;
    }
    const auto arrived =
        std::count_if(log.m_arrivals.begin(), log.m_arrivals.end(), [&](const auto& arrival) {
          return arrival.m_stamp == pause.m_stamp && arrival.m_at > pause.m_asked_at + reaction_time &&
                 arrival.m_at < pause.m_until &&
                 find_dispatch(arrival.m_request_id, arrival.m_at).m_daemon == asked.m_daemon;
        });
    if (arrived > max_requests) {
      m_history->m_violations.push_back(std::to_string(arrived) + " requests of " + asked.m_daemon +
                                        " reached " + pause.m_stamp + " in the pause that it asked for");
    }
  }
}

// From 3 s after an engine first stated a limit, it gets in no 4 s more than one and a half times what that
// allows, and 5 requests, from all daemons that had passed on an answer with it half a second before. Daemons
// and connections that were disturbed in the last 3 s do not count.
void soak_callers::check_limits(const platform::standins::engine_log& log, const std::string& engine) {
  constexpr milliseconds reaction_time{500};
  constexpr milliseconds settling_time{3'000};
  constexpr seconds window{4};
  for (std::size_t index = 0; index < log.m_limits.size(); ++index) {
    const auto& limit = log.m_limits[index];
    const double allowed = 1.5 * static_cast<double>(window.count()) * limit.m_per_s + 5;
    std::deque<time_point> counted; // within the window that ends with the last arrival
    std::size_t most = 0;
    for (const auto& [id, stamp, at] : log.m_arrivals) {
      const auto& daemon = find_dispatch(id, at).m_daemon;
      const auto known = m_history->m_limit_known.find({daemon, stamp, index});
      if (stamp != limit.m_stamp || at < limit.m_stated_at + settling_time || at >= limit.m_until ||
          known == m_history->m_limit_known.end() || at < known->second + reaction_time ||
          m_group.was_disturbed(daemon, at - settling_time, at) ||
          m_group.was_disturbed(engine, at - settling_time, at)) {
        continue;
      }
      counted.push_back(at);
      while (counted.front() <= at - window) {
        counted.pop_front();
      }
      most = std::max(most, counted.size());
    }
    m_history->m_max_limit_use = std::max(m_history->m_max_limit_use, static_cast<double>(most) / allowed);
    if (static_cast<double>(most) > allowed) {
      m_history->m_violations.push_back(std::to_string(most) + " requests reached " + limit.m_stamp +
                                        " in 4 s, allowed " + std::to_string(allowed));
    }
  }
}

// The process may be ended by force at the end of the drain time, so requests that were sent soon after
// SIGTERM may be cut if their engine was still at work in the last sixth of the drain time.
bool soak_callers::may_be_cut_by_drain(const soak_dispatch& sent, time_point ended_at) const {
  constexpr milliseconds max_sent_after_signal{3'000};
  for (const auto& daemon : m_group.daemons()) {
    const auto terminated = daemon.m_terminated_at.find(sent.m_start_count);
    if (daemon.m_name == sent.m_daemon && terminated != daemon.m_terminated_at.end()) {
      return sent.m_sent_at <= terminated->second + max_sent_after_signal &&
             ended_at >= terminated->second + soak_drain_time - soak_drain_time / 6;
    }
  }
  return false;
}

std::size_t soak_callers::check_lost_requests() {
  constexpr milliseconds max_unread_time{200};
  constexpr milliseconds clock_margin{10};        // engines get their deadline in whole milliseconds
  std::map<std::string_view, time_point> arrived; // the last time
  for (const auto& engine : m_group.engines()) {
    for (const auto& arrival : engine.m_engine->log().m_arrivals) {
      auto& last = arrived[arrival.m_request_id];
      last = std::max(last, arrival.m_at);
    }
  }
  std::size_t cut_by_drain = 0;
  for (const auto& [id, reason, ended_at] : m_history->m_unanswered) {
    const auto& sent = m_history->m_dispatches[id].back();
    const duration took = ended_at - sent.m_sent_at;
    const auto arrival = arrived.find(id);
    const bool passed_on = arrival != arrived.end() && arrival->second >= sent.m_sent_at;
    if (took >= m_request_timeout - clock_margin || (!passed_on && took <= max_unread_time)) {
      continue;
    }
    if (passed_on && may_be_cut_by_drain(sent, ended_at)) {
      ++cut_by_drain;
      continue;
    }
    const auto took_ms = std::chrono::duration_cast<milliseconds>(took).count();
    std::string violation = id;
    violation.append(" to ").append(sent.m_daemon).append(".").append(std::to_string(sent.m_start_count));
    violation.append(": no response after ").append(std::to_string(took_ms)).append(" ms (").append(reason);
    violation.append(passed_on ? "), was passed on" : "), was not passed on");
    m_history->m_violations.push_back(std::move(violation));
  }
  return cut_by_drain;
}

const soak_history& soak_callers::check_history() {
  for (const auto& engine : m_group.engines()) {
    check_leaving(engine.m_engine->log());
    check_pauses(engine.m_engine->log(), engine.m_relay->address());
    check_limits(engine.m_engine->log(), engine.m_relay->address());
  }
  for (const auto& id : m_history->m_at_most_once_ids) {
    if (const int runs = m_group.run_counter().runs(id); runs > 1) {
      m_history->m_violations.push_back(id + ": ran " + std::to_string(runs) + " times");
    }
  }
  for (const auto& id : m_history->m_refused_ids) {
    if (m_group.run_counter().runs(id) > 0 &&
        std::find(m_history->m_at_most_once_ids.begin(), m_history->m_at_most_once_ids.end(), id) !=
            m_history->m_at_most_once_ids.end()) {
      m_history->m_violations.push_back(id + ": refused as not run, but ran");
    }
  }
  return *m_history;
}

const soak_history& soak_callers::report_history(const char* name) {
  const auto& history = check_history();
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  std::printf("%s, seed %llu: %llu requests (%llu sent again), %zu answered, %zu refused, %zu "
              "violations; %zu times known that an engine leaves, %llu pauses, %llu late copies, "
              "%.2f of a limit used\n",
              name, static_cast<unsigned long long>(m_seed / 1'000'000),
              static_cast<unsigned long long>(history.m_request_count),
              static_cast<unsigned long long>(history.m_request_count - history.m_dispatches.size()),
              history.m_successful_ids.size(), history.m_refused_ids.size(), history.m_violations.size(),
              history.m_leaving_known.size(), static_cast<unsigned long long>(history.m_pauses),
              m_group.late_copies(), history.m_max_limit_use);
  for (const auto& violation : history.m_violations) {
    std::printf("  %s\n", violation.c_str());
  }
  CHECK_TEXT(history.m_violations.empty(), "violations were found; see the lines above");
  return history;
}

} // namespace cardamompond::testing
