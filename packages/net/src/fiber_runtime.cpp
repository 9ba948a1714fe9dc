#include "cardamompond/net/fiber_runtime.hpp"

#include "cardamompond/fleet/input_budget.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/fiber/algo/round_robin.hpp>
#include <boost/fiber/context.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/fixedsize_stack.hpp>
#include <boost/fiber/operations.hpp>

namespace cardamompond::net {
namespace {

// The event loop is polled after this many fiber switches, because fibers that are always ready would
// otherwise starve the sockets.
constexpr unsigned picks_between_polls = 64;

// Boost.Fiber scheduler that waits in the Asio event loop when no fiber is ready.
class asio_scheduler final : public boost::fibers::algo::round_robin {
public:
  explicit asio_scheduler(std::shared_ptr<boost::asio::io_context> context)
      : m_context(std::move(context))
      , m_work(boost::asio::make_work_guard(*m_context)) {}

  boost::fibers::context* pick_next() noexcept override {
    // Polls only from the dispatcher fiber. Any other fiber that blocks calls this while it holds the
    // spinlock of its condition variable or mutex, and a handler that notifies the same object would wait for
    // that lock forever.
    if (++m_picks_since_poll >= picks_between_polls &&
        boost::fibers::context::active()->is_context(boost::fibers::type::dispatcher_context)) {
      m_picks_since_poll = 0;
      m_context->poll();
    }
    return round_robin::pick_next();
  }

  void suspend_until(const std::chrono::steady_clock::time_point& until) noexcept override {
    if (until == std::chrono::steady_clock::time_point::max()) {
      m_context->run_one();
    } else {
      m_context->run_one_until(until);
    }
    m_context->poll();
  }

  void notify() noexcept override {
    boost::asio::post(*m_context, [] {});
  }

private:
  std::shared_ptr<boost::asio::io_context> m_context;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
  unsigned m_picks_since_poll = 0;
};

} // namespace

fiber_runtime::fiber_runtime()
    : m_context(std::make_shared<boost::asio::io_context>(1))
    , m_input_budget(std::make_unique<fleet::input_budget>()) {
  boost::fibers::use_scheduling_algorithm<asio_scheduler>(m_context);
}

fiber_runtime::~fiber_runtime() = default;

void fiber_runtime::spawn(std::function<void()> body, std::size_t stack_bytes) {
  boost::fibers::fiber(boost::fibers::launch::post, std::allocator_arg,
                       boost::fibers::fixedsize_stack(stack_bytes), std::move(body))
      .detach();
}

void fiber_runtime::post(std::function<void()> task) {
  boost::asio::post(*m_context, std::move(task));
}

} // namespace cardamompond::net
