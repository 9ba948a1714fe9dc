#pragma once

#include "cardamompond/core/time.hpp"
#include "cardamompond/fleet/backend_server.hpp"

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace cardamompond::gateway {

// What one attempt to ask a server has shown.
enum class probe_result {
  answered,     // the server has answered
  other_server, // another server, which uses the address now, has answered
  refused,      // nothing listens at the address
  closed,       // the connection was closed in an orderly way without a response
  reset,        // the connection was reset without a response
  failed        // anything else, such as a timeout
};

// Asks a server something that it answers without work.
class server_probe {
public:
  virtual ~server_probe() = default;

  // Blocks the fiber, at most until the time given.
  virtual probe_result probe(const fleet::backend_server& server, time_point until) = 0;
};

// Whether the process of a server still runs.
enum class survival_verdict {
  answered, // it runs
  gone,     // it has ended
  unknown   // nothing has shown either
};

// Returns the verdict as it appears in logs and metrics, e.g. "gone".
std::string_view to_string(survival_verdict verdict);

// Finds out whether the process of a server has survived the end of its connections: the kernel closes those
// of a process that crashed like those of one that has sent everything. Fibers that ask about the same server
// share its answers, so that it is asked by one of them at a time: by the one that may wait longest. Not
// thread-safe.
class server_survival {
public:
  // `probe` must outlive this object.
  explicit server_survival(server_probe& probe)
      : m_probe(probe) {}

  // Blocks the fiber, at most until the time given.
  survival_verdict find_out(const fleet::backend_server& server, time_point until);

  // Returns how often the verdict was given.
  std::uint64_t count(survival_verdict verdict) const { return m_counts[static_cast<std::size_t>(verdict)]; }

private:
  // The questions to one server while at least one fiber waits for an answer.
  struct inquiry {
    std::size_t m_users = 0;
    std::uint64_t m_begun = 0;
    std::uint64_t m_ended = 0;
    survival_verdict m_verdict = survival_verdict::unknown; // of the question that ended last
    time_point m_latest_until = time_point::min();          // of the fibers that the next question answers
    boost::fibers::mutex m_mutex;
    boost::fibers::condition_variable m_changed;
  };

  survival_verdict share_question(inquiry& shared, const fleet::backend_server& server, time_point until);
  survival_verdict ask(const fleet::backend_server& server, time_point until);

  server_probe& m_probe;
  std::map<std::string, inquiry> m_inquiries; // by id and address
  std::array<std::uint64_t, 3> m_counts{};    // by verdict
};

} // namespace cardamompond::gateway
