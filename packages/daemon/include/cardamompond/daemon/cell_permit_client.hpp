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

// How the permit client reaches the rest of the cell.
class cell_link {
public:
  virtual ~cell_link() = default;

  // Sends a batch to a member by name; `on_reply` comes later, also on failure (then not accepted).
  virtual void send_events(const std::string& member, peer::event_batch batch,
                           std::function<void(const peer::batch_reply&)> on_reply) = 0;
  virtual void send_decisions(const std::string& member, peer::decision_batch batch,
                              std::function<void(const peer::batch_reply&)> on_reply) = 0;

  // The owner lease, checked before each round of decisions.
  virtual bool may_grant(time_point now) const = 0;

  // Registered members in name order, and those of them that are alive, this daemon included.
  virtual std::vector<std::string> registered_members() const = 0;
  virtual std::vector<std::string> live_members(time_point now) const = 0;

  // Limits of the backend servers as last announced by an owner.
  virtual std::span<const cell::backend_limit> limits() const = 0;
};

struct cell_permit_client_options {
  std::string m_name;
  std::uint64_t m_daemon = 0; // request_key::m_daemon of this incarnation
  std::function<std::unique_ptr<decision_engine>()> m_make_engine;
};

// Permits from the owner of the cell, which may be this daemon or another one. Keeps the requests of this
// daemon through changes of the owner, runs the decision engine while this daemon is the owner, and falls
// back to static shares when the cell has no owner and the platform is unreachable. Used on the daemon's
// thread only.
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

  // A newer configuration is in force.
  void apply(const scheduler::configuration& config);

  // The cell's ownership as seen by this daemon has changed.
  void set_status(const cell::cell_status& status, time_point now);

  // A member's incarnation was lost (owner only).
  void handle_member_lost(std::uint64_t daemon);

  // Takes in an event that does not come from the entry path, such as a load report; ignored unless this
  // daemon schedules.
  void handle(const scheduler::event& input);

  // Whether this daemon runs a decision engine now, as the owner or in fallback.
  bool is_scheduling() const;

  // Faults learned from peers, and those known to the engine.
  void merge(const signal_set& signals);
  signal_set signals() const;

  // Called by the peer transport.
  peer::batch_reply on_events(std::string_view member, const peer::event_batch& batch, time_point now);
  peer::batch_reply on_decisions(std::string_view member, const peer::decision_batch& batch, time_point now);

  // Runs what is due: decisions, batches to send, repeated submissions. Call it at least every 20 ms; the
  // client asks for an earlier call through the `wake` callback.
  void tick(time_point now);
  void set_wake_callback(std::function<void()> wake);

  const decision_engine& engine() const;
  std::size_t waiting_count() const;
  std::size_t dispatched_count() const;

  // Event batches refused because a member spoke for another one or was not registered.
  std::uint64_t rejected_event_batches() const;

private:
  class impl;
  std::unique_ptr<impl> m_impl;
};

} // namespace cardamompond::daemon
