#include "cardamompond/cell/fault_signal_registry.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <functional>
#include <iterator>
#include <map>
#include <random>
#include <set>

#include <rapidcheck.h>

using namespace cardamompond;
using namespace cardamompond::cell;

namespace {

constexpr std::int64_t wall_ms = 1'800'000'000'000;
const time_point start{seconds(1000)};

template <typename T, typename... Ts> T pick(T first, Ts... rest) {
  return *rc::gen::elementOf(std::vector<T>{first, T(rest)...});
}

breaker_trip any_trip() {
  return {pick<std::string>("s", "t"), pick<std::string>("v1", "v2"), *rc::gen::inRange<std::uint64_t>(0, 4),
          pick<std::string>("", "/a"), pick<std::string>("slow", "failed", "bad \xff byte")};
}

crash_record any_crash() {
  crash_record record{{0, *rc::gen::inRange<std::uint64_t>(0, 3)}, {}, pick(false, false, false, true), {}};
  for (auto count = *rc::gen::inRange(0, 3); count > 0; --count) {
    record.m_backend_servers.push_back(pick<std::string>("e1", "e2", "e3"));
  }
  record.m_expires = start + seconds(*rc::gen::inRange(-5, 100));
  return record;
}

fault_signal_set any_set() {
  fault_signal_set set;
  for (auto count = *rc::gen::inRange(0, 4); count > 0; --count) {
    set.m_trips.push_back(any_trip());
    set.m_crashes.push_back(any_crash());
  }
  return set;
}

// The restrictions of a set, each with the time at which it ends. The reasons of trips are left out.
using restrictions = std::map<std::string, time_point>;

restrictions list_restrictions(const fault_signal_set& set) {
  restrictions all;
  for (const auto& trip : set.m_trips) {
    for (std::uint64_t attempt = 0; attempt <= trip.m_attempt; ++attempt) {
      all[trip.m_service + trip.m_version + trip.m_route + std::to_string(attempt)] = time_point::max();
    }
  }
  for (const auto& record : set.m_crashes) {
    const auto name = to_hex(record.m_fingerprint);
    all[name + "suspect"] = record.m_expires;
    if (record.m_quarantined) {
      all[name + "quarantined"] = record.m_expires;
    }
    for (const auto& server : record.m_backend_servers) {
      all[name + server] = record.m_expires;
    }
  }
  return all;
}

bool equal(const fault_signal_set& left, const fault_signal_set& right) {
  const auto same = [](const crash_record& a, const crash_record& b) {
    return a.m_fingerprint == b.m_fingerprint && a.m_backend_servers == b.m_backend_servers &&
           a.m_quarantined == b.m_quarantined && a.m_expires == b.m_expires;
  };
  return left.m_trips == right.m_trips && std::equal(left.m_crashes.begin(), left.m_crashes.end(),
                                                     right.m_crashes.begin(), right.m_crashes.end(), same);
}

} // namespace

TEST_GROUP(signals){};

// Guards against daemons that received the same fault signals in another order, or repeatedly, and disagree.
// The expected value is a plain union that the test computes by itself.
TEST(signals, merging_depends_on_neither_order_nor_repetition) {
  CHECK(rc::check("merge is a union", [] {
    auto sets = *rc::gen::container<std::vector<fault_signal_set>>(rc::gen::exec(any_set));
    fault_signal_registry first;
    std::map<hash128, std::pair<std::set<std::string>, time_point>> union_of_crashes;
    std::set<hash128> quarantined;
    for (const auto& set : sets) {
      first.merge(set, start);
      for (const auto& record : set.m_crashes) {
        if (record.m_expires > start) {
          auto& [servers, expires] = union_of_crashes[record.m_fingerprint];
          servers.insert(record.m_backend_servers.begin(), record.m_backend_servers.end());
          expires = std::max(expires, record.m_expires);
          if (record.m_quarantined || servers.size() > 1) {
            quarantined.insert(record.m_fingerprint);
          }
        }
      }
    }
    std::erase_if(union_of_crashes, [&](const auto& item) {
      return item.second.first.empty() && !quarantined.contains(item.first);
    });
    const auto result = first.fault_signals(start);
    RC_ASSERT(result.m_crashes.size() == union_of_crashes.size());
    for (const auto& record : result.m_crashes) {
      const auto& [servers, expires] = union_of_crashes.at(record.m_fingerprint);
      RC_ASSERT(std::vector<std::string>(servers.begin(), servers.end()) == record.m_backend_servers);
      RC_ASSERT(record.m_expires == expires);
      RC_ASSERT(record.m_quarantined == quarantined.contains(record.m_fingerprint));
    }
    sets.insert(sets.end(), sets.begin(), sets.begin() + static_cast<std::ptrdiff_t>(sets.size() / 2));
    std::shuffle(sets.begin(), sets.end(), std::mt19937(*rc::gen::arbitrary<std::uint32_t>()));
    fault_signal_registry second;
    for (const auto& set : sets) {
      second.merge(set, start);
    }
    RC_ASSERT(equal(result, second.fault_signals(start)));
    const auto version = second.version();
    RC_ASSERT(!second.merge(result, start) && second.version() == version);
  }));
}

// Guards against restrictions that are lifted by anything but expiry, completion of a suspect or a newer
// declaration, and against changes that do not increase the version. Some of the sets are encoded as JSON and
// decoded first.
TEST(signals, restrictions_are_lifted_only_as_documented) {
  CHECK(rc::check("never less restrictive", [] {
    fault_signal_registry registry;
    time_point now = start;
    std::map<std::string, std::uint64_t> declared;
    for (auto steps = *rc::gen::inRange(1, 30); steps > 0; --steps) {
      const auto before = list_restrictions(registry.fault_signals(now));
      const auto version = registry.version();
      std::function<bool(const std::string&)> may_lift = [](const std::string&) { return false; };
      switch (*rc::gen::inRange(0, 5)) {
      case 0:
        registry.merge(any_set(), now);
        break;
      case 1: {
        const auto set = any_set();
        const auto decoded = decode_fault_signals(encode_fault_signals(set, now, wall_ms), now, wall_ms);
        RC_ASSERT(decoded.has_value() || set.m_trips.size() > 0); // only the text of a reason may be invalid
        if (decoded) {
          registry.merge(*decoded, now);
        }
        // A peer reads its clocks slightly earlier or later. A set that comes back from it must not count as
        // a change.
        const auto text = encode_fault_signals(registry.fault_signals(now), now, wall_ms);
        const auto back = decode_fault_signals(text, now, wall_ms + *rc::gen::inRange(-5, 6));
        RC_ASSERT(!registry.merge(back.value(), now));
        break;
      }
      case 2: {
        const auto trip = any_trip();
        registry.set_attempt(trip.m_service, trip.m_version, trip.m_attempt);
        auto& attempt = declared[trip.m_service + trip.m_version];
        attempt = std::max(attempt, trip.m_attempt);
        may_lift = [&](const std::string& what) {
          return std::any_of(declared.begin(), declared.end(), [&](const auto& entry) {
            return what.starts_with(entry.first) && what.back() - '0' < static_cast<int>(entry.second);
          });
        };
        break;
      }
      case 3: {
        const auto fingerprint = any_crash().m_fingerprint;
        registry.clear_suspect(fingerprint, now);
        may_lift = [&before, fingerprint](const std::string& what) {
          return what.starts_with(to_hex(fingerprint)) &&
                 !before.contains(to_hex(fingerprint) + "quarantined");
        };
        break;
      }
      default:
        now += seconds(*rc::gen::inRange(0, 20));
        registry.expire(now);
      }
      const auto after = list_restrictions(registry.fault_signals(now));
      for (const auto& [what, until] : before) {
        RC_ASSERT(after.contains(what) || until <= now || may_lift(what));
      }
      const auto names = [](const restrictions& all) {
        std::set<std::string> keys;
        std::transform(all.begin(), all.end(), std::inserter(keys, keys.end()),
                       [](const auto& e) { return e.first; });
        return keys;
      };
      RC_ASSERT(names(before) == names(after) || registry.version() > version);
      for (const auto& trip : registry.fault_signals(now).m_trips) {
        RC_ASSERT(trip.m_attempt >= declared[trip.m_service + trip.m_version]);
      }
    }
  }));
}

// Guards against suspects that have completed and become suspects again because a peer sends the same
// evidence.
TEST(signals, cleared_evidence_does_not_count_again) {
  fault_signal_registry registry;
  const auto crash = [](const char* server) {
    return fault_signal_set{{}, {{{0, 1}, {server}, false, start + seconds(60)}}};
  };
  registry.merge(crash("e1"), start);
  registry.clear_suspect({0, 1}, start);
  CHECK_FALSE(registry.merge(crash("e1"), start));
  registry.merge(crash("e2"), start);
  LONGS_EQUAL(1, registry.fault_signals(start).m_crashes.size());
  CHECK_FALSE(registry.fault_signals(start).m_crashes[0].m_quarantined);
  registry.merge(crash("e3"), start);
  CHECK(registry.fault_signals(start).m_crashes[0].m_quarantined);
}

// Guards against faulty input that exhausts memory or exceeds the size limit of the platform.
TEST(signals, the_registry_and_its_text_are_bounded) {
  fault_signal_registry registry;
  const std::string name(250, 'x');
  for (std::uint64_t i = 0; i < 2 * max_fault_signals; ++i) {
    const auto number = std::to_string(i);
    registry.merge({{{name, number, 1, name, std::string(5000, 'r')}},
                    {{{0, i}, {name + number, name}, false, start + seconds(60)}}},
                   start);
    registry.merge({{}, {{{0, 0}, {number}, false, start + seconds(60)}}}, start);
    registry.set_attempt(number, "v", 1);
  }
  const auto fault_signals = registry.fault_signals(start);
  LONGS_EQUAL(max_fault_signals, fault_signals.m_trips.size());
  LONGS_EQUAL(max_fault_signals, fault_signals.m_crashes.size());
  CHECK(fault_signals.m_crashes[0].m_backend_servers.size() <= 16);
  CHECK(registry.ignored_count() >= 3 * max_fault_signals);
  const auto text = encode_fault_signals(fault_signals, start, wall_ms);
  CHECK(text.size() < 1'000'000);
  CHECK(decode_fault_signals(text, start, wall_ms).has_value());
}

// Guards against a wrong clock that quarantines a request for too long, and against accepting malformed texts
// of other daemons.
TEST(signals, texts_are_read_strictly_and_expiry_is_limited) {
  const fault_signal_set set{{{"s", "v", 1, "", "why"}},
                             {{{0, 1}, {"e"}, true, start + std::chrono::hours(50)}}};
  const auto text = encode_fault_signals(set, start, wall_ms);
  CHECK(decode_fault_signals(text, start, wall_ms)->m_crashes[0].m_expires == start + std::chrono::hours(1));
  CHECK(decode_fault_signals(text, start, wall_ms + 51LL * 3'600'000)->m_crashes.empty());
  for (const auto& [from, to] : {std::pair("\"s\"", "1"), {"true", "1"}, {"trips", "trip"}, {"\"e\"", "2"}}) {
    std::string bad = text;
    bad.replace(bad.find(from), std::string(from).size(), to);
    CHECK_FALSE(decode_fault_signals(bad, start, wall_ms).has_value());
  }
}
