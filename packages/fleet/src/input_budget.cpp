#include "cardamompond/fleet/input_budget.hpp"

#include <algorithm>

namespace cardamompond::fleet {
namespace {

// Large holdings take at most this share of the limit.
constexpr double large_share = 0.75;

// A client that sends at this rate is not behind. A body of 4 MB takes 64 s at it, which is slower than any
// link that callers use, and far faster than one part for each idle timeout.
constexpr double steady_bytes_per_s = 64.0 * 1024;

// Each request counts as behind for at least this long, so that among requests that are not behind the
// largest stands out.
constexpr double min_behind_s = 0.1;

std::size_t large_part(std::size_t held) {
  return held > input_budget::small_holding ? held : 0;
}

} // namespace

bool input_budget::fits(std::size_t bytes, std::size_t large_bytes) const {
  const auto large_limit = static_cast<std::size_t>(static_cast<double>(m_limit) * large_share);
  return m_limit == 0 ||
         (m_held + bytes <= m_limit && (large_bytes == 0 || m_held_by_large + large_bytes <= large_limit));
}

template <typename Predicate>
input_charge* input_budget::find_worst(time_point now, const Predicate& matches) const {
  input_charge* worst = nullptr;
  double worst_excess = 0;
  for (auto* each : m_charges) {
    const bool ends_slowly =
        each->m_state == input_charge::state::unfinished || each->m_state == input_charge::state::responding;
    if (!ends_slowly || each->m_evicted || !matches(*each)) {
      continue;
    }
    if (const double excess = each->excess(now); worst == nullptr || excess > worst_excess) {
      worst = each;
      worst_excess = excess;
    }
  }
  return worst;
}

// Whether input has arrived is asked last, because it takes a system call.
template <typename Predicate> input_charge* input_budget::find_longest_idle(const Predicate& matches) const {
  time_point after = time_point::min();
  while (true) {
    input_charge* longest = nullptr;
    for (auto* each : m_charges) {
      if (each->m_state == input_charge::state::idle && !each->m_evicted && each->m_since > after &&
          (longest == nullptr || each->m_since < longest->m_since) && matches(*each)) {
        longest = each;
      }
    }
    if (longest == nullptr || !longest->m_holder.has_unread_input()) {
      return longest;
    }
    after = longest->m_since;
  }
}

void input_budget::evict(input_charge& charge, eviction kind) {
  ++(charge.m_state == input_charge::state::idle ? m_evicted_idle : m_evicted_requests);
  charge.m_evicted = true;
  charge.m_holder.evict(kind);
}

bool input_budget::make_room_for_connection(std::size_t group, time_point now) {
  const auto in_group = [&](const input_charge& each) { return each.m_group == group; };
  auto* victim = find_longest_idle(in_group);
  if (victim == nullptr) {
    victim = find_worst(now, in_group);
  }
  if (victim == nullptr) {
    return false;
  }
  evict(*victim, eviction::close);
  return true;
}

// Large holdings that exceed their share are reduced first. The charge itself may stand out most; it gets no
// room then. An idle connection is closed only for a small holding.
bool input_budget::make_room(input_charge& charge, std::size_t bytes, std::size_t large_bytes,
                             time_point now) {
  while (!fits(bytes, large_bytes)) {
    const bool only_large_exceeded = fits(bytes, 0);
    auto* victim = find_worst(now, [&](const input_charge& each) {
      return !only_large_exceeded || &each == &charge || each.m_held > small_holding;
    });
    if (victim == nullptr && large_bytes == 0) {
      victim = find_longest_idle([&](const input_charge& each) { return &each != &charge; });
    }
    if (victim == nullptr || victim == &charge) {
      return false;
    }
    evict(*victim, eviction::refuse);
  }
  return true;
}

input_charge::input_charge(input_budget& budget, input_holder& holder, std::size_t group, time_point now)
    : m_budget(budget)
    , m_holder(holder)
    , m_group(group)
    , m_since(now)
    , m_index(budget.m_charges.size()) {
  budget.m_charges.push_back(this);
}

input_charge::~input_charge() {
  set_held(0);
  m_budget.m_charges[m_index] = m_budget.m_charges.back();
  m_budget.m_charges[m_index]->m_index = m_index;
  m_budget.m_charges.pop_back();
}

void input_charge::begin_request(time_point now) {
  m_state = state::unfinished;
  m_since = now;
  m_progress = 0;
}

bool input_charge::request(std::size_t bytes, time_point now) {
  if (m_evicted) {
    return false;
  }
  if (bytes > m_held &&
      !m_budget.make_room(*this, bytes - m_held, large_part(bytes) - large_part(m_held), now)) {
    return false;
  }
  set_held(bytes);
  return true;
}

void input_charge::set_held(std::size_t bytes) {
  m_budget.m_held += bytes - m_held;
  m_budget.m_held_by_large += large_part(bytes) - large_part(m_held);
  m_held = bytes;
}

void input_charge::begin_response(std::size_t bytes, time_point now) {
  const std::size_t held = m_held + bytes;
  if (!request(held, now)) {
    set_held(held);
  }
  m_state = state::responding;
  m_since = now;
  m_progress = 0;
}

void input_charge::end_request(time_point now) {
  m_state = state::idle;
  m_since = now;
}

double input_charge::excess(time_point now) const {
  const double elapsed = std::chrono::duration<double>(now - m_since).count();
  const double behind = elapsed - static_cast<double>(m_progress) / steady_bytes_per_s;
  return static_cast<double>(m_held) * std::max(behind, min_behind_s);
}

} // namespace cardamompond::fleet
