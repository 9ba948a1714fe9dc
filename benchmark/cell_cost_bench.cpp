// Measures what membership of a cell costs an ordinary member and the cell owner: processor time, memory,
// messages, bytes and platform calls. The cell is simulated, and messages are encoded and decoded as in
// package peer. Processor time and memory do not include sockets and the RPC layer. Argument: seconds of
// virtual time for each line of the output (default 120).

#include "membership_wire.hpp"
#include "simulated_cell.hpp"

#include <array>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <utility>
#include <vector>

#include <malloc.h>

using namespace cardamompond;
using namespace cardamompond::cell;

namespace {

struct member_cost {
  double m_cpu_s = 0;
  std::uint64_t m_messages = 0; // sent and received
  std::uint64_t m_bytes = 0;    // sent and received
  std::uint64_t m_platform_calls = 0;
};

double read_thread_cpu_s() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

// Returns the time by which the reading of the clock lengthens each measured interval.
double measure_clock_overhead_s() {
  constexpr int rounds = 100'000;
  const double begin = read_thread_cpu_s();
  for (int i = 0; i < rounds; ++i) {
    (void)read_thread_cpu_s();
  }
  return (read_thread_cpu_s() - begin) / rounds;
}

struct result_row {
  std::size_t m_members = 0;
  bool m_is_owner = false;
  double m_cpu_percent = 0;
  double m_memory_kb = 0;
  double m_messages_per_s = 0;
  double m_bytes_per_s = 0;
  double m_platform_calls_per_s = 0;
};

// Returns the costs of an ordinary member, followed by those of the owner.
std::pair<result_row, result_row> measure(std::size_t members, int virtual_s, double overhead_s) {
  simulated_cell sim(members, 5);
  sim.m_check_invariants = false;
  sim.advance(seconds(30));
  const auto owner = sim.owner().value_or(0);
  std::vector<backend_limit> limits;
  for (std::size_t i = 0; i < 4 * members; ++i) {
    limits.push_back({"backend-server-" + std::to_string(i), 8});
  }
  sim.member(owner).set_limits(limits);
  sim.advance(seconds(5));

  std::vector<member_cost> costs(members);
  const auto run_and_measure = [&](std::size_t index, const auto& call) {
    const double begin = read_thread_cpu_s();
    call();
    costs[index].m_cpu_s += read_thread_cpu_s() - begin - overhead_s;
  };
  sim.m_on_member_call = [&](std::size_t index, const std::function<void()>& call) {
    run_and_measure(index, call);
  };
  sim.m_on_platform_call = [&](std::size_t index) { ++costs[index].m_platform_calls; };
  sim.m_on_send = [&](std::size_t source, std::size_t target, cell_message& message) {
    const auto bytes = benchmark::wire_size_bytes(message);
    for (const auto index : {source, target}) {
      ++costs[index].m_messages;
      costs[index].m_bytes += bytes;
    }
    run_and_measure(source, [&] { benchmark::encode_message(message); });
    run_and_measure(target, [&] { benchmark::encode_and_decode_message(message); });
    return true;
  };
  sim.advance(seconds(virtual_s));
  sim.m_on_member_call = nullptr;

  std::pair<result_row, result_row> rows;
  const std::size_t ordinary_member = owner == 0 ? 1 : 0;
  for (const bool is_owner : {false, true}) {
    const auto index = is_owner ? owner : ordinary_member;
    auto& row = is_owner ? rows.second : rows.first;
    const auto before = mallinfo2().uordblks;
    sim.kill(index);
    const auto after = mallinfo2().uordblks;
    const auto& total = costs[index];
    row = {members,
           is_owner,
           total.m_cpu_s / virtual_s * 100,
           static_cast<double>(before - after) / 1024,
           static_cast<double>(total.m_messages) / virtual_s,
           static_cast<double>(total.m_bytes) / virtual_s,
           static_cast<double>(total.m_platform_calls) / virtual_s};
  }
  return rows;
}

// Fits value = intercept + slope * members by least squares and prints the result.
void print_fit(const char* role, const char* name, const std::vector<result_row>& rows,
               double result_row::*field) {
  double sum_x = 0;
  double sum_y = 0;
  double sum_xx = 0;
  double sum_xy = 0;
  const auto count = static_cast<double>(rows.size());
  for (const auto& row : rows) {
    const auto x = static_cast<double>(row.m_members);
    sum_x += x;
    sum_y += row.*field;
    sum_xx += x * x;
    sum_xy += x * row.*field;
  }
  const double slope = (count * sum_xy - sum_x * sum_y) / (count * sum_xx - sum_x * sum_x);
  std::printf("  %-6s %-16s %10.3f + %8.4f per member\n", role, name, (sum_y - slope * sum_x) / count, slope);
}

} // namespace

int main(int argc, char** argv) {
  const int virtual_s = argc > 1 ? std::atoi(argv[1]) : 120;
  if (virtual_s <= 0) {
    std::fprintf(stderr, "usage: cell_cost_bench [VIRTUAL_SECONDS]\n");
    return 2;
  }
  const double overhead_s = measure_clock_overhead_s();
  std::array<std::vector<result_row>, 2> rows_by_role;
  std::printf("%7s %-6s %8s %10s %9s %10s %11s\n", "members", "role", "cpu %", "memory KB", "msgs/s", "KB/s",
              "platform/s");
  for (const std::size_t members : {4U, 8U, 16U, 32U, 64U}) {
    const auto [member, owner] = measure(members, virtual_s, overhead_s);
    for (const auto& row : {member, owner}) {
      std::printf("%7zu %-6s %8.3f %10.1f %9.1f %10.2f %11.2f\n", row.m_members,
                  row.m_is_owner ? "owner" : "member", row.m_cpu_percent, row.m_memory_kb,
                  row.m_messages_per_s, row.m_bytes_per_s / 1000, row.m_platform_calls_per_s);
    }
    std::fflush(stdout);
    rows_by_role[0].push_back(member);
    rows_by_role[1].push_back(owner);
  }
  std::printf("budget for all control of a daemon: 2.1%% of a core, 64 MB, 17 KB/s\nfitted:\n");
  for (const auto& rows : rows_by_role) {
    const char* role = rows.front().m_is_owner ? "owner" : "member";
    print_fit(role, "cpu %", rows, &result_row::m_cpu_percent);
    print_fit(role, "memory KB", rows, &result_row::m_memory_kb);
    print_fit(role, "messages/s", rows, &result_row::m_messages_per_s);
    print_fit(role, "bytes/s", rows, &result_row::m_bytes_per_s);
    print_fit(role, "platform calls/s", rows, &result_row::m_platform_calls_per_s);
  }
  return 0;
}
