#include "cardamompond/gateway/backend_call.hpp"

#include "cardamompond/gateway/response_match.hpp"
#include "cardamompond/net/response_match.hpp"
#include "cardamompond/telemetry/log.hpp"

#include <algorithm>
#include <array>
#include <tuple>

namespace cardamompond::gateway {
namespace {

// A connection within a region takes a few milliseconds. TCP sends a lost SYN again only after a second;
// trying another server is faster.
constexpr milliseconds connect_timeout{250};

// A pooled connection that was idle for long may have been dropped without notice. A request that cannot be
// retried therefore uses only a connection that was in use recently. A reservation tries its connection
// before the request is sent, so that only the Keep-Alive of the server limits its age.
constexpr milliseconds max_idle_idempotent{4'000};
constexpr milliseconds max_idle_at_most_once{1'000};
constexpr milliseconds max_idle_before_reservation{30'000};

// Number of late responses to other requests that are skipped on a pooled connection, on which each earlier
// request may have left one.
constexpr int max_stray_responses = 32;

// Responses that are not streamed are held in memory. Plain services respond with a few kilobytes. The limit
// also holds for all responses together that are skipped because they belong to other requests.
constexpr std::size_t max_response_bytes = 4U << 20U;

// An event is held in memory until it is complete. Engines send events of a few hundred bytes.
constexpr std::size_t max_event_bytes = 1U << 20U;

// A server ends a request at its deadline with a response of its own. The daemon waits this much longer for
// it to arrive.
constexpr milliseconds response_margin{60};

// A response that goes on this long before the deadline has not ended before it. The time is that by which
// timers are late.
constexpr milliseconds deadline_watch_margin{2};

// Interval at which a silent call is offered to be given up again.
constexpr milliseconds silence_check_interval{100};

constexpr std::string_view server_gone = "the server was gone after the end of the connection";

constexpr int status_no_content = 204;
constexpr int status_misdirected = 421;
constexpr int first_non_success_status = 300;

// A reservation costs the engine no work. If it does not respond within this time, its connection or the
// engine itself is down.
constexpr milliseconds reservation_timeout{250};
constexpr std::size_t max_reservation_bytes = 4'096;

} // namespace

std::string_view to_string(call_outcome outcome) {
  constexpr std::string_view names[] = {"answered",    "relayed",     "refused", "no_room",
                                        "misdirected", "unreachable", "broken",  "silent",
                                        "caller_gone", "out_of_time", "withheld"};
  return names[static_cast<std::size_t>(outcome)];
}

backend_call::backend_call(net::http_client& client, const request_protocol& protocol, call_options options)
    : m_client(client)
    , m_protocol(protocol)
    , m_options(std::move(options)) {}

void backend_call::cancel() {
  m_cancelled = true;
  if (m_call) {
    m_call->abort();
  }
}

milliseconds backend_call::io_timeout() const {
  const duration left = m_options.m_deadline + response_margin - monotonic_now();
  return std::max(milliseconds(1), std::chrono::duration_cast<milliseconds>(left));
}

call_outcome backend_call::abort_after_error(const net::call_error& error) {
  m_failure = error.m_message;
  m_closed_by_server = error.m_closed_by_server;
  // An offer that fails says nothing of the run beside it, which goes on.
  if (m_running && m_sent && m_options.m_relay != nullptr) {
    m_options.m_relay->m_completeness.record_cut({});
  }
  m_call->abort();
  if (m_cancelled) {
    return call_outcome::caller_gone;
  }
  if (monotonic_now() >= m_options.m_deadline) {
    return call_outcome::out_of_time;
  }
  return error.m_timeout ? call_outcome::silent : call_outcome::broken;
}

std::optional<call_outcome> backend_call::check_may_send() {
  if (m_options.m_may_send()) {
    return std::nullopt;
  }
  m_failure = "the server stated that it takes no more requests";
  return call_outcome::withheld;
}

milliseconds backend_call::max_idle_time() const {
  if (m_options.m_reservation_lifetime > milliseconds(0)) {
    return max_idle_before_reservation;
  }
  return m_options.m_idempotent ? max_idle_idempotent : max_idle_at_most_once;
}

std::optional<call_outcome> backend_call::connect(milliseconds max_idle) {
  auto opened = m_client.open(m_options.m_parameters.m_server->m_address,
                              {max_idle, connect_timeout, m_options.m_connected_after});
  if (!opened) {
    m_failure = opened.error().m_message;
    return m_cancelled ? call_outcome::caller_gone : call_outcome::unreachable;
  }
  m_call = std::move(*opened);
  if (may_repeat_response(m_call->history(), m_options.m_request_id)) {
    log_event(log_level::info, "connection_replaced",
              {{"request_id", m_options.m_request_id},
               {"backend_server", m_options.m_parameters.m_server->m_id},
               {"noted_requests", m_call->history().m_unsuccessful_requests.size()}});
    m_call.reset();
    return connect(milliseconds(0));
  }
  if (m_cancelled) {
    m_call->abort();
    return call_outcome::caller_gone;
  }
  return std::nullopt;
}

// Reserves room on the server. The request itself has not been sent yet, so after any failure it can still go
// to another server. A response without an id is accepted although it may be a late copy: the request has not
// been sent, and the server ignores an outdated reservation. A refusal that asks for a pause closes the
// connection, because a copy of it could not be told from a new one and would begin the pause anew.
std::optional<call_outcome> backend_call::reserve() {
  if (const auto outcome = check_may_send()) {
    return outcome;
  }
  const auto request =
      m_protocol.make_reservation_request(m_options.m_reserved_tokens, m_options.m_reservation_lifetime);
  const auto abort_reservation = [&](const net::call_error& error) {
    const auto outcome = abort_after_error(error);
    m_reservation_timed_out = error.m_timeout;
    return outcome == call_outcome::caller_gone || outcome == call_outcome::out_of_time
               ? outcome
               : call_outcome::unreachable;
  };
  m_call->set_deadline(monotonic_now() + reservation_timeout);
  if (const auto sent = m_call->send(request, reservation_timeout); !sent) {
    return abort_reservation(sent.error());
  }
  for (int stray = 0; stray <= max_stray_responses; ++stray) {
    auto head = m_call->read_head(reservation_timeout);
    if (!head) {
      return abort_reservation(head.error());
    }
    const response_metadata metadata = m_protocol.read_response_metadata(*head);
    if (metadata.m_request_id) { // a late response to an earlier request
      note_skipped(metadata, "reservation", head->m_status);
    } else {
      m_options.m_on_server_notices(metadata, m_call->proxy());
    }
    std::array<char, 1024> buffer{};
    while (true) {
      auto part = m_call->read_some(buffer, reservation_timeout);
      if (!part) {
        return abort_reservation(part.error());
      }
      if (part->empty()) {
        break;
      }
      if (head->m_body.size() + part->size() > max_reservation_bytes) {
        return abort_reservation({"the answer to a reservation is too large", true, false});
      }
      head->m_body.append(part->data(), part->size());
    }
    if (metadata.m_request_id) {
      continue;
    }
    note_response(m_call->history(), metadata);
    auto reservation = m_protocol.read_reservation(*head);
    if (metadata.m_pause) {
      m_call->abort();
    }
    if (!reservation) {
      m_failure = "the server has no room";
      return call_outcome::no_room;
    }
    m_options.m_parameters.m_reservation_id = std::move(*reservation);
    return std::nullopt;
  }
  return abort_reservation({"only answers to other requests came", true, false});
}

std::optional<call_outcome> backend_call::send(time_point until) {
  if (const auto outcome = check_may_send()) {
    return outcome;
  }
  // Rounded up, so that a server which stops at its deadline does not stop before the daemon's.
  const auto left = std::chrono::ceil<milliseconds>(m_options.m_deadline - monotonic_now());
  if (left <= milliseconds(0)) {
    m_call->abort();
    return call_outcome::out_of_time;
  }
  m_options.m_parameters.m_remaining_time = left;
  m_call->set_deadline(until);
  const auto sent = m_call->send(
      m_protocol.make_backend_request(*m_options.m_caller_request, m_options.m_parameters), io_timeout());
  m_sent = sent.has_value() || sent.error().m_sent;
  if (!sent) {
    const auto outcome = abort_after_error(sent.error());
    return m_sent || outcome == call_outcome::caller_gone ? outcome : call_outcome::unreachable;
  }
  return std::nullopt;
}

void backend_call::note_skipped(const response_metadata& metadata, std::string_view awaiting, int status) {
  log_skipped_response(m_options.m_request_id, m_options.m_parameters.m_server->m_id, awaiting, metadata,
                       status);
  m_options.m_on_server_notices(lasting_statements(metadata), m_call->proxy());
}

// Reads a response that belongs to another request to its end.
std::optional<call_outcome> backend_call::skip_response() {
  const auto skipped = net::skip_body(*m_call, max_response_bytes - m_skipped_bytes, io_timeout());
  if (!skipped) {
    return abort_after_error(skipped.error());
  }
  m_skipped_bytes += *skipped;
  return std::nullopt;
}

// Reads the head of the response. Skips responses to other requests, since the response to an earlier request
// may arrive late. A refusal that may be a late copy is not believed: the server may be working on the
// request. With `wait_until`, returns without a head if none arrives by then after a skipped response.
std::optional<call_outcome> backend_call::read_head(std::optional<time_point> wait_until) {
  for (int stray = 0; stray <= max_stray_responses; ++stray) {
    auto head = m_call->read_head(io_timeout());
    if (!head) {
      return abort_after_error(head.error());
    }
    const response_metadata metadata = m_protocol.read_response_metadata(*head);
    if (!answers_request(metadata, m_options.m_request_id, m_call->history())) {
      note_skipped(metadata, "answer", head->m_status);
      if (const auto outcome = skip_response()) {
        return outcome;
      }
      if (wait_until && !m_call->wait_for_input(*wait_until)) {
        return std::nullopt;
      }
      continue;
    }
    m_options.m_on_server_notices(metadata, m_call->proxy());
    note_response(m_call->history(), metadata);
    m_response_identified = metadata.m_request_id.has_value();
    m_call->history().m_states_request_ids |= m_response_identified;
    m_options.m_on_response_metadata(metadata);
    m_response = std::move(*head);
    m_head_read = true;
    if (metadata.m_not_run || m_response.m_status >= first_non_success_status) {
      note_unsuccessful(m_call->history(), m_options.m_request_id);
    }
    if (metadata.m_not_run || m_response.m_status == status_misdirected) {
      close_if_unidentified();
      return m_response.m_status == status_misdirected ? call_outcome::misdirected : call_outcome::refused;
    }
    if (!metadata.m_has_server_stamp || metadata.m_content_encoded) {
      return abort_after_error(
          {metadata.m_content_encoded ? "the answer is encoded" : "the answer is not signed", true, false});
    }
    return std::nullopt;
  }
  return abort_after_error({"only answers to other requests came", true, false});
}

// Closes the connection after a response without an id. A late copy of it could not be told from the response
// to the next request.
void backend_call::close_if_unidentified() {
  if (!m_response_identified) {
    m_call->abort();
  }
}

call_outcome backend_call::read_body() {
  std::array<char, 8192> buffer{};
  while (true) {
    auto part = m_call->read_some(buffer, io_timeout());
    if (!part) {
      return abort_after_error(part.error());
    }
    if (part->empty()) {
      if (m_response.m_status < first_non_success_status &&
          is_server_gone({.m_ends_with_connection = m_call->ends_with_connection()})) {
        return abort_after_error({std::string(server_gone), true, false, true});
      }
      close_if_unidentified();
      return call_outcome::answered;
    }
    if (m_response.m_body.size() + part->size() > max_response_bytes) {
      return abort_after_error({"the answer is too large", true, false});
    }
    if (m_options.m_relay != nullptr && m_options.m_relay->m_exchange != nullptr &&
        !m_options.m_relay->m_exchange->reserve_response(m_response.m_body.size() + part->size())) {
      // Not a failure of the server.
      m_failure = "no memory for the answer";
      m_call->abort();
      return call_outcome::caller_gone;
    }
    m_response.m_body.append(part->data(), part->size());
  }
}

// Forwards events to the caller. The head is sent with the first event only, so that a failure before the
// first event can still be answered differently.
std::optional<call_outcome> backend_call::forward_events(std::string_view events, std::size_t event_count) {
  stream_relay& relay = *m_options.m_relay;
  if (events.empty()) {
    return std::nullopt;
  }
  const time_point now = monotonic_now();
  if (relay.m_head_sent) {
    relay.m_longest_pause = std::max(relay.m_longest_pause, now - relay.m_last_event);
  }
  relay.m_last_event = now;
  if (event_count > 0) {
    relay.m_completeness.record_event();
  }
  relay.m_events_relayed += event_count;
  m_events_relayed += event_count;
  record_event_gap(event_count);
  if (!relay.m_head_sent) {
    relay.m_head_sent = true;
    relay.m_status = m_response.m_status;
    relay.m_first_event = relay.m_last_event;
    m_options.m_on_first_token();
    if (!relay.m_exchange->begin(m_response.m_status, m_protocol.make_caller_headers(m_response))) {
      return call_outcome::caller_gone;
    }
  }
  if (!relay.m_exchange->write(events)) {
    return call_outcome::caller_gone;
  }
  report_progress();
  return std::nullopt;
}

// Reports the speed of the server every few events, so that a slow server is noticed before a long stream
// ends.
void backend_call::report_progress() {
  constexpr std::uint64_t events_per_report = 8;
  const stream_relay& relay = *m_options.m_relay;
  if (m_progress_reported_at == time_point{}) {
    m_progress_reported_at = relay.m_last_event;
    m_events_reported = relay.m_events_relayed;
  } else if (relay.m_events_relayed >= m_events_reported + events_per_report) {
    m_options.m_on_progress(relay.m_events_relayed - m_events_reported,
                            relay.m_last_event - m_progress_reported_at);
    m_progress_reported_at = relay.m_last_event;
    m_events_reported = relay.m_events_relayed;
  }
}

run_end backend_call::observe_run_end() const {
  return {.m_events = m_events_relayed,
          .m_inside_event = is_inside_event(m_options.m_relay->m_splitter.remaining_bytes()),
          .m_body_bytes_due = m_call->body_bytes_due(),
          .m_ends_with_connection = m_call->ends_with_connection(),
          .m_ended_at_deadline = m_call->response_went_on(),
          .m_has_no_body =
              m_options.m_caller_request->m_method == "HEAD" || m_response.m_status == status_no_content};
}

// Whether the server has ended together with its connection, if that is the end of the response. The
// connection of a server that crashes ends like that of one that has sent everything.
bool backend_call::is_server_gone(const run_end& end) const {
  return end.m_ends_with_connection && m_call->proxy().empty() && m_options.m_server_is_gone(end);
}

// Checks whether the orderly end of the response can be that of the stream.
std::optional<call_outcome> backend_call::check_stream_end() {
  auto& completeness = m_options.m_relay->m_completeness;
  const run_end end = observe_run_end();
  std::string_view contradiction = completeness.find_contradiction(end);
  if (contradiction.empty() && is_server_gone(end)) {
    contradiction = server_gone;
  }
  if (contradiction.empty()) {
    return std::nullopt;
  }
  completeness.record_cut(end);
  if (end.m_ended_at_deadline) {
    m_failure = contradiction;
    m_call->abort();
    return call_outcome::out_of_time; // no failure of the server
  }
  return abort_after_error({std::string(contradiction), true, false, end.m_ends_with_connection});
}

void backend_call::record_event_gap(std::size_t events) {
  constexpr std::size_t max_event_gaps = 32;
  const time_point now = m_options.m_relay->m_last_event;
  if (m_last_part_at != time_point{} && events > 0 && m_event_gaps.size() < max_event_gaps) {
    m_event_gaps.push_back((now - m_last_part_at) / static_cast<std::int64_t>(events));
  }
  m_last_part_at = now;
}

duration backend_call::median_event_gap() const {
  constexpr std::size_t min_event_gaps = 3;
  if (m_event_gaps.size() < min_event_gaps) {
    return duration::zero();
  }
  std::vector<duration> gaps = m_event_gaps;
  const auto middle = gaps.begin() + static_cast<std::ptrdiff_t>(gaps.size() / 2);
  std::nth_element(gaps.begin(), middle, gaps.end());
  return *middle;
}

call_outcome backend_call::relay_events() {
  stream_relay& relay = *m_options.m_relay;
  if (relay.m_head_sent && m_response.m_status != relay.m_status) {
    return abort_after_error({"the status is not that of the stream it continues", true, false});
  }
  relay.m_splitter.continue_stream();
  m_call->watch_response_at(m_options.m_deadline - deadline_watch_margin);
  std::array<char, 8192> buffer{};
  while (true) {
    auto part = m_call->read_some(buffer, io_timeout());
    if (!part) {
      relay.m_completeness.record_cut(observe_run_end());
      return abort_after_error(part.error());
    }
    if (m_cancelled) {
      m_call->abort();
      return call_outcome::caller_gone;
    }
    const bool stream_ended = part->empty();
    if (stream_ended) {
      if (const auto outcome = check_stream_end()) {
        return *outcome;
      }
    }
    const std::string_view events = stream_ended ? relay.m_splitter.remaining_bytes()
                                                 : relay.m_splitter.feed({part->data(), part->size()});
    if (!stream_ended && !relay.m_splitter.ids_increase()) {
      return abort_after_error({"the id of an event does not follow the one before", true, false});
    }
    if (const auto outcome = forward_events(events, stream_ended ? 0 : relay.m_splitter.event_count())) {
      m_call->abort();
      return *outcome;
    }
    if (!stream_ended && relay.m_splitter.remaining_bytes().size() > max_event_bytes) {
      relay.m_completeness.record_cut(observe_run_end());
      return abort_after_error({"an event of the answer is too large", true, false});
    }
    if (stream_ended) {
      close_if_unidentified();
      return relay.m_head_sent ? call_outcome::relayed : call_outcome::answered;
    }
  }
}

std::optional<call_outcome> backend_call::prepare() {
  m_prepared = true;
  const time_point started = monotonic_now();
  const auto outcome = connect_and_reserve();
  m_reservation_time = monotonic_now() - started;
  return outcome;
}

std::optional<call_outcome> backend_call::connect_and_reserve() {
  if (const auto outcome = connect(max_idle_time())) {
    return outcome;
  }
  if (m_options.m_reservation_lifetime > milliseconds(0)) {
    auto reserved = reserve();
    if (reserved == call_outcome::unreachable && m_call->reused() && !m_reservation_timed_out) {
      // The server may just have closed the idle connection.
      if (const auto outcome = connect(milliseconds(0))) {
        return outcome;
      }
      reserved = reserve();
    }
    if (reserved) {
      return reserved;
    }
    if (!m_call->reusable()) {
      // The request itself goes over another connection, which no reservation has tried.
      m_options.m_reservation_lifetime = milliseconds(0);
      if (const auto outcome = connect(max_idle_time())) {
        return outcome;
      }
    }
  }
  return check_may_send();
}

std::optional<call_outcome> backend_call::offer(milliseconds timeout) {
  const time_point until = std::min(monotonic_now() + timeout, m_options.m_deadline);
  if (const auto outcome = send(until)) {
    return outcome;
  }
  if (!m_call->wait_for_input(until)) {
    return std::nullopt;
  }
  if (const auto outcome = read_head(until)) {
    return outcome;
  }
  if (m_head_read && m_response.m_status >= first_non_success_status) {
    m_call->abort();
    return call_outcome::answered;
  }
  return std::nullopt;
}

call_outcome backend_call::run() {
  m_running = true;
  if (!m_prepared) {
    if (const auto outcome = prepare()) {
      return *outcome;
    }
  }
  if (m_options.m_inactivity_timeout > duration::zero()) {
    m_call->on_silence(m_options.m_inactivity_timeout, silence_check_interval, m_options.m_give_up);
  }
  const time_point until = m_options.m_deadline + response_margin;
  m_call->keep_connection_until(until);
  if (!m_sent) {
    if (const auto outcome = send(until)) {
      return *outcome;
    }
  }
  m_call->set_deadline(until);
  if (!m_head_read) {
    if (const auto outcome = read_head()) {
      return *outcome;
    }
  }
  if (m_options.m_streamed && m_response.m_status < first_non_success_status) {
    return relay_events();
  }
  const call_outcome outcome = read_body();
  if (outcome == call_outcome::answered) {
    m_options.m_on_first_token();
  }
  return outcome;
}

} // namespace cardamompond::gateway
