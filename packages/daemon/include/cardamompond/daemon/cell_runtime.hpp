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
  std::string m_peer_address; // where peers reach this daemon; also the listen address
  std::string m_secret;
  std::uint64_t m_incarnation = 0; // increases with each start
  std::uint64_t m_seed = 0;
  cell::cell_timing m_timing;
};

// Drives this daemon's part in its cell: membership and ownership, the transport to the other members,
// permits, the spread of configuration and of fault signals. Owns no decisions of its own. Used on the
// daemon's thread only; starts its fibers in start() and must outlive them, see stop().
class cell_runtime final : public configuration_source {
public:
  using engine_factory = std::function<std::unique_ptr<decision_engine>()>;
  using usage_receiver = std::function<void(std::string_view member, std::string_view payload)>;

  // Throws std::runtime_error if the peer address cannot be bound.
  cell_runtime(net::fiber_runtime& runtime, object_store& store, cell_runtime_options options,
               engine_factory make_engine);
  ~cell_runtime() override;

  // Begins to read the configuration and to register in the cell.
  void start();

  // Begins a graceful exit from the cell; has_left() turns true when the process may exit.
  void leave();
  bool has_left() const;

  // Ends the fibers; blocks until they have ended.
  void stop();

  cell_permit_client& permits();

  // configuration_source
  shared_snapshot current() const override;
  void on_change(change_callback callback) override;
  bool platform_reachable() const override;

  // Registered, configured and not isolated: requests can be accepted.
  bool ready() const;

  const cell::cell_status& status() const;
  const cell::cell_record& record() const;

  // Members heard lately, this one included.
  std::vector<std::string> live_members(time_point now) const;

  // Whether a request with this content is refused throughout the fleet.
  bool is_quarantined(const hash128& fingerprint) const;

  // Sends cumulative usage counters to the owner; `on_reply` tells whether it has taken them. Without a known
  // owner, or as the owner, it is called with false at once.
  void push_usage(std::string payload, std::function<void(bool)> on_reply);

  void set_usage_receiver(usage_receiver receiver);

  peer::transport_counters peer_counters() const;

  // Configuration revision last heard from each live member, this one included, for the status object.
  struct member_revision {
    std::string m_name;
    std::uint64_t m_revision = 0;
    time_point m_since;
  };
  std::vector<member_revision> member_revisions() const;

private:
  class impl;
  std::unique_ptr<impl> m_impl;
};

} // namespace cardamompond::daemon
