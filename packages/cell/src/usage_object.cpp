#include "cardamompond/cell/usage_object.hpp"

#include "json_fields.hpp"
#include "usage_fields.hpp"

#include <vector>

namespace cardamompond::cell {
namespace {

constexpr std::size_t max_items = 100'000;

// Rows refer to their key by its index, because the names would take up most of the space.
using key_indices = std::map<usage_key, std::int64_t>;

boost::json::array encode_rows(const usage_table& table, const key_indices& indices) {
  boost::json::array rows;
  rows.reserve(table.size());
  for (const auto& [key, counters] : table) {
    boost::json::array row{indices.at(key)};
    append_counters(row, counters);
    rows.emplace_back(std::move(row));
  }
  return rows;
}

std::string decode_rows(const boost::json::array& rows, const std::vector<usage_key>& keys,
                        usage_table& table) {
  for (const auto& item : rows) {
    const auto* row = item.if_array();
    if (row == nullptr || row->size() != 1 + counter_field_count || !(*row)[0].is_int64()) {
      return "not an index and four integers";
    }
    const auto index = static_cast<std::uint64_t>((*row)[0].get_int64());
    const auto counters = read_counters(*row);
    if (index >= keys.size() || !counters) {
      return "number out of range";
    }
    if (!table.emplace(keys[index], *counters).second) {
      return "repeated key";
    }
  }
  return {};
}

// Decodes the field "ended", which holds the last folded incarnation of each name.
std::string decode_ended(const boost::json::array& items, usage_object& object) {
  for (const auto& item : items) {
    json_fields fields(item, {"name", "incarnation"});
    std::string name;
    std::uint64_t incarnation = 0;
    fields.read("name", name);
    fields.read("incarnation", incarnation);
    if (!object.m_last_folded.emplace(name, incarnation).second) {
      fields.fail("name", "repeated");
    }
    if (!fields.error().empty()) {
      return fields.error();
    }
  }
  return {};
}

std::string decode_incarnation(const boost::json::value& item, const std::vector<usage_key>& keys,
                               usage_object& object) {
  json_fields fields(item, {"name", "incarnation", "counters"});
  daemon_incarnation incarnation;
  fields.read("name", incarnation.m_name);
  fields.read("incarnation", incarnation.m_incarnation);
  const auto* rows = fields.read_array("counters", max_items);
  if (!fields.error().empty()) {
    return fields.error();
  }
  if (object.is_folded(incarnation)) {
    return "incarnation: folded already"; // its usage would be counted twice
  }
  const auto [it, added] = object.m_incarnations.try_emplace(incarnation);
  if (!added) {
    return "incarnation: repeated";
  }
  const auto error = decode_rows(*rows, keys, it->second);
  return error.empty() ? error : "counters: " + error;
}

void add_table(usage_table& sum, const usage_table& table) {
  for (const auto& [key, counters] : table) {
    sum[key].add(counters);
  }
}

} // namespace

bool usage_object::is_folded(const daemon_incarnation& incarnation) const {
  const auto it = m_last_folded.find(incarnation.m_name);
  return it != m_last_folded.end() && incarnation.m_incarnation <= it->second;
}

void usage_object::fold(const daemon_incarnation& incarnation) {
  const auto first = m_incarnations.lower_bound({incarnation.m_name, 0});
  const auto last = m_incarnations.upper_bound(incarnation);
  for (auto it = first; it != last; it = m_incarnations.erase(it)) {
    add_table(m_folded, it->second);
  }
  auto& last_folded = m_last_folded[incarnation.m_name];
  last_folded = std::max(last_folded, incarnation.m_incarnation);
}

usage_table usage_object::totals() const {
  usage_table sum = m_folded;
  for (const auto& [incarnation, table] : m_incarnations) {
    add_table(sum, table);
  }
  return sum;
}

std::string usage_object_key(std::string_view cell, utc_day day) {
  return "usage/" + std::string(cell) + "/" + to_string(day);
}

std::string encode(const usage_object& object) {
  key_indices indices;
  boost::json::array keys;
  for (const auto& [key, counters] : object.totals()) {
    indices.emplace(key, static_cast<std::int64_t>(keys.size()));
    keys.emplace_back(boost::json::array{key.m_client_account, key.m_service, key.m_owner});
  }
  boost::json::array ended;
  for (const auto& [name, incarnation] : object.m_last_folded) {
    ended.emplace_back(boost::json::object{{"name", name}, {"incarnation", incarnation}});
  }
  boost::json::array incarnations;
  for (const auto& [incarnation, table] : object.m_incarnations) {
    incarnations.emplace_back(boost::json::object{{"name", incarnation.m_name},
                                                  {"incarnation", incarnation.m_incarnation},
                                                  {"counters", encode_rows(table, indices)}});
  }
  return boost::json::serialize(boost::json::object{{"keys", std::move(keys)},
                                                    {"folded", encode_rows(object.m_folded, indices)},
                                                    {"ended", std::move(ended)},
                                                    {"incarnations", std::move(incarnations)}});
}

result<usage_object, std::string> decode_usage_object(std::string_view text) {
  boost::system::error_code parse_error;
  const auto value = boost::json::parse(boost::json::string_view(text.data(), text.size()), parse_error);
  if (parse_error) {
    return "usage: " + parse_error.message();
  }
  json_fields fields(value, {"keys", "folded", "ended", "incarnations"});
  const auto* key_items = fields.read_array("keys", max_items);
  const auto* folded = fields.read_array("folded", max_items);
  const auto* ended = fields.read_array("ended", max_items);
  const auto* incarnations = fields.read_array("incarnations", max_items);
  if (!fields.error().empty()) {
    return "usage: " + fields.error();
  }
  std::vector<usage_key> keys;
  for (const auto& item : *key_items) {
    const auto* row = item.if_array();
    const auto key = row != nullptr && row->size() == 3 ? read_key(*row) : std::nullopt;
    if (!key || (!keys.empty() && !(keys.back() < *key))) {
      return "usage: keys[" + std::to_string(keys.size()) + "]: not three names, or not sorted and unique";
    }
    keys.push_back(*key);
  }
  usage_object object;
  if (const auto error = decode_rows(*folded, keys, object.m_folded); !error.empty()) {
    return "usage: folded: " + error;
  }
  if (const auto error = decode_ended(*ended, object); !error.empty()) {
    return "usage: ended: " + error;
  }
  for (const auto& item : *incarnations) {
    if (const auto error = decode_incarnation(item, keys, object); !error.empty()) {
      return "usage: incarnations: " + error;
    }
  }
  return object;
}

} // namespace cardamompond::cell
