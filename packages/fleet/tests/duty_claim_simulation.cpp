#include "duty_claim_simulation.hpp"

#include <algorithm>
#include <tuple>

namespace cardamompond::fleet::testing {
namespace {

constexpr std::uint32_t account = 1;
constexpr duration tick = milliseconds(50);
constexpr duration lease = milliseconds(1'500);
constexpr duration timeout = seconds(1);
constexpr duration silence_limit = milliseconds(1'200);
constexpr duration settling_time = milliseconds(1'500);
constexpr std::int64_t statement_delay_ms = 300;

} // namespace

duty_simulation::duty_simulation(duty_simulation_options options)
    : m_options(options)
    , m_random(options.m_seed) {
  for (int i = 0; i < options.m_holders; ++i) {
    const auto incarnation = static_cast<std::uint64_t>(i + 1);
    m_daemons.push_back(std::make_unique<daemon>(
        claim_options{std::to_string(i), incarnation, options.m_fencing, lease, m_random()}, m_now,
        usage_source{incarnation, incarnation}));
  }
  if (options.m_restores_store) {
    m_era = 1;
    const time_point first = m_now + delay(5'000, 25'000);
    m_restores_at = {first, first + delay(500, 10'000)};
  }
}

// Puts a copy that is some seconds old in place of the store, as the start of a new era.
void duty_simulation::restore_store() {
  m_copies.emplace(m_now, std::pair(m_object, m_revision));
  if (m_restores_at.empty() || m_now < m_restores_at.front()) {
    return;
  }
  m_restores_at.erase(m_restores_at.begin());
  const auto copy = m_copies.upper_bound(m_now - delay(100, 8'000));
  std::tie(m_object, m_revision) = copy->second;
  m_copies.erase(copy, m_copies.end());
  ++m_era;
  m_store_away_until = m_now + delay(0, 3'000);
}

bool duty_simulation::probably(double probability) {
  return std::uniform_real_distribution<double>(0, 1)(m_random) < probability;
}

duration duty_simulation::delay(std::int64_t min_ms, std::int64_t max_ms) {
  return milliseconds(std::uniform_int_distribution<std::int64_t>(min_ms, max_ms)(m_random));
}

// Carries the action out at a daemon, after its pause if it is paused then.
void duty_simulation::deliver(int index, duration later, std::function<void()> action) {
  at(later, [this, index, action = std::move(action)] {
    const auto& each = *m_daemons[static_cast<std::size_t>(index)];
    if (each.m_paused_until > m_now) {
      deliver(index, each.m_paused_until - m_now, action);
    } else {
      action();
    }
  });
}

void duty_simulation::disturb(daemon& each) {
  if (in_faults() && probably(each.m_claim.holds() ? 0.02 : 0.004)) {
    each.m_paused_until = m_now + delay(100, 5'000);
  }
  if (in_faults() && probably(0.004)) {
    each.m_reports_cut_until = m_now + delay(500, 5'000);
  }
}

void duty_simulation::count_requests() {
  for (auto& each : m_daemons) {
    if (each->m_paused_until <= m_now && probably(0.4)) {
      const std::int64_t window = current_window();
      ++m_truth[window];
      each->m_windows.record(window, account, m_now);
      for (std::size_t i = 0; i < m_daemons.size(); ++i) {
        const auto statements = each->m_windows.statements(window);
        const usage_statement own = statements.front();
        deliver(static_cast<int>(i), delay(0, statement_delay_ms),
                [this, i, own] { m_daemons[i]->m_windows.merge(own); });
      }
    }
  }
}

int duty_simulation::execute_write(const claim_write& write) {
  const bool holds = m_object ? write.m_revision == m_object->m_revision : !write.m_revision.has_value();
  if (holds) {
    m_object = stored_claim{write.m_record, ++m_revision};
  }
  return holds ? 200 : 409;
}

void duty_simulation::write(int index, claim_write sent) {
  auto& claim = m_daemons[static_cast<std::size_t>(index)]->m_claim;
  const bool lost = in_faults() && probably(0.15);
  const bool late = lost && probably(0.5);
  if (m_now < m_store_away_until || (in_faults() && probably(0.05))) {
    deliver(index, delay(1, 50), [this, &claim] { claim.write_failed(m_now); });
    return;
  }
  at(late ? delay(1'000, 4'000) : delay(1, 80), [this, index, &claim, sent, lost] {
    const int status = execute_write(sent);
    if (lost) {
      return;
    }
    const auto found = m_object;
    deliver(index, delay(1, 80), [this, &claim, status, found, era = m_era] {
      if (status == 200) {
        claim.write_done(found->m_revision, m_now, era);
      } else {
        claim.write_conflicted(found, m_now, era);
      }
    });
  });
  if (lost) {
    deliver(index, timeout, [this, &claim] { claim.write_unknown(m_now); });
  }
}

bool duty_simulation::execute_call(call made) {
  if (m_options.m_checks_tokens && made.m_token < m_highest_token) {
    return false;
  }
  m_highest_token = std::max(m_highest_token, made.m_token);
  made.m_at = m_now;
  m_executed.push_back(std::move(made));
  return true;
}

void duty_simulation::send_window(int index) {
  auto& each = *m_daemons[static_cast<std::size_t>(index)];
  const auto& windows = each.m_claim.record().m_windows;
  const auto next = std::find_if(windows.rbegin(), windows.rend(), [&](const auto& window) {
    return !each.m_accepted.contains(window.m_window);
  });
  if (next == windows.rend() || each.m_calling || !each.m_claim.may_act(m_now)) {
    return;
  }
  each.m_calling = true;
  const call made{m_now, index, each.m_claim.record().m_token, *next};
  const bool lost = in_faults() && m_options.m_loses_calls && probably(0.2);
  const bool late = lost && probably(0.5);
  at(late ? delay(500, 4'000) : delay(0, 20), [this, index, &each, made, lost] {
    const bool accepted = execute_call(made);
    if (!lost) {
      deliver(index, delay(1, 20), [&each, accepted, made] {
        each.m_calling = false;
        if (accepted) {
          each.m_accepted.insert(made.m_window.m_window);
        } else {
          each.m_claim.token_rejected();
        }
      });
    }
  });
  if (lost) {
    deliver(index, timeout, [this, &each] {
      each.m_calling = false;
      each.m_claim.record_unanswered_call(m_now);
    });
  }
}

void duty_simulation::step(int index) {
  auto& each = *m_daemons[static_cast<std::size_t>(index)];
  auto& claim = each.m_claim;
  claim.observe_clock(m_now, duration::zero());
  if (each.m_reports_cut_until <= m_now) {
    each.m_announced_token = claim.announces(m_now) ? claim.record().m_token : 0;
    each.m_reported_at = m_now;
  }
  claim_surroundings surroundings;
  for (const auto& other : m_daemons) {
    const bool live = other.get() != &each && m_now - other->m_reported_at < silence_limit &&
                      each.m_reports_cut_until <= m_now;
    if (live) {
      surroundings.m_announced_token = std::max(surroundings.m_announced_token, other->m_announced_token);
    }
  }
  surroundings.m_turn_delay = milliseconds(400) * index;
  if (each.m_era_heard_at <= m_now && m_now >= m_store_away_until) {
    each.m_era_heard = m_era; // by a watch of another collection
    each.m_era_heard_at = m_now + delay(0, 2'500);
  }
  surroundings.m_store_era = each.m_era_heard;
  switch (claim.next(m_now, surroundings)) {
  case claim_step::read:
    claim.begin_read();
    if (m_now < m_store_away_until) {
      deliver(index, delay(1, 50), [this, &claim] { claim.read_failed(m_now); });
      return;
    }
    at(delay(1, 80), [this, index, &claim, found = m_object, era = m_era] {
      deliver(index, delay(1, 80), [this, &claim, found, era] { claim.read_done(found, m_now, era); });
    });
    return;
  case claim_step::take_over:
    write(index, claim.begin_take_over(m_now));
    return;
  case claim_step::take_new_token:
    write(index, claim.begin_take_new_token(m_now));
    return;
  case claim_step::none:
    break;
  }
  if (!claim.holds()) {
    return;
  }
  const std::int64_t last = claim.record().m_last_window;
  const std::int64_t due = last == 0 ? window_at(seconds(1'000), seconds(1)) : last + 1;
  if (claim.record().m_windows_unknown && claim.may_write(m_now)) {
    const std::int64_t sent = window_at(m_now.time_since_epoch() - settling_time, seconds(1)) - 1;
    write(index, claim.begin_record(claim.record().m_windows, std::max(last, sent), m_now));
  } else if (claim.may_write(m_now) && m_now.time_since_epoch() - seconds(due + 1) >= settling_time) {
    std::vector<recorded_window> windows;
    for (const auto& window : claim.record().m_windows) {
      if (!each.m_accepted.contains(window.m_window)) {
        windows.push_back(window);
      }
    }
    const auto sums = each.m_windows.sums(due);
    windows.push_back({due, {{"account", sums.empty() ? 0 : sums.begin()->second}}});
    write(index, claim.begin_record(std::move(windows), due, m_now));
  } else if (claim.needs_renewal(m_now) && claim.may_write(m_now)) {
    write(index, claim.begin_renewal(m_now));
  } else {
    send_window(index);
  }
}

std::vector<std::string> duty_simulation::run() {
  for (auto& each : m_daemons) {
    each->m_windows.set_range(0, 2'000);
  }
  for (; m_now < m_end; m_now += tick) {
    while (!m_events.empty() && m_events.begin()->first <= m_now) {
      auto event = m_events.extract(m_events.begin());
      event.mapped()();
    }
    count_requests();
    restore_store();
    for (int i = 0; i < m_options.m_holders; ++i) {
      auto& each = *m_daemons[static_cast<std::size_t>(i)];
      if (each.m_paused_until <= m_now) {
        step(i);
        disturb(each);
      }
    }
  }
  return check();
}

std::vector<std::string> duty_simulation::check() const {
  std::vector<std::string> violations;
  std::map<std::int64_t, recorded_window> by_window;
  std::map<std::uint64_t, int> holders;
  std::uint64_t highest = 0;
  for (std::size_t i = 0; i < m_executed.size(); ++i) {
    const auto& [at_time, holder, token, window] = m_executed[i];
    const std::string where = " in call " + std::to_string(i);
    if (by_window.try_emplace(window.m_window, window).first->second != window) {
      violations.push_back("two counts for one window" + where);
    }
    if (holders.try_emplace(token, holder).first->second != holder) {
      violations.push_back("two holders with one token" + where);
    }
    if (token < highest) {
      violations.push_back("a lower token than was seen" + where);
    }
    highest = std::max(highest, token);
    for (std::size_t j = i, other = i; j-- > 0 && at_time - m_executed[j].m_at < lease;) {
      if (m_executed[j].m_holder != holder) {
        other = j;
      } else if (other != i) {
        violations.push_back("the holders A, B, A within the lease" + where);
        break;
      }
    }
  }
  const std::int64_t last = window_at(m_end.time_since_epoch(), seconds(1)) - 5;
  for (const auto& [window, requests] : m_truth) {
    const auto found = by_window.find(window);
    // Windows that a lost holder may have sent are not sent again.
    const bool settled = seconds(window) >= m_faults_end.time_since_epoch() + seconds(6);
    const bool may_miss = m_options.m_restores_store && !settled;
    if (window <= last && found == by_window.end()) {
      if (may_miss) {
        continue;
      }
      violations.push_back("no report for window " + std::to_string(window));
    } else if (window <= last && found->second.m_counts.at("account") > requests) {
      violations.push_back("too many requests in window " + std::to_string(window));
    } else if (window <= last && settled && found->second.m_counts.at("account") != requests) {
      violations.push_back("a wrong sum for window " + std::to_string(window));
    }
  }
  return violations;
}

} // namespace cardamompond::fleet::testing
