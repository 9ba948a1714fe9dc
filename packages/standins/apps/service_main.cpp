#include "cardamompond/standins/plain_service.hpp"

int main(int argc, char** argv) {
  using namespace cardamompond::standins;
  return run_standin(argc, argv, "Stand-in for a plain order, booking or stock service",
                     [](std::uint64_t seed) { return std::make_unique<plain_service>(seed); });
}
