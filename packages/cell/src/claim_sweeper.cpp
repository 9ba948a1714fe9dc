#include "cardamompond/cell/claim_sweeper.hpp"

#include "cardamompond/cell/object_claim_store.hpp"

#include <algorithm>

namespace cardamompond::cell {
namespace {

// Unused calls accumulate for at most this time, so that a sweeper that was not called for long does not send
// a burst.
constexpr double max_burst_s = 2;

} // namespace

claim_sweeper::claim_sweeper(object_store& store, claim_sweeper_options options)
    : m_store(store)
    , m_options(options) {}

std::size_t claim_sweeper::sweep(time_point now, std::int64_t wall_clock_ms) {
  if (m_last_sweep) {
    const double elapsed_s = std::chrono::duration<double>(now - *m_last_sweep).count();
    m_available_calls = std::min(m_available_calls + elapsed_s * m_options.m_calls_per_s,
                                 std::max(1.0, max_burst_s * m_options.m_calls_per_s));
  }
  m_last_sweep = now;
  const std::int64_t max_written_ms = wall_clock_ms - milliseconds(m_options.m_max_claim_age).count();
  std::size_t deleted = 0;
  while (m_available_calls >= 1) {
    if (m_queue.empty()) {
      if (m_last_listing && now - *m_last_listing < m_options.m_list_interval) {
        break;
      }
      m_available_calls -= 1;
      auto listed = m_store.list("claims/", m_options.m_timeout);
      if (!listed) {
        break;
      }
      m_last_listing = now;
      m_queue = std::move(*listed);
      std::sort(m_queue.begin(), m_queue.end(),
                [](const auto& left, const auto& right) { return left.m_version > right.m_version; });
      continue;
    }
    m_available_calls -= 1;
    const stored_key oldest = m_queue.back();
    const auto read = m_store.get(oldest.m_key, m_options.m_timeout);
    if (!read && read.error().m_kind != store_error_kind::not_found) {
      break;
    }
    m_queue.pop_back();
    if (!read || read->m_version != oldest.m_version) {
      continue; // deleted or rewritten since the listing
    }
    const auto claim = decode_claim(read->m_value);
    // A date in the future comes from a wrong clock. Such a claim must not end the pass, because it would end
    // every pass until that date is reached.
    if (!claim || claim->m_written_ms > wall_clock_ms) {
      continue;
    }
    if (claim->m_written_ms > max_written_ms) {
      m_queue.clear();
      continue;
    }
    m_available_calls -= 1; // may become negative, so that the average rate holds
    if (m_store.erase(oldest.m_key, oldest.m_version, m_options.m_timeout)) {
      ++deleted;
    }
  }
  return deleted;
}

} // namespace cardamompond::cell
