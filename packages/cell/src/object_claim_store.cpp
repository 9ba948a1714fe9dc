#include "cardamompond/cell/object_claim_store.hpp"

#include <algorithm>
#include <utility>

namespace cardamompond::cell {
namespace {

// Header values of backend servers may contain bytes that are not UTF-8, which JSON cannot represent.
bool is_printable_ascii(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char c) { return c >= ' ' && c <= '~'; });
}

request_error in_progress_error(std::string message) {
  return {error_code::in_progress, verdict::may_have_run, std::move(message)};
}

claim_outcome resolve_existing_claim(const stored_claim& found, const claim_request& request) {
  if (found.m_fingerprint != request.m_fingerprint) {
    return request_error{error_code::key_reused, verdict::not_run,
                         "the idempotency key was used with another body"};
  }
  if (found.m_response) {
    return *found.m_response;
  }
  return in_progress_error(
      "a request with this idempotency key is being executed, or its outcome is unknown");
}

} // namespace

object_claim_store::object_claim_store(object_store& store, object_claim_options options,
                                       std::function<std::uint64_t()> random,
                                       std::function<std::int64_t()> wall_clock)
    : m_store(store)
    , m_options(std::move(options))
    , m_random(std::move(random))
    , m_wall_clock(std::move(wall_clock)) {}

claim_outcome object_claim_store::claim(const claim_request& request) {
  claim_ticket ticket{claim_key(request), {m_random(), m_random()}, request.m_fingerprint, 0};
  const std::string value =
      encode(stored_claim{ticket.m_nonce, request.m_fingerprint, m_options.m_claimant, m_wall_clock(), {}});
  bool may_exist = false; // a write of this nonce may have taken effect
  bool occupied = false;  // a claim exists that could not be read
  for (std::size_t attempt = 0; attempt < m_options.m_max_attempts; ++attempt) {
    if (const auto written = m_store.put(ticket.m_key, value, 0, m_options.m_timeout)) {
      ticket.m_version = *written;
      return ticket;
    } else if (written.error().m_kind == store_error_kind::outcome_unknown) {
      may_exist = true;
    } else if (written.error().m_kind == store_error_kind::conflict) {
      occupied = true;
    } else if (!may_exist && !occupied) {
      break;
    }
    const auto read = m_store.get(ticket.m_key, m_options.m_timeout);
    if (!read) {
      occupied = occupied && read.error().m_kind != store_error_kind::not_found;
      continue;
    }
    const auto found = decode_claim(read->m_value);
    if (found && found->m_nonce == ticket.m_nonce) {
      ticket.m_version = read->m_version;
      return ticket;
    }
    // A claim that cannot be decoded tells nothing about its request, which may have run.
    return found ? resolve_existing_claim(*found, request) : in_progress_error(found.error());
  }
  if (may_exist) {
    release_later(ticket);
  }
  if (occupied) {
    return in_progress_error("the claim of this idempotency key cannot be read");
  }
  return request_error{error_code::claims_unavailable, verdict::not_run, "the platform does not answer"};
}

// Deletes a claim and returns whether nothing is left to do. A ticket without a version belongs to a write
// whose reply was lost. The deletion is conditional on the version, so that it cannot delete the claim of
// another request, however late it arrives.
bool object_claim_store::try_release(claim_ticket& ticket) {
  for (std::size_t attempt = 0; attempt < m_options.m_max_attempts; ++attempt) {
    if (ticket.m_version != 0) {
      const auto erased = m_store.erase(ticket.m_key, ticket.m_version, m_options.m_timeout);
      if (erased || erased.error().m_kind == store_error_kind::not_found) {
        return true;
      }
      if (erased.error().m_kind != store_error_kind::conflict &&
          erased.error().m_kind != store_error_kind::outcome_unknown) {
        return false;
      }
    }
    const auto read = m_store.get(ticket.m_key, m_options.m_timeout);
    if (!read) {
      return read.error().m_kind == store_error_kind::not_found;
    }
    const auto found = decode_claim(read->m_value);
    if (!found || found->m_nonce != ticket.m_nonce || found->m_response) {
      return true;
    }
    ticket.m_version = read->m_version;
  }
  return false;
}

void object_claim_store::release_later(claim_ticket ticket) {
  m_pending_releases.push_back(std::move(ticket));
  while (m_pending_releases.size() > m_options.m_max_pending_releases) {
    m_pending_releases.pop_front();
  }
}

void object_claim_store::release(claim_ticket ticket) {
  if (!try_release(ticket)) {
    release_later(std::move(ticket));
  }
}

std::size_t object_claim_store::retry_releases(std::size_t limit) {
  for (std::size_t i = 0; i < limit && !m_pending_releases.empty(); ++i) {
    // The ticket is removed first because other fibers may add and remove entries during the call.
    claim_ticket ticket = std::move(m_pending_releases.front());
    m_pending_releases.pop_front();
    if (!try_release(ticket)) {
      release_later(std::move(ticket));
      break;
    }
  }
  return m_pending_releases.size();
}

result<success, record_error> object_claim_store::record(claim_ticket ticket, recorded_response response) {
  if (response.m_body.size() > max_recorded_body_bytes) {
    response.m_body.clear();
    response.m_complete = false;
  }
  if (!is_printable_ascii(response.m_content_type)) {
    response.m_content_type = "application/octet-stream";
  }
  const std::string value = encode(stored_claim{ticket.m_nonce, ticket.m_fingerprint, m_options.m_claimant,
                                                m_wall_clock(), std::move(response)});
  record_error error{"no attempt was made"};
  for (std::size_t attempt = 0; attempt < m_options.m_max_attempts; ++attempt) {
    const auto written = m_store.put(ticket.m_key, value, ticket.m_version, m_options.m_timeout);
    if (written) {
      return success{};
    }
    error.m_message = written.error().m_message;
    if (written.error().m_kind != store_error_kind::conflict &&
        written.error().m_kind != store_error_kind::outcome_unknown) {
      continue;
    }
    const auto read = m_store.get(ticket.m_key, m_options.m_timeout);
    if (!read) {
      error.m_message = read.error().m_message;
      continue;
    }
    const auto found = decode_claim(read->m_value);
    if (!found || found->m_nonce != ticket.m_nonce) {
      return record_error{"the claim was replaced"};
    }
    if (found->m_response) {
      return success{}; // an earlier attempt has taken effect
    }
    ticket.m_version = read->m_version;
  }
  return error;
}

} // namespace cardamompond::cell
