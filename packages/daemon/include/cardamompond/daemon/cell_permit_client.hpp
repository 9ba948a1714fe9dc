#pragma once

#include "cardamompond/cell/actions.hpp"
#include "cardamompond/daemon/decision_engine.hpp"
#include "cardamompond/daemon/permit_client.hpp"
#include "cardamompond/peer/transport.hpp"

#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cardamompond::daemon {

// The interface through which the permit client communicates with the other members of the cell.
class cell_link {
public:
  virtual ~cell_link() = default;

  // Send a batch to the named member. `on_reply` receives the reply; if the call fails, it receives a reply
  // whose m_accepted is false. It is not called if the batch was not sent, for example because the address of
  // the member is unknown.
  virtual void send_events(const std::string& member, peer::event_batch batch,
                           std::function<void(const peer::batch_reply&)> on_reply) = 0;
  virtual void send_decisions(const std::string& member, peer::decision_batch batch,
                              std::function<void(const peer::batch_reply&)> on_reply) = 0;

  // Returns whether this daemon holds the owner lease and may grant permits. It is checked before each
  // round of decisions.
  virtual bool may_grant(time_point now) const = 0;

  // Names of all registered members in ascending order, including this daemon.
  virtual std::vector<std::string> registered_members() const = 0;

  // Names of the registered members that are alive, including this daemon.
  virtual std::vector<std::string> live_members(time_point now) const = 0;

  // Concurrency limits of the backend servers, as last announced by an owner.
  virtual std::span<const cell::backend_limit> limits() const = 0;
};

struct cell_permit_client_options {
  std::string m_name;
  std::uint64_t m_daemon_key = 0; // request_key::m_daemon of this incarnation
  std::function<std::unique_ptr<decision_engine>()> m_make_engine;
};

// Obtains permits from the owner of the cell, which may be this daemon or another member. Requests of this
// daemon are kept when the owner changes. While this daemon is the owner, it runs the decision engine. While
// the cell has no owner and the platform is unreachable, it runs a fallback engine on a static share of each
// backend server's limit. Not thread-safe: use it on the daemon's thread only.
class cell_permit_client final : public permit_client {
public:
  cell_permit_client(cell_permit_client_options options, cell_link& link);
  ~cell_permit_client() override;

  // permit_client
  result<scheduler::grant, request_error> acquire(const scheduler::submit_event& request) override;
  void cancel(request_key key) override;
  bool start(const scheduler::grant& permit) override;
  void decline(request_key key, scheduler::decline_reason reason) override;
  void complete(const scheduler::completed_event& completed) override;
  request_key next_key() override;

  // Applies a newer configuration.
  void apply(const scheduler::configuration& config);

  // Sets the role of this daemon and the owner and epoch of the cell, after any of them has changed.
  void set_status(const cell::cell_status& status, time_point now);

  // Passes the loss of a member to the decision engine. Only the owner detects such losses. `daemon_key` is
  // the request_key::m_daemon of the lost incarnation.
  void handle_member_lost(std::uint64_t daemon_key);

  // Passes an event that does not originate from a request, such as a load report, to the active engine.
  // The event is ignored unless is_scheduling().
  void handle(const scheduler::event& input);

  // Returns whether this daemon currently makes scheduling decisions, as the owner or in fallback.
  bool is_scheduling() const;

  // Adds fault signals received from peers to the engines.
  void merge(const fault_signal_set& fault_signals);

  // Returns the fault signals known to the active engine.
  fault_signal_set fault_signals() const;

  // Handle the batches that the peer transport received from the named member.
  peer::batch_reply on_events(std::string_view member, const peer::event_batch& batch, time_point now);
  peer::batch_reply on_decisions(std::string_view member, const peer::decision_batch& batch, time_point now);

  // Does the periodic work: makes decisions, sends batches and resubmits requests. Call it at least every 20
  // ms and as soon as possible after the wake callback has been called.
  void tick(time_point now);
  void set_wake_callback(std::function<void()> callback);

  const decision_engine& engine() const;
  std::size_t waiting_count() const;
  std::size_t dispatched_count() const;

  // Number of event batches that were rejected because the sender was not registered or an event belonged to
  // another daemon.
  std::uint64_t rejected_event_batches() const;

private:
  class impl;
  std::unique_ptr<impl> m_impl;
};

} // namespace cardamompond::daemon
