#pragma once

#include "cardamompond/core/time.hpp"

#include <memory>
#include <string>

namespace cardamompond::testing {

// Forwards TCP connections to a target address, and simulates faults of the network on the way.
class tcp_relay {
public:
  // `target` is an address "IP:PORT".
  explicit tcp_relay(std::string target);
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

  // While true, new connections are closed at once. True also closes all present connections.
  void set_refusing(bool refusing);

  // Delays each piece of data that is forwarded, in both directions.
  void set_delay(milliseconds delay);

  // Sends each `interval`-th answer of the target a second time, where the answer to the next request on its
  // connection is due. 0: none.
  void repeat_answers(int interval);

private:
  class impl;
  std::shared_ptr<impl> m_impl;
};

} // namespace cardamompond::testing
