#include "versions_group.hpp"

// Guards against a good version that is rolled back as slow. Without streaming, the time to the first token
// is the total time of the response.
TEST(versions, good_version_with_whole_answers_is_moved) {
  check_good_version(false);
}
