#include "cardamompond/core/verdict.hpp"

#include <array>
#include <cstddef>

namespace cardamompond {
namespace {

struct code_description {
  std::string_view m_name;
  int m_http_status;
};

// Indexed by error_code.
constexpr std::array<code_description, 23> descriptions = {{
    {"bad_request", 400},
    {"idempotency_required", 400},
    {"unauthorized", 401},
    {"forbidden", 403},
    {"not_found", 404},
    {"in_progress", 409},
    {"too_large", 413},
    {"header_too_large", 431},
    {"key_reused", 422},
    {"account_limit", 429},
    {"queue_full", 503},
    {"overloaded", 503},
    {"deadline_unmeetable", 503},
    {"deadline_exceeded", 504},
    {"crashing_request", 422},
    {"no_backend_server", 503},
    {"owner_unavailable", 503},
    {"claims_unavailable", 503},
    {"isolated", 503},
    {"shutting_down", 503},
    {"backend_refused", 503},
    {"backend_failed", 502},
    {"internal", 500},
}};
static_assert(descriptions.size() == static_cast<std::size_t>(error_code::internal) + 1);

} // namespace

std::string_view to_string(error_code code) {
  return descriptions.at(static_cast<std::size_t>(code)).m_name;
}

int http_status(error_code code) {
  return descriptions.at(static_cast<std::size_t>(code)).m_http_status;
}

std::string_view to_string(verdict value) {
  return value == verdict::not_run ? "not-run" : "may-have-run";
}

} // namespace cardamompond
