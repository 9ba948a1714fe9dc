#pragma once

#include "cardamompond/declarations/objects.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace cardamompond::declarations {

// One fault in the declarations, with its place and what the operator can do about it.
struct finding {
  std::string m_file;       // empty if the object does not come from a file, but from the platform
  std::uint32_t m_line = 0; // from 1; 0 if unknown
  std::string m_object;     // kind and name, e.g. "tier batch"; empty for faults of a whole file
  std::string m_message;
  std::string m_remedy;
  std::string m_owner; // of the object; empty if shared or unknown
  friend bool operator==(const finding&, const finding&) = default;
};

// Returns the finding as one line: "FILE:LINE: OBJECT: MESSAGE; REMEDY".
std::string to_string(const finding& value);

// Where the objects and their keys were read from.
class source_map {
public:
  struct position {
    std::string_view m_file;
    std::uint32_t m_line = 0;
  };

  // The line of a key; m_key has static storage.
  struct key_line {
    const char* m_key = nullptr;
    std::uint32_t m_line = 0;
  };

  // Starts a file; the objects that follow are in it.
  void begin_file(std::string name);

  // Records an object of the current file.
  void add_object(const object_name& name, std::uint32_t line, std::vector<key_line> keys);

  // The place of an object's key, or of the object if the key is not recorded; empty if the object is
  // unknown.
  position find(const object_name& name, std::string_view key) const;

private:
  struct entry {
    std::uint32_t m_file = 0;
    std::uint32_t m_line = 0;
    std::vector<key_line> m_keys;
  };

  std::vector<std::string> m_files;
  std::map<object_name, entry> m_entries;
};

} // namespace cardamompond::declarations
