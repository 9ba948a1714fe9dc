#pragma once

#include "cardamompond/declarations/objects.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace cardamompond::declarations {

// An error in the declarations, with its location and what the operator can do about it.
struct finding {
  std::string m_file;       // empty if the object comes from the platform rather than from a file
  std::uint32_t m_line = 0; // from 1; 0 if unknown
  std::string m_object;     // kind and name, e.g. "tier batch"; empty for errors that concern a whole file
  std::string m_message;
  std::string m_remedy;
  std::string m_owner; // owner of the object; empty if shared or unknown
  friend bool operator==(const finding&, const finding&) = default;
};

// Returns the finding as one line: "FILE:LINE: OBJECT: MESSAGE; REMEDY".
std::string to_string(const finding& value);

// Records the file and line from which each object and each of its keys was read.
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

  // Makes `name` the current file, to which the objects added next belong.
  void begin_file(std::string name);

  // Records an object that was read from the current file.
  void add_object(const object_name& name, std::uint32_t line, std::vector<key_line> keys);

  // Returns the position of a key of an object, or of the object itself if the key is not recorded. The
  // position is empty if the object is unknown.
  position find(const object_name& name, std::string_view key) const;

private:
  struct entry {
    std::uint32_t m_file = 0; // index into m_files
    std::uint32_t m_line = 0;
    std::vector<key_line> m_keys;
  };

  std::vector<std::string> m_files;
  std::map<object_name, entry> m_entries;
};

} // namespace cardamompond::declarations
