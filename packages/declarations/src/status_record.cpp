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
  json_object_reader fields(source, error);
  member_status member;
  member.m_name = fields.read_string("name");
  member.m_revision = fields.read_integer("revision");
  member.m_revision_age_ms = fields.read_integer("since_ms_ago");
  member.m_in_force = fields.read_bool("in_force");
  fields.finish();
  return member;
}

scheduler::rollout_status read_rollout(const json::value& source, std::string& error) {
  json_object_reader fields(source, error);
  scheduler::rollout_status rollout;
  rollout.m_service = fields.read_string("service");
  rollout.m_target_version = fields.read_string("to");
  const auto state = fields.read_string("state");
  bool state_is_known = false;
  for (const rollout_state value : rollout_states) {
    if (scheduler::to_string(value) == state) {
      rollout.m_state = value;
      state_is_known = true;
    }
  }
  if (!state_is_known) {
    fields.fail("state is not one of none, moving, done, taken_back");
  }
  rollout.m_traffic_percent = fields.read_double("percent");
  rollout.m_reason = fields.read_string("reason");
  fields.finish();
  return rollout;
}

scheduler::backend_server_status read_backend_server(const json::value& source, std::string& error) {
  json_object_reader fields(source, error);
  scheduler::backend_server_status server;
  server.m_name = fields.read_string("name");
  server.m_cold = fields.read_bool("cold");
  server.m_in_service = fields.read_bool("in_service");
  server.m_limit = fields.read_integer<std::uint32_t>("limit");
  server.m_outstanding = fields.read_integer<std::uint32_t>("outstanding");
  fields.finish();
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
  json::array rollouts;
  for (const auto& rollout : record.m_rollouts) {
    rollouts.push_back(json::object{{"service", rollout.m_service},
                                    {"to", rollout.m_target_version},
                                    {"state", scheduler::to_string(rollout.m_state)},
                                    {"percent", rollout.m_traffic_percent},
                                    {"reason", rollout.m_reason}});
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
                                      {"moves", std::move(rollouts)},
                                      {"backend_servers", std::move(servers)}});
}

decode_result<status_record> decode_status(std::string_view text) {
  return decode_json<status_record>(text, [](const json::value& source, std::string& error) {
    status_record record;
    json_object_reader root(source, error);
    record.m_cell = root.read_string("cell");
    record.m_written_unix_ms = root.read_integer("written_unix_ms");
    record.m_members = root.read_object_list("members", read_member);
    record.m_rollouts = root.read_object_list("moves", read_rollout);
    record.m_backend_servers = root.read_object_list("backend_servers", read_backend_server);
    root.finish();
    return record;
  });
}

} // namespace cardamompond::declarations
