// Requests with a part of a prompt that crashes each engine that begins to write an answer on it. The engine
// has written the first event when it crashes. EVENTS=0: it crashes before the first event.

#include "prompt_parts.hpp"

int main(int argc, char** argv) {
  if (argc != 2) {
    return 2;
  }
  const char* events = std::getenv("EVENTS");
  review::parts_case plan;
  plan.m_events_before_crash = events == nullptr ? 1 : std::atoi(events);
  plan.m_deadly_requests = [](int step) { return step % 10 == 5 ? 1 : 0; };
  review::run_parts_case(argv[1], plan);
}
