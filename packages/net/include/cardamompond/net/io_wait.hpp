#pragma once

#include <boost/asio/error.hpp>
#include <boost/fiber/context.hpp>

#include <cstddef>
#include <utility>

namespace cardamompond::net {

// Suspends the calling fiber until an asynchronous operation of the same thread's event loop completes.
// It needs neither the allocation nor the lock of a fibers::promise, because the fiber and the handler run on
// the same thread.
class io_wait {
public:
  // A completion handler for operations that report an error code and, optionally, a byte count.
  struct completion_handler {
    io_wait* m_wait;
    void operator()(boost::system::error_code error) const { m_wait->complete(error); }
    void operator()(boost::system::error_code error, std::size_t bytes) const {
      m_wait->complete(error, bytes);
    }
  };
  completion_handler handler() { return {this}; }

  // Waits for the completion and returns its error code.
  boost::system::error_code wait() {
    while (!m_complete) {
      m_suspended = true;
      m_fiber->suspend();
    }
    return m_error;
  }

  std::size_t bytes() const { return m_bytes; }

  // Whether the operation has completed. The fiber may not have been resumed yet.
  bool completed() const { return m_complete; }

  void complete(boost::system::error_code error, std::size_t bytes = 0) {
    m_error = error;
    m_bytes = bytes;
    m_complete = true;
    if (m_suspended) {
      m_suspended = false;
      boost::fibers::context::active()->schedule(m_fiber);
    }
  }

private:
  boost::fibers::context* m_fiber = boost::fibers::context::active();
  boost::system::error_code m_error;
  std::size_t m_bytes = 0;
  bool m_complete = false;
  bool m_suspended = false;
};

} // namespace cardamompond::net
