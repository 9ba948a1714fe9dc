#pragma once

#include "cardamompond/cell/claim_store.hpp"

#include <deque>
#include <functional>
#include <optional>
#include <string_view>

namespace cardamompond::cell {

// Returns the key of the platform object of a claim: claims/<service>/<hash of client account, service and
// idempotency key>.
std::string claim_key(const claim_request& request);

// A claim as stored in the platform, encoded as JSON.
struct stored_claim {
  hash128 m_nonce;
  hash128 m_fingerprint;
  std::string m_claimant;                      // name of the daemon that wrote the claim
  std::int64_t m_written_ms = 0;               // wall clock, milliseconds since 1970
  std::optional<recorded_response> m_response; // empty while the state is "claimed"
};

std::string encode(const stored_claim& claim);
result<stored_claim, std::string> decode_claim(std::string_view text);

struct object_claim_options {
  std::string m_claimant;
  milliseconds m_timeout{1000};   // for each platform call
  std::size_t m_max_attempts = 3; // rounds of write and read before an outcome counts as unresolved
  // Limit of the releases kept for a retry; beyond it the oldest is dropped.
  std::size_t m_max_pending_releases = 1000;
};

// Stores each claim as one platform object, created by a conditional write. After a lost reply the object is
// read and its nonce compared. A claim that exists but cannot be read or decoded is refused with in_progress,
// because its request may have run. Not thread-safe, but several fibers of one thread may use it.
class object_claim_store final : public claim_store {
public:
  // `random` returns 64 random bits for nonces; `wall_clock` returns milliseconds since 1970.
  object_claim_store(object_store& store, object_claim_options options, std::function<std::uint64_t()> random,
                     std::function<std::int64_t()> wall_clock);

  claim_outcome claim(const claim_request& request) override;
  void release(claim_ticket ticket) override;
  result<success, record_error> record(claim_ticket ticket, recorded_response response) override;
  std::size_t retry_releases(std::size_t limit) override;

private:
  bool try_release(claim_ticket& ticket);
  void release_later(claim_ticket ticket);

  object_store& m_store;
  object_claim_options m_options;
  std::function<std::uint64_t()> m_random;
  std::function<std::int64_t()> m_wall_clock;
  std::deque<claim_ticket> m_pending_releases;
};

} // namespace cardamompond::cell
