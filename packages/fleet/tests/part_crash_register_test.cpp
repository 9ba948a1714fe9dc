#include "part_crash_fixture.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <array>

using namespace cardamompond;
using namespace cardamompond::fleet;
using namespace cardamompond::fleet::testing;

using verdict = part_crash_register::verdict;

TEST_GROUP_BASE(part_crash_register, part_crash_fixture){};

// Guards against a prompt part that crashes one server after the other because no two requests with it are
// alike. The parts that it shares its requests with are answered elsewhere and must stay allowed.
TEST(part_crash_register, only_the_part_without_answers_is_refused) {
  refuse_deadly_part();
  CHECK(judge(deadly_part) == verdict::refused);
  CHECK(judge(system_part) == verdict::allowed);
  CHECK(judge(document_part) == verdict::allowed);
}

// Guards against popular parts that are refused because a zone or many servers fail at the same moment, while
// requests with these parts run on each of them.
TEST(part_crash_register, servers_that_crash_together_count_once_against_a_part_that_was_answered) {
  answer({system_part});
  m_now += milliseconds(100);
  for (int i = 0; i < 40; ++i) {
    crash({system_part});
    m_now += milliseconds(3);
  }
  m_now += seconds(2);
  CHECK(judge(system_part) == verdict::allowed);
}

// Guards against a popular part that is refused or held back while the same few racks fail in turns.
TEST(part_crash_register, racks_that_fail_in_turns_leave_a_popular_part_allowed) {
  for (int rack = 0; rack < 8; ++rack) {
    answer({system_part, document_part});
    m_now += milliseconds(50);
    for (std::uint32_t server = 1; server <= 3; ++server) {
      crash(m_register, {system_part, document_part}, 3 * (rack % 3) + server, m_now);
      m_now += milliseconds(20);
    }
    for (int i = 0; i < 20; ++i) {
      m_now += milliseconds(100);
      CHECK(judge(system_part) == verdict::allowed);
      CHECK(judge(document_part) == verdict::allowed);
    }
  }
}

// Guards against a part that crashes groups of servers because requests with it come several at a time and
// each group counts as one crash.
TEST(part_crash_register, servers_that_crash_together_with_an_unanswered_part_make_it_wait_for_a_test) {
  answer({system_part});
  m_now += milliseconds(100);
  for (int i = 0; i < 5; ++i) {
    crash({system_part, deadly_part});
    m_now += milliseconds(4);
  }
  CHECK(judge(deadly_part) == verdict::allowed); // a report of an answer may be under way
  m_now += milliseconds(600);
  CHECK(judge(deadly_part) == verdict::test_only);
  CHECK(judge(system_part) == verdict::allowed);
  m_register.record_test(deadly_part, m_now);
  CHECK(judge(deadly_part) == verdict::refused);
  m_now += milliseconds(50);
  crash({system_part, deadly_part});
  CHECK(judge(deadly_part) == verdict::refused);
  m_now += seconds(50);
  CHECK(judge(deadly_part) == verdict::refused);
  CHECK(judge(system_part) == verdict::allowed);
}

// Guards against a sound part that stays held back after a rack failed that ran the first requests with it.
// The first answer clears it, and a test that brings none leads to another one soon.
TEST(part_crash_register, an_unanswered_part_whose_servers_shared_a_rack_is_allowed_after_its_first_answer) {
  for (int i = 0; i < 3; ++i) {
    crash({document_part});
  }
  m_now += seconds(1);
  CHECK(judge(document_part) == verdict::test_only);
  CHECK_FALSE(m_register.is_suspected(std::array{document_part}));
  m_register.record_test(document_part, m_now);
  m_now += seconds(11);
  CHECK(judge(document_part) == verdict::test_only);
  m_register.record_test(document_part, m_now);
  m_now += seconds(1);
  answer({document_part});
  CHECK(judge(document_part) == verdict::allowed);
}

// Guards against a popular part that is held back by a daemon that has seen no answer with it itself.
TEST(part_crash_register, an_answer_at_another_daemon_before_the_crashes_counts) {
  part_crash_register other;
  other.record_answer(std::array{document_part}, m_now);
  m_now += milliseconds(100);
  for (int i = 0; i < 3; ++i) {
    crash({document_part});
  }
  m_now += milliseconds(100);
  for (const auto& each : m_register.recent(8, false, m_now)) {
    other.merge(each, m_now);
  }
  m_now += milliseconds(100);
  for (const auto& each : other.recent(8, false, m_now)) {
    m_register.merge(each, m_now);
  }
  m_now += seconds(1);
  CHECK(judge(document_part) == verdict::allowed);
  CHECK(judge(other, document_part, m_now) == verdict::allowed);
}

// Guards against parts that are refused because a single faulty server breaks all connections.
TEST(part_crash_register, crashes_of_one_server_are_not_evidence) {
  for (int i = 0; i < 5; ++i) {
    crash(m_register, {document_part}, 7, m_now);
    m_now += seconds(1);
  }
  CHECK(judge(document_part) == verdict::allowed);
}

// Guards against rare parts that are refused because requests with them were retried on servers which a
// deadly part crashed. They have no answer of their own to clear them.
TEST(part_crash_register, crashes_explained_by_a_refused_part_do_not_count_against_others) {
  crash({deadly_part});
  m_now += seconds(1);
  for (int i = 0; i < 3; ++i) {
    crash({document_part, deadly_part});
    m_now += seconds(1);
  }
  CHECK(judge(deadly_part) == verdict::refused);
  CHECK(judge(document_part) == verdict::allowed);
}

// Guards against the refusal of a part that comes before the deadly one in the same prompts, while no other
// request with it has been answered yet.
TEST(part_crash_register, the_later_of_two_parts_with_the_same_crashes_is_refused) {
  for (const std::uint64_t later_part : {std::uint64_t(1), std::uint64_t(1'000)}) {
    part_crash_register local;
    part_crash_register other;
    for (std::uint32_t server = 1; server <= 3; ++server) {
      crash(local, {document_part, later_part}, server, m_now);
      m_now += milliseconds(400);
    }
    for (const auto& each : local.recent(8, false, m_now)) {
      other.merge(each, m_now);
    }
    for (part_crash_register* each : {&local, &other}) {
      CHECK(judge(*each, later_part, m_now + seconds(1)) == verdict::refused);
      CHECK(judge(*each, document_part, m_now + seconds(1)) == verdict::allowed);
    }
  }
}

// Guards against a part that stays refused although requests with it are answered, at this daemon or another.
TEST(part_crash_register, an_answer_clears_the_part) {
  refuse_deadly_part();
  part_crash_register other;
  for (const auto& each : m_register.recent(8, false, m_now)) {
    other.merge(each, m_now);
  }
  CHECK(judge(other, deadly_part, m_now) == verdict::refused);
  answer({deadly_part});
  CHECK(judge(deadly_part) == verdict::allowed);
  for (const auto& each : m_register.recent(8, false, m_now)) {
    other.merge(each, m_now);
  }
  CHECK(judge(other, deadly_part, m_now) == verdict::allowed);
}

// Guards against crashes that are spread over the daemons so that none of them sees enough, and against
// reports that are counted twice because they arrive repeatedly or by way of other daemons.
TEST(part_crash_register, crashes_seen_by_other_daemons_count_once) {
  part_crash_register one;
  part_crash_register other;
  crash(one, {deadly_part}, 1, m_now);
  for (int i = 0; i < 10; ++i) {
    m_now += milliseconds(100);
    for (const auto& each : one.recent(8, false, m_now)) {
      other.merge(each, m_now + milliseconds(2));
    }
    for (const auto& each : other.recent(8, false, m_now)) {
      one.merge(each, m_now + milliseconds(2));
    }
  }
  crash(other, {deadly_part}, 2, m_now);
  m_now += seconds(1);
  CHECK(judge(other, deadly_part, m_now) == verdict::allowed);
  crash(one, {deadly_part}, 3, m_now);
  for (const auto& each : other.recent(8, false, m_now)) {
    one.merge(each, m_now);
  }
  CHECK(judge(one, deadly_part, m_now + seconds(1)) == verdict::refused);
}

// Guards against a request that crashes several servers in a row by itself because it is sent again each
// time, while too few other requests with its part have crashed servers.
TEST(part_crash_register, a_part_is_suspected_after_two_crashes_without_an_answer) {
  const std::array parts = {system_part, deadly_part};
  crash({system_part, deadly_part});
  CHECK_FALSE(m_register.is_suspected(parts));
  m_now += milliseconds(10);
  crash({system_part});
  CHECK_FALSE(m_register.is_suspected(parts));
  m_now += milliseconds(300);
  crash({system_part, deadly_part});
  CHECK(m_register.is_suspected(parts));
  answer({system_part});
  CHECK(m_register.is_suspected(parts));
  answer({deadly_part});
  CHECK_FALSE(m_register.is_suspected(parts));
}

// Guards against old reports that restore a suspicion after an answer, and against evidence that never
// expires because daemons tell it to each other.
TEST(part_crash_register, old_reports_do_not_restore_a_suspicion) {
  refuse_deadly_part();
  const auto reported = m_register.recent(8, false, m_now);
  answer({deadly_part});
  for (const auto& each : reported) {
    m_register.merge(each, m_now);
  }
  CHECK(judge(deadly_part) == verdict::allowed);
  part_crash_register late;
  late.merge(
      {deadly_part, 0, {{1, seconds(700)}, {2, seconds(650)}, {3, seconds(601)}}, std::nullopt, std::nullopt},
      m_now);
  CHECK(late.recent(8, true, m_now).empty());
}

// Guards against a refused part that is never tried again, and against tests that crash servers often: one
// request is allowed a minute after the last crash, and another crash refuses the part for a minute more.
TEST(part_crash_register, a_refused_part_is_tested_rarely) {
  refuse_deadly_part();
  CHECK(judge(deadly_part) == verdict::refused);
  for (int i = 0; i < 4; ++i) {
    m_now += seconds(60);
    CHECK(judge(deadly_part) == verdict::test_only);
    m_register.record_test(deadly_part, m_now);
    CHECK(judge(deadly_part) == verdict::refused);
    m_now += milliseconds(200);
    crash({deadly_part});
    m_now += seconds(59);
    CHECK(judge(deadly_part) == verdict::refused);
  }
  m_now += seconds(601);
  CHECK(judge(deadly_part) == verdict::allowed);
}

// Guards against memory and reports that grow with the number of parts that peers or callers name.
TEST(part_crash_register, suspicions_are_bounded) {
  refuse_deadly_part();
  judge(deadly_part);
  for (std::uint64_t part = 100; part < 5'000; ++part) {
    std::vector<part_crash> crashes;
    for (std::uint32_t i = 0; i < 2; ++i) {
      crashes.push_back({i, milliseconds(1'000 * i)});
    }
    m_register.merge({part, 0, crashes, std::nullopt, std::nullopt}, m_now);
  }
  CHECK(judge(deadly_part) == verdict::refused);
  UNSIGNED_LONGS_EQUAL(2048, m_register.recent(10'000, true, m_now).size());
  std::vector<part_crash> many(100'000, {1, milliseconds(5)});
  m_register.merge({deadly_part, 0, many, std::nullopt, std::nullopt}, m_now);
  const auto reported = m_register.recent(1, true, m_now);
  CHECK(reported.front().m_crashes.size() <= 8);
}

// Guards against one crash that counts several times, because a daemon that stood still reads its reports
// late and takes the ages in them for those of different crashes.
TEST(part_crash_register, late_reports_of_one_crash_count_once) {
  m_register.record_crash(std::array{deadly_part}, 7, 0, m_now);
  m_now += milliseconds(500);
  m_register.record_crash(std::array{deadly_part}, 8, 0, m_now);
  m_now += seconds(3);
  for (int age_ms = 0; age_ms < 700; age_ms += 100) {
    m_register.merge({deadly_part, 0, {{8, milliseconds(age_ms)}}, std::nullopt, std::nullopt}, m_now);
  }
  m_now += seconds(1);
  CHECK(judge(deadly_part) == verdict::allowed);
}
