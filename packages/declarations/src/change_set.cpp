#include "cardamompond/declarations/change_set.hpp"

#include "json_fields.hpp"

#include <boost/json.hpp>

namespace cardamompond::declarations {

std::string_view to_string(object_kind kind) {
  switch (kind) {
  case object_kind::client_account:
    return "client_account";
  case object_kind::tier:
    return "tier";
  case object_kind::service:
    return "service";
  case object_kind::version:
    return "version";
  case object_kind::availability_zone:
    return "availability_zone";
  case object_kind::backend_server:
    break;
  }
  return "backend_server";
}

std::string to_string(const object_name& name) {
  return std::string(to_string(name.m_kind)) + " " + name.m_name;
}

bool difference::empty() const {
  return m_removed.empty() && m_upserted == object_set{};
}

difference diff(const object_set& from, const object_set& to) {
  difference change;
  for_each_kind(
      [&](object_kind kind, const auto& before, const auto& after, auto& upserted) {
        for (const auto& [name, object] : before) {
          if (!after.contains(name)) {
            change.m_removed.push_back({kind, name});
          }
        }
        for (const auto& [name, object] : after) {
          const auto old_entry = before.find(name);
          if (old_entry == before.end() || !(old_entry->second == object)) {
            upserted.emplace(name, object);
          }
        }
      },
      from, to, change.m_upserted);
  return change;
}

bool apply(const difference& change, object_set& objects) {
  bool complete = true;
  for_each_kind(
      [&](object_kind kind, auto& map, const auto& upserted) {
        for (const auto& [removed_kind, name] : change.m_removed) {
          if (removed_kind == kind) {
            complete = map.erase(name) == 1 && complete;
          }
        }
        for (const auto& [name, object] : upserted) {
          map.insert_or_assign(name, object);
        }
      },
      objects, change.m_upserted);
  return complete;
}

std::vector<object_change> list_changes(const object_set& from, const difference& change) {
  std::vector<object_change> changes;
  for_each_kind(
      [&](object_kind kind, const auto& before, const auto& upserted) {
        for (const auto& [removed_kind, name] : change.m_removed) {
          if (removed_kind == kind) {
            const auto old_entry = before.find(name);
            changes.push_back({object_change::kind::removed,
                               {kind, name},
                               old_entry == before.end() ? std::string() : old_entry->second.m_owner,
                               {},
                               {},
                               {}});
          }
        }
        for (const auto& [name, object] : upserted) {
          const auto old_entry = before.find(name);
          if (old_entry == before.end()) {
            changes.push_back({object_change::kind::added, {kind, name}, object.m_owner, {}, {}, {}});
            continue;
          }
          const auto old_keys = to_json(old_entry->second);
          const auto new_keys = to_json(object);
          const auto to_text = [](const boost::json::object& keys, std::string_view key) {
            const auto* value = keys.if_contains(key);
            return value == nullptr ? std::string("none") : boost::json::serialize(*value);
          };
          auto all_keys = old_keys;
          all_keys.insert(new_keys.begin(), new_keys.end());
          for (const auto& entry : all_keys) {
            auto old_text = to_text(old_keys, entry.key());
            auto new_text = to_text(new_keys, entry.key());
            if (old_text != new_text) {
              changes.push_back({object_change::kind::changed,
                                 {kind, name},
                                 object.m_owner,
                                 std::string(entry.key()),
                                 std::move(old_text),
                                 std::move(new_text)});
            }
          }
        }
      },
      from, change.m_upserted);
  return changes;
}

std::string to_string(const object_change& change) {
  switch (change.m_kind) {
  case object_change::kind::added:
    return "added " + to_string(change.m_object);
  case object_change::kind::removed:
    return "removed " + to_string(change.m_object);
  case object_change::kind::changed:
    break;
  }
  return "changed " + to_string(change.m_object) + ": " + change.m_key + " " + change.m_before + " -> " +
         change.m_after;
}

} // namespace cardamompond::declarations
