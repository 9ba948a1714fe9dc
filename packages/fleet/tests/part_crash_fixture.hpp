#pragma once

#include "cardamompond/fleet/part_crash_register.hpp"

#include <CppUTest/TestHarness.h>

#include <array>
#include <initializer_list>

namespace cardamompond::fleet::testing {

inline constexpr std::uint64_t system_part = 1;
inline constexpr std::uint64_t document_part = 2;
inline constexpr std::uint64_t deadly_part = 3;

// A register of crashes in virtual time, with servers that are new after each crash.
struct part_crash_fixture : Utest {
  part_crash_register m_register;
  time_point m_now{seconds(1000)};
  std::uint32_t m_next_server = 1;

  static void crash(part_crash_register& at, std::initializer_list<std::uint64_t> parts, std::uint32_t server,
                    time_point now, std::uint64_t events = 0) {
    at.record_crash({parts.begin(), parts.size()}, server, events, now);
  }
  // `events` of the answer had come before the crash.
  void crash(std::initializer_list<std::uint64_t> parts, std::uint64_t events = 0) {
    crash(m_register, parts, m_next_server++, m_now, events);
  }
  void progress(std::initializer_list<std::uint64_t> parts, std::uint64_t events) {
    m_register.record_progress({parts.begin(), parts.size()}, events, m_now);
  }
  void answer(std::initializer_list<std::uint64_t> parts) {
    m_register.record_answer({parts.begin(), parts.size()}, m_now);
  }
  static part_crash_register::verdict judge(part_crash_register& at, std::uint64_t part, time_point now) {
    at.update(now);
    const std::array parts = {part};
    return at.judge(parts, now).m_verdict;
  }
  part_crash_register::verdict judge(std::uint64_t part) { return judge(m_register, part, m_now); }

  // Crashes three servers with the deadly part, each time beside an answered request with the other parts.
  void refuse_deadly_part() {
    for (int i = 0; i < 3; ++i) {
      crash({system_part, document_part, deadly_part});
      m_now += milliseconds(300);
      answer({system_part, document_part});
      m_now += milliseconds(300);
    }
  }
};

} // namespace cardamompond::fleet::testing
