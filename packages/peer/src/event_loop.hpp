#pragma once

#include <kj/async-io.h>

#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace cardamompond::peer {

// Runs a KJ event loop on a separate thread. Other threads submit tasks to it.
class event_loop {
public:
  using task = std::function<void(kj::AsyncIoContext&)>;

  // Runs `setup` as the first and `teardown` as the last function on the loop's thread. If `setup` throws a
  // kj::Exception, `teardown` runs and the constructor throws std::runtime_error.
  event_loop(task setup, std::function<void()> teardown);
  ~event_loop();
  event_loop(const event_loop&) = delete;
  event_loop& operator=(const event_loop&) = delete;

  // Runs a task on the loop's thread. May be called from any thread.
  void post(task new_task);

  // Runs the tasks that are still queued, ends the loop and waits for its thread.
  void stop();

private:
  void run(kj::AsyncIoContext& io);

  // Removes and returns the queued tasks. If there are none and the loop is not stopping, sets `wake_promise`
  // to a promise that the next post() fulfills.
  std::vector<task> take_tasks(kj::Maybe<kj::Promise<void>>& wake_promise);

  std::mutex m_mutex;
  std::vector<task> m_tasks;
  kj::Own<kj::CrossThreadPromiseFulfiller<void>> m_wake_fulfiller;
  bool m_stopping = false;
  std::thread m_thread;
};

} // namespace cardamompond::peer
