#include "cardamompond/gateway/peer_report.hpp"

#include "limit_message.hpp"
#include "packed_message.hpp"
#include "usage_message.hpp"

#include <capnp/message.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>

namespace cardamompond::gateway {
namespace {

double finite_or_zero(double value) {
  return std::isfinite(value) ? value : 0;
}

double non_negative_or_zero(double value) {
  return std::max(0.0, finite_or_zero(value));
}

constexpr std::size_t encoded_timing_bytes = 5;

// A longer list is cut off, since a daemon sends no more timings than this.
constexpr std::size_t max_decoded_timings = 256;

std::vector<fleet::response_timing> decode_timings(capnp::Data::Reader bytes) {
  std::vector<fleet::response_timing> timings;
  const std::size_t count = std::min(bytes.size() / encoded_timing_bytes, max_decoded_timings);
  for (std::size_t i = 0; i < count; ++i) {
    const auto* from = bytes.begin() + i * encoded_timing_bytes;
    timings.push_back({static_cast<std::uint16_t>(from[0] | from[1] << 8U), from[2], from[3], from[4]});
  }
  return timings;
}

void encode_outcomes(const std::vector<fleet::version_observation>& from, wire::Report::Builder to) {
  auto list = to.initOutcomes(static_cast<unsigned>(from.size()));
  for (unsigned i = 0; i < list.size(); ++i) {
    list[i].setService(from[i].m_service);
    list[i].setVersion(from[i].m_version);
    list[i].setRoute(from[i].m_route);
    list[i].setGood(from[i].m_outcomes.m_good);
    list[i].setBad(from[i].m_outcomes.m_bad);
    list[i].setOrder(from[i].m_order);
    list[i].setLogRatio(static_cast<float>(from[i].m_log_ratio));
    const auto& timings = from[i].m_outcomes.m_timings;
    auto bytes = list[i].initTimings(static_cast<unsigned>(timings.size() * encoded_timing_bytes));
    for (std::size_t j = 0; j < timings.size(); ++j) {
      const auto& [server, first, gap, running] = timings[j];
      const std::array<std::uint8_t, encoded_timing_bytes> encoded = {
          static_cast<std::uint8_t>(server & 0xffU), static_cast<std::uint8_t>(server >> 8U), first, gap,
          running};
      std::copy(encoded.begin(), encoded.end(), bytes.begin() + j * encoded_timing_bytes);
    }
  }
}

std::uint32_t to_wire_ms(milliseconds value) {
  return static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(value.count(), 0, std::numeric_limits<std::uint32_t>::max()));
}

void encode_crashes(const std::vector<fleet::crash_suspicion>& from, wire::Report::Builder to) {
  auto list = to.initCrashes(static_cast<unsigned>(from.size()));
  for (unsigned i = 0; i < list.size(); ++i) {
    list[i].setContentHigh(from[i].m_content.m_high);
    list[i].setContentLow(from[i].m_content.m_low);
    auto servers = list[i].initServers(static_cast<unsigned>(from[i].m_servers.size()));
    for (unsigned j = 0; j < servers.size(); ++j) {
      servers.set(j, from[i].m_servers[j]);
    }
    if (from[i].m_age) {
      list[i].setStatesAge(true);
      list[i].setAgeMs(to_wire_ms(*from[i].m_age));
    }
  }
}

std::uint8_t to_wire_byte(std::int64_t value) {
  return static_cast<std::uint8_t>(
      std::clamp<std::int64_t>(value, 0, std::numeric_limits<std::uint8_t>::max()));
}

constexpr unsigned wire_nibble_bits = 4;
constexpr unsigned max_wire_nibble = 15;

unsigned to_wire_nibble(std::int64_t value) {
  return static_cast<unsigned>(std::clamp<std::int64_t>(value, 0, max_wire_nibble));
}

constexpr milliseconds work_time_age_unit{32};
constexpr std::uint32_t reading_tokens_unit = 1'024;

// Steps of an encoded work time per factor of e. One step is about 3%.
constexpr double work_time_steps = 33;

std::uint8_t encode_work_time(std::uint32_t percent) {
  if (percent < fleet::min_work_time_percent) {
    return 0;
  }
  const double ratio = static_cast<double>(percent) / fleet::min_work_time_percent;
  return to_wire_byte(1 + std::lround(work_time_steps * std::log(ratio)));
}

std::uint32_t decode_work_time(std::uint8_t encoded) {
  if (encoded == 0) {
    return 0;
  }
  const double percent = fleet::min_work_time_percent * std::exp((encoded - 1) / work_time_steps);
  return std::min(fleet::max_work_time_percent, static_cast<std::uint32_t>(std::lround(percent)));
}

void encode_part_suspicions(const std::vector<fleet::part_suspicion>& from, wire::Report::Builder to) {
  auto list = to.initParts(static_cast<unsigned>(from.size()));
  for (unsigned i = 0; i < list.size(); ++i) {
    list[i].setPart(from[i].m_part);
    list[i].setPosition(from[i].m_position);
    auto crashes = list[i].initCrashes(static_cast<unsigned>(from[i].m_crashes.size()));
    for (unsigned j = 0; j < crashes.size(); ++j) {
      crashes[j].setServer(from[i].m_crashes[j].m_server);
      crashes[j].setAgeMs(to_wire_ms(from[i].m_crashes[j].m_age));
      crashes[j].setEvents(from[i].m_crashes[j].m_events);
    }
    if (from[i].m_answer_age) {
      list[i].setAnswered(true);
      list[i].setAnswerAgeMs(to_wire_ms(*from[i].m_answer_age));
    }
    if (from[i].m_progress) {
      list[i].setProgressEvents(from[i].m_progress->m_events);
      list[i].setProgressAgeMs(to_wire_ms(from[i].m_progress->m_age));
    }
  }
}

std::vector<fleet::part_suspicion> read_part_suspicions(wire::Report::Reader from) {
  std::vector<fleet::part_suspicion> suspicions;
  for (const auto& each : from.getParts()) {
    fleet::part_suspicion suspicion{each.getPart(), each.getPosition(), {}, std::nullopt, std::nullopt};
    for (const auto& crash : each.getCrashes()) {
      suspicion.m_crashes.push_back({crash.getServer(), milliseconds(crash.getAgeMs()), crash.getEvents()});
    }
    if (each.getAnswered()) {
      suspicion.m_answer_age = milliseconds(each.getAnswerAgeMs());
    }
    if (each.getProgressEvents() > 0) {
      suspicion.m_progress = {each.getProgressEvents(), milliseconds(each.getProgressAgeMs())};
    }
    suspicions.push_back(std::move(suspicion));
  }
  return suspicions;
}

// Duties that this version does not know are left out.
std::vector<std::pair<fleet::duty, std::uint64_t>> read_held_duties(wire::Report::Reader from) {
  std::vector<std::pair<fleet::duty, std::uint64_t>> duties;
  for (const auto& each : from.getDuties()) {
    if (each.getDuty() <= static_cast<std::uint8_t>(fleet::duty::engine_counts)) {
      duties.emplace_back(static_cast<fleet::duty>(each.getDuty()), each.getToken());
    }
  }
  return duties;
}

template <typename Amounts> void encode_amounts(const Amounts& from, capnp::List<std::uint32_t>::Builder to) {
  for (unsigned i = 0; i < to.size(); ++i) {
    to.set(i, from[i]);
  }
}

template <typename Amounts> void read_amounts(capnp::List<std::uint32_t>::Reader from, Amounts& to) {
  for (unsigned i = 0; i < std::min<unsigned>(from.size(), to.size()); ++i) {
    to[i] = from[i];
  }
}

// Returns the number of values up to the last one that is not 0.
unsigned count_used(const fleet::work_by_class& waiting) {
  const auto last =
      std::find_if(waiting.rbegin(), waiting.rend(), [](std::uint32_t each) { return each > 0; });
  return static_cast<unsigned>(waiting.rend() - last);
}

// Reports are frequent, so that zeros at the end and the totals, in most reports, are left out.
void encode_load_summaries(const std::vector<fleet::load_summary>& from, wire::Report::Builder to) {
  if (from.empty()) {
    return;
  }
  auto list = to.initLoadSummaries(static_cast<unsigned>(from.size()));
  for (unsigned i = 0; i < list.size(); ++i) {
    list[i].setService(from[i].m_service);
    if (const unsigned used = count_used(from[i].m_waiting); used > 0) {
      encode_amounts(from[i].m_waiting, list[i].initWaiting(used));
    }
    if (from[i].m_has_totals) {
      encode_amounts(from[i].m_arrived, list[i].initArrived(fleet::urgency_levels));
      encode_amounts(from[i].m_granted, list[i].initGranted(fleet::urgency_levels));
      encode_amounts(from[i].m_blocked_within_share, list[i].initBlockedWithinShare(fleet::urgency_levels));
    }
  }
}

std::vector<fleet::load_summary> read_load_summaries(wire::Report::Reader from) {
  std::vector<fleet::load_summary> summaries;
  for (const auto& each : from.getLoadSummaries()) {
    fleet::load_summary summary;
    summary.m_service = each.getService();
    summary.m_has_totals = each.getArrived().size() > 0;
    read_amounts(each.getWaiting(), summary.m_waiting);
    read_amounts(each.getArrived(), summary.m_arrived);
    read_amounts(each.getGranted(), summary.m_granted);
    read_amounts(each.getBlockedWithinShare(), summary.m_blocked_within_share);
    summaries.push_back(summary);
  }
  return summaries;
}

peer_report read_report(capnp::MessageReader& message) {
  const auto from = message.getRoot<wire::Report>();
  peer_report report;
  report.m_daemon = from.getDaemon().cStr();
  report.m_exchange_address = from.getExchangeAddress().cStr();
  report.m_availability_zone = from.getAvailabilityZone().cStr();
  report.m_incarnation = from.getIncarnation();
  report.m_sequence = from.getSequence();
  report.m_leaving = from.getLeaving();
  report.m_passes_connections = from.getPassesConnections();
  report.m_recent_use_only = from.getRecentUseOnly();
  const auto collections = from.getCollections();
  for (unsigned i = 0; i < std::min<unsigned>(collections.size(), report.m_collections.size()); ++i) {
    report.m_collections[i] = {{collections[i].getEra(), collections[i].getAsOf()},
                               {collections[i].getEra(), collections[i].getChangedAt()},
                               milliseconds(collections[i].getAgeMs()),
                               collections[i].getBytes(),
                               milliseconds(collections[i].getReadForMs())};
  }
  for (const auto& each : from.getLoads()) {
    report.m_loads.push_back(
        {each.getServer(),
         each.getRunning(),
         {non_negative_or_zero(each.getBaseS()), non_negative_or_zero(each.getPromptSPerToken()),
          non_negative_or_zero(each.getEventS()), non_negative_or_zero(each.getSamples())},
         each.getFailing(),
         each.getLeaving(),
         each.getInstance(),
         {decode_work_time(each.getWorkTime()),
          (each.getAgeAndReading() & max_wire_nibble) * work_time_age_unit},
         (each.getAgeAndReading() >> wire_nibble_bits) * reading_tokens_unit,
         each.getLimit()});
  }
  for (const auto& each : from.getQuotaUse()) {
    report.m_quota_use.emplace_back(each.getAccount(), finite_or_zero(each.getUnits()));
  }
  for (const auto& each : from.getOutcomes()) {
    report.m_outcomes.push_back({each.getService().cStr(),
                                 each.getVersion().cStr(),
                                 each.getRoute().cStr(),
                                 {each.getGood(), each.getBad(), decode_timings(each.getTimings())},
                                 each.getOrder(),
                                 each.getLogRatio()});
  }
  for (const auto& each : from.getTakenBack()) {
    report.m_rolled_back_orders.emplace_back(each.getService().cStr(), each.getCreated());
  }
  report.m_orders_era = from.getOrdersEra();
  if (from.getRestoreAgeMs() > 0) {
    report.m_restore_age = milliseconds(from.getRestoreAgeMs() - 1);
  }
  for (const auto& each : from.getCrashes()) {
    fleet::crash_suspicion suspicion{{each.getContentHigh(), each.getContentLow()}, {}};
    for (const auto server : each.getServers()) {
      suspicion.m_servers.push_back(server);
    }
    if (each.getStatesAge()) {
      suspicion.m_age = milliseconds(each.getAgeMs());
    }
    report.m_crashes.push_back(std::move(suspicion));
  }
  report.m_part_suspicions = read_part_suspicions(from);
  report.m_load_summaries = read_load_summaries(from);
  report.m_limits = read_limits(from);
  report.m_demands = read_demands(from);
  report.m_brittle = read_brittle(from);
  const auto blocked = from.getBlocked();
  for (unsigned i = 0; i < std::min<unsigned>(blocked.size(), report.m_blocked.size()); ++i) {
    report.m_blocked[i] = blocked[i];
  }
  constexpr std::uint64_t max_wall_clock_ms = std::uint64_t{1} << 50U; // keeps sums in range
  report.m_wall_clock_ms = static_cast<std::int64_t>(std::min(from.getWallMs(), max_wall_clock_ms));
  report.m_held_duties = read_held_duties(from);
  return report;
}

} // namespace

std::string encode_report(const peer_report& report) {
  capnp::MallocMessageBuilder message;
  auto to = message.initRoot<wire::Report>();
  to.setDaemon(report.m_daemon);
  to.setExchangeAddress(report.m_exchange_address);
  to.setAvailabilityZone(report.m_availability_zone);
  to.setIncarnation(report.m_incarnation);
  to.setSequence(report.m_sequence);
  to.setLeaving(report.m_leaving);
  to.setPassesConnections(report.m_passes_connections);
  to.setRecentUseOnly(report.m_recent_use_only);
  auto collections = to.initCollections(static_cast<unsigned>(report.m_collections.size()));
  for (unsigned i = 0; i < collections.size(); ++i) {
    collections[i].setAsOf(report.m_collections[i].m_as_of.m_revision);
    collections[i].setEra(report.m_collections[i].m_as_of.m_era);
    collections[i].setChangedAt(report.m_collections[i].m_changed_at.m_revision);
    collections[i].setBytes(report.m_collections[i].m_bytes);
    collections[i].setAgeMs(to_wire_ms(report.m_collections[i].m_age));
    collections[i].setReadForMs(to_wire_ms(report.m_collections[i].m_read_for));
  }
  auto loads = to.initLoads(static_cast<unsigned>(report.m_loads.size()));
  for (unsigned i = 0; i < loads.size(); ++i) {
    loads[i].setServer(report.m_loads[i].m_server);
    const auto& [server, running, speed, failing, leaving, instance, work_time, reading_tokens,
                 learned_limit] = report.m_loads[i];
    loads[i].setRunning(running);
    loads[i].setBaseS(static_cast<float>(speed.m_base_s));
    loads[i].setPromptSPerToken(static_cast<float>(speed.m_prompt_s_per_token));
    loads[i].setEventS(static_cast<float>(speed.m_event_interval_s));
    loads[i].setSamples(static_cast<float>(speed.m_samples));
    loads[i].setFailing(failing);
    loads[i].setLeaving(leaving);
    loads[i].setInstance(instance);
    loads[i].setWorkTime(encode_work_time(work_time.m_percent));
    loads[i].setAgeAndReading(static_cast<std::uint8_t>(
        to_wire_nibble(work_time.m_age / work_time_age_unit) |
        to_wire_nibble((reading_tokens + reading_tokens_unit / 2) / reading_tokens_unit)
            << wire_nibble_bits));
    loads[i].setLimit(to_wire_byte(learned_limit));
  }
  auto quota_use = to.initQuotaUse(static_cast<unsigned>(report.m_quota_use.size()));
  for (unsigned i = 0; i < quota_use.size(); ++i) {
    quota_use[i].setAccount(report.m_quota_use[i].first);
    quota_use[i].setUnits(static_cast<float>(report.m_quota_use[i].second));
  }
  encode_outcomes(report.m_outcomes, to);
  auto taken_back = to.initTakenBack(static_cast<unsigned>(report.m_rolled_back_orders.size()));
  for (unsigned i = 0; i < taken_back.size(); ++i) {
    taken_back[i].setService(report.m_rolled_back_orders[i].first);
    taken_back[i].setCreated(report.m_rolled_back_orders[i].second);
  }
  to.setOrdersEra(report.m_orders_era);
  if (report.m_restore_age) {
    to.setRestoreAgeMs(to_wire_ms(*report.m_restore_age + milliseconds(1)));
  }
  encode_crashes(report.m_crashes, to);
  encode_part_suspicions(report.m_part_suspicions, to);
  encode_load_summaries(report.m_load_summaries, to);
  encode_limits(report.m_limits, to);
  encode_demands(report.m_demands, to);
  encode_brittle(report.m_brittle, to);
  auto blocked = to.initBlocked(static_cast<unsigned>(report.m_blocked.size()));
  for (unsigned i = 0; i < blocked.size(); ++i) {
    blocked.set(i, report.m_blocked[i]);
  }
  to.setWallMs(static_cast<std::uint64_t>(report.m_wall_clock_ms));
  if (!report.m_held_duties.empty()) {
    auto duties = to.initDuties(static_cast<unsigned>(report.m_held_duties.size()));
    for (unsigned i = 0; i < duties.size(); ++i) {
      duties[i].setDuty(static_cast<std::uint8_t>(report.m_held_duties[i].first));
      duties[i].setToken(report.m_held_duties[i].second);
    }
  }
  return serialize_packed(message);
}

std::string encode_digest(const report_digest& digest) {
  capnp::MallocMessageBuilder message;
  auto to = message.initRoot<wire::Report>();
  to.setAvailabilityZone(digest.m_availability_zone);
  to.setForwarded(digest.m_forwarded);
  auto relayed = to.initRelayed(static_cast<unsigned>(digest.m_reports.size()));
  for (unsigned i = 0; i < relayed.size(); ++i) {
    const auto& [age, encoded] = digest.m_reports[i];
    relayed[i].setAgeMs(to_wire_ms(age));
    relayed[i].setReport(kj::arrayPtr(reinterpret_cast<const kj::byte*>(encoded.data()), encoded.size()));
  }
  return serialize_packed(message);
}

result<peer_message, malformed_message> decode_message(std::span<const char> bytes) {
  return decode<peer_message>(bytes, max_datagram_words, [](capnp::MessageReader& message) -> peer_message {
    const auto from = message.getRoot<wire::Report>();
    if (from.hasUsage()) {
      return read_usage(from.getUsage());
    }
    if (from.getRelayed().size() == 0) {
      return read_report(message);
    }
    report_digest digest{from.getAvailabilityZone().cStr(), {}, from.getForwarded()};
    for (const auto& each : from.getRelayed()) {
      const auto encoded = each.getReport();
      digest.m_reports.push_back(
          {milliseconds(each.getAgeMs()), {reinterpret_cast<const char*>(encoded.begin()), encoded.size()}});
    }
    return digest;
  });
}

result<peer_report, malformed_message> decode_report(std::span<const char> bytes) {
  auto message = decode_message(bytes);
  if (!message) {
    return message.error();
  }
  if (auto* report = std::get_if<peer_report>(&*message)) {
    return std::move(*report);
  }
  return malformed_message{"another message instead of a report"};
}

std::string encode_snapshot(const collection_snapshot& snapshot) {
  capnp::MallocMessageBuilder message;
  auto to = message.initRoot<wire::CollectionSnapshot>();
  to.setAsOf(snapshot.m_as_of.m_revision);
  to.setEra(snapshot.m_as_of.m_era);
  auto documents = to.initDocuments(static_cast<unsigned>(snapshot.m_documents.size()));
  for (unsigned i = 0; i < documents.size(); ++i) {
    documents[i].setName(snapshot.m_documents[i].m_name);
    documents[i].setRevision(snapshot.m_documents[i].m_version.m_revision);
    const std::string& content = snapshot.m_documents[i].m_content;
    documents[i].setContent(kj::StringPtr(content.c_str(), content.size()));
  }
  return serialize_packed(message);
}

result<collection_snapshot, malformed_message> decode_snapshot(std::span<const char> bytes) {
  return decode<collection_snapshot>(bytes, max_snapshot_words, [](capnp::MessageReader& message) {
    const auto from = message.getRoot<wire::CollectionSnapshot>();
    collection_snapshot snapshot{{from.getEra(), from.getAsOf()}, {}, 0};
    for (const auto& each : from.getDocuments()) {
      snapshot.m_documents.push_back({std::string(each.getName().cStr(), each.getName().size()),
                                      {from.getEra(), each.getRevision()},
                                      std::string(each.getContent().cStr(), each.getContent().size())});
    }
    return snapshot;
  });
}

} // namespace cardamompond::gateway
