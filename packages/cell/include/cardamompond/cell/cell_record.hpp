#pragma once

#include "cardamompond/core/object_store.hpp"
#include "cardamompond/core/result.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cardamompond::cell {

// A daemon registered in a cell.
struct member_record {
  std::string m_name;
  std::uint64_t m_incarnation = 0; // increases with each start of the daemon; at most 2^63 - 1
  std::string m_address;           // peer address, "ip:port"
  std::string m_zone;
  friend bool operator==(const member_record&, const member_record&) = default;
};

// The value of the platform object cells/<cell>. Members are sorted by name, and names are unique.
struct cell_record {
  std::uint64_t m_epoch = 0;
  std::string m_owner; // name of a member; empty while there is none
  std::vector<member_record> m_members;

  // Returns the member of this name, or null.
  const member_record* find(std::string_view name) const;

  // Adds a member or replaces the one of the same name.
  void set(member_record member);

  // Removes the member of this name, if there is one. Clears m_owner if it is this name.
  void remove(std::string_view name);

  // Returns the smallest number of members that is more than half of them.
  std::size_t majority() const { return m_members.size() / 2 + 1; }

  friend bool operator==(const cell_record&, const cell_record&) = default;
};

// A cell record and the version of the platform object from which it was read.
struct versioned_record {
  cell_record m_record;
  object_version m_version = 0;
};

// Returns the key of the platform object, "cells/<cell>".
std::string cell_key(std::string_view cell);

std::string encode(const cell_record& record);

// Decodes a record strictly: unknown or missing fields, an owner that is not a member, unsorted or repeated
// names and numbers out of range are errors. Repeated fields are not detected. The error is one line that
// names the field.
result<cell_record, std::string> decode_cell_record(std::string_view text);

} // namespace cardamompond::cell
