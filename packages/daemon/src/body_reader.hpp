#pragma once

#include "backend_answer.hpp"

#include "cardamompond/daemon/body_completeness.hpp"
#include "cardamompond/daemon/forwarder.hpp"
#include "cardamompond/daemon/response_meter.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace cardamompond::daemon {

// Returns whether the body of the response is a stream of server-sent events.
bool is_event_stream(const net::http_response& head);

// Returns the time left, at least 1 ms.
milliseconds time_until(time_point deadline);

// Reads the body of a backend server's response. If the response is cut off, reads the rest from the same
// backend server, by the id that the server gave the body and the offset reached.
class body_reader {
public:
  // `call` is replaced if the body is resumed. `meter` must have all bytes that were read before the next
  // ones are.
  body_reader(net::http_client& client, const forward_request& request,
              const caller_monitor::watch& caller_watch, const response_meter& meter,
              std::unique_ptr<net::http_call>& call);

  // Begins with the body of the first response, whose head has been read.
  void begin(const backend_answer& answer);

  // Returns whether the last response stated the id of the request.
  bool answer_identified() const { return m_answer_identified; }

  // The id that the backend server gave the body; empty if it gave none.
  const std::string& stream_id() const { return m_stream_id; }

  // Reads a part of the body. An empty one means that the body is complete.
  net::call_result<std::span<const char>> read_some();

private:
  bool is_unwanted() const;
  net::call_result<std::span<const char>> read_part();
  void begin_part(const net::http_response& head);
  std::string_view find_mismatch(const net::http_response& head) const;
  void record_interruption(std::string_view reason);
  bool has_no_more();
  bool resume();
  void log_failed_resumption(std::string_view reason, int status) const;

  net::http_client& m_client;
  const forward_request& m_request;
  const caller_monitor::watch& m_caller_watch;
  const response_meter& m_meter;
  std::unique_ptr<net::http_call>& m_call;
  std::string m_stream_id;
  net::http_response m_head; // of the first response
  bool m_event_stream = false;
  bool m_answer_identified = false;
  body_completeness m_completeness{false, false};
  body_part m_part;           // that m_call brings
  bool m_ended_early = false; // set by read_part()
  bool m_resumed = false;
  milliseconds m_resume_delay{0};
  int m_interruptions = 0;
  // The buffer is left uninitialized, so that a small response touches only one page of it.
  std::unique_ptr<char[]> m_buffer_storage;
  std::span<char> m_buffer;
};

} // namespace cardamompond::daemon
