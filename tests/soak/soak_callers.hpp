#pragma once

#include "soak_group.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace cardamompond::testing {

// What callers saw of the requests that may run at most once, and what was wrong with answers.
struct soak_history {
  std::vector<std::string> m_refused;      // ids answered with a status that promises "not run"
  std::vector<std::string> m_at_most_once; // all ids of requests that may run once
  std::vector<std::string> m_answered;     // ids with a whole success
  std::vector<std::string> m_violations;   // in words
  std::uint64_t m_sent = 0;
};

// Callers that send requests of all kinds to all daemons over connections that they keep, until stopped.
class soak_callers {
public:
  soak_callers(soak_group& group, int count, std::uint64_t seed);

  // Ends the callers and waits for their last answers.
  void stop();

  // What was seen, with the runs of the engines: adds violations for second runs and false refusals.
  const soak_history& judge();

  // Sends one request of that kind and checks its answer; the status, or 0 without a whole answer.
  int send(const std::string& address, std::string_view kind);

private:
  void run(std::uint64_t seed);
  void check_answer(std::string_view kind, const std::string& id, const net::http_response& answer);

  soak_group& m_group;
  std::shared_ptr<soak_history> m_history = std::make_shared<soak_history>();
  std::uint64_t m_seed;
  bool m_stopping = false;
  int m_running = 0;
};

} // namespace cardamompond::testing
