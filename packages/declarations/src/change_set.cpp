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
      [&](object_kind kind, const auto& before, const auto& after, auto& put) {
        for (const auto& [name, object] : before) {
          if (!after.contains(name)) {
            change.m_removed.push_back({kind, name});
          }
        }
        for (const auto& [name, object] : after) {
          const auto old = before.find(name);
          if (old == before.end() || !(old->second == object)) {
            put.emplace(name, object);
          }
        }
      },
      from, to, change.m_upserted);
  return change;
}

bool apply(const difference& change, object_set& objects) {
  bool complete = true;
  for_each_kind(
      [&](object_kind kind, auto& map, const auto& put) {
        for (const auto& [removed_kind, name] : change.m_removed) {
          if (removed_kind == kind) {
            complete = map.erase(name) == 1 && complete;
          }
        }
        for (const auto& [name, object] : put) {
          map.insert_or_assign(name, object);
        }
      },
      objects, change.m_upserted);
  return complete;
}

std::vector<object_change> list_changes(const object_set& from, const difference& change) {
  std::vector<object_change> lines;
  for_each_kind(
      [&](object_kind kind, const auto& before, const auto& put) {
        for (const auto& [removed_kind, name] : change.m_removed) {
          if (removed_kind == kind) {
            const auto old = before.find(name);
            lines.push_back({object_change::kind::removed,
                             {kind, name},
                             old == before.end() ? std::string() : old->second.m_owner,
                             {},
                             {},
                             {}});
          }
        }
        for (const auto& [name, object] : put) {
          const auto old = before.find(name);
          if (old == before.end()) {
            lines.push_back({object_change::kind::added, {kind, name}, object.m_owner, {}, {}, {}});
            continue;
          }
          const auto old_keys = to_json(old->second);
          const auto new_keys = to_json(object);
          const auto text_of = [](const boost::json::object& keys, std::string_view key) {
            const auto* value = keys.if_contains(key);
            return value == nullptr ? std::string("none") : boost::json::serialize(*value);
          };
          auto all = old_keys;
          all.insert(new_keys.begin(), new_keys.end());
          for (const auto& entry : all) {
            auto old_text = text_of(old_keys, entry.key());
            auto new_text = text_of(new_keys, entry.key());
            if (old_text != new_text) {
              lines.push_back({object_change::kind::changed,
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
  return lines;
}

std::string to_string(const object_change& line) {
  switch (line.m_kind) {
  case object_change::kind::added:
    return "added " + to_string(line.m_object);
  case object_change::kind::removed:
    return "removed " + to_string(line.m_object);
  case object_change::kind::changed:
    break;
  }
  return "changed " + to_string(line.m_object) + ": " + line.m_key + " " + line.m_before + " -> " +
         line.m_after;
}

} // namespace cardamompond::declarations
