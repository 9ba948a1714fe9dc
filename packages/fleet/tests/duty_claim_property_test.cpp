#include "duty_claim_simulation.hpp"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace cardamompond::fleet::testing;

namespace {

std::vector<std::string> violations_of(duty_simulation_options options) {
  return duty_simulation(options).run();
}

} // namespace

TEST_GROUP(duty_claim_property){};

// Guards against two holders that use one token, two counts for one window, outdated calls that are executed,
// and sums that miss or repeat requests, while holders pause and writes and calls are lost or late.
TEST(duty_claim_property, histories_are_correct_with_fencing) {
  CHECK(rc::check("fencing", [] {
    duty_simulation_options options;
    options.m_holders = *rc::gen::inRange(2, 5);
    options.m_seed = *rc::gen::arbitrary<std::uint64_t>();
    const auto violations = violations_of(options);
    RC_LOG() << (violations.empty() ? "" : violations.front());
    RC_ASSERT(violations.empty());
  }));
}

// Guards against two holders that use one token, lower tokens, and two counts for one window after the store
// has come back from a copy: it has lost claims, and gives out revisions that writes on their way name.
TEST(duty_claim_property, histories_are_correct_when_the_store_loses_claims) {
  CHECK(rc::check("restored store", [] {
    duty_simulation_options options;
    options.m_restores_store = true;
    options.m_holders = *rc::gen::inRange(2, 5);
    options.m_seed = *rc::gen::arbitrary<std::uint64_t>();
    const auto violations = violations_of(options);
    RC_LOG() << (violations.empty() ? "" : violations.front());
    RC_ASSERT(violations.empty());
  }));
}

// Guards against a former holder that returns within the lease after a late execution of its own call: the
// order A, B, A. These seeds showed it.
TEST(duty_claim_property, a_former_holder_waits_for_its_late_calls) {
  for (const std::uint64_t seed : {127, 1'306}) {
    duty_simulation_options options;
    options.m_seed = seed;
    CHECK(violations_of(options).empty());
  }
}

// Guards against holders that act at the same time where the API does not check tokens. Calls are not
// executed late here, since nothing but the API can stop a call on its way.
TEST(duty_claim_property, histories_are_correct_with_leases) {
  CHECK(rc::check("leases", [] {
    duty_simulation_options options;
    options.m_fencing = false;
    options.m_checks_tokens = false;
    options.m_loses_calls = false;
    options.m_holders = *rc::gen::inRange(2, 5);
    options.m_seed = *rc::gen::arbitrary<std::uint64_t>();
    const auto violations = violations_of(options);
    RC_LOG() << (violations.empty() ? "" : violations.front());
    RC_ASSERT(violations.empty());
  }));
}

// Guards against a simulation that is too calm to find anything: without the check of tokens, which the
// holders rely on, some history must show a violation.
TEST(duty_claim_property, the_check_of_tokens_is_needed) {
  int failing = 0;
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    duty_simulation_options options;
    options.m_checks_tokens = false;
    options.m_seed = seed;
    failing += violations_of(options).empty() ? 0 : 1;
  }
  CHECK(failing > 0);
}
