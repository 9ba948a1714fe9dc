#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <string_view>

namespace cardamompond::net {

// Parses "127.0.0.1:8080" or "[::1]:8080". Host names are not resolved, because the processes address each
// other by IP address.
std::optional<boost::asio::ip::tcp::endpoint> parse_address(std::string_view address);

} // namespace cardamompond::net
