#include "cardamompond/declarations/status_record.hpp"

#include "json_object_reader.hpp"

#include <array>

namespace cardamompond::declarations {
namespace {

namespace json = boost::json;
using scheduler::rollout_state;

constexpr std::array<rollout_state, 4> rollout_states = {rollout_state::none, rollout_state::in_progress,
                                                         rollout_state::done, rollout_state::rolled_back};

member_status read_member(const json::value& source, std::string& error) {
  json_object_reader keys(source, error);
  member_status member;
  member.m_name = keys.read_string("name");
  member.m_revision = keys.read_integer("revision");
  member.m_revision_age_ms = keys.read_integer("since_ms_ago");
  member.m_in_force = keys.read_bool("in_force");
  keys.finish();
  return member;
}

scheduler::rollout_status read_move(const json::value& source, std::string& error) {
  json_object_reader keys(source, error);
  scheduler::rollout_status move;
  move.m_service = keys.read_string("service");
  move.m_target_version = keys.read_string("to");
  const auto state = keys.read_string("state");
  bool known = false;
  for (const rollout_state value : rollout_states) {
    if (scheduler::to_string(value) == state) {
      move.m_state = value;
      known = true;
    }
  }
  if (!known) {
    keys.fail("state is not one of none, moving, done, taken_back");
  }
  move.m_traffic_percent = keys.read_double("percent");
  move.m_reason = keys.read_string("reason");
  keys.finish();
  return move;
}

scheduler::backend_server_status read_backend_server(const json::value& source, std::string& error) {
  json_object_reader keys(source, error);
  scheduler::backend_server_status server;
  server.m_name = keys.read_string("name");
  server.m_cold = keys.read_bool("cold");
  server.m_in_service = keys.read_bool("in_service");
  server.m_limit = keys.read_integer<std::uint32_t>("limit");
  server.m_outstanding = keys.read_integer<std::uint32_t>("outstanding");
  keys.finish();
  return server;
}

} // namespace

std::string encode(const status_record& record) {
  json::array members;
  for (const auto& member : record.m_members) {
    members.push_back(json::object{{"name", member.m_name},
                                   {"revision", member.m_revision},
                                   {"since_ms_ago", member.m_revision_age_ms},
                                   {"in_force", member.m_in_force}});
  }
  json::array moves;
  for (const auto& move : record.m_rollouts) {
    moves.push_back(json::object{{"service", move.m_service},
                                 {"to", move.m_target_version},
                                 {"state", scheduler::to_string(move.m_state)},
                                 {"percent", move.m_traffic_percent},
                                 {"reason", move.m_reason}});
  }
  json::array servers;
  for (const auto& server : record.m_backend_servers) {
    servers.push_back(json::object{{"name", server.m_name},
                                   {"cold", server.m_cold},
                                   {"in_service", server.m_in_service},
                                   {"limit", server.m_limit},
                                   {"outstanding", server.m_outstanding}});
  }
  return json::serialize(json::object{{"cell", record.m_cell},
                                      {"written_unix_ms", record.m_written_unix_ms},
                                      {"members", std::move(members)},
                                      {"moves", std::move(moves)},
                                      {"backend_servers", std::move(servers)}});
}

decode_result<status_record> decode_status(std::string_view text) {
  return decode_json<status_record>(text, [](const json::value& source, std::string& error) {
    status_record record;
    json_object_reader root(source, error);
    record.m_cell = root.read_string("cell");
    record.m_written_unix_ms = root.read_integer("written_unix_ms");
    record.m_members = root.read_object_list("members", read_member);
    record.m_rollouts = root.read_object_list("moves", read_move);
    record.m_backend_servers = root.read_object_list("backend_servers", read_backend_server);
    root.finish();
    return record;
  });
}

} // namespace cardamompond::declarations
