#include "dispatcher_fixture.hpp"

#include <CppUTest/TestHarness.h>

#include <random>

using namespace cardamompond;
using namespace cardamompond::fleet;
using namespace cardamompond::fleet::testing;

TEST_GROUP(limited_placement){};

// Guards against small requests that take the few places of servers that limit their number, so that the
// large ones crowd the servers without a limit. The load: 12 requests a second, every fourth with fifty times
// the work of the others, and limited servers that take 3 a second.
TEST(limited_placement, limited_servers_get_the_requests_with_the_most_work) {
  daemon_fixture daemon;
  std::vector<backend_server> servers;
  for (const char* id : {"limited1", "limited2", "limited3", "unlimited"}) {
    servers.push_back(make_server(id, "a", 8));
  }
  daemon.set_servers(servers);
  std::mt19937_64 random(7);
  int large = 0, small = 0, large_limited = 0, small_limited = 0;
  for (int step = 0; step < 6'000; ++step, daemon.m_now += milliseconds(10)) {
    for (int i = 0; i < 3; ++i) {
      daemon.m_dispatcher.record_limit(servers[static_cast<std::size_t>(i)], 1.0, daemon.m_now, daemon.m_now);
    }
    const bool is_large = random() % 4 == 0;
    if (random() % 100 < 12) {
      auto request = daemon.make_request(++daemon.m_last_ticket);
      request.m_prompt_tokens = is_large ? 5'000 : 100;
      request.m_output_tokens = is_large ? 500 : 10;
      daemon.m_dispatcher.submit(request, daemon.m_now);
    }
    for (const auto& [ticket, server] : daemon.tick()) {
      const bool to_limited = server.starts_with("limited");
      ++(is_large ? large : small);
      (is_large ? large_limited : small_limited) += to_limited ? 1 : 0;
      daemon.m_dispatcher.finish(ticket, server_outcome::answered, daemon.m_now);
    }
  }
  CHECK(large > 100 && small > 400);
  CHECK(large_limited * small > 3 * small_limited * large); // the shares of each that went to limited servers
}
