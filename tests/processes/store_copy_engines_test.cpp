#include "store_copy_group.hpp"

// Guards against requests to an engine whose leaving is not in the copy, or has a lower revision than the
// entry before.
TEST(store_copy, engines_that_leave_get_no_requests_after_the_store_came_back) {
  check_engines_over_drills(1);
}

// Guards against the same when the store goes back a second time before anything was written again.
TEST(store_copy, engines_that_leave_get_no_requests_after_the_store_came_back_twice) {
  check_engines_over_drills(2);
}

// Guards against requests to an engine whose entry was removed after the copy. It stands in the copy as ready
// until it expires there, and nobody writes it again.
TEST(store_copy, engine_that_was_removed_gets_no_requests_after_the_store_came_back) {
  auto& removed = add_engine("chat");
  start();
  m_store.take_copy();
  m_store.remove("servers", removed.m_engine->id());
  const time_point removed_at = monotonic_now();
  raise_revisions();
  run_for(seconds(3));
  run_drills(1);
  run_for(seconds(1));
  stop_callers();
  check_left(removed, removed_at, "was removed before the drill, ready in the copy");
  check_violations();
}
