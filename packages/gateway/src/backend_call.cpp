#include "cardamompond/gateway/backend_call.hpp"

#include <algorithm>
#include <array>
#include <tuple>

namespace cardamompond::gateway {
namespace {

// A connection within a region takes a few milliseconds; a lost packet is sent again after a second, and
// another server is the better choice by then.
constexpr milliseconds connect_timeout{250};

// A kept connection that has been idle for long may have been dropped without notice. A request that cannot
// be repeated takes only one that was in use just now.
constexpr milliseconds max_idle_idempotent{4'000};
constexpr milliseconds max_idle_at_most_once{1'000};

// Answers to other requests that may come first on a kept connection.
constexpr int max_stray_answers = 2;

// Whole answers are held in memory; the plain services' answers are some kilobytes.
constexpr std::size_t max_answer_bytes = 4U << 20U;

// The server ends a request at its deadline with an answer of its own, which takes a moment to arrive.
constexpr milliseconds answer_margin{60};

constexpr int status_misdirected = 421;

// An engine answers a reservation without any work; one that does not answer in this time has lost its
// connection or its power.
constexpr milliseconds reservation_timeout{250};
constexpr std::size_t max_reservation_bytes = 4'096;

} // namespace

std::string_view to_string(call_end end) {
  constexpr std::string_view names[] = {"answered",    "relayed", "refused", "no_room",     "misdirected",
                                        "unreachable", "broken",  "silent",  "caller_gone", "out_of_time"};
  return names[static_cast<std::size_t>(end)];
}

backend_call::backend_call(net::http_client& client, const request_protocol& protocol, call_options options)
    : m_client(client)
    , m_protocol(protocol)
    , m_options(std::move(options)) {}

void backend_call::abandon() {
  m_abandoned = true;
  if (m_call) {
    m_call->abort();
  }
}

milliseconds backend_call::wait_time() const {
  const duration left = m_options.m_deadline + answer_margin - monotonic_now();
  const duration wait =
      m_options.m_silence_limit > duration::zero() ? std::min(left, m_options.m_silence_limit) : left;
  return std::max(milliseconds(1), std::chrono::duration_cast<milliseconds>(wait));
}

call_end backend_call::fail(const net::call_error& error) {
  m_failure = error.m_message;
  m_call->abort();
  if (m_abandoned) {
    return call_end::caller_gone;
  }
  if (monotonic_now() >= m_options.m_deadline) {
    return call_end::out_of_time;
  }
  return error.m_timeout ? call_end::silent : call_end::broken;
}

std::optional<call_end> backend_call::connect() {
  const auto idle = m_options.m_idempotent ? max_idle_idempotent : max_idle_at_most_once;
  auto opened = m_client.open(m_options.m_terms.m_server->m_address, {idle, connect_timeout});
  if (!opened) {
    m_failure = opened.error().m_message;
    return m_abandoned ? call_end::caller_gone : call_end::unreachable;
  }
  m_call = std::move(*opened);
  if (m_abandoned) {
    m_call->abort();
    return call_end::caller_gone;
  }
  return std::nullopt;
}

// Asks the server for a place. Nothing of the request has been sent yet, so that every failure leaves it free
// to go elsewhere.
std::optional<call_end> backend_call::reserve() {
  const auto request =
      m_protocol.make_reservation_request(m_options.m_reserved_tokens, m_options.m_reservation);
  const auto failed = [&](const net::call_error& error) {
    const auto end = fail(error);
    return end == call_end::caller_gone || end == call_end::out_of_time ? end : call_end::unreachable;
  };
  if (const auto sent = m_call->send(request, reservation_timeout); !sent) {
    return failed(sent.error());
  }
  for (int stray = 0; stray <= max_stray_answers; ++stray) {
    auto head = m_call->read_head(reservation_timeout);
    if (!head) {
      return failed(head.error());
    }
    std::array<char, 1024> buffer{};
    while (true) {
      auto part = m_call->read_some(buffer, reservation_timeout);
      if (!part) {
        return failed(part.error());
      }
      if (part->empty()) {
        break;
      }
      if (head->m_body.size() + part->size() > max_reservation_bytes) {
        return failed({"the answer to a reservation is too large", true, false});
      }
      head->m_body.append(part->data(), part->size());
    }
    if (m_protocol.read_answer(*head).m_request_id) {
      continue; // a late answer to an earlier request
    }
    auto reservation = m_protocol.read_reservation(*head);
    if (!reservation) {
      m_failure = "the server has no room";
      return call_end::no_room;
    }
    m_options.m_terms.m_reservation = std::move(*reservation);
    return std::nullopt;
  }
  return failed({"only answers to other requests came", true, false});
}

std::optional<call_end> backend_call::send() {
  const auto left = std::chrono::duration_cast<milliseconds>(m_options.m_deadline - monotonic_now());
  if (left <= milliseconds(0)) {
    m_call->abort();
    return call_end::out_of_time;
  }
  m_options.m_terms.m_time_left = left;
  const auto sent =
      m_call->send(m_protocol.make_backend_request(*m_options.m_from_caller, m_options.m_terms), wait_time());
  if (!sent) {
    const auto end = fail(sent.error());
    return sent.error().m_sent || end == call_end::caller_gone ? end : call_end::unreachable;
  }
  return std::nullopt;
}

// Skips answers that bear the id of another request: a server may answer an earlier one late.
std::optional<call_end> backend_call::read_head() {
  for (int stray = 0; stray <= max_stray_answers; ++stray) {
    auto head = m_call->read_head(wait_time());
    if (!head) {
      return fail(head.error());
    }
    const answer_facts facts = m_protocol.read_answer(*head);
    if (facts.m_request_id && *facts.m_request_id != m_options.m_request_id) {
      std::array<char, 4096> skipped{};
      while (true) {
        auto part = m_call->read_some(skipped, wait_time());
        if (!part) {
          return fail(part.error());
        }
        if (part->empty()) {
          break;
        }
      }
      continue;
    }
    m_options.m_on_facts(facts);
    m_answer = std::move(*head);
    if (facts.m_not_run || m_answer.m_status == status_misdirected) {
      return m_answer.m_status == status_misdirected ? call_end::misdirected : call_end::refused;
    }
    if (!facts.m_signed || facts.m_encoded) {
      return fail({facts.m_encoded ? "the answer is encoded" : "the answer is not signed", true, false});
    }
    return std::nullopt;
  }
  return fail({"only answers to other requests came", true, false});
}

call_end backend_call::read_whole() {
  std::array<char, 8192> buffer{};
  while (true) {
    auto part = m_call->read_some(buffer, wait_time());
    if (!part) {
      return fail(part.error());
    }
    if (part->empty()) {
      return call_end::answered;
    }
    if (m_answer.m_body.size() + part->size() > max_answer_bytes) {
      return fail({"the answer is too large", true, false});
    }
    m_answer.m_body.append(part->data(), part->size());
  }
}

// Sends the head with the first event, so that a failure before it can still get another answer.
std::optional<call_end> backend_call::pass_on(std::string_view events) {
  stream_relay& relay = *m_options.m_relay;
  if (events.empty()) {
    return std::nullopt;
  }
  relay.m_last_event = monotonic_now();
  relay.m_events_passed += relay.m_events.event_count();
  if (!relay.m_begun) {
    relay.m_begun = true;
    relay.m_first_event = relay.m_last_event;
    m_options.m_on_first_answer();
    if (!relay.m_exchange->begin(m_answer.m_status, m_protocol.make_caller_headers(m_answer))) {
      return call_end::caller_gone;
    }
  }
  if (!relay.m_exchange->write(events)) {
    return call_end::caller_gone;
  }
  note_progress();
  return std::nullopt;
}

// Tells the speed of the server in portions, so that a long stream is known to be slow before it ends.
void backend_call::note_progress() {
  constexpr std::uint64_t portion = 8;
  const stream_relay& relay = *m_options.m_relay;
  if (m_noted_at == time_point{}) {
    m_noted_at = relay.m_last_event;
    m_events_noted = relay.m_events_passed;
  } else if (relay.m_events_passed >= m_events_noted + portion) {
    m_options.m_on_progress(relay.m_events_passed - m_events_noted, relay.m_last_event - m_noted_at);
    m_noted_at = relay.m_last_event;
    m_events_noted = relay.m_events_passed;
  }
}

call_end backend_call::relay_events() {
  stream_relay& relay = *m_options.m_relay;
  relay.m_events.drop_pending();
  std::array<char, 8192> buffer{};
  while (true) {
    auto part = m_call->read_some(buffer, wait_time());
    if (!part) {
      return fail(part.error());
    }
    if (m_abandoned) {
      m_call->abort();
      return call_end::caller_gone;
    }
    const bool ended = part->empty();
    const std::string_view events =
        ended ? relay.m_events.rest() : relay.m_events.feed({part->data(), part->size()});
    if (const auto end = pass_on(events)) {
      m_call->abort();
      return *end;
    }
    if (ended) {
      return relay.m_begun ? call_end::relayed : call_end::answered;
    }
  }
}

call_end backend_call::run() {
  if (const auto end = connect()) {
    return *end;
  }
  if (m_options.m_reservation > milliseconds(0)) {
    if (const auto end = reserve()) {
      return *end;
    }
    if (!m_call->reusable()) {
      if (const auto end = connect()) {
        return *end;
      }
    }
  }
  if (const auto end = send()) {
    return *end;
  }
  if (const auto end = read_head()) {
    return *end;
  }
  constexpr int first_failure_status = 300;
  if (m_options.m_streamed && m_answer.m_status < first_failure_status) {
    return relay_events();
  }
  const call_end end = read_whole();
  if (end == call_end::answered) {
    m_options.m_on_first_answer();
  }
  return end;
}

} // namespace cardamompond::gateway
