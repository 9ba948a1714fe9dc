#pragma once

#include <kj/async-io.h>

#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace cardamompond::peer {

// A KJ event loop on a thread of its own, fed with tasks from other threads.
class event_loop {
public:
  using task = std::function<void(kj::AsyncIoContext&)>;

  // Runs `setup` on the loop's thread before anything else, and `teardown` as the last thing; rethrows what
  // `setup` throws.
  event_loop(task setup, std::function<void()> teardown);
  ~event_loop();
  event_loop(const event_loop&) = delete;
  event_loop& operator=(const event_loop&) = delete;

  // Runs a task on the loop's thread. May be called from any thread.
  void post(task new_task);

  // Ends the loop and waits for its thread.
  void stop();

private:
  void run(kj::AsyncIoContext& io);
  std::vector<task> take_tasks(kj::Maybe<kj::Promise<void>>& wake_promise);

  std::mutex m_mutex;
  std::vector<task> m_tasks;
  kj::Own<kj::CrossThreadPromiseFulfiller<void>> m_wake_fulfiller;
  bool m_stopping = false;
  std::thread m_thread;
};

} // namespace cardamompond::peer
