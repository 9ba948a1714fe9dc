#pragma once

#include "cardamompond/cell/messages.hpp"
#include "cardamompond/core/result.hpp"
#include "cardamompond/core/time.hpp"
#include "cardamompond/net/fiber_runtime.hpp"
#include "cardamompond/peer/batches.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace cardamompond::peer {

// Describes a failed call to a peer. The peer may still have processed the call, so every call must be safe
// to repeat.
struct peer_error {
  std::string m_message;
  bool m_timeout = false;
};

template <typename T> using peer_result = result<T, peer_error>;

// Handles calls from peers. The methods run as event handlers on the fiber runtime's thread and must not
// block.
class peer_handler {
public:
  virtual ~peer_handler() = default;

  virtual batch_reply on_events(std::string_view daemon, const event_batch& batch) = 0;
  virtual batch_reply on_decisions(std::string_view daemon, const decision_batch& batch) = 0;

  // Receives a membership message. `reply_address` is the address on which the sender listens. The sender
  // need not be registered in the cell.
  virtual void on_cell_message(const cell::cell_message& message, std::string_view reply_address) = 0;

  // Returns the configuration changes after `above_revision` as JSON, or an empty string if there are none.
  virtual std::string on_fetch_configuration(std::uint64_t above_revision) = 0;

  // Returns the fault signals that this daemon knows as JSON.
  virtual std::string on_fetch_signals() = 0;

  // Receives the cumulative usage counters of a member as JSON.
  virtual void on_usage(std::string_view daemon, std::string_view payload) = 0;
};

struct transport_options {
  std::string m_listen_address;   // e.g. "127.0.0.1:7001"; port 0 selects a free port
  std::string m_secret;           // shared by the daemons of a cell
  std::string m_daemon_name;      // name of this daemon
  std::uint64_t m_daemon_key = 0; // request_key::m_daemon of this incarnation
  milliseconds m_call_timeout{500};
};

// Counters over all incoming and outgoing peer connections. Bytes are counted at the sockets, after
// compression.
struct transport_counters {
  std::uint64_t m_bytes_sent = 0;
  std::uint64_t m_bytes_received = 0;
  std::uint64_t m_calls_sent = 0;
  std::uint64_t m_calls_received = 0;
  std::uint64_t m_calls_failed = 0;
  std::uint64_t m_malformed = 0; // messages rejected by a decoder, and connections with a wrong secret
};

// Cap'n Proto RPC between daemons. The transport runs its event loop on a separate thread, because a KJ event
// loop cannot run on a fiber; callbacks and handler calls run on the fiber runtime's thread. A connection is
// opened on first use, and a failed call makes the next call open a new one. Every call has a timeout,
// because a connection to a paused peer reports no error.
class peer_transport {
public:
  template <typename T> using callback = std::function<void(peer_result<T>)>;

  // Throws std::runtime_error if the listen address cannot be bound.
  peer_transport(net::fiber_runtime& runtime, transport_options options, peer_handler& handler);
  ~peer_transport();
  peer_transport(const peer_transport&) = delete;
  peer_transport& operator=(const peer_transport&) = delete;

  // Returns the port that the transport listens on.
  std::uint16_t port() const;

  // Sends a membership message without waiting for a reply. The result is not reported: the message may be
  // lost.
  void send_cell_message(const std::string& address, cell::cell_message message);

  void send_events(const std::string& address, event_batch batch, callback<batch_reply> on_reply);
  void send_decisions(const std::string& address, decision_batch batch, callback<batch_reply> on_reply);
  void fetch_configuration(const std::string& address, std::uint64_t above_revision,
                           callback<std::string> on_reply);
  void fetch_signals(const std::string& address, callback<std::string> on_reply);
  void push_usage(const std::string& address, std::string payload, callback<success> on_reply);

  transport_counters counters() const;

private:
  class impl; // NOLINT(cppcoreguidelines-virtual-class-destructor): a base class of KJ has none
  std::unique_ptr<impl> m_impl;
};

} // namespace cardamompond::peer
