#include "cardamompond/daemon/status_writer.hpp"

#include <boost/fiber/operations.hpp>

#include <algorithm>
#include <chrono>
#include <tuple>

namespace cardamompond::daemon {
namespace {

constexpr seconds check_interval{2};
constexpr seconds max_write_interval{10};
constexpr milliseconds platform_timeout{1000};

// Encodes a record without the fields that change continually, to detect other changes.
std::string encode_stable_fields(declarations::status_record record) {
  record.m_written_unix_ms = 0;
  for (auto& member : record.m_members) {
    member.m_revision_age_ms = 0;
  }
  for (auto& server : record.m_backend_servers) {
    server.m_outstanding = 0;
  }
  return encode(record);
}

} // namespace

status_writer::status_writer(object_store& store, cell_runtime& cell, std::string cell_name)
    : m_store(store)
    , m_cell(cell)
    , m_cell_name(std::move(cell_name)) {}

void status_writer::run() {
  std::string last_stable_fields;
  time_point last_written{};
  while (true) {
    boost::this_fiber::sleep_for(check_interval);
    if (m_cell.status().m_role != cell::cell_role::owner) {
      last_stable_fields.clear();
      continue;
    }
    const auto record = make_record();
    std::string stable_fields = encode_stable_fields(record);
    if (stable_fields != last_stable_fields || monotonic_now() - last_written >= max_write_interval) {
      write(record);
      last_stable_fields = std::move(stable_fields);
      last_written = monotonic_now();
    }
  }
}

declarations::status_record status_writer::make_record() const {
  const time_point now = monotonic_now();
  declarations::status_record record;
  record.m_cell = m_cell_name;
  record.m_written_unix_ms = static_cast<std::uint64_t>(wall_clock_ms());
  const auto revisions = m_cell.member_revisions();
  const auto live = m_cell.live_members(now);
  for (const auto& member : m_cell.record().m_members) {
    declarations::member_status status;
    status.m_name = member.m_name;
    const auto revision = std::find_if(revisions.begin(), revisions.end(), [&](const auto& candidate) {
      return candidate.m_name == member.m_name;
    });
    if (revision != revisions.end()) {
      status.m_revision = revision->m_revision;
      status.m_revision_age_ms = static_cast<std::uint64_t>(
          std::chrono::duration_cast<milliseconds>(now - revision->m_since).count());
      status.m_in_force =
          revision->m_revision != 0 && std::find(live.begin(), live.end(), member.m_name) != live.end();
    }
    record.m_members.push_back(std::move(status));
  }
  auto status = m_cell.permits().engine().status();
  record.m_rollouts = std::move(status.m_rollouts);
  record.m_backend_servers = std::move(status.m_backend_servers);
  return record;
}

void status_writer::write(const declarations::status_record& record) {
  const std::string key = std::string(declarations::status_prefix) + m_cell_name;
  const std::string text = encode(record);
  auto outcome = m_store.put(key, text, m_version, platform_timeout);
  if (!outcome && outcome.error().m_kind == store_error_kind::conflict) {
    outcome = m_store.put(key, text, outcome.error().m_current_version, platform_timeout);
  }
  if (outcome) {
    m_version = *outcome;
  }
}

} // namespace cardamompond::daemon
