#include "cardamompond/cell/cell_record.hpp"

#include "json_fields.hpp"

#include <algorithm>

#include <boost/json.hpp>

namespace cardamompond::cell {
namespace {

constexpr std::size_t max_members = 1024;

auto by_name = [](const member_record& member, std::string_view name) { return member.m_name < name; };

std::string decode_member(const boost::json::value& value, member_record& member) {
  json_fields fields(value, {"name", "incarnation", "address", "zone"});
  fields.read("name", member.m_name);
  fields.read("incarnation", member.m_incarnation);
  fields.read("address", member.m_address);
  fields.read("zone", member.m_zone);
  if (fields.error().empty() && member.m_name.empty()) {
    return "name is empty";
  }
  return fields.error();
}

} // namespace

const member_record* cell_record::find(std::string_view name) const {
  const auto it = std::lower_bound(m_members.begin(), m_members.end(), name, by_name);
  return it != m_members.end() && it->m_name == name ? &*it : nullptr;
}

void cell_record::set(member_record member) {
  const auto it = std::lower_bound(m_members.begin(), m_members.end(), member.m_name, by_name);
  if (it != m_members.end() && it->m_name == member.m_name) {
    *it = std::move(member);
  } else {
    m_members.insert(it, std::move(member));
  }
}

void cell_record::remove(std::string_view name) {
  if (m_owner == name) {
    m_owner.clear();
  }
  std::erase_if(m_members, [&](const member_record& member) { return member.m_name == name; });
}

std::string cell_key(std::string_view cell) {
  return "cells/" + std::string(cell);
}

std::string encode(const cell_record& record) {
  boost::json::array members;
  for (const auto& member : record.m_members) {
    members.push_back({{"name", member.m_name},
                       {"incarnation", member.m_incarnation},
                       {"address", member.m_address},
                       {"zone", member.m_zone}});
  }
  return boost::json::serialize(boost::json::value{
      {"epoch", record.m_epoch}, {"owner", record.m_owner}, {"members", std::move(members)}});
}

result<cell_record, std::string> decode_cell_record(std::string_view text) {
  boost::system::error_code parse_error;
  const auto value = boost::json::parse(boost::json::string_view(text.data(), text.size()), parse_error);
  if (parse_error) {
    return "cell record: " + parse_error.message();
  }
  cell_record record;
  json_fields fields(value, {"epoch", "owner", "members"});
  fields.read("epoch", record.m_epoch);
  fields.read("owner", record.m_owner);
  const auto* members = fields.read_array("members", max_members);
  if (!fields.error().empty()) {
    return "cell record: " + fields.error();
  }
  for (const auto& item : *members) {
    member_record member;
    if (const auto error = decode_member(item, member); !error.empty()) {
      return "cell record: members[" + std::to_string(record.m_members.size()) + "]: " + error;
    }
    if (!record.m_members.empty() && record.m_members.back().m_name >= member.m_name) {
      return "cell record: members[" + std::to_string(record.m_members.size()) +
             "]: names are not sorted and unique: " + member.m_name;
    }
    record.m_members.push_back(std::move(member));
  }
  if (!record.m_owner.empty() && record.find(record.m_owner) == nullptr) {
    return "cell record: owner: not a member: " + record.m_owner;
  }
  return record;
}

} // namespace cardamompond::cell
