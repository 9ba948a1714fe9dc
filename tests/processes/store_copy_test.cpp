#include "store_copy_group.hpp"

// Guards against daemons that return to the older configuration of the copy, or that take no new version as
// long as its revision is lower than that of the version before; against requests that are refused meanwhile;
// and against calls to the store beyond its rates.
TEST(store_copy, configuration_advances_after_the_store_came_back) {
  check_configuration_over_drills(1);
}

// Guards against the same when the store goes back a second time before anything was written again.
TEST(store_copy, configuration_advances_after_the_store_came_back_twice) {
  check_configuration_over_drills(2);
}
