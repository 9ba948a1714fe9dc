#include "part_crash_fixture.hpp"

#include <CppUTest/TestHarness.h>

#include <array>

using namespace cardamompond;
using namespace cardamompond::fleet;
using namespace cardamompond::fleet::testing;

using verdict = part_crash_register::verdict;

// Crashes that cut answers off in the middle: what counts against a part, and what disproves it.
TEST_GROUP_BASE(part_crash_places, part_crash_fixture){};

// Guards against a part that crashes one server after the other in the middle of its answers, while events of
// each answer count as a sign that the part is sound.
TEST(part_crash_places, crashes_count_however_many_events_had_come) {
  for (const std::uint64_t events_before : {1, 3, 20, 300}) {
    part_crash_register fresh;
    for (std::uint32_t server = 1; server <= 3; ++server) {
      for (std::uint64_t events = 8; events <= events_before; events += 8) {
        fresh.record_progress(std::array{system_part, deadly_part}, events, m_now);
        m_now += milliseconds(20);
      }
      crash(fresh, {system_part, deadly_part}, server, m_now, events_before);
      m_now += milliseconds(200);
      fresh.record_answer(std::array{system_part}, m_now);
      m_now += seconds(1);
    }
    CHECK(judge(fresh, deadly_part, m_now) == verdict::refused);
    CHECK(judge(fresh, system_part, m_now) == verdict::allowed);
  }
}

// Guards against sound parts of long streams that are refused while engines end one after the other, before
// any of the streams is whole.
TEST(part_crash_places, an_answer_that_goes_beyond_those_cut_off_clears_the_part) {
  for (const std::uint64_t events_before : {25, 50, 75}) {
    crash({document_part}, events_before);
    m_now += seconds(1);
    progress({document_part}, events_before + 7);
    CHECK(m_register.recent(1, true, m_now).front().m_crashes.size() == 1);
    progress({document_part}, events_before + 8);
    CHECK(judge(document_part) == verdict::allowed);
  }
  CHECK(m_register.recent(1, true, m_now).front().m_crashes.empty());
}

// Guards against an answer that goes on at one daemon and is not known to the others, which then refuse the
// part.
TEST(part_crash_places, progress_at_another_daemon_clears_the_part) {
  part_crash_register other;
  for (const std::uint64_t events_before : {25, 24, 30}) {
    crash({document_part}, events_before);
    m_now += milliseconds(400);
  }
  const auto exchange = [&](part_crash_register& from, part_crash_register& to) {
    for (const auto& each : from.recent(8, false, m_now)) {
      to.merge(each, m_now);
    }
  };
  exchange(m_register, other);
  m_now += seconds(1);
  CHECK(judge(other, document_part, m_now) == verdict::refused);
  progress({document_part}, 50);
  exchange(m_register, other);
  CHECK(judge(other, document_part, m_now) == verdict::allowed);
  // Late reports of the crashes change nothing.
  exchange(other, m_register);
  CHECK(judge(document_part) == verdict::allowed);
}

// Guards against a new part that is held back because a rack fails that runs its first streams. A part that
// crashes servers does so at the same place of each answer.
TEST(part_crash_places, streams_of_different_lengths_that_a_rack_cuts_off_count_once) {
  for (const std::uint64_t events_before : {4, 90, 33}) {
    crash({document_part}, events_before);
    m_now += milliseconds(10);
  }
  m_now += seconds(1);
  CHECK(judge(document_part) == verdict::allowed);
  for (int i = 0; i < 3; ++i) {
    crash({deadly_part}, 3);
    m_now += milliseconds(10);
  }
  m_now += seconds(1);
  CHECK(judge(deadly_part) == verdict::test_only);
}

// Guards against the refusal of a sound part whose streams were on each of the servers that a deadly part
// crashed, at the same place of the prompts.
TEST(part_crash_places, of_two_parts_the_one_whose_answers_were_cut_off_earlier_is_refused) {
  for (const std::uint64_t deadly_id : {std::uint64_t(0), std::uint64_t(1'000)}) {
    part_crash_register fresh;
    for (std::uint32_t server = 1; server <= 3; ++server) {
      crash(fresh, {system_part, document_part}, server, m_now, 30 + server);
      crash(fresh, {system_part, deadly_id}, server, m_now, 1);
      m_now += seconds(1);
    }
    CHECK(judge(fresh, deadly_id, m_now) == verdict::refused);
    CHECK(judge(fresh, document_part, m_now) == verdict::allowed);
    CHECK_FALSE(fresh.is_suspected(std::array{document_part}));
  }
}

// Guards against the refusal of a sound part, all of whose long streams are cut off while engines end one
// after the other, before any of them is whole.
TEST(part_crash_places, streams_that_crashes_cut_off_at_different_places_are_no_evidence) {
  for (const std::uint64_t events_before : {20, 90, 150, 60, 33}) {
    crash({document_part}, events_before);
    m_now += milliseconds(700);
    CHECK(judge(document_part) == verdict::allowed);
    CHECK_FALSE(m_register.is_suspected(std::array{document_part}));
  }
}

// Guards against a part that crashes servers at places that vary a little.
TEST(part_crash_places, crashes_at_about_the_same_place_count_among_others) {
  for (const std::uint64_t events_before : {3, 90, 9, 6}) {
    crash({deadly_part}, events_before);
    m_now += seconds(1);
  }
  CHECK(judge(deadly_part) == verdict::refused);
}
