#pragma once

#include "cardamompond/core/time.hpp"
#include "cardamompond/fleet/part_evidence.hpp"
#include "cardamompond/fleet/recent_answers.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace cardamompond::fleet {

// A crash of a backend server that ran a request with a suspected prompt part.
struct part_crash {
  std::uint32_t m_server = 0; // server_id_hash of its id
  milliseconds m_age{0};
  std::uint32_t m_events = 0; // of the longest answer to a request with the part that the crash cut off
};

// An answer that goes on.
struct answer_progress {
  std::uint32_t m_events = 0;
  milliseconds m_age{0};
};

// What a daemon knows of one prompt part, for the other daemons. Ages count from the time of the report.
struct part_suspicion {
  std::uint64_t m_part = 0;
  std::uint32_t m_position = 0; // in the prompts, from 0
  std::vector<part_crash> m_crashes;
  // Age of the last whole answer to a request with this part; none: no answer.
  std::optional<milliseconds> m_answer_age;
  std::optional<answer_progress> m_progress; // of the answer that went furthest; none: no answer goes on
};

// Detects parts of prompts that crash each backend server that begins to answer a request with them. A crash
// ends all requests on the server, so it is evidence against every part of those; part_evidence tells what
// disproves it.
//
// A part is refused after several crashes without an answer. Crashes within a short time count as one if the
// part was answered lately, because a common cause, such as the loss of a zone, ends requests on many servers
// at once. If it was not, several servers that crash together may be the work of the part: they count as two,
// and one request at a time finds out. Crashes that a refused or tested part explains do not count against
// the other parts of the requests on those servers. Of two parts with the same crashes the one whose answers
// were cut off earlier is refused, then the later one in the prompts, because fewer requests share it.
class part_crash_register {
public:
  // Whether requests with a part may be sent to backend servers.
  enum class verdict {
    allowed,
    test_only, // one daemon of the group may send a request, to find out whether the part still crashes
               // servers
    refused
  };

  // Records that `server` ended the connection of a request with these parts, in the order of the prompt,
  // when `events` of its answer had come.
  void record_crash(std::span<const std::uint64_t> parts, std::uint32_t server, std::uint64_t events,
                    time_point now);

  // Records that a server sent the whole answer to a request with these parts.
  void record_answer(std::span<const std::uint64_t> parts, time_point now);

  // Records that an answer to a request with these parts goes on, and how many events of it have come.
  void record_progress(std::span<const std::uint64_t> parts, std::uint64_t events, time_point now);

  // Records that this daemon sends a request to test a part. Until a crash or an answer follows, or until the
  // time for a test has passed, judge() returns `refused` for this part.
  void record_test(std::uint64_t part, time_point now);

  // Adds the evidence that another daemon reports.
  void merge(const part_suspicion& suspicion, time_point now);

  struct judgement {
    verdict m_verdict = verdict::allowed;
    std::uint64_t m_part = 0; // the part that the verdict is about
  };

  // Returns the strictest verdict on any of the parts.
  judgement judge(std::span<const std::uint64_t> parts, time_point now) const;

  // Whether one more crash would refuse one of the parts. A request with such a part that ended without an
  // answer must not be sent to another server.
  bool is_suspected(std::span<const std::uint64_t> parts) const;

  // Returns the strongest suspicions for a report, at most `max_count`. Without `with_unchanged`, those that
  // did not change recently are left out.
  std::vector<part_suspicion> recent(std::size_t max_count, bool with_unchanged, time_point now) const;

  // A change of the verdict on a part since the previous call.
  struct verdict_change {
    std::uint64_t m_part = 0;
    verdict m_verdict = verdict::allowed;
    std::size_t m_crashes = 0; // crashes that count against the part
  };

  // Updates the verdicts, which also depend on the time, removes expired evidence and returns the changes.
  // Must be called after each change of the evidence and several times a second.
  std::vector<verdict_change> update(time_point now);

private:
  struct record {
    std::uint32_t m_position = 0;
    part_evidence m_evidence;
    time_point m_changed;
    std::optional<time_point> m_tested_at;
    verdict m_verdict = verdict::allowed;
  };

  static bool is_being_tested(const record& of, time_point now);
  record* find_or_add(std::uint64_t part, time_point now);
  void remove_expired(time_point now);

  std::unordered_map<std::uint64_t, record> m_records;
  recent_answers m_recent_answers;
  std::vector<time_point> m_explained; // crashes of the parts that are refused or tested
};

// Returns the verdict as it appears in logs, e.g. "refused".
const char* to_string(part_crash_register::verdict verdict);

} // namespace cardamompond::fleet
