#pragma once

#include "cardamompond/core/object_store.hpp"
#include "cardamompond/declarations/codec.hpp"
#include "cardamompond/declarations/configuration_replica.hpp"

namespace cardamompond::declarations {

// Key of the configuration head in the object API.
inline constexpr std::string_view head_key = "config/head";

// Reads the configuration from the platform into a replica. Calls block for up to about `timeout`. After an
// error, the caller is expected to back off and call again.
class configuration_reader {
public:
  configuration_reader(object_store& store, configuration_replica& replica)
      : m_store(store)
      , m_replica(replica) {}

  // Reads the head once and applies it. Returns `unchanged` if there is no head.
  store_result<apply_outcome> poll(milliseconds timeout);

  // Waits for a head newer than the last one read and applies it. Returns `unchanged` at the timeout.
  store_result<apply_outcome> watch(milliseconds timeout);

  // head() returns the last head that was read completely, including its base if that was needed;
  // head_version() returns its version in the store, or 0 before the first such read.
  const configuration_head& head() const { return m_head; }
  object_version head_version() const { return m_head_version; }

private:
  store_result<apply_outcome> apply_head(const stored_value& value, milliseconds timeout);
  store_result<snapshot> load_base(const configuration_head& head, milliseconds timeout);

  object_store& m_store;
  configuration_replica& m_replica;
  configuration_head m_head;
  object_version m_head_version = 0;
};

} // namespace cardamompond::declarations
