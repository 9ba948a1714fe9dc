#pragma once

#include <kj/async-io.h>

#include <atomic>
#include <cstdint>

namespace cardamompond::peer {

struct stream_counters {
  std::atomic<std::uint64_t> m_bytes_sent{0};
  std::atomic<std::uint64_t> m_bytes_received{0};
};

// Counts the bytes sent and received on a stream, because the control traffic of a daemon has a budget.
// KJ destroys its objects through disposers, so its classes have no virtual destructor.
// NOLINTNEXTLINE(cppcoreguidelines-virtual-class-destructor)
class counting_stream final : public kj::AsyncIoStream {
public:
  counting_stream(kj::Own<kj::AsyncIoStream> inner, stream_counters& counters)
      : m_inner(kj::mv(inner))
      , m_counters(counters) {}

  kj::Promise<std::size_t> tryRead(void* buffer, std::size_t min_bytes, std::size_t max_bytes) override {
    return m_inner->tryRead(buffer, min_bytes, max_bytes).then([this](std::size_t bytes) {
      m_counters.m_bytes_received += bytes;
      return bytes;
    });
  }

  kj::Promise<void> write(const void* buffer, std::size_t size) override {
    m_counters.m_bytes_sent += size;
    return m_inner->write(buffer, size);
  }

  kj::Promise<void> write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override {
    for (const auto& piece : pieces) {
      m_counters.m_bytes_sent += piece.size();
    }
    return m_inner->write(pieces);
  }

  kj::Promise<void> whenWriteDisconnected() override { return m_inner->whenWriteDisconnected(); }
  void shutdownWrite() override { m_inner->shutdownWrite(); }
  void abortRead() override { m_inner->abortRead(); }

private:
  kj::Own<kj::AsyncIoStream> m_inner;
  stream_counters& m_counters;
};

} // namespace cardamompond::peer
