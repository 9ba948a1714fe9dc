#pragma once

#include "cardamompond/core/time.hpp"

#include <cstddef>
#include <optional>

namespace cardamompond::gateway {

// Decides when a daemon writes its entry to the list of members. A store that comes back from a copy may lack
// the entries of a whole group, which all daemons notice at the same time; they write in turns, each once.
// Reads no clock.
class registration_schedule {
public:
  // Returns whether the entry is to be written now. `listed` tells whether the store lists it; `rank` is the
  // number of daemons that write before this one if all entries are missing.
  bool is_due(bool listed, std::size_t rank, time_point now);

  // Records a write that the store has accepted, or that it refused since the entry exists. The next one
  // follows only if the entry does not appear in the list.
  void record_write(time_point now) { m_written_at = now; }

  // Whether the store listed the entry before and does not now.
  bool is_lost() const { return m_was_listed && m_missing_since.has_value(); }

private:
  bool m_was_listed = false;
  std::optional<time_point> m_missing_since;
  std::optional<time_point> m_written_at;
};

} // namespace cardamompond::gateway
