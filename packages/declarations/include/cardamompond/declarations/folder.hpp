#pragma once

#include "cardamompond/declarations/finding.hpp"
#include "cardamompond/declarations/objects.hpp"

#include <filesystem>
#include <span>
#include <string>
#include <vector>

namespace cardamompond::declarations {

// The objects read from TOML files. The set is complete only if there are no findings.
struct parsed_declarations {
  object_set m_objects;
  source_map m_sources;
  std::vector<finding> m_findings;
};

struct source_text {
  std::string m_name; // file name shown in findings
  std::string m_text;
};

// Reads all *.toml files in the folder and its subfolders, in order of their paths. Reports syntax errors,
// unknown and missing keys, wrong types, values out of bounds and duplicate names as findings; validate()
// checks references between objects. A folder without any *.toml file is a finding, too.
parsed_declarations read_folder(const std::filesystem::path& folder);

// Does the same for texts in memory.
parsed_declarations read_texts(std::span<const source_text> texts);

} // namespace cardamompond::declarations
