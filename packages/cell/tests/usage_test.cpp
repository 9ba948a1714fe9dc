#include "cardamompond/cell/usage_ledger.hpp"
#include "cardamompond/cell/usage_meter.hpp"

#include <CppUTest/TestHarness.h>

using namespace cardamompond;
using namespace cardamompond::cell;

namespace {

const utc_day today = *parse_day("2026-12-04");
const usage_key key{"acme", "chat", "one"};
constexpr usage_counters sample_counters{10, 20, 1, 5000};

usage_report make_report(const std::string& name, std::uint64_t incarnation, std::uint64_t requests,
                         utc_day day = today) {
  return {name, incarnation, {{day, {{key, {0, 0, requests, 0}}}}}};
}

} // namespace

TEST_GROUP(usage) {
  usage_ledger m_ledger;
  time_point m_now;
  object_version m_version = 0;

  std::string write(usage_ledger & ledger) {
    const auto text = ledger.prepare_write(today, m_now).value();
    ledger.merge_stored(today, decode_usage_object(text).value(), ++m_version, m_now);
    return text;
  }
  std::uint64_t total_requests(const usage_ledger& ledger) {
    return ledger.totals(today)[key].m_requests;
  }
};

// Guards against a change of the format of days, which are part of platform keys, and against accepting
// malformed days.
TEST(usage, days_are_parsed_and_formatted) {
  STRCMP_EQUAL("2026-12-04", to_string(day_of(1'796'342'400'000 + 86'399'999)).c_str());
  STRCMP_EQUAL("usage/c1/2026-12-04", usage_object_key("c1", today).c_str());
  for (const char* bad :
       {"2026-13-01", "2026-02-30", "2026-2-030", "x026-12-04", "+026-12-04", "2026-12-4"}) {
    CHECK_FALSE(parse_day(bad).has_value());
  }
}

// Guards against usage that a new owner does not receive, and against counters that are sent again although
// they have not changed.
TEST(usage, a_meter_sends_what_the_owner_has_not_acknowledged) {
  usage_meter meter({"d1", 1});
  meter.set_epoch(4);
  meter.add(today, key, sample_counters);
  const auto first_report = meter.unacknowledged();
  meter.add(today, key, sample_counters);
  meter.acknowledge(first_report, 3);
  CHECK(meter.unacknowledged().m_days.at(today).at(key) == (usage_counters{20, 40, 2, 10000}));
  meter.acknowledge(meter.unacknowledged(), 4);
  CHECK(meter.unacknowledged().m_days.empty());
  meter.set_epoch(5);
  LONGS_EQUAL(2, meter.unacknowledged().m_days.at(today).at(key).m_requests);
  meter.expire(today + std::chrono::days(3));
  CHECK(meter.unacknowledged().m_days.empty());
}

// Guards against an unbounded number of keys. Totals must stay exact, and client accounts are counted
// separately for as long as possible.
TEST(usage, a_meter_bounds_its_number_of_keys) {
  usage_meter meter({"d1", 1, 10});
  for (int i = 0; i < 100; ++i) {
    meter.add(today, {"a" + std::to_string(i), "s", "one"}, sample_counters);
  }
  const auto table = meter.unacknowledged().m_days.at(today);
  LONGS_EQUAL(16, table.size());
  LONGS_EQUAL(1, table.at({"a10", "*", "one"}).m_requests);
  LONGS_EQUAL(85, table.at({"*", "*", "one"}).m_requests);
}

// Guards against accepting malformed texts of other daemons and owners.
TEST(usage, malformed_texts_are_refused) {
  const auto text = encode(make_report("d1", 7, 3));
  CHECK(decode_usage_report(text)->m_days == make_report("d1", 7, 3).m_days);
  m_ledger.merge(make_report("d1", 7, 3), today, m_now);
  const auto object = write(m_ledger);
  STRCMP_EQUAL(object.c_str(), encode(decode_usage_object(object).value()).c_str());
  for (const auto& [from, to] : {std::pair("7", "-7"), {"\"name\":\"d1\"", "\"name\":1"}, {"[", "[[],"}}) {
    for (const bool is_report : {true, false}) {
      std::string bad = is_report ? text : object;
      bad.replace(bad.find(from), std::string(from).size(), to);
      CHECK_FALSE(is_report ? decode_usage_report(bad).has_value() : decode_usage_object(bad).has_value());
    }
  }
  // The usage of an incarnation that is both folded and listed would be counted twice.
  CHECK_FALSE(decode_usage_object(R"({"keys":[],"folded":[],"ended":[{"name":"d","incarnation":2}],)"
                                  R"("incarnations":[{"name":"d","incarnation":2,"counters":[]}]})")
                  .has_value());
}

// Guards against incarnations that are folded twice, before their last reports can have arrived, or without
// having been replaced.
TEST(usage, replaced_incarnations_are_folded_once) {
  m_ledger.merge(make_report("d1", 1, 5), today, m_now);
  m_ledger.merge(make_report("d1", 2, 1), today, m_now);
  m_now += std::chrono::minutes(9);
  CHECK(decode_usage_object(write(m_ledger))->m_last_folded.empty());
  CHECK(m_ledger.merge(make_report("d1", 1, 6), today, m_now));
  m_now += std::chrono::minutes(2);
  const auto folded = decode_usage_object(write(m_ledger)).value();
  LONGS_EQUAL(1, folded.m_last_folded.at("d1"));
  LONGS_EQUAL(6, folded.m_folded.at(key).m_requests);
  CHECK_FALSE(m_ledger.merge(make_report("d1", 1, 9), today, m_now));
  usage_ledger other;
  other.merge(make_report("d1", 1, 6), today, m_now);
  other.merge_stored(today, folded, m_version, m_now);
  CHECK_FALSE(other.merge(make_report("d1", 1, 9), today, m_now));
  for (auto* ledger : {&m_ledger, &other}) {
    write(*ledger);
    LONGS_EQUAL(7, total_requests(*ledger));
  }
}

// Guards against reports for days out of range, and against days that an owner keeps for ever because it
// cannot write them.
TEST(usage, days_are_accepted_and_dropped_by_age) {
  const auto days = [](int count) { return std::chrono::days(count); };
  for (const int offset : {-4, 2}) {
    CHECK_FALSE(m_ledger.merge(make_report("d1", 1, 1, today + days(offset)), today, m_now));
  }
  CHECK(m_ledger.merge(make_report("d1", 1, 1, today - days(3)), today, m_now));
  LONGS_EQUAL(1, m_ledger.unwritten_reports().size());
  m_ledger.expire(today + days(4));
  LONGS_EQUAL(1, m_ledger.day_count());
  m_ledger.expire(today + days(5));
  LONGS_EQUAL(0, m_ledger.day_count());
}

// Guards against objects over the platform's limit of 1 MB: a day of the expected size must fit, and a larger
// one must be reported as an error.
TEST(usage, an_object_stays_under_a_megabyte) {
  for (const int keys : {1024, 4096}) {
    usage_ledger ledger;
    for (int daemon = 0; daemon < 16; ++daemon) {
      usage_report large{"entry-host-" + std::to_string(daemon), 1'800'000'000'000, {}};
      for (int i = 0; i < keys; ++i) {
        large.m_days[today][{"account" + std::to_string(i), "service", "one"}] = {1'000'000'000, 100'000'000,
                                                                                  1'000'000, 100'000'000'000};
      }
      ledger.merge(large, today, m_now);
    }
    CHECK_EQUAL(keys == 1024, ledger.prepare_write(today, m_now).has_value());
  }
}
