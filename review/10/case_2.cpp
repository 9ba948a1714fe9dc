// Requests with a part of a prompt that crashes each engine that begins to write an answer on it. They come
// five at a time, every four seconds. TOGETHER=0: as many, one after the other.

#include "prompt_parts.hpp"

int main(int argc, char** argv) {
  if (argc != 2) {
    return 2;
  }
  const char* together = std::getenv("TOGETHER");
  const bool in_groups = together == nullptr || std::string_view(together) != "0";
  review::parts_case plan;
  plan.m_deadly_requests = [in_groups](int step) {
    return in_groups ? (step % 40 == 5 ? 5 : 0) : (step % 8 == 5 ? 1 : 0);
  };
  review::run_parts_case(argv[1], plan);
}
