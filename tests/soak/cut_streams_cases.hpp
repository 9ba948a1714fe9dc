#pragma once

#include "stream_plan.hpp"

#include <array>
#include <random>

namespace cardamompond::testing {

template <typename T, std::size_t N> T pick(const std::array<T, N>& values, std::mt19937_64& random) {
  return values[random() % N];
}

inline constexpr std::array<body_framing, 3> all_framings = {body_framing::chunks, body_framing::length,
                                                             body_framing::connection};
inline constexpr std::array<stop_kind, 3> all_cuts = {stop_kind::fin, stop_kind::reset, stop_kind::silence};

// The stages at which an event is due, as its first bytes, the size of its chunk or the length tell.
inline constexpr std::array<stop_stage, 3> stages_with_an_event_due = {
    stop_stage::inside_event, stop_stage::behind_chunk_size, stop_stage::inside_chunk};

// Whether an observer of the connection can tell the cut from the end of a whole response. An orderly end of
// a response that ends with its connection tells it only inside an event and before the first one.
bool is_recognizable(const stream_run& run);

// Returns a run that is cut at a random stage, in a way that can be recognized.
stream_run make_cut(std::mt19937_64& random, body_framing framing);

// Returns a run that is cut while an event is due.
stream_run make_cut_with_an_event_due(std::mt19937_64& random);

} // namespace cardamompond::testing
