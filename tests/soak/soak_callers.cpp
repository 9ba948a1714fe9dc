#include "soak_callers.hpp"

#include <boost/fiber/operations.hpp>

#include <algorithm>
#include <array>

namespace cardamompond::testing {
namespace {

using platform::standins::backend_engine;

constexpr milliseconds patience{2'500};

// Returns whether a response with that status states that the request was not run.
bool promises_not_run(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

// Returns the complete body of a stream for the request.
std::string whole_stream(std::string_view id) {
  std::string all;
  for (int number = 1; number <= backend_engine::events_per_stream; ++number) {
    all += backend_engine::make_event(id, number);
  }
  return all;
}

} // namespace

soak_callers::soak_callers(soak_group& group, int count, std::uint64_t seed)
    : m_group(group)
    , m_seed(seed) {
  for (int i = 0; i < count; ++i) {
    ++m_running;
    net::fiber_runtime::spawn([this, own = seed + static_cast<std::uint64_t>(i)] {
      run(own);
      --m_running;
    });
  }
}

void soak_callers::run(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  constexpr std::array<std::string_view, 4> kinds = {"order", "read", "guide", "note"};
  while (!m_stopping) {
    const auto& daemon = m_group.daemons()[random() % m_group.daemons().size()];
    send(m_group.callers_address(daemon), kinds[random() % kinds.size()]);
    boost::this_fiber::sleep_for(milliseconds(random() % 20));
  }
}

int soak_callers::send(const std::string& address, std::string_view kind) {
  const std::string id = std::to_string(m_seed) + "-" + std::to_string(++m_history->m_sent);
  if (kind == "order" || kind == "guide") {
    m_history->m_at_most_once.push_back(id);
  }
  const std::string host = kind == "moved" ? m_group.moved_host() : "h";
  const auto answer =
      m_group.client().fetch(address,
                             {"POST",
                              "/" + std::string(kind) + "/x",
                              {{"Host", host},
                               {"X-Cardamompond-Request-Id", id},
                               {"X-Cardamompond-Deadline-Ms", std::to_string(patience.count())},
                               {"Api-Key", "k"}},
                              "body of " + id},
                             patience);
  if (!answer) {
    return 0;
  }
  check_answer(kind, id, *answer);
  return answer->m_status;
}

void soak_callers::check_answer(std::string_view kind, const std::string& id,
                                const net::http_response& answer) {
  if (promises_not_run(answer.m_status)) {
    m_history->m_refused.push_back(id);
    return;
  }
  if (answer.m_status != 200) {
    return;
  }
  m_history->m_answered.push_back(id);
  const bool streamed = kind == "guide" || kind == "note";
  const std::string expected = streamed ? whole_stream(id) : "answer " + id;
  if (answer.m_body != expected) {
    m_history->m_violations.push_back(std::string(kind) + " " + id +
                                      ": the body is not the complete response to this request");
  }
  if (!net::find_header(answer.m_headers, "X-Cardamompond-Server-Stamp")) {
    m_history->m_violations.push_back(std::string(kind) + " " + id +
                                      ": status 200 without the header X-Cardamompond-Server-Stamp");
  }
}

void soak_callers::stop() {
  m_stopping = true;
  wait_until("the last calls are complete", patience + milliseconds(3'000), [&] { return m_running == 0; });
}

const soak_history& soak_callers::judge() {
  for (const auto& id : m_history->m_at_most_once) {
    if (const int runs = m_group.run_counter().runs(id); runs > 1) {
      m_history->m_violations.push_back(id + ": ran " + std::to_string(runs) + " times");
    }
  }
  for (const auto& id : m_history->m_refused) {
    if (m_group.run_counter().runs(id) > 0 &&
        std::find(m_history->m_at_most_once.begin(), m_history->m_at_most_once.end(), id) !=
            m_history->m_at_most_once.end()) {
      m_history->m_violations.push_back(id + ": refused as not run, but ran");
    }
  }
  return *m_history;
}

} // namespace cardamompond::testing
