#pragma once

#include "cardamompond/net/http_client.hpp"
#include "cardamompond/platform/standins/backend_engine.hpp"
#include "cardamompond/platform/standins/duty_api_server.hpp"
#include "cardamompond/platform/standins/metadata_store.hpp"
#include "cardamompond/testing/child_process.hpp"
#include "cardamompond/testing/environment.hpp"
#include "cardamompond/testing/tcp_relay.hpp"

#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace cardamompond::testing {

// A daemon of an entry host. It is a process of its own, listens on a loopback address of its own, and
// reaches the store through a relay.
struct soak_daemon {
  std::string m_name;
  std::string m_host;
  std::unique_ptr<tcp_relay> m_store_relay;
  std::unique_ptr<child_process> m_process;
  std::string m_settings_path;
  int m_start_count = 0;
  std::map<int, time_point> m_terminated_at; // times of the first SIGTERM, by start count
};

// An engine that the daemons reach through a relay.
struct soak_engine {
  std::unique_ptr<platform::standins::backend_engine> m_engine;
  std::unique_ptr<tcp_relay> m_relay;
  bool m_partitioned = false;
  bool m_refusing = false;
};

// Drain time of the daemons.
inline constexpr milliseconds soak_drain_time{5'000};

// A small deployment: the daemons are real processes; the stand-ins of the store and of the engines run in
// the process of the test.
class soak_group {
public:
  // `duty_settings` is appended to the settings of each daemon; "@API" in it stands for the address of the
  // API for duties. `group_settings` is added to their table [group].
  soak_group(int daemon_count, int engine_count, std::uint64_t seed, const std::string& duty_settings = {},
             const std::string& group_settings = {});
  ~soak_group();

  // Starts the daemon's process; if it is still running, it is killed first.
  void start(soak_daemon& daemon);

  // Sends SIGTERM to the daemon's process.
  void terminate(soak_daemon& daemon);

  // Writes the next version of the configuration to the store. Each version moves the route /moved/ to
  // another host name.
  void publish();

  // Changes an object of another system in the store that many times, so that the revisions of later changes
  // are higher than those that the store has soon after it came back from its copy.
  void raise_revisions(std::uint64_t count);

  // Publishes bounds of the number of engines in each zone.
  void set_engine_bounds(int min, int max);

  std::string callers_address(const soak_daemon& daemon) const;
  bool is_ready(const soak_daemon& daemon);
  void wait_until_ready(); // all daemons

  // Starts another process of the engine, with the same id or a new one, and registers it. The old one is
  // gone without having been shown as draining.
  void restart_engine(soak_engine& engine, bool same_id);

  // Sets the faults of the connections to the engine.
  void set_relay_faults(soak_engine& engine, bool partitioned, bool refusing);

  // Records when a daemon (by its name) or the connections to an engine (by the address of its relay) were
  // disturbed.
  void begin_disturbance(const std::string& target);
  void end_disturbance(const std::string& target);

  // Whether the target was disturbed at any time between the two.
  bool was_disturbed(const std::string& target, time_point from, time_point until) const;

  // Registers the engine in the store, with the state draining if it is leaving and the state ready if not.
  void register_engine(const soak_engine& engine, bool leaving);

  // Makes the engine silent for half a second to 2.5 s; then it goes on. No disturbance is recorded, because
  // a sound engine may be silent for that long.
  void pause_engine(soak_engine& engine, std::mt19937_64& random);

  // Ends all faults of the relays, the engines and the store, starts new processes of all engines and
  // registers them as ready, and lets stopped daemons continue and starts those that have ended.
  void clear_faults();

  // Returns the number of late copies that the relays of the engines have sent.
  unsigned long long late_copies() const;

  std::vector<soak_daemon>& daemons() { return m_daemons; }
  std::vector<soak_engine>& engines() { return m_engines; }
  platform::standins::metadata_store& store() { return m_store; }
  platform::standins::duty_api_server& duty_api() { return m_duty_api; }
  platform::standins::run_counter& run_counter() { return m_run_counter; }
  net::http_client& client() { return m_client; }

  // Returns the host name of the route /moved/ in the newest version of the configuration.
  std::string moved_host() const { return "moved-" + std::to_string(m_version); }

private:
  std::string choose_program(const soak_daemon& daemon) const;

  temporary_folder m_folder;
  platform::standins::metadata_store m_store;
  platform::standins::duty_api_server m_duty_api;
  platform::standins::run_counter m_run_counter;
  net::http_client m_client;
  std::vector<soak_engine> m_engines;
  std::vector<soak_daemon> m_daemons;
  std::map<std::string, std::vector<std::pair<time_point, time_point>>> m_disturbances; // by target
  std::uint64_t m_version = 0;         // of the newest configuration
  boost::json::object m_engine_bounds; // empty: none
};

} // namespace cardamompond::testing
