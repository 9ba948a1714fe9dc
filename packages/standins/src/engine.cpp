#include "cardamompond/standins/engine.hpp"

#include <boost/fiber/operations.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <charconv>
#include <tuple>

namespace cardamompond::standins {
namespace {

constexpr std::string_view streams_path = "/streams/";

// How often a waiting fiber checks whether the client has closed its connection or the generation has been
// abandoned.
constexpr milliseconds caller_check(20);

// Returns the number at the start of a query parameter, or 0 if there is none.
std::uint64_t number_query(const net::http_request& request, std::string_view name) {
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

void engine::forget() {
  for (const auto& [id, work] : m_streams) {
    work->m_cancelled = true;
    work->m_progress.notify_all();
  }
  m_streams.clear();
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
    history::end(entry, "bad_request");
    respond_json(exchange, 400, {{"error", request.error()}});
    return;
  }
  auto work = std::make_shared<generation>();
  work->m_id = m_boot_id + "-" + std::to_string(m_history.entries().size());
  work->m_request = std::move(*request);
  work->m_slowness = slowness(exchange.request().path());
  work->m_fails = faulty(exchange.request().path()) && m_random.chance(m_fail_after_rate);
  work->m_boot = m_boot;
  work->m_entry = &entry;
  entry.m_executed = true;
  m_streams[work->m_id] = work;
  ++m_present;
  net::fiber_runtime::spawn([this, work] { generate(work); });
  if (work->m_request.m_stream) {
    send(exchange, work, 0, false);
  } else {
    send_whole(exchange, work);
  }
}

void engine::serve_order(net::http_exchange& exchange, history_entry& entry) {
  if (refuse_stale_order(exchange, entry)) {
    return;
  }
  const std::int64_t execution = count_execution(entry);
  note_completion();
  history::end(entry, "completed");
  respond_json(exchange, 200, {{"key", entry.m_key}, {"execution", execution}});
}

void engine::generate(const generation_ptr& work) {
  std::string outcome = "cancelled";
  if (wait_for_slot(work)) {
    ++m_running;
    note_load();
    run(work);
    if (work->m_boot == m_boot) {
      --m_running;
    }
    if (work->m_tokens == work->m_request.m_max_tokens) {
      outcome = "completed";
    } else if (!abandoned(*work)) {
      outcome = "failed_after_effect";
    }
  }
  work->m_entry->m_output_tokens = work->m_tokens;
  if (work->m_boot != m_boot) {
    outcome = "lost";
  } else {
    // The slot is freed before the last bytes are sent, so that a caller that has received them can use it.
    --m_present;
    if (outcome == "completed") {
      note_completion();
    }
    note_load();
    m_slot_free.notify_all();
  }
  work->m_complete = outcome == "completed";
  if (work->m_complete) {
    append_end(*work);
  }
  work->m_ended = true;
  history::end(*work->m_entry, outcome);
  work->m_progress.notify_all();
  // A client may still resume the stream for this time.
  boost::this_fiber::sleep_for(milliseconds(m_resume_window_ms));
  m_streams.erase(work->m_id);
}

bool engine::abandoned(const generation& work) const {
  const bool unread =
      work.m_readers == 0 && monotonic_now() - work.m_unread_since > milliseconds(m_resume_window_ms);
  return work.m_cancelled || work.m_boot != m_boot || unread;
}

bool engine::wait_for_slot(const generation_ptr& work) {
  work->m_unread_since = monotonic_now();
  std::unique_lock<boost::fibers::mutex> lock(m_mutex);
  while (!abandoned(*work) && m_running >= m_slots) {
    m_slot_free.wait_for(lock, caller_check);
  }
  return !abandoned(*work);
}

void engine::run(const generation_ptr& work) {
  const auto pause = [&](double pause_s) {
    std::unique_lock<boost::fibers::mutex> lock(m_mutex);
    work->m_wake.wait_for(lock, duration(static_cast<std::int64_t>(pause_s * work->m_slowness * 1e6)),
                          [&] { return work->m_cancelled; });
    return !abandoned(*work);
  };
  const auto prompt_tokens = static_cast<std::int64_t>(work->m_request.m_prompt.size() / bytes_per_token);
  const auto cached_blocks =
      m_cache.use(prompt_blocks(work->m_request.m_prompt), static_cast<std::size_t>(m_cache_blocks),
                  m_cache_event_gap_rate, m_random);
  work->m_entry->m_prompt_tokens = prompt_tokens;
  work->m_entry->m_cached_tokens = static_cast<std::int64_t>(cached_blocks * tokens_per_block);
  const auto uncached = static_cast<double>(prompt_tokens - work->m_entry->m_cached_tokens);
  if (!pause(uncached * m_prefill_us_per_token / 1e6)) {
    return;
  }
  while (work->m_tokens < work->m_request.m_max_tokens) {
    if (work->m_fails && work->m_tokens * 2 >= work->m_request.m_max_tokens) {
      return;
    }
    if (!pause(1 / tokens_per_s())) {
      return;
    }
    const std::string token = make_response_token(work->m_request.m_last, work->m_tokens++);
    work->m_content += token;
    if (work->m_request.m_stream) {
      append_event(*work, {{"id", work->m_id},
                           {"object", "chat.completion.chunk"},
                           {"choices", {{{"index", 0}, {"delta", {{"content", token}}}}}}});
    }
    work->m_progress.notify_all();
  }
}

void engine::append_event(generation& work, const boost::json::value& event) {
  work.m_text += "data: " + boost::json::serialize(event) + "\n\n";
}

void engine::append_end(generation& work) {
  if (work.m_request.m_stream) {
    append_event(work, {{"id", work.m_id}, {"choices", boost::json::array()}, {"usage", usage(work)}});
    work.m_text += "data: [DONE]\n\n";
  } else {
    const boost::json::object message = {{"role", "assistant"}, {"content", work.m_content}};
    work.m_text =
        boost::json::serialize(boost::json::object{{"id", work.m_id},
                                                   {"object", "chat.completion"},
                                                   {"model", work.m_request.m_model},
                                                   {"choices", {{{"index", 0}, {"message", message}}}},
                                                   {"usage", usage(work)}});
  }
}

boost::json::object engine::usage(const generation& work) {
  return {{"prompt_tokens", work.m_entry->m_prompt_tokens},
          {"completion_tokens", work.m_tokens},
          {"cached_tokens", work.m_entry->m_cached_tokens}};
}

void engine::send_whole(net::http_exchange& exchange, const generation_ptr& work) {
  ++work->m_readers;
  std::unique_lock<boost::fibers::mutex> lock(m_mutex);
  while (!work->m_ended && !work->m_cancelled) {
    work->m_progress.wait_for(lock, caller_check);
    if (exchange.client_closed()) {
      work->m_cancelled = true; // a resumption is impossible, since the client has not received the stream id
      work->m_wake.notify_all();
    }
  }
  lock.unlock();
  --work->m_readers;
  if (work->m_complete) {
    send(exchange, work, 0, false);
  } else if (!work->m_cancelled) {
    respond_json(exchange, 500, {{"error", "failed after the effect"}});
  } else {
    exchange.close_after_response();
  }
}

void engine::send(net::http_exchange& exchange, const generation_ptr& work, std::size_t offset,
                  bool resumed) {
  const auto cut = m_cut_after_bytes > 0 && (!resumed || m_cut_resumed)
                       ? offset + static_cast<std::size_t>(m_cut_after_bytes)
                       : std::string::npos;
  ++work->m_readers;
  bool open =
      exchange
          .begin(200, {{"Content-Type", work->m_request.m_stream ? "text/event-stream" : "application/json"},
                       {"X-Stream-Id", work->m_id}})
          .has_value();
  while (open && !work->m_cancelled) {
    const std::size_t until = std::min(work->m_text.size(), cut);
    if (offset < until) {
      const std::string part = work->m_text.substr(offset, until - offset);
      open = exchange.write(part).has_value();
      offset = until;
    } else if (work->m_ended || offset >= cut) {
      break;
    } else {
      std::unique_lock<boost::fibers::mutex> lock(m_mutex);
      work->m_progress.wait_for(lock, caller_check);
      open = !exchange.client_closed();
    }
  }
  if (--work->m_readers == 0) {
    work->m_unread_since = monotonic_now();
  }
  if (open && work->m_complete && offset == work->m_text.size()) {
    std::ignore = exchange.finish();
  } else {
    exchange.close_after_response();
  }
}

bool engine::handle_control(net::http_exchange& exchange) {
  const net::http_request& request = exchange.request();
  if (request.path().starts_with(streams_path)) {
    if (request.m_method == "DELETE") {
      cancel(exchange);
    } else {
      resume(exchange);
    }
    return true;
  }
  if (request.path() == "/cache-events") {
    respond_json(
        exchange, 200,
        {{"events", m_cache.events(number_query(request, "after"), milliseconds(m_cache_event_lag_ms))}});
    return true;
  }
  return false;
}

engine::generation_ptr engine::find(net::http_exchange& exchange) {
  const auto found = m_streams.find(std::string(exchange.request().path().substr(streams_path.size())));
  if (found == m_streams.end() || (found->second->m_ended && !found->second->m_complete)) {
    respond_json(exchange, 404, {{"error", "no such stream"}});
    return nullptr;
  }
  return found->second;
}

void engine::resume(net::http_exchange& exchange) {
  const auto work = find(exchange);
  if (!work) {
    return;
  }
  const std::uint64_t offset = number_query(exchange.request(), "offset");
  if (offset > work->m_text.size()) {
    respond_json(exchange, 416, {{"error", "offset beyond the stream"}});
    return;
  }
  send(exchange, work, offset, true);
}

void engine::cancel(net::http_exchange& exchange) {
  const auto work = find(exchange);
  if (!work) {
    return;
  }
  if (!work->m_ended) {
    work->m_cancelled = true;
    work->m_wake.notify_all();
    m_slot_free.notify_all();
    std::unique_lock<boost::fibers::mutex> lock(m_mutex);
    work->m_progress.wait(lock, [&] { return work->m_ended; });
  }
  respond_json(exchange, 200, {{"tokens", work->m_tokens}});
}

} // namespace cardamompond::standins
