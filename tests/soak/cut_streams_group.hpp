#pragma once

#include "soak_group.hpp"
#include "stream_engines.hpp"

#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace cardamompond::testing {

// A stream as its caller sends and reads it.
struct stream_case {
  stream_plan m_plan;
  std::string m_route = "note";
  std::size_t m_daemon = 0;
  milliseconds m_deadline{6'000};
  std::string m_last_event_id{};   // that the caller itself sends
  milliseconds m_read_pause{};     // after each read
  std::size_t m_read_bytes = 8192; // at most in one read
};

// What a caller got of a stream.
struct stream_result {
  std::string m_id;
  int m_status = 0; // 0: no response
  int m_first = 0;  // number of the first event asked for
  int m_last = 0;   // number of the last event of those that came in order
  bool m_complete = false;
  std::string m_error;
  std::vector<std::string> m_violations;
  time_point m_sent_at;
  time_point m_ended_at;

  bool whole(const stream_plan& plan) const { return m_complete && m_last == plan.m_events; }
};

// Two or more daemons as processes with engines that cut and end streams as planned. Each stream is judged as
// its caller gets it: the events of the request, one after the other, each once, and no stated end before the
// last.
class cut_streams_group {
public:
  cut_streams_group(int daemon_count, int engine_count, std::uint64_t seed, bool with_relays = false,
                    const std::string& settings = {});
  ~cut_streams_group();

  // Sends one stream and reads it to its end.
  stream_result read(const stream_case& sent);

  // Sends all streams, at most `concurrency` at a time, and waits until they have ended. Streams whose daemon
  // is given as `any` are spread over the daemons.
  std::vector<stream_result> read_all(const std::vector<stream_case>& cases, std::size_t concurrency = 40);

  // Prints the numbers of streams by outcome, and each violation with its runs and the lines of the daemons'
  // logs; fails the test if there are any.
  void report(const std::string& name, const std::vector<stream_result>& results);

  // Registers the engine in the store in that state.
  void register_engine(const stream_engines::engine& engine, const std::string& state = "ready");

  soak_group& group() { return m_group; }
  stream_engines& engines() { return m_engines; }

  // Returns the number of the stream's runs.
  std::size_t run_count(const stream_result& result) { return m_engines.runs(result.m_id).size(); }

private:
  void print_trace(const stream_result& result);

  soak_group m_group;
  stream_engines m_engines;
  std::uint64_t m_seed;
  std::uint64_t m_stream_count = 0;
};

// Adds the violations in the bytes that a caller got: pieces that are missing, come twice or belong to
// another stream, and an end before the last piece.
void check_pieces(const std::string& body, const stream_plan& plan, stream_result& result);

// Returns the seeds of this run: those in CUT_STREAMS_SEEDS, or the default ones.
std::vector<std::uint64_t> cut_streams_seeds();

// Calls `body` for each seed.
void for_each_seed(const std::function<void(std::uint64_t)>& body);

} // namespace cardamompond::testing
