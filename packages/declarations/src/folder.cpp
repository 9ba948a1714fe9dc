#include "cardamompond/declarations/folder.hpp"

#include "cardamompond/declarations/validation.hpp"
#include "toml_field_reader.hpp"

#include <algorithm>
#include <fstream>

namespace cardamompond::declarations {
namespace {

// Larger files are rejected as not being declarations: 10,000 backend servers take about 3 MB.
constexpr std::uintmax_t max_file_bytes = 64U << 20U;

// toml++ limits the nesting depth of values to 256, but not the number of parts of a dotted key. As it frees
// tables recursively, a key of 200,000 parts overflows the stack. The only dotted key in declarations is
// [service.move].
constexpr std::size_t max_dots_per_key = 100;

// Returns the first line with more than max_dots_per_key dots between two key delimiters, or 0 if there is
// none. Dots in values and comments are counted like those in keys.
std::uint32_t find_long_key(std::string_view text) {
  std::uint32_t line = 1;
  std::size_t dots = 0;
  for (const char c : text) {
    line += c == '\n' ? 1U : 0U;
    if (c == '=' || c == ',' || c == '{' || c == '\n') {
      dots = 0;
    } else if (c == '.' && ++dots > max_dots_per_key) {
      return line;
    }
  }
  return 0;
}

// Parses files and adds their objects and findings to `target`.
class file_reader {
public:
  explicit file_reader(parsed_declarations& target)
      : m_target(target) {}

  void read(const source_text& text) {
    m_target.m_sources.begin_file(text.m_name);
    if (const auto line = find_long_key(text.m_text); line != 0) {
      m_target.m_findings.push_back(
          {text.m_name,
           line,
           {},
           "more than " + std::to_string(max_dots_per_key) + " dots in one key, value or comment",
           "remove the dots; no declaration needs that many",
           {}});
      return;
    }
    try {
      const toml::table root = toml::parse(std::string_view(text.m_text));
      read_root(text.m_name, root);
    } catch (const toml::parse_error& error) {
      m_target.m_findings.push_back({text.m_name,
                                     error.source().begin.line,
                                     {},
                                     "not valid TOML: " + std::string(error.description()),
                                     "correct the syntax; the rest of the file is checked after that",
                                     {}});
    } catch (const toml_assertion_error&) {
      m_target.m_findings.push_back({text.m_name,
                                     find_toml_error_line(text.m_text),
                                     {},
                                     "not valid TOML",
                                     "correct the syntax; the rest of the file is checked after that",
                                     {}});
    }
  }

private:
  void read_root(const std::string& file, const toml::table& root) {
    for (const auto& entry : root) {
      const std::string_view key = entry.first.str();
      const toml::node& node = entry.second;
      bool known = false;
      for_each_kind(
          [&](object_kind kind, auto& map) {
            if (key == to_string(kind)) {
              known = true;
              read_objects(file, kind, node, map);
            }
          },
          m_target.m_objects);
      if (!known) {
        m_target.m_findings.push_back({file,
                                       node.source().begin.line,
                                       {},
                                       "unknown kind of object \"" + std::string(key) + "\"",
                                       "use client_account, tier, service, version, availability_zone or "
                                       "backend_server in double brackets",
                                       {}});
      }
    }
  }

  template <typename Map>
  void read_objects(const std::string& file, object_kind kind, const toml::node& node, Map& map) {
    const auto* rows = node.as_array();
    if (rows == nullptr ||
        !std::all_of(rows->begin(), rows->end(), [](const auto& row) { return row.is_table(); })) {
      m_target.m_findings.push_back({file,
                                     node.source().begin.line,
                                     {},
                                     std::string(to_string(kind)) + " is not a list of tables",
                                     "write [[" + std::string(to_string(kind)) + "]] in double brackets",
                                     {}});
      return;
    }
    for (const auto& row : *rows) {
      read_object(file, kind, *row.as_table(), map);
    }
  }

  template <typename Map>
  void read_object(const std::string& file, object_kind kind, const toml::table& source, Map& map) {
    typename Map::mapped_type object;
    const std::size_t first_finding = m_target.m_findings.size();
    toml_field_reader reader(source, m_target.m_findings, {});
    visit_fields(object, reader);
    reader.finish();
    const object_name name{kind, object.m_name};
    const auto line = source.source().begin.line;
    for (std::size_t i = first_finding; i < m_target.m_findings.size(); ++i) {
      m_target.m_findings[i].m_file = file;
      m_target.m_findings[i].m_object =
          object.m_name.empty() ? std::string(to_string(kind)) : to_string(name);
      m_target.m_findings[i].m_owner = object.m_owner;
    }
    if (object.m_name.empty()) {
      return;
    }
    if (map.contains(object.m_name)) {
      const auto earlier = m_target.m_sources.find(name, {});
      m_target.m_findings.push_back({file, line, to_string(name),
                                     "the name is already used at " + std::string(earlier.m_file) + ":" +
                                         std::to_string(earlier.m_line),
                                     "rename or remove one of the two", object.m_owner});
      return;
    }
    m_target.m_sources.add_object(name, line, reader.take_key_lines());
    auto key = object.m_name;
    map.emplace(std::move(key), std::move(object));
  }

  parsed_declarations& m_target;
};

void add_file_finding(parsed_declarations& target, const std::filesystem::path& file, std::string message,
                      std::string remedy) {
  target.m_findings.push_back({file.string(), 0, {}, std::move(message), std::move(remedy), {}});
}

} // namespace

parsed_declarations read_texts(std::span<const source_text> texts) {
  parsed_declarations parsed;
  file_reader reader(parsed);
  for (const auto& text : texts) {
    reader.read(text);
  }
  set_version_owners(parsed.m_objects);
  return parsed;
}

parsed_declarations read_folder(const std::filesystem::path& folder) {
  parsed_declarations parsed;
  std::vector<std::filesystem::path> files;
  std::error_code error;
  std::filesystem::recursive_directory_iterator entries(folder, error);
  for (; !error && entries != std::filesystem::recursive_directory_iterator(); entries.increment(error)) {
    if (entries->path().extension() == ".toml") {
      files.push_back(entries->path());
    }
  }
  if (error) {
    add_file_finding(parsed, folder, "cannot read the folder: " + error.message(),
                     "name a folder with declarations that you may read");
    return parsed;
  }
  if (files.empty()) {
    add_file_finding(parsed, folder, "the folder contains no .toml file",
                     "name the folder that contains the declarations");
  }
  std::sort(files.begin(), files.end());
  file_reader reader(parsed);
  for (const auto& file : files) {
    const auto size = std::filesystem::file_size(file, error);
    std::ifstream stream(file, std::ios::binary);
    if (error || !stream) {
      add_file_finding(parsed, file, "cannot read the file", "check that it exists and that you may read it");
      continue;
    }
    if (size > max_file_bytes) {
      add_file_finding(parsed, file, "the file is larger than 64 MB", "split it");
      continue;
    }
    source_text text{file.string(), std::string(size, '\0')};
    stream.read(text.m_text.data(), static_cast<std::streamsize>(size));
    if (stream.gcount() != static_cast<std::streamsize>(size)) {
      add_file_finding(parsed, file, "the file changed while it was read", "try again");
      continue;
    }
    reader.read(text);
  }
  set_version_owners(parsed.m_objects);
  return parsed;
}

} // namespace cardamompond::declarations
