#include "cardamompond/ctl/lateness.hpp"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace cardamompond;
using namespace cardamompond::ctl;

namespace {

// A line as the daemon writes it, with the given fields at the end. Of two fields with one name the last
// counts.
std::string ended(const std::string& fields) {
  return "   1.5 front-1 time=2026-09-19T09:53:28.107Z level=INFO event=request_ended request_id=a "
         "result=answered status=200 verdict=may-have-run route=chat dispatches=1 reason=\"a b=c \\\" d\" "
         "age_ms=0 wait_ms=10 queued_ms=10 reserving_ms=5 first_ms=90 first_target_ms=100 "
         "longest_pause_ms=50 pause_target_ms=60 total_ms=900 " +
         fields;
}

attempt_class class_of(const std::string& fields) {
  return classify(parse_ended_attempt(ended(fields)).value());
}

} // namespace

TEST_GROUP(lateness){};

// Guards against answered requests that count as late although they met both targets, or the reverse, and
// against time that is charged to the wrong part of the request's path.
TEST(lateness, late_requests_are_classified_by_the_part_that_took_longest) {
  CHECK(class_of("") == attempt_class::on_time);
  CHECK(class_of("longest_pause_ms=61") == attempt_class::late_pause);
  CHECK(class_of("age_ms=4000") == attempt_class::late_on_arrival);
  CHECK(class_of("queued_ms=80 wait_ms=80 first_ms=130") == attempt_class::late_waiting);
  CHECK(class_of("reserving_ms=200 first_ms=230") == attempt_class::late_reserving);
  CHECK(class_of("wait_ms=300 first_ms=350") == attempt_class::late_dispatches);
  CHECK(class_of("first_ms=130") == attempt_class::late_first_event);
  CHECK(class_of("first_ms=130 first_target_ms=0 pause_target_ms=0") == attempt_class::on_time);
}

TEST(lateness, other_ends_are_classified_by_result_and_verdict) {
  CHECK(class_of("result=queue_full status=503 verdict=not-run") == attempt_class::refused_capacity);
  CHECK(class_of("result=account_limit status=429 verdict=not-run") == attempt_class::refused_quota);
  CHECK(class_of("result=deadline_exceeded status=504") == attempt_class::deadline_passed);
  CHECK(class_of("result=caller_gone status=0") == attempt_class::caller_gone);
  CHECK(class_of("result=broken status=0") == attempt_class::failed);
  CHECK(class_of("status=500") == attempt_class::failed);
}

// Guards against a table that fails on lines of other events, or on lines of daemons that write fewer fields.
TEST(lateness, table_counts_only_ended_requests) {
  lateness_table table;
  CHECK(!table.add_line(""));
  CHECK(!table.add_line("time=x level=INFO event=dispatch_failed request_id=a ms=\"unterminated"));
  CHECK(table.add_line("event=request_ended result=answered route=old"));
  CHECK(table.add_line(ended("")));
  CHECK(table.add_line(ended("first_ms=130")));
  CHECK(table.add_line(ended("first_ms=170")));
  LONGS_EQUAL(4, table.attempts());
  STRCMP_EQUAL("route  class              attempts   share  median ms\n"
               "chat   on time                   1   0.333         90\n"
               "chat   late: first event         2   0.667        170\n"
               "old    on time                   1   1.000          0\n",
               table.to_text().c_str());
  STRCMP_CONTAINS("{\"route\":\"old\",\"class\":\"on time\",\"attempts\":1", table.to_json().c_str());
}
