#pragma once

#include "cardamompond/daemon/cell_permit_client.hpp"
#include "cardamompond/daemon/configuration_source.hpp"
#include "cardamompond/net/http_client.hpp"

#include <map>
#include <set>
#include <string>

namespace cardamompond::daemon {

struct backend_poller_options {
  std::string m_cell;
  std::string m_host_list_address; // empty: no host list is polled
  milliseconds m_poll_interval{2000};
  milliseconds m_call_timeout{1000}; // for each HTTP call
};

// While this daemon makes scheduling decisions, polls the backend servers of the cell for their load and
// cache events, and the platform for its host list. The values are passed to the scheduler unchecked; the
// scheduler validates them.
class backend_poller {
public:
  backend_poller(net::fiber_runtime& runtime, configuration_source& configuration,
                 cell_permit_client& permits, backend_poller_options options);

  // Polls in an endless loop. Call it on a separate fiber.
  void run();

private:
  void poll_all(const declarations::snapshot& snapshot);
  void poll_server(const declarations::backend_server& server, bool has_cache);
  void poll_load(const declarations::backend_server& server);
  void poll_cache(const declarations::backend_server& server);
  void poll_host_list();

  configuration_source& m_configuration;
  cell_permit_client& m_permits;
  backend_poller_options m_options;
  net::http_client m_client;
  std::set<std::string, std::less<>> m_polls_in_progress; // names of servers

  // Sequence number of the last cache event, by server.
  std::map<std::string, std::uint64_t, std::less<>> m_last_cache_sequences;
};

} // namespace cardamompond::daemon
