#pragma once

#include "cardamompond/net/http_server.hpp"

#include <cstddef>
#include <cstdint>
#include <string>

namespace cardamompond::daemon {

// Limits of a process that follow from its machine. 0 means that there is none.
struct process_limits {
  std::size_t m_input_bytes = 0;           // for connections of callers and their requests
  std::uint32_t m_caller_connections = 0;  // open at a time
  std::uint32_t m_service_connections = 0; // of each of the addresses that callers do not use
  std::size_t m_idle_backend_connections = 0;
  std::uint32_t m_tunnels = 256; // connections of peers to servers that are passed on; never 0
};

// `memory_bytes` and `max_descriptors` are 0 if they are not stated.
process_limits make_process_limits(std::uint64_t memory_bytes, std::uint32_t max_descriptors);

// Returns the options of a server on an address that callers do not use. Its limit on connections is
// `max_connections`, unless the descriptors of the process allow fewer.
net::http_server_options make_service_options(const std::string& address, const process_limits& limits,
                                              std::uint32_t max_connections);

// Returns that limit.
std::uint32_t connection_limit(const process_limits& limits, std::uint32_t max_connections);

// Makes the memory of large blocks return to the system as soon as they are freed. By default the allocator
// keeps more of it the larger the blocks were, so that the process stays near its peak. Does nothing if
// `limits` has no limit on memory.
void configure_allocator(const process_limits& limits);

} // namespace cardamompond::daemon
