#include "cardamompond/standins/host_list.hpp"

int main(int argc, char** argv) {
  using namespace cardamompond::standins;
  return run_standin(argc, argv, "Stand-in for the platform's host list",
                     [](std::uint64_t seed) { return std::make_unique<host_list>(seed); });
}
