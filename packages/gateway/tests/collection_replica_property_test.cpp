#include "cardamompond/gateway/collection_replica.hpp"

#include <CppUTest/TestHarness.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

#include <rapidcheck.h>

using namespace cardamompond;
using namespace cardamompond::gateway;

namespace {

using content_map = std::map<std::string, document, std::less<>>;

// A store that comes back from copies, with the contents of all its versions.
class forgetful_store {
public:
  forgetful_store() { m_contents[m_now]; }

  void write(const std::string& name, bool remove) {
    content_map content = m_contents.at(m_now);
    ++m_now.m_revision;
    m_history.push_back({{name, m_now, std::to_string(++m_writes)}, remove});
    if (remove) {
      content.erase(name);
    } else {
      content[name] = m_history.back().m_document;
    }
    m_contents[m_now] = std::move(content);
  }

  // Loses the latest changes, and begins a new era.
  void come_back_from_copy(std::size_t lost) {
    m_history.resize(m_history.size() - std::min(lost, m_history.size()));
    const store_version copy(m_now.m_era + 1, first_revision + m_history.size());
    content_map content;
    for (auto& [changed, removed] : m_history) {
      changed.m_version.m_era = copy.m_era;
      if (removed) {
        content.erase(changed.m_name);
      } else {
        content[changed.m_name] = changed;
      }
    }
    m_now = copy;
    m_contents[m_now] = std::move(content);
  }

  collection_snapshot list() const {
    collection_snapshot snapshot{m_now, {}, 0};
    for (const auto& [name, each] : m_contents.at(m_now)) {
      snapshot.m_documents.push_back(each);
    }
    return snapshot;
  }

  // Nothing: the store does not have the version.
  std::optional<collection_changes> watch(store_version after) const {
    if (after.m_era != m_now.m_era || after.m_revision > m_now.m_revision) {
      return std::nullopt;
    }
    collection_changes changes{m_now, {}, 0, after};
    for (const auto& each : m_history) {
      if (each.m_document.m_version.m_revision > after.m_revision) {
        changes.m_changes.push_back(each);
      }
    }
    return changes;
  }

  store_version now() const { return m_now; }
  const content_map& content_at(store_version version) const { return m_contents.at(version); }

private:
  static constexpr std::uint64_t first_revision = 1;
  store_version m_now{1, first_revision};
  std::vector<document_change> m_history;
  std::map<store_version, content_map> m_contents;
  int m_writes = 0;
};

bool has_content_of(const collection_replica& replica, const forgetful_store& store) {
  const auto& expected = store.content_at(replica.as_of());
  return std::equal(replica.documents().begin(), replica.documents().end(), expected.begin(), expected.end(),
                    [](const auto& a, const auto& b) {
                      return a.first == b.first && a.second.m_version == b.second.m_version &&
                             a.second.m_content == b.second.m_content;
                    });
}

// Draws one history and checks the replica after each step.
void check_history() {
  forgetful_store store;
  collection_replica replica;
  std::vector<collection_snapshot> lists;  // answers that may arrive at any time, and copies of peers
  std::vector<collection_changes> watches; // answers that may arrive at any time
  std::uint64_t era_of_a_peer = 0;         // the era of the content, if only a peer stated it
  const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
      rc::gen::pair(rc::gen::inRange(0, 9), rc::gen::inRange(0, 100)));
  for (const auto& [step, choice] : steps) {
    const auto index = static_cast<std::size_t>(choice);
    const store_version before = replica.as_of();
    bool store_replaced_peer = false;
    if (step <= 2) {
      store.write("n" + std::to_string(choice % 4), step == 2);
    } else if (step == 3) {
      store.come_back_from_copy(index % 6);
    } else if (step == 4) {
      lists.push_back(store.list());
    } else if (step == 5 && replica.loaded()) {
      if (auto changes = store.watch(before)) {
        watches.push_back(std::move(*changes));
      }
    } else if (step == 6 && !lists.empty()) {
      replica.apply(lists[index % lists.size()]);
      store_replaced_peer = era_of_a_peer == before.m_era;
      if (lists[index % lists.size()].m_as_of == replica.as_of()) {
        era_of_a_peer = 0;
      }
    } else if (step == 7 && !watches.empty() && replica.loaded()) {
      replica.apply(watches[index % watches.size()]);
    } else if (step == 8 && !lists.empty()) {
      const auto& copy = lists[index % lists.size()];
      replica.apply(copy, collection_replica::origin::peer);
      if (replica.as_of().m_era != before.m_era) {
        era_of_a_peer = replica.as_of().m_era;
      }
    }
    const bool sound = !replica.loaded() || has_content_of(replica, store);
    const bool goes_back = replica.as_of() < before && !store_replaced_peer;
    RC_ASSERT(sound);
    RC_ASSERT(!goes_back);
    RC_ASSERT(replica.changed_at() <= replica.as_of());
  }
  replica.apply(store.list());
  RC_ASSERT(replica.as_of() == store.now());
  RC_ASSERT(has_content_of(replica, store));
}

} // namespace

TEST_GROUP(collection_replica_property){};

// Guards against a copy that no version of the store ever had, or that goes back, over drawn histories:
// several eras, also one right after another, late answers of each, and peers whose copies are of other eras.
TEST(collection_replica_property, the_content_is_that_of_its_version) {
  CHECK(rc::check("the content is that of its version", [] {
    for (int history = 0; history < 20; ++history) {
      check_history();
    }
  }));
}
