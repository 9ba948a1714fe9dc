#pragma once

#include "cardamompond/core/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace cardamompond::gateway {

// Decides which registered daemons count for the shares of quotas after the store came back from a copy. The
// copy lacks daemons that registered lately and lists some that have left, so the daemons that were listed
// before count until all had time to write their entries again. Reads no clock.
class member_retention {
public:
  using zone_by_name = std::map<std::string, std::string>;

  // Returns the daemons that count. `listed` are those that the store lists in its era `store_era`.
  const zone_by_name& update(std::uint64_t store_era, const zone_by_name& listed, time_point now);

  // Whether daemons count that the store does not list, or the reverse.
  bool retains(time_point now) const { return m_settles_at && now < *m_settles_at; }

private:
  std::optional<std::uint64_t> m_store_era;
  std::optional<time_point> m_settles_at;
  zone_by_name m_counted;
  std::set<std::string> m_listed_again; // in the present era
};

} // namespace cardamompond::gateway
