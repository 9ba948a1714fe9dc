#include "cardamompond/daemon/settings.hpp"

#include <CppUTest/TestHarness.h>

#include <filesystem>
#include <fstream>
#include <random>
#include <vector>

#include <unistd.h>

using namespace cardamompond;
using namespace cardamompond::daemon;

namespace {

constexpr std::string_view complete_settings = R"(name = "d1"
owner = "one"
cell = "cell-1"
availability_zone = "zone-a"
region = "north"
[listen]
callers = "0.0.0.0:8080"
admin = "127.0.0.1:8081"
peer = "127.0.0.1:8082"
[platform]
address = "127.0.0.1:9001"
host_list = "[::1]:9002"
max_reads_per_s = 12.5
max_writes_per_s = 7
[peer]
secret = "sixteen-or-more-characters"
[limits]
max_body_bytes = 2048
max_header_bytes = 4096
max_connections = 12
default_timeout_ms = 1500
drain_timeout_s = 0
memory_mb = 110
max_descriptors = 4100
[log]
level = "warning"
)";

std::string with_replacement(std::string_view from, std::string_view to) {
  std::string text(complete_settings);
  return text.replace(text.find(from), from.size(), to);
}

// Returns the error for a text, or "accepted".
std::string error_of(const std::string& text) {
  const auto parsed = parse_settings(text, "a.toml");
  return parsed ? "accepted" : parsed.error().m_message;
}

} // namespace

TEST_GROUP(settings){};

// Guards against a key that is accepted but ignored, or stored in the wrong unit.
TEST(settings, reads_every_key) {
  const auto parsed = parse_settings(complete_settings, "a.toml");
  CHECK_TRUE(parsed.has_value());
  const settings& loaded = parsed.value();
  STRCMP_EQUAL("d1", loaded.m_name.c_str());
  STRCMP_EQUAL("one", loaded.m_owner.c_str());
  STRCMP_EQUAL("cell-1", loaded.m_cell.c_str());
  STRCMP_EQUAL("zone-a", loaded.m_availability_zone.c_str());
  STRCMP_EQUAL("north", loaded.m_region.c_str());
  STRCMP_EQUAL("0.0.0.0:8080", loaded.m_callers_address.c_str());
  STRCMP_EQUAL("127.0.0.1:8081", loaded.m_admin_address.c_str());
  STRCMP_EQUAL("127.0.0.1:8082", loaded.m_peer_address.c_str());
  STRCMP_EQUAL("127.0.0.1:9001", loaded.m_platform_address.c_str());
  STRCMP_EQUAL("[::1]:9002", loaded.m_host_list_address.c_str());
  DOUBLES_EQUAL(12.5, loaded.m_max_reads_per_s, 0);
  DOUBLES_EQUAL(7, loaded.m_max_writes_per_s, 0);
  STRCMP_EQUAL("sixteen-or-more-characters", loaded.m_peer_secret.c_str());
  CHECK_EQUAL(2048U, loaded.m_max_body_bytes);
  CHECK_EQUAL(4096U, loaded.m_max_header_bytes);
  CHECK_EQUAL(12U, loaded.m_max_connections);
  CHECK_EQUAL(110U, loaded.m_memory_mb);
  CHECK_EQUAL(4'100U, loaded.m_max_descriptors);
  CHECK_TRUE(loaded.m_default_timeout == milliseconds(1500));
  CHECK_TRUE(loaded.m_drain_timeout == seconds(0));
  STRCMP_EQUAL("warning", loaded.m_log_level.c_str());
}

// Guards against invalid settings that make the daemon fail later or run silently with a default.
TEST(settings, names_file_line_and_key_of_each_fault) {
  struct fault {
    std::string_view m_from;
    std::string_view m_to;
    std::string_view m_error; // expected start of the message
  };
  const std::vector<fault> faults = {
      {"owner = \"one\"\n", "", "a.toml:1: owner: missing"},
      {"owner = \"one\"", "owner = 1", "a.toml:2: owner: wrong type"},
      {"owner = \"one\"", "owner = \"a b\"", "a.toml:2: owner: not a name"},
      {"cell = \"cell-1\"", "cell = \"\"", "a.toml:3: cell: not a name"},
      {"region", "regoin", "a.toml:5: regoin: unknown key"},
      {"max_connections", "max_conections", "a.toml:20: limits.max_conections: unknown key"},
      {"[log]", "[logs]", "a.toml:25: logs: unknown key"},
      {"[log]\nlevel =", "[[log]]\nlevel =", "a.toml:25: log: wrong type"},
      {"name = \"d1\"", "name = \"d1\"\nname = \"d2\"", "a.toml:2: syntax: "},
      {"[log]", "[log", "a.toml:25: syntax: "},
      {"[log]", "[\n", "a.toml:25: syntax: "},
      {"[peer]\nsecret = \"sixteen-or-more-characters\"\n", "", "a.toml:1: peer.secret: missing"},
      {"sixteen-or-more-characters", "fifteen-letters", "a.toml:16: peer.secret: use 16 to 256"},
      {"127.0.0.1:8081", "localhost:8081", "a.toml:8: listen.admin: not an address"},
      {"127.0.0.1:8081", "127.0.0.1", "a.toml:8: listen.admin: not an address"},
      {"127.0.0.1:8081", "127.0.0.1:0", "a.toml:8: listen.admin: not an address"},
      {"127.0.0.1:8081", "127.0.0.1:65536", "a.toml:8: listen.admin: not an address"},
      {"127.0.0.1:8082", "0.0.0.0:8082", "a.toml:9: listen.peer: an unspecified address"},
      {"127.0.0.1:8082", "127.0.0.1:8081", "a.toml:9: listen.peer: same port as listen.admin"},
      {"127.0.0.1:8081", "127.0.0.1:8080", "a.toml:8: listen.admin: same port as listen.callers"},
      {"127.0.0.1:9001", "127.0.0.1:8082", "a.toml:11: platform.address: this daemon's own address"},
      {"127.0.0.1:9001", "127.0.0.1:8080", "a.toml:11: platform.address: this daemon's own address"},
      {"[::1]:9002", "127.0.0.1:8081", "a.toml:12: platform.host_list: this daemon's own address"},
      {"12.5", "0", "a.toml:13: platform.max_reads_per_s: out of bounds"},
      {"12.5", "nan", "a.toml:13: platform.max_reads_per_s: out of bounds"},
      {"12.5", "\"1\"", "a.toml:13: platform.max_reads_per_s: wrong type"},
      {"2048", "1023", "a.toml:18: limits.max_body_bytes: 1023 is out of bounds"},
      {"4096", "-1", "a.toml:19: limits.max_header_bytes: -1 is out of bounds"},
      {"4096", "4096.0", "a.toml:19: limits.max_header_bytes: wrong type"},
      {"1500", "0", "a.toml:21: limits.default_timeout_ms: 0 is out of bounds"},
      {"\"warning\"", "\"warn\"", "a.toml:26: log.level: write"},
  };
  for (const auto& fault : faults) {
    const std::string error = error_of(with_replacement(fault.m_from, fault.m_to));
    STRCMP_EQUAL(std::string(fault.m_error).c_str(), error.substr(0, fault.m_error.size()).c_str());
  }
}

// Guards against a secret that appears in the log of a daemon that does not start.
TEST(settings, never_shows_the_secret) {
  const std::string error =
      error_of(with_replacement("secret = \"sixteen-or-more-characters\"", "secret = \"hush\""));
  CHECK_TRUE(error.find("hush") == std::string::npos);
}

// Guards against a daemon that starts with defaults when its file cannot be read.
TEST(settings, reports_unreadable_files) {
  const auto folder = std::filesystem::temp_directory_path() / ("settings_test." + std::to_string(getpid()));
  std::filesystem::create_directory(folder);
  const std::string path = (folder / "d1.toml").string();
  const auto missing = read_settings(path);
  std::ofstream(path) << complete_settings;
  const auto present = read_settings(path);
  std::ofstream(path) << std::string(2U << 20U, '#');
  const auto too_large = read_settings(path);
  const auto folder_result = read_settings(folder.string());
  std::filesystem::remove_all(folder);

  STRCMP_EQUAL((path + ":1: file: No such file or directory").c_str(), missing.error().m_message.c_str());
  CHECK_TRUE(present.has_value());
  STRCMP_CONTAINS(":1: file: over ", too_large.error().m_message.c_str());
  STRCMP_CONTAINS(":1: file: cannot be read", folder_result.error().m_message.c_str());
}

// Guards against crashes on malformed files, and against error messages that do not name the file or span
// several lines.
TEST(settings, survives_mutated_files) {
  std::mt19937_64 random(42);
  constexpr std::string_view alphabet = "\"[]=.#\n\t\\{}',:-_0919aelstx\x80\xff\x01";
  constexpr int rounds = 20'000;
  int accepted = 0;
  for (int round = 0; round < rounds; ++round) {
    std::string text(complete_settings);
    for (std::uint64_t edits = 1 + random() % 4; edits > 0; --edits) {
      const std::size_t at = random() % text.size();
      const std::size_t length = random() % 12;
      switch (random() % 4) {
      case 0:
        text[at] = alphabet[random() % alphabet.size()];
        break;
      case 1:
        text.insert(at, 1, alphabet[random() % alphabet.size()]);
        break;
      case 2:
        text.erase(at, length);
        break;
      default:
        text.insert(at, complete_settings.substr(random() % complete_settings.size(), length));
      }
    }
    const std::string error = error_of(text);
    if (error == "accepted") {
      ++accepted;
    } else {
      CHECK_TRUE(error.starts_with("a.toml:") && error.find('\n') == std::string::npos);
    }
  }
  CHECK_TRUE(accepted > 0 && accepted < rounds / 2);
}
