#pragma once

#include "cardamompond/core/time.hpp"

#include <memory>
#include <string>

namespace cardamompond::testing {

// Forwards connections between two processes and simulates faults of the network between them.
class tcp_relay {
public:
  explicit tcp_relay(std::string target);
  ~tcp_relay();
  tcp_relay(const tcp_relay&) = delete;
  tcp_relay& operator=(const tcp_relay&) = delete;

  // "127.0.0.1:PORT"
  const std::string& address() const;

  // While true, bytes are held back in both directions and new connections stay silent, as in a partition.
  void set_partitioned(bool silent);

  // Closes all connections; while true, new ones are closed at once.
  void set_refusing(bool refusing);

  // Delays each piece of data.
  void set_delay(milliseconds delay);

private:
  class impl;
  std::shared_ptr<impl> m_impl;
};

} // namespace cardamompond::testing
