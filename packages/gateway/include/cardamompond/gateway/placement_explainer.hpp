#pragma once

#include "cardamompond/gateway/admission_controller.hpp"
#include "cardamompond/net/http_message.hpp"

namespace cardamompond::gateway {

// Answers requests of operators for where a request would go now, and why. The parameters are those of the
// query: `service`, or `host` and `path`; `account` (its name), `prompt_tokens`, `output_tokens` and
// `deadline_ms`. The answer is JSON. Nothing is sent, reserved or charged, and no key is read or shown.
net::http_response explain_placement(admission_controller& admission, const net::http_request& request);

} // namespace cardamompond::gateway
