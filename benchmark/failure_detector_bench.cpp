// Compares the failure detector of a cell with two simpler ones in a simulated cell. Arguments: number of
// deaths of the owner, and hours of virtual time without deaths, for each line of the output (default 100 and
// 1).

#include "membership_wire.hpp"
#include "simulated_cell.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <variant>
#include <vector>

using namespace cardamompond;
using namespace cardamompond::cell;

namespace {

struct detector {
  const char* m_name;
  bool m_uses_indirect_evidence;
  milliseconds m_takeover_timeout;
};

// With the two simpler detectors, a member relies only on what it hears from the owner itself. It sends no
// probes through relays, and replies to probes do not tell when another member last heard from the owner.
constexpr std::array<detector, 3> detectors{{{"confirmed by others, 1 s", true, milliseconds(1000)},
                                             {"direct only, 1 s", false, milliseconds(1000)},
                                             {"direct only, 2.5 s", false, milliseconds(2500)}}};

// The time from one takeover to the next death of the owner is recovery_time plus one of these offsets in
// turn, so that the deaths come at different points of the heartbeat interval (250 ms).
constexpr std::array<int, 7> death_offsets_ms{0, 37, 74, 111, 148, 185, 222};
constexpr seconds recovery_time{6};

// Removes from a message what the detector does not use. Returns false if the message is not sent at all.
bool filter_message(const detector& tested_detector, cell_message& message) {
  if (tested_detector.m_uses_indirect_evidence) {
    return true;
  }
  if (auto* ack = std::get_if<probe_ack>(&message.m_body)) {
    ack->m_ms_since_owner_heard.reset();
  }
  return !std::holds_alternative<relay_request>(message.m_body) &&
         !std::holds_alternative<relay_reply>(message.m_body);
}

struct traffic_counters {
  std::uint64_t m_messages = 0;
  std::uint64_t m_bytes = 0;
};

struct measured_cell {
  measured_cell(std::size_t members, double loss, const detector& tested_detector)
      : m_cell(members, 11, {.m_extra_delay = milliseconds(3)}, make_timing(tested_detector)) {
    m_cell.m_check_invariants = false;
    m_cell.m_on_send = [this, &tested_detector](std::size_t, std::size_t, cell_message& message) {
      if (!filter_message(tested_detector, message)) {
        return false;
      }
      ++m_sent.m_messages;
      m_sent.m_bytes += m_count_bytes ? benchmark::wire_size_bytes(message) : 0;
      return true;
    };
    m_cell.advance(seconds(20));
    m_cell.set_faults({.m_loss = loss, .m_extra_delay = milliseconds(3)});
    m_cell.advance(seconds(2));
  }

  static cell_timing make_timing(const detector& tested_detector) {
    cell_timing timing;
    timing.m_takeover_timeout = tested_detector.m_takeover_timeout;
    return timing;
  }

  // Returns the number of epochs that were registered since the last call. In a cell without deaths these
  // are false takeovers.
  std::uint64_t count_new_epochs() {
    const auto epoch = m_cell.record().m_epoch;
    return epoch - std::exchange(m_last_epoch, epoch);
  }

  simulated_cell m_cell;
  traffic_counters m_sent;
  bool m_count_bytes = false;
  std::uint64_t m_last_epoch = 0;
};

// Kills the owner the given number of times and returns the times in milliseconds until a member may grant
// again, sorted. Takeovers that take longer than 60 s are left out.
std::vector<std::int64_t> measure_takeover_times(measured_cell& tested_cell, int deaths) {
  auto& sim = tested_cell.m_cell;
  std::vector<std::int64_t> times;
  for (int i = 0; i < deaths; ++i) {
    sim.advance(recovery_time +
                milliseconds(death_offsets_ms.at(static_cast<std::size_t>(i) % death_offsets_ms.size())));
    if (!sim.owner() && !sim.wait_for_owner(seconds(60))) {
      continue;
    }
    const auto killed = *sim.owner();
    sim.kill(killed);
    if (const auto takeover_time = sim.wait_for_owner(seconds(60))) {
      times.push_back(takeover_time->count());
    }
    sim.start(killed);
  }
  std::sort(times.begin(), times.end());
  return times;
}

void measure(std::size_t members, double loss, const detector& tested_detector, int deaths, double hours) {
  measured_cell stable(members, loss, tested_detector);
  stable.count_new_epochs();
  const auto stable_time = std::chrono::duration_cast<duration>(std::chrono::duration<double>(hours * 3600));
  stable.m_cell.advance(stable_time);
  const auto false_takeovers = static_cast<double>(stable.count_new_epochs()) / hours;

  // Bytes are counted for one minute only, because encoding every message would take most of the run time.
  stable.m_sent = {};
  stable.m_count_bytes = true;
  constexpr seconds counted_time{60};
  stable.m_cell.advance(counted_time);
  const double member_seconds = static_cast<double>(members) * static_cast<double>(counted_time.count());
  const double messages = static_cast<double>(stable.m_sent.m_messages) / member_seconds;
  const double bytes = static_cast<double>(stable.m_sent.m_bytes) / member_seconds;

  // For ten minutes, one link loses all messages from the owner to one other member.
  measured_cell link_cut(members, loss, tested_detector);
  link_cut.count_new_epochs();
  const auto owner = link_cut.m_cell.owner().value_or(0);
  link_cut.m_cell.cut_link(owner, (owner + 1) % members);
  link_cut.m_cell.advance(seconds(600));
  const auto link_cut_takeovers = link_cut.count_new_epochs();

  measured_cell failing(members, loss, tested_detector);
  const auto times = measure_takeover_times(failing, deaths);
  const auto percentile = [&](std::size_t percent) {
    return times.empty() ? -1 : times[std::min(times.size() - 1, times.size() * percent / 100)];
  };
  std::printf("%-26s %7zu %4.0f%% %9lld %9lld %6zu/%d %11.1f %11llu %9.1f %9.0f\n", tested_detector.m_name,
              members, loss * 100, static_cast<long long>(percentile(50)),
              static_cast<long long>(percentile(99)), times.size(), deaths, false_takeovers,
              static_cast<unsigned long long>(link_cut_takeovers), messages, bytes);
  std::fflush(stdout);
}

} // namespace

int main(int argc, char** argv) {
  const int deaths = argc > 1 ? std::atoi(argv[1]) : 100;
  const double hours = argc > 2 ? std::atof(argv[2]) : 1;
  if (deaths <= 0 || hours <= 0) {
    std::fprintf(stderr, "usage: failure_detector_bench [DEATHS [HOURS]]\n");
    return 2;
  }
  std::printf(
      "time from a death of the owner to the next grant in ms; false takeovers per hour; takeovers in 10 min "
      "with one link from the owner cut;\nmessages and bytes sent per second and member; delay 2 to 5 ms\n");
  std::printf("%-26s %7s %5s %9s %9s %9s %11s %11s %9s %9s\n", "detector", "members", "loss", "median", "p99",
              "owners", "false/h", "link cut", "msgs/s", "bytes/s");
  for (const std::size_t members : {4U, 8U, 16U, 32U}) {
    for (const double loss : {0.0, 0.01, 0.05}) {
      for (const auto& tested_detector : detectors) {
        measure(members, loss, tested_detector, deaths, hours);
      }
    }
  }
  return 0;
}
