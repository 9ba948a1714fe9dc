#include "cardamompond/testing/tcp_relay.hpp"
#include "cardamompond/testing/test_cell.hpp"

#include <CppUTest/TestHarness.h>
#include <boost/fiber/operations.hpp>

#include <algorithm>
#include <map>

using namespace cardamompond;
using namespace cardamompond::testing;

// Publishes one revision after another while daemons are killed, restarted and cut off from the platform. Two
// observers poll the revision of each daemon throughout the test.
TEST_GROUP(configuration) {
  test_cell m_cell;
  // Highest revision that each daemon has shown, by daemon name. Restarts do not reset it.
  std::map<std::string, std::int64_t> m_highest_revisions;
  // One line for each observation of a lower revision than before.
  std::string m_regressions;
  bool m_stop = false;

  std::int64_t published_revision() {
    return m_cell.object_api().fetch_json("/v1/objects/config/head").at("revision").to_number<std::int64_t>();
  }

  // Returns the revision that a daemon shows, or 0 if the daemon does not respond or has no configuration.
  std::int64_t shown_revision(const daemon_process& daemon) {
    try {
      const auto state = m_cell.fetch_debug_state(daemon);
      return state.at("revision").to_number<std::int64_t>();
    } catch (const std::exception&) {
      return 0;
    }
  }

  void observe(const daemon_process& daemon) {
    auto& highest_revision = m_highest_revisions[daemon.m_name];
    // Compares with the highest revision seen before the request is sent, because the responses to the two
    // observers may be reordered.
    const auto highest_before = highest_revision;
    const auto revision = shown_revision(daemon);
    if (revision != 0 && revision < highest_before) {
      m_regressions += daemon.m_name + " returned from revision " + std::to_string(highest_before) + " to " +
                       std::to_string(revision) + "\n";
    }
    highest_revision = std::max(highest_revision, revision);
  }

  void observe_all() {
    while (!m_stop) {
      for (const auto& daemon : m_cell.m_daemons) {
        observe(daemon);
      }
      boost::this_fiber::sleep_for(milliseconds(10));
    }
  }

  // Publishes a change and waits until all running daemons show its revision, for each of them at most 3 s.
  void publish_and_wait(bool stale_reads = false) {
    ++m_cell.m_queue_limit;
    if (stale_reads) {
      // Publishing on top of a stale revision is refused until the reads return the latest one.
      wait_until("published in spite of stale reads", milliseconds(6000),
                 [&] { return m_cell.try_publish().m_exit_code == 0; });
    } else {
      m_cell.publish();
    }
    const auto revision = published_revision();
    for (const auto& daemon : m_cell.m_daemons) {
      wait_until(daemon.m_name + " at revision " + std::to_string(revision), milliseconds(3000), [&] {
        return daemon.m_process->exit_code().has_value() || shown_revision(daemon) >= revision;
      });
    }
  }
};

// Guards against daemons that return to an older configuration. Each published revision must reach all
// running daemons within 3 s.
TEST(configuration, revisions_never_decrease_and_arrive_within_three_seconds) {
  m_cell.add_backend("e1");
  m_cell.publish();
  tcp_relay platform_relay(m_cell.object_api().address());
  m_cell.add_daemon("d1", "z1", platform_relay.address());
  m_cell.add_daemon("d2");
  m_cell.add_daemon("d3");
  m_cell.wait_until_ready();
  const background_task first_observer([this] { observe_all(); });
  const background_task second_observer([this] { observe_all(); });
  const struct stop_observers {
    bool& m_stop;
    ~stop_observers() { m_stop = true; }
  } stop_at_end_of_scope{m_stop};

  publish_and_wait();
  m_cell.m_daemons[1].m_process->kill(); // d2 is one of the two daemons that watch the platform
  publish_and_wait();
  m_cell.restart(m_cell.m_daemons[1]);
  publish_and_wait();
  // d1 does not reach the platform, and the restarted d3 reads stale objects from it. Both must get the new
  // revision from their peers.
  platform_relay.set_partitioned(true);
  publish_and_wait();
  m_cell.object_api().set_parameters({{"stale_read_ms", 1500}});
  m_cell.m_daemons[2].m_process->kill();
  m_cell.restart(m_cell.m_daemons[2]);
  publish_and_wait(true);
  platform_relay.set_partitioned(false);
  m_cell.object_api().set_parameters(
      {{"stale_read_ms", 0}, {"lose_reply_rate", 0.5}, {"fault_prefix", "config/"}});
  publish_and_wait();
  const auto latest_revision = published_revision();
  m_cell.object_api().set_parameters({{"outage", true}});
  daemon_process& first_daemon = m_cell.m_daemons[0];
  first_daemon.m_process->kill();
  m_cell.restart(first_daemon);
  // A daemon that starts during an outage of the platform can get a configuration only from its peers, if it
  // gets one at all.
  m_cell.object_api().set_parameters({{"outage", false}, {"lose_reply_rate", 0.0}});
  wait_until("restarted daemon ready", milliseconds(8000), [&] { return m_cell.is_ready(first_daemon); });
  CHECK(shown_revision(first_daemon) >= latest_revision);
  publish_and_wait();
  STRCMP_EQUAL("", m_regressions.c_str());
}
