#include "published_history.hpp"

#include <boost/json.hpp>
#include <rapidcheck.h>

#include <algorithm>

namespace cardamompond::declarations {
namespace {

constexpr milliseconds timeout(100);
constexpr std::size_t daemon_count = 4;
constexpr std::size_t max_updates_in_flight = 8;

// Computes the set that a publication must give, independently of the code under test.
object_set replace_owned(object_set before, const publish_request& request) {
  std::erase_if(before.m_availability_zones,
                [&](const auto& entry) { return entry.second.m_owner == request.m_owner; });
  for (const auto& [name, zone] : request.m_objects.m_availability_zones) {
    before.m_availability_zones[name] = zone;
  }
  if (!request.m_objects.m_tiers.empty()) {
    before.m_tiers = request.m_objects.m_tiers;
  }
  return before;
}

// Returns the names of the shared tiers, and of the zones of `owner`, that differ between two sets. If
// `owner` is empty, the zones of all owners are compared.
std::set<std::string> changed_names(const object_set& before, const object_set& after,
                                    const std::string& owner) {
  std::set<std::string> names;
  const auto compare = [&](const auto& left, const auto& right) {
    for (const auto& [name, object] : left) {
      const auto other = right.find(name);
      const bool relevant = owner.empty() || object.m_owner.empty() || object.m_owner == owner;
      if (relevant && (other == right.end() || !(other->second == object))) {
        names.insert(name);
      }
    }
  };
  compare(before.m_availability_zones, after.m_availability_zones);
  compare(after.m_availability_zones, before.m_availability_zones);
  compare(before.m_tiers, after.m_tiers);
  compare(after.m_tiers, before.m_tiers);
  return names;
}

} // namespace

store_result<object_version> fault_injecting_store::write_head(const std::string& value,
                                                               object_version expected) {
  auto written = m_memory.put(head_key, value, expected, timeout);
  if (written) {
    m_previous_head = m_current_head.m_version == 0 ? stored_value{value, *written} : m_current_head;
    m_current_head = {value, *written};
    m_on_head_write(value);
  }
  return written;
}

void fault_injecting_store::apply_delayed_write() {
  if (!m_delayed_writes.empty()) {
    const auto [value, expected] = m_delayed_writes.front();
    m_delayed_writes.erase(m_delayed_writes.begin());
    static_cast<void>(write_head(value, expected));
  }
}

store_result<stored_value> fault_injecting_store::get(std::string_view key, milliseconds /*timeout*/) {
  if (m_outage) {
    return store_error{store_error_kind::unavailable, 0, "outage"};
  }
  if (key == head_key && m_stale_head_reads > 0 && m_previous_head.m_version != 0) {
    --m_stale_head_reads;
    return m_previous_head;
  }
  return m_memory.get(key, timeout);
}

store_result<object_version> fault_injecting_store::put(std::string_view key, std::string_view value,
                                                        object_version expected, milliseconds /*timeout*/) {
  if (m_outage) {
    return store_error{store_error_kind::unavailable, 0, "outage"};
  }
  if (key != head_key) {
    return m_memory.put(key, value, expected, timeout);
  }
  if (const auto callback = std::exchange(m_before_head_write, nullptr)) {
    callback();
  }
  auto fault = write_fault::none;
  if (!m_write_faults.empty()) {
    fault = m_write_faults.back();
    m_write_faults.pop_back();
  }
  const store_error unknown{store_error_kind::outcome_unknown, 0, "reply lost"};
  switch (fault) {
  case write_fault::none:
    break;
  case write_fault::refuse:
    return store_error{store_error_kind::unavailable, 0, "refused"};
  case write_fault::lose_request:
    return unknown;
  case write_fault::delay:
    m_delayed_writes.emplace_back(value, expected);
    return unknown;
  case write_fault::lose_reply:
    static_cast<void>(write_head(std::string(value), expected));
    return unknown;
  }
  return write_head(std::string(value), expected);
}

store_result<success> fault_injecting_store::erase(std::string_view key, object_version expected,
                                                   milliseconds /*timeout*/) {
  return m_memory.erase(key, expected, timeout);
}

store_result<std::vector<stored_key>> fault_injecting_store::list(std::string_view prefix,
                                                                  milliseconds /*timeout*/) {
  return m_memory.list(prefix, timeout);
}

store_result<stored_value> fault_injecting_store::watch(std::string_view key, object_version after,
                                                        milliseconds /*timeout*/) {
  auto found = get(key, timeout);
  return found && found->m_version <= after ? stored_value{{}, after} : found;
}

published_history::published_history() {
  m_store.m_on_head_write = [this](const std::string& head) { record_head_write(head); };
  for (std::size_t i = 0; i < daemon_count; ++i) {
    m_daemons.push_back(std::make_unique<daemon>(m_store));
  }
}

void published_history::record_head_write(const std::string& head) {
  const std::string id(boost::json::parse(head).at("change_set_id").as_string());
  RC_ASSERT(!find_revision(id)); // A change set must not be published twice.
  RC_ASSERT(!m_reported_unpublished.contains(id));
  m_revisions.push_back({id, replace_owned(m_revisions.back().m_objects, m_requests.at(id))});
}

std::optional<std::uint64_t> published_history::find_revision(const std::string& id) const {
  const auto found = std::find_if(m_revisions.begin() + 1, m_revisions.end(),
                                  [&](const history_entry& entry) { return entry.m_id == id; });
  return found == m_revisions.end()
             ? std::nullopt
             : std::optional<std::uint64_t>(static_cast<std::uint64_t>(found - m_revisions.begin()));
}

void published_history::publish(std::size_t object_count, bool second_owner, bool with_shared_tier,
                                bool with_foreign_object, std::optional<unsigned> revisions_behind) {
  // Long names make the deltas large, so that the publisher writes a new base every few change sets.
  const std::string owner = second_owner ? "o2" : "o1";
  const std::string publish_number = std::to_string(++m_publish_count);
  publish_request request{owner, "cs" + publish_number, {}, {}, std::nullopt};
  for (std::size_t i = 0; i < object_count; ++i) {
    const std::string name = owner + "-" + std::string(50, 'n') + std::to_string(i);
    request.m_objects.m_availability_zones[name] = {name, owner, "r" + publish_number, true};
  }
  if (with_shared_tier) {
    const std::string name = "t" + std::to_string(m_publish_count % 3);
    request.m_objects.m_tiers[name] = {name, {}, 0, m_publish_count, 1};
  }
  if (with_foreign_object) {
    request.m_objects.m_availability_zones["z"] = {"z", second_owner ? "o1" : "o2", "r" + publish_number,
                                                   true};
  }
  if (revisions_behind) {
    request.m_base_revision =
        newest_revision() - std::min<std::uint64_t>(newest_revision(), *revisions_behind);
  }
  if (!with_foreign_object) {
    m_requests[request.m_change_set_id] = request;
  }
  publish_and_check(request, with_foreign_object);
}

void published_history::publish_again(std::size_t index) {
  if (!m_requests.empty()) {
    const auto request =
        std::next(m_requests.begin(), static_cast<std::ptrdiff_t>(index % m_requests.size()));
    m_reported_unpublished.erase(request->first);
    publish_and_check(request->second, false);
  }
}

void published_history::publish_and_check(const publish_request& request, bool with_foreign_object) {
  const auto start_revision = newest_revision();
  const bool published_before = find_revision(request.m_change_set_id).has_value();
  configuration_publisher publisher(m_store, timeout);
  const auto published = publisher.publish(request);
  if (published) {
    RC_ASSERT(!with_foreign_object);
    return check_success(request, *published);
  }
  const auto& error = published.error();
  RC_ASSERT((error.m_kind != publish_error_kind::refused) || with_foreign_object);
  if (error.m_kind == publish_error_kind::outcome_unknown) {
    m_outcome_unknown.insert(request.m_change_set_id);
    return;
  }
  // This call reports that nothing was published. That is final unless an earlier call has published the
  // change set, or may still do so by a delayed write.
  if (!published_before && !m_outcome_unknown.contains(request.m_change_set_id)) {
    RC_ASSERT(!find_revision(request.m_change_set_id));
    m_reported_unpublished.insert(request.m_change_set_id);
  }
  if (error.m_kind == publish_error_kind::conflict) {
    check_conflict(request, error, start_revision);
  }
}

void published_history::check_success(const publish_request& request, const publish_success& success) const {
  const auto revision = find_revision(request.m_change_set_id);
  if (success.m_nothing_to_change) {
    RC_ASSERT(!revision);
    const auto& objects = m_revisions.at(success.m_revision).m_objects;
    RC_ASSERT(replace_owned(objects, request) == objects);
  } else {
    RC_ASSERT(revision == std::optional<std::uint64_t>(success.m_revision));
  }
}

// A conflict must list every change that the operator has not seen. If the request names a base revision,
// these are the changes since then to the owner's objects and to shared objects. If another operator
// published during the call, these are the changes to all objects since the call began.
void published_history::check_conflict(const publish_request& request, const publish_error& error,
                                       std::uint64_t start_revision) const {
  if (error.m_message.find("too old to list") != std::string::npos) {
    return;
  }
  RC_ASSERT(!error.m_changes.empty());
  std::set<std::string> listed_names;
  for (const auto& change : error.m_changes) {
    listed_names.insert(change.m_object.m_name);
  }
  const bool lost_race = error.m_message.find(" first; ") != std::string::npos;
  const auto from_revision = lost_race ? start_revision : request.m_base_revision.value();
  const auto has_unlisted_change = [&](const object_set& after) {
    const auto changed =
        changed_names(m_revisions.at(from_revision).m_objects, after, lost_race ? "" : request.m_owner);
    return !std::includes(listed_names.begin(), listed_names.end(), changed.begin(), changed.end());
  };
  // The publisher may have read a stale head, so a list that is complete up to the revision before the newest
  // is accepted, too.
  RC_ASSERT(!has_unlisted_change(m_revisions.back().m_objects) ||
            !has_unlisted_change(m_revisions.at(newest_revision() - 1).m_objects));
}

void published_history::check_daemon(daemon& subject) const {
  const auto revision = subject.m_replica.revision();
  RC_ASSERT(revision >= subject.m_last_revision);
  RC_ASSERT(revision <= newest_revision());
  subject.m_last_revision = revision;
  if (const auto current = subject.m_replica.current()) {
    RC_ASSERT(current->m_change_set_id == m_revisions[revision].m_id);
    RC_ASSERT(current->m_objects == m_revisions[revision].m_objects);
  }
}

void published_history::poll(std::size_t index) {
  static_cast<void>(m_daemons.at(index)->m_reader.poll(timeout));
  check_daemon(*m_daemons.at(index));
}

void published_history::watch(std::size_t index) {
  static_cast<void>(m_daemons.at(index)->m_reader.watch(timeout));
  check_daemon(*m_daemons.at(index));
}

void published_history::relay(std::size_t from, std::size_t to) {
  const auto& source = m_daemons.at(from)->m_replica;
  if (auto update = source.update_since(m_daemons.at(to)->m_replica.revision()); !update.empty()) {
    m_updates_in_flight.emplace_back(to, std::move(update));
    if (m_updates_in_flight.size() > max_updates_in_flight) {
      m_updates_in_flight.erase(m_updates_in_flight.begin());
    }
  }
}

void published_history::deliver_update(std::size_t index) {
  if (!m_updates_in_flight.empty()) {
    const auto message =
        m_updates_in_flight.begin() + static_cast<std::ptrdiff_t>(index % m_updates_in_flight.size());
    auto& target = *m_daemons.at(message->first);
    RC_ASSERT(target.m_replica.apply_update(message->second) != apply_outcome::malformed);
    check_daemon(target);
  }
}

void published_history::restart(std::size_t index) {
  m_daemons.at(index) = std::make_unique<daemon>(m_store);
}

void published_history::converge() {
  m_store.m_outage = false;
  m_store.m_write_faults.clear();
  m_store.m_stale_head_reads = 0;
  m_store.m_before_head_write = nullptr;
  for (const bool second_owner : {false, true}) {
    const auto before = newest_revision();
    publish(1, second_owner, false, false, std::nullopt);
    RC_ASSERT(newest_revision() == before + 1);
  }
  restart(0); // This daemon has to load the base.
  for (std::size_t i = 0; i < daemon_count; ++i) {
    watch(i);
    RC_ASSERT(m_daemons[i]->m_replica.revision() == newest_revision());
  }
}

} // namespace cardamompond::declarations
