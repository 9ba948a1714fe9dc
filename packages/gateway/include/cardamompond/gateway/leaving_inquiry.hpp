#pragma once

#include "cardamompond/gateway/admission_controller.hpp"
#include "cardamompond/gateway/request_protocol.hpp"
#include "cardamompond/net/http_client.hpp"

#include <map>
#include <string>

namespace cardamompond::gateway {

// Asks servers whether they leave, where the dispatcher does not know which of two processes stated it. Any
// answer of a server tells, so that the call needs no room on it. A server that does not answer is asked
// again, ever more rarely.
class leaving_inquiry {
public:
  // All arguments must outlive the inquiry. `client` opens its connections as for requests.
  leaving_inquiry(net::http_client& client, const request_protocol& protocol, admission_controller& admission)
      : m_client(client)
      , m_protocol(protocol)
      , m_admission(admission) {}

  // Asks until the daemon ends. Blocks its fiber.
  void run();

private:
  struct attempt {
    time_point m_next_at;
    milliseconds m_repetition; // from the next attempt to the one after it
  };

  void ask(const fleet::backend_server& server);

  net::http_client& m_client;
  const request_protocol& m_protocol;
  admission_controller& m_admission;
  std::map<std::string, attempt> m_asked; // by id, of the servers that have not answered
};

} // namespace cardamompond::gateway
