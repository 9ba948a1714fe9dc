#include "simulated_cell.hpp"

#include <CppUTest/TestHarness.h>

using namespace cardamompond;
using namespace cardamompond::cell;

namespace {

constexpr std::uint64_t seed = 7;

// Advances until all members have registered and the owner grants.
void wait_until_settled(simulated_cell& sim) {
  sim.advance(seconds(5));
  CHECK(sim.owner().has_value());
  LONGS_EQUAL(sim.size(), sim.record().m_members.size());
}

void check_no_violation(const simulated_cell& sim) {
  STRCMP_EQUAL("", sim.violation().c_str());
}

} // namespace

TEST_GROUP(cell_membership){};

// Guards against platform writes that recur with time. Writes may be caused by failures and restarts only.
TEST(cell_membership, an_undisturbed_cell_writes_nothing) {
  simulated_cell sim(8, seed);
  wait_until_settled(sim);
  const auto writes = sim.store().write_count();
  const auto reads = sim.store().read_count();
  sim.advance(seconds(600));
  LONGS_EQUAL(writes, sim.store().write_count());
  CHECK(sim.store().read_count() - reads <= 301); // only the owner reads, every 2 s
  check_no_violation(sim);
}

// Guards against a slow or early takeover. The time to a new owner is bounded by 1 s of silence, at most one
// stagger step and 1.25 s of waiting.
TEST(cell_membership, a_killed_owner_is_replaced_within_three_seconds) {
  for (const std::size_t members : {3U, 8U, 16U}) {
    simulated_cell sim(members, seed);
    wait_until_settled(sim);
    sim.kill(*sim.owner());
    const auto writes = sim.store().write_count();
    const auto elapsed = sim.wait_for_owner(seconds(10));
    CHECK(elapsed.has_value());
    CHECK(*elapsed <= milliseconds(3000));
    // The new owner must wait until the lease and the permits of the old one have expired.
    CHECK(*elapsed >= milliseconds(750 + 500));
    CHECK(sim.store().write_count() - writes <= 2);
    check_no_violation(sim);
  }
}

// Guards against a takeover by a member that misses messages of a live owner. Each message is lost with a
// probability of 20 %.
TEST(cell_membership, members_that_miss_messages_of_a_live_owner_do_not_take_over) {
  simulated_cell sim(5, seed);
  wait_until_settled(sim);
  const auto epoch = sim.record().m_epoch;
  sim.set_faults({.m_loss = 0.2});
  sim.advance(seconds(300));
  LONGS_EQUAL(epoch, sim.record().m_epoch);
  LONGS_EQUAL(5, sim.record().m_members.size());
}

// Guards against a takeover by a member whose link from the owner loses every message. In a cell of 16 this
// member hears fewer than half of the others within a second, but must not remove the owner as a member of a
// real minority may.
TEST(cell_membership, a_member_that_never_hears_the_owner_itself_does_not_take_over) {
  for (const std::size_t members : {5U, 16U}) {
    simulated_cell sim(members, seed);
    wait_until_settled(sim);
    const auto owner = *sim.owner();
    const auto epoch = sim.record().m_epoch;
    sim.cut_link(owner, (owner + 1) % members);
    sim.advance(seconds(60));
    LONGS_EQUAL(epoch, sim.record().m_epoch);
    LONGS_EQUAL(members, sim.record().m_members.size());
  }
}

// Guards against grants without a lease: an owner that resumes after a pause must not grant, even before it
// hears of its successor.
TEST(cell_membership, a_paused_owner_does_not_grant_on_resumption) {
  simulated_cell sim(5, seed);
  wait_until_settled(sim);
  const auto old_owner = *sim.owner();
  sim.pause(old_owner);
  sim.advance(seconds(4));
  CHECK(sim.owner().has_value());
  sim.resume(old_owner);
  CHECK_FALSE(sim.member(old_owner).may_grant(sim.now()));
  sim.advance(seconds(1));
  CHECK(sim.member(old_owner).status().m_role == cell_role::member);
  check_no_violation(sim);
}

// Guards against grants by a sole member without a lease. It needs no acknowledgements to renew its lease,
// but must lose the lease in a pause like any other owner, because another daemon may register and take over
// meanwhile.
TEST(cell_membership, a_paused_sole_member_does_not_grant_on_resumption) {
  simulated_cell sim(2, seed);
  wait_until_settled(sim);
  const auto old_owner = *sim.owner();
  sim.kill(1 - old_owner);
  sim.advance(seconds(16));
  CHECK(sim.owner() == old_owner);
  sim.pause(old_owner);
  sim.start(1 - old_owner);
  sim.advance(seconds(20));
  CHECK(sim.owner() == 1 - old_owner);
  sim.resume(old_owner);
  check_no_violation(sim);
}

// Guards against members that return after the owner has removed them as silent. They must not remove the
// owner because of its silence before their return, and the owner must see their registration in time.
TEST(cell_membership, returning_members_do_not_remove_a_live_owner) {
  for (std::uint64_t other_seed = 0; other_seed < 20; ++other_seed) {
    simulated_cell sim(5, other_seed);
    wait_until_settled(sim);
    const auto old_owner = *sim.owner();
    const std::size_t first = old_owner >= 2 ? 0 : 3;
    sim.partition(std::uint64_t{3} << first);
    sim.advance(seconds(14));
    LONGS_EQUAL(3, sim.record().m_members.size());
    sim.start(first);
    sim.advance(seconds(20));
    check_no_violation(sim);
  }
}

// Guards against dead members that stay in the record, and against members that cannot return under a new
// incarnation.
TEST(cell_membership, dead_members_are_removed_after_ten_seconds_and_may_return) {
  simulated_cell sim(4, seed);
  wait_until_settled(sim);
  const std::size_t victim = *sim.owner() == 3 ? 2 : 3;
  sim.kill(victim);
  sim.advance(seconds(9));
  LONGS_EQUAL(4, sim.record().m_members.size());
  sim.advance(seconds(4));
  LONGS_EQUAL(3, sim.record().m_members.size());
  sim.start(victim);
  sim.advance(seconds(2));
  LONGS_EQUAL(4, sim.record().m_members.size());
}

// Guards against a gap in service at a graceful exit: the new owner need not wait for the lease of an owner
// that has stopped granting.
TEST(cell_membership, a_leaving_owner_hands_over_without_a_wait) {
  simulated_cell sim(5, seed);
  wait_until_settled(sim);
  const auto old_owner = *sim.owner();
  sim.leave(old_owner);
  CHECK_FALSE(sim.member(old_owner).may_grant(sim.now()));
  const auto elapsed = sim.wait_for_owner(seconds(5));
  CHECK(elapsed.has_value());
  CHECK(*elapsed <= milliseconds(200));
  sim.advance(milliseconds(100));
  CHECK(sim.member(old_owner).status().m_role == cell_role::left);
  LONGS_EQUAL(4, sim.record().m_members.size());
  check_no_violation(sim);
}

// Guards against an exit of the last member that does not end the process or leaves a record that the next
// start cannot use.
TEST(cell_membership, the_last_member_leaves_an_empty_record) {
  simulated_cell sim(1, seed);
  sim.advance(seconds(2));
  sim.leave(0);
  sim.advance(seconds(1));
  CHECK(sim.member(0).status().m_role == cell_role::left);
  LONGS_EQUAL(0, sim.record().m_members.size());
  sim.start(0);
  CHECK(sim.wait_for_owner(seconds(3)).has_value());
}

// Guards against a cell that stays without an owner after it has lost its majority for good.
TEST(cell_membership, a_minority_removes_dead_members_and_takes_over) {
  simulated_cell sim(5, seed);
  wait_until_settled(sim);
  for (const std::size_t dead : {0U, 1U, 2U}) {
    sim.kill(dead);
  }
  CHECK_FALSE(sim.wait_for_owner(seconds(11)).has_value());
  CHECK(sim.wait_for_owner(seconds(5)).has_value());
  LONGS_EQUAL(2, sim.record().m_members.size());
  check_no_violation(sim);
}

// Guards against two processes with the same name that displace each other in the record: the older one must
// end.
TEST(cell_membership, an_older_incarnation_learns_that_it_is_superseded) {
  cell_member older({"one", {"a", 1, "a:1", "z"}, 1, {}}, time_point{});
  auto actions = older.tick(time_point{} + milliseconds(50));
  const auto read = std::get<read_action>(actions.at(0));
  const cell_record record{3, "a", {{"a", 2, "a:2", "z"}}};
  actions = older.complete_read(read.m_request_id, stored_value{encode(record), 9},
                                time_point{} + milliseconds(60));
  CHECK(older.status().m_role == cell_role::superseded);
}

TEST_GROUP(cell_outage){};

// Guards against an owner that stops granting because it does not reach the platform, although it reaches its
// peers.
TEST(cell_outage, an_owner_without_platform_continues_to_grant) {
  simulated_cell sim(5, seed);
  wait_until_settled(sim);
  sim.set_outage(true);
  const auto owner = *sim.owner();
  for (int i = 0; i < 60; ++i) {
    sim.advance(seconds(1));
    CHECK(sim.owner() == owner);
  }
}

// Guards the times of fallback: it begins after 3 s without a lease and without the platform, and the top
// tier may be refused only another 3 s later.
TEST(cell_outage, without_owner_and_platform_members_fall_back_after_three_seconds) {
  simulated_cell sim(5, seed);
  wait_until_settled(sim);
  sim.set_outage(true);
  const auto old_owner = *sim.owner();
  const std::size_t other = old_owner == 4 ? 3 : 4;
  const auto died = sim.now();
  sim.kill(old_owner);
  sim.advance(milliseconds(2500));
  CHECK(sim.member(other).status().m_role == cell_role::member);
  sim.advance(milliseconds(2000));
  const auto status = sim.member(other).status();
  CHECK(status.m_role == cell_role::fallback);
  // The last heartbeat may have been sent 250 ms earlier.
  CHECK(*status.m_may_refuse_top_tier_from >= died + milliseconds(5750));
  CHECK(*status.m_may_refuse_top_tier_from <= died + milliseconds(7000));
  sim.set_outage(false);
  CHECK(sim.wait_for_owner(seconds(5)).has_value());
  sim.advance(seconds(1));
  CHECK(sim.member(other).status().m_role != cell_role::fallback);
}

// Guards against dispatch by a member that reaches neither its peers nor the platform.
TEST(cell_outage, a_member_without_peers_and_platform_is_isolated) {
  simulated_cell sim(5, seed);
  wait_until_settled(sim);
  const std::size_t alone = *sim.owner() == 0 ? 1 : 0;
  sim.partition(1U << alone);
  sim.cut_platform(1U << alone);
  sim.advance(seconds(5));
  CHECK(sim.member(alone).status().m_role == cell_role::isolated);
  sim.partition(0);
  sim.advance(seconds(1));
  CHECK(sim.member(alone).status().m_role == cell_role::member);
}

// Guards against an owner that continues to grant after a minority has removed it from the record and taken
// over, although the owner reaches the platform. Also checks the exception of docs/design.md, section 5: if
// the majority does not reach the platform, both sides grant until the cut heals.
TEST(cell_outage, both_sides_grant_only_if_the_majority_is_cut_off_from_the_platform) {
  for (const bool cut : {false, true}) {
    simulated_cell sim(5, seed);
    wait_until_settled(sim);
    const auto old_owner = *sim.owner();
    const std::uint32_t minority = old_owner >= 2 ? 0b00011 : 0b11000;
    sim.m_allow_two_owners = cut;
    sim.partition(minority);
    sim.cut_platform(cut ? ~minority : 0);
    sim.advance(seconds(30));
    CHECK(sim.member(old_owner).may_grant(sim.now()));
    CHECK_EQUAL(cut, sim.m_two_owner_observations > 0);
    sim.heal();
    sim.advance(seconds(5));
    sim.m_allow_two_owners = false;
    sim.advance(seconds(5));
    check_no_violation(sim);
    LONGS_EQUAL(5, sim.record().m_members.size());
  }
}

// Guards the limits of the exception in the test above: once a minority has replaced an owner that does not
// reach the platform, members of the majority that do reach it must stop acknowledging the old owner.
TEST(cell_outage, members_that_reach_the_platform_stop_acknowledging_an_owner_that_does_not) {
  simulated_cell sim(5, seed);
  wait_until_settled(sim);
  const auto old_owner = *sim.owner();
  sim.partition(old_owner >= 2 ? 0b00011 : 0b11000);
  sim.cut_platform(std::uint64_t{1} << old_owner);
  sim.advance(seconds(30));
  check_no_violation(sim);
}

// Guards against limits and versions that do not reach every member with the heartbeats.
TEST(cell_membership, limits_and_versions_reach_all_members) {
  simulated_cell sim(4, seed);
  wait_until_settled(sim);
  const std::vector<backend_limit> limits{{"e1", 3}, {"e2", 8}};
  sim.member(*sim.owner()).set_limits(limits);
  sim.member(*sim.owner()).set_local_versions(17, 4);
  sim.m_recorded_actions.clear();
  sim.advance(milliseconds(600));
  std::size_t notified = 0;
  for (const auto& action : sim.m_recorded_actions) {
    const auto* versions = std::get_if<peer_versions_action>(&action);
    notified +=
        versions != nullptr && versions->m_revision == 17 && versions->m_fault_signals_version == 4 ? 1 : 0;
  }
  LONGS_EQUAL(3, notified);
  for (std::size_t i = 0; i < sim.size(); ++i) {
    const auto known = sim.member(i).limits();
    CHECK(std::vector<backend_limit>(known.begin(), known.end()) == limits);
  }
}
