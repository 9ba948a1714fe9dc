#pragma once

#include "cardamompond/fleet/duty_claim.hpp"
#include "cardamompond/fleet/usage_windows.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace cardamompond::fleet::testing {

struct duty_simulation_options {
  bool m_fencing = true;         // what the holders are told
  bool m_checks_tokens = true;   // what the API does
  bool m_loses_calls = true;     // calls without a response, executed at once or late
  bool m_restores_store = false; // the store comes back from a copy, twice
  int m_holders = 3;
  std::uint64_t m_seed = 0;
};

// Several daemons that take turns in one duty, in virtual time: pauses, cut reports, writes and calls whose
// responses are lost or that are executed late. After the faults follows a calm time. Each daemon counts
// requests and knows the others' counts by statements that arrive late.
class duty_simulation {
public:
  explicit duty_simulation(duty_simulation_options options);

  // Runs to the end and returns the violations that the history shows.
  std::vector<std::string> run();

  std::size_t executed_calls() const { return m_executed.size(); }

private:
  struct call {
    time_point m_at;
    int m_holder = 0;
    std::uint64_t m_token = 0;
    recorded_window m_window;
  };
  struct daemon {
    explicit daemon(claim_options options, time_point started, usage_source self)
        : m_claim(std::move(options), started)
        , m_windows(self) {}
    duty_claim m_claim;
    usage_windows m_windows;
    time_point m_paused_until;
    time_point m_reports_cut_until;
    time_point m_reported_at;
    std::uint64_t m_announced_token = 0;
    std::uint64_t m_era_heard = 0;
    time_point m_era_heard_at;
    bool m_calling = false;
    std::set<std::int64_t> m_accepted;
  };

  bool probably(double probability);
  duration delay(std::int64_t min_ms, std::int64_t max_ms);
  bool in_faults() const { return m_now < m_faults_end; }
  void at(duration later, std::function<void()> action) {
    m_events.emplace(m_now + later, std::move(action));
  }
  void deliver(int index, duration later, std::function<void()> action);
  void disturb(daemon& each);
  void count_requests();
  void step(int index);
  void write(int index, claim_write write);
  void send_window(int index);
  int execute_write(const claim_write& write);
  void restore_store();
  bool execute_call(call made);
  std::int64_t current_window() const { return window_at(m_now.time_since_epoch(), seconds(1)); }
  std::vector<std::string> check() const;

  duty_simulation_options m_options;
  std::mt19937_64 m_random;
  time_point m_now{seconds(1'000)};
  time_point m_faults_end{seconds(1'040)};
  time_point m_end{seconds(1'065)};
  std::multimap<time_point, std::function<void()>> m_events;
  std::vector<std::unique_ptr<daemon>> m_daemons;
  std::optional<stored_claim> m_object;
  std::uint64_t m_revision = 100;
  std::uint64_t m_era = 0;
  std::map<time_point, std::pair<std::optional<stored_claim>, std::uint64_t>> m_copies; // object and revision
  std::vector<time_point> m_restores_at;
  time_point m_store_away_until;
  std::uint64_t m_highest_token = 0;
  std::vector<call> m_executed;
  std::map<std::int64_t, std::uint64_t> m_truth; // requests by window
};

} // namespace cardamompond::fleet::testing
