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

// Everything that one owner declares. Objects of that owner which are missing here are removed. Shared
// objects (without an owner) are replaced as a whole if any is declared here, else left alone. Objects of the
// other owner may be present only as they are published.
struct publish_request {
  std::string m_owner;
  std::string m_change_set_id;
  object_set m_objects;
  source_map m_sources;
  std::optional<std::uint64_t> m_base_revision; // what the operator's files were last compared with
};

struct publish_success {
  std::uint64_t m_revision = 0;
  bool m_already_published = false; // this change-set id made m_revision earlier
  bool m_nothing_to_change = false; // the declarations equal those published
  std::vector<object_change> m_changes;
};

enum class publish_error_kind {
  refused,         // findings; nothing was published
  conflict,        // lost a race; nothing was published, m_changes lists what the others changed
  unavailable,     // the platform was not reached; nothing was published
  outcome_unknown, // may have been published: publish again with the same change-set id
};

struct publish_error {
  publish_error_kind m_kind = publish_error_kind::unavailable;
  std::string m_message;
  std::vector<finding> m_findings;
  std::vector<object_change> m_changes;
};

template <typename T> using publish_result = result<T, publish_error>;

// A change set that has been checked against the published configuration, ready to be written.
struct planned_change {
  object_set m_objects; // the whole set after the change
  change_set m_change;
  std::vector<object_change> m_object_changes;
};

// Publishes change sets of operators by one conditional write of the head.
class configuration_publisher {
public:
  configuration_publisher(object_store& store, milliseconds timeout)
      : m_store(store)
      , m_reader(store, m_replica)
      , m_timeout(timeout) {}

  // Reads the published configuration; null if nothing has been published.
  publish_result<std::shared_ptr<const snapshot>> read();

  // Checks what `request` would change against the published configuration, without writing.
  publish_result<planned_change> plan(const publish_request& request);

  // Publishes `request`. Harmless when called again with the same change-set id.
  publish_result<publish_success> publish(const publish_request& request);

private:
  publish_result<planned_change> plan_on_current(const publish_request& request) const;
  store_result<configuration_head> make_head(const planned_change& planned);
  store_result<std::vector<std::string>> write_base(const snapshot& base);
  std::optional<publish_error> changed_since_base(const publish_request& request) const;
  publish_error conflict(const std::shared_ptr<const snapshot>& based_on) const;
  std::optional<std::uint64_t> find_published(const std::string& id) const;
  void erase_old_base(const std::vector<std::string>& chunks);

  object_store& m_store;
  configuration_replica m_replica;
  configuration_reader m_reader;
  milliseconds m_timeout;
};

} // namespace cardamompond::declarations
