#include "cardamompond/gateway/collection_replica.hpp"

#include <algorithm>

namespace cardamompond::gateway {

std::string_view to_string(collection_kind kind) {
  constexpr std::string_view names[] = {"declarations", "backend_servers", "rollouts", "evacuations",
                                        "members"};
  return names[static_cast<std::size_t>(kind)];
}

std::string_view to_string(document_error_kind kind) {
  constexpr std::string_view names[] = {"history_gone", "conflict",        "not_found", "unavailable",
                                        "rate_limited", "outcome_unknown", "malformed"};
  return names[static_cast<std::size_t>(kind)];
}

bool collection_replica::is_older(const collection_snapshot& snapshot, origin from) const {
  const bool replaces_era_of_peer =
      from == origin::store && !m_era_from_store && snapshot.m_as_of.m_era != m_as_of.m_era;
  return snapshot.m_as_of < m_as_of && !replaces_era_of_peer;
}

bool collection_replica::apply(const collection_snapshot& snapshot, origin from) {
  if (snapshot.m_as_of.m_revision == 0 || is_older(snapshot, from)) {
    return false;
  }
  const bool same_era = snapshot.m_as_of.m_era == m_as_of.m_era;
  m_era_from_store = from == origin::store || (same_era && m_era_from_store);
  document_map new_documents;
  for (const auto& each : snapshot.m_documents) {
    new_documents.emplace(each.m_name, each);
  }
  const bool same = std::equal(new_documents.begin(), new_documents.end(), m_documents.begin(),
                               m_documents.end(), [](const auto& a, const auto& b) {
                                 return a.first == b.first && a.second.m_version == b.second.m_version;
                               });
  const bool changed = !same || !same_era || !loaded();
  if (changed) {
    m_changed_at = snapshot.m_as_of;
  }
  m_as_of = snapshot.m_as_of;
  m_documents = std::move(new_documents);
  std::erase_if(m_kept, [&](const auto& each) { return m_documents.contains(each.first); });
  return changed;
}

bool collection_replica::apply_keeping(const collection_snapshot& snapshot, origin from) {
  document_map known = m_documents;
  known.insert(m_kept.begin(), m_kept.end());
  const std::size_t kept_before = m_kept.size();
  const bool changed = apply(snapshot, from);
  std::erase_if(known, [&](const auto& each) { return m_documents.contains(each.first); });
  m_kept = std::move(known);
  return changed || m_kept.size() != kept_before;
}

bool collection_replica::drop_kept() {
  const bool any = !m_kept.empty();
  m_kept.clear();
  return any;
}

bool collection_replica::apply(const collection_changes& changes) {
  if (changes.m_as_of < m_as_of || changes.m_as_of.m_era != m_as_of.m_era || changes.m_after > m_as_of) {
    return false;
  }
  m_as_of = changes.m_as_of;
  bool changed = false;
  for (const auto& [changed_document, removed] : changes.m_changes) {
    const auto known = m_documents.find(changed_document.m_name);
    // A removal carries the revision either of the removal or of the removed content; both are accepted.
    if (known != m_documents.end() && changed_document.m_version < known->second.m_version) {
      continue;
    }
    changed = true;
    m_kept.erase(changed_document.m_name);
    if (removed) {
      m_documents.erase(changed_document.m_name);
    } else {
      m_documents.insert_or_assign(changed_document.m_name, changed_document);
    }
  }
  if (changed) {
    m_changed_at = m_as_of;
  }
  return changed;
}

void collection_replica::confirm(store_version as_of, time_point when) {
  if (as_of.m_era != m_as_of.m_era) {
    return;
  }
  m_as_of = std::max(m_as_of, as_of);
  m_confirmed_at = std::max(m_confirmed_at, when);
}

std::size_t collection_replica::bytes() const {
  std::size_t sum = 0;
  for (const auto& [name, each] : m_documents) {
    sum += each.m_content.size();
  }
  return sum;
}

collection_snapshot collection_replica::snapshot() const {
  collection_snapshot all{m_as_of, {}, 0};
  for (const auto& [name, each] : m_documents) {
    all.m_documents.push_back(each);
  }
  return all;
}

} // namespace cardamompond::gateway
