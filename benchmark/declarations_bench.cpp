// Measures reading and validating a folder of declarations of the size that the design aims for, publishing
// and adopting one change set with several numbers of backend servers, and the sizes of deltas and snapshots.
#include "cardamompond/core/memory_object_store.hpp"
#include "cardamompond/declarations/api_key_hash.hpp"
#include "cardamompond/declarations/folder.hpp"
#include "cardamompond/declarations/publisher.hpp"
#include "cardamompond/declarations/validation.hpp"

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <vector>

#include <sys/resource.h>

namespace {

using namespace cardamompond;
using namespace cardamompond::declarations;

constexpr int accounts = 840;
constexpr int services = 11;
constexpr int zones = 15;
constexpr int servers_per_cell = 33;
constexpr int changes = 40;
constexpr milliseconds timeout(1000);

// Writes a folder of declarations as an operator would. All numbers but that of the backend servers are those
// that the design aims for.
void write_folder(const std::filesystem::path& folder, int servers) {
  std::filesystem::create_directories(folder);
  std::ofstream base(folder / "base.toml");
  for (int i = 0; i < 4; ++i) {
    base << "[[tier]]\nname = \"t" << i << "\"\nrank = " << i << "\n\n";
  }
  for (int i = 0; i < zones; ++i) {
    base << "[[availability_zone]]\nname = \"z" << i << "\"\nowner = \"north\"\nregion = \"r" << i % 4
         << "\"\nstate = \"in\"\n\n";
  }
  for (int i = 0; i < services; ++i) {
    base << "[[service]]\nname = \"s" << i << "\"\nowner = \"north\"\nkind = \"model\"\nactive_version = \"s"
         << i << "-v1\"\naccounts = \"*\"\n\n[[version]]\nname = \"s" << i << "-v1\"\nservice = \"s" << i
         << "\"\n\n";
  }
  std::ofstream clients(folder / "accounts.toml");
  for (int i = 0; i < accounts; ++i) {
    clients << "[[client_account]]\nname = \"account-" << i << "\"\nowner = \"north\"\ntier = \"t" << i % 4
            << "\"\nshare = 1.5\nkey_sha256 = [\"" << hash_api_key("key" + std::to_string(i)) << "\"]\n\n";
  }
  std::ofstream fleet(folder / "fleet.toml");
  for (int i = 0; i < servers; ++i) {
    const int service = i % services;
    fleet << "[[backend_server]]\nname = \"engine-" << i << "\"\nowner = \"north\"\ncell = \"cell-"
          << i / servers_per_cell << "\"\nzone = \"z" << i % zones << "\"\nservice = \"s" << service
          << "\"\nversion = \"s" << service << "-v1\"\naddress = \"10." << i / 40'000 << '.' << i / 200 % 200
          << '.' << i % 200 << ":9001\"\nslots = 64\ncold_limit = 2\n\n";
  }
}

double processor_ms() {
  timespec now{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) * 1e3 + static_cast<double>(now.tv_nsec) / 1e6;
}

double wall_ms() {
  return static_cast<double>(monotonic_now().time_since_epoch().count()) / 1e3;
}

// Returns the maximum resident memory that the process has had so far, in MB.
double peak_mb() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return static_cast<double>(usage.ru_maxrss) / 1024;
}

double median(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  return values[values.size() / 2];
}

// The line y = m_base + m_slope * x.
struct line {
  double m_base = 0;
  double m_slope = 0;
};

// Fits a line by least squares.
line fit(const std::vector<double>& x, const std::vector<double>& y) {
  double sx = 0;
  double sy = 0;
  double sxx = 0;
  double sxy = 0;
  const auto n = static_cast<double>(x.size());
  for (std::size_t i = 0; i < x.size(); ++i) {
    sx += x[i];
    sy += y[i];
    sxx += x[i] * x[i];
    sxy += x[i] * y[i];
  }
  const double slope = (n * sxy - sx * sy) / (n * sxx - sx * sx);
  return {(sy - slope * sx) / n, slope};
}

struct change_cost {
  double m_publish_ms = 0; // processor time of a publisher that has already read the head
  double m_adopt_ms = 0;   // processor time in which a daemon reads and applies one delta
  double m_delta_bytes = 0;
  double m_snapshot_bytes = 0;
};

change_cost measure_changes(object_set objects) {
  memory_object_store store;
  configuration_publisher publisher(store, timeout);
  configuration_replica replica;
  configuration_reader reader(store, replica);
  std::vector<double> publish;
  std::vector<double> adopt;
  change_cost cost;
  for (int i = 0; i <= changes; ++i) {
    auto& server = objects.m_backend_servers.at("engine-" + std::to_string(i));
    server.m_state = backend_server_state::leaving;
    const publish_request request{"north", "change-" + std::to_string(i), objects, {}, std::nullopt};
    const double start = processor_ms();
    const bool published = publisher.publish(request).has_value();
    const double middle = processor_ms();
    const auto adopted = reader.poll(timeout);
    const double end = processor_ms();
    if (!published || !adopted || *adopted != apply_outcome::applied) {
      std::printf("a change was not published or not adopted\n");
      std::exit(1);
    }
    if (i > 0) { // the first change also publishes the base and loads it
      publish.push_back(middle - start);
      adopt.push_back(end - middle);
      cost.m_delta_bytes = static_cast<double>(encode(reader.head().m_deltas.back()).size());
    }
  }
  cost.m_publish_ms = median(publish);
  cost.m_adopt_ms = median(adopt);
  cost.m_snapshot_bytes = static_cast<double>(encode(*replica.current()).size());
  return cost;
}

void print_fit(const char* what, const std::vector<double>& x, const std::vector<double>& y) {
  const auto [base, slope] = fit(x, y);
  std::printf("  %-16s %10.3f + %.4f per 1,000 backend servers\n", what, base, slope * 1000);
}

} // namespace

int main() {
  const auto folder =
      std::filesystem::temp_directory_path() / ("declarations_bench_" + std::to_string(::getpid()));
  write_folder(folder, 10'000);
  std::vector<double> times;
  double first_peak = 0;
  for (int i = 0; i < 5; ++i) {
    const double start = wall_ms();
    const auto read = read_folder(folder);
    const auto findings = validate(read.m_objects, read.m_sources);
    times.push_back(wall_ms() - start);
    first_peak = i == 0 ? peak_mb() : first_peak;
    if (!read.m_findings.empty() || !findings.empty()) {
      std::printf("the generated declarations have findings\n");
      return 1;
    }
  }
  std::printf(
      "read and check 840 accounts, 11 model services, 10,000 backend servers\n"
      "  median of 5: %.0f ms (target 500), first: %.0f ms, peak resident memory: %.1f MB (target 100)\n",
      median(times), times.front(), first_peak);

  std::printf("one change set (median of %d)\n  servers  publish ms  adopt ms  delta bytes  snapshot bytes\n",
              changes);
  std::vector<double> x;
  std::vector<change_cost> costs;
  for (const int servers : {1'000, 3'000, 10'000}) {
    std::filesystem::remove_all(folder);
    write_folder(folder, servers);
    x.push_back(servers);
    costs.push_back(measure_changes(read_folder(folder).m_objects));
    std::printf("  %7d  %10.3f  %8.3f  %11.0f  %14.0f\n", servers, costs.back().m_publish_ms,
                costs.back().m_adopt_ms, costs.back().m_delta_bytes, costs.back().m_snapshot_bytes);
  }
  std::filesystem::remove_all(folder);
  std::vector<double> y[4];
  for (const auto& cost : costs) {
    y[0].push_back(cost.m_publish_ms);
    y[1].push_back(cost.m_adopt_ms);
    y[2].push_back(cost.m_delta_bytes);
    y[3].push_back(cost.m_snapshot_bytes);
  }
  std::printf("fitted lines\n");
  print_fit("publish ms", x, y[0]);
  print_fit("adopt ms", x, y[1]);
  print_fit("delta bytes", x, y[2]);
  print_fit("snapshot bytes", x, y[3]);
  return 0;
}
