#include "event_loop.hpp"

#include <exception>
#include <future>
#include <utility>

namespace cardamompond::peer {

event_loop::event_loop(task setup, std::function<void()> teardown) {
  std::promise<void> ready;
  auto started = ready.get_future();
  m_thread = std::thread([this, &ready, setup = std::move(setup), teardown = std::move(teardown)] {
    auto io = kj::setupAsyncIo();
    try {
      setup(io);
    } catch (const kj::Exception& error) {
      ready.set_exception(std::make_exception_ptr(std::runtime_error(error.getDescription().cStr())));
      teardown();
      return;
    }
    ready.set_value();
    run(io);
    teardown();
  });
  try {
    started.get();
  } catch (...) {
    m_thread.join();
    throw;
  }
}

event_loop::~event_loop() {
  stop();
}

void event_loop::post(task new_task) {
  const std::lock_guard lock(m_mutex);
  m_tasks.push_back(std::move(new_task));
  if (m_wake_fulfiller.get() != nullptr) {
    m_wake_fulfiller->fulfill();
    m_wake_fulfiller = nullptr;
  }
}

void event_loop::stop() {
  {
    const std::lock_guard lock(m_mutex);
    if (m_stopping) {
      return;
    }
    m_stopping = true;
  }
  post([](kj::AsyncIoContext&) {});
  m_thread.join();
}

std::vector<event_loop::task> event_loop::take_tasks(kj::Maybe<kj::Promise<void>>& wake_promise) {
  const std::lock_guard lock(m_mutex);
  if (m_tasks.empty() && !m_stopping) {
    auto pair = kj::newPromiseAndCrossThreadFulfiller<void>();
    m_wake_fulfiller = kj::mv(pair.fulfiller);
    wake_promise = kj::mv(pair.promise);
  }
  return std::exchange(m_tasks, {});
}

void event_loop::run(kj::AsyncIoContext& io) {
  while (true) {
    kj::Maybe<kj::Promise<void>> wake_promise;
    const auto tasks = take_tasks(wake_promise);
    KJ_IF_MAYBE (pending, wake_promise) {
      pending->wait(io.waitScope);
      continue;
    }
    for (const auto& next_task : tasks) {
      next_task(io);
    }
    // Handles socket events between batches of tasks; otherwise a steady flow of tasks would starve the
    // sockets.
    io.waitScope.poll();
    const std::lock_guard lock(m_mutex);
    if (m_stopping && m_tasks.empty()) {
      return;
    }
  }
}

} // namespace cardamompond::peer
