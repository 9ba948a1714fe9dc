#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cardamompond::net {

struct http_header {
  std::string m_name;
  std::string m_value;
};

using http_headers = std::vector<http_header>;

// Returns the value of the first header with that name, ignoring case.
std::optional<std::string_view> find_header(const http_headers& headers, std::string_view name);

// Returns a copy without the hop-by-hop headers, which concern a single connection: framing, connection
// management, and the headers that a Connection header lists.
http_headers without_hop_by_hop_headers(const http_headers& headers);

struct http_request {
  std::string m_method;
  std::string m_target; // path and query as received
  http_headers m_headers;
  std::string m_body;

  // Returns the target without its query.
  std::string_view path() const;

  // Returns the decoded value of a query parameter, or nullopt if the target has no such parameter.
  std::optional<std::string> query(std::string_view name) const;
};

struct http_response {
  int m_status = 200;
  http_headers m_headers;
  std::string m_body;
};

} // namespace cardamompond::net
