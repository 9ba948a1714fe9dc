#include "cardamompond/declarations/publisher.hpp"

#include "base_chunks.hpp"
#include "cardamompond/declarations/validation.hpp"
#include "schema.hpp"

#include <algorithm>

namespace cardamompond::declarations {
namespace {

// If the change sets that the head holds inline exceed this size, the publisher writes a new base.
constexpr std::size_t max_inline_delta_bytes = 64'000;
// After writing a new base, the publisher keeps the newest change sets up to this size in the head, so that
// daemons that are only a few revisions behind need not load the base.
constexpr std::size_t retained_inline_delta_bytes = 32'000;
// Number of recent change-set ids that the head lists besides those of its inline change sets, so that a
// repeated publication is recognized after its change set has been merged into the base and removed from the
// head.
constexpr std::size_t max_recent_change_set_ids = 64;
// Maximum number of attempts to write the head or a base chunk. Both writes are repeated if their reply was
// lost; the write of the head is also repeated after a version conflict.
constexpr int max_write_attempts = 5;

publish_error unavailable(const store_error& error) {
  return {publish_error_kind::unavailable, error.m_message, {}, {}};
}

// Replaces the objects of one owner in the published set by those of a publish request.
class ownership_merge {
public:
  ownership_merge(const publish_request& request, const object_set& current)
      : m_request(request)
      , m_current(current)
      , m_declared(request.m_objects)
      , m_result(current) {
    set_missing_version_owners();
  }

  object_set merge(std::vector<finding>& findings) {
    bool declares_shared = false;
    for_each_kind(
        [&](object_kind /*kind*/, const auto& declared) {
          for (const auto& [name, object] : declared) {
            declares_shared = declares_shared || object.m_owner.empty();
          }
        },
        m_declared);
    for_each_kind(
        [&](object_kind kind, const auto& declared, const auto& current, auto& result) {
          std::erase_if(result, [&](const auto& entry) {
            const auto& owner = entry.second.m_owner;
            return owner == m_request.m_owner || (owner.empty() && declares_shared);
          });
          for (const auto& [name, object] : declared) {
            const auto published = current.find(name);
            const bool published_by_foreign_owner =
                published != current.end() && is_foreign_owner(published->second.m_owner);
            if (!published_by_foreign_owner && !is_foreign_owner(object.m_owner)) {
              result.insert_or_assign(name, object);
            } else if (published == current.end() || !(published->second == object)) {
              add_ownership_finding(findings, {kind, name},
                                    published_by_foreign_owner ? published->second.m_owner : object.m_owner);
            }
          }
        },
        m_declared, m_current, m_result);
    return std::move(m_result);
  }

private:
  bool is_foreign_owner(const std::string& owner) const {
    return !owner.empty() && owner != m_request.m_owner;
  }

  // Sets the owner of each declared version that has none because the request does not declare its service.
  // The owner is that of the published service or, if the service is not published, that of the request.
  void set_missing_version_owners() {
    for (auto& [name, entry] : m_declared.m_versions) {
      if (entry.m_owner.empty()) {
        const auto service = m_current.m_services.find(entry.m_service);
        entry.m_owner = service == m_current.m_services.end() ? m_request.m_owner : service->second.m_owner;
      }
    }
  }

  void add_ownership_finding(std::vector<finding>& findings, const object_name& name,
                             const std::string& owner) {
    const auto location = m_request.m_sources.find(name, "owner");
    findings.push_back({std::string(location.m_file), location.m_line, to_string(name),
                        "the object belongs to owner \"" + owner + "\" and differs from what is published",
                        "leave it to that owner: remove it here or restore it as published", owner});
  }

  const publish_request& m_request;
  const object_set& m_current;
  object_set m_declared;
  object_set m_result;
};

const object_set& objects_or_empty(const std::shared_ptr<const snapshot>& value) {
  static const object_set none;
  return value ? value->m_objects : none;
}

} // namespace

publish_result<std::shared_ptr<const snapshot>> configuration_publisher::read() {
  if (auto outcome = m_reader.poll(m_timeout); !outcome) {
    return unavailable(outcome.error());
  }
  if (m_replica.revision() != m_reader.head().m_revision) {
    return publish_error{publish_error_kind::unavailable,
                         "the platform returned revision " + std::to_string(m_reader.head().m_revision) +
                             " after revision " + std::to_string(m_replica.revision()),
                         {},
                         {}};
  }
  return m_replica.current();
}

publish_result<planned_change> configuration_publisher::plan(const publish_request& request) {
  if (auto current = read(); !current) {
    return current.error();
  }
  return plan_against_replica(request);
}

publish_result<planned_change>
configuration_publisher::plan_against_replica(const publish_request& request) const {
  publish_error refused{publish_error_kind::refused, "the change set is refused", {}, {}};
  for (const auto& [text, field_name] :
       {std::pair(&request.m_owner, "owner"), std::pair(&request.m_change_set_id, "change-set id")}) {
    if (auto problem = check_text({}, *text)) {
      refused.m_findings.push_back(
          {{}, 0, {}, std::string(field_name) + " " + problem->m_message, problem->m_remedy, {}});
    }
  }
  if (!refused.m_findings.empty()) {
    return refused;
  }
  const auto current = m_replica.current();
  const auto& before = objects_or_empty(current);
  planned_change planned;
  planned.m_objects = ownership_merge(request, before).merge(refused.m_findings);
  for (auto& violation : validate(planned.m_objects, request.m_sources)) {
    if (!violation.m_owner.empty() && violation.m_owner != request.m_owner) {
      violation.m_remedy = "the object belongs to owner \"" + violation.m_owner +
                           "\": keep what it refers to until that owner has changed it";
    }
    refused.m_findings.push_back(std::move(violation));
  }
  if (!refused.m_findings.empty()) {
    return refused;
  }
  planned.m_change.m_revision = m_replica.revision() + 1;
  planned.m_change.m_id = request.m_change_set_id;
  planned.m_change.m_previous_id = current ? current->m_change_set_id : std::string();
  planned.m_change.m_owner = request.m_owner;
  planned.m_change.m_difference = diff(before, planned.m_objects);
  planned.m_object_changes = list_changes(before, planned.m_change.m_difference);
  return planned;
}

publish_result<publish_success> configuration_publisher::publish(const publish_request& request) {
  bool may_be_written = false; // A write with unknown outcome may have taken effect or may still do so.
  std::shared_ptr<const snapshot> based_on;
  object_version based_on_version = 0;
  publish_success success;
  std::string head_text;
  std::vector<std::string> old_chunks;
  const auto make_error = [&](const std::string& message) {
    return publish_error{may_be_written ? publish_error_kind::outcome_unknown
                                        : publish_error_kind::unavailable,
                         message,
                         {},
                         {}};
  };
  std::string last_message;
  bool lost_race = false; // a conditional write failed its version check
  for (int attempt = 0; attempt < max_write_attempts; ++attempt) {
    if (auto current = read(); !current) {
      if (!may_be_written) {
        return current.error();
      }
      last_message = current.error().m_message;
      continue;
    }
    if (const auto revision = find_published(request.m_change_set_id)) {
      success.m_revision = *revision;
      success.m_already_published = !may_be_written;
      erase_old_base(old_chunks);
      return success;
    }
    if (head_text.empty()) {
      based_on = m_replica.current();
      based_on_version = m_reader.head_version();
      if (auto conflict = check_base_revision(request)) {
        return *conflict;
      }
      auto planned = plan_against_replica(request);
      if (!planned) {
        return planned.error();
      }
      if (planned->m_change.m_difference.empty()) {
        success.m_revision = m_replica.revision();
        success.m_nothing_to_change = true;
        return success;
      }
      const auto previous_chunks = m_reader.head().m_base_chunks;
      auto head = make_head(*planned);
      if (!head) {
        return make_error(head.error().m_message);
      }
      if (head->m_base_chunks != previous_chunks) {
        old_chunks = previous_chunks;
      }
      head_text = encode(*head);
      success.m_revision = planned->m_change.m_revision;
      success.m_changes = std::move(planned->m_object_changes);
    } else if (m_reader.head_version() != based_on_version) {
      // Another change set has replaced the head on which this call based its write. Every write of this call
      // expects the old version of the head, so none of them can still take effect.
      return make_conflict_error(based_on);
    }
    const auto written = m_store.put(head_key, head_text, based_on_version, m_timeout);
    if (written) {
      erase_old_base(old_chunks);
      return success;
    }
    last_message = written.error().m_message;
    switch (written.error().m_kind) {
    case store_error_kind::outcome_unknown:
      may_be_written = true;
      break;
    case store_error_kind::conflict:
    case store_error_kind::not_found:
      // The next attempt reads the head, which holds either this change set or that of another operator.
      lost_race = true;
      break;
    case store_error_kind::too_large:
    case store_error_kind::unavailable:
    case store_error_kind::rate_limited:
      if (!may_be_written) {
        return make_error(last_message);
      }
      break;
    }
  }
  if (lost_race && !may_be_written) {
    return publish_error{publish_error_kind::conflict,
                         "another operator published first, and reads of the platform lag behind; nothing of "
                         "this change set is published",
                         {},
                         {}};
  }
  return make_error(last_message);
}

std::optional<publish_error>
configuration_publisher::check_base_revision(const publish_request& request) const {
  const auto current = m_replica.revision();
  if (!request.m_base_revision || *request.m_base_revision >= current) {
    return std::nullopt;
  }
  publish_error conflict{publish_error_kind::conflict,
                         "the configuration has changed since revision " +
                             std::to_string(*request.m_base_revision),
                         {},
                         {}};
  const auto& deltas = m_reader.head().m_deltas;
  if (deltas.empty() || deltas.front().m_revision > *request.m_base_revision + 1) {
    conflict.m_message += ", which is too old to list the changes";
    return conflict;
  }
  // Only changes to objects that this request replaces are conflicts; changes to objects of other owners are
  // merged.
  for (const auto& change : deltas) {
    if (change.m_revision <= *request.m_base_revision) {
      continue;
    }
    for (auto& listed_change : list_changes({}, change.m_difference)) {
      const bool removed = listed_change.m_kind == object_change::kind::removed;
      const auto& owner = removed ? change.m_owner : listed_change.m_owner;
      // A change set does not record whether a removed object was shared. Only tiers can be shared, so every
      // removed tier is listed, even if it belonged to another owner.
      const bool may_be_shared = removed && listed_change.m_object.m_kind == object_kind::tier;
      if (owner == request.m_owner || owner.empty() || may_be_shared) {
        listed_change.m_kind = removed ? object_change::kind::removed : object_change::kind::changed;
        if (!removed) {
          listed_change.m_key = "at revision";
          listed_change.m_before = std::to_string(change.m_revision - 1);
          listed_change.m_after = std::to_string(change.m_revision);
        }
        conflict.m_changes.push_back(std::move(listed_change));
      }
    }
  }
  if (conflict.m_changes.empty()) {
    return std::nullopt;
  }
  return conflict;
}

store_result<configuration_head> configuration_publisher::make_head(const planned_change& planned) {
  configuration_head head = m_reader.head();
  head.m_revision = planned.m_change.m_revision;
  head.m_change_set_id = planned.m_change.m_id;
  head.m_deltas.push_back(planned.m_change);
  head.m_recent_change_sets.push_back({planned.m_change.m_id, planned.m_change.m_revision});
  if (head.m_recent_change_sets.size() > max_recent_change_set_ids) {
    head.m_recent_change_sets.erase(head.m_recent_change_sets.begin());
  }
  std::vector<std::size_t> delta_bytes;
  std::size_t total_delta_bytes = 0;
  for (const auto& change : head.m_deltas) {
    delta_bytes.push_back(encode(change).size());
    total_delta_bytes += delta_bytes.back();
  }
  if (total_delta_bytes <= max_inline_delta_bytes) {
    return head;
  }
  auto chunks = write_base({head.m_revision, head.m_change_set_id, planned.m_objects});
  if (!chunks) {
    return chunks.error();
  }
  head.m_base_revision = head.m_revision;
  head.m_base_chunks = std::move(*chunks);
  std::size_t dropped_delta_count = 0;
  while (total_delta_bytes > retained_inline_delta_bytes) {
    total_delta_bytes -= delta_bytes[dropped_delta_count++];
  }
  head.m_deltas.erase(head.m_deltas.begin(),
                      head.m_deltas.begin() + static_cast<std::ptrdiff_t>(dropped_delta_count));
  return head;
}

store_result<std::vector<std::string>> configuration_publisher::write_base(const snapshot& base) {
  std::vector<std::string> keys;
  for (const auto& chunk : encode_base(base)) {
    keys.push_back(chunk_key(chunk));
    for (int attempt = 1;; ++attempt) {
      const auto written = m_store.put(keys.back(), chunk, 0, m_timeout);
      // A conflict means that the chunk exists. Its key is the hash of its content, so the content is the
      // same.
      if (written || written.error().m_kind == store_error_kind::conflict) {
        break;
      }
      if (written.error().m_kind != store_error_kind::outcome_unknown || attempt == max_write_attempts) {
        return written.error();
      }
    }
  }
  return keys;
}

publish_error
configuration_publisher::make_conflict_error(const std::shared_ptr<const snapshot>& based_on) const {
  const auto current = m_replica.current();
  const auto& before = objects_or_empty(based_on);
  return {publish_error_kind::conflict,
          "another operator published revision " + std::to_string(m_replica.revision()) + " (change set " +
              m_reader.head().m_change_set_id + ") first; nothing of this change set is published",
          {},
          list_changes(before, diff(before, objects_or_empty(current)))};
}

std::optional<std::uint64_t> configuration_publisher::find_published(const std::string& id) const {
  const auto& head = m_reader.head();
  for (const auto& [recent_id, revision] : head.m_recent_change_sets) {
    if (recent_id == id) {
      return revision;
    }
  }
  for (const auto& change : head.m_deltas) {
    if (change.m_id == id) {
      return change.m_revision;
    }
  }
  return std::nullopt;
}

void configuration_publisher::erase_old_base(const std::vector<std::string>& chunks) {
  // Errors are ignored: a chunk that is not erased only takes up space. A reader that still needs an erased
  // chunk reads the head again and finds the new base.
  for (const auto& key : chunks) {
    if (const auto found = m_store.get(key, m_timeout)) {
      static_cast<void>(m_store.erase(key, found->m_version, m_timeout));
    }
  }
}

} // namespace cardamompond::declarations
