#include "faulty_store.hpp"

#include "cardamompond/cell/object_claim_store.hpp"

#include <CppUTest/TestHarness.h>

#include <array>
#include <memory>
#include <ostream>

#include <rapidcheck.h>
#include <rapidcheck/state.h>

using namespace cardamompond;
using namespace cardamompond::cell;

namespace {

constexpr std::size_t claimant_count = 3;
constexpr std::size_t key_count = 2;

// A ticket that was handed out and not released. Its holder may have died.
struct held_ticket {
  std::size_t m_claimant = 0;
  claim_ticket m_ticket;
  std::optional<std::string> m_body; // the body passed to record(), if it was called
  bool m_recorded = false;           // whether record() succeeded
};

// Several claimants on one platform, and the state that no single process knows.
struct claim_simulation {
  claim_simulation() {
    for (std::size_t i = 0; i < claimant_count; ++i) {
      restart(i);
    }
  }

  void restart(std::size_t index) {
    m_connections.at(index) = std::make_unique<faulty_store>(m_platform);
    m_connections.at(index)->m_late_writes = &m_late_writes;
    m_stores.at(index) = std::make_unique<object_claim_store>(
        *m_connections.at(index), object_claim_options{"d" + std::to_string(index)},
        [this] { return ++m_random; }, [] { return 1; });
  }

  // Runs an operation of a claimant, which may die during a platform call.
  template <typename F>
  void run_operation(std::size_t index, const std::vector<call_fault>& faults, F operation) {
    m_connections.at(index)->m_faults = faults;
    try {
      operation(*m_stores.at(index));
      m_connections.at(index)->m_faults.clear();
    } catch (const process_died&) {
      restart(index);
      for (auto& held : m_held) {
        if (held && held->m_claimant == index && !held->m_body) {
          held->m_claimant = claimant_count; // no process can use or release the ticket any more
        }
      }
    }
  }

  void claim(std::size_t index, std::size_t key, std::uint64_t body, const std::vector<call_fault>& faults) {
    const claim_request request{"s", "a", std::to_string(key), {0, body}};
    run_operation(index, faults, [&](claim_store& store) {
      const auto outcome = store.claim(request);
      auto& held = m_held.at(key);
      if (const auto* ticket = std::get_if<claim_ticket>(&outcome)) {
        RC_ASSERT(!held);
        held = held_ticket{index, *ticket, {}, false};
        m_claimed_bodies.at(key) |= body;
      } else if (const auto* response = std::get_if<recorded_response>(&outcome)) {
        RC_ASSERT(held && held->m_body == response->m_body);
        RC_ASSERT(held->m_ticket.m_fingerprint == request.m_fingerprint);
      } else {
        const auto& refusal = std::get<request_error>(outcome);
        if (refusal.m_code == error_code::key_reused) {
          RC_ASSERT(refusal.m_verdict == verdict::not_run);
          RC_ASSERT(!held || held->m_ticket.m_fingerprint != request.m_fingerprint);
        } else {
          RC_ASSERT((refusal.m_verdict == verdict::not_run) ==
                    (refusal.m_code == error_code::claims_unavailable));
        }
        // If the platform answers, a recorded answer is always replayed.
        RC_ASSERT(!faults.empty() || !held || !held->m_recorded ||
                  held->m_ticket.m_fingerprint != request.m_fingerprint);
      }
    });
  }

  void release(std::size_t key, const std::vector<call_fault>& faults) {
    if (auto& held = m_held.at(key); held && held->m_claimant < claimant_count && !held->m_body) {
      const held_ticket released = *held;
      held.reset(); // once release() is called, the holder will not dispatch
      run_operation(released.m_claimant, faults,
                    [&](claim_store& store) { store.release(released.m_ticket); });
    }
  }

  void record(std::size_t key, const std::vector<call_fault>& faults) {
    if (auto& held = m_held.at(key); held && held->m_claimant < claimant_count && !held->m_body) {
      held->m_body = "answer " + std::to_string(++m_random);
      run_operation(held->m_claimant, faults, [&](claim_store& store) {
        held->m_recorded = store.record(held->m_ticket, {200, "text", *held->m_body, true}).has_value();
      });
    }
  }

  void run_late_writes() {
    for (const auto& write : std::exchange(m_late_writes, {})) {
      write();
    }
  }

  memory_object_store m_platform;
  std::vector<std::function<void()>> m_late_writes;
  std::array<std::unique_ptr<faulty_store>, claimant_count> m_connections;
  std::array<std::unique_ptr<object_claim_store>, claimant_count> m_stores;
  std::array<std::optional<held_ticket>, key_count> m_held;
  std::array<std::uint64_t, key_count> m_claimed_bodies{};
  std::uint64_t m_random = 0;
};

enum class claim_step { claim, release, record, retry, late_writes };

struct no_model {};

template <claim_step Step> struct claim_command : rc::state::Command<no_model, claim_simulation> {
  std::size_t m_claimant = *rc::gen::inRange<std::size_t>(0, claimant_count);
  std::size_t m_key = *rc::gen::inRange<std::size_t>(0, key_count);
  std::uint64_t m_body = *rc::gen::weightedElement<std::uint64_t>({{4, 1}, {1, 2}});
  bool m_outage = *rc::gen::weightedElement<bool>({{1, true}, {3, false}});
  std::vector<call_fault> m_faults =
      *rc::gen::oneOf(rc::gen::just(std::vector<call_fault>{}),
                      rc::gen::container<std::vector<call_fault>>(
                          8, rc::gen::weightedElement<call_fault>({{6, call_fault::none},
                                                                   {2, call_fault::unavailable},
                                                                   {2, call_fault::lose_request},
                                                                   {4, call_fault::lose_reply},
                                                                   {3, call_fault::late},
                                                                   {1, call_fault::die_before},
                                                                   {1, call_fault::die_after}})));

  void run(const no_model& /*model*/, claim_simulation& simulation) const override {
    switch (Step) {
    case claim_step::claim:
      return simulation.claim(m_claimant, m_key, m_body,
                              m_outage ? std::vector(9, call_fault::unavailable) : m_faults);
    case claim_step::release:
      return simulation.release(m_key, m_faults);
    case claim_step::record:
      return simulation.record(m_key, m_faults);
    case claim_step::retry:
      return simulation.run_operation(m_claimant, m_faults,
                                      [](claim_store& store) { store.retry_releases(10); });
    case claim_step::late_writes:
      return simulation.run_late_writes();
    }
  }

  void show(std::ostream& os) const override {
    os << static_cast<int>(Step) << " claimant " << m_claimant << " key " << m_key << " body " << m_body
       << " faults ";
    for (const auto fault : m_faults) {
      os << static_cast<int>(fault);
    }
  }
};

void check_claim_history() {
  claim_simulation simulation;
  using S = claim_step;
  rc::state::check(
      no_model{}, simulation,
      rc::state::gen::execOneOfWithArgs<claim_command<S::claim>, claim_command<S::claim>,
                                        claim_command<S::release>, claim_command<S::record>,
                                        claim_command<S::retry>, claim_command<S::late_writes>>());
}

} // namespace

TEST_GROUP(claim_histories){};

// Guards against a request that runs twice or is answered wrongly: two tickets for one key, a replayed answer
// other than the recorded one, or a refusal that wrongly reports "not run". The faults are lost and late
// writes and processes that die in any platform call.
TEST(claim_histories, at_most_one_unreleased_ticket_exists_for_a_key) {
  CHECK(rc::check("one ticket; the recorded answer is replayed", [] {
    for (int history = 0; history < 20; ++history) {
      check_claim_history();
    }
  }));
}

// Guards against keys that stay blocked because the outcome of a claim or release was not resolved: retries
// must release the claim.
TEST(claim_histories, unresolved_claims_are_released_when_the_platform_answers) {
  CHECK(rc::check("no key stays blocked", [] {
    claim_simulation simulation;
    const auto faults = *rc::gen::container<std::vector<call_fault>>(rc::gen::element(
        call_fault::none, call_fault::unavailable, call_fault::lose_request, call_fault::lose_reply));
    simulation.claim(0, 0, 1, faults);
    simulation.release(0, *rc::gen::just(faults));
    while (simulation.m_stores[0]->retry_releases(1) != 0) {
    }
    simulation.claim(1, 0, 2, {});
    RC_ASSERT(simulation.m_held[0].has_value());
  }));
}
