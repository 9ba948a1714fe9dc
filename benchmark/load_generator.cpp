#include "load.hpp"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <tclap/CmdLine.h>

#include <iostream>

namespace {

using namespace cardamompond::benchmark;

boost::json::object percentiles(time_samples& samples) {
  return {{"count", samples.count()},
          {"p50_us", samples.percentile(0.5)},
          {"p95_us", samples.percentile(0.95)},
          {"p99_us", samples.percentile(0.99)},
          {"max_us", samples.percentile(1)}};
}

boost::json::object to_json(load_report& report) {
  boost::json::object statuses;
  for (const auto& [status, count] : report.m_statuses) {
    statuses[std::to_string(status)] = count;
  }
  return {{"elapsed_s", report.m_elapsed_s},
          {"answers", report.m_answers},
          {"answers_per_s", static_cast<double>(report.m_answers) / report.m_elapsed_s},
          {"statuses", statuses},
          {"broken", report.m_broken},
          {"body_bytes", report.m_bytes},
          {"events", report.m_events},
          {"answer", percentiles(report.m_answer_us)},
          {"first_part", percentiles(report.m_first_part_us)},
          {"gap", percentiles(report.m_gap_us)}};
}

} // namespace

int main(int argc, char** argv) {
  try {
    TCLAP::CmdLine line("Sends HTTP requests over several connections and prints the measurements as JSON",
                        ' ', "1");
    TCLAP::ValueArg<std::string> address("a", "address", "Address of the server", true, "", "IP:PORT", line);
    TCLAP::ValueArg<std::string> method("m", "method", "HTTP method", false, "GET", "METHOD", line);
    TCLAP::ValueArg<std::string> target("t", "target", "Path and query", false, "/", "TARGET", line);
    TCLAP::MultiArg<std::string> header("H", "header", "Header, may be repeated", false, "NAME: VALUE", line);
    TCLAP::ValueArg<std::string> body("b", "body", "Body of each request", false, "", "TEXT", line);
    TCLAP::ValueArg<std::string> mode("", "mode",
                                      "whole (reads each response), stream (also measures the time between "
                                      "parts) or stalled (reads nothing)",
                                      false, "whole", "MODE", line);
    TCLAP::ValueArg<std::uint32_t> connections(
        "c", "connections", "Number of connections, each with its own thread", false, 1, "N", line);
    TCLAP::ValueArg<double> rate("r", "rate", "Requests per second over all connections; 0: no limit", false,
                                 0, "R", line);
    TCLAP::ValueArg<double> warm_up("w", "warm-up", "Seconds before the measurement", false, 0, "S", line);
    TCLAP::ValueArg<double> measured("d", "duration", "Seconds of the measurement", false, 5, "S", line);
    TCLAP::ValueArg<std::uint64_t> seed("s", "seed", "Seed of the random intervals between requests", false,
                                        1, "N", line);
    line.parse(argc, argv);

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
    options.m_measured_s = measured.getValue();
    options.m_seed = seed.getValue();
    auto report = run_load(options);
    std::cout << boost::json::serialize(to_json(report)) << std::endl;
    return report.m_answers > 0 || options.m_mode != load_mode::whole ? 0 : 1;
  } catch (const std::exception& error) {
    std::cerr << "error: " << error.what() << '\n';
    return 2;
  }
}
