#pragma once

#include "cardamompond/net/http_client.hpp"
#include "cardamompond/standins/standin.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <CppUTest/TestHarness.h>

#include <memory>
#include <vector>

namespace cardamompond::standins {

inline net::fiber_runtime& test_runtime() {
  static net::fiber_runtime runtime;
  return runtime;
}

// Creates a stand-in that lives until the process ends, because its fibers may still run after the test.
template <typename System> System& keep_system() {
  static std::vector<std::unique_ptr<System>> systems;
  return *systems.emplace_back(std::make_unique<System>(7));
}

// Serves a stand-in on a free port in the test process, and sends requests to it.
template <typename System> struct served {
  standin_server m_server{test_runtime(), "127.0.0.1:0", keep_system<System>()};
  net::http_client m_client{test_runtime()};

  net::call_result<net::http_response> call(std::string_view method, std::string_view target,
                                            std::string_view body = {},
                                            const net::http_headers& headers = {}) {
    return m_client.fetch(m_server.address(),
                          {std::string(method), std::string(target), headers, std::string(body)},
                          milliseconds(5000));
  }
  // Returns the status of the response, or 0 if the connection broke.
  int status(std::string_view method, std::string_view target, std::string_view body = {},
             const net::http_headers& headers = {}) {
    const auto answer = call(method, target, body, headers);
    return answer ? answer->m_status : 0;
  }
  void set(const boost::json::object& values) {
    LONGS_EQUAL(200, status("POST", "/admin/faults", boost::json::serialize(values)));
  }
  boost::json::array history() {
    return boost::json::parse(call("GET", "/admin/history")->m_body).as_array();
  }
};

} // namespace cardamompond::standins
