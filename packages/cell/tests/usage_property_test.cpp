#include "cardamompond/cell/usage_ledger.hpp"
#include "cardamompond/cell/usage_meter.hpp"
#include "cardamompond/core/memory_object_store.hpp"

#include <CppUTest/TestHarness.h>

#include <array>
#include <optional>
#include <ostream>
#include <utility>

#include <rapidcheck.h>
#include <rapidcheck/state.h>

using namespace cardamompond;
using namespace cardamompond::cell;

namespace {

constexpr std::size_t daemon_count = 3;
constexpr milliseconds timeout{1};
const utc_day first_day = *parse_day("2026-12-04");
const std::array<usage_key, 2> usage_keys{usage_key{"a", "s", "one"}, usage_key{"a", "s", "two"}};

using day_key = std::pair<utc_day, usage_key>;
using request_counts = std::map<day_key, std::uint64_t>; // number of requests

// A daemon with its meter, and with the ledger that it keeps as cell owner. A process that dies loses both.
struct usage_daemon {
  std::string m_name;
  std::uint64_t m_incarnation = 1;
  usage_meter m_meter;
  usage_ledger m_ledger;
  request_counts m_used; // usage of this incarnation
  // Per incarnation, the usage that the ledger has acknowledged.
  std::map<std::string, request_counts> m_acknowledged_usage;
};

struct usage_message {
  std::size_t m_from = 0;
  std::uint64_t m_incarnation = 0;
  std::uint64_t m_epoch = 0;
  std::string m_text;
};

// Several daemons, the messages between them, the platform, and the actual usage, which no single process
// knows.
struct usage_simulation {
  usage_simulation() {
    for (std::size_t i = 0; i < daemon_count; ++i) {
      const auto name = "d" + std::to_string(i);
      m_daemons.push_back({name, 1, usage_meter({name, 1}), usage_ledger{}, {}, {}});
    }
  }

  static std::string incarnation_id(const usage_daemon& daemon) {
    return daemon.m_name + "/" + std::to_string(daemon.m_incarnation);
  }

  void add_usage(std::size_t index, std::size_t key) {
    auto& daemon = m_daemons.at(index);
    daemon.m_meter.add(m_today, usage_keys.at(key), {1, 2, 1, 1000});
    ++daemon.m_used[{m_today, usage_keys.at(key)}];
    ++m_actual_usage[{m_today, usage_keys.at(key)}];
  }

  void send(std::size_t index) {
    const auto& daemon = m_daemons.at(index);
    m_messages.push_back({index, daemon.m_incarnation, m_epoch, encode(daemon.m_meter.unacknowledged())});
  }

  // Delivers a message to the current owner. The acknowledgement may be lost.
  void deliver(std::size_t index, bool acknowledged, bool keep_message) {
    if (m_messages.empty()) {
      return;
    }
    const auto message = m_messages.at(index % m_messages.size());
    if (!keep_message) {
      m_messages.erase(m_messages.begin() + static_cast<std::ptrdiff_t>(index % m_messages.size()));
    }
    const auto report = decode_usage_report(message.m_text).value();
    auto& owner = m_daemons.at(m_owner);
    if (!owner.m_ledger.merge(report, m_today, m_now)) {
      return;
    }
    auto& held = owner.m_acknowledged_usage[report.m_name + "/" + std::to_string(report.m_incarnation)];
    for (const auto& [day, table] : report.m_days) {
      for (const auto& [key, counters] : table) {
        held[{day, key}] = std::max(held[{day, key}], counters.m_requests);
      }
    }
    auto& sender = m_daemons.at(message.m_from);
    if (acknowledged && sender.m_incarnation == message.m_incarnation) {
      sender.m_meter.acknowledge(report, message.m_epoch);
    }
  }

  void write(bool lose_request, bool lose_reply) {
    auto& owner = m_daemons.at(m_owner);
    for (const auto day : owner.m_ledger.unwritten_days()) {
      const auto key = usage_object_key("c", day);
      usage_object stored_usage;
      if (const auto stored = m_platform.get(key, timeout)) {
        stored_usage = decode_usage_object(stored->m_value).value();
        owner.m_ledger.merge_stored(day, stored_usage, stored->m_version, m_now);
      }
      if (lose_request || lose_reply) {
        m_platform.inject(lose_request ? store_fault::lose_request : store_fault::lose_reply);
      }
      const auto text = owner.m_ledger.prepare_write(day, m_now).value();
      const auto outcome = m_platform.put(key, text, owner.m_ledger.stored_version(day), timeout);
      if (outcome) {
        owner.m_ledger.merge_stored(day, decode_usage_object(text).value(), *outcome, m_now);
      }
      if (!lose_request) {
        // Late reports of incarnations that another owner has folded are refused.
        for (const auto& [incarnation, held] : owner.m_acknowledged_usage) {
          const auto slash = incarnation.find('/');
          if (stored_usage.is_folded(
                  {incarnation.substr(0, slash), std::stoull(incarnation.substr(slash + 1))})) {
            continue;
          }
          for (const auto& [day_and_key, count] : held) {
            if (day_and_key.first == day) {
              m_written_usage[incarnation][day_and_key] =
                  std::max(m_written_usage[incarnation][day_and_key], count);
            }
          }
        }
      }
    }
  }

  // The old owner sends its unwritten usage to the new one, unless it has died.
  void change_owner(std::size_t index) {
    const auto unwritten_reports = m_daemons.at(m_owner).m_ledger.unwritten_reports();
    const auto held = m_daemons.at(m_owner).m_acknowledged_usage;
    m_owner = index;
    ++m_epoch;
    auto& owner = m_daemons.at(index);
    for (const auto& report : unwritten_reports) {
      if (owner.m_ledger.merge(report, m_today, m_now)) {
        const auto incarnation_name = report.m_name + "/" + std::to_string(report.m_incarnation);
        for (const auto& [day_and_key, count] : held.at(incarnation_name)) {
          owner.m_acknowledged_usage[incarnation_name][day_and_key] =
              std::max(owner.m_acknowledged_usage[incarnation_name][day_and_key], count);
        }
      }
    }
    for (auto& daemon : m_daemons) {
      daemon.m_meter.set_epoch(m_epoch);
    }
  }

  void restart(std::size_t index) {
    auto& daemon = m_daemons.at(index);
    const auto next = daemon.m_incarnation + 1;
    daemon = {daemon.m_name, next, usage_meter({daemon.m_name, next}), usage_ledger{}, {}, {}};
    daemon.m_meter.set_epoch(m_epoch);
    if (index == m_owner) {
      change_owner((index + 1) % daemon_count);
    }
  }

  usage_table stored_totals(utc_day day) {
    const auto value = m_platform.get(usage_object_key("c", day), timeout);
    return value ? decode_usage_object(value->m_value)->totals() : usage_table{};
  }

  void check_not_overcounted() {
    for (auto day = first_day; day <= m_today; day += std::chrono::days(1)) {
      for (const auto& totals : {stored_totals(day), m_daemons.at(m_owner).m_ledger.totals(day)}) {
        for (const auto& [key, counters] : totals) {
          RC_ASSERT((counters.m_requests <= m_actual_usage[{day, key}]));
        }
      }
    }
  }

  // After everything is delivered and written, the stored totals must contain the usage of the live daemons
  // and all usage that was ever written.
  void check_complete() {
    m_messages.clear();
    for (std::size_t i = 0; i < daemon_count; ++i) {
      send(i);
      deliver(0, true, false);
    }
    write(false, false);
    std::map<std::string, request_counts> expected = m_written_usage;
    for (const auto& daemon : m_daemons) {
      expected[incarnation_id(daemon)] = daemon.m_used;
    }
    request_counts sum;
    for (const auto& [incarnation, used] : expected) {
      for (const auto& [day_and_key, count] : used) {
        sum[day_and_key] += count;
      }
    }
    for (const auto& [day_and_key, count] : sum) {
      RC_ASSERT((stored_totals(day_and_key.first)[day_and_key.second].m_requests >= count));
    }
    // Writing the same usage again changes nothing. A write by a ledger that has not seen the latest version
    // is refused.
    for (auto day = first_day; day <= m_today; day += std::chrono::days(1)) {
      const auto before = stored_totals(day);
      auto& ledger = m_daemons.at(m_owner).m_ledger;
      if (ledger.stored_version(day) != 0) {
        const auto text = ledger.prepare_write(day, m_now).value();
        const bool written =
            m_platform.put(usage_object_key("c", day), text, ledger.stored_version(day), timeout).has_value();
        RC_ASSERT(stored_totals(day) == before);
        RC_ASSERT((written || ledger.stored_version(day) <
                                  m_platform.get(usage_object_key("c", day), timeout)->m_version));
      }
    }
  }

  std::vector<usage_daemon> m_daemons;
  std::vector<usage_message> m_messages;
  memory_object_store m_platform;
  std::size_t m_owner = 0;
  std::uint64_t m_epoch = 1;
  utc_day m_today = first_day;
  time_point m_now;
  request_counts m_actual_usage;
  std::map<std::string, request_counts> m_written_usage;
};

enum class usage_step { use, send, deliver, write, change_owner, restart, advance, midnight };

struct usage_model {
  int m_days = 0;
};

template <usage_step Step> struct usage_command : rc::state::Command<usage_model, usage_simulation> {
  std::size_t m_index = *rc::gen::inRange<std::size_t>(0, daemon_count);
  std::size_t m_number = *rc::gen::inRange<std::size_t>(0, 10);
  bool m_first_flag = *rc::gen::arbitrary<bool>();
  bool m_second_flag = *rc::gen::arbitrary<bool>();

  // Meters and ledgers drop older days by design, so the test stays within the days that they keep.
  void checkPreconditions(const usage_model& model) const override {
    RC_PRE(Step != usage_step::midnight || model.m_days < 2);
  }
  void apply(usage_model& model) const override { model.m_days += Step == usage_step::midnight ? 1 : 0; }

  void run(const usage_model& /*model*/, usage_simulation& simulation) const override {
    switch (Step) {
    case usage_step::use:
      simulation.add_usage(m_index, m_number % usage_keys.size());
      break;
    case usage_step::send:
      simulation.send(m_index);
      break;
    case usage_step::deliver:
      simulation.deliver(m_number, m_first_flag, m_second_flag);
      break;
    case usage_step::write:
      simulation.write(m_first_flag && m_second_flag, m_first_flag && !m_second_flag);
      break;
    case usage_step::change_owner:
      simulation.change_owner(m_index);
      break;
    case usage_step::restart:
      simulation.restart(m_index);
      break;
    case usage_step::advance:
      simulation.m_now += std::chrono::minutes(m_number + 2);
      break;
    case usage_step::midnight:
      simulation.m_today += std::chrono::days(1);
      for (auto& daemon : simulation.m_daemons) {
        daemon.m_meter.expire(simulation.m_today);
        daemon.m_ledger.expire(simulation.m_today);
      }
      break;
    }
    simulation.check_not_overcounted();
  }

  void show(std::ostream& os) const override {
    os << static_cast<int>(Step) << " index " << m_index << " number " << m_number << " flags "
       << m_first_flag << m_second_flag;
  }
};

void check_history() {
  usage_simulation simulation;
  using S = usage_step;
  rc::state::check(usage_model{}, simulation,
                   rc::state::gen::execOneOfWithArgs<
                       usage_command<S::use>, usage_command<S::use>, usage_command<S::send>,
                       usage_command<S::send>, usage_command<S::deliver>, usage_command<S::deliver>,
                       usage_command<S::write>, usage_command<S::write>, usage_command<S::change_owner>,
                       usage_command<S::restart>, usage_command<S::advance>, usage_command<S::midnight>>());
  simulation.check_complete();
}

} // namespace

TEST_GROUP(usage_histories){};

// Guards against usage that is counted twice, and against usage that is lost although a live daemon holds it
// or it was written. The faults are lost, duplicated and late messages, lost writes, restarts, changes of
// owner, folding and changes of day.
TEST(usage_histories, usage_is_never_overcounted_and_written_usage_is_never_lost) {
  CHECK(rc::check("usage", [] {
    for (int history = 0; history < 20; ++history) {
      check_history();
    }
  }));
}
