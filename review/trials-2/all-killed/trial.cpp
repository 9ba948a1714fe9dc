// Not a case. Requests with a part of a prompt that crashes engines, one every five seconds. All daemons are
// killed at the same moment, three times. KILLS=0: without the kills.

#include "prompt_parts.hpp"

int main(int argc, char** argv) {
  if (argc != 2) {
    return 2;
  }
  const char* kills = std::getenv("KILLS");
  review::parts_case plan;
  plan.m_run_ms = 95'000;
  plan.m_deadly_requests = [](int step) { return step % 50 == 5 ? 1 : 0; };
  if (kills == nullptr || std::string_view(kills) != "0") {
    plan.m_kills = {30'000, 52'000, 74'000};
  }
  review::run_parts_case(argv[1], plan);
}
