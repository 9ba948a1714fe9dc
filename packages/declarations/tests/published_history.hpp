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

// What happens to the next write to the head of the configuration.
enum class write_fault { none, lose_reply, lose_request, delay, refuse };

// An object store that loses, delays and reorders writes, shows old heads and runs other operators between a
// read and a write. Tells `on_write` about each write of the head that took effect.
class racing_store final : public object_store {
public:
  std::function<void(const std::string& head)> m_on_write;
  std::function<void()> m_before_write; // called once
  std::vector<write_fault> m_faults;    // of the next writes of the head, last first
  bool m_outage = false;
  std::size_t m_old_heads = 0; // how many of the next reads show the head before the current one

  // Lets the oldest delayed write arrive; its precondition decides.
  void deliver_delayed();

  store_result<stored_value> get(std::string_view key, milliseconds timeout) override;
  store_result<object_version> put(std::string_view key, std::string_view value, object_version expected,
                                   milliseconds timeout) override;
  store_result<done> erase(std::string_view key, object_version expected, milliseconds timeout) override;
  store_result<std::vector<stored_key>> list(std::string_view prefix, milliseconds timeout) override;
  store_result<stored_value> watch(std::string_view key, object_version after, milliseconds timeout) override;

private:
  store_result<object_version> write_head(const std::string& value, object_version expected);

  memory_object_store m_memory;
  stored_value m_previous;
  stored_value m_current;
  std::vector<std::pair<std::string, object_version>> m_delayed;
};

// Operators and daemons around one store, and the history that a simple oracle derives from the writes that
// took effect: each revision is the one before with the publishing owner's objects replaced.
class published_history {
public:
  published_history();

  // Publishes a new change set of an operator; `size` objects, of which one may belong to the other owner.
  // `base` is how many revisions ago the operator last looked; none if the operator does not say.
  void publish(std::size_t size, bool second_owner, bool shared, bool foreign, std::optional<unsigned> base);

  // Publishes an earlier change set again.
  void publish_again(std::size_t index);

  // What a daemon has in force must be a revision of the history, and not older than what it had before.
  void poll(std::size_t index);
  void watch(std::size_t index);
  void restart(std::size_t index);

  // Sends what a daemon holds to one that is behind; the message arrives, late or repeatedly, when arrive()
  // picks it.
  void relay(std::size_t from, std::size_t to);
  void arrive(std::size_t index);

  // Ends all faults; every daemon must then reach the newest revision, and every operator must succeed.
  void converge();

  racing_store m_store;

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
    std::uint64_t m_seen = 0;
  };

  void record(const std::string& head);
  void run(const publish_request& request, bool foreign);
  void check_success(const publish_request& request, const publish_success& success) const;
  void check_conflict(const publish_request& request, const publish_error& error,
                      std::uint64_t started_at) const;
  void check(daemon& subject) const;
  std::optional<std::uint64_t> revision_of(const std::string& id) const;
  std::uint64_t newest() const { return m_revisions.size() - 1; }

  std::vector<history_entry> m_revisions = {history_entry{}}; // by revision
  std::map<std::string, publish_request> m_requests;
  std::set<std::string> m_given_up;  // ids whose operator was told that nothing was published
  std::set<std::string> m_undecided; // ids whose operator was told that the outcome is unknown
  std::vector<std::unique_ptr<daemon>> m_daemons;
  std::vector<std::pair<std::size_t, std::string>> m_in_flight; // updates on their way to a daemon
  unsigned m_stamp = 0;
};

} // namespace cardamompond::declarations
