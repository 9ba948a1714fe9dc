#pragma once

#include "cardamompond/core/result.hpp"
#include "cardamompond/fleet/backend_server.hpp"
#include "cardamompond/fleet/declarations.hpp"
#include "cardamompond/gateway/document_store.hpp"

#include <string>

namespace cardamompond::gateway {

// The entry of a daemon in the list of members.
struct member {
  std::string m_name;
  std::string m_availability_zone;
  std::string m_exchange_address; // address for reports and for fetching collections
};

// Why a document could not be parsed. Such a document is ignored; the other documents stay in force.
struct unreadable_document {
  std::string m_reason;
};

template <typename T> using read_result = result<T, unreadable_document>;

// Parses documents of the store. Implemented for the format of a particular platform.
class document_reader {
public:
  virtual ~document_reader() = default;

  virtual read_result<fleet::declarations> read_declarations(const document& source) const = 0;
  virtual read_result<fleet::backend_server> read_backend_server(const document& source) const = 0;
  virtual read_result<fleet::rollout_order> read_rollout(const document& source) const = 0;
  virtual read_result<member> read_member(const document& source) const = 0;

  // Returns the content of a member's document, for document_store::create().
  virtual std::string write_member(const member& entry) const = 0;
};

} // namespace cardamompond::gateway
