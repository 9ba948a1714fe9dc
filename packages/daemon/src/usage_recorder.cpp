#include "cardamompond/daemon/usage_recorder.hpp"

#include "cardamompond/telemetry/log.hpp"

#include <boost/fiber/operations.hpp>

#include <algorithm>
#include <chrono>

namespace cardamompond::daemon {
namespace {

constexpr seconds report_interval{1};
constexpr seconds write_interval{5};
constexpr milliseconds platform_timeout{1000};
constexpr milliseconds handover_wait{600}; // longer than the timeout of a call to a peer

cell::utc_day today() {
  return cell::day_of(wall_clock_ms());
}

} // namespace

usage_recorder::usage_recorder(object_store& store, cell_runtime& cell, usage_recorder_options options)
    : m_store(store)
    , m_cell(cell)
    , m_options(std::move(options))
    , m_meter({.m_name = m_options.m_name, .m_incarnation = m_options.m_incarnation}) {
  m_cell.set_usage_receiver(
      [this](std::string_view /*member*/, std::string_view payload) { merge_report(payload); });
}

void usage_recorder::add(const request_usage& usage) {
  const auto snapshot = m_cell.current();
  std::string server_owner;
  if (snapshot) {
    const auto& servers = snapshot->m_objects.m_backend_servers;
    if (const auto found = servers.find(usage.m_backend_server); found != servers.end()) {
      server_owner = found->second.m_owner;
    }
  }
  cell::usage_counters counters;
  counters.m_prompt_tokens = usage.m_prompt_tokens;
  counters.m_output_tokens = usage.m_output_tokens;
  counters.m_requests = 1;
  counters.m_engine_us = static_cast<std::uint64_t>(std::max<std::int64_t>(0, usage.m_engine_time.count()));
  m_meter.add(today(), {usage.m_client_account, usage.m_service, server_owner}, counters);
}

bool usage_recorder::owns_cell() const {
  const auto role = m_cell.status().m_role;
  return role == cell::cell_role::owner || role == cell::cell_role::owner_waiting;
}

// May also be called on a daemon that has just ceased to be the owner. Its ledger is then handed over to the
// new owner.
void usage_recorder::merge_report(std::string_view payload) {
  const auto report = cell::decode_usage_report(payload);
  if (!report) {
    log_event(log_level::warning, "usage_report_malformed", {{"reason", report.error()}});
    return;
  }
  ++m_merged_reports;
  m_ledger.merge(*report, today(), monotonic_now());
}

void usage_recorder::push_report(const cell::usage_report& report, std::function<void()> on_accepted) {
  m_cell.push_usage(cell::encode(report), [on_accepted = std::move(on_accepted)](bool accepted) {
    if (accepted) {
      on_accepted();
    }
  });
}

void usage_recorder::report_to_owner() {
  const std::uint64_t epoch = m_cell.status().m_epoch;
  m_meter.set_epoch(epoch);
  const auto report = m_meter.unacknowledged();
  if (report.m_days.empty()) {
    return;
  }
  if (owns_cell()) {
    m_ledger.merge(report, today(), monotonic_now());
    m_meter.acknowledge(report, epoch);
    return;
  }
  push_report(report, [this, report, epoch] { m_meter.acknowledge(report, epoch); });
}

// Sends the unwritten counters from this daemon's time as the owner to the new owner. The ledger is cleared
// once all of them have been accepted, unless more reports were merged meanwhile.
void usage_recorder::hand_over_ledger() {
  const auto unwritten = m_ledger.unwritten_reports();
  if (unwritten.empty() || owns_cell()) {
    return;
  }
  auto pending = std::make_shared<std::size_t>(unwritten.size());
  for (const auto& report : unwritten) {
    push_report(report, [this, pending, merged = m_merged_reports] {
      if (--*pending == 0 && merged == m_merged_reports && !owns_cell()) {
        m_ledger = cell::usage_ledger();
      }
    });
  }
}

bool usage_recorder::write_day(cell::utc_day day) {
  const std::string key = cell::usage_object_key(m_options.m_cell, day);
  if (m_ledger.stored_version(day) == 0) {
    const auto stored = m_store.get(key, platform_timeout);
    if (!stored && stored.error().m_kind != store_error_kind::not_found) {
      return false;
    }
    if (stored) {
      const auto object = cell::decode_usage_object(stored->m_value);
      if (!object) {
        log_event(log_level::error, "usage_object_malformed", {{"key", key}, {"reason", object.error()}});
        return false;
      }
      m_ledger.merge_stored(day, *object, stored->m_version, monotonic_now());
    }
  }
  const auto text = m_ledger.prepare_write(day, monotonic_now());
  if (!text) {
    log_event(log_level::error, "usage_object_too_large", {{"key", key}, {"bytes", text.error().m_bytes}});
    return false;
  }
  const auto written = m_store.put(key, *text, m_ledger.stored_version(day), platform_timeout);
  if (written) {
    m_ledger.merge_stored(day, *cell::decode_usage_object(*text), *written, monotonic_now());
    return true;
  }
  // Another owner wrote the object, or the reply was lost. Read the object before the next attempt.
  if (const auto stored = m_store.get(key, platform_timeout)) {
    if (const auto object = cell::decode_usage_object(stored->m_value)) {
      m_ledger.merge_stored(day, *object, stored->m_version, monotonic_now());
    }
  }
  return false;
}

void usage_recorder::write_days() {
  for (const auto day : m_ledger.unwritten_days()) {
    if (!write_day(day)) {
      return; // tried again at the next interval
    }
  }
}

void usage_recorder::run() {
  time_point last_written = monotonic_now();
  while (true) {
    boost::this_fiber::sleep_for(report_interval);
    report_to_owner();
    if (monotonic_now() - last_written < write_interval) {
      continue;
    }
    last_written = monotonic_now();
    if (owns_cell()) {
      write_days();
    } else {
      hand_over_ledger();
    }
    m_meter.expire(today());
    m_ledger.expire(today());
  }
}

void usage_recorder::flush() {
  report_to_owner();
  if (owns_cell()) {
    write_days();
  } else {
    hand_over_ledger();
    boost::this_fiber::sleep_for(handover_wait);
  }
}

} // namespace cardamompond::daemon
