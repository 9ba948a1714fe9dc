#include "cardamompond/declarations/codec.hpp"

#include "json_fields.hpp"
#include "json_object_reader.hpp"

#include <boost/json.hpp>

namespace cardamompond::declarations {
namespace {

namespace json = boost::json;

// Writes one list of objects for each kind, in the order of for_each_kind().
json::object write_objects(const object_set& objects, const json::storage_ptr& storage) {
  json::object root(storage);
  for_each_kind(
      [&](object_kind kind, const auto& map) {
        json::array rows(storage);
        rows.reserve(map.size());
        for (const auto& [name, object] : map) {
          rows.emplace_back(to_json(object, storage));
        }
        root.emplace(to_string(kind), std::move(rows));
      },
      objects);
  return root;
}

json::object write_change_set(const change_set& change, const json::storage_ptr& storage) {
  json::object root(storage);
  root.emplace("revision", change.m_revision);
  root.emplace("change_set_id", change.m_id);
  root.emplace("previous_id", change.m_previous_id);
  root.emplace("owner", change.m_owner);
  root.emplace("put", write_objects(change.m_difference.m_upserted, storage));
  json::array removed(storage);
  for (const auto& [kind, name] : change.m_difference.m_removed) {
    removed.emplace_back(json::array({json::value(to_string(kind)), json::value(name)}, storage));
  }
  root.emplace("removed", std::move(removed));
  return root;
}

json::object write_snapshot(const snapshot& value, const json::storage_ptr& storage) {
  json::object root(storage);
  root.emplace("revision", value.m_revision);
  root.emplace("change_set_id", value.m_change_set_id);
  root.emplace("objects", write_objects(value.m_objects, storage));
  return root;
}

json::array write_change_sets(const std::vector<change_set>& changes, const json::storage_ptr& storage) {
  json::array rows(storage);
  for (const auto& change : changes) {
    rows.emplace_back(write_change_set(change, storage));
  }
  return rows;
}

object_set read_objects(const json::value& source, std::string& error) {
  object_set objects;
  json_object_reader root(source, error);
  for_each_kind(
      [&](object_kind kind, auto& map) {
        const std::string kind_name(to_string(kind));
        const auto* rows = root.read_list(kind_name.c_str());
        if (rows == nullptr) {
          return;
        }
        for (const auto& row : *rows) {
          typename std::remove_cvref_t<decltype(map)>::mapped_type object;
          json_field_reader reader(row);
          visit_fields(object, reader);
          reader.finish();
          if (!reader.error().empty()) {
            return root.fail(to_string(object_name{kind, object.m_name}) + ": " + reader.error());
          }
          auto name = object.m_name;
          if (!map.emplace(name, std::move(object)).second) {
            return root.fail(to_string(object_name{kind, name}) + " is given twice");
          }
        }
      },
      objects);
  root.finish();
  return objects;
}

bool parse_object_kind(std::string_view text, object_kind& kind) {
  bool known = false;
  const object_set none;
  for_each_kind(
      [&](object_kind candidate, const auto& /*map*/) {
        if (to_string(candidate) == text) {
          kind = candidate;
          known = true;
        }
      },
      none);
  return known;
}

change_set read_change_set(const json::value& source, std::string& error) {
  change_set change;
  json_object_reader root(source, error);
  change.m_revision = root.read_integer("revision");
  change.m_id = root.read_string("change_set_id");
  change.m_previous_id = root.read_string("previous_id");
  change.m_owner = root.read_string("owner");
  if (const auto* put = root.read_value("put")) {
    change.m_difference.m_upserted = read_objects(*put, error);
  }
  if (const auto* removed = root.read_list("removed")) {
    for (const auto& row : *removed) {
      const auto* pair = row.if_array();
      object_name name;
      if (pair == nullptr || pair->size() != 2 || !(*pair)[0].is_string() || !(*pair)[1].is_string() ||
          !parse_object_kind((*pair)[0].get_string(), name.m_kind)) {
        root.fail("removed contains an entry that is not a pair of kind and name");
        break;
      }
      name.m_name = (*pair)[1].get_string();
      change.m_difference.m_removed.push_back(std::move(name));
    }
  }
  root.finish();
  if (change.m_revision == 0) {
    root.fail("revision is 0");
  }
  return change;
}

// Reads change sets and checks that they are consecutive.
std::vector<change_set> read_change_sets(const json::array& rows, std::string& error) {
  std::vector<change_set> changes;
  for (const auto& row : rows) {
    changes.push_back(read_change_set(row, error));
    if (!error.empty()) {
      return {};
    }
    if (changes.size() > 1 && (changes[changes.size() - 2].m_revision + 1 != changes.back().m_revision ||
                               changes[changes.size() - 2].m_id != changes.back().m_previous_id)) {
      error = "the change sets are not consecutive";
      return {};
    }
  }
  return changes;
}

snapshot read_snapshot(const json::value& source, std::string& error) {
  snapshot value;
  json_object_reader root(source, error);
  value.m_revision = root.read_integer("revision");
  value.m_change_set_id = root.read_string("change_set_id");
  if (const auto* objects = root.read_value("objects")) {
    value.m_objects = read_objects(*objects, error);
  }
  root.finish();
  return value;
}

std::vector<std::string> read_string_list(json_object_reader& root, const char* name) {
  std::vector<std::string> texts;
  if (const auto* rows = root.read_list(name)) {
    for (const auto& row : *rows) {
      if (!row.is_string()) {
        root.fail(std::string(name) + " contains an entry that is not a string");
        break;
      }
      texts.emplace_back(row.get_string());
    }
  }
  return texts;
}

} // namespace

std::string encode(const object_set& objects) {
  json::monotonic_resource memory;
  return json::serialize(write_objects(objects, &memory));
}

std::string encode(const change_set& change) {
  json::monotonic_resource memory;
  return json::serialize(write_change_set(change, &memory));
}

std::string encode(const snapshot& value) {
  json::monotonic_resource memory;
  return json::serialize(write_snapshot(value, &memory));
}

std::string encode(const configuration_head& head) {
  json::monotonic_resource memory;
  const json::storage_ptr storage(&memory);
  json::object root(storage);
  root.emplace("revision", head.m_revision);
  root.emplace("change_set_id", head.m_change_set_id);
  json::object base(storage);
  base.emplace("revision", head.m_base_revision);
  base.emplace("chunks", json::value_from(head.m_base_chunks, storage));
  root.emplace("base", std::move(base));
  root.emplace("deltas", write_change_sets(head.m_deltas, storage));
  json::array recent(storage);
  for (const auto& [id, revision] : head.m_recent_change_sets) {
    recent.emplace_back(json::array({json::value(id), json::value(revision)}, storage));
  }
  root.emplace("recent", std::move(recent));
  return json::serialize(root);
}

std::string encode_update(const std::vector<change_set>& deltas) {
  json::monotonic_resource memory;
  json::object root(&memory);
  root.emplace("deltas", write_change_sets(deltas, &memory));
  return json::serialize(root);
}

std::string encode_update(const snapshot& value) {
  json::monotonic_resource memory;
  json::object root(&memory);
  root.emplace("snapshot", write_snapshot(value, &memory));
  return json::serialize(root);
}

decode_result<object_set> decode_object_set(std::string_view text) {
  return decode_json<object_set>(text, read_objects);
}

decode_result<change_set> decode_change_set(std::string_view text) {
  return decode_json<change_set>(text, read_change_set);
}

decode_result<snapshot> decode_snapshot(std::string_view text) {
  return decode_json<snapshot>(text, read_snapshot);
}

decode_result<configuration_head> decode_head(std::string_view text) {
  return decode_json<configuration_head>(text, [](const json::value& source, std::string& error) {
    configuration_head head;
    json_object_reader root(source, error);
    head.m_revision = root.read_integer("revision");
    head.m_change_set_id = root.read_string("change_set_id");
    if (const auto* base = root.read_value("base")) {
      json_object_reader base_reader(*base, error);
      head.m_base_revision = base_reader.read_integer("revision");
      head.m_base_chunks = read_string_list(base_reader, "chunks");
      base_reader.finish();
    }
    if (const auto* deltas = root.read_list("deltas")) {
      head.m_deltas = read_change_sets(*deltas, error);
    }
    if (const auto* recent = root.read_list("recent")) {
      for (const auto& row : *recent) {
        const auto* pair = row.if_array();
        boost::system::error_code failure;
        if (pair == nullptr || pair->size() != 2 || !(*pair)[0].is_string() || !(*pair)[1].is_number()) {
          root.fail("recent contains an entry that is not a pair of id and revision");
          break;
        }
        head.m_recent_change_sets.push_back(
            {std::string((*pair)[0].get_string()), (*pair)[1].to_number<std::uint64_t>(failure)});
        if (failure) {
          root.fail("recent contains a revision that is not a whole number");
        }
      }
    }
    root.finish();
    // The base and the deltas above it must lead to the revision of the head.
    const bool is_consistent = head.m_deltas.empty()
                                   ? head.m_base_revision == head.m_revision
                                   : head.m_deltas.back().m_revision == head.m_revision &&
                                         head.m_deltas.back().m_id == head.m_change_set_id &&
                                         head.m_deltas.front().m_revision <= head.m_base_revision + 1 &&
                                         head.m_base_revision <= head.m_revision;
    if (error.empty() && (!is_consistent || head.m_revision == 0)) {
      root.fail("base and deltas do not lead to the revision");
    }
    return head;
  });
}

decode_result<configuration_update> decode_update(std::string_view text) {
  return decode_json<configuration_update>(text, [](const json::value& source, std::string& error) {
    configuration_update update;
    const auto* keys = source.if_object();
    update.m_has_snapshot = keys != nullptr && keys->contains("snapshot");
    json_object_reader root(source, error);
    if (update.m_has_snapshot) {
      if (const auto* value = root.read_value("snapshot")) {
        update.m_snapshot = read_snapshot(*value, error);
      }
    } else if (const auto* deltas = root.read_list("deltas")) {
      update.m_deltas = read_change_sets(*deltas, error);
    }
    root.finish();
    return update;
  });
}

} // namespace cardamompond::declarations
