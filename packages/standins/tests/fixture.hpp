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
template <typename Standin> Standin& make_persistent_standin() {
  static std::vector<std::unique_ptr<Standin>> instances;
  return *instances.emplace_back(std::make_unique<Standin>(7));
}

// Serves a stand-in on a free port in the test process, and sends requests to it.
template <typename Standin> struct standin_fixture {
  standin_server m_server{test_runtime(), "127.0.0.1:0", make_persistent_standin<Standin>()};
  net::http_client m_client{test_runtime()};

  net::call_result<net::http_response> call(std::string_view method, std::string_view target,
                                            std::string_view body = {},
                                            const net::http_headers& headers = {}) {
    return m_client.fetch(m_server.address(),
                          {std::string(method), std::string(target), headers, std::string(body)},
                          milliseconds(5000));
  }
  // Returns the status of the response, or 0 if the connection broke.
  int call_status(std::string_view method, std::string_view target, std::string_view body = {},
                  const net::http_headers& headers = {}) {
    const auto response = call(method, target, body, headers);
    return response ? response->m_status : 0;
  }
  void set_parameters(const boost::json::object& values) {
    LONGS_EQUAL(200, call_status("POST", "/admin/faults", boost::json::serialize(values)));
  }
  boost::json::array fetch_history() {
    return boost::json::parse(call("GET", "/admin/history")->m_body).as_array();
  }
};

} // namespace cardamompond::standins
