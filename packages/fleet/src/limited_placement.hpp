#pragma once

#include "cardamompond/core/time.hpp"
#include "cardamompond/fleet/dispatcher.hpp"

namespace cardamompond::fleet {

struct dispatch_tables;
struct server_row;

// Answers servers that limit how many requests they take, but not how much work these are, beside servers
// without a limit. The limited ones get the requests with the most work, so that the others are left with
// as little as possible.

// Divides the requests of a service by their work so that a given share of them counts as large.
class large_requests {
public:
  // Sets the share of the requests that is to count as large, from 0 to 1. With 1, all of them do.
  void set_share(double share) { m_share = share; }

  // Records a request that came.
  void record(double work_s);

  // Returns the work as a part of that of the smallest large request, at most 1. Requests without known work
  // count as large.
  double relative_work(double work_s) const;

private:
  double m_share = 1;
  double m_log_threshold = 0; // natural logarithm of the lowest work of a large request, in seconds
};

// Returns the time for which a server of typical speed is occupied by the request, in seconds.
double expected_work_s(const dispatch_tables& tables, const submission& request);

// Records a request that came for a service, if servers of it state limits.
void record_work_demand(dispatch_tables& tables, const submission& request);

// Computes for each service how many of its requests this daemon may send to limited servers. To be called
// once a second, after update_limits.
void update_large_shares(dispatch_tables& tables, time_point now);

// Whether a limited server is left to requests with more work than this one.
bool is_left_to_larger_requests(const dispatch_tables& tables, const server_row& server,
                                const submission& request, time_point now);

} // namespace cardamompond::fleet
