#include "versions_group.hpp"

// Guards against a good version that is rolled back as slow. Without streaming, the time to the first token
// is the total time of the response.
TEST(versions, rollout_of_good_version_without_streaming_completes) {
  check_rollout_of_good_version(false);
}
