#include "cardamompond/gateway/response_match.hpp"

#include <CppUTest/TestHarness.h>

using namespace cardamompond;

TEST_GROUP(response_match){};

// Guards against a late copy without an id that is taken for the answer to a request, against an answer
// without one that is skipped although no copy can look like it, and against copies for ids that are no
// longer noted.
TEST(response_match, a_response_counts_only_if_it_can_be_no_copy) {
  const gateway::response_metadata unsigned_response;
  gateway::response_metadata signed_response;
  signed_response.m_has_server_stamp = true;
  net::connection_history history;
  gateway::note_response(history, unsigned_response); // the answer to a reservation
  CHECK(gateway::answers_request(signed_response, "id", history));
  CHECK_FALSE(gateway::answers_request(unsigned_response, "id", history));
  history.m_states_request_ids = true;
  CHECK_FALSE(gateway::answers_request(signed_response, "id", history));
  for (int i = 0; i < 40; ++i) {
    gateway::note_unsuccessful(history, std::to_string(i));
  }
  CHECK(gateway::may_repeat_response(history, "39"));
}
