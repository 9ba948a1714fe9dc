#include "cardamompond/net/http_object_store.hpp"
#include "cardamompond/standins/host_list.hpp"
#include "cardamompond/standins/object_api.hpp"
#include "fixture.hpp"

#include <boost/fiber/operations.hpp>

using namespace cardamompond;
using namespace cardamompond::standins;

TEST_GROUP(object_api) {
  standin_fixture<object_api> m_api;
  net::http_object_store m_store{test_runtime(), {.m_address = m_api.m_server.address()}};
  milliseconds m_timeout{2000};
};

// Guards against updates and removals that ignore the expected version. Claims and updates of the object
// config/head rely on this check.
TEST(object_api, updates_only_the_expected_version) {
  const auto created = m_store.put("claims/a b/1", "x", 0, m_timeout);
  CHECK(created.has_value());
  auto repeated = m_store.put("claims/a b/1", "y", 0, m_timeout);
  CHECK(repeated.error().m_kind == store_error_kind::conflict &&
        repeated.error().m_current_version == *created);
  const auto other = m_store.put("other", "z", 0, m_timeout);
  CHECK(*other > *created);
  CHECK(m_store.put("claims/a b/1", "y", *other, m_timeout).error().m_kind == store_error_kind::conflict);
  CHECK(m_store.put("claims/a b/1", "y", *created, m_timeout).has_value());
  LONGS_EQUAL(1, m_store.list("claims/", m_timeout)->size());
  CHECK(m_store.erase("other", *created, m_timeout).error().m_kind == store_error_kind::conflict);
  CHECK(m_store.erase("other", *other, m_timeout).has_value());
  CHECK(m_store.get("other", m_timeout).error().m_kind == store_error_kind::not_found);
  CHECK(m_store.put("large", std::string(1'000'001, 'x'), 0, m_timeout).error().m_kind ==
        store_error_kind::too_large);
}

// Guards against watches that miss a write, or that outlast their timeout or the start of an outage.
TEST(object_api, watch_ends_after_a_write_a_timeout_or_an_outage) {
  const auto first = m_store.put("k", "1", 0, m_timeout);
  net::fiber_runtime::spawn([&] { std::ignore = m_store.put("k", "2", *first, m_timeout); });
  STRCMP_EQUAL("2", m_store.watch("k", *first, m_timeout)->m_value.c_str());
  LONGS_EQUAL(1000, m_store.watch("k", 1000, milliseconds(30))->m_version);
  net::fiber_runtime::spawn([&] { m_api.set_parameters({{"outage", true}}); });
  CHECK(m_store.watch("k", 1000, m_timeout).error().m_kind == store_error_kind::unavailable);
}

// Guards against faults on the wrong side of the effect: a write with a lost reply takes effect, and one with
// a lost request has no effect.
TEST(object_api, loses_requests_before_and_replies_after_the_effect) {
  m_api.set_parameters({{"lose_replies", 1}, {"fault_prefix", "claims/"}});
  CHECK(m_store.put("config", "x", 0, m_timeout).has_value());
  CHECK(m_store.put("claims/1", "x", 0, m_timeout).error().m_kind == store_error_kind::outcome_unknown);
  CHECK(m_store.get("claims/1", m_timeout).has_value());
  m_api.set_parameters({{"lose_requests", 1}});
  CHECK(m_store.put("claims/2", "x", 0, m_timeout).error().m_kind == store_error_kind::outcome_unknown);
  CHECK_FALSE(m_store.get("claims/2", m_timeout).has_value());
  const auto rows = m_api.fetch_history();
  LONGS_EQUAL(3, rows.size());
  STRCMP_EQUAL("reply_lost", rows[1].at("outcome").as_string().c_str());
  CHECK(rows[1].at("executed").as_bool() && !rows[2].at("executed").as_bool());
}

// Guards against stale reads that return the new value too early, and against writes above the rate limit.
TEST(object_api, limits_rates_and_serves_stale_reads) {
  const auto first = m_store.put("k", "old", 0, m_timeout);
  m_api.set_parameters({{"stale_read_ms", 200}});
  CHECK(m_store.put("k", "new", *first, m_timeout).has_value());
  CHECK_FALSE(m_store.get("k", m_timeout).has_value() && m_store.get("k", m_timeout)->m_value == "new");
  boost::this_fiber::sleep_for(milliseconds(250));
  STRCMP_EQUAL("new", m_store.get("k", m_timeout)->m_value.c_str());
  m_api.set_parameters({{"write_rate", 1}});
  CHECK(m_store.put("a", "", 0, m_timeout).has_value());
  CHECK(m_store.put("b", "", 0, m_timeout).error().m_kind == store_error_kind::rate_limited);
}

// Guards against tests that run without their faults because the name of a parameter is misspelt.
TEST(object_api, rejects_invalid_parameter_changes_completely) {
  LONGS_EQUAL(400, m_api.call_status("POST", "/admin/faults", R"({"outage":true,"outtage":true})"));
  LONGS_EQUAL(400, m_api.call_status("POST", "/admin/faults", R"({"outage":"yes"})"));
  LONGS_EQUAL(400, m_api.call_status("POST", "/admin/faults", "{"));
  CHECK(m_store.put("k", "", 0, m_timeout).has_value());
}

TEST_GROUP(host_list) {
  standin_fixture<host_list> m_list;
  std::string fetch_hosts() {
    return m_list.call("GET", "/hosts")->m_body;
  }
};

// Guards against a departure that is listed before its lag has passed, or never.
TEST(host_list, lists_departures_with_their_lag) {
  m_list.set_parameters({{"live", "127.0.0.1:1,127.0.0.1:2"}, {"departure_lag_ms", 100}});
  LONGS_EQUAL(200, m_list.call_status("POST", "/hosts", R"({"address":"127.0.0.1:1","state":"leaving"})"));
  CHECK(fetch_hosts().find("leaving") == std::string::npos);
  boost::this_fiber::sleep_for(milliseconds(150));
  CHECK(fetch_hosts().find(R"({"address":"127.0.0.1:1","state":"leaving"})") != std::string::npos);
}
