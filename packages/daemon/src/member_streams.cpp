#include "member_streams.hpp"

#include <algorithm>

namespace cardamompond::daemon {
namespace {

constexpr std::size_t max_queued_decisions = 200'000;
constexpr std::size_t decisions_per_batch = 500;
constexpr milliseconds resend_interval{300};
constexpr seconds max_report_wait{1};

std::optional<request_key> key_of(const scheduler::event& event) {
  return std::visit(
      [](const auto& typed) -> std::optional<request_key> {
        if constexpr (requires { typed.m_key; }) {
          return typed.m_key;
        } else if constexpr (requires { typed.m_request; }) {
          return typed.m_request.m_key;
        } else {
          return std::nullopt;
        }
      },
      event);
}

} // namespace

request_key empty_report_key(std::uint64_t daemon_key) {
  return {daemon_key, 0};
}

bool is_empty_report(const scheduler::event& event) {
  const auto* cancelled = std::get_if<scheduler::cancel_event>(&event);
  return cancelled != nullptr && cancelled->m_key.m_sequence == 0;
}

void member_streams::reset(std::uint64_t epoch, std::string self) {
  m_epoch = epoch;
  m_self = std::move(self);
  m_streams.clear();
  m_reported.clear();
  m_waiting_since.reset();
  m_all_reported = false;
}

member_streams::member_stream& member_streams::find_or_create_stream(std::string_view member,
                                                                     std::uint64_t daemon_key) {
  const auto it = m_streams.find(daemon_key);
  if (it != m_streams.end()) {
    return it->second;
  }
  member_stream stream{std::string(member),
                       cell::event_receiver<scheduler::event>(),
                       {max_queued_decisions, decisions_per_batch, resend_interval},
                       {},
                       {}};
  stream.m_events.reset(m_epoch);
  stream.m_decisions.reset(m_epoch);
  return m_streams.emplace(daemon_key, std::move(stream)).first->second;
}

peer::batch_reply member_streams::receive(std::string_view member, const peer::event_batch& batch,
                                          time_point now, std::vector<scheduler::event>& events) {
  const auto registered = m_link.registered_members();
  const bool is_registered = std::binary_search(registered.begin(), registered.end(), member, std::less<>());
  const bool all_from_sender =
      std::all_of(batch.m_events.begin(), batch.m_events.end(), [&](const auto& event) {
        const auto key = key_of(event);
        return key && key->m_daemon == batch.m_daemon_key;
      });
  if (!is_registered || !all_from_sender) {
    return {};
  }
  auto& stream = find_or_create_stream(member, batch.m_daemon_key);
  if (batch.m_timestamp >= stream.m_latest_timestamp) {
    stream.m_latest_timestamp = batch.m_timestamp;
    stream.m_latest_timestamp_received_at = now;
  }
  events = stream.m_events.receive({batch.m_epoch, batch.m_sequence, batch.m_events});
  if (!events.empty()) {
    m_reported.emplace(member);
  }
  return {true, stream.m_events.acknowledgement().m_sequence};
}

bool member_streams::push_decision(std::uint64_t daemon_key, scheduler::decision decision) {
  const auto it = m_streams.find(daemon_key);
  return it != m_streams.end() && it->second.m_decisions.push(std::move(decision));
}

bool member_streams::all_reported(time_point now) {
  if (m_all_reported) {
    return true;
  }
  if (!m_waiting_since) {
    m_waiting_since = now;
  }
  const auto live = m_link.live_members(now);
  m_all_reported = now - *m_waiting_since >= max_report_wait ||
                   std::all_of(live.begin(), live.end(), [&](const std::string& name) {
                     return name == m_self || m_reported.contains(name);
                   });
  return m_all_reported;
}

void member_streams::send_due(time_point now) {
  for (auto& [daemon_key, stream] : m_streams) {
    for (auto& due_batch : stream.m_decisions.collect_due_batches(now)) {
      peer::decision_batch batch{due_batch.m_epoch, due_batch.m_sequence, stream.m_latest_timestamp,
                                 stream.m_latest_timestamp_received_at, std::move(due_batch.m_events)};
      m_link.send_decisions(
          stream.m_name, std::move(batch),
          [this, key = daemon_key, epoch = due_batch.m_epoch](const peer::batch_reply& reply) {
            const auto it = m_streams.find(key);
            if (reply.m_accepted && it != m_streams.end()) {
              it->second.m_decisions.acknowledge({epoch, reply.m_acknowledged});
            }
          });
    }
  }
}

} // namespace cardamompond::daemon
