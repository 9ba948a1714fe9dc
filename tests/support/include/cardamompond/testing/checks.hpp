#pragma once

#include "cardamompond/testing/caller.hpp"

#include <boost/json/array.hpp>

#include <deque>
#include <string>
#include <vector>

namespace cardamompond::testing {

// The histories of stand-ins, one after the other.
using histories = std::vector<boost::json::array>;

// Each returns the violations that it found, one a line; empty if there is none.

// No key was executed more than once, over all stand-ins.
std::string find_duplicate_executions(const histories& all);

// No request was executed more than once, over all stand-ins, by the id that its daemon gave it.
std::string find_duplicate_dispatches(const histories& all);

// No order that was answered with 200 is missing from the stand-ins.
std::string find_responses_without_execution(const std::deque<call_record>& records, const histories& all);

// The history shows no request that arrived after that Unix time.
std::string find_requests_after(const boost::json::array& history, std::int64_t unix_ms);

// No call in that span of Unix time but those at one address (may be empty) went without a whole answer.
std::string find_incomplete_calls(const std::deque<call_record>& records, std::int64_t from_ms,
                                  std::int64_t until_ms, const std::string& but_address = {});

// Longest time between the ends of two successive whole answers in that span of Unix time.
std::int64_t find_longest_response_gap_ms(const std::deque<call_record>& records, std::int64_t from_ms,
                                          std::int64_t until_ms);

// No request that a caller was told had not run appears as executed.
std::string find_false_not_run_verdicts(const std::deque<call_record>& records, const histories& all);

// Every call ended with a whole answer or a refusal that says that nothing ran.
std::string find_lost_responses(const std::deque<call_record>& records);

// No backend server was given more than its slots, or its cold limit.
std::string find_limit_violations(const histories& all);

// No call of a higher tier was refused for lack of capacity while a call of a lower tier for the same
// service, which had arrived before, was still waiting or granted later. `tiers` lists accounts, the highest
// tier first.
std::string find_priority_inversions(const std::deque<call_record>& records, const histories& all,
                                     const std::vector<std::string>& tiers);

// How many entries of a history have that value in a member.
std::size_t count_entries(const boost::json::array& history, std::string_view member, std::string_view value);

} // namespace cardamompond::testing
