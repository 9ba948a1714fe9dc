#include "cardamompond/standins/standin.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/fiber/operations.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <tclap/CmdLine.h>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <tuple>

namespace cardamompond::standins {

void respond_json(net::http_exchange& exchange, int status, const boost::json::value& body,
                  net::http_headers headers) {
  headers.push_back({"Content-Type", "application/json"});
  repeat_request_id(exchange, headers);
  std::ignore = exchange.respond({status, std::move(headers), boost::json::serialize(body)});
}

void repeat_request_id(const net::http_exchange& exchange, net::http_headers& headers) {
  constexpr std::string_view name = "Cardamompond-Request-Id";
  if (const auto id = net::find_header(exchange.request().m_headers, name)) {
    headers.push_back({std::string(name), std::string(*id)});
  }
}

std::string header_or_empty(const net::http_request& request, std::string_view name) {
  return std::string(net::find_header(request.m_headers, name).value_or(std::string_view()));
}

standin_server::standin_server(net::fiber_runtime& runtime, std::string address, standin& served_standin)
    : m_runtime(runtime)
    , m_address(std::move(address))
    , m_standin(served_standin) {
  listen();
  m_address = m_address.substr(0, m_address.rfind(':') + 1) + std::to_string(m_server->port());
  m_standin.set_drop_connections([this](milliseconds downtime) { drop_connections(downtime); });
}

void standin_server::listen() {
  m_server = std::make_unique<net::http_server>(m_runtime, net::http_server_options{.m_address = m_address},
                                                [this](net::http_exchange& exchange) { handle(exchange); });
}

void standin_server::drop_connections(milliseconds downtime) {
  if (!m_server) {
    return; // the connections have been closed and the server is not listening yet
  }
  m_server.reset();
  net::fiber_runtime::spawn([this, downtime] {
    boost::this_fiber::sleep_for(downtime);
    while (!m_server) {
      try {
        listen();
      } catch (const std::runtime_error&) {
        // Another process may briefly use the port as the source port of an outgoing connection.
        boost::this_fiber::sleep_for(milliseconds(50));
      }
    }
  });
}

void standin_server::handle(net::http_exchange& exchange) {
  const std::string_view path = exchange.request().path();
  if (path == "/admin/history") {
    respond_json(exchange, 200, m_standin.request_history().to_json());
  } else if (path == "/admin/faults") {
    handle_faults(exchange);
  } else {
    m_standin.handle(exchange);
  }
}

void standin_server::handle_faults(net::http_exchange& exchange) {
  if (exchange.request().m_method == "GET") {
    respond_json(exchange, 200, m_standin.parameters().values());
    return;
  }
  boost::system::error_code error;
  const auto body = boost::json::parse(exchange.request().m_body, error);
  if (error || !body.is_object()) {
    respond_json(exchange, 400, {{"error", "expected a JSON object"}});
    return;
  }
  if (const auto applied = m_standin.parameters().apply(body.as_object()); !applied) {
    respond_json(exchange, 400, {{"error", applied.error()}});
    return;
  }
  // The response is sent before the change, because a restart closes this connection as well.
  respond_json(exchange, 200, m_standin.parameters().values());
  m_standin.on_parameters_changed(body.as_object());
}

int run_standin(int argc, char** argv, const std::string& description, const standin_factory& create) {
  try {
    TCLAP::CmdLine command_line(description, ' ', "1");
    TCLAP::ValueArg<std::string> listen_address("l", "listen",
                                                "Address to listen on; port 0 picks a free port", false,
                                                "127.0.0.1:0", "ADDRESS", command_line);
    TCLAP::ValueArg<std::uint64_t> seed("s", "seed", "Seed of the random numbers that decide on faults",
                                        false, 1, "N", command_line);
    TCLAP::MultiArg<std::string> assignments("p", "set", "Sets a parameter, for example a fault", false,
                                             "NAME=VALUE", command_line);
    command_line.parse(argc, argv);

    net::fiber_runtime runtime;
    const auto instance = create(seed.getValue());
    for (const auto& assignment : assignments.getValue()) {
      if (const auto applied = instance->parameters().apply(assignment); !applied) {
        std::cerr << "error: " << applied.error() << '\n';
        return 2;
      }
    }
    instance->on_parameters_changed(instance->parameters().values());
    const standin_server server(runtime, listen_address.getValue(), *instance);
    std::cout << "listening " << server.address() << std::endl;

    boost::asio::signal_set signals(runtime.context(), SIGTERM, SIGINT);
    signals.async_wait([](const boost::system::error_code&, int) {
      // A stand-in has no work that must be completed, so it closes open connections immediately.
      std::_Exit(0);
    });
    while (true) {
      boost::this_fiber::sleep_for(std::chrono::hours(1));
    }
  } catch (const std::exception& error) {
    std::cerr << "error: " << error.what() << '\n';
    return 2;
  }
}

} // namespace cardamompond::standins
