#pragma once

#include "cardamompond/core/object_store.hpp"
#include "cardamompond/declarations/change_set.hpp"
#include "cardamompond/declarations/finding.hpp"
#include "cardamompond/declarations/reader.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cardamompond::declarations {

// All objects that one owner declares. Published objects of that owner that are missing from the request are
// removed. If the request declares any shared objects (objects without an owner), it replaces all published
// shared objects; otherwise they are kept. Objects of another owner may be included only if they equal the
// published ones.
struct publish_request {
  std::string m_owner;
  std::string m_change_set_id;
  object_set m_objects;
  source_map m_sources;
  std::optional<std::uint64_t> m_base_revision; // the revision the operator's files were last compared with
};

struct publish_success {
  std::uint64_t m_revision = 0;
  bool m_already_published = false; // an earlier call published this change-set id as m_revision
  bool m_nothing_to_change = false; // the declarations equal the published ones
  std::vector<object_change> m_changes;
};

enum class publish_error_kind {
  refused,         // m_findings lists the errors; nothing was published
  conflict,        // another publisher changed the configuration first; m_changes lists its changes as far as
                   // they are known, and nothing was published
  unavailable,     // the platform could not be read or written; nothing was published
  outcome_unknown, // the change set may have been published: call again with the same change-set id
};

struct publish_error {
  publish_error_kind m_kind = publish_error_kind::unavailable;
  std::string m_message;
  std::vector<finding> m_findings;
  std::vector<object_change> m_changes;
};

template <typename T> using publish_result = result<T, publish_error>;

// A change set that has been validated against the published configuration and can be written.
struct planned_change {
  object_set m_objects; // all objects after the change
  change_set m_change;
  std::vector<object_change> m_object_changes;
};

// Publishes the change sets of operators. A change set takes effect by one conditional write of the head.
class configuration_publisher {
public:
  configuration_publisher(object_store& store, milliseconds timeout)
      : m_store(store)
      , m_reader(store, m_replica)
      , m_timeout(timeout) {}

  // Reads the published configuration. The pointer is null if nothing has been published.
  publish_result<std::shared_ptr<const snapshot>> read();

  // Validates `request` and returns how it would change the published configuration, without writing.
  publish_result<planned_change> plan(const publish_request& request);

  // Publishes `request`. Calls with the same change-set id are idempotent.
  publish_result<publish_success> publish(const publish_request& request);

private:
  // Plans the change against the configuration that was read last.
  publish_result<planned_change> plan_against_replica(const publish_request& request) const;
  // Returns the head after the change. First writes a new base if the deltas in the head exceed their size
  // limit.
  store_result<configuration_head> make_head(const planned_change& planned);
  // Writes the chunks of a base and returns their keys.
  store_result<std::vector<std::string>> write_base(const snapshot& base);
  // Returns a conflict if objects that the request replaces have changed since its base revision, or if that
  // cannot be determined because the base revision is too old.
  std::optional<publish_error> check_base_revision(const publish_request& request) const;
  // Returns the error for a write that failed because another publisher replaced the head after `based_on`
  // was read.
  publish_error make_conflict_error(const std::shared_ptr<const snapshot>& based_on) const;
  // Returns the revision that the change set created, if the head still lists it.
  std::optional<std::uint64_t> find_published(const std::string& id) const;
  // Erases the chunks of a base that the head no longer refers to.
  void erase_old_base(const std::vector<std::string>& chunks);

  object_store& m_store;
  configuration_replica m_replica;
  configuration_reader m_reader;
  milliseconds m_timeout;
};

} // namespace cardamompond::declarations
