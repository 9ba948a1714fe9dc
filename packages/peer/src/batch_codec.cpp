#include "batch_codec.hpp"

#include <algorithm>
#include <utility>

namespace cardamompond::peer {
namespace {

using scheduler::decline_reason;
using scheduler::outcome;

// Limits that protect against invalid input from a peer. They are well above the sizes that occur in
// practice.
constexpr std::size_t max_batch_items = 100'000;
constexpr std::size_t max_prefix_blocks = 4'096;
constexpr std::uint64_t max_duration_us = 24ULL * 3600 * 1'000'000;

std::uint64_t to_us(duration value) {
  return static_cast<std::uint64_t>(std::max<duration::rep>(0, value.count()));
}

duration from_us(std::uint64_t value) {
  return duration(static_cast<duration::rep>(std::min(value, max_duration_us)));
}

void encode_key(const request_key& key, wire::RequestKey::Builder out) {
  out.setDaemon(key.m_daemon);
  out.setSequence(key.m_sequence);
}

request_key decode_key(wire::RequestKey::Reader in) {
  return {in.getDaemon(), in.getSequence()};
}

void encode_submit(const scheduler::submit_event& submit, time_point now, wire::Submit::Builder out) {
  encode_key(submit.m_key, out.initKey());
  out.setService(submit.m_service);
  out.setClientAccount(submit.m_client_account);
  out.setRoute(submit.m_route);
  out.setPromptTokens(submit.m_prompt_tokens);
  out.setMaxOutputTokens(submit.m_max_output_tokens);
  auto blocks = out.initPrefixBlocks(static_cast<unsigned>(submit.m_prefix_blocks.size()));
  for (unsigned i = 0; i < blocks.size(); ++i) {
    blocks.set(i, submit.m_prefix_blocks[i]);
  }
  out.setFingerprintHigh(submit.m_fingerprint.m_high);
  out.setFingerprintLow(submit.m_fingerprint.m_low);
  out.setAgeUs(to_us(now - submit.m_arrived));
  out.setRemainingUs((submit.m_deadline - now).count());
}

result<scheduler::submit_event, std::string> decode_submit(wire::Submit::Reader in, time_point now) {
  if (in.getPrefixBlocks().size() > max_prefix_blocks) {
    return std::string("too many prefix blocks");
  }
  scheduler::submit_event submit;
  submit.m_key = decode_key(in.getKey());
  submit.m_service = in.getService().cStr();
  submit.m_client_account = in.getClientAccount().cStr();
  submit.m_route = in.getRoute().cStr();
  submit.m_prompt_tokens = in.getPromptTokens();
  submit.m_max_output_tokens = in.getMaxOutputTokens();
  for (const std::uint64_t block : in.getPrefixBlocks()) {
    submit.m_prefix_blocks.push_back(block);
  }
  submit.m_fingerprint = {in.getFingerprintHigh(), in.getFingerprintLow()};
  submit.m_arrived = now - from_us(in.getAgeUs());
  const auto limit = static_cast<std::int64_t>(max_duration_us);
  submit.m_deadline = now + duration(std::clamp<std::int64_t>(in.getRemainingUs(), -limit, limit));
  return submit;
}

// Encodes one event. Callers must pass only events about requests: for any other type the encoder writes
// nothing, which leaves the union at its default.
struct event_encoder {
  time_point m_now;
  wire::Event::Builder m_out;

  void operator()(const scheduler::submit_event& event) { encode_submit(event, m_now, m_out.initSubmit()); }
  void operator()(const scheduler::cancel_event& event) { encode_key(event.m_key, m_out.initCancel()); }
  void operator()(const scheduler::started_event& event) { encode_key(event.m_key, m_out.initStarted()); }
  void operator()(const scheduler::declined_event& event) {
    auto declined = m_out.initDeclined();
    encode_key(event.m_key, declined.initKey());
    declined.setReason(static_cast<std::uint8_t>(event.m_reason));
  }
  void operator()(const scheduler::completed_event& event) {
    auto completed = m_out.initCompleted();
    encode_key(event.m_key, completed.initKey());
    completed.setOutcome(static_cast<std::uint8_t>(event.m_outcome));
    completed.setPromptTokens(event.m_prompt_tokens);
    completed.setCachedTokens(event.m_cached_tokens);
    completed.setOutputTokens(event.m_output_tokens);
    completed.setFirstTokenUs(to_us(event.m_time_to_first_token));
    completed.setTotalUs(to_us(event.m_total_time));
  }
  void operator()(const scheduler::restore_event& event) {
    auto restore = m_out.initRestore();
    encode_submit(event.m_request, m_now, restore.initRequest());
    restore.setBackendServer(event.m_backend_server);
  }
  template <typename Other> void operator()(const Other& /*event*/) {}
};

result<scheduler::event, std::string> decode_event(wire::Event::Reader in, time_point now) {
  switch (in.which()) {
  case wire::Event::SUBMIT: {
    auto submit = decode_submit(in.getSubmit(), now);
    if (!submit) {
      return submit.error();
    }
    return scheduler::event(std::move(*submit));
  }
  case wire::Event::CANCEL:
    return scheduler::event(scheduler::cancel_event{decode_key(in.getCancel())});
  case wire::Event::STARTED:
    return scheduler::event(scheduler::started_event{decode_key(in.getStarted())});
  case wire::Event::DECLINED: {
    const auto declined = in.getDeclined();
    if (declined.getReason() > static_cast<std::uint8_t>(decline_reason::abandoned)) {
      return std::string("unknown decline reason");
    }
    return scheduler::event(scheduler::declined_event{decode_key(declined.getKey()),
                                                      static_cast<decline_reason>(declined.getReason())});
  }
  case wire::Event::COMPLETED: {
    const auto completed = in.getCompleted();
    if (completed.getOutcome() > static_cast<std::uint8_t>(outcome::timed_out)) {
      return std::string("unknown outcome");
    }
    return scheduler::event(scheduler::completed_event{
        decode_key(completed.getKey()), static_cast<outcome>(completed.getOutcome()),
        completed.getPromptTokens(), completed.getCachedTokens(), completed.getOutputTokens(),
        from_us(completed.getFirstTokenUs()), from_us(completed.getTotalUs())});
  }
  case wire::Event::RESTORE: {
    const auto restore = in.getRestore();
    auto request = decode_submit(restore.getRequest(), now);
    if (!request) {
      return request.error();
    }
    return scheduler::event(scheduler::restore_event{std::move(*request), restore.getBackendServer().cStr()});
  }
  }
  return std::string("unknown event");
}

} // namespace

void encode(const event_batch& batch, time_point now, wire::EventBatch::Builder out) {
  out.setEpoch(batch.m_epoch);
  out.setSequence(batch.m_sequence);
  out.setDaemon(batch.m_daemon_key);
  out.setMark(to_us(batch.m_timestamp.time_since_epoch()));
  auto events = out.initEvents(static_cast<unsigned>(batch.m_events.size()));
  for (unsigned i = 0; i < events.size(); ++i) {
    std::visit(event_encoder{now, events[i]}, batch.m_events[i]);
  }
}

result<event_batch, std::string> decode(wire::EventBatch::Reader in, time_point now) {
  if (in.getEvents().size() > max_batch_items) {
    return std::string("batch too large");
  }
  event_batch batch;
  batch.m_epoch = in.getEpoch();
  batch.m_sequence = in.getSequence();
  batch.m_daemon_key = in.getDaemon();
  batch.m_timestamp = time_point(duration(static_cast<duration::rep>(in.getMark())));
  batch.m_events.reserve(in.getEvents().size());
  for (const auto event : in.getEvents()) {
    auto decoded = decode_event(event, now);
    if (!decoded) {
      return decoded.error();
    }
    batch.m_events.push_back(std::move(*decoded));
  }
  return batch;
}

void encode(const decision_batch& batch, wire::DecisionBatch::Builder out) {
  out.setEpoch(batch.m_epoch);
  out.setSequence(batch.m_sequence);
  out.setMark(to_us(batch.m_timestamp.time_since_epoch()));
  auto decisions = out.initDecisions(static_cast<unsigned>(batch.m_decisions.size()));
  for (unsigned i = 0; i < decisions.size(); ++i) {
    auto decision = decisions[i];
    if (const auto* granted = std::get_if<scheduler::grant>(&batch.m_decisions[i])) {
      decision.setSequence(granted->m_key.m_sequence);
      auto grant = decision.initGrant();
      grant.setBackendServer(granted->m_backend_server);
      grant.setAddress(granted->m_address);
      grant.setVersion(granted->m_version);
      grant.setValidUs(to_us(granted->m_expires - batch.m_timestamp_received_at));
    } else {
      const auto& refused = std::get<scheduler::refusal>(batch.m_decisions[i]);
      decision.setSequence(refused.m_key.m_sequence);
      auto refusal = decision.initRefusal();
      refusal.setCode(static_cast<std::uint8_t>(refused.m_code));
      refusal.setRetryAfterS(refused.m_retry_after_s);
      refusal.setMessage(refused.m_message);
    }
  }
}

result<decision_batch, std::string> decode(wire::DecisionBatch::Reader in, std::uint64_t daemon) {
  if (in.getDecisions().size() > max_batch_items) {
    return std::string("batch too large");
  }
  decision_batch batch;
  batch.m_epoch = in.getEpoch();
  batch.m_sequence = in.getSequence();
  batch.m_timestamp = time_point(duration(static_cast<duration::rep>(in.getMark())));
  for (const auto decision : in.getDecisions()) {
    const request_key key{daemon, decision.getSequence()};
    if (decision.isGrant()) {
      const auto grant = decision.getGrant();
      batch.m_decisions.emplace_back(scheduler::grant{key, grant.getBackendServer().cStr(),
                                                      grant.getAddress().cStr(), grant.getVersion().cStr(),
                                                      batch.m_timestamp + from_us(grant.getValidUs())});
      continue;
    }
    const auto refusal = decision.getRefusal();
    if (refusal.getCode() > static_cast<std::uint8_t>(error_code::internal)) {
      return std::string("unknown error code");
    }
    batch.m_decisions.emplace_back(scheduler::refusal{key, static_cast<error_code>(refusal.getCode()),
                                                      refusal.getRetryAfterS(), refusal.getMessage().cStr()});
  }
  return batch;
}

} // namespace cardamompond::peer
