#pragma once

#include "cardamompond/core/time.hpp"

#include <cstdint>
#include <memory>
#include <string>

#include <sys/types.h>

namespace cardamompond::testing {

// What a partition of one process does to its connections.
enum class partition_kind {
  none,
  hang,      // nothing passes; new connections are accepted
  reset,     // all are reset, also new ones
  reset_new, // new ones are reset, those that are open go on
};

// Forwards TCP connections to a target address, and simulates faults of the network on the way.
class tcp_relay {
public:
  // `target` is an address "IP:PORT".
  explicit tcp_relay(const std::string& target);
  ~tcp_relay();
  tcp_relay(const tcp_relay&) = delete;
  tcp_relay& operator=(const tcp_relay&) = delete;

  // Returns the address on which the relay accepts connections, "127.0.0.1:PORT".
  const std::string& address() const;

  // While true, simulates a network partition: data in both directions and the end of connections are held
  // back, and new connections are accepted, but not forwarded.
  void set_partitioned(bool partitioned);

  // Does the same for that long from now, like a server whose process stands still and then goes on.
  void pause(milliseconds length);

  // Partitions the clients of one process from the target. Replaces an earlier partition.
  void partition_process(pid_t process, partition_kind kind);

  // While true, new connections are closed at once. True also closes all present connections.
  void set_refusing(bool refusing);

  // Delays each piece of data that is forwarded, in both directions.
  void set_delay(milliseconds delay);

  // Sends a second copy of that share of the HTTP answers, drawn at random: late, or directly before the next
  // answer on the connection. Never within another answer.
  void set_late_copies(double share, std::uint64_t seed);

  // Returns the number of copies that have been sent.
  std::uint64_t late_copies() const;

private:
  class impl;
  std::shared_ptr<impl> m_impl;
};

} // namespace cardamompond::testing
