#pragma once

#include "cardamompond/core/memory_object_store.hpp"
#include "cardamompond/declarations/publisher.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cardamompond::declarations {

// Fault that the store injects into a write of the configuration head.
enum class write_fault { none, lose_reply, lose_request, delay, refuse };

// An object store that injects faults into accesses to the configuration head: it loses, delays and reorders
// writes, returns stale heads, and lets another operator write between a read and a write. It calls
// `m_on_head_write` for each write of the head that took effect.
class fault_injecting_store final : public object_store {
public:
  std::function<void(const std::string& head)> m_on_head_write;
  std::function<void()> m_before_head_write; // called once, before the next write of the head
  std::vector<write_fault> m_write_faults;   // faults of the next writes of the head, in reverse order
  bool m_outage = false;
  std::size_t m_stale_head_reads = 0; // number of reads still to return the previous head

  // Executes the oldest delayed write. It takes effect only if the head still has the expected version.
  void apply_delayed_write();

  store_result<stored_value> get(std::string_view key, milliseconds timeout) override;
  store_result<object_version> put(std::string_view key, std::string_view value, object_version expected,
                                   milliseconds timeout) override;
  store_result<success> erase(std::string_view key, object_version expected, milliseconds timeout) override;
  store_result<std::vector<stored_key>> list(std::string_view prefix, milliseconds timeout) override;
  store_result<stored_value> watch(std::string_view key, object_version after, milliseconds timeout) override;

private:
  store_result<object_version> write_head(const std::string& value, object_version expected);

  memory_object_store m_memory;
  stored_value m_previous_head;
  stored_value m_current_head;
  std::vector<std::pair<std::string, object_version>> m_delayed_writes;
};

// Runs operators and daemons on one store and records the expected history: each write of the head that took
// effect gives a revision, which is the previous one with the publishing owner's objects replaced.
class published_history {
public:
  published_history();

  // Publishes a new change set of an operator with `object_count` objects of its owner. It also declares a
  // shared tier if `with_shared_tier` is set, and an object of the other owner, which the publisher must
  // refuse, if `with_foreign_object` is set. `revisions_behind` is the age, in revisions, of the
  // configuration on which the operator based the change set; without it the request names no base revision.
  void publish(std::size_t object_count, bool second_owner, bool with_shared_tier, bool with_foreign_object,
               std::optional<unsigned> revisions_behind);

  // Publishes one of the earlier change sets again, under the same id.
  void publish_again(std::size_t index);

  // poll() and watch() make a daemon read the head, and restart() replaces a daemon by a new one. The
  // configuration that a daemon has after reading must equal a revision of the history that is not older than
  // the revision that it had before.
  void poll(std::size_t index);
  void watch(std::size_t index);
  void restart(std::size_t index);

  // Sends the configuration update of one daemon to another daemon that is behind. deliver_update() delivers
  // one of the updates in flight and keeps it there, so updates can arrive late, out of order and repeatedly.
  void relay(std::size_t from, std::size_t to);
  void deliver_update(std::size_t index);

  // Disables all faults. After that, every operator must succeed in publishing and every daemon must reach
  // the newest revision.
  void converge();

  fault_injecting_store m_store;

private:
  struct history_entry {
    std::string m_id;
    object_set m_objects;
  };
  struct daemon {
    explicit daemon(object_store& store)
        : m_reader(store, m_replica) {}
    configuration_replica m_replica;
    configuration_reader m_reader;
    std::uint64_t m_last_revision = 0;
  };

  void record_head_write(const std::string& head);
  void publish_and_check(const publish_request& request, bool with_foreign_object);
  void check_success(const publish_request& request, const publish_success& success) const;
  void check_conflict(const publish_request& request, const publish_error& error,
                      std::uint64_t start_revision) const;
  void check_daemon(daemon& subject) const;
  std::optional<std::uint64_t> find_revision(const std::string& id) const;
  std::uint64_t newest_revision() const { return m_revisions.size() - 1; }

  std::vector<history_entry> m_revisions = {history_entry{}}; // The index is the revision.
  std::map<std::string, publish_request> m_requests;
  std::set<std::string> m_reported_unpublished; // ids of change sets reported as not published
  std::set<std::string> m_outcome_unknown;      // ids of change sets reported with an unknown outcome
  std::vector<std::unique_ptr<daemon>> m_daemons;
  // Each entry holds the index of the receiving daemon and the encoded update.
  std::vector<std::pair<std::size_t, std::string>> m_updates_in_flight;
  unsigned m_publish_count = 0;
};

} // namespace cardamompond::declarations
