#include "base_chunks.hpp"

#include "cardamompond/core/hash.hpp"

#include <algorithm>

namespace cardamompond::declarations {
namespace {

std::string chunk_header(std::uint64_t revision, std::size_t index, std::size_t count) {
  return std::to_string(revision) + " " + std::to_string(index) + " " + std::to_string(count) + "\n";
}

} // namespace

std::vector<std::string> encode_base(const snapshot& base, std::size_t chunk_bytes) {
  const std::string text = encode(base);
  const std::size_t count = std::max<std::size_t>(1, (text.size() + chunk_bytes - 1) / chunk_bytes);
  std::vector<std::string> chunks;
  chunks.reserve(count);
  for (std::size_t i = 0; i < count; ++i) {
    chunks.push_back(chunk_header(base.m_revision, i, count) + text.substr(i * chunk_bytes, chunk_bytes));
  }
  return chunks;
}

decode_result<snapshot> decode_base(std::span<const std::string> chunks, std::uint64_t revision) {
  if (chunks.empty()) {
    if (revision != 0) {
      return decode_error{"the base has no chunks"};
    }
    return snapshot{};
  }
  std::string text;
  for (std::size_t i = 0; i < chunks.size(); ++i) {
    const auto header = chunk_header(revision, i, chunks.size());
    if (!chunks[i].starts_with(header)) {
      return decode_error{"a chunk belongs to another base"};
    }
    text.append(chunks[i], header.size());
  }
  auto base = decode_snapshot(text);
  if (base && base->m_revision != revision) {
    return decode_error{"the revision of the base differs from the base revision in the head"};
  }
  return base;
}

std::string chunk_key(std::string_view chunk) {
  return "config/base/" + to_hex(hash_content(chunk));
}

} // namespace cardamompond::declarations
