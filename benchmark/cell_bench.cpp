// Measures the cost of control and the propagation of configuration in cells of real daemons. Prints, for
// each number of daemons: processor time, memory, and peer bytes and platform calls per second of a daemon
// while no request is served; processor time, peer bytes and platform calls per request; and the time from a
// publish until the last daemon has the revision in force. Arguments: numbers of daemons (default 2 4 8 16).
#include "cardamompond/testing/test_cell.hpp"

#include <boost/fiber/operations.hpp>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <utility>

#include <unistd.h>

using namespace cardamompond;
using namespace cardamompond::testing;

namespace {

constexpr seconds idle_duration{10};
constexpr seconds load_duration{8};
constexpr int publish_count = 15;

// The usage of one daemon since its start, the sum for several daemons, or a rate per second.
struct usage_sample {
  double m_processor_s = 0;
  double m_resident_mb = 0;
  double m_peer_bytes = 0;
  double m_platform_calls = 0;
};

// Returns the value of a metric without labels, or 0 if the page does not contain it.
double find_metric(const std::string& page, const std::string& name) {
  const auto position = page.find("\n" + name + " ");
  return position == std::string::npos ? 0 : std::strtod(page.c_str() + position + name.size() + 2, nullptr);
}

// Reads the usage of a daemon since its start. Peer bytes and platform calls are 0 if the daemon does not
// respond within 2 s.
usage_sample read_usage(const daemon_process& daemon) {
  usage_sample usage;
  const std::string proc_folder = "/proc/" + std::to_string(daemon.m_process->pid());
  std::ifstream stat(proc_folder + "/stat");
  std::string line;
  std::getline(stat, line);
  std::istringstream fields(line.substr(line.rfind(')') + 2));
  std::string field;
  for (int i = 0; fields >> field; ++i) {
    if (i == 11 || i == 12) { // utime and stime in clock ticks
      usage.m_processor_s += std::strtod(field.c_str(), nullptr) / static_cast<double>(sysconf(_SC_CLK_TCK));
    } else if (i == 21) { // resident pages
      usage.m_resident_mb =
          std::strtod(field.c_str(), nullptr) * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
    }
  }
  net::http_client client(test_runtime());
  if (const auto page =
          client.fetch(daemon.m_admin_address, {"GET", "/metrics", {}, {}}, milliseconds(2000))) {
    usage.m_peer_bytes = find_metric(page->m_body, "cardamompond_peer_sent_bytes_total") +
                         find_metric(page->m_body, "cardamompond_peer_received_bytes_total");
    usage.m_platform_calls = find_metric(page->m_body, "cardamompond_platform_reads_total") +
                             find_metric(page->m_body, "cardamompond_platform_writes_total");
  }
  return usage;
}

std::int64_t fetch_revision(test_cell& cell, const daemon_process& daemon) {
  return cell.fetch_debug_state(daemon).at("revision").to_number<std::int64_t>();
}

// Publishes a changed queue limit. Returns the time in milliseconds from the start of cardamompondctl until
// all running daemons have the revision in force.
double publish_and_wait(test_cell& cell, std::int64_t revision) {
  cell.m_queue_limit = 1000 + static_cast<int>(revision);
  const auto begin_time = monotonic_now();
  cell.publish();
  for (const auto& daemon : cell.m_daemons) {
    if (daemon.m_process->exit_code()) {
      continue;
    }
    wait_until("revision in force", milliseconds(20'000),
               [&] { return fetch_revision(cell, daemon) >= revision; });
  }
  return static_cast<double>((monotonic_now() - begin_time).count()) / 1000;
}

// Measures the cell while no request is served. Prints the average usage of the owner and of the other
// members, and returns both per second, without the memory.
std::pair<usage_sample, usage_sample> measure_idle_cost(test_cell& cell) {
  std::vector<usage_sample> before;
  for (const auto& daemon : cell.m_daemons) {
    before.push_back(read_usage(daemon));
  }
  boost::this_fiber::sleep_for(idle_duration);
  const auto owner = cell.fetch_owner_index();
  usage_sample owner_total;
  usage_sample member_total;
  for (std::size_t i = 0; i < before.size(); ++i) {
    const auto after = read_usage(cell.m_daemons[i]);
    usage_sample& total = i == owner ? owner_total : member_total;
    total.m_processor_s += after.m_processor_s - before[i].m_processor_s;
    total.m_peer_bytes += after.m_peer_bytes - before[i].m_peer_bytes;
    total.m_platform_calls += after.m_platform_calls - before[i].m_platform_calls;
    total.m_resident_mb += after.m_resident_mb;
  }
  const double duration_s = static_cast<double>(idle_duration.count());
  const auto print = [&](const char* role, const usage_sample& total, double daemons) {
    std::printf("  %-7s core_percent=%.2f resident_mb=%.1f peer_kb_per_s=%.2f platform_calls_per_s=%.2f\n",
                role, 100 * total.m_processor_s / daemons / duration_s, total.m_resident_mb / daemons,
                total.m_peer_bytes / daemons / duration_s / 1000,
                total.m_platform_calls / daemons / duration_s);
  };
  print("owner", owner_total, 1);
  if (before.size() > 1) {
    print("member", member_total, static_cast<double>(before.size() - 1));
  }
  const auto to_rate = [&](const usage_sample& total, double daemons) {
    const double daemon_seconds = daemons * duration_s;
    return usage_sample{total.m_processor_s / daemon_seconds, 0, total.m_peer_bytes / daemon_seconds,
                        total.m_platform_calls / daemon_seconds};
  };
  return {to_rate(owner_total, 1),
          to_rate(member_total, std::max(1.0, static_cast<double>(before.size() - 1)))};
}

// Prints processor time, peer bytes and platform calls per request, without the usage of the idle cell.
void print_request_cost(test_cell& cell, const char* label, const background_load::call_function& call,
                        const usage_sample& idle_owner, const usage_sample& idle_member) {
  std::vector<usage_sample> before;
  for (const auto& daemon : cell.m_daemons) {
    before.push_back(read_usage(daemon));
  }
  const auto begin_time = monotonic_now();
  std::uint64_t calls = 0;
  {
    background_load load([&] { return cell.ready_addresses(); }, static_cast<int>(4 * before.size()), call);
    boost::this_fiber::sleep_for(load_duration);
    load.stop();
    calls = load.call_count();
  }
  const double elapsed_s = static_cast<double>((monotonic_now() - begin_time).count()) / 1e6;
  const auto owner = cell.fetch_owner_index();
  const auto requests = static_cast<double>(calls);
  usage_sample owner_total;
  usage_sample member_total;
  for (std::size_t i = 0; i < before.size(); ++i) {
    const auto after = read_usage(cell.m_daemons[i]);
    const usage_sample& idle = i == owner ? idle_owner : idle_member;
    usage_sample& total = i == owner ? owner_total : member_total;
    total.m_processor_s += after.m_processor_s - before[i].m_processor_s - idle.m_processor_s * elapsed_s;
    total.m_peer_bytes += after.m_peer_bytes - before[i].m_peer_bytes - idle.m_peer_bytes * elapsed_s;
    total.m_platform_calls +=
        after.m_platform_calls - before[i].m_platform_calls - idle.m_platform_calls * elapsed_s;
  }
  std::printf(
      "  %s: requests_per_s=%.0f owner_peer_bytes_per_request=%.0f members_peer_bytes_per_request=%.0f "
      "owner_processor_us_per_request=%.0f members_processor_us_per_request=%.0f "
      "platform_calls_per_request=%.2f\n",
      label, requests / elapsed_s, owner_total.m_peer_bytes / requests, member_total.m_peer_bytes / requests,
      1e6 * owner_total.m_processor_s / requests, 1e6 * member_total.m_processor_s / requests,
      (owner_total.m_platform_calls + member_total.m_platform_calls) / requests);
}

void print_request_costs(test_cell& cell, const usage_sample& idle_owner, const usage_sample& idle_member) {
  caller callers;
  print_request_cost(
      cell, "reads",
      [&](const std::string& address, std::uint64_t /*number*/) -> call_record& {
        return callers.send(address, {"GET", "/services/orders/stock", {}, {}}, {.m_service = "orders"});
      },
      idle_owner, idle_member);
  // A stream takes about 0.4 s, so that there are few requests per second and events are sent one by one
  // instead of in batches.
  print_request_cost(
      cell, "chats",
      [&](const std::string& address, std::uint64_t number) -> call_record& {
        return callers.send_chat(address, "chat " + std::to_string(number), {.m_tokens = 16});
      },
      idle_owner, idle_member);
  print_request_cost(
      cell, "orders",
      [&](const std::string& address, std::uint64_t number) -> call_record& {
        return callers.send_order(address, "order-" + std::to_string(number), "{}");
      },
      idle_owner, idle_member);
}

void measure(std::size_t daemons) {
  test_cell cell;
  for (int i = 0; i < 4; ++i) {
    cell.add_backend("e" + std::to_string(i), {.m_zone = i % 2 == 0 ? "z1" : "z2"});
  }
  cell.add_backend("s0", {.m_service = "orders", .m_slots = 64});
  cell.add_backend("s1", {.m_zone = "z2", .m_service = "orders", .m_slots = 64});
  cell.publish();
  for (std::size_t i = 0; i < daemons; ++i) {
    cell.add_daemon((i < 10 ? "d0" : "d") + std::to_string(i), i % 2 == 0 ? "z1" : "z2");
  }
  cell.wait_until_ready(milliseconds(30'000));
  wait_until("an owner", milliseconds(20'000), [&] {
    try {
      return cell.fetch_owner_index() < daemons;
    } catch (const std::exception&) {
      return false;
    }
  });
  std::printf("daemons=%zu\n", daemons);
  const auto [idle_owner, idle_member] = measure_idle_cost(cell);
  print_request_costs(cell, idle_owner, idle_member);
  std::vector<double> publish_times_ms;
  std::int64_t revision = fetch_revision(cell, cell.m_daemons[0]);
  for (int i = 0; i < publish_count; ++i) {
    if (i == publish_count / 2 && daemons > 4) {
      // Half-way, one of the two members that watch the configuration on the platform is killed.
      cell.m_daemons[0].m_process->kill();
    }
    publish_times_ms.push_back(publish_and_wait(cell, ++revision));
  }
  std::sort(publish_times_ms.begin(), publish_times_ms.end());
  std::printf(
      "  publish_to_last_in_force_ms median=%.0f worst=%.0f (target: 1000 and 3000; %d publishes%s)\n",
      publish_times_ms[publish_times_ms.size() / 2], publish_times_ms.back(), publish_count,
      daemons > 4 ? ", one watching daemon killed half-way" : "");
  std::fflush(stdout);
}

} // namespace

int main(int argc, char** argv) {
  test_runtime();
  std::vector<std::size_t> daemon_counts = {2, 4, 8, 16};
  if (argc > 1) {
    daemon_counts.clear();
    for (int i = 1; i < argc; ++i) {
      daemon_counts.push_back(std::strtoul(argv[i], nullptr, 10));
    }
  }
  std::printf("budget per daemon: core_percent=2.1 resident_mb=64 peer_kb_per_s=17\n");
  for (const auto daemon_count : daemon_counts) {
    measure(daemon_count);
  }
}
