#include "soak_callers.hpp"

#include <boost/fiber/operations.hpp>

#include <algorithm>
#include <array>

namespace cardamompond::testing {
namespace {

using platform::standins::backend_engine;

constexpr milliseconds request_timeout{2'500};

// Returns whether a response with that status states that the request was not run.
bool is_not_run_status(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

// Returns the complete body of a stream for the request.
std::string make_complete_stream(std::string_view id) {
  std::string body;
  for (int number = 1; number <= backend_engine::events_per_stream; ++number) {
    body += backend_engine::make_event(id, number);
  }
  return body;
}

} // namespace

soak_callers::soak_callers(soak_group& group, int caller_count, std::uint64_t seed)
    : m_group(group)
    , m_seed(seed) {
  for (int i = 0; i < caller_count; ++i) {
    ++m_running_callers;
    net::fiber_runtime::spawn([this, caller_seed = seed + static_cast<std::uint64_t>(i)] {
      run(caller_seed);
      --m_running_callers;
    });
  }
}

void soak_callers::run(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  constexpr std::array<std::string_view, 4> routes = {"order", "read", "guide", "note"};
  while (!m_stopping) {
    const auto& daemon = m_group.daemons()[random() % m_group.daemons().size()];
    send(m_group.callers_address(daemon), routes[random() % routes.size()]);
    boost::this_fiber::sleep_for(milliseconds(random() % 20));
  }
}

int soak_callers::send(const std::string& address, std::string_view route) {
  const std::string id = std::to_string(m_seed) + "-" + std::to_string(++m_history->m_request_count);
  if (route == "order" || route == "guide") {
    m_history->m_at_most_once_ids.push_back(id);
  }
  const std::string host = route == "moved" ? m_group.moved_host() : "h";
  const auto response =
      m_group.client().fetch(address,
                             {"POST",
                              "/" + std::string(route) + "/x",
                              {{"Host", host},
                               {"X-Cardamompond-Request-Id", id},
                               {"X-Cardamompond-Deadline-Ms", std::to_string(request_timeout.count())},
                               {"Api-Key", "k"}},
                              "body of " + id},
                             request_timeout);
  if (!response) {
    return 0;
  }
  check_response(route, id, *response);
  return response->m_status;
}

void soak_callers::check_response(std::string_view route, const std::string& id,
                                  const net::http_response& response) {
  if (is_not_run_status(response.m_status)) {
    m_history->m_refused_ids.push_back(id);
    return;
  }
  if (response.m_status != 200) {
    return;
  }
  m_history->m_successful_ids.push_back(id);
  const bool streamed = route == "guide" || route == "note";
  const std::string expected = streamed ? make_complete_stream(id) : "answer " + id;
  if (response.m_body != expected) {
    m_history->m_violations.push_back(std::string(route) + " " + id +
                                      ": the body is not the complete response to this request");
  }
  if (!net::find_header(response.m_headers, "X-Cardamompond-Server-Stamp")) {
    m_history->m_violations.push_back(std::string(route) + " " + id +
                                      ": status 200 without the header X-Cardamompond-Server-Stamp");
  }
}

void soak_callers::stop() {
  m_stopping = true;
  wait_until("the last calls are complete", request_timeout + milliseconds(3'000),
             [&] { return m_running_callers == 0; });
}

const soak_history& soak_callers::check_history() {
  for (const auto& id : m_history->m_at_most_once_ids) {
    if (const int runs = m_group.run_counter().runs(id); runs > 1) {
      m_history->m_violations.push_back(id + ": ran " + std::to_string(runs) + " times");
    }
  }
  for (const auto& id : m_history->m_refused_ids) {
    if (m_group.run_counter().runs(id) > 0 &&
        std::find(m_history->m_at_most_once_ids.begin(), m_history->m_at_most_once_ids.end(), id) !=
            m_history->m_at_most_once_ids.end()) {
      m_history->m_violations.push_back(id + ": refused as not run, but ran");
    }
  }
  return *m_history;
}

} // namespace cardamompond::testing
