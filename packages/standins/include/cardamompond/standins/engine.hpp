#pragma once

#include "cardamompond/standins/backend.hpp"
#include "cardamompond/standins/prefix_cache.hpp"

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cardamompond::standins {

// The members of a chat request that an engine uses.
struct chat_request {
  std::string m_prompt;       // the concatenated contents of all messages
  std::string m_last_message; // the content of the last message
  std::string m_model;
  bool m_stream = false;
  std::int64_t m_max_tokens = 16;
};

// Parses the body of a chat request. The error states what is wrong with the body.
result<chat_request, std::string> parse_chat_request(std::string_view body);

// Returns the text of token `index` of a response. It contains a hash of the request's last message, so that
// a caller can verify that it received the complete response to its own request.
std::string make_response_token(std::string_view last_message, std::int64_t index);

// Stand-in for a language model engine with continuous batching.
//
// Parameters in addition to those of backend:
// - tokens_per_s: generation speed of a request that runs alone.
// - slowdown: with r requests running, the time per token is multiplied by 1 + slowdown * (r - 1) / slots.
// - prefill_us_per_token: prefill time for each prompt token that is not in the prefix cache.
// - cache_blocks: capacity of the prefix cache in blocks.
// - cache_event_lag_ms: lag with which the changes of the prefix cache are published.
// - cache_event_gap_rate: probability that such a change is never published.
// - cut_after_bytes: closes the first connection of a response after this many bytes of its body; 0: never.
// - cut_resumed: cut_after_bytes also applies to connections that resume a stream.
// - resume_window_ms: a stream that has had no reader for this time is cancelled. A complete stream can be
//   resumed for this time after its end.
class engine final : public backend {
public:
  explicit engine(std::uint64_t seed);

private:
  // The generation of one response. It outlives the connection that started it, so that the client can resume
  // a stream on another connection.
  struct generation_state {
    std::string m_id;
    chat_request m_request;
    std::string m_response_body; // the body of the response so far
    std::string m_content;       // the text of the tokens so far
    std::int64_t m_tokens = 0;   // number of tokens generated so far
    double m_duration_factor = 1;
    bool m_fails_halfway = false;
    bool m_ended = false;
    bool m_complete = false; // ended with all tokens
    bool m_cancelled = false;
    int m_readers = 0;
    time_point m_unread_since{}; // since when there has been no reader; used while m_readers is 0
    std::uint64_t m_boot_number = 0;
    history_entry* m_history_entry = nullptr;
    boost::fibers::condition_variable m_progress;     // notifies readers of new text and of the end
    boost::fibers::condition_variable m_cancellation; // notifies the generating fiber of a cancellation
  };
  using generation_ptr = std::shared_ptr<generation_state>;

  void serve(net::http_exchange& exchange, history_entry& entry) override;
  bool handle_control(net::http_exchange& exchange) override;
  void clear_volatile_state() override;
  double tokens_per_s() const override;

  void serve_order(net::http_exchange& exchange, history_entry& entry);
  // Runs on a separate fiber for each generation, from its arrival until it can no longer be resumed.
  void run_generation(const generation_ptr& generation);
  // Returns false if the generation was abandoned while it waited.
  bool wait_for_slot(const generation_ptr& generation);
  // Generates all tokens. Returns early if the generation fails or is abandoned.
  void generate_tokens(const generation_ptr& generation);
  // Returns whether the generation was cancelled, has had no reader for the resume window, or was started
  // before the last restart.
  bool is_abandoned(const generation_state& generation) const;
  static void append_event(generation_state& generation, const boost::json::value& event);
  // Appends the last events of a stream, or writes the whole body if the response is not streamed.
  static void complete_body(generation_state& generation);
  static boost::json::object make_usage(const generation_state& generation);
  // Waits for the end of the generation and sends the complete response, or an error.
  void send_when_complete(net::http_exchange& exchange, const generation_ptr& generation);
  // Sends the body of the response from `offset` on while it is being generated.
  void send_body(net::http_exchange& exchange, const generation_ptr& generation, std::size_t offset,
                 bool resumed);
  void resume_stream(net::http_exchange& exchange);
  void cancel_stream(net::http_exchange& exchange);
  // Returns the stream whose id is in the path. If there is none, responds with 404 and returns null.
  generation_ptr find_stream(net::http_exchange& exchange);

  std::map<std::string, generation_ptr> m_generations; // by stream id
  boost::fibers::mutex m_mutex;
  boost::fibers::condition_variable m_slot_free;
  prefix_cache m_cache;
  double m_tokens_per_s = 50;
  double m_slowdown = 1;
  double m_prefill_us_per_token = 50;
  std::int64_t m_cache_blocks = 1024;
  std::int64_t m_cache_event_lag_ms = 0;
  double m_cache_event_gap_rate = 0;
  std::int64_t m_cut_after_bytes = 0;
  bool m_cut_resumed = false;
  std::int64_t m_resume_window_ms = 5000;
};

} // namespace cardamompond::standins
