#pragma once

#include "cardamompond/cell/usage_object.hpp"
#include "cardamompond/core/object_store.hpp"
#include "cardamompond/core/time.hpp"

#include <vector>

namespace cardamompond::cell {

struct usage_ledger_options {
  // An incarnation is folded when a newer one of its name has been known for this long.
  std::chrono::minutes m_fold_after{10};
  std::chrono::days m_max_report_age{3};    // reports of days up to this old are merged
  std::chrono::days m_max_unwritten_age{7}; // days that cannot be written are given up after this
};

// The object of a day would be over max_usage_object_bytes.
struct usage_size_error {
  std::size_t m_bytes = 0;
};

// The usage of a cell as its owner knows it, by day. Merging by maximum for each incarnation makes repeated
// and reordered reports, and rewritten objects, harmless.
//
// Each write of an object is: read it (unless the last version is known), merge_stored(), prepare_write(),
// conditional write, and merge_stored() with the text and the new version if that succeeded. Incarnations are
// folded in the text only: the ledger takes folded sums from stored objects alone, whose versions follow one
// another, so that no incarnation is folded twice. Only an incarnation that a newer process of the same name
// has replaced is folded, since a member that was merely removed from the cell may return. From then on its
// reports are refused, by every owner that has read the object.
class usage_ledger {
public:
  explicit usage_ledger(usage_ledger_options options = {});

  // Merges a report, the owner's own included. False if any part of it was refused: a day out of range or an
  // incarnation that is folded. Such a part will never be accepted; the rest was merged.
  bool merge(const usage_report& report, utc_day today, time_point now);

  // Merges the stored object of a day; older versions than the last one are ignored.
  void merge_stored(utc_day day, const usage_object& object, object_version version, time_point now);

  // Days whose stored object lacks something.
  std::vector<utc_day> unwritten_days() const;

  // The object's next value, or an error if it does not fit. The version to expect is stored_version().
  result<std::string, usage_size_error> prepare_write(utc_day day, time_point now);

  // Version of the stored object last merged; 0 if none.
  object_version stored_version(utc_day day) const;

  // What this ledger holds and the platform may not: to be sent to the new owner by one that is no longer it.
  std::vector<usage_report> unwritten_reports() const;

  usage_table totals(utc_day day) const;

  // Drops days that reports are no longer accepted for, once they are written.
  void expire(utc_day today);

  std::size_t day_count() const { return m_days.size(); }

private:
  struct day_entry {
    usage_object m_object;
    std::map<daemon_incarnation, usage_table> m_unwritten; // readings that the stored object lacks
    std::map<std::string, std::uint64_t> m_pending_folds;  // folded in a text, which may have been written
    object_version m_version = 0;
  };
  struct newest_incarnation {
    std::uint64_t m_incarnation = 0;
    time_point m_since;
  };

  void record_incarnation(const daemon_incarnation& incarnation, time_point now);

  usage_ledger_options m_options;
  std::map<utc_day, day_entry> m_days;
  std::map<std::string, newest_incarnation> m_newest_incarnations;
};

} // namespace cardamompond::cell
