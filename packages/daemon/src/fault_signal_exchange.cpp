#include "fault_signal_exchange.hpp"

#include <algorithm>
#include <chrono>

namespace cardamompond::daemon {
namespace {

constexpr std::string_view fault_signals_key = "signals";
constexpr milliseconds platform_timeout{1000};

} // namespace

bool fault_signal_exchange::merge(const fault_signal_set& fault_signals, time_point now) {
  return m_registry.merge(fault_signals, now);
}

bool fault_signal_exchange::merge_encoded(std::string_view text, time_point now) {
  const auto fault_signals = cell::decode_fault_signals(text, now, wall_clock_ms());
  return fault_signals && m_registry.merge(*fault_signals, now);
}

void fault_signal_exchange::apply(const scheduler::configuration& config) {
  for (const auto& version : config.m_versions) {
    m_registry.set_attempt(version.m_service, version.m_name, version.m_attempt);
  }
}

std::string fault_signal_exchange::encoded(time_point now) const {
  return cell::encode_fault_signals(m_registry.fault_signals(now), now, wall_clock_ms());
}

bool fault_signal_exchange::is_quarantined(const hash128& fingerprint, time_point now) const {
  const auto fault_signals = m_registry.fault_signals(now);
  return std::any_of(fault_signals.m_crashes.begin(), fault_signals.m_crashes.end(), [&](const auto& record) {
    return record.m_quarantined && record.m_fingerprint == fingerprint;
  });
}

bool fault_signal_exchange::synchronize_with_store(time_point now) {
  const auto stored = m_store.get(fault_signals_key, platform_timeout);
  if (!stored && stored.error().m_kind != store_error_kind::not_found) {
    return false;
  }
  bool changed = false;
  const object_version version = stored ? stored->m_version : 0;
  if (stored && version != m_object_version) {
    changed = merge_encoded(stored->m_value, now);
    m_object_version = version;
  }
  if (m_registry.version() == m_stored_version) {
    return changed;
  }
  const std::uint64_t written_version = m_registry.version();
  if (auto outcome = m_store.put(fault_signals_key, encoded(now), version, platform_timeout); outcome) {
    m_stored_version = written_version;
    m_object_version = *outcome;
  }
  return changed;
}

} // namespace cardamompond::daemon
