#include "cardamompond/testing/checks.hpp"

#include <boost/json/object.hpp>

#include <algorithm>
#include <map>
#include <set>

namespace cardamompond::testing {
namespace {

std::string text(const boost::json::value& row, std::string_view member) {
  return std::string(row.at(member).as_string());
}

std::string describe(const call_record& record) {
  return "request " + record.m_request_id + " of " + record.m_account + " at " + record.m_address + " sent " +
         std::to_string(record.m_sent_ms) + ": status " + std::to_string(record.m_status) + " " +
         record.m_code + " " + record.m_connection_error + ", " + std::to_string(record.m_body.size()) +
         " bytes\n";
}

template <typename Function> void for_each_execution(const histories& all, Function function) {
  for (const auto& rows : all) {
    for (const auto& row : rows) {
      if (row.at("executed").as_bool()) {
        function(row);
      }
    }
  }
}

// Describes the values of a member that occur in more than one executed entry.
std::string repeated(const histories& all, std::string_view member) {
  std::map<std::string, int> executions;
  for_each_execution(all, [&](const boost::json::value& row) { ++executions[text(row, member)]; });
  executions.erase("");
  std::string found;
  for (const auto& [value, count] : executions) {
    if (count > 1) {
      found += std::string(member) + " " + value + " executed " + std::to_string(count) + " times\n";
    }
  }
  return found;
}

} // namespace

std::string find_duplicate_executions(const histories& all) {
  return repeated(all, "key");
}

std::string find_duplicate_dispatches(const histories& all) {
  return repeated(all, "request_id");
}

std::string find_responses_without_execution(const std::deque<call_record>& records, const histories& all) {
  std::set<std::string> executed;
  for_each_execution(all, [&](const boost::json::value& row) { executed.insert(text(row, "key")); });
  std::string found;
  for (const auto& record : records) {
    if (record.m_complete && !record.m_idempotency_key.empty() &&
        !executed.contains(record.m_idempotency_key)) {
      found += "order " + record.m_idempotency_key + " has a complete response, but was never executed\n";
    }
  }
  return found;
}

std::string find_requests_after(const boost::json::array& history, std::int64_t unix_ms) {
  std::string found;
  for (const auto& row : history) {
    if (const auto late = row.at("received_ms").as_int64() - unix_ms; late > 0) {
      found += "request " + text(row, "request_id") + " arrived " + std::to_string(late) + " ms too late\n";
    }
  }
  return found;
}

std::string find_incomplete_calls(const std::deque<call_record>& records, std::int64_t from_ms,
                                  std::int64_t until_ms, const std::string& but_address) {
  std::string found;
  for (const auto& record : records) {
    if (!record.m_complete && record.m_sent_ms >= from_ms && record.m_sent_ms <= until_ms &&
        record.m_address != but_address) {
      found += describe(record);
    }
  }
  return found;
}

std::int64_t find_longest_response_gap_ms(const std::deque<call_record>& records, std::int64_t from_ms,
                                          std::int64_t until_ms) {
  std::set<std::int64_t> ends{from_ms, until_ms};
  for (const auto& record : records) {
    if (record.m_complete && record.m_received_ms > from_ms && record.m_received_ms < until_ms) {
      ends.insert(record.m_received_ms);
    }
  }
  std::int64_t longest = 0;
  for (auto at = ends.begin(); std::next(at) != ends.end(); ++at) {
    longest = std::max(longest, *std::next(at) - *at);
  }
  return longest;
}

std::string find_false_not_run_verdicts(const std::deque<call_record>& records, const histories& all) {
  std::set<std::string> executed;
  for_each_execution(all, [&](const boost::json::value& row) { executed.insert(text(row, "request_id")); });
  std::string found;
  for (const auto& record : records) {
    if (record.has_not_run_verdict() &&
        (record.m_request_id.empty() || executed.contains(record.m_request_id))) {
      found += "request " + record.m_request_id +
               " was executed, or has no id, but its response has the verdict not-run: " + record.m_code +
               "\n";
    }
  }
  return found;
}

std::string find_lost_responses(const std::deque<call_record>& records) {
  std::string found;
  for (const auto& record : records) {
    if (record.is_lost()) {
      found += describe(record);
    }
  }
  return found;
}

std::string find_limit_violations(const histories& all) {
  std::string found;
  for (const auto& rows : all) {
    for (const auto& row : rows) {
      if (row.at("concurrent").as_int64() > row.at("limit").as_int64()) {
        found += "request " + text(row, "request_id") + " was one of " +
                 std::to_string(row.at("concurrent").as_int64()) +
                 " concurrent requests, over the limit of " + std::to_string(row.at("limit").as_int64()) +
                 " (" + text(row, "boot_id") + ")\n";
      }
    }
  }
  return found;
}

std::string find_priority_inversions(const std::deque<call_record>& records, const histories& all,
                                     const std::vector<std::string>& tiers) {
  std::map<std::string, std::int64_t> dispatched_ms;
  for (const auto& rows : all) {
    for (const auto& row : rows) {
      dispatched_ms[text(row, "request_id")] = row.at("received_ms").as_int64();
    }
  }
  const auto rank = [&](const call_record& record) {
    return std::find(tiers.begin(), tiers.end(), record.m_account) - tiers.begin();
  };
  const auto for_capacity = [](const call_record& record) {
    return record.m_code == "queue_full" || record.m_code == "overloaded";
  };
  // A call was refused at some time between its sending and the receipt of the refusal. A call of a lower
  // tier counts as waiting at that time only if it was sent before this interval and left the queue after it,
  // both by a margin.
  constexpr std::int64_t margin_ms = 200;
  std::string found;
  for (const auto& refused : records) {
    if (!for_capacity(refused)) {
      continue;
    }
    for (const auto& lower : records) {
      if (rank(lower) <= rank(refused) || lower.m_sent_ms + margin_ms > refused.m_sent_ms) {
        continue;
      }
      const auto dispatch = dispatched_ms.find(lower.m_request_id);
      const std::int64_t left_queue_ms = dispatch != dispatched_ms.end() ? dispatch->second
                                         : for_capacity(lower)           ? lower.m_received_ms
                                                                         : 0;
      if (left_queue_ms > refused.m_received_ms + margin_ms) {
        found += "request " + refused.m_request_id + " of " + refused.m_account + " was refused while " +
                 lower.m_request_id + " of " + lower.m_account + " was waiting\n";
        break;
      }
    }
  }
  return found;
}

std::size_t count_entries(const boost::json::array& history, std::string_view member,
                          std::string_view value) {
  return static_cast<std::size_t>(std::count_if(history.begin(), history.end(), [&](const auto& row) {
    return row.at(member).is_string() && std::string_view(row.at(member).as_string()) == value;
  }));
}

} // namespace cardamompond::testing
