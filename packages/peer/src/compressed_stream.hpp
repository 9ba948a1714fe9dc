#pragma once

#include <kj/async-io.h>
#include <kj/compat/gzip.h>

namespace cardamompond::peer {

// Compresses the data written to a stream with gzip and decompresses the data read from it. Each write is
// followed by a flush, so that the peer can read it at once. The control traffic of a daemon has a budget of
// 17 KB/s, and the messages of a cell are so similar that they compress well. benchmark/cell_bench shows the
// effect.
// KJ destroys its objects through disposers, so its classes have no virtual destructor.
// NOLINTNEXTLINE(cppcoreguidelines-virtual-class-destructor)
class compressed_stream final : public kj::AsyncIoStream {
public:
  explicit compressed_stream(kj::AsyncIoStream& inner)
      : m_inner(inner)
      , m_reader(inner)
      , m_writer(inner) {}

  kj::Promise<std::size_t> tryRead(void* buffer, std::size_t min_bytes, std::size_t max_bytes) override {
    return m_reader.tryRead(buffer, min_bytes, max_bytes);
  }

  kj::Promise<void> write(const void* buffer, std::size_t size) override {
    return m_writer.write(buffer, size).then([this] { return m_writer.flush(); });
  }

  kj::Promise<void> write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override {
    return m_writer.write(pieces).then([this] { return m_writer.flush(); });
  }

  kj::Promise<void> whenWriteDisconnected() override { return m_inner.whenWriteDisconnected(); }
  void shutdownWrite() override { m_inner.shutdownWrite(); }
  void abortRead() override { m_inner.abortRead(); }

private:
  kj::AsyncIoStream& m_inner;
  kj::GzipAsyncInputStream m_reader;
  kj::GzipAsyncOutputStream m_writer;
};

} // namespace cardamompond::peer
