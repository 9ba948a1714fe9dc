#include "simulated_cell.hpp"

#include <CppUTest/TestHarness.h>

using namespace cardamompond;
using namespace cardamompond::cell;

TEST_GROUP(cell_newcomer){};

// Guards the limits of the exception of docs/design.md, section 5, in which two members may grant: if only
// the owner does not reach the platform, a daemon that registers while it is cut off from its peers must not
// become a second owner.
TEST(cell_newcomer, an_unknown_newcomer_does_not_grant_beside_an_owner_without_platform) {
  simulated_cell sim(5, 7);
  sim.advance(seconds(5));
  const auto owner = *sim.owner();
  const std::size_t newcomer = owner == 4 ? 3 : 4;
  sim.kill(newcomer);
  sim.advance(seconds(13));
  LONGS_EQUAL(4, sim.record().m_members.size());
  sim.partition(std::uint64_t{1} << newcomer);
  sim.cut_platform(std::uint64_t{1} << owner);
  sim.start(newcomer);
  sim.advance(seconds(30));
  STRCMP_EQUAL("", sim.violation().c_str());
}
