#include "cardamompond/standins/object_api.hpp"

int main(int argc, char** argv) {
  using namespace cardamompond::standins;
  return run_standin(argc, argv, "Stand-in for the platform's object API",
                     [](std::uint64_t seed) { return std::make_unique<object_api>(seed); });
}
