#include "cardamompond/declarations/configuration_replica.hpp"

namespace cardamompond::declarations {
namespace {

// Size limit of the change sets that a replica retains for peers that are behind. It equals the size of the
// change sets that the head may hold.
constexpr std::size_t max_retained_delta_bytes = 64'000;

} // namespace

apply_outcome configuration_replica::apply_deltas(std::span<const change_set> deltas) {
  if (deltas.empty() || deltas.back().m_revision <= revision()) {
    return apply_outcome::unchanged;
  }
  // An empty replica is at revision 0, which is the empty set, so the very first change set applies to it.
  const std::uint64_t next_revision = revision() + 1;
  if (deltas.front().m_revision > next_revision) {
    return apply_outcome::needs_base;
  }
  const auto pending = deltas.subspan(next_revision - deltas.front().m_revision);
  auto updated = m_current ? std::make_shared<snapshot>(*m_current) : std::make_shared<snapshot>();
  for (const auto& change : pending) {
    if (change.m_revision != updated->m_revision + 1) {
      return apply_outcome::malformed;
    }
    // The change set belongs to another history, e.g. because the platform was restored from a backup.
    if (change.m_previous_id != updated->m_change_set_id) {
      return apply_outcome::needs_base;
    }
    if (!apply(change.m_difference, updated->m_objects)) {
      return apply_outcome::needs_base;
    }
    updated->m_revision = change.m_revision;
    updated->m_change_set_id = change.m_id;
  }
  m_current = std::move(updated);
  for (const auto& change : pending) {
    retain_delta(change);
  }
  return apply_outcome::applied;
}

apply_outcome configuration_replica::apply_snapshot(snapshot value) {
  if (value.m_revision <= revision()) {
    return apply_outcome::unchanged;
  }
  m_current = std::make_shared<const snapshot>(std::move(value));
  m_deltas.clear();
  m_delta_bytes = 0;
  return apply_outcome::applied;
}

apply_outcome configuration_replica::apply_update(std::string_view text) {
  auto update = decode_update(text);
  if (!update) {
    return apply_outcome::malformed;
  }
  return update->m_has_snapshot ? apply_snapshot(std::move(update->m_snapshot))
                                : apply_deltas(update->m_deltas);
}

std::string configuration_replica::update_since(std::uint64_t revision) const {
  if (!m_current || revision >= m_current->m_revision) {
    return {};
  }
  if (!m_deltas.empty() && m_deltas.front().m_change.m_revision <= revision + 1) {
    std::vector<change_set> missing;
    for (const auto& retained : m_deltas) {
      if (retained.m_change.m_revision > revision) {
        missing.push_back(retained.m_change);
      }
    }
    return encode_update(missing);
  }
  return encode_update(*m_current);
}

void configuration_replica::retain_delta(const change_set& change) {
  const std::size_t bytes = encode(change).size();
  m_deltas.push_back({change, bytes});
  m_delta_bytes += bytes;
  while (m_delta_bytes > max_retained_delta_bytes) {
    m_delta_bytes -= m_deltas.front().m_bytes;
    m_deltas.pop_front();
  }
}

} // namespace cardamompond::declarations
