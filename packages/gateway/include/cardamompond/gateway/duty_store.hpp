#pragma once

#include "cardamompond/fleet/duty_claim.hpp"
#include "cardamompond/gateway/document_store.hpp"

#include <optional>

namespace cardamompond::gateway {

// The result of a conditional write of a duty's object.
struct duty_write_result {
  enum class outcome {
    written,
    conflict, // the object has another revision or exists already
    failed,   // not executed
    unknown   // no answer; may be executed later
  };
  outcome m_outcome = outcome::failed;
  std::uint64_t m_revision = 0;               // if written
  std::optional<fleet::stored_claim> m_found; // what the object holds in case of a conflict, if that is known
  std::string m_reason;                       // if it was not written
  std::uint64_t m_store_era = 0;              // the era that the answer states; 0: none
};

// What the store holds of a duty.
struct duty_object {
  std::optional<fleet::stored_claim> m_claim; // nothing if the object does not exist
  std::uint64_t m_store_era = 0;              // the era that the answer states; 0: none
};

// The objects of the duties in the platform's store. A call blocks the fiber for at most `timeout`.
class duty_store {
public:
  virtual ~duty_store() = default;

  virtual document_result<duty_object> read(fleet::duty which, milliseconds timeout) = 0;

  virtual duty_write_result write(fleet::duty which, const fleet::claim_write& write,
                                  milliseconds timeout) = 0;
};

} // namespace cardamompond::gateway
