#pragma once

#include "cardamompond/cell/cell_member.hpp"
#include "cardamompond/core/memory_object_store.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace cardamompond::cell {

// Faults of the simulated network and platform. Those of type double are probabilities from 0 to 1.
struct simulation_faults {
  double m_loss = 0;
  double m_duplicate = 0;
  milliseconds m_extra_delay{0}; // upper bound of a random extra delay, which reorders messages
  double m_lost_reply = 0;       // a write takes effect, but its outcome is unknown
  double m_lost_request = 0;     // a write has no effect, and its outcome is unknown
  double m_late_write = 0;       // a write takes effect up to 3 s later; its outcome is unknown
};

// Simulates one cell of at most 64 members in virtual time, with a faulty network and a memory_object_store
// as the platform. Checks the guarantees of the cell after each step.
class simulated_cell {
public:
  simulated_cell(std::size_t members, std::uint64_t seed, simulation_faults faults = {},
                 cell_timing timing = {});

  simulated_cell(const simulated_cell&) = delete;

  void advance(duration time);
  // Advances until a running member that is not paused may grant, and returns the time this took, or null if
  // it took longer than `limit`.
  std::optional<milliseconds> wait_for_owner(milliseconds limit);

  void start(std::size_t index); // also restarts a running member, with a higher incarnation
  void kill(std::size_t index);
  void pause(std::size_t index);
  void resume(std::size_t index);
  void leave(std::size_t index);
  // Separates the members whose bit is set from the others; 0 ends the partition.
  void partition(std::uint64_t member_bits);
  // Drops every message from one member to the other, in this direction only. heal() restores all links.
  void cut_link(std::size_t source, std::size_t target);
  void set_outage(bool outage);
  // The members whose bit is set do not reach the platform.
  void cut_platform(std::uint64_t member_bits);
  void set_faults(const simulation_faults& faults) { m_faults = faults; }
  // Ends all faults and starts all members that are not running.
  void heal();

  std::size_t size() const { return m_nodes.size(); }
  bool is_running(std::size_t index) const { return m_nodes[index].m_member != nullptr; }
  bool is_paused(std::size_t index) const { return m_nodes[index].m_paused; }
  cell_member& member(std::size_t index) { return *m_nodes[index].m_member; }
  std::optional<std::size_t> owner() const; // the running member that may grant now
  time_point now() const { return m_now; }
  memory_object_store& store() { return m_store; }
  cell_record record();

  // Returns the first violation of a guarantee, or an empty string.
  const std::string& violation() const { return m_violation; }
  bool m_allow_two_owners = false;
  // Allows two owners where docs/design.md, section 5, accepts them: a majority of the members in the older
  // owner's record reaches neither the platform nor the newer owner, or has regained one of them at most 2 s
  // ago.
  bool m_allow_documented_exception = false;
  // Additionally allows a newer owner that is missing from the older owner's record and that the older owner
  // cannot learn of, because it has not reached the platform for cell_timing::m_minority_removal_timeout, or
  // has reached it again at most 2 s ago.
  bool m_allow_unknown_newcomer = false;
  std::size_t m_two_owner_observations = 0; // number of checks at which two members could grant
  // Hooks for measurements; each may be empty. m_on_send is called for each message sent and drops it by
  // returning false. m_on_platform_call is called for each platform call. m_on_member_call is called instead
  // of each call of a member and must make the call itself.
  std::function<bool(std::size_t source, std::size_t target, cell_message&)> m_on_send;
  std::function<void(std::size_t source)> m_on_platform_call;
  std::function<void(std::size_t source, const std::function<void()>&)> m_on_member_call;
  bool m_check_invariants = true; // may be switched off to save time where several owners cannot occur
  std::vector<cell_action> m_recorded_actions; // all except sends, reads, writes and status changes

private:
  struct simulated_node {
    std::string m_name;
    std::uint64_t m_incarnation = 0;
    std::unique_ptr<cell_member> m_member;
    bool m_paused = false;
    std::vector<std::function<void()>> m_pending_inputs; // inputs that arrived while the process was paused
    time_point m_next_tick;
    std::uint64_t m_epoch = 0;
  };
  // A period without a connection. m_end is empty while the period lasts.
  struct interruption {
    std::optional<time_point> m_begin;
    std::optional<time_point> m_end;
    void update(bool interrupted, time_point now);
    // Returns whether the period has lasted at least `length` and did not end more than 2 s ago.
    bool covers(time_point now, duration length) const;
  };
  struct scheduled_event {
    time_point m_time;
    std::uint64_t m_sequence = 0;
    std::function<void()> m_run;
    bool operator<(const scheduled_event& other) const {
      return std::tie(m_time, m_sequence) > std::tie(other.m_time, other.m_sequence);
    }
  };

  bool random_bool(double probability);
  duration random_duration(duration limit);
  void schedule(time_point time, std::function<void()> run);
  // Passes an input to a member now, or when it resumes if it is paused. The input is dropped if this
  // incarnation no longer runs.
  void deliver(std::size_t target, std::uint64_t incarnation,
               std::function<std::vector<cell_action>(cell_member&)> input);
  void call_member(std::size_t source, const std::function<std::vector<cell_action>(cell_member&)>& input);
  void execute(std::size_t source, std::vector<cell_action> actions);
  void send(std::size_t source, const send_action& action);
  void read(std::size_t source, const read_action& action);
  void write(std::size_t source, const write_action& action);
  store_result<object_version> put(const write_action& action);
  bool reaches_platform(std::size_t source) const;
  static std::size_t index_of(std::string_view name);
  bool is_link_cut(std::size_t source, std::size_t target) const;
  void record_interruptions();
  bool is_documented_exception(std::size_t older, std::size_t newer) const;
  void check_single_owner();
  void record_violation(const std::string& what);

  std::vector<simulated_node> m_nodes;
  std::mt19937_64 m_random;
  simulation_faults m_faults;
  cell_timing m_timing;
  memory_object_store m_store;
  std::priority_queue<scheduled_event> m_queue;
  std::uint64_t m_sequence = 0;
  time_point m_now{seconds(1000)};
  std::uint64_t m_partition = 0;
  std::uint64_t m_platform_cut_members = 0;
  std::vector<std::uint64_t> m_cut_links; // for each source, the targets that its messages do not reach
  // Periods in which both directions of a link are interrupted.
  std::vector<std::vector<interruption>> m_link_interruptions;
  std::vector<interruption> m_platform_interruptions;
  bool m_outage = false;
  std::uint64_t m_stored_epoch = 0;
  std::string m_violation;
};

} // namespace cardamompond::cell
