#include "server_notices.hpp"

#include <algorithm>
#include <cmath>

namespace cardamompond::fleet {
namespace {

// Time after which the statements of an unlisted server are forgotten. Entries that the store lost during an
// outage are back within a few seconds of its return.
constexpr duration unlisted_retention = seconds(60);

// A peer's statement without a limit ends the limit if none was made with one in this time before it.
constexpr duration overtaking_time = seconds(1);

// Reports round the limits. A smaller difference is no change.
constexpr double min_relative_change = 0.01;

// Time after which a limit is forgotten that no daemon was told again. A limited server that is in demand is
// sent a request every few seconds.
constexpr duration limit_lifetime = seconds(30);

// The list of servers shows the start of a process this much later. A limit that was stated since then may be
// that of the new process; its next answer tells.
constexpr duration list_delay = seconds(5);

// A peer tells up to this much late that the store came back.
constexpr duration restore_report_delay = seconds(1);

bool is_same(std::optional<double> a, std::optional<double> b) {
  return a.has_value() == b.has_value() &&
         (!a || std::abs(*a - *b) <= min_relative_change * std::max(*a, *b));
}

} // namespace

const server_notice* server_notices::find(const backend_server& server) const {
  const auto by_start = m_records.find(server.m_id);
  if (by_start == m_records.end()) {
    return nullptr;
  }
  const auto found = by_start->second.find(server.m_started_unix_ms);
  return found == by_start->second.end() ? nullptr : &found->second;
}

server_notice& server_notices::find_or_add(const backend_server& server) {
  return m_records[server.m_id][server.m_started_unix_ms];
}

bool server_notices::record_leaving(const backend_server& server, time_point now) {
  server_notice& notice = find_or_add(server);
  notice.m_to_confirm = false;
  if (notice.m_leaving) {
    return false;
  }
  notice.m_leaving = true;
  notice.m_leaving_since = now;
  return true;
}

bool server_notices::record_pause(const backend_server& server, time_point end, time_point first_return,
                                  time_point return_end, time_point now) {
  server_notice& notice = find_or_add(server);
  const bool already_paused = notice.is_paused(now);
  if (end > notice.m_paused_until) {
    notice.m_paused_until = end;
    notice.m_next_request =
        notice.is_limited() ? std::max(notice.m_next_request, first_return) : first_return;
    notice.m_return_end = return_end;
    m_last_pause_end = std::max(m_last_pause_end, end);
  }
  return !already_paused;
}

limit_change server_notices::record_limit(const backend_server& server, std::optional<double> requests_per_s,
                                          time_point stated, std::optional<time_point> sent_after) {
  if (!requests_per_s && find(server) == nullptr) {
    return limit_change::none;
  }
  server_limit& limit = find_or_add(server).m_limit;
  if (limit.m_stated ? stated < *limit.m_stated : !requests_per_s) {
    return limit_change::none;
  }
  if (!requests_per_s && limit.m_requests_per_s &&
      (sent_after ? *sent_after <= *limit.m_stated : stated - *limit.m_stated < overtaking_time)) {
    return limit_change::none;
  }
  const bool changed = !is_same(limit.m_requests_per_s, requests_per_s);
  limit.m_requests_per_s = requests_per_s;
  limit.m_stated = stated;
  if (changed) {
    limit.m_changed = stated;
  }
  if (sent_after) {
    limit.m_own_requests_per_s = requests_per_s;
    limit.m_own_stated = stated;
    limit.m_own_changed = changed ? stated : limit.m_own_changed;
  }
  if (!changed) {
    return limit_change::none;
  }
  if (!requests_per_s) {
    limit.m_interval.reset();
    return limit_change::ended;
  }
  m_has_limits = true;
  return limit_change::stated;
}

limit_change server_notices::record_brittle(const backend_server& server,
                                            std::optional<std::uint32_t> max_rejections, time_point stated,
                                            std::optional<time_point> sent_after) {
  if (!max_rejections && find(server) == nullptr) {
    return limit_change::none;
  }
  brittle_notice& brittle = find_or_add(server).m_brittle;
  if (brittle.m_stated ? stated < *brittle.m_stated : !max_rejections) {
    return limit_change::none;
  }
  if (!max_rejections && brittle.m_max_rejections &&
      (sent_after ? *sent_after <= *brittle.m_stated : stated - *brittle.m_stated < overtaking_time)) {
    return limit_change::none;
  }
  const bool changed = brittle.m_max_rejections != max_rejections;
  brittle.m_max_rejections = max_rejections;
  brittle.m_stated = stated;
  if (sent_after) {
    brittle.m_own_stated = stated;
  }
  if (!changed) {
    return limit_change::none;
  }
  brittle.m_changed = stated;
  m_has_brittle = true;
  return max_rejections ? limit_change::stated : limit_change::ended;
}

void server_notices::expire_brittle(time_point now) {
  for (auto& [id, by_start] : m_records) {
    for (auto& [started, notice] : by_start) {
      if (brittle_notice& brittle = notice.m_brittle;
          brittle.m_stated && now - *brittle.m_stated > limit_lifetime) {
        brittle = {};
      }
    }
  }
}

void server_notices::set_interval(const backend_server& server, std::optional<duration> interval,
                                  double phase, time_point now) {
  server_notice& notice = find_or_add(server);
  auto& current = notice.m_limit.m_interval;
  const auto part = [](duration whole, double share) {
    return std::chrono::duration_cast<duration>(whole * share);
  };
  if (now < notice.m_return_end) {
    if (interval && !current) {
      notice.m_next_request = std::max(notice.m_next_request, now + part(*interval, phase));
    }
  } else if (interval && !current) {
    notice.m_next_request =
        std::max(std::min(notice.m_next_request, now + *interval), now + part(*interval, phase));
  } else if (interval && notice.m_next_request > now && *current > duration::zero()) {
    const duration remaining = std::min(*current, notice.m_next_request - now);
    notice.m_next_request =
        now + part(*interval, static_cast<double>(remaining.count()) / static_cast<double>(current->count()));
  }
  current = interval;
}

void server_notices::record_request(const backend_server& server, duration return_interval, time_point now) {
  if (find(server) == nullptr) {
    return;
  }
  server_notice& notice = find_or_add(server);
  notice.m_next_request = now + return_interval;
  if (notice.is_limited()) {
    const duration interval = notice.m_limit.m_interval.value_or(duration::zero());
    notice.m_next_request =
        now + (now < notice.m_return_end ? std::max(interval, return_interval) : interval);
  }
}

void server_notices::expire_limits(time_point now) {
  for (auto& [id, by_start] : m_records) {
    for (auto& [started, notice] : by_start) {
      server_limit& limit = notice.m_limit;
      if (limit.m_requests_per_s && now - *limit.m_stated > limit_lifetime) {
        limit.m_requests_per_s.reset();
        limit.m_interval.reset();
      }
    }
  }
}

const server_notice* server_notices::find_recent_limit(std::string_view id, time_point now) const {
  const auto by_start = m_records.find(id);
  if (by_start == m_records.end()) {
    return nullptr;
  }
  const auto found = std::find_if(by_start->second.begin(), by_start->second.end(), [&](const auto& each) {
    const server_limit& limit = each.second.m_limit;
    return limit.m_requests_per_s && now - *limit.m_stated <= list_delay;
  });
  return found == by_start->second.end() ? nullptr : &found->second;
}

const server_notice* server_notices::find_leaving(std::string_view id, time_point since) const {
  const auto by_start = m_records.find(id);
  if (by_start == m_records.end()) {
    return nullptr;
  }
  const auto found = std::find_if(by_start->second.begin(), by_start->second.end(), [&](const auto& each) {
    return each.second.m_leaving && each.second.m_leaving_since >= since;
  });
  return found == by_start->second.end() ? nullptr : &found->second;
}

void server_notices::confirm_leaving(const backend_server& server, bool leaves) {
  if (const auto* known = find(server); known == nullptr || !known->m_to_confirm) {
    return;
  }
  server_notice& notice = find_or_add(server);
  notice.m_to_confirm = false;
  notice.m_leaving = leaves;
  update_unconfirmed();
}

void server_notices::update_unconfirmed() {
  m_has_unconfirmed = std::any_of(m_records.begin(), m_records.end(), [](const auto& each) {
    return std::any_of(each.second.begin(), each.second.end(),
                       [](const auto& notice) { return notice.second.m_to_confirm; });
  });
}

void server_notices::update_listed(std::span<const backend_server> servers, time_point now,
                                   std::optional<time_point> restored_at) {
  if (m_records.empty()) {
    return;
  }
  for (auto& [id, by_start] : m_records) {
    for (auto& [started, notice] : by_start) {
      notice.m_missing_since = notice.m_missing_since.value_or(now);
    }
  }
  const bool may_be_rewritten = restored_at && now - *restored_at <= list_delay + restore_report_delay;
  for (const auto& server : servers) {
    if (find(server) != nullptr) {
      find_or_add(server).m_missing_since.reset();
    } else if (const server_notice* stated =
                   may_be_rewritten ? find_leaving(server.m_id, *restored_at - restore_report_delay)
                                    : nullptr;
               stated != nullptr) {
      server_notice& notice = find_or_add(server);
      notice.m_leaving = true;
      notice.m_leaving_since = stated->m_leaving_since;
      notice.m_to_confirm = true;
    } else if (const server_notice* earlier = find_recent_limit(server.m_id, now); earlier != nullptr) {
      server_notice& notice = find_or_add(server);
      notice.m_limit = earlier->m_limit;
      notice.m_next_request = earlier->m_next_request;
    }
  }
  for (auto& [id, by_start] : m_records) {
    std::erase_if(by_start, [&](const auto& each) {
      const auto& missing_since = each.second.m_missing_since;
      return missing_since && now - *missing_since > unlisted_retention;
    });
  }
  std::erase_if(m_records, [](const auto& each) { return each.second.empty(); });
  m_has_limits = std::any_of(m_records.begin(), m_records.end(), [](const auto& each) {
    return std::any_of(each.second.begin(), each.second.end(),
                       [](const auto& notice) { return notice.second.m_limit.m_stated.has_value(); });
  });
  update_unconfirmed();
  m_has_brittle = std::any_of(m_records.begin(), m_records.end(), [](const auto& each) {
    return std::any_of(each.second.begin(), each.second.end(),
                       [](const auto& notice) { return notice.second.m_brittle.m_stated.has_value(); });
  });
}

} // namespace cardamompond::fleet
