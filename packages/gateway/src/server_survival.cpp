#include "cardamompond/gateway/server_survival.hpp"

#include <boost/fiber/operations.hpp>

#include <algorithm>
#include <exception>
#include <mutex>

namespace cardamompond::gateway {
namespace {

// A process that ends closes its sockets one after the other. A connection that was opened between two of
// them is reset or closed, and one that is opened after this time is refused.
constexpr milliseconds second_attempt_delay{5};

} // namespace

std::string_view to_string(survival_verdict verdict) {
  constexpr std::string_view names[] = {"answered", "gone", "unknown"};
  return names[static_cast<std::size_t>(verdict)];
}

survival_verdict server_survival::find_out(const fleet::backend_server& server, time_point until) {
  const std::string key = server.m_id + ' ' + server.m_address;
  inquiry& shared = m_inquiries[key];
  ++shared.m_users;
  const survival_verdict verdict = share_question(shared, server, until);
  if (--shared.m_users == 0) {
    m_inquiries.erase(key);
  }
  ++m_counts[static_cast<std::size_t>(verdict)];
  return verdict;
}

survival_verdict server_survival::share_question(inquiry& shared, const fleet::backend_server& server,
                                                 time_point until) {
  // The answer to a question that is under way may have left the server before it crashed. A process that is
  // gone stays gone.
  const std::uint64_t first_valid = shared.m_begun + 1;
  const auto has_verdict = [&] {
    return shared.m_ended >= first_valid || shared.m_verdict == survival_verdict::gone;
  };
  shared.m_latest_until = std::max(shared.m_latest_until, until);
  while (!has_verdict()) {
    // The time limit of the fiber that asks is that of the question, so that a shorter one would end it as
    // unknown for all others. The fiber with the latest limit waits until it asks or all limits have passed.
    if (shared.m_begun == shared.m_ended && until >= shared.m_latest_until) {
      ++shared.m_begun;
      shared.m_latest_until = time_point::min(); // fibers that come from now on need another question
      try {
        shared.m_verdict = ask(server, until);
      } catch (const std::exception&) {
        shared.m_verdict = survival_verdict::unknown; // the other fibers wait for an end of the question
      }
      shared.m_ended = shared.m_begun;
      shared.m_changed.notify_all();
      break;
    }
    std::unique_lock lock(shared.m_mutex);
    if (shared.m_changed.wait_until(lock, until) == boost::fibers::cv_status::timeout && !has_verdict()) {
      return survival_verdict::unknown;
    }
  }
  return shared.m_verdict;
}

survival_verdict server_survival::ask(const fleet::backend_server& server, time_point until) {
  for (bool is_last = false;; is_last = true) {
    switch (m_probe.probe(server, until)) {
    case probe_result::answered:
      return survival_verdict::answered;
    case probe_result::other_server:
    case probe_result::refused:
      return survival_verdict::gone;
    case probe_result::failed:
      return survival_verdict::unknown;
    case probe_result::closed:
      if (is_last) {
        return survival_verdict::gone;
      }
      break;
    case probe_result::reset: // also by a server that has as many connections as it accepts
      if (is_last) {
        return survival_verdict::unknown;
      }
      break;
    }
    boost::this_fiber::sleep_for(second_attempt_delay);
  }
}

} // namespace cardamompond::gateway
