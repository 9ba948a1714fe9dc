#pragma once

#include "cardamompond/gateway/admission_controller.hpp"
#include "cardamompond/gateway/document_store.hpp"
#include "cardamompond/gateway/peer_group.hpp"
#include "cardamompond/gateway/registration_schedule.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace cardamompond::gateway {

// Writes the shared objects of the group to the store: registers this daemon, removes members that no longer
// report, and writes the states of rollouts. Every daemon can do this work for the group.
// peer_group::rank_for() decides which daemon tries first, and conditional writes make an attempt by a second
// daemon harmless.
class group_maintenance {
public:
  group_maintenance(document_store& store, admission_controller& admission, peer_group& group,
                    const document_reader& reader, member self);

  // Registers this daemon when the list of members lacks it, in turns with others if the store has lost the
  // entries, and removes members that no longer report. Never returns.
  void run_membership();

  // Evaluates the rollouts and writes their states. Never returns.
  void run_rollouts();

  // Removes this daemon from the list of members at shutdown.
  void deregister();

private:
  // Whether the store lists a member of this name; one that is only kept after an outage is not listed.
  bool is_listed(std::string_view name) const;
  bool is_registered() const;
  void register_self();
  void remove_silent_members(time_point now);
  void log_decision(const fleet::rollout_controller::order_decision& decision);
  void write_decision(const fleet::rollout_controller::order_decision& decision, time_point now);

  document_store& m_store;
  admission_controller& m_admission;
  peer_group& m_group;
  const document_reader& m_reader;
  member m_self;
  bool m_deregistering = false;
  registration_schedule m_registration;
  std::uint64_t m_registered_in_era = 0; // the last era in which the store listed this daemon
  std::map<std::string, time_point, std::less<>> m_silent_since;    // by name of the member
  std::map<std::string, time_point, std::less<>> m_unwritten_since; // by service with an unwritten decision
  std::map<std::string, std::pair<std::string, fleet::rollout_order::state>, std::less<>>
      m_logged_decisions; // target version and state, by service
};

} // namespace cardamompond::gateway
