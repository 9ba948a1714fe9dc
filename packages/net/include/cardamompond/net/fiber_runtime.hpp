#pragma once

#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace cardamompond::fleet {
class input_budget;
}

namespace cardamompond::net {

// Runs the fibers of one thread on an Asio event loop. Each thread that runs fibers needs a runtime of its
// own, which is constructed on that thread before its first fiber and must outlive all sockets and fibers of
// the thread.
class fiber_runtime {
public:
  fiber_runtime();
  ~fiber_runtime();
  fiber_runtime(const fiber_runtime&) = delete;
  fiber_runtime& operator=(const fiber_runtime&) = delete;

  // Returns the event loop, for code that includes Asio.
  boost::asio::io_context& context() noexcept { return *m_context; }

  // Returns the memory that all servers of this runtime together may use for connections and requests. It has
  // no limit at first.
  fleet::input_budget& input_budget() noexcept { return *m_input_budget; }

  // Starts a detached fiber on the calling thread. `stack_bytes` is reserved address space; only touched
  // pages use memory.
  static void spawn(std::function<void()> body, std::size_t stack_bytes = 128 * 1024);

  // Runs `task` on this runtime's thread, as an event handler that must not block. May be called from any
  // thread.
  void post(std::function<void()> task);

private:
  std::shared_ptr<boost::asio::io_context> m_context;
  std::unique_ptr<fleet::input_budget> m_input_budget;
};

} // namespace cardamompond::net
