#include "overload_simulation.hpp"

#include "cardamompond/fleet/dispatcher.hpp"

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace cardamompond::fleet::testing {
namespace {

constexpr const char* service_name = "chat";
constexpr std::array<double, 3> engine_slowness = {0.55, 1.0, 2.8};
constexpr std::uint32_t engine_slots = 7;
constexpr std::uint32_t tokens_per_event = 7;

// Times of an engine of slowness 1.
constexpr double step_s = 0.00341;
constexpr double step_s_per_request = 0.000097;
constexpr double prompt_tokens_per_s = 112'000;
constexpr double prompt_chunk = 2'048; // prompt tokens processed in one step
constexpr double admission_s = 0.031;  // before the first token

constexpr duration tick_interval = milliseconds(5);
constexpr duration zone_report_interval = milliseconds(200);
constexpr duration digest_interval = milliseconds(1'000);

double to_seconds(duration value) {
  return std::chrono::duration<double>(value).count();
}

duration from_seconds(double value) {
  return std::chrono::duration_cast<duration>(std::chrono::duration<double>(value));
}

struct caller {
  std::size_t m_route = 0;
  time_point m_first_sent;
  time_point m_sent; // of the current attempt
  std::uint32_t m_prompt_tokens = 0;
  std::uint32_t m_output_tokens = 0;
  bool m_returned = false;
  std::uint32_t m_account = 0; // 0: none
  std::size_t m_daemon = 0;
};

struct running {
  ticket m_ticket = 0;
  double m_prompt_left = 0;
  time_point m_ready; // the engine begins with the prompt
  std::uint32_t m_tokens_left = 0;
  std::uint32_t m_tokens_in_event = 0;
  time_point m_last_event;
  bool m_first_event_sent = false;
  duration m_longest_pause{};
};

struct engine {
  backend_server m_entry;
  double m_slowness = 1;
  std::vector<running> m_running;
  time_point m_next_step;
  bool m_lost = false;
  int m_served = 0;
};

class simulation {
public:
  explicit simulation(const simulated_overload& overload)
      : m_overload(overload)
      , m_random(overload.m_seed) {
    add_engines();
    add_daemons();
  }

  overload_result run();

private:
  void add_engines();
  void add_daemons();
  void list_engines();
  void add_arrivals();
  void submit(std::size_t caller_index);
  void decide();
  void run_engine(engine& each);
  void end_request(engine& on, const running& request);
  void lose_engines(bool lost);
  void exchange_reports(bool across_zones);
  void refuse(std::size_t caller_index, duration retry_after);
  void count(const caller& of, int route_result::*field, double worth_share);
  bool in_burst(time_point when) const;
  duration measure_recovery() const;

  struct daemon {
    std::unique_ptr<dispatcher> m_dispatcher;
    std::string m_name;
    std::string m_zone;
  };

  const simulated_overload m_overload;
  std::mt19937_64 m_random;
  const time_point m_start{seconds(100)};
  time_point m_now = m_start;
  std::vector<engine> m_engines;
  std::map<std::string, std::size_t> m_engine_index;
  std::vector<daemon> m_daemons;
  std::vector<caller> m_callers;
  std::map<ticket, std::size_t> m_tickets;
  using return_time = std::pair<time_point, std::size_t>;
  std::priority_queue<return_time, std::vector<return_time>, std::greater<>> m_returns;
  double m_next_arrival_s = 0;
  ticket m_last_ticket = 0;
  overload_result m_result;
  double m_worth_owed = 0;
  double m_worth_earned = 0;
  double m_burst_owed = 0;
  double m_burst_earned = 0;
  std::map<int, std::pair<double, double>> m_worth_by_second; // earned and owed, by the second of arrival
};

void simulation::add_engines() {
  for (int zone = 0; zone < m_overload.m_zones; ++zone) {
    for (int i = 0; i < m_overload.m_engines_per_zone; ++i) {
      engine each;
      each.m_entry.m_id = "e" + std::to_string(zone) + "-" + std::to_string(i);
      each.m_entry.m_service = service_name;
      each.m_entry.m_address = "127.0.0.1:1";
      each.m_entry.m_availability_zone = "z" + std::to_string(zone);
      each.m_entry.m_version = "v1";
      each.m_entry.m_slots = engine_slots;
      each.m_slowness = engine_slowness[static_cast<std::size_t>(i) % engine_slowness.size()];
      each.m_next_step = m_now;
      m_engine_index[each.m_entry.m_id] = m_engines.size();
      m_engines.push_back(std::move(each));
    }
  }
}

void simulation::add_daemons() {
  std::vector<daemon_location> members;
  for (int zone = 0; zone < m_overload.m_zones; ++zone) {
    for (int i = 0; i < m_overload.m_daemons_per_zone; ++i) {
      members.push_back({"d" + std::to_string(zone) + "-" + std::to_string(i), "z" + std::to_string(zone)});
    }
  }
  declarations source;
  service chat;
  chat.m_name = service_name;
  chat.m_uses_batching = true;
  chat.m_tokens_per_event = tokens_per_event;
  chat.m_max_reservation = milliseconds(2'000);
  source.m_services.push_back(chat);
  if (m_overload.m_ranks_are_tiers) {
    source.m_client_accounts.emplace_back();
  }
  for (std::uint32_t rank = 0; rank < simulated_routes; ++rank) {
    route each;
    each.m_rank = rank;
    each.m_services = {{service_name, 1.0}};
    source.m_routes.push_back(each);
  }
  for (const auto& location : members) {
    daemon each{std::make_unique<dispatcher>(m_random()), location.m_name, location.m_availability_zone};
    each.m_dispatcher->apply(source);
    each.m_dispatcher->set_overload_control(service_name, m_overload.m_overload_control);
    constexpr std::size_t small_group = 16;
    each.m_dispatcher->set_members(members, location, members.size() < small_group);
    m_daemons.push_back(std::move(each));
  }
  list_engines();
}

void simulation::list_engines() {
  std::vector<backend_server> listed;
  for (const auto& each : m_engines) {
    if (!each.m_lost) {
      listed.push_back(each.m_entry);
    }
  }
  for (auto& each : m_daemons) {
    each.m_dispatcher->set_backend_servers(listed, m_now);
  }
}

bool simulation::in_burst(time_point when) const {
  const auto within = [&](duration start, duration length) {
    return when >= m_start + start && when < m_start + start + length;
  };
  return (m_overload.m_burst_factor > 1 && within(m_overload.m_burst_start, m_overload.m_burst_length)) ||
         (m_overload.m_lost_engines > 0 && within(m_overload.m_loss_start, m_overload.m_loss_length));
}

void simulation::count(const caller& of, int route_result::*field, double worth_share) {
  const double worth = m_overload.m_profiles[of.m_route].m_worth;
  ++(m_result.m_routes[of.m_route].*field);
  ++m_result.m_routes[of.m_route].m_callers;
  m_worth_owed += worth;
  m_worth_earned += worth * worth_share;
  auto& [earned, owed] = m_worth_by_second[static_cast<int>(to_seconds(of.m_first_sent - m_start))];
  earned += worth * worth_share;
  owed += worth;
  if (in_burst(of.m_first_sent) && of.m_account > 1) {
    ++(m_result.m_other_accounts.*field);
    ++m_result.m_other_accounts.m_callers;
  }
  if (in_burst(of.m_first_sent)) {
    ++(m_result.m_routes_in_burst[of.m_route].*field);
    ++m_result.m_routes_in_burst[of.m_route].m_callers;
    m_burst_owed += worth;
    m_burst_earned += worth * worth_share;
  }
}

void simulation::add_arrivals() {
  while (m_start + from_seconds(m_next_arrival_s) <= m_now) {
    caller next;
    const double uniform = std::uniform_real_distribution<double>(0, 1)(m_random);
    next.m_route = uniform < m_overload.m_profiles[0].m_share                                      ? 0
                   : uniform < m_overload.m_profiles[0].m_share + m_overload.m_profiles[1].m_share ? 1
                                                                                                   : 2;
    const route_profile& profile = m_overload.m_profiles[next.m_route];
    next.m_first_sent = next.m_sent = m_now;
    // Lengths of prompts have a heavy tail.
    constexpr double spread = 0.8;
    next.m_prompt_tokens = static_cast<std::uint32_t>(std::min(
        40'000.0, profile.m_prompt_tokens *
                      std::exp(std::normal_distribution<double>(-spread * spread / 2, spread)(m_random))));
    next.m_output_tokens =
        tokens_per_event +
        static_cast<std::uint32_t>(tokens_per_event *
                                   std::exponential_distribution<double>(1 / profile.m_events)(m_random));
    next.m_daemon = m_random() % m_daemons.size();
    if (m_overload.m_accounts > 0) {
      const bool of_burst =
          m_overload.m_burst_factor > 1 && in_burst(m_now) &&
          std::uniform_real_distribution<double>(0, 1)(m_random) > 1 / m_overload.m_burst_factor;
      next.m_account = of_burst ? 1 : 1 + static_cast<std::uint32_t>(m_random() % m_overload.m_accounts);
    }
    m_callers.push_back(next);
    submit(m_callers.size() - 1);
    const bool burst = m_overload.m_burst_factor > 1 && m_now >= m_start + m_overload.m_burst_start &&
                       m_now < m_start + m_overload.m_burst_start + m_overload.m_burst_length;
    const double rate = m_overload.m_requests_per_s * (burst ? m_overload.m_burst_factor : 1);
    m_next_arrival_s += std::exponential_distribution<double>(rate)(m_random);
  }
}

void simulation::submit(std::size_t caller_index) {
  const caller& from = m_callers[caller_index];
  const route_profile& profile = m_overload.m_profiles[from.m_route];
  submission request;
  request.m_ticket = ++m_last_ticket;
  request.m_service = service_name;
  request.m_route_rank = static_cast<std::uint32_t>(from.m_route);
  request.m_rank = m_overload.m_ranks_are_tiers ? request.m_route_rank : 0;
  request.m_prompt_tokens = from.m_prompt_tokens;
  request.m_output_tokens = from.m_output_tokens;
  request.m_arrived = from.m_sent;
  request.m_age = from.m_sent - from.m_first_sent;
  request.m_account_hash = from.m_account;
  request.m_resubmitted = m_now > from.m_sent + tick_interval;
  request.m_first_token_due = from.m_first_sent + profile.m_first_target;
  request.m_deadline = from.m_first_sent + profile.m_timeout;
  request.m_abandoned_at = std::min<time_point>(request.m_deadline, from.m_sent + m_overload.m_abandon_time);
  m_tickets[request.m_ticket] = caller_index;
  m_daemons[from.m_daemon].m_dispatcher->submit(std::move(request), m_now);
}

void simulation::refuse(std::size_t caller_index, duration retry_after) {
  caller& refused = m_callers[caller_index];
  const time_point deadline = refused.m_first_sent + m_overload.m_profiles[refused.m_route].m_timeout;
  if (refused.m_returned) {
    count(refused, &route_result::m_unserved, 0);
    return;
  }
  refused.m_returned = true;
  refused.m_sent = m_now + std::min<duration>(retry_after, (deadline - m_now) / 3);
  refused.m_daemon = m_random() % m_daemons.size();
  m_returns.emplace(refused.m_sent, caller_index);
}

void simulation::decide() {
  for (auto& each : m_daemons) {
    for (const auto& decision : each.m_dispatcher->tick(m_now)) {
      if (const auto* refusal = std::get_if<dispatch_refusal>(&decision)) {
        const auto found = m_tickets.find(refusal->m_ticket);
        refuse(found->second, refusal->m_retry_after);
        m_tickets.erase(found);
        continue;
      }
      const auto& grant = std::get<dispatch_grant>(decision);
      engine& chosen = m_engines[m_engine_index.at(grant.m_server.m_id)];
      const std::size_t caller_index = m_tickets.at(grant.m_ticket);
      if (chosen.m_lost || chosen.m_running.size() >= engine_slots) {
        ++m_result.m_refused_reservations;
        each.m_dispatcher->finish(
            grant.m_ticket, chosen.m_lost ? server_outcome::unreachable : server_outcome::refused, m_now);
        m_tickets.erase(grant.m_ticket);
        submit(caller_index); // nothing was sent, so it waits on
        continue;
      }
      const caller& from = m_callers[caller_index];
      running added;
      added.m_ticket = grant.m_ticket;
      added.m_prompt_left = from.m_prompt_tokens;
      added.m_ready = m_now + from_seconds(admission_s * chosen.m_slowness);
      added.m_tokens_left = from.m_output_tokens;
      chosen.m_next_step = std::max(chosen.m_next_step, m_now);
      chosen.m_running.push_back(added);
    }
  }
}

void simulation::end_request(engine& on, const running& request) {
  const std::size_t caller_index = m_tickets.at(request.m_ticket);
  const caller& from = m_callers[caller_index];
  m_daemons[from.m_daemon].m_dispatcher->finish(request.m_ticket, server_outcome::answered, m_now);
  ++on.m_served;
  m_tickets.erase(request.m_ticket);
}

void simulation::run_engine(engine& each) {
  while (!each.m_lost && !each.m_running.empty() && each.m_next_step <= m_now) {
    const time_point step_start = each.m_next_step;
    const auto reading = std::find_if(each.m_running.begin(), each.m_running.end(), [&](const running& one) {
      return one.m_prompt_left > 0 && one.m_ready <= step_start;
    });
    double chunk = 0;
    if (reading != each.m_running.end()) {
      chunk = std::min(prompt_chunk, reading->m_prompt_left);
      reading->m_prompt_left -= chunk;
    }
    const double took_s =
        each.m_slowness * (step_s + step_s_per_request * static_cast<double>(each.m_running.size()) +
                           chunk / prompt_tokens_per_s);
    const time_point end = step_start + from_seconds(took_s);
    for (auto& one : each.m_running) {
      if (one.m_prompt_left > 0 || one.m_ready > step_start || (chunk > 0 && &one == &*reading)) {
        continue;
      }
      --one.m_tokens_left;
      if (++one.m_tokens_in_event < tokens_per_event && one.m_tokens_left > 0) {
        continue;
      }
      one.m_tokens_in_event = 0;
      const caller& from = m_callers[m_tickets.at(one.m_ticket)];
      dispatcher& owner = *m_daemons[from.m_daemon].m_dispatcher;
      if (one.m_first_event_sent) {
        one.m_longest_pause = std::max(one.m_longest_pause, end - one.m_last_event);
        owner.record_events(one.m_ticket, 1, end - one.m_last_event);
      } else {
        one.m_first_event_sent = true;
        owner.record_first_token(one.m_ticket, end);
        const bool late = end > from.m_first_sent + m_overload.m_profiles[from.m_route].m_first_target;
        one.m_longest_pause = late ? duration::max() : duration::zero();
      }
      one.m_last_event = end;
    }
    each.m_next_step = end;
    for (std::size_t i = 0; i < each.m_running.size();) {
      const running ended = each.m_running[i];
      if (ended.m_tokens_left > 0) {
        ++i;
        continue;
      }
      const caller& from = m_callers[m_tickets.at(ended.m_ticket)];
      const bool on_time = ended.m_longest_pause <= m_overload.m_profiles[from.m_route].m_pause_target;
      count(from, on_time ? &route_result::m_on_time : &route_result::m_late,
            on_time ? 1 : m_overload.m_late_worth_share);
      end_request(each, ended);
      each.m_running.erase(each.m_running.begin() + static_cast<std::ptrdiff_t>(i));
    }
  }
}

void simulation::lose_engines(bool lost) {
  const auto count_lost = static_cast<std::size_t>(
      std::lround(m_overload.m_lost_engines * static_cast<double>(m_engines.size())));
  for (std::size_t i = 0; i < count_lost; ++i) {
    engine& each = m_engines[i * m_engines.size() / count_lost];
    each.m_lost = lost;
    each.m_next_step = m_now;
    for (const auto& one : each.m_running) {
      const std::size_t caller_index = m_tickets.at(one.m_ticket);
      m_daemons[m_callers[caller_index].m_daemon].m_dispatcher->finish(one.m_ticket, server_outcome::broken,
                                                                       m_now);
      count(m_callers[caller_index], &route_result::m_unserved, 0);
      m_tickets.erase(one.m_ticket);
    }
    each.m_running.clear();
  }
  list_engines();
}

void simulation::exchange_reports(bool across_zones) {
  for (const auto& from : m_daemons) {
    const auto loads = from.m_dispatcher->own_loads(m_now);
    const auto blocked = from.m_dispatcher->own_blocked();
    const auto summaries = from.m_dispatcher->own_load_summaries(true);
    for (auto& to : m_daemons) {
      if (&from == &to || (from.m_zone != to.m_zone) != across_zones) {
        continue;
      }
      to.m_dispatcher->set_peer_loads(from.m_name, loads, m_now);
      if (m_overload.m_report_blocked && !across_zones) {
        to.m_dispatcher->set_peer_blocked(from.m_name, blocked, m_now);
        to.m_dispatcher->set_peer_load_summaries(from.m_name, summaries, m_now);
      }
    }
  }
}

// Returns the time from the end of the overload to the first second in which four fifths of the worth were
// earned.
duration simulation::measure_recovery() const {
  const duration end = std::max(
      m_overload.m_burst_factor > 1 ? m_overload.m_burst_start + m_overload.m_burst_length : duration::zero(),
      m_overload.m_lost_engines > 0 ? m_overload.m_loss_start + m_overload.m_loss_length : duration::zero());
  constexpr double recovered_share = 0.8;
  for (const auto& [second, worth] : m_worth_by_second) {
    if (seconds(second) >= end && worth.first >= recovered_share * worth.second) {
      return seconds(second) - end;
    }
  }
  return m_overload.m_length - end;
}

overload_result simulation::run() {
  time_point next_zone_report = m_now;
  time_point next_digest = m_now;
  bool lost = false;
  // Callers that came before the end are followed until their deadline.
  const time_point end = m_start + m_overload.m_length;
  const time_point last = end + m_overload.m_profiles[0].m_timeout;
  while (m_now < last) {
    m_now += tick_interval;
    if (m_now < end) {
      add_arrivals();
    }
    while (!m_returns.empty() && m_returns.top().first <= m_now) {
      const std::size_t index = m_returns.top().second;
      m_returns.pop();
      submit(index);
    }
    const bool loses = m_overload.m_lost_engines > 0 && m_now >= m_start + m_overload.m_loss_start &&
                       m_now < m_start + m_overload.m_loss_start + m_overload.m_loss_length;
    if (loses != lost) {
      lost = loses;
      lose_engines(lost);
    }
    for (auto& each : m_engines) {
      run_engine(each);
    }
    if (m_now >= next_zone_report) {
      next_zone_report += zone_report_interval;
      exchange_reports(false);
    }
    if (m_now >= next_digest) {
      next_digest += digest_interval;
      exchange_reports(true);
    }
    decide();
  }
  m_result.m_worth = m_worth_earned / m_worth_owed;
  m_result.m_worth_in_burst = m_burst_owed > 0 ? m_burst_earned / m_burst_owed : 1;
  m_result.m_recovery = measure_recovery();
  double most = 0;
  double sum = 0;
  for (const auto& each : m_engines) {
    most = std::max(most, static_cast<double>(each.m_served));
    sum += each.m_served;
  }
  m_result.m_refused_reservations /= sum;
  m_result.m_busiest_engine = most * static_cast<double>(m_engines.size()) / sum;
  return m_result;
}

} // namespace

overload_result simulate(const simulated_overload& overload) {
  return simulation(overload).run();
}

} // namespace cardamompond::fleet::testing
