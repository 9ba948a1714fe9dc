#include "cardamompond/daemon/cell_permit_client.hpp"

#include "fallback_configuration.hpp"
#include "member_streams.hpp"

#include "cardamompond/cell/event_stream.hpp"
#include "cardamompond/daemon/request_table.hpp"

#include <utility>

namespace cardamompond::daemon {
namespace {

using cell::cell_role;

// Waiting requests are submitted to the owner again at this interval, because an owner that considers this
// daemon lost drops its requests. Submitting a known request has no effect.
constexpr seconds resubmit_interval{2};

// Interval at which requests to resubmit are searched for. The search is not part of each tick, because a
// tick follows every event and the search visits all requests of this daemon.
constexpr milliseconds resubmit_check_interval{100};

// If more than this passes between two ticks, for example because the process was suspended, the owner may
// have considered this daemon lost and removed its dispatched requests. All requests are then reported again.
constexpr seconds pause_threshold{2};

constexpr std::size_t max_queued_events = 200'000;
constexpr std::size_t events_per_batch = 500;
constexpr milliseconds resend_interval{300};

bool runs_engine(cell_role role) {
  return role == cell_role::owner || role == cell_role::owner_waiting;
}

} // namespace

class cell_permit_client::impl {
public:
  impl(cell_permit_client_options options, cell_link& link)
      : m_options(std::move(options))
      , m_link(link)
      , m_engine(m_options.m_make_engine())
      , m_event_sender(max_queued_events, events_per_batch, resend_interval)
      , m_member_streams(link) {}

  permit_result acquire(const scheduler::submit_event& request);
  void cancel(request_key key);
  bool start(const scheduler::grant& permit);
  void decline(request_key key, scheduler::decline_reason reason);
  void apply(const scheduler::configuration& config);
  void set_status(const cell::cell_status& status, time_point now);
  peer::batch_reply on_events(std::string_view member, const peer::event_batch& batch, time_point now);
  peer::batch_reply on_decisions(std::string_view member, const peer::decision_batch& batch, time_point now);
  void tick(time_point now);
  void send_to_scheduler(scheduler::event event);

  cell_permit_client_options m_options;
  cell_link& m_link;
  std::unique_ptr<decision_engine> m_engine;
  std::unique_ptr<decision_engine> m_fallback_engine; // null outside of fallback
  cell::cell_status m_status;
  scheduler::configuration m_configuration;
  request_table m_requests;
  std::uint64_t m_last_sequence = 0;
  std::uint64_t m_rejected_event_batches = 0;
  std::function<void()> m_wake_callback = [] {};

private:
  void start_epoch(time_point now);
  void start_fallback(time_point now);
  void report_requests(time_point now);
  void refuse_waiting(error_code code, const std::string& message,
                      const std::function<bool(const request_entry&)>& predicate);
  bool admitted_in_fallback(const std::string& account) const;
  void resubmit_overdue(time_point now);
  void run_engine(time_point now);
  void send_events(time_point now);
  void handle_decision(const scheduler::decision& decision, time_point now);

  cell::event_sender<scheduler::event> m_event_sender; // to the owner of m_status.m_epoch
  cell::event_receiver<scheduler::decision> m_decision_receiver;
  member_streams m_member_streams; // used while this daemon is the owner
  bool m_fallback_may_refuse_top_tier = false;
  time_point m_last_tick{};
  time_point m_next_resubmit_check{};
};

permit_result cell_permit_client::impl::acquire(const scheduler::submit_event& request) {
  const auto make_refusal = [](error_code code, const char* message) {
    return request_error{code, verdict::not_run, message, 1};
  };
  if (m_status.m_role == cell_role::isolated) {
    return make_refusal(error_code::isolated, "this daemon reaches neither its peers nor the platform");
  }
  if (m_status.m_role == cell_role::fallback && !admitted_in_fallback(request.m_client_account)) {
    return make_refusal(error_code::owner_unavailable,
                        "only the highest tier is admitted until the cell has an owner");
  }
  if (!m_requests.add(request, monotonic_now())) {
    return make_refusal(error_code::internal, "the request already holds a permit");
  }
  send_to_scheduler(request);
  if (auto result = m_requests.wait(request.m_key); result) {
    return std::move(*result);
  }
  send_to_scheduler(scheduler::cancel_event{request.m_key});
  m_requests.remove(request.m_key);
  return make_refusal(error_code::deadline_exceeded, "the deadline passed before a backend server was free");
}

void cell_permit_client::impl::cancel(request_key key) {
  const request_error caller_closed{error_code::bad_request, verdict::not_run,
                                    "the caller closed its connection", 0};
  if (m_requests.refuse(key, caller_closed)) {
    send_to_scheduler(scheduler::cancel_event{key});
  }
}

bool cell_permit_client::impl::start(const scheduler::grant& permit) {
  if (m_status.m_role == cell_role::isolated ||
      !m_requests.mark_dispatched(permit, m_status.m_epoch, monotonic_now())) {
    return false;
  }
  send_to_scheduler(scheduler::started_event{permit.m_key});
  return true;
}

void cell_permit_client::impl::decline(request_key key, scheduler::decline_reason reason) {
  const request_entry* entry = m_requests.find(key);
  if (entry == nullptr) {
    return;
  }
  // The current owner does not know permits of an older epoch.
  if (entry->m_epoch == m_status.m_epoch) {
    send_to_scheduler(scheduler::declined_event{key, reason});
  }
  if (reason == scheduler::decline_reason::abandoned) {
    m_requests.remove(key);
    return;
  }
  if (entry->m_state == request_state::dispatched) {
    // The connection failed before the first byte was sent, so nothing was dispatched.
    m_requests.find(key)->m_state = request_state::granted;
  }
  m_requests.return_to_waiting(key);
}

void cell_permit_client::impl::apply(const scheduler::configuration& config) {
  m_configuration = config;
  m_engine->apply(config, monotonic_now());
  if (m_fallback_engine) {
    start_fallback(monotonic_now());
  }
}

void cell_permit_client::impl::send_to_scheduler(scheduler::event event) {
  if (runs_engine(m_status.m_role)) {
    m_engine->handle(event, monotonic_now());
  } else if (m_fallback_engine) {
    m_fallback_engine->handle(event, monotonic_now());
  } else {
    // If the queue of the sender is full, the event is dropped. Waiting requests are submitted again after
    // `resubmit_interval`.
    m_event_sender.push(std::move(event));
  }
  m_wake_callback();
}

void cell_permit_client::impl::set_status(const cell::cell_status& status, time_point now) {
  const cell::cell_status previous = std::exchange(m_status, status);
  const bool ran_engine = runs_engine(previous.m_role);
  if (status.m_role == cell_role::fallback) {
    if (!m_fallback_engine) {
      start_fallback(now);
    }
    return;
  }
  const bool left_fallback = std::exchange(m_fallback_engine, nullptr) != nullptr;
  if (status.m_role == cell_role::isolated) {
    refuse_waiting(error_code::isolated, "this daemon reaches neither its peers nor the platform",
                   [](const request_entry&) { return true; });
  }
  if (status.m_epoch != previous.m_epoch || ran_engine != runs_engine(status.m_role) || left_fallback) {
    start_epoch(now);
  }
}

// Starts the event and decision streams of a new epoch and reports the waiting and dispatched requests of
// this daemon to the owner of that epoch. Unused permits of older epochs are invalid, because start()
// compares the epochs.
void cell_permit_client::impl::start_epoch(time_point now) {
  m_event_sender.reset(m_status.m_epoch);
  m_member_streams.reset(m_status.m_epoch, m_options.m_name);
  if (runs_engine(m_status.m_role)) {
    m_engine->reset_requests();
  }
  report_requests(now);
}

void cell_permit_client::impl::report_requests(time_point now) {
  bool no_requests = true;
  m_requests.for_each([&](request_entry& entry) {
    no_requests = false;
    if (entry.m_state == request_state::dispatched) {
      send_to_scheduler(scheduler::restore_event{entry.m_request, entry.m_backend_server});
      return;
    }
    entry.m_last_submitted = now;
    if (entry.m_state == request_state::waiting && !entry.m_result) {
      send_to_scheduler(entry.m_request);
    }
  });
  if (no_requests && !runs_engine(m_status.m_role) && !m_fallback_engine) {
    // A new owner waits for a report from each live member before it grants, so a member without requests
    // must report too.
    m_event_sender.push(scheduler::cancel_event{empty_report_key(m_options.m_daemon_key)});
  }
  m_wake_callback();
}

void cell_permit_client::impl::start_fallback(time_point now) {
  m_fallback_engine = m_options.m_make_engine();
  m_fallback_may_refuse_top_tier = false;
  m_fallback_engine->apply(make_fallback_configuration(m_configuration, m_link.registered_members(),
                                                       m_options.m_name, m_link.limits(),
                                                       m_fallback_may_refuse_top_tier),
                           now);
  refuse_waiting(
      error_code::owner_unavailable, "only the highest tier is admitted until the cell has an owner",
      [&](const request_entry& entry) { return !admitted_in_fallback(entry.m_request.m_client_account); });
  report_requests(now);
}

void cell_permit_client::impl::refuse_waiting(error_code code, const std::string& message,
                                              const std::function<bool(const request_entry&)>& predicate) {
  m_requests.for_each([&](const request_entry& entry) {
    if (predicate(entry)) {
      m_requests.refuse(entry.m_request.m_key, {code, verdict::not_run, message, 1});
    }
  });
}

bool cell_permit_client::impl::admitted_in_fallback(const std::string& account) const {
  return is_in_highest_tier(m_configuration, account);
}

peer::batch_reply cell_permit_client::impl::on_events(std::string_view member, const peer::event_batch& batch,
                                                      time_point now) {
  if (!runs_engine(m_status.m_role) || batch.m_epoch != m_status.m_epoch) {
    return {};
  }
  std::vector<scheduler::event> events;
  const peer::batch_reply reply = m_member_streams.receive(member, batch, now, events);
  if (!reply.m_accepted) {
    ++m_rejected_event_batches;
    return reply;
  }
  for (const auto& event : events) {
    if (!is_empty_report(event)) {
      m_engine->handle(event, now);
    }
  }
  if (!events.empty()) {
    m_wake_callback();
  }
  return reply;
}

peer::batch_reply cell_permit_client::impl::on_decisions(std::string_view member,
                                                         const peer::decision_batch& batch, time_point now) {
  if (batch.m_epoch != m_status.m_epoch || member != m_status.m_owner || runs_engine(m_status.m_role)) {
    return {};
  }
  for (const auto& decision :
       m_decision_receiver.receive({batch.m_epoch, batch.m_sequence, batch.m_decisions})) {
    handle_decision(decision, now);
  }
  return {true, m_decision_receiver.acknowledgement().m_sequence};
}

void cell_permit_client::impl::handle_decision(const scheduler::decision& decision, time_point now) {
  if (const auto* refused = std::get_if<scheduler::refusal>(&decision)) {
    m_requests.refuse(refused->m_key, {refused->m_code, verdict::not_run, refused->m_message,
                                       static_cast<int>(refused->m_retry_after_s)});
    return;
  }
  const auto& permit = std::get<scheduler::grant>(decision);
  if (now < permit.m_expires && m_requests.grant(permit, m_status.m_epoch)) {
    return;
  }
  const bool is_known = m_requests.find(permit.m_key) != nullptr;
  send_to_scheduler(scheduler::declined_event{permit.m_key, is_known ? scheduler::decline_reason::expired
                                                                     : scheduler::decline_reason::abandoned});
  if (is_known) {
    send_to_scheduler(m_requests.find(permit.m_key)->m_request);
  }
}

void cell_permit_client::impl::resubmit_overdue(time_point now) {
  const bool paused = m_last_tick != time_point{} && now - m_last_tick > pause_threshold;
  m_last_tick = now;
  if (paused) {
    report_requests(now);
    return;
  }
  if (now < m_next_resubmit_check) {
    return;
  }
  m_next_resubmit_check = now + resubmit_check_interval;
  m_requests.for_each([&](request_entry& entry) {
    if (entry.m_state == request_state::waiting && !entry.m_result &&
        now - entry.m_last_submitted >= resubmit_interval) {
      entry.m_last_submitted = now;
      send_to_scheduler(entry.m_request);
    }
  });
}

void cell_permit_client::impl::run_engine(time_point now) {
  if (m_fallback_engine) {
    if (!m_fallback_may_refuse_top_tier && m_status.m_may_refuse_top_tier_from &&
        now >= *m_status.m_may_refuse_top_tier_from) {
      m_fallback_may_refuse_top_tier = true;
      m_fallback_engine->apply(make_fallback_configuration(m_configuration, m_link.registered_members(),
                                                           m_options.m_name, m_link.limits(),
                                                           m_fallback_may_refuse_top_tier),
                               now);
    }
    for (const auto& decision : m_fallback_engine->tick(now)) {
      handle_decision(decision, now);
    }
    return;
  }
  if (m_status.m_role != cell_role::owner || !m_link.may_grant(now) || !m_member_streams.all_reported(now)) {
    return;
  }
  for (auto& decision : m_engine->tick(now)) {
    const request_key key = std::visit([](const auto& typed) { return typed.m_key; }, decision);
    if (key.m_daemon == m_options.m_daemon_key) {
      handle_decision(decision, now);
    } else if (!m_member_streams.push_decision(key.m_daemon, std::move(decision))) {
      m_engine->handle(scheduler::declined_event{key, scheduler::decline_reason::abandoned}, now);
    }
  }
}

void cell_permit_client::impl::send_events(time_point now) {
  if (runs_engine(m_status.m_role) || m_status.m_owner.empty()) {
    return;
  }
  for (auto& due_batch : m_event_sender.collect_due_batches(now)) {
    peer::event_batch batch{due_batch.m_epoch, due_batch.m_sequence, m_options.m_daemon_key, now,
                            std::move(due_batch.m_events)};
    m_link.send_events(m_status.m_owner, std::move(batch),
                       [this, epoch = due_batch.m_epoch](const peer::batch_reply& reply) {
                         if (reply.m_accepted) {
                           m_event_sender.acknowledge({epoch, reply.m_acknowledged});
                         }
                       });
  }
}

void cell_permit_client::impl::tick(time_point now) {
  resubmit_overdue(now);
  run_engine(now);
  if (runs_engine(m_status.m_role)) {
    m_member_streams.send_due(now);
  }
  send_events(now);
}

cell_permit_client::cell_permit_client(cell_permit_client_options options, cell_link& link)
    : m_impl(std::make_unique<impl>(std::move(options), link)) {}

cell_permit_client::~cell_permit_client() = default;

result<scheduler::grant, request_error> cell_permit_client::acquire(const scheduler::submit_event& request) {
  return m_impl->acquire(request);
}

void cell_permit_client::cancel(request_key key) {
  m_impl->cancel(key);
}

bool cell_permit_client::start(const scheduler::grant& permit) {
  return m_impl->start(permit);
}

void cell_permit_client::decline(request_key key, scheduler::decline_reason reason) {
  m_impl->decline(key, reason);
}

void cell_permit_client::complete(const scheduler::completed_event& completed) {
  m_impl->send_to_scheduler(completed);
  m_impl->m_requests.remove(completed.m_key);
}

request_key cell_permit_client::next_key() {
  return {m_impl->m_options.m_daemon_key, ++m_impl->m_last_sequence};
}

void cell_permit_client::apply(const scheduler::configuration& config) {
  m_impl->apply(config);
}

void cell_permit_client::set_status(const cell::cell_status& status, time_point now) {
  m_impl->set_status(status, now);
}

void cell_permit_client::handle_member_lost(std::uint64_t daemon_key) {
  m_impl->m_engine->handle(scheduler::member_lost_event{daemon_key}, monotonic_now());
}

void cell_permit_client::handle(const scheduler::event& input) {
  if (m_impl->m_fallback_engine) {
    m_impl->m_fallback_engine->handle(input, monotonic_now());
  } else if (runs_engine(m_impl->m_status.m_role)) {
    m_impl->m_engine->handle(input, monotonic_now());
  }
}

bool cell_permit_client::is_scheduling() const {
  return m_impl->m_fallback_engine != nullptr || runs_engine(m_impl->m_status.m_role);
}

void cell_permit_client::merge(const fault_signal_set& fault_signals) {
  m_impl->m_engine->merge(fault_signals, monotonic_now());
  if (m_impl->m_fallback_engine) {
    m_impl->m_fallback_engine->merge(fault_signals, monotonic_now());
  }
}

fault_signal_set cell_permit_client::fault_signals() const {
  const auto& active = m_impl->m_fallback_engine ? m_impl->m_fallback_engine : m_impl->m_engine;
  return active->fault_signals(monotonic_now());
}

peer::batch_reply cell_permit_client::on_events(std::string_view member, const peer::event_batch& batch,
                                                time_point now) {
  return m_impl->on_events(member, batch, now);
}

peer::batch_reply cell_permit_client::on_decisions(std::string_view member, const peer::decision_batch& batch,
                                                   time_point now) {
  return m_impl->on_decisions(member, batch, now);
}

void cell_permit_client::tick(time_point now) {
  m_impl->tick(now);
}

void cell_permit_client::set_wake_callback(std::function<void()> callback) {
  m_impl->m_wake_callback = std::move(callback);
}

const decision_engine& cell_permit_client::engine() const {
  return m_impl->m_fallback_engine ? *m_impl->m_fallback_engine : *m_impl->m_engine;
}

std::size_t cell_permit_client::waiting_count() const {
  return m_impl->m_requests.count(request_state::waiting);
}

std::size_t cell_permit_client::dispatched_count() const {
  return m_impl->m_requests.count(request_state::dispatched);
}

std::uint64_t cell_permit_client::rejected_event_batches() const {
  return m_impl->m_rejected_event_batches;
}

} // namespace cardamompond::daemon
