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

struct addresses {
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
constexpr const char* long_answer_tokens = "3000";

void print(const char* name, double value, const char* unit, const char* target = "") {
  std::printf("%-58s %10.2f %-14s %s\n", name, value, unit, target);
  std::fflush(stdout);
}

void require(bool condition, const std::string& what) {
  if (!condition) {
    throw std::runtime_error(what);
  }
}

class proxy_bench {
public:
  proxy_bench(addresses where, double measured_s, std::uint32_t streams)
      : m_where(std::move(where))
      , m_measured_s(measured_s)
      , m_streams(streams) {}

  // Must be the first measurement: free memory that the daemon's allocator keeps after an earlier load would
  // serve the streams, and the growth of the resident memory would be too small.
  void measure_streams() {
    const double idle_kib = resident_kib(m_where.m_daemon_pid);
    load_options options = chat_options();
    options.m_address = m_where.m_daemon;
    process_sampler sampler(m_where.m_daemon_pid, options.m_warm_up_s, m_measured_s);
    auto proxied = run_load(options);
    sampler.finish();
    options.m_address = m_where.m_engine;
    auto direct = run_load(options);
    require(proxied.m_broken == 0 && direct.m_broken == 0, "connections of streams broke");
    require(proxied.m_answers == 0 && proxied.m_events > 0, "streams ended early or delivered no tokens");
    const double tokens_per_s = static_cast<double>(proxied.m_events) / m_measured_s;
    const double core_share = sampler.used_processor_s() / sampler.elapsed_s();
    std::printf("%u open streams at 43 ms a token\n", m_streams);
    print("  tokens a second, direct", static_cast<double>(direct.m_events) / m_measured_s, "1/s");
    print("  tokens a second, through the daemon", tokens_per_s, "1/s");
    print("  share of a core used by the daemon", core_share * 100, "%", "target: under 10");
    print("  tokens a second per core", tokens_per_s / core_share, "1/s");
    print("  time between tokens, median, direct", direct.m_gap_us.percentile(0.5) / 1000, "ms");
    print("  time between tokens, median, added", added(direct.m_gap_us, proxied.m_gap_us, 0.5) / 1000, "ms");
    print("  time between tokens, p99, added", added(direct.m_gap_us, proxied.m_gap_us, 0.99) / 1000, "ms");
    print("  resident memory, idle", idle_kib, "KiB");
    print("  memory per open stream", (sampler.resident_kib_at_end() - idle_kib) / m_streams, "KiB",
          "target: under 64");
  }

  void measure_stalled() {
    load_options options = small_options();
    options.m_method = "GET";
    options.m_target = "/services/large/large";
    options.m_body.clear();
    options.m_address = m_where.m_daemon;
    options.m_mode = load_mode::stalled;
    options.m_connections = stalled_callers;
    options.m_warm_up_s = m_measured_s;
    const double before_kib = resident_kib(m_where.m_daemon_pid);
    process_sampler sampler(m_where.m_daemon_pid, options.m_warm_up_s, m_measured_s);
    const auto report = run_load(options);
    sampler.finish();
    require(report.m_broken == 0, "stalled callers could not connect or send their requests");
    std::printf("%u callers that have stopped reading\n", stalled_callers);
    print("  memory per stalled caller", (sampler.resident_kib_at_end() - before_kib) / stalled_callers,
          "KiB", "target: under 64");
    print("  share of a core used by the daemon", sampler.used_processor_s() / sampler.elapsed_s() * 100,
          "%");
  }

  void measure_small_requests() {
    load_options options = small_options();
    options.m_connections = saturating_connections;
    options.m_warm_up_s = 1;
    options.m_address = m_where.m_small;
    options.m_target = "/small";
    process_sampler direct_sampler(m_where.m_small_pid, options.m_warm_up_s, m_measured_s);
    const auto direct = run_load(options);
    direct_sampler.finish();
    options.m_address = m_where.m_daemon;
    options.m_target = "/services/small/small";
    process_sampler sampler(m_where.m_daemon_pid, options.m_warm_up_s, m_measured_s);
    const auto proxied = run_load(options);
    sampler.finish();
    check_answers(direct);
    check_answers(proxied);
    const double direct_per_s = static_cast<double>(direct.m_answers) / m_measured_s;
    const double proxied_per_s = static_cast<double>(proxied.m_answers) / m_measured_s;
    const double direct_per_core = direct_per_s / (direct_sampler.used_processor_s() / m_measured_s);
    const double per_core = proxied_per_s / (sampler.used_processor_s() / sampler.elapsed_s());
    std::printf("requests of 1 KiB on %u connections, as fast as answers come\n", saturating_connections);
    print("  requests a second, direct to one stand-in", direct_per_s, "1/s");
    print("  requests a second per core of the stand-in", direct_per_core, "1/s");
    print("  requests a second, through the daemon", proxied_per_s, "1/s");
    print("  share of a core used by the daemon", sampler.used_processor_s() / sampler.elapsed_s() * 100,
          "%");
    print("  requests a second per core of the daemon", per_core, "1/s", "target: 20000");
    print("  per core, daemon over stand-in", per_core / direct_per_core, "");
    m_full_rate_per_s = std::min(proxied_per_s, per_core);
  }

  // Direct and proxied loads alternate, so that changes in the state of the machine affect both alike.
  void measure_added_latency() {
    constexpr int rounds = 4;
    load_options options = small_options();
    options.m_connections = 16;
    options.m_rate_per_s = m_full_rate_per_s / 2;
    options.m_warm_up_s = 0.5;
    options.m_measured_s = std::max(1.0, m_measured_s / rounds);
    time_samples direct;
    time_samples proxied;
    for (int round = 0; round < rounds; ++round) {
      options.m_seed = static_cast<std::uint64_t>(round) + 1;
      options.m_address = m_where.m_small;
      options.m_target = "/small";
      auto report = run_load(options);
      check_answers(report);
      direct.add(report.m_answer_us);
      options.m_address = m_where.m_daemon;
      options.m_target = "/services/small/small";
      report = run_load(options);
      check_answers(report);
      proxied.add(report.m_answer_us);
    }
    const double rate = static_cast<double>(proxied.count()) / (options.m_measured_s * rounds);
    std::printf("requests of 1 KiB at half load\n");
    print("  requests a second asked for", options.m_rate_per_s, "1/s");
    print("  requests a second, through the daemon", rate, "1/s");
    print("  latency, median, direct", direct.percentile(0.5), "us");
    print("  latency, median, added", added(direct, proxied, 0.5), "us");
    print("  latency, p99, direct", direct.percentile(0.99), "us");
    print("  latency, p99, added", added(direct, proxied, 0.99), "us", "target: under 500");
    print("  latency, median, through the daemon over direct",
          proxied.percentile(0.5) / direct.percentile(0.5), "");
  }

private:
  static double added(time_samples& direct, time_samples& proxied, double share) {
    return proxied.percentile(share) - direct.percentile(share);
  }

  static void check_answers(const load_report& report) {
    require(report.m_answers > 0 && report.m_broken == 0 && report.answers_with(200) == report.m_answers,
            "no responses, responses with a status other than 200, or broken connections");
  }

  load_options small_options() const {
    load_options options;
    options.m_method = "POST";
    options.m_headers = {{"Authorization", "Bearer " + m_where.m_key}, {"Content-Type", "text/plain"}};
    options.m_body = std::string(small_body_bytes, 'x');
    options.m_measured_s = m_measured_s;
    return options;
  }

  load_options chat_options() const {
    load_options options = small_options();
    options.m_target = "/v1/chat/completions";
    options.m_headers.push_back({"Cardamompond-Timeout-Ms", "600000"});
    options.m_body = R"({"model":"chat","stream":true,"max_tokens":)" + std::string(long_answer_tokens) +
                     R"(,"messages":[{"role":"user","content":"measure"}]})";
    options.m_mode = load_mode::stream;
    options.m_connections = m_streams;
    options.m_warm_up_s = 4;
    return options;
  }

  addresses m_where;
  double m_measured_s;
  std::uint32_t m_streams;
  double m_full_rate_per_s = 0;
};

} // namespace

int main(int argc, char** argv) {
  try {
    TCLAP::CmdLine line("Measures the processor time, latency and memory that a daemon adds to direct calls "
                        "of the same stand-ins",
                        ' ', "1");
    TCLAP::ValueArg<std::string> daemon("", "daemon", "Address at which the daemon serves callers", true, "",
                                        "ADDRESS", line);
    TCLAP::ValueArg<int> daemon_pid("", "daemon-pid", "Process id of the daemon", true, 0, "PID", line);
    TCLAP::ValueArg<std::string> engine("", "engine", "Address of the engine of the service chat", true, "",
                                        "ADDRESS", line);
    TCLAP::ValueArg<std::string> small("", "small", "Address of a backend server of the service small", true,
                                       "", "ADDRESS", line);
    TCLAP::ValueArg<int> small_pid("", "small-pid", "Process id of the backend server given by --small", true,
                                   0, "PID", line);
    TCLAP::ValueArg<std::string> key("", "key", "API key of a client account", true, "", "KEY", line);
    TCLAP::ValueArg<double> seconds("", "seconds", "Duration of each measurement in seconds", false, 8, "S",
                                    line);
    TCLAP::ValueArg<std::uint32_t> streams("", "streams", "Number of open streams", false, 300, "N", line);
    TCLAP::ValueArg<std::string> only("", "only", "Run only this part: streams, stalled or small", false,
                                      "all", "PART", line);
    line.parse(argc, argv);
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
