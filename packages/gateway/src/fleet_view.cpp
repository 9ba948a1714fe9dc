#include "cardamompond/gateway/fleet_view.hpp"

#include "cardamompond/telemetry/log.hpp"

#include <algorithm>
#include <span>
#include <utility>

namespace cardamompond::gateway {
namespace {

// Servers write their entries again within about two seconds after the store has come back from a copy. One
// that is missing after that is gone.
constexpr duration entries_restore_time = milliseconds(2'200);

// For how long what was known before the store came back holds against the entries of its copy. The store
// removes the entry of a server that has left after 3.6 s of silence; the operator has to notice the loss.
constexpr duration earlier_era_time = seconds(5);

// Declarations state their version themselves, so that an older one never replaces a newer one, and daemons
// write their own entries.
bool holds_earlier_era(collection_kind kind) {
  return kind == collection_kind::backend_servers || kind == collection_kind::rollouts ||
         kind == collection_kind::evacuations;
}

// For how long entries are kept that the copy lacks. The rollout controller itself keeps orders.
duration kept_time(collection_kind kind) {
  switch (kind) {
  case collection_kind::backend_servers:
    return entries_restore_time;
  case collection_kind::evacuations:
    return earlier_era_time;
  default:
    return duration::zero();
  }
}

} // namespace

fleet_view::fleet_view(const document_reader& reader)
    : m_reader(reader) {}

bool fleet_view::apply(collection_kind kind, const collection_snapshot& snapshot, std::string_view source,
                       collection_replica::origin from) {
  report_unreadable_entries(kind, snapshot.m_unreadable_entries, source);
  if (begins_era(kind, snapshot, from)) {
    begin_era(kind, snapshot, source);
  }
  auto& replica = m_collections[static_cast<std::size_t>(kind)];
  const bool changed = keeps_earlier_era(kind, monotonic_now()) ? replica.apply_keeping(snapshot, from)
                                                                : replica.apply(snapshot, from);
  if (!changed) {
    return false;
  }
  decode(kind, source);
  return true;
}

bool fleet_view::apply(collection_kind kind, const collection_changes& changes, std::string_view source) {
  report_unreadable_entries(kind, changes.m_unreadable_entries, source);
  if (!m_collections[static_cast<std::size_t>(kind)].apply(changes)) {
    return false;
  }
  decode(kind, source);
  return true;
}

bool fleet_view::apply_keeping(collection_kind kind, const collection_snapshot& snapshot,
                               std::string_view source) {
  report_unreadable_entries(kind, snapshot.m_unreadable_entries, source);
  if (!m_collections[static_cast<std::size_t>(kind)].apply_keeping(snapshot)) {
    return false;
  }
  decode(kind, source);
  return true;
}

bool fleet_view::begins_era(collection_kind kind, const collection_snapshot& snapshot,
                            collection_replica::origin from) const {
  const auto& known = collection(kind);
  return known.loaded() && snapshot.m_as_of.m_revision > 0 && snapshot.m_as_of.m_era != known.as_of().m_era &&
         !known.is_older(snapshot, from);
}

// A daemon that cannot reach the store learns of the new era from a peer; the copy is as old then.
void fleet_view::begin_era(collection_kind kind, const collection_snapshot& snapshot,
                           std::string_view source) {
  const store_version before = collection(kind).as_of();
  const time_point now = monotonic_now();
  if (holds_earlier_era(kind)) {
    const bool servers = kind == collection_kind::backend_servers;
    if (servers) {
      record_restore(snapshot.m_as_of.m_era, now);
    }
    earlier(kind).begin(snapshot.m_as_of,
                        servers ? std::span<const fleet::backend_server>(m_backend_servers)
                                : std::span<const fleet::backend_server>(),
                        now + kept_time(kind), now + earlier_era_time);
    earlier(kind).expire(now); // nothing is kept of some collections
  }
  log_event(log_level::info, "store_era_changed",
            {{"collection", to_string(kind)},
             {"era", before.m_era},
             {"as_of", before.m_revision},
             {"new_era", snapshot.m_as_of.m_era},
             {"new_as_of", snapshot.m_as_of.m_revision},
             {"source", source}});
}

std::optional<time_point> fleet_view::restored_at() const {
  const bool known = m_restored_at != time_point{} &&
                     m_restored_era == collection(collection_kind::backend_servers).as_of().m_era;
  return known ? std::optional(m_restored_at) : std::nullopt;
}

// The first notice of an era is nearest to its beginning. A peer may be in an earlier era.
void fleet_view::record_restore(std::uint64_t era, time_point when) {
  if (m_restored_at != time_point{} && era == m_restored_era) {
    m_restored_at = std::min(m_restored_at, when);
  } else if (era > m_restored_era || !restored_at()) {
    m_restored_era = era;
    m_restored_at = when;
  }
}

bool fleet_view::keeps_earlier_era(collection_kind kind, time_point now) const {
  return m_earlier_eras[static_cast<std::size_t>(kind)].keeps_missing(now);
}

void fleet_view::expire_earlier_era(collection_kind kind, time_point now) {
  const auto ended = earlier(kind).expire(now);
  const bool dropped = ended.m_kept && m_collections[static_cast<std::size_t>(kind)].drop_kept();
  if (dropped || ended.m_all) {
    decode(kind, "end_of_earlier_era");
  }
}

std::optional<time_point> fleet_view::next_earlier_era_expiry(collection_kind kind) const {
  return m_earlier_eras[static_cast<std::size_t>(kind)].next_expiry();
}

void fleet_view::drop_kept(collection_kind kind, std::string_view source) {
  if (m_collections[static_cast<std::size_t>(kind)].drop_kept()) {
    decode(kind, source);
  }
}

void fleet_view::confirm(collection_kind kind, store_version as_of, time_point when) {
  m_collections[static_cast<std::size_t>(kind)].confirm(as_of, when);
}

void fleet_view::report_unreadable(collection_kind kind, const document& each,
                                   const unreadable_document& error) {
  ++m_unreadable_documents;
  log_event(log_level::warning, "document_unreadable",
            {{"collection", to_string(kind)},
             {"name", each.m_name},
             {"era", each.m_version.m_era},
             {"revision", each.m_version.m_revision},
             {"reason", error.m_reason}});
}

void fleet_view::report_unreadable_entries(collection_kind kind, std::size_t count, std::string_view source) {
  if (count == 0) {
    return;
  }
  m_unreadable_documents += count;
  log_event(log_level::warning, "document_unreadable",
            {{"collection", to_string(kind)},
             {"source", source},
             {"documents", count},
             {"reason", "no name or revision"}});
}

template <typename T, typename Read>
std::vector<T> fleet_view::decode_changed(collection_kind kind, decoded_documents<T>& known,
                                          const Read& read) {
  const auto& documents = collection(kind).documents();
  const auto& kept = collection(kind).kept_documents();
  std::erase_if(
      known, [&](const auto& each) { return !documents.contains(each.first) && !kept.contains(each.first); });
  std::vector<T> all;
  all.reserve(documents.size() + kept.size());
  const auto add = [&](const std::string& name, const document& each) {
    auto& [version, object] = known[name];
    if (version != each.m_version) {
      version = each.m_version;
      if (auto decoded = read(each)) {
        object = std::move(*decoded);
      } else {
        object.reset();
        report_unreadable(kind, each, decoded.error());
      }
    }
    if (object) {
      all.push_back(*object);
    }
  };
  for (const auto& [name, each] : documents) {
    add(name, each);
  }
  for (const auto& [name, each] : kept) {
    add(name, each);
  }
  return all;
}

void fleet_view::decode_declarations(std::string_view source) {
  for (const auto& [name, each] : collection(collection_kind::declarations).documents()) {
    auto decoded = m_reader.read_declarations(each);
    if (!decoded) {
      report_unreadable(collection_kind::declarations, each, decoded.error());
      continue;
    }
    if (m_routes && decoded->m_version < m_routes->source().m_version) {
      // An older version never replaces a newer one. After the store came back from a copy, the newer one
      // holds until the operator has written it, or a later one, again.
      log_event(log_level::warning, "declarations_ignored",
                {{"version", decoded->m_version},
                 {"in_force", m_routes->source().m_version},
                 {"era", each.m_version.m_era},
                 {"revision", each.m_version.m_revision},
                 {"source", source}});
      continue;
    }
    m_routes = std::make_shared<const fleet::route_table>(
        std::make_shared<const fleet::declarations>(std::move(*decoded)));
    log_event(log_level::info, "declarations_in_force",
              {{"version", m_routes->source().m_version},
               {"era", each.m_version.m_era},
               {"revision", each.m_version.m_revision},
               {"source", source},
               {"routes", m_routes->source().m_routes.size()}});
  }
}

// Servers that were removed shortly before the store came back from a copy are not used again because of it.
void fleet_view::decode_servers() {
  constexpr auto kind = collection_kind::backend_servers;
  const auto& replica = collection(kind);
  for (const auto& each : m_backend_servers) {
    if (!replica.documents().contains(each.m_id) && !replica.kept_documents().contains(each.m_id)) {
      earlier(kind).record_removal(each.m_id, each.m_started_unix_ms, monotonic_now());
    }
  }
  m_backend_servers = decode_changed<fleet::backend_server>(
      kind, m_decoded_servers, [&](const document& each) { return m_reader.read_backend_server(each); });
  std::erase_if(m_backend_servers, [&](const fleet::backend_server& each) {
    const auto listed = replica.documents().find(each.m_id);
    return listed != replica.documents().end() &&
           earlier(kind).is_removed(each.m_id, each.m_started_unix_ms, listed->second.m_version);
  });
  for (const auto& each : m_backend_servers) {
    earlier(kind).forget_removal(each.m_id);
  }
  for (auto& each : m_backend_servers) {
    each = earlier(kind).resolve(each);
  }
}

// An order that was removed shortly before the store came back from a copy is not taken for a new one.
void fleet_view::decode_rollouts() {
  constexpr auto kind = collection_kind::rollouts;
  const auto& documents = collection(kind).documents();
  const std::uint64_t era = collection(kind).as_of().m_era;
  // What is missing in the first list of an era was lost, not removed.
  if (std::exchange(m_rollouts_era, era) == era) {
    for (const auto& each : m_rollouts) {
      if (!documents.contains(each.m_service)) {
        earlier(kind).record_removal(each.m_service, 0, monotonic_now());
      }
    }
  }
  m_rollouts = decode_changed<fleet::rollout_order>(
      kind, m_decoded_rollouts, [&](const document& each) { return m_reader.read_rollout(each); });
  std::erase_if(m_rollouts, [&](const fleet::rollout_order& each) {
    const auto listed = documents.find(each.m_service);
    return listed != documents.end() && earlier(kind).is_removed(each.m_service, 0, listed->second.m_version);
  });
  for (const auto& each : m_rollouts) {
    earlier(kind).forget_removal(each.m_service);
  }
}

void fleet_view::decode_evacuations() {
  constexpr auto kind = collection_kind::evacuations;
  const auto& replica = collection(kind);
  const auto before = std::exchange(m_evacuated_zones, {});
  for (const auto& zone : before) {
    if (!replica.documents().contains(zone) && !replica.kept_documents().contains(zone)) {
      earlier(kind).record_removal(zone, 0, monotonic_now());
    }
  }
  for (const auto& [name, each] : replica.documents()) {
    if (!earlier(kind).is_removed(name, 0, each.m_version)) {
      earlier(kind).forget_removal(name);
      m_evacuated_zones.insert(name);
    }
  }
  for (const auto& [name, each] : replica.kept_documents()) {
    m_evacuated_zones.insert(name);
  }
}

void fleet_view::decode(collection_kind kind, std::string_view source) {
  switch (kind) {
  case collection_kind::declarations:
    decode_declarations(source);
    break;
  case collection_kind::backend_servers:
    decode_servers();
    break;
  case collection_kind::rollouts:
    decode_rollouts();
    break;
  case collection_kind::evacuations:
    decode_evacuations();
    break;
  case collection_kind::members:
    m_members = decode_changed<member>(kind, m_decoded_members,
                                       [&](const document& each) { return m_reader.read_member(each); });
    break;
  }
  if (kind != collection_kind::declarations) {
    log_event(log_level::info, "collection_changed",
              {{"collection", to_string(kind)},
               {"era", collection(kind).as_of().m_era},
               {"as_of", collection(kind).as_of().m_revision},
               {"source", source},
               {"documents", collection(kind).documents().size()},
               {"kept", collection(kind).kept_documents().size()}});
  }
  for (const auto& notify : m_observers) {
    notify(kind);
  }
}

} // namespace cardamompond::gateway
