#include "cardamompond/daemon/cell_permit_client.hpp"
#include "cardamompond/daemon/request_table.hpp"

#include "cardamompond/net/fiber_runtime.hpp"

#include <boost/fiber/operations.hpp>

#include <CppUTest/TestHarness.h>

#include <deque>
#include <map>

using namespace cardamompond;
using namespace cardamompond::daemon;
using cell::cell_role;

namespace {

net::fiber_runtime& test_runtime() {
  static net::fiber_runtime runtime;
  return runtime;
}

// Grants requests in order of arrival, up to a number of slots.
class slot_limited_engine final : public decision_engine {
public:
  explicit slot_limited_engine(std::size_t slots)
      : m_slots(slots) {}

  void apply(const scheduler::configuration& config, time_point /*now*/) override {
    if (!config.m_backend_servers.empty()) {
      m_slots = config.m_backend_servers.front().m_in_service ? config.m_backend_servers.front().m_slots : 0;
    }
  }
  void handle(const scheduler::event& input, time_point /*now*/) override {
    if (const auto* submit = std::get_if<scheduler::submit_event>(&input)) {
      if (!m_running.contains(submit->m_key) &&
          std::none_of(m_queue.begin(), m_queue.end(), [&](auto key) { return key == submit->m_key; })) {
        m_queue.push_back(submit->m_key);
      }
    } else if (const auto* restore = std::get_if<scheduler::restore_event>(&input)) {
      m_running[restore->m_request.m_key] = true;
    } else if (const auto* completed = std::get_if<scheduler::completed_event>(&input)) {
      m_running.erase(completed->m_key);
    } else if (const auto* declined = std::get_if<scheduler::declined_event>(&input)) {
      m_running.erase(declined->m_key);
    } else if (const auto* cancelled = std::get_if<scheduler::cancel_event>(&input)) {
      std::erase(m_queue, cancelled->m_key);
    }
  }
  std::vector<scheduler::decision> tick(time_point now) override {
    std::vector<scheduler::decision> decisions;
    while (!m_queue.empty() && m_running.size() < m_slots) {
      m_running[m_queue.front()] = false;
      decisions.emplace_back(
          scheduler::grant{m_queue.front(), "b1", "127.0.0.1:9", "v1", now + milliseconds(500)});
      m_queue.pop_front();
    }
    return decisions;
  }
  void reset_requests() override {
    m_queue.clear();
    m_running.clear();
  }
  void merge(const fault_signal_set& /*fault_signals*/, time_point /*now*/) override {}
  scheduler::scheduler_status status() const override { return {}; }
  fault_signal_set fault_signals(time_point /*now*/) const override { return {}; }
  std::map<std::string, std::uint64_t, std::less<>> rejected_inputs() const override { return {}; }

  std::size_t m_slots;
  std::deque<request_key> m_queue;
  std::map<request_key, bool> m_running; // true if the request was restored
};

// Three cell members in one process, connected by direct calls.
class test_cell {
public:
  struct node final : public cell_link {
    node(test_cell& cell, std::string name, std::uint64_t key)
        : m_cell(cell)
        , m_name(std::move(name))
        , m_client({m_name, key, [] { return std::make_unique<slot_limited_engine>(2); }}, *this) {}

    void send_events(const std::string& member, peer::event_batch batch,
                     std::function<void(const peer::batch_reply&)> on_reply) override {
      if (!m_cell.m_drop_messages) {
        on_reply(m_cell.find(member).m_client.on_events(m_name, batch, monotonic_now()));
      }
    }
    void send_decisions(const std::string& member, peer::decision_batch batch,
                        std::function<void(const peer::batch_reply&)> on_reply) override {
      if (!m_cell.m_drop_messages) {
        on_reply(m_cell.find(member).m_client.on_decisions(m_name, batch, monotonic_now()));
      }
    }
    bool may_grant(time_point /*now*/) const override { return m_cell.m_has_lease; }
    std::vector<std::string> registered_members() const override { return {"a", "b", "c"}; }
    std::vector<std::string> live_members(time_point /*now*/) const override { return {"a", "b", "c"}; }
    std::span<const cell::backend_limit> limits() const override { return m_cell.m_limits; }

    test_cell& m_cell;
    std::string m_name;
    cell_permit_client m_client;
  };

  node& find(std::string_view name) { return name == "a" ? m_a : name == "b" ? m_b : m_c; }

  // Sets the status of all nodes such that `owner` owns the cell in this epoch.
  void set_owner(const std::string& owner, std::uint64_t epoch, cell_role role = cell_role::owner) {
    for (auto* member : {&m_a, &m_b, &m_c}) {
      member->m_client.set_status({member->m_name == owner ? role : cell_role::member, epoch, owner, "", {}},
                                  monotonic_now());
    }
  }

  void tick() {
    for (int round = 0; round < 3; ++round) {
      for (auto* member : {&m_a, &m_b, &m_c}) {
        member->m_client.tick(monotonic_now());
      }
      boost::this_fiber::yield();
    }
  }

  bool m_drop_messages = false;
  bool m_has_lease = true;
  std::vector<cell::backend_limit> m_limits = {{"b1", 2}};
  node m_a{*this, "a", 1};
  node m_b{*this, "b", 2};
  node m_c{*this, "c", 3};
};

// Acquires a permit on a separate fiber.
struct caller {
  caller(cell_permit_client& client, const std::string& account = "top")
      : m_client(client) {
    m_submit.m_key = client.next_key();
    m_submit.m_client_account = account;
    m_submit.m_arrived = monotonic_now();
    m_submit.m_deadline = monotonic_now() + seconds(30);
    net::fiber_runtime::spawn([this] { m_result.emplace(m_client.acquire(m_submit)); });
    boost::this_fiber::yield();
  }
  ~caller() {
    while (!m_result) {
      m_client.cancel(m_submit.m_key);
      boost::this_fiber::yield();
    }
  }
  caller(const caller&) = delete;
  caller& operator=(const caller&) = delete;
  bool granted() const { return m_result && m_result->has_value(); }

  cell_permit_client& m_client;
  scheduler::submit_event m_submit;
  std::optional<permit_result> m_result;
};

scheduler::configuration two_tier_configuration() {
  scheduler::configuration config;
  config.m_tiers = {{"high", 0, 1.0}, {"low", 1, 1.0}};
  config.m_client_accounts = {{"top", 0, 1.0, 0}, {"bottom", 1, 1.0, 0}};
  config.m_backend_servers = {{"b1", "s", "v1", "z", "127.0.0.1:9", 2, 1, true}};
  return config;
}

} // namespace

TEST_GROUP(cell_permit_client_requests) {
  net::fiber_runtime& m_runtime = test_runtime();
  test_cell m_cell;
};

// Guards against limits that are enforced per daemon only: the owner must count the dispatches of all
// members.
TEST(cell_permit_client_requests, owner_limits_dispatches_of_all_members_together) {
  m_cell.set_owner("a", 1);
  m_cell.tick();
  caller first(m_cell.m_b.m_client), second(m_cell.m_c.m_client), third(m_cell.m_a.m_client);
  m_cell.tick();
  LONGS_EQUAL(2, first.granted() + second.granted() + third.granted());
  caller* granted = first.granted() ? &first : &second;
  CHECK(granted->m_client.start(**granted->m_result));
  granted->m_client.complete({granted->m_submit.m_key, scheduler::outcome::succeeded, 1, 0, 1, {}, {}});
  m_cell.tick();
  CHECK(first.granted() && second.granted() && third.granted());
}

// Guards against waiting requests that are lost when the owner changes, and against a new owner that exceeds
// the limit because it does not know of running dispatches.
TEST(cell_permit_client_requests, waiting_and_running_requests_survive_a_change_of_owner) {
  m_cell.set_owner("a", 1);
  m_cell.tick();
  caller running(m_cell.m_b.m_client), unused(m_cell.m_b.m_client);
  m_cell.tick();
  CHECK(running.granted() && running.m_client.start(**running.m_result) && unused.granted());
  caller waiting(m_cell.m_c.m_client);
  m_cell.tick();
  CHECK_FALSE(waiting.granted());
  m_cell.set_owner("b", 2);
  m_cell.tick();
  CHECK(waiting.granted()); // one slot is in use; the unused permit of epoch 1 is invalid
  CHECK_FALSE(unused.m_client.start(**unused.m_result));
  caller next(m_cell.m_a.m_client);
  m_cell.tick();
  CHECK_FALSE(next.granted());
}

// Guards against an owner that grants permits after its lease has expired.
TEST(cell_permit_client_requests, owner_without_lease_does_not_grant) {
  m_cell.set_owner("a", 1);
  m_cell.tick();
  m_cell.m_has_lease = false;
  caller local(m_cell.m_a.m_client), remote(m_cell.m_b.m_client);
  m_cell.tick();
  CHECK_FALSE(local.granted() || remote.granted());
  m_cell.m_has_lease = true;
  m_cell.tick();
  CHECK(local.granted() && remote.granted());
}

// Guards against requests that wait until their deadline because an event batch to the owner was lost.
// Batches must be sent again until they are acknowledged.
TEST(cell_permit_client_requests, lost_event_batches_are_sent_again) {
  m_cell.set_owner("a", 1);
  m_cell.tick();
  m_cell.m_drop_messages = true;
  caller remote(m_cell.m_b.m_client);
  m_cell.tick();
  CHECK_FALSE(remote.granted());
  m_cell.m_drop_messages = false;
  for (const auto until = monotonic_now() + seconds(3); !remote.granted() && monotonic_now() < until;) {
    m_cell.tick();
    boost::this_fiber::sleep_for(std::chrono::milliseconds(5));
  }
  CHECK(remote.granted());
}

// Guards against an overload while the cell has no owner: the shares of all members together must stay within
// the limit, and only the highest tier may be admitted.
TEST(cell_permit_client_requests, fallback_admits_only_the_highest_tier_within_static_shares) {
  for (auto* node : {&m_cell.m_a, &m_cell.m_b, &m_cell.m_c}) {
    node->m_client.apply(two_tier_configuration());
    node->m_client.set_status({cell_role::fallback, 1, "", "", {}}, monotonic_now());
  }
  std::vector<std::unique_ptr<caller>> callers;
  for (auto* node : {&m_cell.m_a, &m_cell.m_b, &m_cell.m_c}) {
    for (int i = 0; i < 3; ++i) {
      callers.push_back(std::make_unique<caller>(node->m_client));
    }
  }
  caller low_tier_caller(m_cell.m_a.m_client, "bottom");
  m_cell.tick();
  CHECK(low_tier_caller.m_result && !low_tier_caller.m_result->has_value());
  CHECK(low_tier_caller.m_result->error().m_code == error_code::owner_unavailable);
  CHECK(low_tier_caller.m_result->error().m_verdict == verdict::not_run);
  std::vector<caller*> granted;
  for (const auto& waiting_caller : callers) {
    if (waiting_caller->granted()) {
      granted.push_back(waiting_caller.get());
    }
  }
  LONGS_EQUAL(2, granted.size());
  m_cell.set_owner("c", 2);
  m_cell.tick();
  for (const caller* granted_caller : granted) {
    // Permits of the fallback are invalid once it has ended.
    CHECK_FALSE(granted_caller->m_client.start(**granted_caller->m_result));
  }
}

// Guards against a daemon that sends events for requests of another daemon, or that is not registered in the
// cell.
TEST(cell_permit_client_requests, events_of_other_daemons_and_unregistered_members_are_rejected) {
  m_cell.set_owner("a", 1);
  m_cell.tick();
  scheduler::submit_event forged;
  forged.m_key = {3, 1};
  const peer::event_batch batch{1, 2, 2, monotonic_now(), {forged}};
  CHECK_FALSE(m_cell.m_a.m_client.on_events("b", batch, monotonic_now()).m_accepted);
  const peer::event_batch unregistered{1, 1, 9, monotonic_now(), {scheduler::cancel_event{{9, 1}}}};
  CHECK_FALSE(m_cell.m_a.m_client.on_events("x", unregistered, monotonic_now()).m_accepted);
  LONGS_EQUAL(2, m_cell.m_a.m_client.rejected_event_batches());
}
