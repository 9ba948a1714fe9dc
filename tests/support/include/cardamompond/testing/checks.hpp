#pragma once

#include "cardamompond/testing/caller.hpp"

#include <boost/json/array.hpp>

#include <deque>
#include <string>
#include <vector>

namespace cardamompond::testing {

// The histories of several stand-ins, one array of entries for each.
using histories = std::vector<boost::json::array>;

// The functions below that return a string check that a rule holds. They return a description of the
// violations, one per line, or an empty string if there are none.

// Checks that no idempotency key was executed more than once, over all stand-ins.
std::string find_duplicate_executions(const histories& all_histories);

// Checks that no request was executed more than once, over all stand-ins. Requests are identified by the id
// that their daemon assigned.
std::string find_duplicate_dispatches(const histories& all_histories);

// Checks that each order with a complete response was executed by one of the stand-ins.
std::string find_responses_without_execution(const std::deque<call_record>& records,
                                             const histories& all_histories);

// Checks that no request in the history arrived after that Unix time.
std::string find_requests_after(const boost::json::array& history, std::int64_t unix_ms);

// Checks that each call that was sent between these Unix times got a complete response. Calls to
// `excluded_address` are left out.
std::string find_incomplete_calls(const std::deque<call_record>& records, std::int64_t from_ms,
                                  std::int64_t until_ms, const std::string& excluded_address = {});

// Returns the longest time in milliseconds between these Unix times in which no complete response ended.
std::int64_t find_longest_response_gap_ms(const std::deque<call_record>& records, std::int64_t from_ms,
                                          std::int64_t until_ms);

// Checks that each response with the verdict not-run has a request id, and that none of these requests was
// executed.
std::string find_false_not_run_verdicts(const std::deque<call_record>& records,
                                        const histories& all_histories);

// Checks that each call that was sent got a complete response or the verdict not-run.
std::string find_lost_responses(const std::deque<call_record>& records);

// Checks that no backend server had more concurrent requests than its limit, which is the number of its slots
// or its cold limit.
std::string find_limit_violations(const histories& all_histories);

// Checks that no call of a higher tier was refused for lack of capacity while an earlier call of a lower tier
// was waiting, whether that one was dispatched or refused later. All calls have to be for the same service.
// `tiers` lists the accounts, that of the highest tier first.
std::string find_priority_inversions(const std::deque<call_record>& records, const histories& all_histories,
                                     const std::vector<std::string>& tiers);

// Returns the number of entries of the history whose member has that string as its value.
std::size_t count_entries(const boost::json::array& history, std::string_view member, std::string_view value);

} // namespace cardamompond::testing
