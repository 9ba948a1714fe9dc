#include "cardamompond/core/time.hpp"
#include "cardamompond/net/fiber_runtime.hpp"

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/mutex.hpp>
#include <boost/fiber/operations.hpp>

#include <CppUTest/TestHarness.h>

#include <mutex>
#include <thread>

using namespace cardamompond;
using namespace cardamompond::net;

TEST_GROUP(fiber_runtime_group){};

// Guards against a thread that spins forever: a posted task notifies a condition variable while the fiber
// that is about to wait on it holds its spinlock.
TEST(fiber_runtime_group, posted_task_can_notify_a_fiber_that_begins_to_wait) {
  constexpr int rounds = 5000;
  int notified = 0;
  // One runtime per thread; the other tests have theirs on the main thread.
  std::thread([&] {
    fiber_runtime runtime;
    boost::fibers::mutex mutex;
    boost::fibers::condition_variable changed;
    bool stop = false;
    // Always ready, so that the event loop is polled between fibers.
    boost::fibers::fiber always_ready([&] {
      while (!stop) {
        runtime.post([&] {
          ++notified;
          changed.notify_one();
        });
        changed.notify_one(); // so that the other fiber begins to wait again each time
        boost::this_fiber::yield();
      }
    });
    for (int round = 0; round < rounds; ++round) {
      std::unique_lock lock(mutex);
      changed.wait_for(lock, milliseconds(1));
    }
    stop = true;
    always_ready.join();
  }).join();
  CHECK(notified > rounds / 2); // those of the last moments may not have run
}
