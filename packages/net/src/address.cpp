#include "cardamompond/net/address.hpp"

#include <boost/asio/ip/address.hpp>

#include <charconv>
#include <string>

namespace cardamompond::net {

std::optional<boost::asio::ip::tcp::endpoint> parse_address(std::string_view address) {
  const auto colon = address.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  std::string_view host = address.substr(0, colon);
  const std::string_view port_text = address.substr(colon + 1);
  if (host.size() >= 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  std::uint16_t port = 0;
  const auto [end, error] = std::from_chars(port_text.data(), port_text.data() + port_text.size(), port);
  if (error != std::errc{} || end != port_text.data() + port_text.size()) {
    return std::nullopt;
  }
  boost::system::error_code failure;
  const auto ip = boost::asio::ip::make_address(std::string(host), failure);
  if (failure) {
    return std::nullopt;
  }
  return boost::asio::ip::tcp::endpoint(ip, port);
}

} // namespace cardamompond::net
