#include "cardamompond/gateway/peer_report.hpp"

#include <CppUTest/TestHarness.h>

#include <limits>
#include <random>

using namespace cardamompond;
using namespace cardamompond::gateway;

namespace {

peer_report make_report() {
  peer_report report;
  report.m_daemon = "d1";
  report.m_availability_zone = "a";
  report.m_exchange_address = "127.0.0.1:7600";
  report.m_incarnation = 7;
  report.m_sequence = 9;
  report.m_collections[1] = {10, 8, milliseconds(30)};
  report.m_loads = {{77, 3, {0.05, 1e-5, 0.03, 4}, true}};
  report.m_quota_use = {{11, 1234.5}};
  report.m_recent_use_only = true;
  report.m_outcomes = {{"chat", "v2", "r1", {3, 1, {{513, 7, 255, 2}}}, 6}};
  report.m_rolled_back_orders = {{"chat", 5}};
  report.m_crashes = {{{1, 2}, {3, 4}}};
  return report;
}

} // namespace

TEST_GROUP(peer_report){};

// Guards against fields that are swapped or left out when a report is encoded and decoded.
TEST(peer_report, report_round_trip) {
  const std::string bytes = encode_report(make_report());
  const auto read = decode_report(bytes);
  CHECK(read.has_value());
  STRCMP_EQUAL("d1", read->m_daemon.c_str());
  STRCMP_EQUAL("a", read->m_availability_zone.c_str());
  UNSIGNED_LONGS_EQUAL(7, read->m_incarnation);
  UNSIGNED_LONGS_EQUAL(10, read->m_collections[1].m_as_of);
  UNSIGNED_LONGS_EQUAL(8, read->m_collections[1].m_changed_at);
  LONGS_EQUAL(30, read->m_collections[1].m_age.count());
  UNSIGNED_LONGS_EQUAL(3, read->m_loads.front().m_running);
  CHECK(read->m_loads.front().m_failing);
  DOUBLES_EQUAL(0.03, read->m_loads.front().m_speed.m_event_interval_s, 1e-6);
  CHECK(read->m_recent_use_only);
  UNSIGNED_LONGS_EQUAL(11, read->m_quota_use.front().first);
  DOUBLES_EQUAL(1234.5, read->m_quota_use.front().second, 1e-3);
  UNSIGNED_LONGS_EQUAL(1, read->m_outcomes.front().m_outcomes.m_bad);
  UNSIGNED_LONGS_EQUAL(6, read->m_outcomes.front().m_order);
  CHECK(read->m_outcomes.front().m_outcomes.m_timings ==
        make_report().m_outcomes.front().m_outcomes.m_timings);
  UNSIGNED_LONGS_EQUAL(5, read->m_rolled_back_orders.front().second);
  UNSIGNED_LONGS_EQUAL(4, read->m_crashes.front().m_servers.back());
}

// Guards against damaged messages that end the process, and against an empty message being decoded as a
// report.
TEST(peer_report, damaged_messages_do_not_end_the_process) {
  const std::string bytes = encode_report(make_report());
  std::mt19937 random(42);
  for (int i = 0; i < 3000; ++i) {
    std::string damaged = bytes.substr(0, random() % (bytes.size() + 1));
    for (int j = 0; j < 3 && !damaged.empty(); ++j) {
      damaged[random() % damaged.size()] = static_cast<char>(random());
    }
    static_cast<void>(decode_report(damaged));
    static_cast<void>(decode_snapshot(damaged));
  }
  CHECK_FALSE(decode_report(std::string_view("")).has_value());
}

// Guards against NaN and negative numbers of a peer spoiling sums and averages.
TEST(peer_report, invalid_numbers_are_decoded_as_zero) {
  auto report = make_report();
  report.m_quota_use.front().second = std::numeric_limits<double>::quiet_NaN();
  report.m_loads.front().m_speed.m_event_interval_s = -1;
  const auto read = decode_report(encode_report(report));
  DOUBLES_EQUAL(0, read->m_quota_use.front().second, 0);
  DOUBLES_EQUAL(0, read->m_loads.front().m_speed.m_event_interval_s, 0);
}

// Guards against document content being truncated at a zero byte.
TEST(peer_report, snapshot_round_trip) {
  const std::string content("{\"a\":\0}", 7);
  const auto read = decode_snapshot(encode_snapshot({12, {{"main", 11, content}}}));
  CHECK(read.has_value());
  UNSIGNED_LONGS_EQUAL(12, read->m_as_of);
  UNSIGNED_LONGS_EQUAL(11, read->m_documents.front().m_revision);
  CHECK(read->m_documents.front().m_content == content);
}
