#include "cardamompond/core/memory_object_store.hpp"
#include "cardamompond/declarations/publisher.hpp"
#include "cardamompond/declarations/scheduler_configuration.hpp"
#include "cardamompond/declarations/status_record.hpp"

#include "declarations_builder.hpp"

#include <CppUTest/TestHarness.h>

using namespace cardamompond;
using namespace cardamompond::declarations;

namespace {

constexpr milliseconds timeout(100);

object_set read(std::string text) {
  const source_text file{"a.toml", std::move(text)};
  return read_texts(std::span(&file, 1)).m_objects;
}

publish_request request(std::string owner, std::string id, object_set objects) {
  return {std::move(owner), std::move(id), std::move(objects), {}, std::nullopt};
}

// An object store whose reads of the head return the head at construction. Writes reach the underlying store.
class stale_head_store final : public object_store {
public:
  explicit stale_head_store(object_store& store)
      : m_store(store)
      , m_head(*store.get(head_key, timeout)) {}

  store_result<stored_value> get(std::string_view key, milliseconds limit) override {
    return key == head_key ? store_result<stored_value>(m_head) : m_store.get(key, limit);
  }
  store_result<object_version> put(std::string_view key, std::string_view value, object_version expected,
                                   milliseconds limit) override {
    return m_store.put(key, value, expected, limit);
  }
  store_result<success> erase(std::string_view key, object_version expected, milliseconds limit) override {
    return m_store.erase(key, expected, limit);
  }
  store_result<std::vector<stored_key>> list(std::string_view prefix, milliseconds limit) override {
    return m_store.list(prefix, limit);
  }
  store_result<stored_value> watch(std::string_view key, object_version /*after*/,
                                   milliseconds limit) override {
    return get(key, limit);
  }

private:
  object_store& m_store;
  stored_value m_head;
};

} // namespace

TEST_GROUP(publishing) {
  memory_object_store m_store;
  configuration_publisher m_publisher{m_store, timeout};
  object_set m_objects = read(std::string(valid_declarations));

  publish_result<publish_success> publish(const std::string& id) {
    return m_publisher.publish(request("o1", id, m_objects));
  }
};

// Guards against differences between the declarations in TOML and the configuration that a daemon applies.
TEST(publishing, a_reader_applies_the_published_configuration) {
  const auto published = publish("cs1");
  CHECK(published.has_value());
  LONGS_EQUAL(1, published->m_revision);
  configuration_replica replica;
  configuration_reader reader(m_store, replica);
  CHECK(*reader.poll(timeout) == apply_outcome::applied);
  CHECK(replica.current()->m_objects == m_objects);
  CHECK(*reader.watch(timeout) == apply_outcome::unchanged);
}

// Guards against a second revision when a change set is published again with the same id, even if others were
// published in between.
TEST(publishing, the_same_id_publishes_once) {
  CHECK(publish("cs1").has_value());
  m_objects.m_backend_servers.at("b1").m_slots = 9;
  CHECK(publish("cs2").has_value());
  m_objects.m_backend_servers.at("b1").m_slots = 4;
  const auto again = publish("cs1");
  CHECK(again->m_already_published);
  LONGS_EQUAL(1, again->m_revision);
  LONGS_EQUAL(9, m_publisher.read().value()->m_objects.m_backend_servers.at("b1").m_slots);
}

// Guards against reporting a write whose reply was lost as a failure, and against publishing it twice.
TEST(publishing, lost_replies_and_requests_are_resolved) {
  CHECK(publish("cs1").has_value());
  for (const auto fault : {store_fault::lose_reply, store_fault::lose_request}) {
    m_objects.m_backend_servers.at("b1").m_slots += 1;
    m_store.inject(store_fault::none); // The first access is the read of the head.
    m_store.inject(fault);
    const auto published = publish("cs-" + std::to_string(m_objects.m_backend_servers.at("b1").m_slots));
    CHECK(published.has_value());
    LONGS_EQUAL(m_objects.m_backend_servers.at("b1").m_slots - 3, published->m_revision);
  }
}

// Guards against reporting the platform as unreachable when another operator published first and reads still
// return the old head.
TEST(publishing, a_race_lost_under_stale_reads_is_a_conflict) {
  CHECK(publish("cs1").has_value());
  stale_head_store stale_store(m_store);
  m_objects.m_backend_servers.at("b1").m_slots = 9;
  CHECK(publish("cs2").has_value());
  m_objects.m_backend_servers.at("b1").m_slots = 5;
  configuration_publisher late_publisher(stale_store, timeout);
  const auto lost = late_publisher.publish(request("o1", "cs3", m_objects));
  CHECK_FALSE(lost.has_value());
  CHECK(lost.error().m_kind == publish_error_kind::conflict);
  LONGS_EQUAL(9, m_publisher.read().value()->m_objects.m_backend_servers.at("b1").m_slots);
}

// Guards against an owner that changes, takes over or removes the objects of another owner.
TEST(publishing, an_owner_cannot_change_objects_of_another_owner) {
  CHECK(publish("cs1").has_value());
  object_set other;
  other.m_availability_zones["z2"] = {"z2", "o2", "south", true};
  CHECK(m_publisher.publish(request("o2", "cs2", other)).has_value());
  CHECK(m_publisher.read().value()->m_objects.m_services.contains("s"));

  // Declaring an object of the other owner is allowed if it equals the published one.
  other.m_client_accounts["acc"] = m_objects.m_client_accounts.at("acc");
  CHECK(m_publisher.plan(request("o2", "cs3", other)).has_value());
  other.m_client_accounts.at("acc").m_share = 2;
  CHECK(m_publisher.plan(request("o2", "cs3", other)).error().m_kind == publish_error_kind::refused);
  other.m_client_accounts.at("acc").m_owner = "o2";
  CHECK(m_publisher.plan(request("o2", "cs3", other)).error().m_kind == publish_error_kind::refused);
}

// Guards against the removal of an object to which an object of the other owner refers.
TEST(publishing, a_dangling_reference_of_the_other_owner_is_refused) {
  m_objects.m_services.at("s").m_allowed_accounts = {"acc"};
  object_set other;
  other.m_client_accounts["acc2"] = {"acc2", "o2", "top", 1, {std::string(64, 'b')}, 0};
  CHECK(publish("cs1").has_value());
  CHECK(m_publisher.publish(request("o2", "cs2", other)).has_value());
  m_objects.m_services.at("s").m_allowed_accounts = {"acc", "acc2"};
  CHECK(publish("cs3").has_value());
  const auto refused = m_publisher.publish(request("o2", "cs4", {}));
  CHECK(refused.error().m_kind == publish_error_kind::refused);
  STRCMP_EQUAL("service s", refused.error().m_findings.front().m_object.c_str());
  CHECK(refused.error().m_findings.front().m_remedy.find("belongs to owner \"o1\"") != std::string::npos);
}

// Guards against overwriting changes that an operator has not seen: a request with an old base revision
// fails, and the error lists what changed since then.
TEST(publishing, an_old_base_revision_is_a_conflict_that_lists_changes) {
  CHECK(publish("cs1").has_value());
  m_objects.m_backend_servers.at("b1").m_slots = 9;
  CHECK(publish("cs2").has_value());
  auto stale = request("o1", "cs3", read(std::string(valid_declarations)));
  stale.m_base_revision = 1;
  const auto lost = m_publisher.publish(stale);
  CHECK(lost.error().m_kind == publish_error_kind::conflict);
  STRCMP_EQUAL("changed backend_server b1: at revision 1 -> 2",
               to_string(lost.error().m_changes.front()).c_str());
  stale.m_base_revision = 2;
  CHECK(m_publisher.publish(stale).has_value());
}

// Guards against faults in bases that need several chunks: writing them, starting a reader from them, and
// erasing them after a newer base was written.
TEST(publishing, large_sets_are_published_in_chunks) {
  for (int i = 0; i < 5500; ++i) {
    auto server = m_objects.m_backend_servers.at("b1");
    server.m_name = "b" + std::to_string(i);
    server.m_address = "10.0." + std::to_string(i / 200) + "." + std::to_string(i % 200) + ":9001";
    m_objects.m_backend_servers.insert_or_assign(server.m_name, server);
  }
  CHECK(publish("cs1").has_value());
  CHECK(m_store.list("config/base/", timeout)->size() > 1);
  configuration_replica replica;
  configuration_reader reader(m_store, replica);
  CHECK(*reader.poll(timeout) == apply_outcome::applied);
  CHECK(replica.current()->m_objects == m_objects);
  const auto chunks = m_store.list("config/base/", timeout)->size();
  for (int i = 0; i < 300; ++i) { // These are enough change sets for a second base.
    m_objects.m_backend_servers.at("b7").m_slots = 10 + i;
    CHECK(publish("small" + std::to_string(i)).has_value());
    CHECK(*reader.poll(timeout) == apply_outcome::applied);
  }
  CHECK(replica.current()->m_objects == m_objects);
  LONGS_EQUAL(chunks, m_store.list("config/base/", timeout)->size()); // The old base must be erased.
}

// Guards against a scheduler configuration that sends requests to servers that are leaving, in an
// availability zone that is out of service, or in another cell, and against rollouts that start anew with
// each update.
TEST(publishing, the_scheduler_configuration_follows_states_cells_and_times) {
  snapshot value{7, "cs", m_objects};
  auto& servers = value.m_objects.m_backend_servers;
  servers["b2"] = servers.at("b1");
  servers["b2"].m_name = "b2";
  servers["b2"].m_state = backend_server_state::leaving;
  servers["b3"] = servers.at("b1");
  servers["b3"].m_name = "b3";
  servers["b3"].m_cell = "elsewhere";
  const clock_reading now{time_point(seconds(100)),
                          std::chrono::sys_days(std::chrono::year(2026) / 12 / 4) + std::chrono::hours(9)};
  const auto config = make_scheduler_configuration(value, "main", now);
  LONGS_EQUAL(7, config.m_revision);
  LONGS_EQUAL(2, config.m_backend_servers.size());
  CHECK(config.m_backend_servers[0].m_in_service);
  CHECK(!config.m_backend_servers[1].m_in_service);
  CHECK(config.m_services[0].m_rollout->m_due == time_point(seconds(100 + 3600)));
  CHECK(config.m_services[0].m_rollout->m_started == time_point(seconds(100)));
  const clock_reading later{now.m_monotonic + seconds(5), now.m_wall + seconds(5)};
  const auto next = make_scheduler_configuration(value, "main", later, &config);
  CHECK(next.m_services[0].m_rollout->m_started == time_point(seconds(100)));
  CHECK(next.m_services[0].m_rollout->m_due == config.m_services[0].m_rollout->m_due);
  value.m_objects.m_availability_zones.at("z").m_in_service = false;
  CHECK(!make_scheduler_configuration(value, "main", now).m_backend_servers[0].m_in_service);
}

// Guards against fields of a status record that the codec loses or swaps.
TEST(publishing, status_record_round_trip) {
  status_record record{"main", 5, {{"d1", 3, 250, true}}, {}, {{"b1", true, true, 2, 1}}};
  record.m_rollouts.push_back({"s", "s-v2", scheduler::rollout_state::rolled_back, 0, "breaker"});
  const auto decoded = decode_status(encode(record));
  CHECK(decoded.has_value());
  CHECK(decoded->m_members == record.m_members);
  STRCMP_EQUAL(encode(record).c_str(), encode(*decoded).c_str());
  CHECK(!decode_status("{}").has_value());
}
