#pragma once

#include "cardamompond/core/result.hpp"
#include "cardamompond/core/store_version.hpp"
#include "cardamompond/core/time.hpp"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cardamompond::gateway {

// The kinds of objects in the store; each kind is one collection of documents.
enum class collection_kind { declarations, backend_servers, rollouts, evacuations, members };

inline constexpr std::array all_collection_kinds = {
    collection_kind::declarations, collection_kind::backend_servers, collection_kind::rollouts,
    collection_kind::evacuations, collection_kind::members};

// Returns the kind as it appears in logs and metrics, e.g. "backend_servers".
std::string_view to_string(collection_kind kind);

// One object of the store. Only a document_reader interprets the content.
struct document {
  std::string m_name;
  store_version m_version; // of the last change, in the era in which the document was read
  std::string m_content;
};

// All documents of a collection at one version of the store, which is also the era of all documents.
struct collection_snapshot {
  store_version m_as_of;
  std::vector<document> m_documents;
  std::size_t m_unreadable_entries = 0; // entries without a name or a revision; they are left out
};

struct document_change {
  document m_document;
  bool m_removed = false;
};

// The changes since an earlier revision of the same era up to `m_as_of`; empty if there were none.
struct collection_changes {
  store_version m_as_of;
  std::vector<document_change> m_changes;
  std::size_t m_unreadable_entries = 0; // events without the name or the revision of an object; left out
  store_version m_after{};              // the version that they follow
};

enum class document_error_kind {
  history_gone,    // the store no longer has the changes since that revision
  conflict,        // the object has another revision or, when it is created, exists already
  not_found,       // the object does not exist
  unavailable,     // the store was not reached or refused; nothing was written
  rate_limited,    // over the store's rate limit; nothing was written
  outcome_unknown, // no response; the write may have taken effect or may still do so
  malformed        // the response could not be parsed
};

// Returns the kind as it appears in logs and metrics, e.g. "rate_limited".
std::string_view to_string(document_error_kind kind);

struct document_error {
  document_error_kind m_kind = document_error_kind::unavailable;
  std::string m_message;
};

template <typename T> using document_result = result<T, document_error>;

// Client of the platform's store. A call blocks the fiber for at most `timeout`.
class document_store {
public:
  virtual ~document_store() = default;

  // Reads a whole collection.
  virtual document_result<collection_snapshot> list(collection_kind kind, milliseconds timeout) = 0;

  // The latest era that an answer of the store stated; 0 if none did.
  virtual std::uint64_t era() const = 0;

  // Waits up to `wait` for changes after the version `after`. Fails with `history_gone` if the store is in
  // another era, even if it has the revision.
  virtual document_result<collection_changes> watch(collection_kind kind, store_version after,
                                                    milliseconds wait) = 0;

  // Makes a watch of the collection that is under way fail with `history_gone` at once.
  virtual void interrupt_watch(collection_kind kind) = 0;

  // Creates an object that belongs to the daemons. Fails with `conflict` if it exists.
  virtual document_result<success> create(collection_kind kind, std::string_view name,
                                          std::string_view content, milliseconds timeout) = 0;

  // Removes an object that belongs to the daemons.
  virtual document_result<success> remove(collection_kind kind, std::string_view name,
                                          milliseconds timeout) = 0;

  // Writes the state of a rollout if the version of its object is still `version`. Nothing is sent if the
  // store is known to be in another era, in which the revision may stand for other content.
  virtual document_result<success> write_rollout_state(std::string_view service, store_version version,
                                                       std::string_view target_version,
                                                       std::string_view state, milliseconds timeout) = 0;
};

} // namespace cardamompond::gateway
