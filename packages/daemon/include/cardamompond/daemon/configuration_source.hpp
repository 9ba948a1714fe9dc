#pragma once

#include "cardamompond/declarations/objects.hpp"

#include <functional>
#include <memory>

namespace cardamompond::daemon {

using shared_snapshot = std::shared_ptr<const declarations::snapshot>;

// Provides the current configuration to the components that process requests.
class configuration_source {
public:
  using change_callback = std::function<void(const shared_snapshot&)>;

  virtual ~configuration_source() = default;

  // Returns the current configuration, or null if none has been adopted yet.
  virtual shared_snapshot current() const = 0;

  // Registers a callback that is called on the daemon's thread after each adoption of a configuration.
  virtual void on_change(change_callback callback) = 0;

  virtual bool platform_reachable() const = 0;
};

} // namespace cardamompond::daemon
