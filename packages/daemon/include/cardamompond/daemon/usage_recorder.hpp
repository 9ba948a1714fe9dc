#pragma once

#include "cardamompond/cell/usage_ledger.hpp"
#include "cardamompond/cell/usage_meter.hpp"
#include "cardamompond/core/object_store.hpp"
#include "cardamompond/daemon/cell_runtime.hpp"
#include "cardamompond/daemon/entry_handler.hpp"

#include <string>

namespace cardamompond::daemon {

struct usage_recorder_options {
  std::string m_cell;
  std::string m_name;
  std::uint64_t m_incarnation = 0;
};

// Records the resources used by requests. Sends the counters of this daemon to the cell owner every second.
// On the owner, writes the counters of the cell to the platform every 5 s.
class usage_recorder {
public:
  usage_recorder(object_store& store, cell_runtime& cell, usage_recorder_options options);

  // Adds the usage of a finished request.
  void add(const request_usage& usage);

  // Sends and writes counters in an endless loop. Call it on a separate fiber.
  void run();

  // Sends or writes the pending counters before a graceful exit. Blocks for about 2 s at most.
  void flush();

private:
  void merge_report(std::string_view payload);
  void report_to_owner();
  void hand_over_ledger();
  void push_report(const cell::usage_report& report, std::function<void()> on_accepted);
  void write_days();
  bool write_day(cell::utc_day day);
  bool owns_cell() const;

  object_store& m_store;
  cell_runtime& m_cell;
  usage_recorder_options m_options;
  cell::usage_meter m_meter;
  cell::usage_ledger m_ledger;
  std::uint64_t m_merged_reports = 0; // number of reports merged into the ledger
};

} // namespace cardamompond::daemon
