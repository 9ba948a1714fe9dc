#pragma once

#include "cardamompond/cell/cell_member.hpp"
#include "cardamompond/core/object_store.hpp"
#include "cardamompond/daemon/cell_permit_client.hpp"
#include "cardamompond/daemon/configuration_source.hpp"
#include "cardamompond/net/fiber_runtime.hpp"
#include "cardamompond/peer/transport.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace cardamompond::daemon {

struct cell_runtime_options {
  std::string m_cell;
  std::string m_name;
  std::string m_availability_zone;
  std::string m_peer_address; // the address to listen on; peers connect to this address
  std::string m_secret;
  std::uint64_t m_incarnation = 0; // increases with each start
  std::uint64_t m_seed = 0;
  cell::cell_timing m_timing;
};

// Runs this daemon as a member of its cell: membership and ownership, the transport to the other members,
// permits, and the exchange of configuration and fault signals with peers and the platform. The decisions
// themselves are made by cell::cell_member and the decision engine. Not thread-safe: use it on the daemon's
// thread only. start() starts fibers that use this object; call stop() before destroying it.
class cell_runtime final : public configuration_source {
public:
  using engine_factory = std::function<std::unique_ptr<decision_engine>()>;
  using usage_receiver = std::function<void(std::string_view member, std::string_view payload)>;

  // Throws std::runtime_error if the peer address cannot be bound.
  cell_runtime(net::fiber_runtime& runtime, object_store& store, cell_runtime_options options,
               engine_factory make_engine);
  ~cell_runtime() override;

  // Starts reading the configuration and registering in the cell.
  void start();

  // Starts leaving the cell. Once has_left() returns true, the process may exit.
  void leave();
  bool has_left() const;

  // Stops the fibers and blocks until they have ended.
  void stop();

  cell_permit_client& permits();

  // configuration_source
  shared_snapshot current() const override;
  void on_change(change_callback callback) override;
  bool platform_reachable() const override;

  // Returns whether requests can be accepted: the daemon has a configuration, is registered in the cell, and
  // is neither isolated nor leaving.
  bool ready() const;

  const cell::cell_status& status() const;

  // The cell record, which lists the registered members.
  const cell::cell_record& record() const;

  // Names of the members that were heard from recently, including this daemon.
  std::vector<std::string> live_members(time_point now) const;

  // Returns whether requests with this content are quarantined throughout the fleet, because they crash
  // backend servers.
  bool is_quarantined(const hash128& fingerprint) const;

  // Sends cumulative usage counters to the owner. `on_reply` receives whether the owner has accepted them. If
  // no owner is known or the role of this daemon is not cell_role::member, `on_reply` is called with false
  // immediately.
  void push_usage(std::string payload, std::function<void(bool)> on_reply);

  // Sets the function that receives the usage counters sent by other members.
  void set_usage_receiver(usage_receiver receiver);

  peer::transport_counters peer_counters() const;

  // The configuration revision that a member last announced, and since when it has had that revision.
  struct member_revision {
    std::string m_name;
    std::uint64_t m_revision = 0;
    time_point m_since;
  };

  // Revisions of all live members, including this daemon, for the status object.
  std::vector<member_revision> member_revisions() const;

private:
  class impl;
  std::unique_ptr<impl> m_impl;
};

} // namespace cardamompond::daemon
