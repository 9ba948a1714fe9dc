#include "cardamompond/net/http_message.hpp"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/url/parse.hpp>
#include <boost/url/url_view.hpp>

#include <algorithm>
#include <array>

namespace cardamompond::net {

std::optional<std::string_view> find_header(const http_headers& headers, std::string_view name) {
  for (const auto& header : headers) {
    if (boost::beast::iequals(header.m_name, name)) {
      return header.m_value;
    }
  }
  return std::nullopt;
}

http_headers without_hop_by_hop_headers(const http_headers& headers) {
  constexpr std::array<std::string_view, 11> hop_by_hop = {"Connection",
                                                           "Keep-Alive",
                                                           "Proxy-Connection",
                                                           "Proxy-Authorization",
                                                           "Proxy-Authenticate",
                                                           "TE",
                                                           "Trailer",
                                                           "Transfer-Encoding",
                                                           "Upgrade",
                                                           "Expect",
                                                           "Content-Length"};
  const std::string_view connection_tokens = find_header(headers, "Connection").value_or("");
  http_headers kept;
  for (const auto& header : headers) {
    const bool drop =
        std::any_of(hop_by_hop.begin(), hop_by_hop.end(),
                    [&](std::string_view name) { return boost::beast::iequals(name, header.m_name); }) ||
        boost::beast::http::token_list(connection_tokens).exists(header.m_name);
    if (!drop) {
      kept.push_back(header);
    }
  }
  return kept;
}

std::string_view http_request::path() const {
  const std::string_view target = m_target;
  return target.substr(0, target.find('?'));
}

std::optional<std::string> http_request::query(std::string_view name) const {
  const auto parsed = boost::urls::parse_origin_form(m_target);
  if (!parsed) {
    return std::nullopt;
  }
  for (const auto& parameter : parsed->params()) {
    if (std::string_view(parameter.key) == name) {
      return std::string(parameter.value);
    }
  }
  return std::nullopt;
}

} // namespace cardamompond::net
