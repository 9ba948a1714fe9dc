#include "load.hpp"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <tclap/CmdLine.h>

#include <iostream>

namespace {

using namespace cardamompond::benchmark;

boost::json::object summarize(time_samples& samples) {
  return {{"count", samples.count()},
          {"p50_us", samples.quantile(0.5)},
          {"p95_us", samples.quantile(0.95)},
          {"p99_us", samples.quantile(0.99)},
          {"max_us", samples.quantile(1)}};
}

boost::json::object to_json(load_report& report) {
  boost::json::object statuses;
  for (const auto& [status, count] : report.m_responses_by_status) {
    statuses[std::to_string(status)] = count;
  }
  return {{"elapsed_s", report.m_elapsed_s},
          {"answers", report.m_responses},
          {"answers_per_s", static_cast<double>(report.m_responses) / report.m_elapsed_s},
          {"statuses", statuses},
          {"broken", report.m_broken_connections},
          {"body_bytes", report.m_body_bytes},
          {"events", report.m_stream_events},
          {"answer", summarize(report.m_response_us)},
          {"first_part", summarize(report.m_first_part_us)},
          {"gap", summarize(report.m_part_interval_us)}};
}

} // namespace

int main(int argc, char** argv) {
  try {
    TCLAP::CmdLine command_line(
        "Sends HTTP requests over several connections and prints the measurements as JSON", ' ', "1");
    TCLAP::ValueArg<std::string> address("a", "address", "Address of the server", true, "", "IP:PORT",
                                         command_line);
    TCLAP::ValueArg<std::string> method("m", "method", "HTTP method", false, "GET", "METHOD", command_line);
    TCLAP::ValueArg<std::string> target("t", "target", "Path and query", false, "/", "TARGET", command_line);
    TCLAP::MultiArg<std::string> header("H", "header", "Header of each request", false, "NAME: VALUE",
                                        command_line);
    TCLAP::ValueArg<std::string> body("b", "body", "Body of each request", false, "", "TEXT", command_line);
    TCLAP::ValueArg<std::string> mode("", "mode",
                                      "whole (reads each response), stream (also measures the time between "
                                      "parts) or stalled (reads nothing)",
                                      false, "whole", "MODE", command_line);
    TCLAP::ValueArg<std::uint32_t> connections(
        "c", "connections", "Number of connections, each with its own thread", false, 1, "N", command_line);
    TCLAP::ValueArg<double> rate("r", "rate", "Requests per second over all connections; 0: no limit", false,
                                 0, "R", command_line);
    TCLAP::ValueArg<double> warm_up("w", "warm-up", "Seconds before the measurement", false, 0, "S",
                                    command_line);
    TCLAP::ValueArg<double> measured_time("d", "duration", "Seconds of the measurement", false, 5, "S",
                                          command_line);
    TCLAP::ValueArg<std::uint64_t> seed("s", "seed", "Seed of the random intervals between requests", false,
                                        1, "N", command_line);
    command_line.parse(argc, argv);

    load_options options;
    options.m_address = address.getValue();
    options.m_method = method.getValue();
    options.m_target = target.getValue();
    for (const auto& text : header.getValue()) {
      options.m_headers.push_back(parse_header(text));
    }
    options.m_body = body.getValue();
    if (mode.getValue() == "stream") {
      options.m_mode = load_mode::stream;
    } else if (mode.getValue() == "stalled") {
      options.m_mode = load_mode::stalled;
    } else if (mode.getValue() != "whole") {
      throw std::runtime_error("unknown mode " + mode.getValue());
    }
    options.m_connections = connections.getValue();
    options.m_rate_per_s = rate.getValue();
    options.m_warm_up_s = warm_up.getValue();
    options.m_measured_s = measured_time.getValue();
    options.m_seed = seed.getValue();
    auto report = run_load(options);
    std::cout << boost::json::serialize(to_json(report)) << std::endl;
    return report.m_responses > 0 || options.m_mode != load_mode::full_response ? 0 : 1;
  } catch (const std::exception& error) {
    std::cerr << "error: " << error.what() << '\n';
    return 2;
  }
}
