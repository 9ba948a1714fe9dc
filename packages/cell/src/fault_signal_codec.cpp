#include "cardamompond/cell/fault_signal_registry.hpp"

#include "hex.hpp"
#include "json_fields.hpp"

#include <algorithm>

#include <boost/json.hpp>

namespace cardamompond::cell {
namespace {

constexpr milliseconds max_expiry{3'600'000};

// The platform refuses values of more than 1 MB. Entries that do not fit are left out, suspects first; the
// daemons that know them keep them.
constexpr std::size_t max_encoded_bytes = 900'000;

// Writes a JSON array to `out` and leaves out the items that do not fit.
class limited_array {
public:
  limited_array(std::string& out, std::string_view name)
      : m_out(out) {
    m_out += '"';
    m_out += name;
    m_out += "\":[";
  }

  void add(const boost::json::object& item) {
    const std::string text = boost::json::serialize(item);
    if (m_out.size() + text.size() <= max_encoded_bytes) {
      m_out += m_first ? "" : ",";
      m_out += text;
      m_first = false;
    }
  }

  void close() { m_out += ']'; }

private:
  std::string& m_out;
  bool m_first = true;
};

std::string decode_trip(const boost::json::value& value, breaker_trip& trip) {
  json_fields fields(value, {"service", "version", "attempt", "route", "reason"});
  fields.read("service", trip.m_service);
  fields.read("version", trip.m_version);
  fields.read("attempt", trip.m_attempt);
  fields.read("route", trip.m_route);
  fields.read("reason", trip.m_reason);
  return fields.error();
}

std::string decode_crash(const boost::json::value& value, crash_record& record, std::int64_t& expires_ms) {
  json_fields fields(value, {"fingerprint", "backend_servers", "quarantined", "expires_ms"});
  std::string fingerprint;
  fields.read("fingerprint", fingerprint);
  fields.read("quarantined", record.m_quarantined);
  fields.read("expires_ms", expires_ms);
  const auto* servers = fields.read_array("backend_servers", max_fault_signals);
  const auto hash = parse_hex(fingerprint);
  if (!hash) {
    fields.fail("fingerprint", "not 32 hexadecimal digits");
  }
  if (!fields.error().empty()) {
    return fields.error();
  }
  record.m_fingerprint = *hash;
  for (const auto& server : *servers) {
    if (!server.is_string()) {
      return "backend_servers: not a string";
    }
    record.m_backend_servers.emplace_back(server.get_string().data(), server.get_string().size());
  }
  return {};
}

} // namespace

std::string encode_fault_signals(const fault_signal_set& fault_signals, time_point now,
                                 std::int64_t wall_clock_ms) {
  std::string text = "{";
  limited_array trips(text, "trips");
  for (const auto& trip : fault_signals.m_trips) {
    trips.add({{"service", trip.m_service},
               {"version", trip.m_version},
               {"attempt", trip.m_attempt},
               {"route", trip.m_route},
               {"reason", trip.m_reason}});
  }
  trips.close();
  text += ',';
  limited_array crashes(text, "crashes");
  for (const bool quarantined : {true, false}) {
    for (const auto& record : fault_signals.m_crashes) {
      if (record.m_quarantined == quarantined && record.m_expires > now) {
        const auto remaining = std::chrono::floor<milliseconds>(record.m_expires - now);
        // Rounded down to whole seconds. The two clocks are read at slightly different times, and merging
        // keeps the latest expiry, so without rounding each exchange between daemons would move the expiry a
        // little later.
        const std::int64_t expires_ms = (wall_clock_ms + remaining.count()) / 1000 * 1000;
        crashes.add({{"fingerprint", to_hex(record.m_fingerprint)},
                     {"backend_servers", boost::json::value_from(record.m_backend_servers)},
                     {"quarantined", record.m_quarantined},
                     {"expires_ms", expires_ms}});
      }
    }
  }
  crashes.close();
  text += '}';
  return text;
}

result<fault_signal_set, std::string> decode_fault_signals(std::string_view text, time_point now,
                                                           std::int64_t wall_clock_ms) {
  boost::system::error_code parse_error;
  const auto value = boost::json::parse(boost::json::string_view(text.data(), text.size()), parse_error);
  if (parse_error) {
    return "signals: " + parse_error.message();
  }
  json_fields fields(value, {"trips", "crashes"});
  const auto* trips = fields.read_array("trips", max_fault_signals);
  const auto* crashes = fields.read_array("crashes", max_fault_signals);
  if (!fields.error().empty()) {
    return "signals: " + fields.error();
  }
  fault_signal_set fault_signals;
  for (const auto& item : *trips) {
    if (const auto error = decode_trip(item, fault_signals.m_trips.emplace_back()); !error.empty()) {
      return "signals: trips[" + std::to_string(fault_signals.m_trips.size() - 1) + "]: " + error;
    }
  }
  std::size_t index = 0;
  for (const auto& item : *crashes) {
    crash_record record;
    std::int64_t expires_ms = 0;
    if (const auto error = decode_crash(item, record, expires_ms); !error.empty()) {
      return "signals: crashes[" + std::to_string(index) + "]: " + error;
    }
    ++index;
    if (expires_ms > wall_clock_ms) {
      record.m_expires = now + std::min(milliseconds(expires_ms - wall_clock_ms), max_expiry);
      fault_signals.m_crashes.push_back(std::move(record));
    }
  }
  return fault_signals;
}

} // namespace cardamompond::cell
