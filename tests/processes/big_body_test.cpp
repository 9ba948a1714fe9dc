#include "cardamompond/testing/test_cell.hpp"

#include <CppUTest/TestHarness.h>

using namespace cardamompond;
using namespace cardamompond::testing;

TEST_GROUP(big_body) {
  test_cell m_cell;
  caller& m_caller = m_cell.m_caller;
};

// Guards against a request body of several MB that is truncated or refused although the engine is idle and
// the timeout is ten minutes.
TEST(big_body, large_body_is_forwarded_after_small_ones) {
  m_cell.add_backend("e1", {.m_settings = {"prefill_us_per_token=0", "tokens_per_s=500"}});
  m_cell.start(1);
  const std::string& address = m_cell.m_daemons[0].m_callers_address;
  CHECK(m_caller.send_chat(address, "streamed").m_complete);
  CHECK(m_caller.send_chat(address, "whole", {.m_stream = false}).m_complete);
  const auto& record =
      m_caller.send_chat(address, std::string(4U << 20U, 'b'), {.m_stream = false, .m_timeout_ms = 600'000});
  CHECK_TEXT(record.m_complete, record.m_body.substr(0, 300).c_str());
}
