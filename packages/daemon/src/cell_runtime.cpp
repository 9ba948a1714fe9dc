#include "cardamompond/daemon/cell_runtime.hpp"

#include "fault_signal_exchange.hpp"

#include "cardamompond/daemon/admin_server.hpp"
#include "cardamompond/declarations/configuration_replica.hpp"
#include "cardamompond/declarations/reader.hpp"
#include "cardamompond/declarations/scheduler_configuration.hpp"
#include "cardamompond/telemetry/log.hpp"

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <boost/fiber/operations.hpp>

#include <algorithm>
#include <map>
#include <mutex>
#include <random>

namespace cardamompond::daemon {
namespace {

using cell::cell_role;

constexpr milliseconds tick_interval{10};
constexpr milliseconds fault_signal_check_interval{250};
constexpr milliseconds limit_announcement_interval{500};
constexpr seconds fault_signal_synchronization_interval{5};

// Number of members that watch the configuration on the platform. With two, the cell keeps adopting revisions
// without a pause when one of them dies.
constexpr std::size_t configuration_readers = 2;

constexpr milliseconds watch_timeout{10'000};
constexpr milliseconds read_timeout{1'000};

// The other members poll the configuration head at this interval, in case they cannot reach the watching
// members.
constexpr seconds safety_poll_interval{30};

constexpr milliseconds initial_backoff{200};
constexpr milliseconds max_backoff{5'000};

} // namespace

class cell_runtime::impl final : public cell_link, public peer::peer_handler {
public:
  impl(net::fiber_runtime& runtime, object_store& store, cell_runtime_options options,
       engine_factory make_engine)
      : m_options(std::move(options))
      , m_daemon_key(make_daemon_key(m_options.m_name, m_options.m_incarnation))
      , m_store(store)
      , m_random(m_options.m_seed ^ m_daemon_key)
      , m_member({m_options.m_cell,
                  {m_options.m_name, m_options.m_incarnation, m_options.m_peer_address,
                   m_options.m_availability_zone},
                  m_options.m_seed ^ m_daemon_key,
                  m_options.m_timing},
                 monotonic_now())
      , m_permits({m_options.m_name, m_daemon_key, std::move(make_engine)}, *this)
      , m_reader(store, m_replica)
      , m_fault_signals(store)
      , m_transport(runtime, {m_options.m_peer_address, m_options.m_secret, m_options.m_name, m_daemon_key},
                    *this) {}

  // cell_link
  void send_events(const std::string& member, peer::event_batch batch,
                   std::function<void(const peer::batch_reply&)> on_reply) override;
  void send_decisions(const std::string& member, peer::decision_batch batch,
                      std::function<void(const peer::batch_reply&)> on_reply) override;
  bool may_grant(time_point now) const override { return m_member.may_grant(now); }
  std::vector<std::string> registered_members() const override;
  std::vector<std::string> live_members(time_point now) const override { return m_member.live_members(now); }
  std::span<const cell::backend_limit> limits() const override { return m_member.limits(); }

  // peer_handler
  peer::batch_reply on_events(std::string_view daemon, const peer::event_batch& batch) override {
    return m_permits.on_events(daemon, batch, monotonic_now());
  }
  peer::batch_reply on_decisions(std::string_view daemon, const peer::decision_batch& batch) override {
    return m_permits.on_decisions(daemon, batch, monotonic_now());
  }
  void on_cell_message(const cell::cell_message& message, std::string_view reply_address) override {
    m_reply_address = reply_address;
    execute_actions(m_member.receive(message, monotonic_now()));
  }
  std::string on_fetch_configuration(std::uint64_t above_revision) override {
    return m_replica.update_since(above_revision);
  }
  std::string on_fetch_signals() override { return m_fault_signals.encoded(monotonic_now()); }
  void on_usage(std::string_view daemon, std::string_view payload) override {
    if (m_usage_receiver) {
      m_usage_receiver(daemon, payload);
    }
  }

  void run_ticks();
  void run_configuration_reader();
  void run_fault_signal_synchronization();
  void execute_actions(std::vector<cell::cell_action> actions);
  void apply_adopted_configuration();

  cell_runtime_options m_options;
  std::uint64_t m_daemon_key;
  object_store& m_store;
  std::mt19937_64 m_random;
  cell::cell_member m_member;
  cell_permit_client m_permits;
  declarations::configuration_replica m_replica;
  declarations::configuration_reader m_reader;
  fault_signal_exchange m_fault_signals;
  std::vector<change_callback> m_change_callbacks;
  usage_receiver m_usage_receiver;
  scheduler::configuration m_scheduler_configuration;
  struct peer_version {
    std::uint64_t m_revision = 0;
    std::uint64_t m_fault_signals_version = 0;
    time_point m_since; // when m_revision was first received from the peer
  };
  std::map<std::string, peer_version, std::less<>> m_peer_versions;
  bool m_platform_reachable = false;
  bool m_stopping = false;
  std::size_t m_running_fibers = 0;
  std::uint64_t m_adopted_revision = 0;
  time_point m_configuration_adopted_at;

  // The transport is declared after the members above, and so destroyed before them, because its callbacks
  // use them.
  peer::peer_transport m_transport;

private:
  void execute_action(cell::send_action& action);
  void execute_action(cell::read_action& action);
  void execute_action(cell::write_action& action);
  void execute_action(cell::status_action& action);
  void execute_action(cell::member_lost_action& action);
  void execute_action(cell::member_found_action& action);
  void execute_action(cell::peer_versions_action& action);
  void execute_action(cell::limits_action& action);
  std::string address_of(std::string_view member) const;
  void fetch_configuration(const std::string& address);
  void fetch_signals(const std::string& address);
  void collect_engine_fault_signals(time_point now);
  void announce_limits(time_point now);
  void announce_versions();
  bool is_configuration_reader(time_point now) const;

  boost::fibers::condition_variable m_wake_condition;
  bool m_woken = false;
  std::string m_reply_address; // reply address of the cell message that is being handled
  bool m_fetching_configuration = false;
  bool m_fetching_fault_signals = false;
  time_point m_last_fault_signal_check{};
  time_point m_last_limit_announcement{};
  time_point m_last_configuration_read{};
};

std::string cell_runtime::impl::address_of(std::string_view member) const {
  const auto* found = m_member.record().find(member);
  return found == nullptr ? std::string() : found->m_address;
}

std::vector<std::string> cell_runtime::impl::registered_members() const {
  std::vector<std::string> names;
  for (const auto& member : m_member.record().m_members) {
    names.push_back(member.m_name);
  }
  return names;
}

void cell_runtime::impl::send_events(const std::string& member, peer::event_batch batch,
                                     std::function<void(const peer::batch_reply&)> on_reply) {
  if (const auto address = address_of(member); !address.empty()) {
    m_transport.send_events(address, std::move(batch),
                            [on_reply](const peer::peer_result<peer::batch_reply>& reply) {
                              on_reply(reply ? *reply : peer::batch_reply{});
                            });
  }
}

void cell_runtime::impl::send_decisions(const std::string& member, peer::decision_batch batch,
                                        std::function<void(const peer::batch_reply&)> on_reply) {
  if (const auto address = address_of(member); !address.empty()) {
    m_transport.send_decisions(address, std::move(batch),
                               [on_reply](const peer::peer_result<peer::batch_reply>& reply) {
                                 on_reply(reply ? *reply : peer::batch_reply{});
                               });
  }
}

void cell_runtime::impl::execute_actions(std::vector<cell::cell_action> actions) {
  for (auto& action : actions) {
    std::visit([this](auto& typed) { execute_action(typed); }, action);
  }
}

void cell_runtime::impl::execute_action(cell::send_action& action) {
  // A sender that is not registered has no address in the cell record; the reply goes to the address it gave.
  const std::string& address = action.m_address.empty() ? m_reply_address : action.m_address;
  if (!address.empty()) {
    m_transport.send_cell_message(address, std::move(action.m_message));
  }
}

void cell_runtime::impl::execute_action(cell::read_action& action) {
  ++m_running_fibers;
  net::fiber_runtime::spawn([this, action = std::move(action)] {
    const auto outcome = m_store.get(action.m_key, action.m_timeout);
    execute_actions(m_member.complete_read(action.m_request_id, outcome, monotonic_now()));
    --m_running_fibers;
  });
}

void cell_runtime::impl::execute_action(cell::write_action& action) {
  ++m_running_fibers;
  net::fiber_runtime::spawn([this, action = std::move(action)] {
    const auto outcome =
        m_store.put(action.m_key, action.m_value, action.m_expected_version, action.m_timeout);
    execute_actions(m_member.complete_write(action.m_request_id, outcome, monotonic_now()));
    --m_running_fibers;
  });
}

void cell_runtime::impl::execute_action(cell::status_action& action) {
  log_event(log_level::info, "cell_status",
            {{"role", to_string(action.m_status.m_role)},
             {"epoch", action.m_status.m_epoch},
             {"owner", action.m_status.m_owner}});
  m_permits.set_status(action.m_status, monotonic_now());
}

void cell_runtime::impl::execute_action(cell::member_lost_action& action) {
  log_event(log_level::warning, "member_lost",
            {{"member", action.m_name}, {"incarnation", action.m_incarnation}});
  m_peer_versions.erase(action.m_name);
  m_permits.handle_member_lost(make_daemon_key(action.m_name, action.m_incarnation));
}

void cell_runtime::impl::execute_action(cell::member_found_action& action) {
  log_event(log_level::info, "member_found",
            {{"member", action.m_name}, {"incarnation", action.m_incarnation}});
}

void cell_runtime::impl::execute_action(cell::peer_versions_action& action) {
  auto& version = m_peer_versions[action.m_name];
  if (action.m_revision != version.m_revision) {
    version.m_since = monotonic_now();
  }
  const bool new_fault_signals = action.m_fault_signals_version != version.m_fault_signals_version;
  version.m_revision = action.m_revision;
  version.m_fault_signals_version = action.m_fault_signals_version;
  const auto address = address_of(action.m_name);
  if (address.empty()) {
    return;
  }
  if (action.m_revision > m_replica.revision()) {
    fetch_configuration(address);
  }
  if (new_fault_signals) {
    fetch_signals(address);
  }
}

void cell_runtime::impl::execute_action(cell::limits_action& /*action*/) {
  // No action is needed: cell_member stores the limits, and they are read when a fallback starts.
}

void cell_runtime::impl::fetch_configuration(const std::string& address) {
  if (std::exchange(m_fetching_configuration, true)) {
    return;
  }
  m_transport.fetch_configuration(
      address, m_replica.revision(), [this](const peer::peer_result<std::string>& text) {
        m_fetching_configuration = false;
        if (text && !text->empty() && m_replica.apply_update(*text) == declarations::apply_outcome::applied) {
          apply_adopted_configuration();
        }
      });
}

void cell_runtime::impl::fetch_signals(const std::string& address) {
  if (std::exchange(m_fetching_fault_signals, true)) {
    return;
  }
  m_transport.fetch_signals(address, [this](const peer::peer_result<std::string>& text) {
    m_fetching_fault_signals = false;
    if (text && m_fault_signals.merge_encoded(*text, monotonic_now())) {
      m_permits.merge(m_fault_signals.fault_signals(monotonic_now()));
      announce_versions();
    }
  });
}

void cell_runtime::impl::apply_adopted_configuration() {
  const auto snapshot = m_replica.current();
  if (!snapshot || snapshot->m_revision <= m_adopted_revision) {
    return;
  }
  m_adopted_revision = snapshot->m_revision;
  m_configuration_adopted_at = monotonic_now();
  log_event(log_level::info, "configuration_adopted", {{"revision", snapshot->m_revision}});
  const declarations::clock_reading now{m_configuration_adopted_at, std::chrono::system_clock::now()};
  m_scheduler_configuration = declarations::make_scheduler_configuration(*snapshot, m_options.m_cell, now,
                                                                         &m_scheduler_configuration);
  m_fault_signals.apply(m_scheduler_configuration);
  m_permits.apply(m_scheduler_configuration);
  announce_versions();
  for (const auto& callback : m_change_callbacks) {
    callback(snapshot);
  }
}

void cell_runtime::impl::announce_versions() {
  m_member.set_local_versions(m_replica.revision(), m_fault_signals.version());
}

// Merges the fault signals found by the engine into this daemon's set. The next heartbeat announces the new
// version to the peers.
void cell_runtime::impl::collect_engine_fault_signals(time_point now) {
  if (now - m_last_fault_signal_check < fault_signal_check_interval) {
    return;
  }
  m_last_fault_signal_check = now;
  m_fault_signals.expire(now);
  if (m_fault_signals.merge(m_permits.fault_signals(), now)) {
    log_event(log_level::warning, "fault_signals_changed", {{"version", m_fault_signals.version()}});
    announce_versions();
  }
}

void cell_runtime::impl::announce_limits(time_point now) {
  if (m_member.status().m_role != cell_role::owner ||
      now - m_last_limit_announcement < limit_announcement_interval) {
    return;
  }
  m_last_limit_announcement = now;
  std::vector<cell::backend_limit> limits;
  for (const auto& server : m_permits.engine().status().m_backend_servers) {
    limits.push_back({server.m_name, server.m_limit});
  }
  m_member.set_limits(std::move(limits));
}

void cell_runtime::impl::run_ticks() {
  m_permits.set_wake_callback([this] {
    m_woken = true;
    m_wake_condition.notify_one();
  });
  boost::fibers::mutex mutex; // required by the condition variable; the daemon has one thread
  std::unique_lock lock(mutex);
  auto next_tick = monotonic_now();
  while (!m_stopping) {
    m_wake_condition.wait_until(lock, next_tick, [this] { return m_woken || m_stopping; });
    // Fibers that are ready run first, so that the events they cause are handled in one batch.
    boost::this_fiber::yield();
    m_woken = false;
    const auto now = monotonic_now();
    if (now >= next_tick) {
      next_tick = now + tick_interval;
      execute_actions(m_member.tick(now));
      collect_engine_fault_signals(now);
      announce_limits(now);
    }
    m_permits.tick(now);
  }
  m_permits.set_wake_callback([] {});
  --m_running_fibers;
}

bool cell_runtime::impl::is_configuration_reader(time_point now) const {
  if (m_replica.revision() == 0) {
    return true;
  }
  const auto live = m_member.live_members(now);
  const auto readers_end =
      live.begin() + static_cast<std::ptrdiff_t>(std::min(configuration_readers, live.size()));
  return std::find(live.begin(), readers_end, m_options.m_name) != readers_end;
}

void cell_runtime::impl::run_configuration_reader() {
  milliseconds backoff = initial_backoff;
  while (!m_stopping) {
    const auto now = monotonic_now();
    const bool is_reader = is_configuration_reader(now);
    if (!is_reader && now - m_last_configuration_read < safety_poll_interval) {
      boost::this_fiber::sleep_for(milliseconds(250));
      continue;
    }
    const bool use_watch = is_reader && m_replica.revision() != 0;
    const auto outcome = use_watch ? m_reader.watch(watch_timeout) : m_reader.poll(read_timeout);
    m_last_configuration_read = monotonic_now();
    m_platform_reachable = outcome.has_value();
    apply_adopted_configuration();
    if (outcome) {
      backoff = initial_backoff;
      if (!use_watch) {
        boost::this_fiber::sleep_for(initial_backoff);
      }
      continue;
    }
    // The jitter prevents all daemons from retrying at the same time after an outage of the platform.
    boost::this_fiber::sleep_for(backoff + milliseconds(m_random() % static_cast<unsigned>(backoff.count())));
    backoff = std::min(backoff * 2, max_backoff);
  }
  --m_running_fibers;
}

void cell_runtime::impl::run_fault_signal_synchronization() {
  while (!m_stopping) {
    if (m_member.status().m_role == cell_role::owner &&
        m_fault_signals.synchronize_with_store(monotonic_now())) {
      m_permits.merge(m_fault_signals.fault_signals(monotonic_now()));
      announce_versions();
    }
    const auto until = monotonic_now() + fault_signal_synchronization_interval;
    while (!m_stopping && monotonic_now() < until) {
      boost::this_fiber::sleep_for(milliseconds(250));
    }
  }
  --m_running_fibers;
}

cell_runtime::cell_runtime(net::fiber_runtime& runtime, object_store& store, cell_runtime_options options,
                           engine_factory make_engine)
    : m_impl(std::make_unique<impl>(runtime, store, std::move(options), std::move(make_engine))) {}

cell_runtime::~cell_runtime() = default;

void cell_runtime::start() {
  m_impl->m_running_fibers += 3;
  net::fiber_runtime::spawn([self = m_impl.get()] { self->run_ticks(); });
  net::fiber_runtime::spawn([self = m_impl.get()] { self->run_configuration_reader(); });
  net::fiber_runtime::spawn([self = m_impl.get()] { self->run_fault_signal_synchronization(); });
}

void cell_runtime::leave() {
  m_impl->execute_actions(m_impl->m_member.leave(monotonic_now()));
}

bool cell_runtime::has_left() const {
  return status().m_role == cell_role::left;
}

void cell_runtime::stop() {
  m_impl->m_stopping = true;
  while (m_impl->m_running_fibers > 0) {
    boost::this_fiber::sleep_for(milliseconds(5));
  }
}

cell_permit_client& cell_runtime::permits() {
  return m_impl->m_permits;
}

shared_snapshot cell_runtime::current() const {
  return m_impl->m_replica.current();
}

void cell_runtime::on_change(change_callback callback) {
  m_impl->m_change_callbacks.push_back(std::move(callback));
}

bool cell_runtime::platform_reachable() const {
  return m_impl->m_platform_reachable && m_impl->m_member.platform_reachable(monotonic_now());
}

bool cell_runtime::ready() const {
  const auto role = status().m_role;
  return m_impl->m_replica.revision() != 0 &&
         (role == cell_role::member || role == cell_role::owner_waiting || role == cell_role::owner ||
          role == cell_role::fallback);
}

const cell::cell_status& cell_runtime::status() const {
  return m_impl->m_member.status();
}

const cell::cell_record& cell_runtime::record() const {
  return m_impl->m_member.record();
}

std::vector<std::string> cell_runtime::live_members(time_point now) const {
  return m_impl->m_member.live_members(now);
}

bool cell_runtime::is_quarantined(const hash128& fingerprint) const {
  return m_impl->m_fault_signals.is_quarantined(fingerprint, monotonic_now());
}

void cell_runtime::push_usage(std::string payload, std::function<void(bool)> on_reply) {
  const auto& cell_status = status();
  if (cell_status.m_role != cell_role::member || cell_status.m_owner_address.empty()) {
    on_reply(false);
    return;
  }
  m_impl->m_transport.push_usage(cell_status.m_owner_address, std::move(payload),
                                 [on_reply = std::move(on_reply)](const peer::peer_result<success>& reply) {
                                   on_reply(reply.has_value());
                                 });
}

void cell_runtime::set_usage_receiver(usage_receiver receiver) {
  m_impl->m_usage_receiver = std::move(receiver);
}

peer::transport_counters cell_runtime::peer_counters() const {
  return m_impl->m_transport.counters();
}

std::vector<cell_runtime::member_revision> cell_runtime::member_revisions() const {
  std::vector<member_revision> revisions = {
      {m_impl->m_options.m_name, m_impl->m_replica.revision(), m_impl->m_configuration_adopted_at}};
  for (const auto& [name, version] : m_impl->m_peer_versions) {
    revisions.push_back({name, version.m_revision, version.m_since});
  }
  return revisions;
}

} // namespace cardamompond::daemon
