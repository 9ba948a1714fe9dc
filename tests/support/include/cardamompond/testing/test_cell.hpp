#pragma once

#include "cardamompond/testing/caller.hpp"
#include "cardamompond/testing/checks.hpp"
#include "cardamompond/testing/child_process.hpp"
#include "cardamompond/testing/environment.hpp"

#include <boost/json/object.hpp>

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cardamompond::testing {

// A stand-in that runs as a process.
class standin_process {
public:
  standin_process(const std::string& program, const std::vector<std::string>& settings,
                  const std::string& output);

  const std::string& address() const { return m_address; }
  child_process& process() { return m_process; }

  // Changes parameters and faults.
  void set_parameters(const boost::json::object& values);
  boost::json::array fetch_history();
  boost::json::value fetch_json(const std::string& target);

private:
  child_process m_process;
  std::string m_address;
};

struct backend_options {
  std::string m_zone = "z1";
  std::string m_service = "chat"; // "chat" is a model, "orders" a plain service
  std::string m_version = "v1";   // each service has versions of these names
  int m_slots = 4;
  int m_cold_limit = 0;                  // 0: starts warm
  std::vector<std::string> m_settings{}; // further parameters, "NAME=VALUE"
};

struct backend_process {
  std::string m_name;
  backend_options m_options;
  std::string m_state = "serving";
  std::string m_declared_address; // another one for backend servers behind a relay
  std::unique_ptr<standin_process> m_process;
};

struct daemon_process {
  std::string m_name;
  std::string m_zone;
  std::string m_callers_address;
  std::string m_admin_address;
  std::string m_settings_path;
  std::unique_ptr<child_process> m_process;
};

// One cell of real processes: the object API, backend servers and daemons, with the declarations that
// describe them. Accounts "interactive", "standard" and "batch" hold the tiers of these names, highest first,
// and the key "key-ACCOUNT".
class test_cell {
public:
  test_cell();

  // Prints how daemons ended that were not killed.
  ~test_cell();
  test_cell(const test_cell&) = delete;
  test_cell& operator=(const test_cell&) = delete;

  standin_process& object_api() { return *m_object_api; }

  // Starts a backend server and adds it to the declarations.
  backend_process& add_backend(const std::string& name, const backend_options& options = {});

  // Writes the declarations and publishes them; returns how cardamompondctl ended.
  finished_process try_publish();

  // Publishes; fails the test if that fails.
  void publish();

  // Starts a daemon. `platform` overrides the address of the object API.
  daemon_process& add_daemon(const std::string& name, const std::string& zone = "z1",
                             const std::string& platform = {});

  // Publishes, starts daemons d1 to dN in the zones in turn and waits until they are ready.
  void start(int daemons);

  // Starts a daemon that has ended again, as the same name.
  void restart(daemon_process& daemon);

  // Waits until all running daemons are ready.
  void wait_until_ready(milliseconds timeout = milliseconds(20'000));
  bool is_ready(const daemon_process& daemon);

  // Daemons that are ready, as a balancer sees them; looked at every 100 ms.
  std::vector<std::string> ready_addresses();

  // The state that the daemon shows at its administration address.
  boost::json::value fetch_debug_state(const daemon_process& daemon);

  // The index of the daemon that owns the cell, as the object API shows it.
  std::size_t fetch_owner_index();

  // The epoch of the cell, as the object API shows it.
  std::int64_t fetch_epoch();

  // The move of a service as status/main shows it; null while there is none.
  boost::json::value fetch_rollout_status(std::string_view service);

  // Histories of all backend servers.
  histories fetch_backend_histories();

  // Runs cardamompondctl with a folder of declarations.
  finished_process run_ctl(const std::vector<std::string>& arguments);

  // The text of the declarations as they stand.
  std::string declarations() const;

  temporary_folder& folder() { return m_folder; }

  std::map<std::string, std::string> m_zones = {{"z1", "in"}, {"z2", "in"}}; // state by name
  int m_queue_limit = 1000;
  // Declarations of rollouts by service, e.g. "to = \"chat-v2\"..."
  std::map<std::string, std::string> m_rollouts;
  std::map<std::string, int> m_version_attempts = {{"v1", 1}}; // versions with their attempt
  std::string m_host_list_address;                             // address for the daemons started from now on
  std::deque<backend_process> m_backends;
  std::deque<daemon_process> m_daemons;
  caller m_caller;

private:
  temporary_folder m_folder;
  net::http_client m_client;
  std::unique_ptr<standin_process> m_object_api;
  std::vector<std::string> m_ready;
  time_point m_ready_at{};
  int m_outputs = 0;
};

} // namespace cardamompond::testing
