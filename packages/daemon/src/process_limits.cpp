#include "cardamompond/daemon/process_limits.hpp"

#include <algorithm>

#include <malloc.h>

namespace cardamompond::daemon {
namespace {

// The rest of the memory is for the process without requests (up to 20 MB), responses of servers, the
// contents of the store, and what the allocator cannot reuse.
constexpr double input_share = 0.4;

// Less than this is treated as this: a daemon without requests takes up to 20 MB, and needs about 300
// descriptors beside those of its callers. The platform fills in the values, and a daemon that does not start
// helps nobody.
constexpr std::uint64_t min_memory_bytes = 32'000'000;
constexpr std::uint32_t min_descriptors = 400;

// Descriptors that are left for files.
constexpr std::uint32_t file_descriptors = 200;

// The addresses that callers do not use get up to this many descriptors together, but at most a quarter.
constexpr std::uint32_t max_service_descriptors = 224;
constexpr std::uint32_t service_addresses = 3;

// Requests to these addresses have no body, or a short one.
constexpr std::uint64_t max_service_body_bytes = 64U << 10U;

// Blocks from this size on are mapped one by one. Stacks of fibers, with 128 KiB, stay below it.
constexpr int mapped_block_bytes = 256 * 1024;

// Free memory at the end of the heap that the process keeps, so that it does not return and take it again
// with each request.
constexpr int kept_bytes = 2 * 1024 * 1024;

} // namespace

process_limits make_process_limits(std::uint64_t memory_bytes, std::uint32_t max_descriptors) {
  process_limits limits;
  if (memory_bytes > 0) {
    limits.m_input_bytes =
        static_cast<std::size_t>(static_cast<double>(std::max(memory_bytes, min_memory_bytes)) * input_share);
  }
  if (max_descriptors > 0) {
    const std::uint32_t sockets = std::max(max_descriptors, min_descriptors) - file_descriptors;
    const std::uint32_t service_sockets = std::min(max_service_descriptors, sockets / 4);
    limits.m_service_connections = service_sockets / service_addresses;
    // Each request in progress needs a connection of its caller and one to a server.
    limits.m_caller_connections = (sockets - service_sockets) / 2;
    limits.m_idle_backend_connections = limits.m_caller_connections / 2;
    // Each tunnel takes two. They share the connections to servers with the requests of this daemon.
    limits.m_tunnels = limits.m_caller_connections / 4;
  }
  return limits;
}

std::uint32_t connection_limit(const process_limits& limits, std::uint32_t max_connections) {
  return limits.m_service_connections == 0 ? max_connections
                                           : std::min(max_connections, limits.m_service_connections);
}

net::http_server_options make_service_options(const std::string& address, const process_limits& limits,
                                              std::uint32_t max_connections) {
  return {.m_address = address,
          .m_max_body_bytes = max_service_body_bytes,
          .m_max_connections = connection_limit(limits, max_connections)};
}

void configure_allocator(const process_limits& limits) {
  if (limits.m_input_bytes > 0) {
    ::mallopt(M_MMAP_THRESHOLD, mapped_block_bytes);
    ::mallopt(M_TRIM_THRESHOLD, kept_bytes);
  }
}

} // namespace cardamompond::daemon
