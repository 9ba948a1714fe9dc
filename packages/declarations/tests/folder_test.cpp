#include "cardamompond/declarations/folder.hpp"
#include "cardamompond/declarations/validation.hpp"

#include "declarations_builder.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <filesystem>
#include <fstream>

using namespace cardamompond::declarations;

namespace {

struct check_outcome {
  parsed_declarations m_parsed;
  std::vector<finding> m_findings;

  // Returns true if a finding at that line of "a.toml" contains `expected_text` and suggests a remedy.
  bool has_finding(std::uint32_t line, std::string_view expected_text) const {
    return std::any_of(m_findings.begin(), m_findings.end(), [&](const finding& f) {
      return f.m_file == "a.toml" && f.m_line == line &&
             to_string(f).find(expected_text) != std::string::npos && !f.m_remedy.empty();
    });
  }

  std::string text() const {
    std::string all;
    for (const auto& f : m_findings) {
      all += to_string(f) + "\n";
    }
    return all;
  }
};

check_outcome check(std::string text) {
  const source_text file{"a.toml", std::move(text)};
  check_outcome outcome{read_texts(std::span(&file, 1)), {}};
  outcome.m_findings = outcome.m_parsed.m_findings;
  for (auto& f : validate(outcome.m_parsed.m_objects, outcome.m_parsed.m_sources)) {
    outcome.m_findings.push_back(std::move(f));
  }
  return outcome;
}

// Checks the valid declarations with one line replaced. Line numbers start at 1.
check_outcome check_with_line(std::uint32_t line, const std::string& replacement) {
  return check(replace_line(valid_declarations, line, replacement));
}

} // namespace

TEST_GROUP(folder){};

// Guards against findings in valid declarations, and against versions that do not inherit the owner of their
// service.
TEST(folder, valid_declarations_have_no_findings) {
  const auto outcome = check(std::string(valid_declarations));
  STRCMP_EQUAL("", outcome.text().c_str());
  LONGS_EQUAL(2, outcome.m_parsed.m_objects.m_versions.size());
  STRCMP_EQUAL("o1", outcome.m_parsed.m_objects.m_versions.at("s-v1").m_owner.c_str());
  STRCMP_EQUAL("2026-12-04T10:00:00Z",
               outcome.m_parsed.m_objects.m_services.at("s").m_rollout->m_due.c_str());
}

// Guards against a kind of fault that is not found, or is reported at the wrong line or without a remedy.
TEST(folder, each_kind_of_fault_is_found_at_its_line) {
  struct fault_case {
    std::uint32_t m_line;
    const char* m_replacement;
    const char* m_expected_text;
    std::uint32_t m_finding_line = 0; // 0 stands for the line that was replaced.
  };
  const fault_case cases[] = {
      {3, "rank = 0.5", "tier top: rank: wrong type"},
      {3, "rank = 99", "tier top: rank: 99 is out of bounds"},
      {3, "rank = 1", "rank 1 is also the rank of tier", 3},
      {3, "ranks = 0", "unknown key \"ranks\""},
      {9, "rank = 2", "there is no tier of rank 1"},
      {4, "queue_share = 0.5", "the queue share of the highest tier is not 1"},
      {8, "name = \"top\"", "the name is already used at a.toml:1", 6},
      {15, "tier = \"nowhere\"", "client_account acc: tier refers to tier \"nowhere\""},
      {16, "key_sha256 = [\"ABCD\"]", "is not a SHA-256 hash"},
      {16, "key_sha256 = []", "give at least 1"},
      {13, "name = \"../x\"", "is not a name"},
      {22, "active_version = \"none\"", "refers to version \"none\""},
      {23, "accounts = [\"acc\", \"ghost\"]", "refers to client_account \"ghost\""},
      {23, "accounts = [\"acc\", \"*\"]", "is combined with names"},
      {25, "to = \"s-v1\"", "from version \"s-v1\" to itself"},
      {26, "due = \"tomorrow\"", "is not a time"},
      {26, "due = 2026-12-04T10:00:00+02:00", "is not a time"},
      {27, "steps = [6, 100]", "the first step is over 5%"},
      {27, "steps = [5, 50]", "the last step is not 100"},
      {27, "steps = [5, 50, 50, 100]", "the steps do not increase"},
      {35, "service = \"t\"", "refers to service \"t\""},
      {39, "owner = \"o2\"", "belongs to owner \"o2\", not to \"o1\"", 47},
      {41, "state = \"gone\"", "\"in\" or \"out\""},
      {50, "address = \"localhost:1\"", "is not an address"},
      {50, "address = \"127.0.0.1:70000\"", "is not an address"},
      {51, "slots = 0", "0 is out of bounds"},
      {51, "slots = 2\ncold_limit = 3", "cold limit is above the number of slots", 52},
  };
  for (const auto& [line, replacement, expected_text, finding_line] : cases) {
    const auto outcome = check_with_line(line, replacement);
    CHECK_TEXT(outcome.has_finding(finding_line == 0 ? line : finding_line, expected_text),
               (std::string(replacement) + " gave:\n" + outcome.text()).c_str());
  }
}

// Guards against a fault in one file or object that hides the faults in others, so that the operator needs
// several runs to see them all.
TEST(folder, all_faults_are_reported_in_one_pass) {
  const std::vector<source_text> texts = {
      {"a.toml", "[[tier]]\nname = \"x\"\nrank = -1\nunknown = 1\n"},
      {"b.toml", "[[tier\n"},
      {"c.toml", "[[client_account]]\nname = \"y\"\nowner = 7\n[[colour]]\nname = \"z\"\n"}};
  const auto parsed = read_texts(texts);
  const auto count = [&](std::string_view file) {
    return std::count_if(parsed.m_findings.begin(), parsed.m_findings.end(),
                         [&](const finding& f) { return f.m_file == file; });
  };
  LONGS_EQUAL(2, count("a.toml"));
  LONGS_EQUAL(1, count("b.toml"));
  // The owner has the wrong type, tier and key_sha256 are missing, and the table "colour" is unknown.
  LONGS_EQUAL(4, count("c.toml"));
}

// Guards against publishing the removal of all objects when an operator names a wrong folder.
TEST(folder, missing_and_empty_folders_give_findings) {
  const auto folder = std::filesystem::temp_directory_path() / "cardamompond_folder_test";
  std::filesystem::remove_all(folder);
  LONGS_EQUAL(1, read_folder(folder).m_findings.size());
  std::filesystem::create_directories(folder / "sub");
  LONGS_EQUAL(1, read_folder(folder).m_findings.size());
  std::ofstream(folder / "sub" / "a.toml") << valid_declarations;
  const auto parsed = read_folder(folder);
  LONGS_EQUAL(0, parsed.m_findings.size());
  LONGS_EQUAL(1, parsed.m_objects.m_backend_servers.size());
  std::filesystem::remove_all(folder);
}

// Guards against an API key that identifies two client accounts, and against a backend server that is counted
// twice because two declarations have its address.
TEST(folder, duplicate_keys_and_addresses_are_found) {
  const std::string text_with_duplicates =
      std::string(valid_declarations) +
      "\n[[client_account]]\nname = \"acc2\"\nowner = \"o1\"\ntier = \"top\"\n"
      "key_sha256 = [\"" +
      std::string(64, 'a') +
      "\"]\n"
      "[[backend_server]]\nname = \"b2\"\nowner = \"o1\"\ncell = \"main\"\nzone = \"z\"\n"
      "service = \"s\"\nversion = \"s-v1\"\naddress = \"127.0.0.1:9001\"\nslots = 1\n";
  const auto outcome = check(text_with_duplicates);
  LONGS_EQUAL(2, outcome.m_findings.size());
  CHECK(outcome.text().find("an API key identifies one client account") != std::string::npos);
  CHECK(outcome.text().find("is also the address of backend_server \"b1\"") != std::string::npos);
}
