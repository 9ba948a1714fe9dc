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

// A stand-in that runs as a process of its own.
class standin_process {
public:
  // Starts the program and waits until it listens. Each setting is "NAME=VALUE"; `output_path` is the file
  // for the output of the process.
  standin_process(const std::string& program, const std::vector<std::string>& settings,
                  const std::string& output_path);

  const std::string& address() const { return m_address; }
  child_process& process() { return m_process; }

  // Changes the given parameters and faults; the others keep their values.
  void set_parameters(const boost::json::object& values);

  // Returns the requests that the stand-in has received, see standins::history_entry.
  boost::json::array fetch_history();

  // Returns the JSON body of the response to GET on that path. Waits up to 5 s until the stand-in accepts
  // connections, and throws if the status is not 200.
  boost::json::value fetch_json(const std::string& target);

private:
  child_process m_process;
  std::string m_address;
};

struct backend_options {
  std::string m_zone = "z1";
  std::string m_service = "chat"; // "chat", a service of kind model, or "orders", one of kind plain
  std::string m_version = "v1";   // must be a key of test_cell::m_version_attempts
  int m_slots = 4;
  int m_cold_limit = 0;                  // 0: the backend server starts warm
  std::vector<std::string> m_settings{}; // further parameters of the stand-in, "NAME=VALUE"
};

struct backend_process {
  std::string m_name;
  backend_options m_options;
  std::string m_state = "serving"; // as declared
  std::string m_declared_address;  // that of the process, unless a test puts a relay in front of it
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

// A cell of real processes: the stand-in of the object API, backend servers and daemons, and the declarations
// that describe them. There are three tiers, "interactive", "standard" and "batch", from highest to lowest,
// and for each a client account of the same name with the API key "key-NAME".
class test_cell {
public:
  test_cell();

  // Prints the output of daemons that ended with an error, unless they were killed by SIGKILL.
  ~test_cell();
  test_cell(const test_cell&) = delete;
  test_cell& operator=(const test_cell&) = delete;

  standin_process& object_api() { return *m_object_api; }

  // Starts a backend server and adds it to the declarations, which still have to be published.
  backend_process& add_backend(const std::string& name, const backend_options& options = {});

  // Writes the declarations and publishes them. Returns the exit code and the output of cardamompondctl.
  finished_process try_publish();

  // Publishes the declarations, and fails the test if cardamompondctl reports an error.
  void publish();

  // Starts a daemon. If `platform_address` is not empty, it is used as the address of the object API.
  daemon_process& add_daemon(const std::string& name, const std::string& zone = "z1",
                             const std::string& platform_address = {});

  // Publishes the declarations, starts the daemons d1 to dN, which are distributed evenly over the zones, and
  // waits until they are ready.
  void start(int daemon_count);

  // Starts the daemon's process with its settings, again if it has ended.
  void restart(daemon_process& daemon);

  // Waits until each daemon is ready or has ended. Fails the test after the timeout.
  void wait_until_ready(milliseconds timeout = milliseconds(20'000));

  // Returns whether the daemon responds with 200 to /readyz within 500 ms.
  bool is_ready(const daemon_process& daemon);

  // Returns the addresses for callers of the daemons that are ready. Like a load balancer, it checks the
  // daemons periodically, every 100 ms, and returns the last result in between.
  std::vector<std::string> ready_addresses();

  // Returns the JSON of /debug/state at the daemon's administration address.
  boost::json::value fetch_debug_state(const daemon_process& daemon);

  // Returns the index in m_daemons of the owner of the cell according to the object API. Throws if none of
  // them is the owner.
  std::size_t fetch_owner_index();

  // Returns the epoch of the cell according to the object API.
  std::int64_t fetch_epoch();

  // Returns the status of a service's rollout from the object status/main, or null if there is none.
  boost::json::value fetch_rollout_status(std::string_view service);

  // Returns the histories of all backend servers, in the order of m_backends.
  histories fetch_backend_histories();

  // Runs cardamompondctl with these arguments, --platform and --owner.
  finished_process run_ctl(const std::vector<std::string>& arguments);

  // Returns the present declarations as TOML.
  std::string format_declarations() const;

  temporary_folder& folder() { return m_folder; }

  std::map<std::string, std::string> m_zones = {{"z1", "in"}, {"z2", "in"}}; // declared state by name
  int m_queue_limit = 1000;
  std::map<std::string, std::string> m_rollouts; // TOML of the declared rollout, e.g. "to = ...", by service
  std::map<std::string, int> m_version_attempts = {{"v1", 1}}; // declared attempt by version
  std::string m_host_list_address; // setting of daemons that are added later; empty: no host list
  std::string m_limits; // further lines of [limits] in the settings of daemons that are added later
  std::deque<backend_process> m_backends;
  std::deque<daemon_process> m_daemons;
  caller m_caller;

private:
  temporary_folder m_folder;
  net::http_client m_client;
  std::unique_ptr<standin_process> m_object_api;
  std::vector<std::string> m_ready_addresses;
  time_point m_ready_checked_at{};
  int m_output_count = 0;
};

} // namespace cardamompond::testing
