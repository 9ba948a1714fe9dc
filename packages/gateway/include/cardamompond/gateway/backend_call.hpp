#pragma once

#include "cardamompond/core/time.hpp"
#include "cardamompond/gateway/event_splitter.hpp"
#include "cardamompond/gateway/request_protocol.hpp"
#include "cardamompond/gateway/stream_completeness.hpp"
#include "cardamompond/net/http_client.hpp"
#include "cardamompond/net/http_server.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cardamompond::gateway {

// How one dispatch of a request to a backend server ended.
enum class call_outcome {
  answered,    // the complete response of the server is in backend_call::response()
  relayed,     // a complete stream was relayed to the caller
  refused,     // the server states that it did not run the request
  no_room,     // the server had no room to reserve; the request was not sent
  misdirected, // another server uses the address now; the request was not run
  unreachable, // the server was not reached; the request was not sent
  broken,      // the connection broke after the request was sent, or the response was invalid; may have run
  silent,      // no response, or no further part of it, came in time after the request was sent; may have run
  caller_gone, // the caller closed its connection or stopped reading
  out_of_time, // the deadline passed
  withheld     // the request was not sent because the server had stated in the meantime that it takes no more
};

// Returns the outcome as it appears in logs and metrics, e.g. "caller_gone".
std::string_view to_string(call_outcome outcome);

// State of a stream to one caller. It outlives a single backend call because the stream may be continued by
// another backend server.
struct stream_relay {
  net::http_exchange* m_exchange = nullptr;
  event_splitter m_splitter;
  stream_completeness m_completeness;
  bool m_head_sent = false; // whether the status and headers were sent to the caller
  int m_status = 0;         // of the head that was sent
  time_point m_first_event;
  time_point m_last_event;
  duration m_longest_pause{}; // between two events
  std::uint64_t m_events_relayed = 0;
};

// Parameters of one backend call.
struct call_options {
  const net::http_request* m_caller_request = nullptr;
  dispatch_parameters m_parameters;
  std::string_view m_request_id;
  time_point m_deadline;
  duration m_inactivity_timeout{};        // time without data after which m_give_up is called; 0: never
  time_point m_connected_after;           // connections opened earlier are not reused
  milliseconds m_reservation_lifetime{0}; // lifetime of a reservation to make first; 0: none
  std::uint32_t m_reserved_tokens = 0;
  bool m_streamed = false;
  bool m_idempotent = false;
  stream_relay* m_relay = nullptr; // required for streamed requests
  // Called while the server is silent. If it returns true, the call ends as `silent`.
  std::function<bool()> m_give_up;
  std::function<void()> m_on_first_token; // called before the first event is relayed, or after a full body
  std::function<void(std::uint64_t events, duration took)> m_on_progress; // called every few events
  std::function<void(const response_metadata&)> m_on_response_metadata;
  // Called with each response to the request or to a reservation, and with the lasting statements of those
  // that are skipped. `proxy` is the peer that passed the response on; empty: none.
  std::function<void(const response_metadata&, std::string_view proxy)> m_on_server_notices;
  // Whether the server still takes requests; asked before each request that is sent to it.
  std::function<bool()> m_may_send;
  // Called after a success, or the last event of a run, that ended with its connection, unless a peer passed
  // it on. Returns whether the process of the server has ended, too. Blocks the fiber.
  std::function<bool(const run_end&)> m_server_is_gone;
};

// One dispatch of a request: opens a connection to the backend server, reserves room if that is required,
// sends the request, and reads the response or relays its events to the caller.
class backend_call {
public:
  backend_call(net::http_client& client, const request_protocol& protocol, call_options options);

  // Opens the connection and makes the reservation, so that run() can send the request at once. Returns an
  // outcome if that fails; the request has not been sent then.
  std::optional<call_outcome> prepare();

  // After prepare(): sends the request and waits for the head of the response, at most for `timeout`. Returns
  // an outcome if the server has refused the request by then or answers it without success; run() must not be
  // called then.
  std::optional<call_outcome> offer(milliseconds timeout);

  // Carries out the rest of the call, which is all of it if neither prepare() nor offer() has been called.
  call_outcome run();

  // Whether the server has sent data that has not been read yet, or has closed the connection.
  bool has_unread_data() const { return m_call && m_call->has_input(); }

  // Whether the server has closed the connection, and nothing of its answer is left to read.
  bool has_ended() const { return m_call && m_call->input_ended(); }

  // Makes run() return caller_gone. May be called from another fiber or an event handler.
  void cancel();

  // The median time between two events of the stream that this call relayed; zero if there were too few.
  // Unlike the mean, it hardly depends on the prompts that the server processed in between.
  duration median_event_gap() const;

  // Returns the number of events that this call relayed. Those of earlier calls of the stream are left out.
  std::uint64_t events_relayed() const { return m_events_relayed; }

  // Returns the time that prepare() took: the connection and the reservation.
  duration reservation_time() const { return m_reservation_time; }

  // The response; its body is complete only if run() returned `answered`.
  const net::http_response& response() const { return m_response; }

  // The framing of the response; `none` if no head was read.
  net::body_framing framing() const { return m_call ? m_call->framing() : net::body_framing::none; }

  // Whether the response stopped before the end of its body that its length or its current chunk states.
  bool body_bytes_due() const { return m_call && m_call->body_bytes_due(); }

  // Whether the request, or a part of it, has been sent to the server.
  bool sent() const { return m_sent; }

  // Whether the connection had carried requests of earlier calls, whose responses may arrive late on it.
  bool connection_reused() const { return m_call && m_call->reused(); }

  // Whether the call broke because the server closed the connection, as it does when it crashes.
  bool closed_by_server() const { return m_closed_by_server; }

  // Why the call failed, for the log and the error response to the caller.
  const std::string& failure() const { return m_failure; }

private:
  milliseconds io_timeout() const;
  call_outcome abort_after_error(const net::call_error& error);
  std::optional<call_outcome> check_may_send();
  milliseconds max_idle_time() const;
  std::optional<call_outcome> connect(milliseconds max_idle);
  std::optional<call_outcome> connect_and_reserve();
  std::optional<call_outcome> reserve();
  std::optional<call_outcome> send(time_point until);
  void note_skipped(const response_metadata& metadata, std::string_view awaiting, int status);
  std::optional<call_outcome> skip_response();
  std::optional<call_outcome> read_head(std::optional<time_point> wait_until = std::nullopt);
  void close_if_unidentified();
  call_outcome read_body();
  call_outcome relay_events();
  run_end observe_run_end() const;
  bool is_server_gone(const run_end& end) const;
  std::optional<call_outcome> check_stream_end();
  std::optional<call_outcome> forward_events(std::string_view events, std::size_t event_count);

  void report_progress();
  void record_event_gap(std::size_t events);

  net::http_client& m_client;
  const request_protocol& m_protocol;
  std::uint64_t m_events_relayed = 0;
  std::uint64_t m_events_reported = 0; // value of stream_relay::m_events_relayed at the last report
  time_point m_progress_reported_at;
  time_point m_last_part_at;          // time_point{}: no part was relayed
  std::vector<duration> m_event_gaps; // of the first events, from part to part
  call_options m_options;
  std::unique_ptr<net::http_call> m_call;
  net::http_response m_response;
  std::string m_failure;
  std::size_t m_skipped_bytes = 0; // in bodies of responses to other requests
  bool m_cancelled = false;
  bool m_sent = false;
  bool m_running = false; // run() has been called, so that the call is no mere offer
  bool m_closed_by_server = false;
  bool m_prepared = false;
  bool m_head_read = false;
  bool m_response_identified = true; // the response carries the id of the request
  duration m_reservation_time{};
  bool m_reservation_timed_out = false; // the last one got no answer in time
};

} // namespace cardamompond::gateway
