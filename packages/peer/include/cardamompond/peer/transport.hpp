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

// A failed call to a peer. The peer may have processed it: every call is safe to repeat.
struct peer_error {
  std::string m_message;
  bool m_timeout = false;
};

template <typename T> using peer_result = result<T, peer_error>;

// Receives calls of peers. Called on the fiber runtime's thread as event handlers, which must not block.
class peer_handler {
public:
  virtual ~peer_handler() = default;

  virtual batch_reply on_events(std::string_view daemon, const event_batch& batch) = 0;
  virtual batch_reply on_decisions(std::string_view daemon, const decision_batch& batch) = 0;

  // `reply_address` is where the sender listens; it may not be registered in the cell.
  virtual void on_cell_message(const cell::cell_message& message, std::string_view reply_address) = 0;

  // Configuration above a revision as JSON; empty if there is none.
  virtual std::string on_fetch_configuration(std::uint64_t above_revision) = 0;

  // Signals known here as JSON.
  virtual std::string on_fetch_signals() = 0;

  // Cumulative usage counters of a member as JSON.
  virtual void on_usage(std::string_view daemon, std::string_view payload) = 0;
};

struct transport_options {
  std::string m_listen_address;   // "127.0.0.1:7001"; port 0 picks a free one
  std::string m_secret;           // shared by the daemons of a cell
  std::string m_daemon_name;      // this daemon's name
  std::uint64_t m_daemon_key = 0; // request_key::m_daemon of this incarnation
  milliseconds m_call_timeout{500};
};

// Bytes and calls on all peer connections, both directions, as seen by the sockets.
struct transport_counters {
  std::uint64_t m_bytes_sent = 0;
  std::uint64_t m_bytes_received = 0;
  std::uint64_t m_calls_sent = 0;
  std::uint64_t m_calls_received = 0;
  std::uint64_t m_calls_failed = 0;
  std::uint64_t m_malformed = 0; // batches refused by the decoder, and connections with a wrong secret
};

// Cap'n Proto RPC between daemons. Runs its event loop on a thread of its own, because KJ's cannot run on a
// fiber; callbacks and handler calls arrive on the fiber runtime's thread. Connections open on first use and
// again after a failure. Every call has a deadline, because a paused peer reports no error.
class peer_transport {
public:
  template <typename T> using callback = std::function<void(peer_result<T>)>;

  // Throws std::runtime_error if the address cannot be bound.
  peer_transport(net::fiber_runtime& runtime, transport_options options, peer_handler& handler);
  ~peer_transport();
  peer_transport(const peer_transport&) = delete;
  peer_transport& operator=(const peer_transport&) = delete;

  // The port that the transport listens on.
  std::uint16_t port() const;

  // Sends a membership message without waiting for an answer; losses are not reported.
  void send_cell_message(const std::string& address, cell::cell_message message);

  void send_events(const std::string& address, event_batch batch, callback<batch_reply> on_reply);
  void send_decisions(const std::string& address, decision_batch batch, callback<batch_reply> on_reply);
  void fetch_configuration(const std::string& address, std::uint64_t above_revision,
                           callback<std::string> on_reply);
  void fetch_signals(const std::string& address, callback<std::string> on_reply);
  void push_usage(const std::string& address, std::string payload, callback<done> on_reply);

  transport_counters counters() const;

private:
  class impl; // NOLINT(cppcoreguidelines-virtual-class-destructor): a base class of KJ has none
  std::unique_ptr<impl> m_impl;
};

} // namespace cardamompond::peer
