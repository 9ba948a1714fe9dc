#include "published_history.hpp"

#include <boost/json.hpp>
#include <rapidcheck.h>

#include <algorithm>

namespace cardamompond::declarations {
namespace {

constexpr milliseconds timeout(100);
constexpr std::size_t daemons = 4;
constexpr std::size_t max_in_flight = 8;

// What the operator declares, without the library's help.
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

// Names of the zones of an owner and of the shared tiers that differ between two sets; all zones if the owner
// is empty.
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

store_result<object_version> racing_store::write_head(const std::string& value, object_version expected) {
  auto written = m_memory.put(head_key, value, expected, timeout);
  if (written) {
    m_previous = m_current.m_version == 0 ? stored_value{value, *written} : m_current;
    m_current = {value, *written};
    m_on_write(value);
  }
  return written;
}

void racing_store::deliver_delayed() {
  if (!m_delayed.empty()) {
    const auto [value, expected] = m_delayed.front();
    m_delayed.erase(m_delayed.begin());
    static_cast<void>(write_head(value, expected));
  }
}

store_result<stored_value> racing_store::get(std::string_view key, milliseconds /*timeout*/) {
  if (m_outage) {
    return store_error{store_error_kind::unavailable, 0, "outage"};
  }
  if (key == head_key && m_old_heads > 0 && m_previous.m_version != 0) {
    --m_old_heads;
    return m_previous;
  }
  return m_memory.get(key, timeout);
}

store_result<object_version> racing_store::put(std::string_view key, std::string_view value,
                                               object_version expected, milliseconds /*timeout*/) {
  if (m_outage) {
    return store_error{store_error_kind::unavailable, 0, "outage"};
  }
  if (key != head_key) {
    return m_memory.put(key, value, expected, timeout);
  }
  if (const auto other = std::exchange(m_before_write, nullptr)) {
    other();
  }
  auto fault = write_fault::none;
  if (!m_faults.empty()) {
    fault = m_faults.back();
    m_faults.pop_back();
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
    m_delayed.emplace_back(value, expected);
    return unknown;
  case write_fault::lose_reply:
    static_cast<void>(write_head(std::string(value), expected));
    return unknown;
  }
  return write_head(std::string(value), expected);
}

store_result<done> racing_store::erase(std::string_view key, object_version expected,
                                       milliseconds /*timeout*/) {
  return m_memory.erase(key, expected, timeout);
}

store_result<std::vector<stored_key>> racing_store::list(std::string_view prefix, milliseconds /*timeout*/) {
  return m_memory.list(prefix, timeout);
}

store_result<stored_value> racing_store::watch(std::string_view key, object_version after,
                                               milliseconds /*timeout*/) {
  auto found = get(key, timeout);
  return found && found->m_version <= after ? stored_value{{}, after} : found;
}

published_history::published_history() {
  m_store.m_on_write = [this](const std::string& head) { record(head); };
  for (std::size_t i = 0; i < daemons; ++i) {
    m_daemons.push_back(std::make_unique<daemon>(m_store));
  }
}

void published_history::record(const std::string& head) {
  const std::string id(boost::json::parse(head).at("change_set_id").as_string());
  RC_ASSERT(!revision_of(id)); // published twice
  RC_ASSERT(!m_given_up.contains(id));
  m_revisions.push_back({id, replace_owned(m_revisions.back().m_objects, m_requests.at(id))});
}

std::optional<std::uint64_t> published_history::revision_of(const std::string& id) const {
  const auto found = std::find_if(m_revisions.begin() + 1, m_revisions.end(),
                                  [&](const history_entry& entry) { return entry.m_id == id; });
  return found == m_revisions.end()
             ? std::nullopt
             : std::optional<std::uint64_t>(static_cast<std::uint64_t>(found - m_revisions.begin()));
}

void published_history::publish(std::size_t size, bool second_owner, bool shared, bool foreign,
                                std::optional<unsigned> base) {
  // Long names make the deltas large, so that a new base is written every few change sets.
  const std::string owner = second_owner ? "o2" : "o1";
  const std::string stamp = std::to_string(++m_stamp);
  publish_request request{owner, "cs" + stamp, {}, {}, std::nullopt};
  for (std::size_t i = 0; i < size; ++i) {
    const std::string name = owner + "-" + std::string(50, 'n') + std::to_string(i);
    request.m_objects.m_availability_zones[name] = {name, owner, "r" + stamp, true};
  }
  if (shared) {
    const std::string name = "t" + std::to_string(m_stamp % 3);
    request.m_objects.m_tiers[name] = {name, {}, 0, m_stamp, 1};
  }
  if (foreign) {
    request.m_objects.m_availability_zones["z"] = {"z", second_owner ? "o1" : "o2", "r" + stamp, true};
  }
  if (base) {
    request.m_base_revision = newest() - std::min<std::uint64_t>(newest(), *base);
  }
  if (!foreign) {
    m_requests[request.m_change_set_id] = request;
  }
  run(request, foreign);
}

void published_history::publish_again(std::size_t index) {
  if (!m_requests.empty()) {
    const auto request =
        std::next(m_requests.begin(), static_cast<std::ptrdiff_t>(index % m_requests.size()));
    m_given_up.erase(request->first);
    run(request->second, false);
  }
}

void published_history::run(const publish_request& request, bool foreign) {
  const auto started_at = newest();
  const bool published_before = revision_of(request.m_change_set_id).has_value();
  configuration_publisher publisher(m_store, timeout);
  const auto published = publisher.publish(request);
  if (published) {
    RC_ASSERT(!foreign);
    return check_success(request, *published);
  }
  const auto& error = published.error();
  RC_ASSERT((error.m_kind != publish_error_kind::refused) || foreign);
  if (error.m_kind == publish_error_kind::outcome_unknown) {
    m_undecided.insert(request.m_change_set_id);
    return;
  }
  // An earlier call may have published it, or may still do so by a delayed write.
  if (!published_before && !m_undecided.contains(request.m_change_set_id)) {
    RC_ASSERT(!revision_of(request.m_change_set_id));
    m_given_up.insert(request.m_change_set_id);
  }
  if (error.m_kind == publish_error_kind::conflict) {
    check_conflict(request, error, started_at);
  }
}

void published_history::check_success(const publish_request& request, const publish_success& success) const {
  const auto revision = revision_of(request.m_change_set_id);
  if (success.m_nothing_to_change) {
    RC_ASSERT(!revision);
    const auto& objects = m_revisions.at(success.m_revision).m_objects;
    RC_ASSERT(replace_owned(objects, request) == objects);
  } else {
    RC_ASSERT(revision == std::optional<std::uint64_t>(success.m_revision));
  }
}

// A conflict names everything that the operator has not seen: with a declared base the own and shared objects
// changed since then, in a race all objects changed meanwhile.
void published_history::check_conflict(const publish_request& request, const publish_error& error,
                                       std::uint64_t started_at) const {
  if (error.m_message.find("too old to list") != std::string::npos) {
    return;
  }
  RC_ASSERT(!error.m_changes.empty());
  std::set<std::string> named;
  for (const auto& line : error.m_changes) {
    named.insert(line.m_object.m_name);
  }
  const bool raced = error.m_message.find(" first; ") != std::string::npos;
  const auto from = raced ? started_at : request.m_base_revision.value();
  const auto missing = [&](const object_set& after) {
    const auto changed = changed_names(m_revisions.at(from).m_objects, after, raced ? "" : request.m_owner);
    return !std::includes(named.begin(), named.end(), changed.begin(), changed.end());
  };
  // The publisher may have read the head before the newest one.
  RC_ASSERT(!missing(m_revisions.back().m_objects) || !missing(m_revisions.at(newest() - 1).m_objects));
}

void published_history::check(daemon& subject) const {
  const auto revision = subject.m_replica.revision();
  RC_ASSERT(revision >= subject.m_seen);
  RC_ASSERT(revision <= newest());
  subject.m_seen = revision;
  if (const auto current = subject.m_replica.current()) {
    RC_ASSERT(current->m_change_set_id == m_revisions[revision].m_id);
    RC_ASSERT(current->m_objects == m_revisions[revision].m_objects);
  }
}

void published_history::poll(std::size_t index) {
  static_cast<void>(m_daemons.at(index)->m_reader.poll(timeout));
  check(*m_daemons.at(index));
}

void published_history::watch(std::size_t index) {
  static_cast<void>(m_daemons.at(index)->m_reader.watch(timeout));
  check(*m_daemons.at(index));
}

void published_history::relay(std::size_t from, std::size_t to) {
  const auto& source = m_daemons.at(from)->m_replica;
  if (auto update = source.update_since(m_daemons.at(to)->m_replica.revision()); !update.empty()) {
    m_in_flight.emplace_back(to, std::move(update));
    if (m_in_flight.size() > max_in_flight) {
      m_in_flight.erase(m_in_flight.begin());
    }
  }
}

void published_history::arrive(std::size_t index) {
  if (!m_in_flight.empty()) {
    const auto message = m_in_flight.begin() + static_cast<std::ptrdiff_t>(index % m_in_flight.size());
    auto& target = *m_daemons.at(message->first);
    RC_ASSERT(target.m_replica.apply_update(message->second) != apply_outcome::malformed);
    check(target);
  }
}

void published_history::restart(std::size_t index) {
  m_daemons.at(index) = std::make_unique<daemon>(m_store);
}

void published_history::converge() {
  m_store.m_outage = false;
  m_store.m_faults.clear();
  m_store.m_old_heads = 0;
  m_store.m_before_write = nullptr;
  for (const bool second_owner : {false, true}) {
    const auto before = newest();
    publish(1, second_owner, false, false, std::nullopt);
    RC_ASSERT(newest() == before + 1);
  }
  restart(0); // this one starts from the base
  for (std::size_t i = 0; i < daemons; ++i) {
    watch(i);
    RC_ASSERT(m_daemons[i]->m_replica.revision() == newest());
  }
}

} // namespace cardamompond::declarations
