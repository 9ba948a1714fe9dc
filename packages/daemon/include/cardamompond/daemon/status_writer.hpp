#pragma once

#include "cardamompond/core/object_store.hpp"
#include "cardamompond/daemon/cell_runtime.hpp"
#include "cardamompond/declarations/status_record.hpp"

#include <string>

namespace cardamompond::daemon {

// Writes the object status/<cell> while this daemon owns the cell. To limit the writes of the whole fleet,
// the object is written at most every 2 s, and only if it has changed or 10 s have passed.
class status_writer {
public:
  status_writer(object_store& store, cell_runtime& cell, std::string cell_name);

  // Writes in an endless loop. Call it on a separate fiber.
  void run();

private:
  declarations::status_record make_record() const;
  void write(const declarations::status_record& record);

  object_store& m_store;
  cell_runtime& m_cell;
  std::string m_cell_name;
  object_version m_version = 0;
};

} // namespace cardamompond::daemon
