#pragma once

#include "cardamompond/core/time.hpp"
#include "cardamompond/gateway/event_splitter.hpp"
#include "cardamompond/gateway/request_protocol.hpp"
#include "cardamompond/net/http_client.hpp"
#include "cardamompond/net/http_server.hpp"

#include <functional>
#include <memory>
#include <string>

namespace cardamompond::gateway {

// How one dispatch of a request to a backend server ended.
enum class call_outcome {
  answered,    // a whole answer of the server's is held in backend_call::answer()
  relayed,     // a whole stream was passed on
  refused,     // the server did not run it
  no_room,     // the server had no place to keep; nothing was sent
  misdirected, // another server has the address; not run
  unreachable, // nothing was sent
  broken,      // sent, and the connection broke or the answer was none; may have run
  silent,      // sent, and nothing came in time; may have run
  caller_gone, // the caller closed its connection or does not read
  out_of_time  // the deadline passed
};

// Returns the end as it appears in logs and metrics, e.g. "caller_gone".
std::string_view to_string(call_outcome outcome);

// What the parts of one caller's stream have in common when it goes on at another backend server.
struct stream_relay {
  net::http_exchange* m_exchange = nullptr;
  event_splitter m_splitter;
  bool m_head_sent = false; // the head has been sent to the caller
  time_point m_first_event;
  time_point m_last_event;
  std::uint64_t m_events_relayed = 0;
};

// Terms of one dispatch.
struct call_options {
  const net::http_request* m_caller_request = nullptr;
  dispatch_parameters m_parameters;
  std::string_view m_request_id;
  time_point m_deadline;
  duration m_inactivity_timeout{}; // without any part of the answer, after which the call ends as silent
  milliseconds m_reservation_lifetime{0}; // ask the server to keep a place for this long first; 0: do not
  std::uint32_t m_reserved_tokens = 0;
  bool m_streamed = false;
  bool m_idempotent = false;
  stream_relay* m_relay = nullptr; // of a streamed request
  std::function<void()> m_on_first_answer;
  std::function<void(std::uint64_t events, duration took)> m_on_progress;
  std::function<void(const answer_metadata&)> m_on_answer_metadata;
};

// One dispatch: opens a connection, sends the request, and reads the answer or passes its events on.
class backend_call {
public:
  backend_call(net::http_client& client, const request_protocol& protocol, call_options options);

  call_outcome run();

  // Ends run() as caller_gone from another fiber or an event handler.
  void cancel();

  // The whole answer after `answered`.
  const net::http_response& answer() const { return m_answer; }

  // Why the call failed, for the log.
  const std::string& failure() const { return m_failure; }

private:
  milliseconds io_timeout() const;
  call_outcome abort_after_error(const net::call_error& error);
  std::optional<call_outcome> connect();
  std::optional<call_outcome> reserve();
  std::optional<call_outcome> send();
  std::optional<call_outcome> read_head();
  call_outcome read_body();
  call_outcome relay_events();
  std::optional<call_outcome> forward_events(std::string_view events);

  void report_progress();

  net::http_client& m_client;
  const request_protocol& m_protocol;
  std::uint64_t m_events_reported = 0; // of this call
  time_point m_progress_reported_at;
  call_options m_options;
  std::unique_ptr<net::http_call> m_call;
  net::http_response m_answer;
  std::string m_failure;
  bool m_cancelled = false;
};

} // namespace cardamompond::gateway
