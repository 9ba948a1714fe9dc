#include "cardamompond/peer/transport.hpp"

#include <boost/fiber/operations.hpp>

#include <CppUTest/TestHarness.h>

#include <optional>

using namespace cardamompond;
using namespace cardamompond::peer;

namespace {

net::fiber_runtime& test_runtime() {
  static net::fiber_runtime runtime;
  return runtime;
}

class recording_handler final : public peer_handler {
public:
  batch_reply on_events(std::string_view daemon, const event_batch& batch) override {
    m_daemon = daemon;
    m_events = batch;
    return {true, batch.m_sequence};
  }
  batch_reply on_decisions(std::string_view /*daemon*/, const decision_batch& batch) override {
    m_decisions = batch;
    return {false, 0};
  }
  void on_cell_message(const cell::cell_message& message, std::string_view reply_address) override {
    m_reply_address = reply_address;
    m_messages.push_back(message);
  }
  std::string on_fetch_configuration(std::uint64_t above_revision) override {
    return "above " + std::to_string(above_revision);
  }
  std::string on_fetch_signals() override { return "signals"; }
  void on_usage(std::string_view /*daemon*/, std::string_view payload) override { m_usage = payload; }

  std::string m_daemon;
  std::string m_usage;
  std::string m_reply_address;
  std::vector<cell::cell_message> m_messages;
  std::optional<event_batch> m_events;
  std::optional<decision_batch> m_decisions;
};

// Stores the reply to one call. `wait` runs other fibers until the reply arrives; the call timeout of the
// transport bounds the wait.
template <typename T> struct pending_reply {
  std::optional<peer_result<T>> m_reply;
  auto callback() {
    return [this](peer_result<T> reply) { m_reply.emplace(std::move(reply)); };
  }
  peer_result<T>& wait() {
    while (!m_reply) {
      boost::this_fiber::sleep_for(std::chrono::milliseconds(1));
    }
    return *m_reply;
  }
};

constexpr std::uint64_t server_daemon_key = 77;

} // namespace

TEST_GROUP(transport) {
  recording_handler m_server_handler;
  recording_handler m_client_handler;
  peer_transport m_server{
      test_runtime(), {"127.0.0.1:0", "secret", "server", server_daemon_key}, m_server_handler};
  peer_transport m_client{test_runtime(), {"127.0.0.1:0", "secret", "client", 78}, m_client_handler};
  std::string m_address = "127.0.0.1:" + std::to_string(m_server.port());
};

// Guards against fields of an event batch that the codec loses or swaps.
TEST(transport, events_arrive_with_their_fields) {
  const time_point now = monotonic_now();
  scheduler::submit_event submit;
  submit.m_key = {78, 5};
  submit.m_service = "guide";
  submit.m_prefix_blocks = {1, 2, 3};
  submit.m_fingerprint = {8, 9};
  submit.m_arrived = now - milliseconds(100);
  submit.m_deadline = now + seconds(10);
  scheduler::completed_event completed{
      {78, 4}, scheduler::outcome::connection_broken, 1, 2, 3, milliseconds(4), milliseconds(5)};
  pending_reply<batch_reply> reply;
  m_client.send_events(m_address, {3, 9, 78, now, {submit, completed}}, reply.callback());
  CHECK(reply.wait().has_value());
  CHECK((*reply.m_reply)->m_accepted);
  LONGS_EQUAL(9, (*reply.m_reply)->m_acknowledged);
  STRCMP_EQUAL("client", m_server_handler.m_daemon.c_str());
  const auto& received = std::get<scheduler::submit_event>(m_server_handler.m_events->m_events[0]);
  CHECK(received.m_prefix_blocks == submit.m_prefix_blocks);
  CHECK(received.m_fingerprint.m_low == 9);
  // Only durations are sent, so the decoded times are later than the originals by the duration of the
  // transfer.
  CHECK(received.m_arrived >= submit.m_arrived && received.m_arrived < submit.m_arrived + seconds(1));
  CHECK(received.m_deadline >= submit.m_deadline && received.m_deadline < submit.m_deadline + seconds(1));
  const auto& outcome = std::get<scheduler::completed_event>(m_server_handler.m_events->m_events[1]);
  CHECK(outcome.m_outcome == scheduler::outcome::connection_broken &&
        outcome.m_total_time == milliseconds(5));
}

// Guards against a permit that stays valid for too long because its validity is counted from the arrival of
// the grant instead of from the member's timestamp, which would add the network delay.
TEST(transport, permits_expire_relative_to_the_members_timestamp) {
  const time_point timestamp = monotonic_now() - seconds(2);
  const time_point received = monotonic_now();
  scheduler::grant grant{{server_daemon_key, 12}, "b1", "127.0.0.1:9", "v1", received + milliseconds(300)};
  pending_reply<batch_reply> reply;
  m_client.send_decisions(m_address, {1, 1, timestamp, received, {grant}}, reply.callback());
  CHECK_FALSE(reply.wait()->m_accepted);
  const auto& arrived = std::get<scheduler::grant>(m_server_handler.m_decisions->m_decisions[0]);
  CHECK(arrived.m_key == grant.m_key);
  CHECK(arrived.m_expires == timestamp + milliseconds(300));
}

// Guards against opening a session for a client that does not have the cell's secret.
TEST(transport, wrong_secret_gets_no_session) {
  peer_transport unauthorized_client{
      test_runtime(), {"127.0.0.1:0", "guess", "stranger", 1}, m_client_handler};
  pending_reply<std::string> reply;
  unauthorized_client.fetch_signals(m_address, reply.callback());
  CHECK_FALSE(reply.wait().has_value());
  LONGS_EQUAL(1, m_server.counters().m_malformed);
}

// Guards against a call that never ends because no process listens on the address, and against a refused
// connection that makes later calls to other addresses fail.
TEST(transport, refused_connection_is_reported_and_other_calls_succeed) {
  pending_reply<std::string> refused;
  m_client.fetch_signals("127.0.0.1:1", refused.callback());
  CHECK_FALSE(refused.wait().has_value());
  pending_reply<std::string> answered;
  m_client.fetch_configuration(m_address, 41, answered.callback());
  CHECK(answered.wait().has_value());
  STRCMP_EQUAL("above 41", answered.m_reply->value().c_str());
}

// Guards against fields of a membership message that the codec loses or swaps. One message of each body type
// is sent.
TEST(transport, membership_messages_arrive_with_their_fields) {
  using namespace cardamompond::cell;
  const message_header header{
      "client", 3, 4, 5, 6, 7, versioned_record{{4, "a", {{"a", 1, "127.0.0.1:1", "z"}}}, 5}};
  const std::vector<message_body> bodies = {
      heartbeat{11, owner_state::granting, 2, std::vector<backend_limit>{{"b", 3}}},
      heartbeat{12, owner_state::no_lease, 2, std::nullopt, true},
      heartbeat_ack{13, true, 9},
      probe{14},
      probe_ack{15, 150},
      relay_request{16, "t"},
      relay_reply{17, "t", 18, 19, std::nullopt},
      handover{true},
      leave_notice{}};
  for (const auto& body : bodies) {
    m_client.send_cell_message(m_address, {header, body});
  }
  for (int i = 0; i < 2000 && m_server_handler.m_messages.size() < bodies.size(); ++i) {
    boost::this_fiber::sleep_for(std::chrono::milliseconds(1));
  }
  LONGS_EQUAL(bodies.size(), m_server_handler.m_messages.size());
  for (std::size_t i = 0; i < bodies.size(); ++i) {
    const auto& received = m_server_handler.m_messages[i];
    CHECK(received.m_header.m_from == "client" && received.m_header.m_fault_signals_version == 7);
    CHECK(received.m_header.m_record->m_record == header.m_record->m_record);
    LONGS_EQUAL(bodies[i].index(), received.m_body.index());
  }
  CHECK(std::get<heartbeat>(m_server_handler.m_messages[0].m_body).m_limits->front().m_limit == 3);
  CHECK_FALSE(std::get<heartbeat>(m_server_handler.m_messages[1].m_body).m_limits.has_value());
  CHECK_FALSE(std::get<heartbeat>(m_server_handler.m_messages[0].m_body).m_platform_failed);
  CHECK(std::get<heartbeat>(m_server_handler.m_messages[1].m_body).m_platform_failed);
  LONGS_EQUAL(9, std::get<heartbeat_ack>(m_server_handler.m_messages[2].m_body).m_limits_version);
  LONGS_EQUAL(150, *std::get<probe_ack>(m_server_handler.m_messages[4].m_body).m_ms_since_owner_heard);
  CHECK_FALSE(
      std::get<relay_reply>(m_server_handler.m_messages[6].m_body).m_ms_since_owner_heard.has_value());
  STRCMP_EQUAL(("127.0.0.1:" + std::to_string(m_client.port())).c_str(),
               m_server_handler.m_reply_address.c_str());
  LONGS_EQUAL(19, std::get<relay_reply>(m_server_handler.m_messages[6].m_body).m_target_epoch);
}
