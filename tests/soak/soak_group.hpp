#pragma once

#include "cardamompond/net/http_client.hpp"
#include "cardamompond/platform/standins/backend_engine.hpp"
#include "cardamompond/platform/standins/metadata_store.hpp"
#include "cardamompond/testing/child_process.hpp"
#include "cardamompond/testing/environment.hpp"
#include "cardamompond/testing/tcp_relay.hpp"

#include <memory>
#include <random>
#include <string>
#include <vector>

namespace cardamompond::testing {

// One entry daemon as a process of its own, on a loopback address of its own, that reaches the store through
// a relay.
struct soak_daemon {
  std::string m_name;
  std::string m_host;
  std::unique_ptr<tcp_relay> m_store_relay;
  std::unique_ptr<child_process> m_process;
  std::string m_settings;
  int m_starts = 0;
};

// An engine that the daemons reach through a relay.
struct soak_engine {
  std::unique_ptr<platform::standins::backend_engine> m_engine;
  std::unique_ptr<tcp_relay> m_relay;
};

// A small deployment: real daemons, and stand-ins of the store and of the engines in the process of the test.
class soak_group {
public:
  soak_group(int daemons, int engines, std::uint64_t seed);
  ~soak_group();

  // Starts a daemon, again if it has ended.
  void start(soak_daemon& daemon);

  // Declares version after version; each moves the route /moved/ from one host name to the other.
  void publish();

  std::string callers_address(const soak_daemon& daemon) const;
  bool ready(const soak_daemon& daemon);

  // Registers an engine in the store, as ready or leaving.
  void list_engine(const soak_engine& engine, bool leaving);

  // Ends all faults of relays, engines and the store.
  void calm();

  std::vector<soak_daemon>& daemons() { return m_daemons; }
  std::vector<soak_engine>& engines() { return m_engines; }
  platform::standins::metadata_store& store() { return m_store; }
  platform::standins::run_counter& run_counter() { return m_run_counter; }
  net::http_client& client() { return m_client; }

  // Host name of the moved route in the newest declarations.
  std::string moved_host() const { return m_version % 2 == 0 ? "even" : "odd"; }

private:
  temporary_folder m_folder;
  platform::standins::metadata_store m_store;
  platform::standins::run_counter m_run_counter;
  net::http_client m_client;
  std::vector<soak_engine> m_engines;
  std::vector<soak_daemon> m_daemons;
  std::uint64_t m_version = 0;
};

} // namespace cardamompond::testing
