#include "cardamompond/gateway/store_era.hpp"

#include "cardamompond/telemetry/log.hpp"

namespace cardamompond::gateway {
namespace {

// A single answer may be a late copy of another one on the same connection.
constexpr int min_contradictions = 3;

} // namespace

bool store_era::record(std::optional<std::uint64_t> stated, sent_mark sent) {
  if (!stated) {
    return true;
  }
  if (*stated >= m_latest) {
    m_contradictions = 0;
    if (*stated > m_latest) {
      follow(*stated);
    }
    return true;
  }
  if (sent != m_changes) {
    return false; // sent before the latest era was stated
  }
  m_contradictions = *stated == m_contradicting_era ? m_contradictions + 1 : 1;
  m_contradicting_era = *stated;
  if (m_contradictions < min_contradictions) {
    return false;
  }
  log_event(log_level::warning, "store_era_withdrawn",
            {{"era", m_latest}, {"stated_era", *stated}, {"answers", m_contradictions}});
  ++m_withdrawals;
  m_contradictions = 0;
  follow(*stated);
  return true;
}

void store_era::follow(std::uint64_t era) {
  m_latest = era;
  ++m_changes;
}

} // namespace cardamompond::gateway
