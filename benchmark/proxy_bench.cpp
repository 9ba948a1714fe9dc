#include "load.hpp"
#include "process_sampler.hpp"

#include <tclap/CmdLine.h>

#include <algorithm>
#include <cstdio>
#include <stdexcept>

// Measures what a running daemon adds to direct calls of the same stand-ins. scripts/bench-proxy starts the
// processes and publishes the declarations that this program expects: the model service "chat", whose engine
// takes 43 ms per token, and two plain services. "small" (/small) responds immediately; a response of "large"
// (/large) is larger than all socket buffers together.
namespace {

using namespace cardamompond::benchmark;

// Addresses and processes that are measured, and the API key for the daemon.
struct bench_targets {
  std::string m_daemon;
  std::string m_engine;
  std::string m_small;
  std::string m_key;
  int m_daemon_pid = 0;
  int m_small_pid = 0;
};

constexpr std::size_t small_body_bytes = 1024;
constexpr std::uint32_t stalled_callers = 64;
constexpr std::uint32_t saturating_connections = 32;

// At 43 ms per token, such a response takes over two minutes. It lasts longer than any measurement here and
// ends well before the deadline, so that the scheduler does not refuse the request as one that cannot finish
// in time.
constexpr const char* long_response_tokens = "3000";

void print_value(const char* label, double value, const char* unit, const char* target = "") {
  std::printf("%-58s %10.2f %-14s %s\n", label, value, unit, target);
  std::fflush(stdout);
}

void require(bool condition, const std::string& message) {
  if (!condition) {
    throw std::runtime_error(message);
  }
}

class proxy_bench {
public:
  proxy_bench(bench_targets targets, double measured_s, std::uint32_t streams)
      : m_targets(std::move(targets))
      , m_measured_s(measured_s)
      , m_streams(streams) {}

  // Must be the first measurement. Otherwise the streams would use free memory that the daemon's allocator
  // keeps after an earlier load, and the resident memory would grow less than the streams need.
  void measure_streams() {
    const double idle_kib = read_resident_kib(m_targets.m_daemon_pid);
    load_options options = make_chat_options();
    options.m_address = m_targets.m_daemon;
    process_sampler sampler(m_targets.m_daemon_pid, options.m_warm_up_s, m_measured_s);
    auto proxied = run_load(options);
    sampler.wait();
    options.m_address = m_targets.m_engine;
    auto direct = run_load(options);
    require(proxied.m_broken_connections == 0 && direct.m_broken_connections == 0,
            "connections of streams broke");
    require(proxied.m_responses == 0 && proxied.m_stream_events > 0,
            "streams ended early or delivered no tokens");
    const double tokens_per_s = static_cast<double>(proxied.m_stream_events) / m_measured_s;
    const double core_share = sampler.used_processor_s() / sampler.elapsed_s();
    std::printf("%u open streams at 43 ms a token\n", m_streams);
    print_value("  tokens a second, direct", static_cast<double>(direct.m_stream_events) / m_measured_s,
                "1/s");
    print_value("  tokens a second, through the daemon", tokens_per_s, "1/s");
    print_value("  share of a core used by the daemon", core_share * 100, "%", "target: under 10");
    print_value("  tokens a second per core", tokens_per_s / core_share, "1/s");
    print_value("  time between tokens, median, direct", direct.m_part_interval_us.quantile(0.5) / 1000,
                "ms");
    print_value("  time between tokens, median, added",
                compute_added_us(direct.m_part_interval_us, proxied.m_part_interval_us, 0.5) / 1000, "ms");
    print_value("  time between tokens, p99, added",
                compute_added_us(direct.m_part_interval_us, proxied.m_part_interval_us, 0.99) / 1000, "ms");
    print_value("  resident memory, idle", idle_kib, "KiB");
    print_value("  memory per open stream", (sampler.resident_kib_at_end() - idle_kib) / m_streams, "KiB",
                "target: under 64");
  }

  void measure_stalled() {
    load_options options = make_small_request_options();
    options.m_method = "GET";
    options.m_target = "/services/large/large";
    options.m_body.clear();
    options.m_address = m_targets.m_daemon;
    options.m_mode = load_mode::stalled;
    options.m_connections = stalled_callers;
    options.m_warm_up_s = m_measured_s;
    const double before_kib = read_resident_kib(m_targets.m_daemon_pid);
    process_sampler sampler(m_targets.m_daemon_pid, options.m_warm_up_s, m_measured_s);
    const auto report = run_load(options);
    sampler.wait();
    require(report.m_broken_connections == 0, "stalled callers could not connect or send their requests");
    std::printf("%u callers that have stopped reading\n", stalled_callers);
    print_value("  memory per stalled caller", (sampler.resident_kib_at_end() - before_kib) / stalled_callers,
                "KiB", "target: under 64");
    print_value("  share of a core used by the daemon",
                sampler.used_processor_s() / sampler.elapsed_s() * 100, "%");
  }

  void measure_small_requests() {
    load_options options = make_small_request_options();
    options.m_connections = saturating_connections;
    options.m_warm_up_s = 1;
    options.m_address = m_targets.m_small;
    options.m_target = "/small";
    process_sampler direct_sampler(m_targets.m_small_pid, options.m_warm_up_s, m_measured_s);
    const auto direct = run_load(options);
    direct_sampler.wait();
    options.m_address = m_targets.m_daemon;
    options.m_target = "/services/small/small";
    process_sampler sampler(m_targets.m_daemon_pid, options.m_warm_up_s, m_measured_s);
    const auto proxied = run_load(options);
    sampler.wait();
    check_responses(direct);
    check_responses(proxied);
    const double direct_per_s = static_cast<double>(direct.m_responses) / m_measured_s;
    const double proxied_per_s = static_cast<double>(proxied.m_responses) / m_measured_s;
    const double direct_per_core = direct_per_s / (direct_sampler.used_processor_s() / m_measured_s);
    const double per_core = proxied_per_s / (sampler.used_processor_s() / sampler.elapsed_s());
    std::printf("requests of 1 KiB on %u connections, as fast as answers come\n", saturating_connections);
    print_value("  requests a second, direct to one stand-in", direct_per_s, "1/s");
    print_value("  requests a second per core of the stand-in", direct_per_core, "1/s");
    print_value("  requests a second, through the daemon", proxied_per_s, "1/s");
    print_value("  share of a core used by the daemon",
                sampler.used_processor_s() / sampler.elapsed_s() * 100, "%");
    print_value("  requests a second per core of the daemon", per_core, "1/s", "target: 20000");
    print_value("  per core, daemon over stand-in", per_core / direct_per_core, "");
    m_max_rate_per_s = std::min(proxied_per_s, per_core);
  }

  // Direct and proxied loads alternate, so that changes in the state of the machine affect both alike.
  void measure_added_latency() {
    constexpr int rounds = 4;
    load_options options = make_small_request_options();
    options.m_connections = 16;
    options.m_rate_per_s = m_max_rate_per_s / 2;
    options.m_warm_up_s = 0.5;
    options.m_measured_s = std::max(1.0, m_measured_s / rounds);
    time_samples direct;
    time_samples proxied;
    for (int round = 0; round < rounds; ++round) {
      options.m_seed = static_cast<std::uint64_t>(round) + 1;
      options.m_address = m_targets.m_small;
      options.m_target = "/small";
      auto report = run_load(options);
      check_responses(report);
      direct.add(report.m_response_us);
      options.m_address = m_targets.m_daemon;
      options.m_target = "/services/small/small";
      report = run_load(options);
      check_responses(report);
      proxied.add(report.m_response_us);
    }
    const double rate = static_cast<double>(proxied.count()) / (options.m_measured_s * rounds);
    std::printf("requests of 1 KiB at half load\n");
    print_value("  requests a second asked for", options.m_rate_per_s, "1/s");
    print_value("  requests a second, through the daemon", rate, "1/s");
    print_value("  latency, median, direct", direct.quantile(0.5), "us");
    print_value("  latency, median, added", compute_added_us(direct, proxied, 0.5), "us");
    print_value("  latency, p99, direct", direct.quantile(0.99), "us");
    print_value("  latency, p99, added", compute_added_us(direct, proxied, 0.99), "us", "target: under 500");
    print_value("  latency, median, through the daemon over direct",
                proxied.quantile(0.5) / direct.quantile(0.5), "");
  }

private:
  static double compute_added_us(time_samples& direct, time_samples& proxied, double fraction) {
    return proxied.quantile(fraction) - direct.quantile(fraction);
  }

  static void check_responses(const load_report& report) {
    require(report.m_responses > 0 && report.m_broken_connections == 0 &&
                report.count_responses(200) == report.m_responses,
            "no responses, responses with a status other than 200, or broken connections");
  }

  load_options make_small_request_options() const {
    load_options options;
    options.m_method = "POST";
    options.m_headers = {{"Authorization", "Bearer " + m_targets.m_key}, {"Content-Type", "text/plain"}};
    options.m_body = std::string(small_body_bytes, 'x');
    options.m_measured_s = m_measured_s;
    return options;
  }

  load_options make_chat_options() const {
    load_options options = make_small_request_options();
    options.m_target = "/v1/chat/completions";
    options.m_headers.push_back({"Cardamompond-Timeout-Ms", "600000"});
    options.m_body = R"({"model":"chat","stream":true,"max_tokens":)" + std::string(long_response_tokens) +
                     R"(,"messages":[{"role":"user","content":"measure"}]})";
    options.m_mode = load_mode::stream;
    options.m_connections = m_streams;
    options.m_warm_up_s = 4;
    return options;
  }

  bench_targets m_targets;
  double m_measured_s;
  std::uint32_t m_streams;
  double m_max_rate_per_s = 0;
};

} // namespace

int main(int argc, char** argv) {
  try {
    TCLAP::CmdLine command_line(
        "Measures the processor time, latency and memory that a daemon adds to direct calls "
        "of the same stand-ins",
        ' ', "1");
    TCLAP::ValueArg<std::string> daemon("", "daemon", "Address at which the daemon serves callers", true, "",
                                        "ADDRESS", command_line);
    TCLAP::ValueArg<int> daemon_pid("", "daemon-pid", "Process id of the daemon", true, 0, "PID",
                                    command_line);
    TCLAP::ValueArg<std::string> engine("", "engine", "Address of the engine of the service chat", true, "",
                                        "ADDRESS", command_line);
    TCLAP::ValueArg<std::string> small("", "small", "Address of a backend server of the service small", true,
                                       "", "ADDRESS", command_line);
    TCLAP::ValueArg<int> small_pid("", "small-pid", "Process id of the backend server given by --small", true,
                                   0, "PID", command_line);
    TCLAP::ValueArg<std::string> key("", "key", "API key of a client account", true, "", "KEY", command_line);
    TCLAP::ValueArg<double> seconds("", "seconds", "Duration of each measurement in seconds", false, 8, "S",
                                    command_line);
    TCLAP::ValueArg<std::uint32_t> streams("", "streams", "Number of open streams", false, 300, "N",
                                           command_line);
    TCLAP::ValueArg<std::string> only("", "only", "Run only this part: streams, stalled or small", false,
                                      "all", "PART", command_line);
    command_line.parse(argc, argv);
    proxy_bench bench({daemon.getValue(), engine.getValue(), small.getValue(), key.getValue(),
                       daemon_pid.getValue(), small_pid.getValue()},
                      seconds.getValue(), streams.getValue());
    const std::string& part = only.getValue();
    if (part == "all" || part == "streams") {
      bench.measure_streams();
    }
    if (part == "all" || part == "stalled") {
      bench.measure_stalled();
    }
    if (part == "all" || part == "small") {
      bench.measure_small_requests();
      bench.measure_added_latency();
    }
    return 0;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "error: %s\n", error.what());
    return 1;
  }
}
