#include "cardamompond/standins/engine.hpp"

int main(int argc, char** argv) {
  using namespace cardamompond::standins;
  return run_standin(argc, argv, "Stand-in for a language model engine",
                     [](std::uint64_t seed) { return std::make_unique<engine>(seed); });
}
