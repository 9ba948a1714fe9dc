#pragma once

#include "cardamompond/gateway/admission_controller.hpp"
#include "cardamompond/gateway/document_store.hpp"
#include "cardamompond/gateway/peer_group.hpp"

#include <map>
#include <string>

namespace cardamompond::gateway {

// Work that one daemon does for all: it registers this daemon, removes members that are gone, and writes the
// states of rollouts. Any daemon may do it; the order of peer_group::rank_for() decides who tries first, and
// conditional writes make a second attempt harmless.
class group_maintenance {
public:
  group_maintenance(document_store& store, admission_controller& admission, peer_group& group,
                    const document_reader& reader, member self);

  // Registers this daemon until the store has its entry, then looks after the members. Never returns.
  void run_membership();

  // Judges rollouts and writes their states. Never returns.
  void run_rollouts();

  // Removes this daemon's entry at shutdown.
  void deregister();

private:
  bool is_registered() const;
  void register_self();
  void remove_silent_members(time_point now);
  void write_verdict(const fleet::rollout_judge::verdict_on_order& verdict, time_point now);

  document_store& m_store;
  admission_controller& m_admission;
  peer_group& m_group;
  const document_reader& m_reader;
  member m_self;
  bool m_deregistering = false;
  std::map<std::string, time_point, std::less<>> m_silent_since; // members that do not report
  std::map<std::string, time_point, std::less<>>
      m_unwritten_since; // services whose state is not in the store
};

} // namespace cardamompond::gateway
