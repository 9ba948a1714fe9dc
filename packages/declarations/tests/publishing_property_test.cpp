#include "published_history.hpp"

#include <CppUTest/TestHarness.h>

#include <iostream>
#include <ostream>

#include <rapidcheck.h>
#include <rapidcheck/state.h>

using namespace cardamompond::declarations;

namespace {

enum class action {
  publish,
  publish_again,
  race,
  poll,
  watch,
  relay,
  restart,
  fault,
  outage,
  apply_delayed_write,
  deliver_update
};

const char* to_string(action kind) {
  constexpr const char* names[] = {"publish",       "publish_again", "race",  "poll",   "watch",
                                   "relay",         "restart",       "fault", "outage", "apply_delayed_write",
                                   "deliver_update"};
  return names[static_cast<int>(kind)];
}

// The model of the state machine is empty, because published_history itself computes the expected results and
// any action may follow any other.
struct no_model {};

template <action Kind> struct command : rc::state::Command<no_model, published_history> {
  // Random arguments of the action, named after their use in most actions. The action `fault` derives the
  // number and kinds of its faults from them.
  std::size_t m_daemon_index = *rc::gen::inRange<std::size_t>(0, 4);
  std::size_t m_peer_index = *rc::gen::inRange<std::size_t>(0, 4);
  std::size_t m_object_count = *rc::gen::inRange<std::size_t>(1, 150);
  unsigned m_random = *rc::gen::inRange<unsigned>(0, 256);

  bool one_in(unsigned n, unsigned salt) const { return (m_random * 31U + salt * 17U) % n == 0; }

  void publish(published_history& history, unsigned salt) const {
    const auto revisions_behind = one_in(3, salt) ? std::optional<unsigned>(m_random % 4) : std::nullopt;
    history.publish(m_object_count, one_in(2, salt), one_in(4, salt), one_in(9, salt), revisions_behind);
  }

  void run(const no_model& /*model*/, published_history& history) const override {
    auto& store = history.m_store;
    switch (Kind) {
    case action::publish:
      return publish(history, 1);
    case action::publish_again:
      return history.publish_again(m_random);
    case action::race:
      store.m_before_head_write = [this, &history] { publish(history, 2); };
      publish(history, 1);
      store.m_before_head_write = nullptr;
      return;
    case action::poll:
      return history.poll(m_daemon_index);
    case action::watch:
      return history.watch(m_daemon_index);
    case action::relay:
      return history.relay(m_daemon_index, m_peer_index);
    case action::restart:
      return history.restart(m_daemon_index);
    case action::fault:
      store.m_stale_head_reads = m_random % 3;
      for (std::size_t i = 0; i < m_object_count % 8; ++i) {
        store.m_write_faults.push_back(static_cast<write_fault>((m_random + i * m_daemon_index) % 5));
      }
      return;
    case action::outage:
      store.m_outage = !store.m_outage;
      return;
    case action::apply_delayed_write:
      return store.apply_delayed_write();
    case action::deliver_update:
      return history.deliver_update(m_random);
    }
  }

  void show(std::ostream& os) const override {
    os << to_string(Kind) << '(' << m_daemon_index << ", " << m_peer_index << ", " << m_object_count << ", "
       << m_random << ')';
  }
};

} // namespace

TEST_GROUP(publishing_property){};

// Guards against daemons that go back to an older revision or apply part of a change set, change sets that
// are published twice or after their operator was told that nothing was published, and conflicts that do not
// list what changed. The store loses, delays and reorders writes and returns stale heads, daemons restart,
// and updates between them arrive late or repeatedly.
TEST(publishing_property, every_observer_follows_one_history) {
  CHECK(rc::check("every observer follows one history", [] {
    published_history history;
    rc::state::check(
        no_model{}, history,
        rc::state::gen::execOneOfWithArgs<
            command<action::publish>, command<action::publish>, command<action::publish>,
            command<action::publish_again>, command<action::race>, command<action::poll>,
            command<action::watch>, command<action::relay>, command<action::relay>,
            command<action::deliver_update>, command<action::deliver_update>, command<action::restart>,
            command<action::fault>, command<action::outage>, command<action::apply_delayed_write>>());
    history.converge();
  }));
}
