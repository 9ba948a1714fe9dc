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

// Guards against a thread that spins forever on the spinlock of a condition variable. This happened when the
// event loop was polled while a fiber that was about to wait held that lock, and a posted task then notified
// the same condition variable.
TEST(fiber_runtime_group, posted_task_can_notify_a_fiber_that_begins_to_wait) {
  constexpr int rounds = 5000;
  int notified = 0;
  // Runs on its own thread, because a thread can have only one runtime and the main thread has that of the
  // other tests.
  std::thread([&] {
    fiber_runtime runtime;
    boost::fibers::mutex mutex;
    boost::fibers::condition_variable changed;
    bool stop = false;
    // This fiber never waits, so that the event loop is polled between fiber switches.
    boost::fibers::fiber always_ready([&] {
      while (!stop) {
        runtime.post([&] {
          ++notified;
          changed.notify_one();
        });
        changed.notify_one(); // makes the waiting fiber return and wait again
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
  CHECK(notified > rounds / 2); // the last posted tasks may not have run
}
