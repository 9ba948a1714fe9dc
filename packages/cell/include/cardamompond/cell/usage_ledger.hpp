#pragma once

#include "cardamompond/cell/usage_object.hpp"
#include "cardamompond/core/object_store.hpp"
#include "cardamompond/core/time.hpp"

#include <vector>

namespace cardamompond::cell {

struct usage_ledger_options {
  // An incarnation is folded after a newer one of the same name has been known for this long.
  std::chrono::minutes m_fold_after{10};
  std::chrono::days m_max_report_age{3};    // reports of days up to this age are merged
  std::chrono::days m_max_unwritten_age{7}; // days that could not be written are dropped after this time
};

// The object of a day would exceed max_usage_object_bytes.
struct usage_size_error {
  std::size_t m_bytes = 0;
};

// The usage of a cell by day, as known to the cell owner. Counters are merged by taking the maximum for each
// incarnation, so repeated or reordered reports and repeated writes of an object do not change the totals.
//
// An object is written in these steps: read it (unless the last version is known), merge_stored(),
// prepare_write(), conditional write, and, if that succeeded, merge_stored() with the written text and the
// new version. Folding an incarnation adds its counters to a common sum, only in the text to be written: the
// ledger takes folded sums from stored objects alone. Each stored version is based on the previous one, so no
// incarnation is folded twice. An incarnation is folded only if a newer process of the same name has replaced
// it, since a member that was merely removed from the cell may return. Every owner that has read the object
// then refuses reports of the folded incarnation.
class usage_ledger {
public:
  explicit usage_ledger(usage_ledger_options options = {});

  // Merges a report, which may be the owner's own. Returns false if a part of it was refused because its day
  // is out of range or its incarnation is folded. Such a part will never be accepted; the rest was merged.
  bool merge(const usage_report& report, utc_day today, time_point now);

  // Merges the stored object of a day. Versions older than the last one merged are ignored.
  void merge_stored(utc_day day, const usage_object& object, object_version version, time_point now);

  // Returns the days whose stored object lacks usage that the ledger holds.
  std::vector<utc_day> unwritten_days() const;

  // Returns the next value of the object of a day, or an error if it is too large. The write must be
  // conditional on stored_version().
  result<std::string, usage_size_error> prepare_write(utc_day day, time_point now);

  // Returns the version of the stored object last merged, or 0 if there is none.
  object_version stored_version(utc_day day) const;

  // Returns the usage that the ledger holds and the platform may lack. A daemon that is no longer the owner
  // sends it to the new owner.
  std::vector<usage_report> unwritten_reports() const;

  usage_table totals(utc_day day) const;

  // Drops the days for which reports are no longer accepted once they are written, and unwritten days after
  // usage_ledger_options::m_max_unwritten_age.
  void expire(utc_day today);

  std::size_t day_count() const { return m_days.size(); }

private:
  struct day_entry {
    usage_object m_object;
    std::map<daemon_incarnation, usage_table> m_unwritten; // counters that the stored object lacks
    // Last incarnation of each name that is folded in a text which may have been written.
    std::map<std::string, std::uint64_t> m_pending_folds;
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
