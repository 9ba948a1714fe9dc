#include "cardamompond/declarations/finding.hpp"

namespace cardamompond::declarations {

std::string to_string(const finding& value) {
  std::string text = value.m_file.empty() ? std::string("published configuration") : value.m_file;
  if (value.m_line != 0) {
    text += ":" + std::to_string(value.m_line);
  }
  text += ": ";
  if (!value.m_object.empty()) {
    text += value.m_object + ": ";
  }
  return text + value.m_message + "; " + value.m_remedy;
}

void source_map::begin_file(std::string name) {
  m_files.push_back(std::move(name));
}

void source_map::add_object(const object_name& name, std::uint32_t line, std::vector<key_line> keys) {
  m_entries[name] = {static_cast<std::uint32_t>(m_files.size() - 1), line, std::move(keys)};
}

source_map::position source_map::find(const object_name& name, std::string_view key) const {
  const auto found = m_entries.find(name);
  if (found == m_entries.end()) {
    return {};
  }
  const auto& object = found->second;
  for (const auto& [recorded_key, line] : object.m_keys) {
    if (recorded_key == key) {
      return {m_files[object.m_file], line};
    }
  }
  return {m_files[object.m_file], object.m_line};
}

} // namespace cardamompond::declarations
