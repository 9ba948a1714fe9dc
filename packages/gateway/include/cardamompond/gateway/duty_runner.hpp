#pragma once

#include "cardamompond/fleet/duty_claim.hpp"
#include "cardamompond/gateway/duty_api.hpp"
#include "cardamompond/gateway/duty_peers.hpp"
#include "cardamompond/gateway/duty_store.hpp"
#include "cardamompond/gateway/peer_group.hpp"
#include "cardamompond/gateway/store_era.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cardamompond::gateway {

class duty_runner;

// What the holder of a duty does. Called several times a second on the fiber of the duty while this daemon
// holds it; may block.
class duty_task {
public:
  virtual ~duty_task() = default;
  virtual void perform(duty_runner& runner) = 0;
};

// Claims one duty for this daemon when its turn comes, carries the duty's task out while it holds it, and
// hands it over at shutdown.
class duty_runner {
public:
  struct dependencies {
    duty_store* m_store = nullptr;
    peer_group* m_group = nullptr;
    duty_peers* m_peers = nullptr;
    duty_task* m_task = nullptr;
    // The era of the store as this daemon knows it; null: the store states none.
    std::shared_ptr<const store_era> m_store_era{};
  };

  duty_runner(fleet::duty which, fleet::claim_options options, double calls_per_s, dependencies with);

  // Starts the fibers of the duty.
  void start();

  // Gives the duty up and claims it no more. Does not block; handed_over() tells when it is done.
  void hand_over();
  bool handed_over() const { return m_stopped; }

  const fleet::duty_claim& claim() const { return m_claim; }
  fleet::duty which() const { return m_duty; }

  // Whether the task may make a call now: this daemon surely holds the duty, and neither the rate limit nor
  // the pause after a failure forbids it. Renews the lease if that is necessary, which may block.
  bool may_call();

  // Records the result of a call. Gives the duty up if the API has been out of reach for a while.
  void record_call(const duty_call_result& result);

  // Writes recorded windows to the duty's object. Returns whether they are certainly written.
  bool record_windows(std::vector<fleet::recorded_window> windows, std::int64_t last_window);

  // Takes a new token, so that an earlier call without an answer can no longer take effect. Returns whether
  // it is certainly written.
  bool take_new_token();

  // Calls by outcome, for metrics.
  const std::map<duty_call_outcome, std::uint64_t>& call_counts() const { return m_call_counts; }
  std::uint64_t store_writes() const { return m_store_writes; }

private:
  void run();
  void run_clock();
  void step();
  fleet::claim_surroundings surroundings() const;
  void read();
  bool write(const fleet::claim_write& write);
  void release(bool api_unreachable);
  void log_era(std::uint64_t era_before, std::uint64_t found_token);
  void log_change(bool held_before, std::uint64_t token_before, std::string_view reason);

  fleet::duty m_duty;
  fleet::claim_options m_options;
  dependencies m_with;
  fleet::duty_claim m_claim;
  duration m_call_interval;
  time_point m_next_call;                        // of boot_now()
  std::optional<time_point> m_unreachable_since; // the API, of boot_now()
  std::map<duty_call_outcome, std::uint64_t> m_call_counts;
  std::uint64_t m_store_writes = 0;
  bool m_stopping = false;
  bool m_stopped = false;
};

} // namespace cardamompond::gateway
