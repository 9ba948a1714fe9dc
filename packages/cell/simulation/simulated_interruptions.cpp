#include "simulated_cell.hpp"

#include <algorithm>

namespace cardamompond::cell {
namespace {

// Time after the end of an interruption within which an owner learns of its successor.
constexpr duration successor_notice_time = seconds(2);

bool contains(std::uint64_t member_bits, std::size_t index) {
  return ((member_bits >> index) & 1U) != 0;
}

} // namespace

void simulated_cell::interruption::update(bool interrupted, time_point now) {
  if (interrupted && (!m_begin || m_end)) {
    m_begin = now;
    m_end.reset();
  } else if (!interrupted && m_begin && !m_end) {
    m_end = now;
  }
}

bool simulated_cell::interruption::covers(time_point now, duration length) const {
  return m_begin && m_end.value_or(now) - *m_begin >= length &&
         now - m_end.value_or(now) <= successor_notice_time;
}

bool simulated_cell::is_link_cut(std::size_t source, std::size_t target) const {
  return contains(m_partition, source) != contains(m_partition, target) ||
         contains(m_cut_links[source], target);
}

bool simulated_cell::reaches_platform(std::size_t source) const {
  return !m_outage && !contains(m_platform_cut_members, source);
}

void simulated_cell::partition(std::uint64_t member_bits) {
  m_partition = member_bits;
  record_interruptions();
}

void simulated_cell::cut_link(std::size_t source, std::size_t target) {
  m_cut_links[source] |= std::uint64_t{1} << target;
  record_interruptions();
}

void simulated_cell::set_outage(bool outage) {
  m_outage = outage;
  record_interruptions();
}

void simulated_cell::cut_platform(std::uint64_t member_bits) {
  m_platform_cut_members = member_bits;
  record_interruptions();
}

void simulated_cell::record_interruptions() {
  for (std::size_t i = 0; i < size(); ++i) {
    m_platform_interruptions[i].update(!reaches_platform(i), m_now);
    for (std::size_t j = 0; j < size(); ++j) {
      m_link_interruptions[i][j].update(is_link_cut(i, j) && is_link_cut(j, i), m_now);
    }
  }
}

bool simulated_cell::is_documented_exception(std::size_t older, std::size_t newer) const {
  const cell_timing timing;
  const auto& record = m_nodes[older].m_member->record();
  const auto* known = record.find(m_nodes[newer].m_name);
  const bool unknown = known == nullptr || known->m_incarnation != m_nodes[newer].m_incarnation;
  if (m_allow_unknown_newcomer && unknown &&
      m_platform_interruptions[older].covers(m_now, timing.m_minority_removal_timeout)) {
    return true;
  }
  const auto isolated =
      std::count_if(record.m_members.begin(), record.m_members.end(), [&](const auto& entry) {
        const auto index = index_of(entry.m_name);
        return m_link_interruptions[index][newer].covers(m_now, timing.m_minority_removal_timeout) &&
               m_platform_interruptions[index].covers(m_now,
                                                      timing.m_lease_duration + timing.m_permit_lifetime);
      });
  return static_cast<std::size_t>(isolated) >= record.majority();
}

} // namespace cardamompond::cell
