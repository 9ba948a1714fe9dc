#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cardamompond::benchmark {

enum class load_mode {
  full_response, // reads each response to its end
  stream,        // reads streamed responses and records the times between their parts
  stalled        // sends one request and reads nothing
};

// Describes the load that some connections put on one address. Each connection has its own thread with
// blocking calls, so that the measured times contain no waiting for other connections.
struct load_options {
  std::string m_address; // "127.0.0.1:8080"
  std::string m_method = "GET";
  std::string m_target = "/";
  std::vector<std::pair<std::string, std::string>> m_headers;
  std::string m_body;
  load_mode m_mode = load_mode::full_response;
  std::uint32_t m_connections = 1;
  // Requests per second of all connections together, with exponentially distributed intervals. With 0 each
  // connection sends the next request as soon as it has received a response.
  double m_rate_per_s = 0;
  double m_warm_up_s = 0; // time before the measurement
  double m_measured_s = 5;
  std::uint64_t m_seed = 1;
};

// Times in microseconds.
class time_samples {
public:
  void add(double value_us) { m_values.push_back(value_us); }
  void add(const time_samples& samples);

  // Returns the value below which the given fraction of the samples lies, or 0 if there are no samples. A
  // fraction of 0.5 gives the median and 1 the maximum. Changes the order of the samples.
  double quantile(double fraction);
  std::size_t count() const { return m_values.size(); }

private:
  std::vector<double> m_values;
};

// The measurements between the end of the warm-up and the end of the load.
struct load_report {
  double m_elapsed_s = 0;                 // load_options::m_measured_s
  std::uint64_t m_responses = 0;          // complete responses of any status
  std::uint64_t m_broken_connections = 0; // connections that failed or broke before the end of a response
  std::uint64_t m_stream_events = 0;      // "data:" lines of streamed responses
  std::uint64_t m_body_bytes = 0;         // received bytes of bodies
  std::map<unsigned, std::uint64_t> m_responses_by_status;
  time_samples m_response_us;      // from the first byte sent to the last one received
  time_samples m_first_part_us;    // from the first byte sent to the first part of the body
  time_samples m_part_interval_us; // between successive parts of a streamed response

  std::uint64_t count_responses(unsigned status) const;
};

// Runs the load and blocks until it ends. Throws std::runtime_error if the address is invalid.
load_report run_load(const load_options& options);

// Parses "Name: value". Throws std::runtime_error if the colon or the name is missing.
std::pair<std::string, std::string> parse_header(std::string_view text);

} // namespace cardamompond::benchmark
