#include "cardamompond/standins/engine.hpp"

#include <boost/fiber/operations.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <charconv>
#include <tuple>

namespace cardamompond::standins {
namespace {

constexpr std::string_view stream_path_prefix = "/streams/";

// How often a waiting fiber checks whether the client has closed its connection or the generation has been
// abandoned.
constexpr milliseconds client_check_interval(20);

// Returns the number at the start of a query parameter, or 0 if there is none.
std::uint64_t parse_query_number(const net::http_request& request, std::string_view name) {
  std::uint64_t number = 0;
  const std::string text = request.query(name).value_or("");
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

} // namespace

engine::engine(std::uint64_t seed)
    : backend(seed) {
  m_parameters.add("tokens_per_s", &m_tokens_per_s);
  m_parameters.add("slowdown", &m_slowdown);
  m_parameters.add("prefill_us_per_token", &m_prefill_us_per_token);
  m_parameters.add("cache_blocks", &m_cache_blocks);
  m_parameters.add("cache_event_lag_ms", &m_cache_event_lag_ms);
  m_parameters.add("cache_event_gap_rate", &m_cache_event_gap_rate);
  m_parameters.add("cut_after_bytes", &m_cut_after_bytes);
  m_parameters.add("cut_resumed", &m_cut_resumed);
  m_parameters.add("resume_window_ms", &m_resume_window_ms);
}

double engine::tokens_per_s() const {
  const auto running = static_cast<double>(std::max<std::int64_t>(m_running, 1));
  const auto others = running - 1;
  return m_tokens_per_s / (1 + m_slowdown * others / static_cast<double>(std::max<std::int64_t>(m_slots, 1)));
}

void engine::clear_volatile_state() {
  for (const auto& [id, generation] : m_generations) {
    generation->m_cancelled = true;
    generation->m_progress.notify_all();
  }
  m_generations.clear();
  m_cache.clear();
  m_slot_free.notify_all();
}

void engine::serve(net::http_exchange& exchange, history_entry& entry) {
  if (exchange.request().path() == "/orders") {
    serve_order(exchange, entry);
    return;
  }
  auto request = exchange.request().path() == "/v1/chat/completions"
                     ? parse_chat_request(exchange.request().m_body)
                     : result<chat_request, std::string>(std::string("no such call"));
  if (!request) {
    history::record_outcome(entry, "bad_request");
    respond_json(exchange, 400, {{"error", request.error()}});
    return;
  }
  auto generation = std::make_shared<generation_state>();
  generation->m_id = m_boot_id + "-" + std::to_string(m_history.entries().size());
  generation->m_request = std::move(*request);
  generation->m_duration_factor = duration_factor(exchange.request().path());
  generation->m_fails_halfway =
      is_fault_active(exchange.request().path()) && m_random.with_probability(m_fail_after_rate);
  generation->m_boot_number = m_boot_number;
  generation->m_history_entry = &entry;
  entry.m_executed = true;
  m_generations[generation->m_id] = generation;
  ++m_in_flight;
  net::fiber_runtime::spawn([this, generation] { run_generation(generation); });
  if (generation->m_request.m_stream) {
    send_body(exchange, generation, 0, false);
  } else {
    send_when_complete(exchange, generation);
  }
}

void engine::serve_order(net::http_exchange& exchange, history_entry& entry) {
  if (refuse_stale_order(exchange, entry)) {
    return;
  }
  const std::int64_t execution = count_execution(entry);
  record_completion();
  history::record_outcome(entry, "completed");
  respond_json(exchange, 200, {{"key", entry.m_key}, {"execution", execution}});
}

void engine::run_generation(const generation_ptr& generation) {
  std::string outcome = "cancelled";
  if (wait_for_slot(generation)) {
    ++m_running;
    record_load();
    generate_tokens(generation);
    if (generation->m_boot_number == m_boot_number) {
      --m_running;
    }
    if (generation->m_tokens == generation->m_request.m_max_tokens) {
      outcome = "completed";
    } else if (!is_abandoned(*generation)) {
      outcome = "failed_after_effect";
    }
  }
  generation->m_history_entry->m_output_tokens = generation->m_tokens;
  if (generation->m_boot_number != m_boot_number) {
    outcome = "lost";
  } else {
    // The slot is freed before the last bytes are sent, so that a caller that has received them can use it.
    --m_in_flight;
    if (outcome == "completed") {
      record_completion();
    }
    record_load();
    m_slot_free.notify_all();
  }
  generation->m_complete = outcome == "completed";
  if (generation->m_complete) {
    complete_body(*generation);
  }
  generation->m_ended = true;
  history::record_outcome(*generation->m_history_entry, outcome);
  generation->m_progress.notify_all();
  // A client may still resume the stream for this time.
  boost::this_fiber::sleep_for(milliseconds(m_resume_window_ms));
  m_generations.erase(generation->m_id);
}

bool engine::is_abandoned(const generation_state& generation) const {
  const bool unread = generation.m_readers == 0 &&
                      monotonic_now() - generation.m_unread_since > milliseconds(m_resume_window_ms);
  return generation.m_cancelled || generation.m_boot_number != m_boot_number || unread;
}

bool engine::wait_for_slot(const generation_ptr& generation) {
  generation->m_unread_since = monotonic_now();
  std::unique_lock<boost::fibers::mutex> lock(m_mutex);
  while (!is_abandoned(*generation) && m_running >= m_slots) {
    m_slot_free.wait_for(lock, client_check_interval);
  }
  return !is_abandoned(*generation);
}

void engine::generate_tokens(const generation_ptr& generation) {
  const auto wait_unless_cancelled = [&](double duration_s) {
    std::unique_lock<boost::fibers::mutex> lock(m_mutex);
    generation->m_cancellation.wait_for(
        lock, duration(static_cast<std::int64_t>(duration_s * generation->m_duration_factor * 1e6)),
        [&] { return generation->m_cancelled; });
    return !is_abandoned(*generation);
  };
  const auto prompt_tokens =
      static_cast<std::int64_t>(generation->m_request.m_prompt.size() / bytes_per_token);
  const auto cached_blocks =
      m_cache.look_up_and_insert(hash_prompt_blocks(generation->m_request.m_prompt),
                                 static_cast<std::size_t>(m_cache_blocks), m_cache_event_gap_rate, m_random);
  generation->m_history_entry->m_prompt_tokens = prompt_tokens;
  generation->m_history_entry->m_cached_tokens = static_cast<std::int64_t>(cached_blocks * tokens_per_block);
  const auto uncached_tokens =
      static_cast<double>(prompt_tokens - generation->m_history_entry->m_cached_tokens);
  if (!wait_unless_cancelled(uncached_tokens * m_prefill_us_per_token / 1e6)) {
    return;
  }
  while (generation->m_tokens < generation->m_request.m_max_tokens) {
    if (generation->m_fails_halfway && generation->m_tokens * 2 >= generation->m_request.m_max_tokens) {
      return;
    }
    if (!wait_unless_cancelled(1 / tokens_per_s())) {
      return;
    }
    const std::string token =
        make_response_token(generation->m_request.m_last_message, generation->m_tokens++);
    generation->m_content += token;
    if (generation->m_request.m_stream) {
      append_event(*generation, {{"id", generation->m_id},
                                 {"object", "chat.completion.chunk"},
                                 {"choices", {{{"index", 0}, {"delta", {{"content", token}}}}}}});
    }
    generation->m_progress.notify_all();
  }
}

void engine::append_event(generation_state& generation, const boost::json::value& event) {
  generation.m_response_body += "data: " + boost::json::serialize(event) + "\n\n";
}

void engine::complete_body(generation_state& generation) {
  if (generation.m_request.m_stream) {
    append_event(
        generation,
        {{"id", generation.m_id}, {"choices", boost::json::array()}, {"usage", make_usage(generation)}});
    generation.m_response_body += "data: [DONE]\n\n";
  } else {
    const boost::json::object message = {{"role", "assistant"}, {"content", generation.m_content}};
    generation.m_response_body =
        boost::json::serialize(boost::json::object{{"id", generation.m_id},
                                                   {"object", "chat.completion"},
                                                   {"model", generation.m_request.m_model},
                                                   {"choices", {{{"index", 0}, {"message", message}}}},
                                                   {"usage", make_usage(generation)}});
  }
}

boost::json::object engine::make_usage(const generation_state& generation) {
  return {{"prompt_tokens", generation.m_history_entry->m_prompt_tokens},
          {"completion_tokens", generation.m_tokens},
          {"cached_tokens", generation.m_history_entry->m_cached_tokens}};
}

void engine::send_when_complete(net::http_exchange& exchange, const generation_ptr& generation) {
  ++generation->m_readers;
  std::unique_lock<boost::fibers::mutex> lock(m_mutex);
  while (!generation->m_ended && !generation->m_cancelled) {
    generation->m_progress.wait_for(lock, client_check_interval);
    if (exchange.client_closed()) {
      // The client cannot resume the stream, because it has not received the stream id.
      generation->m_cancelled = true;
      generation->m_cancellation.notify_all();
    }
  }
  lock.unlock();
  --generation->m_readers;
  if (generation->m_complete) {
    send_body(exchange, generation, 0, false);
  } else if (!generation->m_cancelled) {
    respond_json(exchange, 500, {{"error", "failed after the effect"}});
  } else {
    exchange.close_after_response();
  }
}

void engine::send_body(net::http_exchange& exchange, const generation_ptr& generation, std::size_t offset,
                       bool resumed) {
  const auto cut_offset = m_cut_after_bytes > 0 && (!resumed || m_cut_resumed)
                              ? offset + static_cast<std::size_t>(m_cut_after_bytes)
                              : std::string::npos;
  ++generation->m_readers;
  net::http_headers headers = {
      {"Content-Type", generation->m_request.m_stream ? "text/event-stream" : "application/json"},
      {"X-Stream-Id", generation->m_id}};
  repeat_request_id(exchange, headers);
  bool connected = exchange.begin(200, headers).has_value();
  while (connected && !generation->m_cancelled) {
    const std::size_t end_offset = std::min(generation->m_response_body.size(), cut_offset);
    if (offset < end_offset) {
      const std::string part = generation->m_response_body.substr(offset, end_offset - offset);
      connected = exchange.write(part).has_value();
      offset = end_offset;
    } else if (generation->m_ended || offset >= cut_offset) {
      break;
    } else {
      std::unique_lock<boost::fibers::mutex> lock(m_mutex);
      generation->m_progress.wait_for(lock, client_check_interval);
      connected = !exchange.client_closed();
    }
  }
  if (--generation->m_readers == 0) {
    generation->m_unread_since = monotonic_now();
  }
  if (connected && generation->m_complete && offset == generation->m_response_body.size()) {
    std::ignore = exchange.finish();
  } else {
    exchange.close_after_response();
  }
}

bool engine::handle_control(net::http_exchange& exchange) {
  const net::http_request& request = exchange.request();
  if (request.path().starts_with(stream_path_prefix)) {
    if (request.m_method == "DELETE") {
      cancel_stream(exchange);
    } else {
      resume_stream(exchange);
    }
    return true;
  }
  if (request.path() == "/cache-events") {
    respond_json(exchange, 200,
                 {{"events", m_cache.events(parse_query_number(request, "after"),
                                            milliseconds(m_cache_event_lag_ms))}});
    return true;
  }
  return false;
}

engine::generation_ptr engine::find_stream(net::http_exchange& exchange) {
  const auto found =
      m_generations.find(std::string(exchange.request().path().substr(stream_path_prefix.size())));
  if (found == m_generations.end() || (found->second->m_ended && !found->second->m_complete)) {
    respond_json(exchange, 404, {{"error", "no such stream"}});
    return nullptr;
  }
  return found->second;
}

void engine::resume_stream(net::http_exchange& exchange) {
  const auto generation = find_stream(exchange);
  if (!generation) {
    return;
  }
  const std::uint64_t offset = parse_query_number(exchange.request(), "offset");
  if (offset > generation->m_response_body.size()) {
    respond_json(exchange, 416, {{"error", "offset beyond the stream"}});
    return;
  }
  send_body(exchange, generation, offset, true);
}

void engine::cancel_stream(net::http_exchange& exchange) {
  const auto generation = find_stream(exchange);
  if (!generation) {
    return;
  }
  if (!generation->m_ended) {
    generation->m_cancelled = true;
    generation->m_cancellation.notify_all();
    m_slot_free.notify_all();
    std::unique_lock<boost::fibers::mutex> lock(m_mutex);
    generation->m_progress.wait(lock, [&] { return generation->m_ended; });
  }
  respond_json(exchange, 200, {{"tokens", generation->m_tokens}});
}

} // namespace cardamompond::standins
