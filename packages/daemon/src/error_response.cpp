#include "cardamompond/daemon/entry_handler.hpp"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>

namespace cardamompond::daemon {

net::http_response make_error_response(const request_error& error, std::string_view request_id) {
  net::http_response response;
  response.m_status = http_status(error.m_code);
  response.m_headers = {{"Content-Type", "application/json"},
                        {"Cardamompond-Verdict", std::string(to_string(error.m_verdict))}};
  if (!request_id.empty()) {
    response.m_headers.push_back({"Cardamompond-Request-Id", std::string(request_id)});
  }
  if (response.m_status == 429 || response.m_status == 503) {
    response.m_headers.push_back({"Retry-After", std::to_string(std::max(1, error.m_retry_after_s))});
  }
  if (response.m_status == 401) {
    response.m_headers.push_back({"WWW-Authenticate", "Bearer"});
  }
  const boost::json::object body = {
      {"error",
       {{"code", to_string(error.m_code)}, {"message", error.m_message}, {"request_id", request_id}}}};
  response.m_body = boost::json::serialize(body) + "\n";
  return response;
}

} // namespace cardamompond::daemon
