#pragma once

#include <cstdint>
#include <optional>

namespace cardamompond::gateway {

// Follows the era that the store states in its answers. All clients of the store share it.
//
// The era of the store only rises, so an answer that states a lower one than the latest is late, if its call
// was sent before the latest was stated. If several calls in a row that were sent after that are answered
// with the same lower era, the latest one was stated in error, for example by a damaged header. The lower one
// is followed again then, and the higher one counts as withdrawn.
class store_era {
public:
  // What was known when a call was sent.
  using sent_mark = std::uint64_t;

  // Returns the latest era; 0 if no answer stated one.
  std::uint64_t latest() const { return m_latest; }

  // Returns the number of eras that were withdrawn since the start of the daemon.
  std::uint64_t withdrawals() const { return m_withdrawals; }

  // Must be called before a call is sent; its result belongs to the answer.
  sent_mark mark_sent() const { return m_changes; }

  // Records the era that an answer states; nothing: it states none, and is taken for one of the latest.
  // Returns false if the answer is of an earlier era.
  bool record(std::optional<std::uint64_t> stated, sent_mark sent);

private:
  void follow(std::uint64_t era);

  std::uint64_t m_latest = 0;
  std::uint64_t m_changes = 0; // of m_latest
  std::uint64_t m_withdrawals = 0;
  std::uint64_t m_contradicting_era = 0;
  int m_contradictions = 0; // answers in a row that stated m_contradicting_era
};

} // namespace cardamompond::gateway
