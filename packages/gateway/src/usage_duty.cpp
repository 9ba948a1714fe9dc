#include "cardamompond/gateway/usage_duty.hpp"

#include "cardamompond/net/fiber_runtime.hpp"
#include "cardamompond/telemetry/log.hpp"

#include <boost/fiber/operations.hpp>

#include <algorithm>
#include <memory>
#include <utility>
#include <vector>

namespace cardamompond::gateway {
namespace {

// Shares of the time until a report counts as late. A window is gathered when the statements about it have
// arrived; a zone that does not answer is waited for as long as the rest is enough to record and send.
constexpr double gathering_share = 0.3;
constexpr double waiting_share = 0.7;

constexpr milliseconds gathering_timeout{800};
constexpr duration gathering_interval = milliseconds(500);
constexpr milliseconds poll_interval{5};
constexpr milliseconds call_timeout{1'000};

// Collectors of a zone that are asked. They may have missed different statements.
constexpr std::size_t asked_per_zone = 2;

// Windows that wait for the API; older ones are dropped. The object must stay small.
constexpr std::size_t max_waiting_windows = 24;

std::int64_t to_ms(duration value) {
  return std::chrono::duration_cast<milliseconds>(value).count();
}

duration share_of(duration whole, double share) {
  return std::chrono::duration_cast<duration>(whole * share);
}

} // namespace

usage_duty::usage_duty(net::http_client& client, peer_group& group, usage_ledger& ledger, duty_api& api,
                       duration late_after)
    : m_client(client)
    , m_group(group)
    , m_ledger(ledger)
    , m_api(api)
    , m_late_after(late_after) {}

void usage_duty::perform(duty_runner& runner) {
  m_ledger.tick();
  record_due_windows(runner);
  send_recorded_window(runner);
}

bool usage_duty::is_due(std::int64_t window) const {
  return m_ledger.time_since_end(window) >= share_of(m_late_after, gathering_share);
}

void usage_duty::record_due_windows(duty_runner& runner) {
  if (!runner.claim().may_write(boot_now())) {
    return;
  }
  const std::int64_t last_recorded = runner.claim().record().m_last_window;
  std::int64_t window = last_recorded == 0 ? m_ledger.first_window() : last_recorded + 1;
  window = std::max(window, m_ledger.current_window() - static_cast<std::int64_t>(max_waiting_windows) + 1);
  const bool skips = runner.claim().record().m_windows_unknown;
  if (skips) {
    // A holder whose records the store lost may have sent what was due by now, with other counts.
    const std::int64_t first = window;
    while (is_due(window)) {
      ++window;
    }
    log_event(log_level::error, "usage_dropped",
              {{"first_window", first},
               {"windows", window - first},
               {"reason", "the store lost the record of what was sent"}});
  }
  std::vector<fleet::recorded_window> added;
  while (is_due(window) && gather(window)) {
    added.push_back({window, m_ledger.counts(window)});
    ++window;
  }
  if (added.empty() && !skips) {
    return;
  }
  std::vector<fleet::recorded_window> windows;
  for (const auto& each : runner.claim().record().m_windows) {
    if (!m_accepted.contains(each.m_window)) {
      windows.push_back(each);
    }
  }
  windows.insert(windows.end(), added.begin(), added.end());
  while (windows.size() > max_waiting_windows) {
    log_event(log_level::error, "usage_dropped",
              {{"window", windows.front().m_window}, {"reason", "the API has not accepted it in time"}});
    windows.erase(windows.begin());
  }
  runner.record_windows(std::move(windows), window - 1);
}

// Asks the collectors of the zones that have not answered yet. Returns whether all zones have answered or are
// not waited for any longer.
bool usage_duty::gather(std::int64_t window) {
  if (m_gathered_window != window) {
    m_gathered_window = window;
    m_answered_zones.clear();
    m_next_gathering.reset();
  }
  const bool last_attempt = m_ledger.time_since_end(window) >= share_of(m_late_after, waiting_share);
  if (m_next_gathering && boot_now() < *m_next_gathering) {
    return false;
  }
  struct progress {
    std::size_t m_pending = 0;
    std::set<std::string> m_answered;
  };
  const auto state = std::make_shared<progress>();
  for (const auto& zone : m_group.zones()) {
    if (m_answered_zones.contains(zone)) {
      continue;
    }
    const auto daemons = m_group.daemons_of_zone(zone, usage_ledger::collector_key);
    for (std::size_t i = 0; i < std::min(asked_per_zone, daemons.size()); ++i) {
      if (daemons[i].m_name == m_group.self().m_name) {
        state->m_answered.insert(zone); // this daemon is a collector itself
        continue;
      }
      ++state->m_pending;
      net::fiber_runtime::spawn([this, state, zone, address = daemons[i].m_exchange_address, window] {
        const auto response =
            m_client.fetch(address, {"GET", "/usage/" + std::to_string(window), {}, {}}, gathering_timeout);
        constexpr int status_ok = 200;
        auto statements =
            response && response->m_status == status_ok
                ? decode_usage_list(response->m_body)
                : result<std::vector<fleet::usage_statement>, malformed_message>(
                      malformed_message{response ? "status " + std::to_string(response->m_status)
                                                 : response.error().m_message});
        if (statements) {
          for (const auto& each : *statements) {
            m_ledger.merge(each);
          }
          state->m_answered.insert(zone);
        } else {
          log_event(log_level::warning, "usage_fetch_failed",
                    {{"window", window}, {"peer", address}, {"reason", statements.error().m_reason}});
        }
        --state->m_pending;
      });
    }
  }
  const time_point until = boot_now() + gathering_timeout;
  while (state->m_pending > 0 && boot_now() < until) {
    boost::this_fiber::sleep_for(poll_interval);
  }
  m_answered_zones.insert(state->m_answered.begin(), state->m_answered.end());
  m_next_gathering = boot_now() + gathering_interval;
  const auto zones = m_group.zones();
  const bool complete = std::all_of(zones.begin(), zones.end(),
                                    [&](const std::string& zone) { return m_answered_zones.contains(zone); });
  if (!complete && last_attempt) {
    log_event(log_level::warning, "usage_incomplete",
              {{"window", window}, {"zones", zones.size()}, {"answered", m_answered_zones.size()}});
  }
  return complete || last_attempt;
}

// Sends the newest recorded window that the API has not accepted, since older ones are late already.
void usage_duty::send_recorded_window(duty_runner& runner) {
  const auto find_next = [&]() -> const fleet::recorded_window* {
    const auto& windows = runner.claim().record().m_windows;
    const auto found = std::find_if(windows.rbegin(), windows.rend(),
                                    [&](const auto& each) { return !m_accepted.contains(each.m_window); });
    return found == windows.rend() ? nullptr : &*found;
  };
  if (find_next() == nullptr || !runner.may_call()) {
    return;
  }
  const auto* next = find_next(); // may_call() may have renewed the claim
  if (next == nullptr) {
    return;
  }
  const fleet::recorded_window window = *next;
  const std::uint64_t token = runner.claim().record().m_token;
  const auto result = m_api.report_usage({m_group.self().m_name, token}, window, call_timeout);
  runner.record_call(result);
  if (result.m_outcome != duty_call_outcome::accepted) {
    return;
  }
  m_accepted.insert(window.m_window);
  while (m_accepted.size() > 2 * max_waiting_windows) {
    m_accepted.erase(m_accepted.begin());
  }
  m_last_accepted = std::max(m_last_accepted, window.m_window);
  std::uint64_t requests = 0;
  for (const auto& [account, count] : window.m_counts) {
    requests += count;
  }
  log_event(log_level::info, "usage_reported",
            {{"window", window.m_window},
             {"token", token},
             {"accounts", window.m_counts.size()},
             {"requests", requests},
             {"after_ms", to_ms(m_ledger.time_since_end(window.m_window))}});
}

} // namespace cardamompond::gateway
