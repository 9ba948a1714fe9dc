#include "cardamompond/daemon/entry_handler.hpp"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>

namespace cardamompond::daemon {

net::http_response make_error_response(const request_error& error, std::string_view request_id) {
  net::http_response answer;
  answer.m_status = http_status(error.m_code);
  answer.m_headers = {{"Content-Type", "application/json"},
                      {"Cardamompond-Verdict", std::string(to_string(error.m_verdict))}};
  if (!request_id.empty()) {
    answer.m_headers.push_back({"Cardamompond-Request-Id", std::string(request_id)});
  }
  if (answer.m_status == 429 || answer.m_status == 503) {
    answer.m_headers.push_back({"Retry-After", std::to_string(std::max(1, error.m_retry_after_s))});
  }
  if (answer.m_status == 401) {
    answer.m_headers.push_back({"WWW-Authenticate", "Bearer"});
  }
  const boost::json::object body = {
      {"error",
       {{"code", to_string(error.m_code)}, {"message", error.m_message}, {"request_id", request_id}}}};
  answer.m_body = boost::json::serialize(body) + "\n";
  return answer;
}

} // namespace cardamompond::daemon
