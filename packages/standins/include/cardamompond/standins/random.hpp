#pragma once

#include <cstdint>
#include <random>

namespace cardamompond::standins {

// A deterministic generator of random numbers for faults.
class random_source {
public:
  explicit random_source(std::uint64_t seed)
      : m_engine(seed) {}

  // Returns true with the given probability. Probabilities of 0 and 1 consume no random number, so that a
  // fault that is switched off leaves the random numbers of the other faults unchanged.
  bool with_probability(double probability) {
    return probability >= 1 ||
           (probability > 0 && std::uniform_real_distribution<>(0, 1)(m_engine) < probability);
  }

  std::uint64_t next() { return m_engine(); }

private:
  std::mt19937_64 m_engine;
};

} // namespace cardamompond::standins
