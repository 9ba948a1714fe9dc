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

// A chat request as far as an engine uses it.
struct chat_request {
  std::string m_prompt; // the contents of all messages, one after the other
  std::string m_last;   // content of the last message
  std::string m_model;
  bool m_stream = false;
  std::int64_t m_max_tokens = 16;
};

// Reads the body of a chat request; the error says what is wrong.
result<chat_request, std::string> parse_chat_request(std::string_view body);

// The text of token `index` of an answer: it names the hash of the request's last message, so that a caller
// can tell that it received the whole answer to its own request.
std::string make_response_token(std::string_view last_message, std::int64_t index);

// A language model engine with continuous batching.
//
// Parameters besides those of backend: tokens_per_s (one request alone), slowdown (the time per token grows
// by this share of itself from one request to all slots taken), prefill_us_per_token (uncached prompt
// tokens), cache_blocks, cache_event_lag_ms, cache_event_gap_rate, cut_after_bytes (0: never; closes a
// stream's first connection after that many bytes), cut_resumed (also cuts resumed ones), resume_window_ms (a
// stream without reader is cancelled after that time).
class engine final : public backend {
public:
  explicit engine(std::uint64_t seed);

private:
  // One generation; it outlives the connection that started it.
  struct generation {
    std::string m_id;
    chat_request m_request;
    std::string m_text;        // the bytes of the answer so far
    std::string m_content;     // the text of the tokens so far
    std::int64_t m_tokens = 0; // generated so far
    double m_slowness = 1;
    bool m_fails = false; // breaks off half-way
    bool m_ended = false;
    bool m_complete = false; // ended with the whole answer
    bool m_cancelled = false;
    int m_readers = 0;
    time_point m_unread_since{}; // when the last reader left
    std::uint64_t m_boot = 0;
    history_entry* m_entry = nullptr;
    boost::fibers::condition_variable m_progress; // for readers: new text or the end
    boost::fibers::condition_variable m_wake;     // for the generating fiber: cancelled
  };
  using generation_ptr = std::shared_ptr<generation>;

  void serve(net::http_exchange& exchange, history_entry& entry) override;
  bool handle_control(net::http_exchange& exchange) override;
  void forget() override;
  double tokens_per_s() const override;

  void serve_order(net::http_exchange& exchange, history_entry& entry);
  void generate(const generation_ptr& work);
  bool wait_for_slot(const generation_ptr& work);
  void run(const generation_ptr& work);
  bool abandoned(const generation& work) const;
  static void append_event(generation& work, const boost::json::value& event);
  static void append_end(generation& work);
  static boost::json::object usage(const generation& work);
  void send_whole(net::http_exchange& exchange, const generation_ptr& work);
  void send(net::http_exchange& exchange, const generation_ptr& work, std::size_t offset, bool resumed);
  void resume(net::http_exchange& exchange);
  void cancel(net::http_exchange& exchange);
  generation_ptr find(net::http_exchange& exchange);

  std::map<std::string, generation_ptr> m_streams;
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
