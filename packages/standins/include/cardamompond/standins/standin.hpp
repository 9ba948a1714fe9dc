#pragma once

#include "cardamompond/net/http_server.hpp"
#include "cardamompond/standins/history.hpp"
#include "cardamompond/standins/parameter_table.hpp"
#include "cardamompond/standins/random.hpp"

#include <boost/json/object.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace cardamompond::standins {

// Base class of the stand-ins. A stand-in emulates an external system for tests: it responds to HTTP requests
// and keeps a history of them.
class standin {
public:
  explicit standin(std::uint64_t seed)
      : m_random(seed) {}
  virtual ~standin() = default;
  standin(const standin&) = delete;
  standin& operator=(const standin&) = delete;

  // Responds to a request. The requests of the administration interface are handled by standin_server.
  virtual void handle(net::http_exchange& exchange) = 0;

  // Called after parameters have been set; `values` holds those that were given.
  virtual void on_parameters_changed(const boost::json::object& /*values*/) {}

  parameter_table& parameters() { return m_parameters; }
  const history& request_history() const { return m_history; }

  // Sets the function that closes all connections and listens again after the given time.
  void set_drop_connections(std::function<void(milliseconds)> drop_connections) {
    m_drop_connections = std::move(drop_connections);
  }

protected:
  parameter_table m_parameters;
  history m_history;
  random_source m_random;
  std::function<void(milliseconds)> m_drop_connections;
};

// Serves a stand-in on one address, together with its administration interface: GET and POST /admin/faults
// read and set the parameters, and GET /admin/history returns the history.
class standin_server {
public:
  // Binds to the address and listens; throws std::runtime_error with the address if that fails.
  standin_server(net::fiber_runtime& runtime, std::string address, standin& served_standin);

  // Returns "127.0.0.1:PORT" with the port that the server listens on.
  const std::string& address() const { return m_address; }

private:
  void listen();
  void drop_connections(milliseconds downtime);
  void handle(net::http_exchange& exchange);
  void handle_faults(net::http_exchange& exchange);

  net::fiber_runtime& m_runtime;
  std::string m_address;
  standin& m_standin;
  std::unique_ptr<net::http_server> m_server;
};

// Sends a response with a JSON body. `headers` are sent in addition to Content-Type.
void respond_json(net::http_exchange& exchange, int status, const boost::json::value& body,
                  net::http_headers headers = {});

// Adds the id of the request, if it states one, so that the client can tell which request is answered.
void repeat_request_id(const net::http_exchange& exchange, net::http_headers& headers);

// Returns the value of a request header, or an empty string if the header is missing.
std::string header_or_empty(const net::http_request& request, std::string_view name);

using standin_factory = std::function<std::unique_ptr<standin>(std::uint64_t seed)>;

// Implements main() of a stand-in, which runs until SIGTERM or SIGINT. The arguments are --listen ADDRESS,
// --seed N and any number of --set NAME=VALUE. Prints "listening ADDRESS" as the first line of its output.
// Returns the exit code.
int run_standin(int argc, char** argv, const std::string& description, const standin_factory& create);

} // namespace cardamompond::standins
