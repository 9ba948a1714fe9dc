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
enum class call_end {
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
std::string_view to_string(call_end end);

// What the parts of one caller's stream have in common when it goes on at another backend server.
struct stream_relay {
  net::http_exchange* m_exchange = nullptr;
  event_splitter m_events;
  bool m_begun = false; // the head has been sent to the caller
  time_point m_first_event;
  time_point m_last_event;
  std::uint64_t m_events_passed = 0;
};

// Terms of one dispatch.
struct call_options {
  const net::http_request* m_from_caller = nullptr;
  dispatch_terms m_terms;
  std::string_view m_request_id;
  time_point m_deadline;
  duration m_silence_limit{};    // without any part of the answer, after which the call ends as silent
  milliseconds m_reservation{0}; // ask the server to keep a place for this long first; 0: do not
  std::uint32_t m_reserved_tokens = 0;
  bool m_streamed = false;
  bool m_idempotent = false;
  stream_relay* m_relay = nullptr; // of a streamed request
  std::function<void()> m_on_first_answer;
  std::function<void(std::uint64_t events, duration took)> m_on_progress;
  std::function<void(const answer_facts&)> m_on_facts;
};

// One dispatch: opens a connection, sends the request, and reads the answer or passes its events on.
class backend_call {
public:
  backend_call(net::http_client& client, const request_protocol& protocol, call_options options);

  call_end run();

  // Ends run() as caller_gone from another fiber or an event handler.
  void abandon();

  // The whole answer after `answered`.
  const net::http_response& answer() const { return m_answer; }

  // Why the call failed, for the log.
  const std::string& failure() const { return m_failure; }

private:
  milliseconds wait_time() const;
  call_end fail(const net::call_error& error);
  std::optional<call_end> connect();
  std::optional<call_end> reserve();
  std::optional<call_end> send();
  std::optional<call_end> read_head();
  call_end read_whole();
  call_end relay_events();
  std::optional<call_end> pass_on(std::string_view events);

  void note_progress();

  net::http_client& m_client;
  const request_protocol& m_protocol;
  std::uint64_t m_events_noted = 0; // of this call
  time_point m_noted_at;
  call_options m_options;
  std::unique_ptr<net::http_call> m_call;
  net::http_response m_answer;
  std::string m_failure;
  bool m_abandoned = false;
};

} // namespace cardamompond::gateway
