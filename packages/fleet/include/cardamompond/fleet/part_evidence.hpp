#pragma once

#include "cardamompond/core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace cardamompond::fleet {

// The evidence that requests with one prompt part crash the backend servers that answer them.
//
// A part that crashes servers does so at the same place of each answer, mostly at its beginning. So a whole
// answer disproves all earlier crashes, an answer that goes on disproves those that cut off clearly shorter
// ones, and only crashes that cut answers off at about the same place count together. Whatever else ends
// servers cuts answers off anywhere.
class part_evidence {
public:
  struct crash {
    std::uint32_t m_server = 0; // server_id_hash of its id
    time_point m_at;
    std::uint32_t m_events = 0; // of the longest answer to a request with the part that the crash cut off
  };

  // An answer that goes on, and how many events of it had come by then.
  struct progress {
    std::uint32_t m_events = 0;
    time_point m_at;
  };

  // The crashes that count against the part.
  struct tally {
    std::size_t m_count = 0;
    bool m_several_servers = false;
    std::optional<time_point> m_together_at; // when several servers crashed together, which counts as two
    std::optional<time_point> m_enough_at;   // when the count reached the number that refuses the part
  };

  // A part is refused after this many crashes, on at least two servers.
  static constexpr std::size_t min_crashes = 3;

  // Adds a crash. Returns whether it was news: reports of known or disproved crashes change nothing.
  bool add_crash(const crash& added);

  // Adds a whole answer. Returns whether it disproved crashes.
  bool add_answer(time_point answered_at);

  // Adds an answer that goes on. Returns whether it disproved crashes.
  bool add_progress(const progress& added);

  // Notes that the part was answered before any crash of this evidence.
  void set_answered_before(std::optional<time_point> answered_at) { m_answered_at = answered_at; }

  // Drops the crashes before this time.
  void expire(time_point before);

  // Counts the crashes, without those that happened together with one of the explained ones.
  tally count(std::span<const time_point> explained) const;

  // The crashes after the last answer, in the order of time.
  const std::vector<crash>& crashes() const { return m_crashes; }
  const std::optional<time_point>& answered_at() const { return m_answered_at; }
  const std::optional<progress>& furthest_progress() const { return m_progress; }

  // Returns the number of crashes that the last answer disproved.
  std::size_t disproved() const { return m_disproved; }

  // Returns the events of the longest answer that a crash cut off.
  std::uint32_t longest_answer() const;

private:
  template <typename Predicate> bool remove_disproved(const Predicate& is_disproved);
  tally count_from(std::uint32_t fewest_events, std::span<const time_point> explained) const;

  std::vector<crash> m_crashes;
  std::optional<time_point> m_answered_at;
  std::optional<progress> m_progress;
  std::size_t m_disproved = 0;
};

} // namespace cardamompond::fleet
