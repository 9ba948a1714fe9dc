#include "dispatch_tables.hpp"

#include <algorithm>

namespace cardamompond::fleet {
namespace {

// Duration of the first exclusion of a server that gave no valid response. It doubles with each consecutive
// failure up to the maximum, which is short because crashed engines are back after some seconds.
constexpr duration first_exclusion = milliseconds(400);
constexpr duration max_exclusion = seconds(3);

// Weight of one outcome in the moving average of the failure rate. Healthy plain services fail up to 14 % of
// their calls, so that the average must cover more calls to detect a fault. A faulty model engine is detected
// at its second consecutive failure.
constexpr double plain_outcome_weight = 0.12;
constexpr double batch_outcome_weight = 0.25;

// A server above this failure rate is excluded for failing_exclusion, and then gets one request at a time
// until one succeeds.
constexpr double max_failure_rate = 0.4;
constexpr duration failing_exclusion = seconds(2);

// Time without new requests for a server that refused one for lack of capacity.
constexpr duration full_pause = milliseconds(60);

// A refusal is unexplained if the reports of all daemons put at most this load, as a share of its slots, on
// the server. The server then has requests that no daemon reports, or it drains and the store does not show
// this yet. The pause doubles with each further unexplained refusal.
constexpr double unexplained_refusal_load = 0.7;
constexpr duration first_unexplained_refusal_pause = milliseconds(250);
constexpr duration max_unexplained_refusal_pause = seconds(1);

// Counts the refusal if it is unexplained. Returns the time without new requests for the server.
duration record_refusal(server_row& server) {
  const double load =
      static_cast<double>(server.m_own_running + server.m_peer_running) / server.m_entry.m_slots;
  if (!server.m_uses_batching || load > unexplained_refusal_load) {
    server.m_consecutive_refusals = 0;
    return full_pause;
  }
  const auto doublings = std::min(server.m_consecutive_refusals++, 4U);
  return std::min<duration>(first_unexplained_refusal_pause * (1U << doublings),
                            max_unexplained_refusal_pause);
}

bool counts_as_failure(server_outcome outcome) {
  return outcome == server_outcome::failed || outcome == server_outcome::broken ||
         outcome == server_outcome::timed_out;
}

} // namespace

void update_health(server_row& server, server_outcome outcome, time_point now) {
  if (outcome == server_outcome::not_sent) {
    return;
  }
  if (outcome == server_outcome::refused) {
    server.m_full_until = now + record_refusal(server);
    return;
  }
  server.m_consecutive_refusals = 0;
  if (outcome == server_outcome::unreachable || outcome == server_outcome::misdirected ||
      outcome == server_outcome::broken || outcome == server_outcome::timed_out) {
    const auto doublings = std::min(server.m_consecutive_failures++, 4U);
    const duration pause = std::min<duration>(first_exclusion * (1U << doublings), max_exclusion);
    if (outcome != server_outcome::broken || server.m_consecutive_failures > 1) {
      server.m_excluded_until = std::max(server.m_excluded_until, now + pause);
    }
  } else if (outcome == server_outcome::answered) {
    server.m_consecutive_failures = 0;
  }
  if (outcome == server_outcome::unreachable || outcome == server_outcome::misdirected) {
    return; // the outcome says nothing about the quality of the server's responses
  }
  const bool failed = counts_as_failure(outcome);
  const double weight = server.m_uses_batching ? batch_outcome_weight : plain_outcome_weight;
  server.m_failure_rate = (1 - weight) * server.m_failure_rate + (failed ? weight : 0);
  if (server.m_failure_rate > max_failure_rate || (failed && server.m_on_probation)) {
    server.m_failing_until = now + failing_exclusion;
    server.m_excluded_until = std::max(server.m_excluded_until, server.m_failing_until);
    server.m_on_probation = true;
    server.m_failure_rate = max_failure_rate / 2;
  } else if (!failed) {
    server.m_on_probation = false;
  }
}

} // namespace cardamompond::fleet
