#include "body_reader.hpp"

#include "cardamompond/telemetry/log.hpp"

#include <boost/beast/core/string.hpp>
#include <boost/fiber/operations.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace cardamompond::daemon {
namespace {

constexpr std::string_view event_stream_type = "text/event-stream";

constexpr std::string_view stream_id_header = "X-Stream-Id";
constexpr int status_ok = 200;

constexpr std::size_t buffer_bytes = 16U << 10U;

// Maximum number of attempts to resume a body after one interruption.
constexpr int max_resume_attempts = 3;
constexpr milliseconds resume_interval{50};

// The delay before a resumption doubles with each one before it that brought nothing.
constexpr milliseconds max_resume_delay{1'000};

// A server that cuts off each response after a few bytes must not fill the log.
constexpr int max_logged_interruptions = 4;
constexpr std::size_t max_logged_id = 64; // the server's id is external input

std::string_view header_value(const net::http_response& head, std::string_view name) {
  return net::find_header(head.m_headers, name).value_or("");
}

// Returns the value of a Content-Type header without its parameters.
std::string_view media_type(const net::http_response& head) {
  const auto type = header_value(head, "Content-Type");
  return type.substr(0, type.find_first_of("; \t"));
}

std::optional<std::uint64_t> read_length(const net::http_response& head) {
  const auto text = net::find_header(head.m_headers, "Content-Length");
  std::uint64_t length = 0;
  if (!text || std::from_chars(text->data(), text->data() + text->size(), length).ec != std::errc()) {
    return std::nullopt;
  }
  return length;
}

} // namespace

bool is_event_stream(const net::http_response& head) {
  const auto type = header_value(head, "Content-Type");
  return boost::beast::iequals(type.substr(0, event_stream_type.size()), event_stream_type);
}

milliseconds time_until(time_point deadline) {
  return std::max(milliseconds(1), std::chrono::ceil<milliseconds>(deadline - monotonic_now()));
}

body_reader::body_reader(net::http_client& client, const forward_request& request,
                         const caller_monitor::watch& caller_watch, const response_meter& meter,
                         std::unique_ptr<net::http_call>& call)
    : m_client(client)
    , m_request(request)
    , m_caller_watch(caller_watch)
    , m_meter(meter)
    , m_call(call)
    , m_buffer_storage(std::make_unique_for_overwrite<char[]>(buffer_bytes))
    , m_buffer(m_buffer_storage.get(), buffer_bytes) {}

void body_reader::begin(const backend_answer& answer) {
  m_answer_identified = answer.m_identified;
  m_head = answer.m_head;
  m_stream_id = std::string(header_value(m_head, stream_id_header));
  m_event_stream = is_event_stream(m_head);
  m_completeness = body_completeness(m_event_stream, !m_stream_id.empty());
  begin_part(m_head);
}

void body_reader::begin_part(const net::http_response& head) {
  m_part = {m_meter.bytes(), m_meter.is_inside_event(), m_call->framing(), read_length(head)};
}

// Returns why a response is not the rest of the body, or an empty text if it may be.
std::string_view body_reader::find_mismatch(const net::http_response& head) const {
  constexpr int success_class = 2;
  if (head.m_status != status_ok || m_head.m_status / 100 != success_class) {
    return "status";
  }
  if (!boost::beast::iequals(media_type(head), media_type(m_head))) {
    return "content_type";
  }
  if (header_value(head, "Content-Encoding") != header_value(m_head, "Content-Encoding")) {
    return "content_encoding";
  }
  const auto id = net::find_header(head.m_headers, stream_id_header);
  return id && *id != m_stream_id ? "stream_id" : "";
}

// A response that is to be recorded is read to its end without its caller.
bool body_reader::is_unwanted() const {
  return m_caller_watch.closed() && !m_request.m_record_response;
}

net::call_result<std::span<const char>> body_reader::read_some() {
  while (true) {
    auto part = read_part();
    if (part) {
      return part;
    }
    if (is_unwanted() || monotonic_now() >= m_request.m_deadline) {
      return part;
    }
    record_interruption(part.error().m_message);
    if (has_no_more() || !resume()) {
      return part;
    }
    m_resumed = true;
  }
}

// Reads a part of the body from the current call. A response that ended in an orderly way was cut off all the
// same if the body can't be whole; a stream that has its last event is whole, whatever becomes of the
// connection.
net::call_result<std::span<const char>> body_reader::read_part() {
  auto part = m_call->read_some(m_buffer, time_until(m_request.m_deadline));
  if (!part && m_event_stream && m_meter.has_last_event()) {
    m_call->abort();
    return std::span<const char>();
  }
  if (!part || !part->empty()) {
    return part;
  }
  if (const auto contradiction = m_completeness.find_contradiction(m_part, m_meter); !contradiction.empty()) {
    m_call->abort();
    m_ended_early = true;
    return net::call_error{std::string(contradiction), true};
  }
  return part;
}

void body_reader::record_interruption(std::string_view reason) {
  m_completeness.record_cut(m_part, m_meter.bytes(), m_call->body_bytes_due());
  if (++m_interruptions > max_logged_interruptions) {
    return;
  }
  log_event(log_level::info, "response_interrupted",
            {{"request_id", m_request.m_request_id},
             {"backend_server", m_request.m_permit->m_backend_server},
             {"reason", reason},
             {"framing", net::to_string(m_part.m_framing)},
             {"body_bytes_due", m_call->body_bytes_due()},
             {"offset", m_part.m_offset},
             {"bytes", m_meter.bytes()},
             {"events", m_meter.events()},
             {"stream_id", std::string_view(m_stream_id).substr(0, max_logged_id)}});
}

// Returns whether the server has nothing more of the body, since it ended the body again without having added
// to it.
bool body_reader::has_no_more() {
  const bool ended_early = std::exchange(m_ended_early, false);
  if (!m_resumed || m_completeness.has_content(m_part, m_meter)) {
    // A server that ignores the offset brings content each time.
    m_resume_delay = m_resumed ? resume_interval : milliseconds(0);
    return false;
  }
  m_resume_delay = std::clamp(2 * m_resume_delay, resume_interval, max_resume_delay);
  return ended_early;
}

// Resumes an interrupted body on the same backend server, from the offset reached.
bool body_reader::resume() {
  if (m_stream_id.empty()) {
    return false;
  }
  std::string reason = "deadline";
  for (int attempt = 0; attempt < max_resume_attempts && monotonic_now() < m_request.m_deadline; ++attempt) {
    const milliseconds delay = attempt > 0 ? resume_interval : m_resume_delay;
    boost::this_fiber::sleep_for(std::min(delay, time_until(m_request.m_deadline)));
    if (is_unwanted()) {
      reason = "client_closed";
      break;
    }
    // Over a new connection, the answer is known even if it states no id.
    auto opened = m_client.open(m_request.m_permit->m_address, {.m_max_idle_time = milliseconds(0)});
    if (!opened) {
      reason = opened.error().m_message;
      continue;
    }
    // If the caller left before this, its watch has interrupted the earlier call and will not do so again.
    if (is_unwanted()) {
      reason = "client_closed";
      break;
    }
    m_call = std::move(*opened);
    m_answer_identified = false;
    m_call->set_deadline(m_request.m_deadline);
    const net::http_request request{"GET",
                                    "/streams/" + m_stream_id + "?offset=" + std::to_string(m_meter.bytes()),
                                    {{std::string(request_id_header), m_request.m_request_id}},
                                    {}};
    if (const auto sent = m_call->send(request, time_until(m_request.m_deadline)); !sent) {
      reason = sent.error().m_message;
      continue;
    }
    const auto answer = read_answer(*m_call, m_request.m_request_id, m_request.m_permit->m_address,
                                    time_until(m_request.m_deadline));
    if (!answer) {
      reason = answer.error().m_message;
      continue;
    }
    m_answer_identified = answer->m_identified;
    if (const auto mismatch = find_mismatch(answer->m_head); !mismatch.empty()) {
      log_failed_resumption(mismatch, answer->m_head.m_status);
      return false;
    }
    begin_part(answer->m_head);
    return true;
  }
  log_failed_resumption(reason, 0);
  return false;
}

void body_reader::log_failed_resumption(std::string_view reason, int status) const {
  log_event(log_level::info, "resumption_failed",
            {{"request_id", m_request.m_request_id},
             {"backend_server", m_request.m_permit->m_backend_server},
             {"reason", reason},
             {"status", status},
             {"offset", m_meter.bytes()}});
}

} // namespace cardamompond::daemon
