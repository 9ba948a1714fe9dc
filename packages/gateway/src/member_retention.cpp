#include "cardamompond/gateway/member_retention.hpp"

namespace cardamompond::gateway {
namespace {

// Covers the turns in which a group of 2,400 daemons writes its entries again, and the removal of entries of
// daemons that have left.
constexpr duration settling_time = seconds(30);

} // namespace

const member_retention::zone_by_name& member_retention::update(std::uint64_t store_era,
                                                               const zone_by_name& listed, time_point now) {
  if (m_store_era && store_era > *m_store_era) {
    m_settles_at = now + settling_time;
    m_listed_again.clear();
  }
  m_store_era = store_era;
  if (!retains(now)) {
    m_settles_at.reset();
    m_counted = listed;
    return m_counted;
  }
  for (const auto& [name, zone] : listed) {
    if (m_counted.contains(name)) {
      m_listed_again.insert(name);
    }
  }
  // Daemons that leave in the new era.
  std::erase_if(m_counted, [&](const auto& each) {
    return m_listed_again.contains(each.first) && !listed.contains(each.first);
  });
  return m_counted;
}

} // namespace cardamompond::gateway
