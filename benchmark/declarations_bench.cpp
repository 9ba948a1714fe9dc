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

constexpr int account_count = 840;
constexpr int service_count = 11;
constexpr int zone_count = 15;
constexpr int servers_per_cell = 33;
constexpr int change_count = 40;
constexpr milliseconds store_timeout(1000);

// Writes a folder of declarations as an operator would. All numbers but that of the backend servers are those
// that the design aims for.
void write_folder(const std::filesystem::path& folder, int server_count) {
  std::filesystem::create_directories(folder);
  std::ofstream base_file(folder / "base.toml");
  for (int i = 0; i < 4; ++i) {
    base_file << "[[tier]]\nname = \"t" << i << "\"\nrank = " << i << "\n\n";
  }
  for (int i = 0; i < zone_count; ++i) {
    base_file << "[[availability_zone]]\nname = \"z" << i << "\"\nowner = \"north\"\nregion = \"r" << i % 4
              << "\"\nstate = \"in\"\n\n";
  }
  for (int i = 0; i < service_count; ++i) {
    base_file << "[[service]]\nname = \"s" << i
              << "\"\nowner = \"north\"\nkind = \"model\"\nactive_version = \"s" << i
              << "-v1\"\naccounts = \"*\"\n\n[[version]]\nname = \"s" << i << "-v1\"\nservice = \"s" << i
              << "\"\n\n";
  }
  std::ofstream accounts_file(folder / "accounts.toml");
  for (int i = 0; i < account_count; ++i) {
    accounts_file << "[[client_account]]\nname = \"account-" << i << "\"\nowner = \"north\"\ntier = \"t"
                  << i % 4 << "\"\nshare = 1.5\nkey_sha256 = [\"" << hash_api_key("key" + std::to_string(i))
                  << "\"]\n\n";
  }
  std::ofstream fleet_file(folder / "fleet.toml");
  for (int i = 0; i < server_count; ++i) {
    const int service = i % service_count;
    fleet_file << "[[backend_server]]\nname = \"engine-" << i << "\"\nowner = \"north\"\ncell = \"cell-"
               << i / servers_per_cell << "\"\nzone = \"z" << i % zone_count << "\"\nservice = \"s" << service
               << "\"\nversion = \"s" << service << "-v1\"\naddress = \"10." << i / 40'000 << '.'
               << i / 200 % 200 << '.' << i % 200 << ":9001\"\nslots = 64\ncold_limit = 2\n\n";
  }
}

double read_processor_ms() {
  timespec now{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) * 1e3 + static_cast<double>(now.tv_nsec) / 1e6;
}

double read_clock_ms() {
  return static_cast<double>(monotonic_now().time_since_epoch().count()) / 1e3;
}

// Returns the maximum resident memory that the process has had so far, in MB.
double read_peak_memory_mb() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return static_cast<double>(usage.ru_maxrss) / 1024;
}

double median(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  return values[values.size() / 2];
}

// The line y = m_intercept + m_slope * x.
struct linear_fit {
  double m_intercept = 0;
  double m_slope = 0;
};

// Fits a line by least squares.
linear_fit fit_line(const std::vector<double>& x, const std::vector<double>& y) {
  double sum_x = 0;
  double sum_y = 0;
  double sum_xx = 0;
  double sum_xy = 0;
  const auto count = static_cast<double>(x.size());
  for (std::size_t i = 0; i < x.size(); ++i) {
    sum_x += x[i];
    sum_y += y[i];
    sum_xx += x[i] * x[i];
    sum_xy += x[i] * y[i];
  }
  const double slope = (count * sum_xy - sum_x * sum_y) / (count * sum_xx - sum_x * sum_x);
  return {(sum_y - slope * sum_x) / count, slope};
}

struct change_cost {
  double m_publish_ms = 0; // processor time of a publisher that has already read the head
  double m_adopt_ms = 0;   // processor time in which a daemon reads and applies one delta
  double m_delta_bytes = 0;
  double m_snapshot_bytes = 0;
};

change_cost measure_changes(object_set objects) {
  memory_object_store store;
  configuration_publisher publisher(store, store_timeout);
  configuration_replica replica;
  configuration_reader reader(store, replica);
  std::vector<double> publish_ms;
  std::vector<double> adopt_ms;
  change_cost cost;
  for (int i = 0; i <= change_count; ++i) {
    auto& server = objects.m_backend_servers.at("engine-" + std::to_string(i));
    server.m_state = backend_server_state::leaving;
    const publish_request request{"north", "change-" + std::to_string(i), objects, {}, std::nullopt};
    const double begin = read_processor_ms();
    const bool published = publisher.publish(request).has_value();
    const double publish_end = read_processor_ms();
    const auto adopted = reader.poll(store_timeout);
    const double adopt_end = read_processor_ms();
    if (!published || !adopted || *adopted != apply_outcome::applied) {
      std::printf("a change was not published or not adopted\n");
      std::exit(1);
    }
    if (i > 0) { // the first change also publishes the base and loads it
      publish_ms.push_back(publish_end - begin);
      adopt_ms.push_back(adopt_end - publish_end);
      cost.m_delta_bytes = static_cast<double>(encode(reader.head().m_deltas.back()).size());
    }
  }
  cost.m_publish_ms = median(publish_ms);
  cost.m_adopt_ms = median(adopt_ms);
  cost.m_snapshot_bytes = static_cast<double>(encode(*replica.current()).size());
  return cost;
}

void print_fit(const char* label, const std::vector<double>& x, const std::vector<double>& y) {
  const auto [intercept, slope] = fit_line(x, y);
  std::printf("  %-16s %10.3f + %.4f per 1,000 backend servers\n", label, intercept, slope * 1000);
}

} // namespace

int main() {
  const auto folder =
      std::filesystem::temp_directory_path() / ("declarations_bench_" + std::to_string(::getpid()));
  write_folder(folder, 10'000);
  std::vector<double> read_times_ms;
  double first_peak_mb = 0;
  for (int i = 0; i < 5; ++i) {
    const double begin = read_clock_ms();
    const auto parsed = read_folder(folder);
    const auto findings = validate(parsed.m_objects, parsed.m_sources);
    read_times_ms.push_back(read_clock_ms() - begin);
    first_peak_mb = i == 0 ? read_peak_memory_mb() : first_peak_mb;
    if (!parsed.m_findings.empty() || !findings.empty()) {
      std::printf("the generated declarations have findings\n");
      return 1;
    }
  }
  std::printf(
      "read and check 840 accounts, 11 model services, 10,000 backend servers\n"
      "  median of 5: %.0f ms (target 500), first: %.0f ms, peak resident memory: %.1f MB (target 100)\n",
      median(read_times_ms), read_times_ms.front(), first_peak_mb);

  std::printf("one change set (median of %d)\n  servers  publish ms  adopt ms  delta bytes  snapshot bytes\n",
              change_count);
  std::vector<double> server_counts;
  std::vector<change_cost> costs;
  for (const int server_count : {1'000, 3'000, 10'000}) {
    std::filesystem::remove_all(folder);
    write_folder(folder, server_count);
    server_counts.push_back(server_count);
    costs.push_back(measure_changes(read_folder(folder).m_objects));
    std::printf("  %7d  %10.3f  %8.3f  %11.0f  %14.0f\n", server_count, costs.back().m_publish_ms,
                costs.back().m_adopt_ms, costs.back().m_delta_bytes, costs.back().m_snapshot_bytes);
  }
  std::filesystem::remove_all(folder);
  std::vector<double> fitted_values[4];
  for (const auto& cost : costs) {
    fitted_values[0].push_back(cost.m_publish_ms);
    fitted_values[1].push_back(cost.m_adopt_ms);
    fitted_values[2].push_back(cost.m_delta_bytes);
    fitted_values[3].push_back(cost.m_snapshot_bytes);
  }
  std::printf("fitted lines\n");
  print_fit("publish ms", server_counts, fitted_values[0]);
  print_fit("adopt ms", server_counts, fitted_values[1]);
  print_fit("delta bytes", server_counts, fitted_values[2]);
  print_fit("snapshot bytes", server_counts, fitted_values[3]);
  return 0;
}
