#include "cell_codec.hpp"

#include <optional>
#include <utility>

namespace cardamompond::peer {
namespace {

constexpr std::size_t max_members = 10'000;
constexpr std::size_t max_limits = 100'000;

// Value of probeOwnerAgeMs and replyOwnerAgeMs if the daemon never heard that the owner held its lease. This
// is also their default in the schema.
constexpr std::uint32_t owner_never_heard = 0xffffffff;

std::optional<std::uint32_t> to_owner_age(std::uint32_t age_ms) {
  return age_ms == owner_never_heard ? std::nullopt : std::optional(age_ms);
}

void encode_record(const cell::versioned_record& record, wire::CellRecord::Builder out) {
  out.setVersion(record.m_version);
  out.setEpoch(record.m_record.m_epoch);
  out.setOwner(record.m_record.m_owner);
  auto members = out.initMembers(static_cast<unsigned>(record.m_record.m_members.size()));
  for (unsigned i = 0; i < members.size(); ++i) {
    const auto& member = record.m_record.m_members[i];
    auto element = members[i];
    element.setName(member.m_name);
    element.setIncarnation(member.m_incarnation);
    element.setAddress(member.m_address);
    element.setZone(member.m_zone);
  }
}

cell::versioned_record decode_record(wire::CellRecord::Reader in) {
  cell::versioned_record record;
  record.m_version = in.getVersion();
  record.m_record.m_epoch = in.getEpoch();
  record.m_record.m_owner = in.getOwner().cStr();
  for (const auto member : in.getMembers()) {
    record.m_record.m_members.push_back({member.getName().cStr(), member.getIncarnation(),
                                         member.getAddress().cStr(), member.getZone().cStr()});
  }
  return record;
}

struct body_encoder {
  wire::CellMessage::Builder m_out;

  void operator()(const cell::heartbeat& body) {
    auto out = m_out.initHeartbeat();
    out.setSent(body.m_sent_at);
    out.setState(static_cast<std::uint8_t>(body.m_state));
    out.setLimitsVersion(body.m_limits_version);
    out.setPlatformFailed(body.m_platform_failed);
    if (!body.m_limits) {
      return;
    }
    auto limits = out.initLimits(static_cast<unsigned>(body.m_limits->size()));
    for (unsigned i = 0; i < limits.size(); ++i) {
      auto element = limits[i];
      element.setBackendServer((*body.m_limits)[i].m_backend_server);
      element.setLimit((*body.m_limits)[i].m_limit);
    }
  }
  void operator()(const cell::heartbeat_ack& body) {
    auto out = m_out.initHeartbeatAck();
    out.setAckSent(body.m_sent_at);
    out.setAccepted(body.m_accepted);
    out.setAckLimitsVersion(body.m_limits_version);
  }
  void operator()(const cell::probe& body) { m_out.initProbe().setProbeSequence(body.m_sequence); }
  void operator()(const cell::probe_ack& body) {
    auto out = m_out.initProbeAck();
    out.setProbeAckSequence(body.m_sequence);
    out.setProbeOwnerAgeMs(body.m_ms_since_owner_heard.value_or(owner_never_heard));
  }
  void operator()(const cell::relay_request& body) {
    auto out = m_out.initRelayRequest();
    out.setRelaySequence(body.m_sequence);
    out.setTarget(body.m_target);
  }
  void operator()(const cell::relay_reply& body) {
    auto out = m_out.initRelayReply();
    out.setReplySequence(body.m_sequence);
    out.setReplyTarget(body.m_target);
    out.setTargetIncarnation(body.m_target_incarnation);
    out.setTargetEpoch(body.m_target_epoch);
    out.setReplyOwnerAgeMs(body.m_ms_since_owner_heard.value_or(owner_never_heard));
  }
  void operator()(const cell::handover& body) {
    m_out.initHandover().setStopped(body.m_earlier_leases_ended);
  }
  void operator()(const cell::leave_notice& /*body*/) { m_out.setFarewell(); }
};

result<cell::message_body, std::string> decode_heartbeat(wire::CellMessage::Heartbeat::Reader in) {
  if (in.getState() > static_cast<std::uint8_t>(cell::owner_state::granting)) {
    return std::string("unknown owner state");
  }
  cell::heartbeat body{in.getSent(), static_cast<cell::owner_state>(in.getState()), in.getLimitsVersion(),
                       std::nullopt, in.getPlatformFailed()};
  if (in.hasLimits()) {
    if (in.getLimits().size() > max_limits) {
      return std::string("too many limits");
    }
    auto& limits = body.m_limits.emplace();
    for (const auto element : in.getLimits()) {
      limits.push_back({element.getBackendServer().cStr(), element.getLimit()});
    }
  }
  return cell::message_body(std::move(body));
}

result<cell::message_body, std::string> decode_body(wire::CellMessage::Reader in) {
  switch (in.which()) {
  case wire::CellMessage::HEARTBEAT:
    return decode_heartbeat(in.getHeartbeat());
  case wire::CellMessage::HEARTBEAT_ACK: {
    const auto ack = in.getHeartbeatAck();
    return cell::message_body(
        cell::heartbeat_ack{ack.getAckSent(), ack.getAccepted(), ack.getAckLimitsVersion()});
  }
  case wire::CellMessage::PROBE:
    return cell::message_body(cell::probe{in.getProbe().getProbeSequence()});
  case wire::CellMessage::PROBE_ACK: {
    const auto ack = in.getProbeAck();
    return cell::message_body(
        cell::probe_ack{ack.getProbeAckSequence(), to_owner_age(ack.getProbeOwnerAgeMs())});
  }
  case wire::CellMessage::RELAY_REQUEST: {
    const auto request = in.getRelayRequest();
    return cell::message_body(cell::relay_request{request.getRelaySequence(), request.getTarget().cStr()});
  }
  case wire::CellMessage::RELAY_REPLY: {
    const auto reply = in.getRelayReply();
    return cell::message_body(cell::relay_reply{reply.getReplySequence(), reply.getReplyTarget().cStr(),
                                                reply.getTargetIncarnation(), reply.getTargetEpoch(),
                                                to_owner_age(reply.getReplyOwnerAgeMs())});
  }
  case wire::CellMessage::HANDOVER:
    return cell::message_body(cell::handover{in.getHandover().getStopped()});
  case wire::CellMessage::FAREWELL:
    return cell::message_body(cell::leave_notice{});
  }
  return std::string("unknown membership message");
}

} // namespace

void encode(const cell::cell_message& message, wire::CellMessage::Builder out) {
  const auto& header = message.m_header;
  out.setFrom(header.m_from);
  out.setIncarnation(header.m_incarnation);
  out.setEpoch(header.m_epoch);
  out.setRecordVersion(header.m_record_version);
  out.setRevision(header.m_revision);
  out.setSignalsVersion(header.m_fault_signals_version);
  if (header.m_record) {
    encode_record(*header.m_record, out.initRecord());
  }
  std::visit(body_encoder{out}, message.m_body);
}

result<cell::cell_message, std::string> decode(wire::CellMessage::Reader in) {
  cell::cell_message message;
  auto& header = message.m_header;
  header.m_from = in.getFrom().cStr();
  header.m_incarnation = in.getIncarnation();
  header.m_epoch = in.getEpoch();
  header.m_record_version = in.getRecordVersion();
  header.m_revision = in.getRevision();
  header.m_fault_signals_version = in.getSignalsVersion();
  if (in.hasRecord()) {
    if (in.getRecord().getMembers().size() > max_members) {
      return std::string("too many members");
    }
    header.m_record = decode_record(in.getRecord());
  }
  auto body = decode_body(in);
  if (!body) {
    return body.error();
  }
  message.m_body = std::move(*body);
  return message;
}

} // namespace cardamompond::peer
