#pragma once

#include "cardamompond/fleet/dispatcher.hpp"

#include <map>
#include <string>
#include <vector>

namespace cardamompond::fleet::testing {

inline backend_server make_server(std::string id, std::string zone = "a", std::uint32_t slots = 2) {
  backend_server server;
  server.m_id = std::move(id);
  server.m_service = "chat";
  server.m_address = "127.0.0.1:1";
  server.m_availability_zone = std::move(zone);
  server.m_version = "v1";
  server.m_slots = slots;
  return server;
}

// The dispatcher of one daemon, with a simulated clock.
struct daemon_fixture {
  explicit daemon_fixture(std::uint64_t seed = 42)
      : m_dispatcher(seed) {
    declarations source;
    service chat;
    chat.m_name = "chat";
    chat.m_uses_batching = true;
    chat.m_cold_requests_per_s = 16;
    source.m_services.push_back(chat);
    m_dispatcher.apply(source);
    set_member_count(1);
  }

  void set_member_count(int daemons, bool frequent_reports = true) {
    std::vector<daemon_location> members;
    for (int i = 0; i < daemons; ++i) {
      members.push_back({"d" + std::to_string(i), "a"});
    }
    m_dispatcher.set_members(members, members.front(), frequent_reports);
  }

  submission make_request(ticket id) const {
    submission request;
    request.m_ticket = id;
    request.m_service = "chat";
    request.m_arrived = m_now;
    request.m_first_token_due = m_now + milliseconds(800);
    request.m_abandoned_at = m_now + milliseconds(3'200);
    request.m_deadline = m_now + seconds(15);
    return request;
  }

  // Returns the server of each granted request, and "refused" for each refused one.
  std::map<ticket, std::string> tick() {
    std::map<ticket, std::string> results;
    for (const auto& decision : m_dispatcher.tick(m_now)) {
      if (const auto* grant = std::get_if<dispatch_grant>(&decision)) {
        results[grant->m_ticket] = grant->m_server.m_id;
      } else {
        results[std::get<dispatch_refusal>(decision).m_ticket] = "refused";
      }
    }
    return results;
  }

  std::map<ticket, std::string> submit(int count) {
    for (int i = 0; i < count; ++i) {
      m_dispatcher.submit(make_request(++m_last_ticket), m_now);
    }
    return tick();
  }

  void set_servers(std::vector<backend_server> servers) { m_dispatcher.set_backend_servers(servers, m_now); }

  dispatcher m_dispatcher;
  time_point m_now{seconds(100)};
  ticket m_last_ticket = 0;
};

inline int count_results(const std::map<ticket, std::string>& results, std::string_view server) {
  int found = 0;
  for (const auto& [id, name] : results) {
    found += name == server ? 1 : 0;
  }
  return found;
}

} // namespace cardamompond::fleet::testing
