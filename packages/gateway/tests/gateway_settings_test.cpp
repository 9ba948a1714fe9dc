#include "cardamompond/gateway/gateway_settings.hpp"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace cardamompond;
using namespace cardamompond::gateway;

namespace {

const std::string complete_file = R"(scheduling = "local"
name = "d1"
availability_zone = "a"
[listen]
callers = "127.0.0.1:1"
admin = "127.0.0.1:2"
metrics = "127.0.0.1:3"
exchange = "127.0.0.1:7600"
[store]
address = "127.0.0.1:5"
[group]
seeds = ["10.0.0.1:99", "10.0.0.2:99"]
retry_ratio = 0.2
retry_fixed = 56
retry_window_s = 10
[drain]
time_s = 8
[limits]
memory_mb = 110
max_descriptors = 4100
)";

std::string error_after_replacing(std::string text, std::string_view from, std::string_view to) {
  text.replace(text.find(from), from.size(), to);
  const auto read = parse_gateway_settings(text, "f");
  return read ? "" : read.error().m_message;
}

} // namespace

TEST_GROUP(gateway_settings){};

// Guards against reports to seeds being sent to a port on which no daemon listens: the exchange port replaces
// the port of a seed.
TEST(gateway_settings, reads_a_complete_file) {
  const auto read = parse_gateway_settings(complete_file, "f");
  CHECK(read.has_value());
  STRCMP_EQUAL("10.0.0.2:7600", read->m_seeds[1].c_str());
  LONGS_EQUAL(8'000, read->m_drain_time.count());
  CHECK_EQUAL(110'000'000U, read->m_memory_bytes);
  CHECK_EQUAL(4'100U, read->m_max_descriptors);
  DOUBLES_EQUAL(56, read->m_retry_limits.m_fixed_retries, 0);
}

// Guards against servers being chosen by learned limits although the settings exclude it.
TEST(gateway_settings, reads_for_which_services_limits_are_learned) {
  const auto mode = [](const std::string& value) {
    return parse_gateway_settings(complete_file + "[scheduling_options]\nlearned_limits = " + value, "f");
  };
  CHECK(parse_gateway_settings(complete_file, "f")->m_learned_limits ==
        fleet::learned_limits_mode::automatic);
  CHECK(mode("\"auto\"")->m_learned_limits == fleet::learned_limits_mode::automatic);
  CHECK(mode("\"on\"")->m_learned_limits == fleet::learned_limits_mode::on);
  CHECK(mode("\"off\"")->m_learned_limits == fleet::learned_limits_mode::off);
  for (const char* invalid : {"\"yes\"", "true", "\"\""}) {
    CHECK(mode(invalid).error().m_message.find("scheduling_options.learned_limits: must be") !=
          std::string::npos);
  }
}

// Guards against a daemon starting with settings that are missing, unknown or invalid.
TEST(gateway_settings, errors_name_file_line_and_key) {
  STRCMP_EQUAL("f:1: store.address: missing",
               error_after_replacing(complete_file, "address = \"127.0.0.1:5\"", "").c_str());
  STRCMP_EQUAL("f:3: nam: unknown key",
               error_after_replacing(complete_file, "name = ", "name = \"x\"\nnam = ").c_str());
  CHECK(error_after_replacing(complete_file, "retry_ratio = 0.2", "retry_ratio = 3")
            .find("group.retry_ratio: must be") != std::string::npos);
  CHECK(error_after_replacing(complete_file, "127.0.0.1:2", "127.0.0.1:1").find("given twice") !=
        std::string::npos);
  CHECK(error_after_replacing(complete_file, "[listen]", "[listen").find("f:") == 0);
}

// Guards against duties that take effect where the settings name none, and against settings of a duty that
// are ignored because of a misspelt key.
TEST(gateway_settings, duties_are_optional_and_complete) {
  CHECK(parse_gateway_settings(complete_file, "f")->m_duties.empty());
  const std::string with_duty = complete_file +
                                "[duties.usage]\naddress = \"127.0.0.1:9\"\ncalls_per_s = 4\n"
                                "fencing = true\nlease_ms = 2000\nwindow_s = 5\nlate_s = 10\n";
  const auto read = parse_gateway_settings(with_duty, "f");
  CHECK(read.has_value());
  LONGS_EQUAL(1, read->m_duties.size());
  STRCMP_EQUAL("usage", read->m_duties[0].m_name.c_str());
  CHECK(read->m_duties[0].m_fencing);
  LONGS_EQUAL(2'000, read->m_duties[0].m_lease.count());
  LONGS_EQUAL(5'000, read->m_duties[0].m_window.count());
  CHECK(error_after_replacing(with_duty, "lease_ms", "lease") != "");
  CHECK(error_after_replacing(with_duty, "127.0.0.1:9", "") != "");
}
