#pragma once

#include "cardamompond/core/hash.hpp"
#include "cardamompond/core/object_store.hpp"
#include "cardamompond/core/result.hpp"
#include "cardamompond/core/verdict.hpp"

#include <cstdint>
#include <string>
#include <variant>

namespace cardamompond::cell {

// For answers with a larger body only the status and the content type are recorded.
constexpr std::size_t max_recorded_body_bytes = 64 * 1024;

// Identifies a request that may run at most once.
struct claim_request {
  std::string m_service;
  std::string m_client_account;
  std::string m_idempotency_key;
  hash128 m_fingerprint; // hash of the request body
};

// The right to dispatch one request. It is obtained from claim() and ends with release() or record().
struct claim_ticket {
  std::string m_key; // key of the platform object
  hash128 m_nonce;
  hash128 m_fingerprint;
  object_version m_version = 0;
};

// The answer to a request that has run.
struct recorded_response {
  int m_status = 0;
  std::string m_content_type;
  std::string m_body;     // may contain any bytes
  bool m_complete = true; // false if the body exceeded max_recorded_body_bytes and was left out
};

// Outcome of claim(): the right to dispatch, the recorded answer of an earlier execution, or a refusal. The
// code and verdict of a refusal are in_progress (may_have_run), key_reused (not_run) or claims_unavailable
// (not_run).
using claim_outcome = std::variant<claim_ticket, recorded_response, request_error>;

// Why an answer could not be recorded. The caller still receives its answer, but a retry with the same key is
// refused with in_progress.
struct record_error {
  std::string m_message;
};

// Ensures that a request is dispatched by at most one daemon. Calls block the calling fiber.
class claim_store {
public:
  virtual ~claim_store() = default;

  // Claims the request. Only a claim_ticket gives the right to dispatch, and only until it is released.
  virtual claim_outcome claim(const claim_request& request) = 0;

  // Releases a claim whose request was not dispatched. If the platform does not answer, the release stays
  // pending and retry_releases() tries it again.
  virtual void release(claim_ticket ticket) = 0;

  // Records the answer of a dispatched request.
  virtual result<success, record_error> record(claim_ticket ticket, recorded_response response) = 0;

  // Retries at most `limit` pending releases and returns how many are still pending.
  virtual std::size_t retry_releases(std::size_t limit) = 0;
};

} // namespace cardamompond::cell
