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
  stream_plan m_plan{};
  std::string m_route = "note";
  std::size_t m_daemon = 0;
  milliseconds m_deadline{6'000};
  std::string m_last_event_id{};   // that the caller itself sends
  milliseconds m_read_pause{};     // after each read, until the deadline
  std::size_t m_read_bytes = 8192; // at most in one read
  std::size_t m_body_bytes = 0;    // of the request, in addition
  int m_leave_after = 0;           // events after which the caller closes its connection; 0: never
  // Whether an engine, as planned, states the end of a stream whose next event nobody can know of, or skips
  // events. Such losses are counted, but do not violate what a daemon can keep.
  bool m_loss_is_untold = false;
};

// What a caller got of a stream.
struct stream_result {
  std::string m_id;
  int m_status = 0; // 0: no response
  int m_first = 0;  // number of the first event asked for
  int m_last = 0;   // number of the last event of those that came in order
  bool m_complete = false;
  std::string m_error;
  bool m_left = false; // the caller closed its connection
  bool m_untold_loss = false;
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

  // Sends one request after the other on one connection, without waiting for the responses.
  std::vector<stream_result> read_on_one_connection(const std::vector<stream_case>& cases);

  // Sends all streams, at most `concurrency` at a time, and waits until they have ended.
  std::vector<stream_result> read_all(const std::vector<stream_case>& cases, std::size_t concurrency = 40);

  // Registers the engine in the store in that state.
  void register_engine(const stream_engines::engine& engine, const std::string& state = "ready");

  soak_group& group() { return m_group; }
  stream_engines& engines() { return m_engines; }
  std::uint64_t seed() const { return m_seed; }

  // Returns the number of the stream's runs.
  std::size_t run_count(const stream_result& result) { return m_engines.runs(result.m_id).size(); }

  // Prints the violations of the stream with its runs and the lines of the daemons' logs about it.
  void print_trace(const stream_result& result);

private:
  stream_result begin(const stream_case& sent);
  void receive(net::http_call& call, const stream_case& sent, stream_result& result);

  soak_group m_group;
  stream_engines m_engines;
  std::uint64_t m_seed;
  std::uint64_t m_stream_count = 0;
};

// Adds the violations in the bytes that a caller got: pieces that are missing, come twice or belong to
// another stream, and an end before the last piece.
void check_pieces(const std::string& body, const stream_case& sent, stream_result& result);

// Prints the numbers of streams by outcome, and the first violations with their traces, and collects what
// failed.
class stream_report {
public:
  void add(cut_streams_group& group, const std::string& name, const std::vector<stream_result>& results);

  // Fails the test if streams violated the order of their pieces.
  void check() const;

private:
  std::string m_failures;
};

// Calls `body` for each seed in CUT_STREAMS_SEEDS, or for the default one, and checks the report at the end.
void for_each_seed(const std::function<void(std::uint64_t seed, stream_report& report)>& body);

} // namespace cardamompond::testing
