#include "cardamompond/cell/object_claim_store.hpp"

#include "hex.hpp"
#include "json_fields.hpp"

#include <array>

#include <boost/json.hpp>
#include <openssl/evp.h>

namespace cardamompond::cell {
namespace {

std::string encode_base64(std::string_view bytes) {
  std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0'); // EVP_EncodeBlock() appends a zero byte
  const int size =
      EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                      reinterpret_cast<const unsigned char*>(bytes.data()), static_cast<int>(bytes.size()));
  text.resize(static_cast<std::size_t>(size));
  return text;
}

std::optional<std::string> decode_base64(std::string_view text) {
  if (text.size() % 4 != 0) {
    return std::nullopt;
  }
  std::string bytes(text.size() / 4 * 3, '\0');
  const int size =
      EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                      reinterpret_cast<const unsigned char*>(text.data()), static_cast<int>(text.size()));
  if (size < 0) {
    return std::nullopt;
  }
  // EVP_DecodeBlock() decodes padding as zero bytes.
  const std::size_t padding = text.ends_with("==") ? 2 : text.ends_with('=') ? 1 : 0;
  bytes.resize(static_cast<std::size_t>(size) - padding);
  return bytes;
}

void append_field(std::string& text, std::string_view field) {
  text += std::to_string(field.size());
  text += ':';
  text += field;
}

std::string decode_response(const boost::json::value& value, recorded_response& response) {
  json_fields fields(value, {"status", "content_type", "body", "complete"});
  std::uint64_t status = 0;
  std::string body;
  fields.read("status", status);
  fields.read("content_type", response.m_content_type);
  fields.read("body", body);
  fields.read("complete", response.m_complete);
  if (status < 100 || status > 999) {
    fields.fail("status", "not from 100 to 999");
  }
  response.m_status = static_cast<int>(status);
  if (auto bytes = decode_base64(body)) {
    response.m_body = std::move(*bytes);
  } else {
    fields.fail("body", "not base64");
  }
  return fields.error();
}

} // namespace

// Callers choose their idempotency keys, so the hash must be SHA-256: with a weaker hash one account could
// construct a key whose claim is that of another account, and read its answer.
std::string claim_key(const claim_request& request) {
  std::string text;
  append_field(text, request.m_client_account);
  append_field(text, request.m_service);
  append_field(text, request.m_idempotency_key);
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  EVP_Digest(text.data(), text.size(), digest.data(), &size, EVP_sha256(), nullptr);
  constexpr std::string_view digits = "0123456789abcdef";
  std::string key = "claims/" + request.m_service + "/";
  for (unsigned int i = 0; i < size; ++i) {
    key += digits[digest.at(i) >> 4U];
    key += digits[digest.at(i) & 15U];
  }
  return key;
}

std::string encode(const stored_claim& claim) {
  boost::json::object object{{"nonce", to_hex(claim.m_nonce)},
                             {"fingerprint", to_hex(claim.m_fingerprint)},
                             {"claimant", claim.m_claimant},
                             {"written_ms", claim.m_written_ms},
                             {"state", claim.m_response ? "answered" : "claimed"}};
  if (claim.m_response) {
    object["answer"] = boost::json::object{{"status", claim.m_response->m_status},
                                           {"content_type", claim.m_response->m_content_type},
                                           {"body", encode_base64(claim.m_response->m_body)},
                                           {"complete", claim.m_response->m_complete}};
  }
  return boost::json::serialize(object);
}

result<stored_claim, std::string> decode_claim(std::string_view text) {
  boost::system::error_code parse_error;
  const auto value = boost::json::parse(boost::json::string_view(text.data(), text.size()), parse_error);
  if (parse_error) {
    return "claim: " + parse_error.message();
  }
  stored_claim claim;
  std::string nonce;
  std::string fingerprint;
  std::string state;
  json_fields fields(value, {"nonce", "fingerprint", "claimant", "written_ms", "state"}, {"answer"});
  fields.read("nonce", nonce);
  fields.read("fingerprint", fingerprint);
  fields.read("claimant", claim.m_claimant);
  fields.read("written_ms", claim.m_written_ms);
  fields.read("state", state);
  const auto parsed_nonce = parse_hex(nonce);
  const auto parsed_fingerprint = parse_hex(fingerprint);
  if (!parsed_nonce || !parsed_fingerprint) {
    fields.fail(parsed_nonce ? "fingerprint" : "nonce", "not 32 hexadecimal digits");
  }
  const auto* response = fields.find("answer");
  if (state != (response != nullptr ? "answered" : "claimed")) {
    fields.fail("state", "contradicts the presence of an answer");
  }
  if (!fields.error().empty()) {
    return "claim: " + fields.error();
  }
  claim.m_nonce = *parsed_nonce;
  claim.m_fingerprint = *parsed_fingerprint;
  if (response != nullptr) {
    if (const auto error = decode_response(*response, claim.m_response.emplace()); !error.empty()) {
      return "claim: answer: " + error;
    }
  }
  return claim;
}

} // namespace cardamompond::cell
