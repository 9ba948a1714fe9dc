#include "cardamompond/testing/checks.hpp"

#include <boost/json/object.hpp>

#include <algorithm>
#include <map>
#include <set>

namespace cardamompond::testing {
namespace {

std::string get_string(const boost::json::value& entry, std::string_view member) {
  return std::string(entry.at(member).as_string());
}

std::string describe(const call_record& record) {
  return "request " + record.m_request_id + " of " + record.m_account + " at " + record.m_address + " sent " +
         std::to_string(record.m_sent_ms) + ": status " + std::to_string(record.m_status) + " " +
         record.m_code + " " + record.m_connection_error + ", " + std::to_string(record.m_body.size()) +
         " bytes\n";
}

template <typename Function> void for_each_execution(const histories& all_histories, Function function) {
  for (const auto& entries : all_histories) {
    for (const auto& entry : entries) {
      if (entry.at("executed").as_bool()) {
        function(entry);
      }
    }
  }
}

// Describes the values of a member that occur in more than one executed entry.
std::string describe_repeated_values(const histories& all_histories, std::string_view member) {
  std::map<std::string, int> executions;
  for_each_execution(all_histories,
                     [&](const boost::json::value& entry) { ++executions[get_string(entry, member)]; });
  executions.erase("");
  std::string violations;
  for (const auto& [value, count] : executions) {
    if (count > 1) {
      violations += std::string(member) + " " + value + " executed " + std::to_string(count) + " times\n";
    }
  }
  return violations;
}

} // namespace

std::string find_duplicate_executions(const histories& all_histories) {
  return describe_repeated_values(all_histories, "key");
}

std::string find_duplicate_dispatches(const histories& all_histories) {
  return describe_repeated_values(all_histories, "request_id");
}

std::string find_responses_without_execution(const std::deque<call_record>& records,
                                             const histories& all_histories) {
  std::set<std::string> executed;
  for_each_execution(all_histories,
                     [&](const boost::json::value& entry) { executed.insert(get_string(entry, "key")); });
  std::string violations;
  for (const auto& record : records) {
    if (record.m_complete && !record.m_idempotency_key.empty() &&
        !executed.contains(record.m_idempotency_key)) {
      violations +=
          "order " + record.m_idempotency_key + " has a complete response, but was never executed\n";
    }
  }
  return violations;
}

std::string find_requests_after(const boost::json::array& history, std::int64_t unix_ms) {
  std::string violations;
  for (const auto& entry : history) {
    if (const auto late_ms = entry.at("received_ms").as_int64() - unix_ms; late_ms > 0) {
      violations += "request " + get_string(entry, "request_id") + " arrived " + std::to_string(late_ms) +
                    " ms too late\n";
    }
  }
  return violations;
}

std::string find_incomplete_calls(const std::deque<call_record>& records, std::int64_t from_ms,
                                  std::int64_t until_ms, const std::string& excluded_address) {
  std::string violations;
  for (const auto& record : records) {
    if (!record.m_complete && record.m_sent_ms >= from_ms && record.m_sent_ms <= until_ms &&
        record.m_address != excluded_address) {
      violations += describe(record);
    }
  }
  return violations;
}

std::int64_t find_longest_response_gap_ms(const std::deque<call_record>& records, std::int64_t from_ms,
                                          std::int64_t until_ms) {
  std::set<std::int64_t> times_ms{from_ms, until_ms};
  for (const auto& record : records) {
    if (record.m_complete && record.m_received_ms > from_ms && record.m_received_ms < until_ms) {
      times_ms.insert(record.m_received_ms);
    }
  }
  std::int64_t longest = 0;
  for (auto current = times_ms.begin(); std::next(current) != times_ms.end(); ++current) {
    longest = std::max(longest, *std::next(current) - *current);
  }
  return longest;
}

std::string find_false_not_run_verdicts(const std::deque<call_record>& records,
                                        const histories& all_histories) {
  std::set<std::string> executed;
  for_each_execution(all_histories, [&](const boost::json::value& entry) {
    executed.insert(get_string(entry, "request_id"));
  });
  std::string violations;
  for (const auto& record : records) {
    if (record.has_not_run_verdict() &&
        (record.m_request_id.empty() || executed.contains(record.m_request_id))) {
      violations +=
          "request " + record.m_request_id +
          " was executed, or has no id, but its response has the verdict not-run: " + record.m_code + "\n";
    }
  }
  return violations;
}

std::string find_lost_responses(const std::deque<call_record>& records) {
  std::string violations;
  for (const auto& record : records) {
    if (record.is_lost()) {
      violations += describe(record);
    }
  }
  return violations;
}

std::string find_limit_violations(const histories& all_histories) {
  std::string violations;
  for (const auto& entries : all_histories) {
    for (const auto& entry : entries) {
      if (entry.at("concurrent").as_int64() > entry.at("limit").as_int64()) {
        violations +=
            "request " + get_string(entry, "request_id") + " was one of " +
            std::to_string(entry.at("concurrent").as_int64()) + " concurrent requests, over the limit of " +
            std::to_string(entry.at("limit").as_int64()) + " (" + get_string(entry, "boot_id") + ")\n";
      }
    }
  }
  return violations;
}

std::string find_priority_inversions(const std::deque<call_record>& records, const histories& all_histories,
                                     const std::vector<std::string>& tiers) {
  std::map<std::string, std::int64_t> dispatched_ms;
  for (const auto& entries : all_histories) {
    for (const auto& entry : entries) {
      dispatched_ms[get_string(entry, "request_id")] = entry.at("received_ms").as_int64();
    }
  }
  const auto rank = [&](const call_record& record) {
    return std::find(tiers.begin(), tiers.end(), record.m_account) - tiers.begin();
  };
  const auto is_refused_for_capacity = [](const call_record& record) {
    return record.m_code == "queue_full" || record.m_code == "overloaded";
  };
  // A call was refused at some time between its sending and the receipt of the refusal. A call of a lower
  // tier counts as waiting at that time only if it was sent before this interval and left the queue after it,
  // both by a margin.
  constexpr std::int64_t margin_ms = 200;
  std::string violations;
  for (const auto& refused_call : records) {
    if (!is_refused_for_capacity(refused_call)) {
      continue;
    }
    for (const auto& lower_tier_call : records) {
      if (rank(lower_tier_call) <= rank(refused_call) ||
          lower_tier_call.m_sent_ms + margin_ms > refused_call.m_sent_ms) {
        continue;
      }
      const auto dispatch = dispatched_ms.find(lower_tier_call.m_request_id);
      const std::int64_t left_queue_ms = dispatch != dispatched_ms.end() ? dispatch->second
                                         : is_refused_for_capacity(lower_tier_call)
                                             ? lower_tier_call.m_received_ms
                                             : 0;
      if (left_queue_ms > refused_call.m_received_ms + margin_ms) {
        violations += "request " + refused_call.m_request_id + " of " + refused_call.m_account +
                      " was refused while " + lower_tier_call.m_request_id + " of " +
                      lower_tier_call.m_account + " was waiting\n";
        break;
      }
    }
  }
  return violations;
}

std::size_t count_entries(const boost::json::array& history, std::string_view member,
                          std::string_view value) {
  return static_cast<std::size_t>(std::count_if(history.begin(), history.end(), [&](const auto& entry) {
    return entry.at(member).is_string() && std::string_view(entry.at(member).as_string()) == value;
  }));
}

} // namespace cardamompond::testing
