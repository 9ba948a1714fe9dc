#include "cardamompond/daemon/cell_daemon.hpp"
#include "cardamompond/daemon/entry_daemon.hpp"
#include "cardamompond/daemon/settings.hpp"
#include "cardamompond/telemetry/log.hpp"

#include <tclap/CmdLine.h>

#include <cstdlib>
#include <iostream>
#include <memory>

namespace {

constexpr int exit_bad_settings = 2;

// Exits without running destructors, because fibers may still be blocked in calls to the platform or to
// backend servers.
[[noreturn]] void end_process(int code) {
  std::cout.flush();
  std::cerr.flush();
  std::_Exit(code);
}

// Runs an entry daemon. Returns an exit code only if the settings are invalid or `check_only` is set.
int run_entry_daemon(const std::string& file, bool check_only) {
  const auto loaded = cardamompond::gateway::read_gateway_settings(file);
  if (!loaded) {
    std::cerr << "cardamompondd: " << loaded.error().m_message << "\n";
    return exit_bad_settings;
  }
  if (!cardamompond::start_logging(loaded->m_log_level)) {
    std::cerr << "cardamompondd: " << file << ": log.level: must be debug, info, warning or error\n";
    return exit_bad_settings;
  }
  if (check_only) {
    return 0;
  }
  const auto daemon = std::make_unique<cardamompond::daemon::entry_daemon>(*loaded, file);
  end_process(daemon->run());
}

} // namespace

int main(int argc, char** argv) {
  using namespace cardamompond::daemon;
  try {
    TCLAP::CmdLine command("Request scheduler between callers and backend servers.", ' ', "0.1.0");
    TCLAP::ValueArg<std::string> file("s", "settings",
                                      "Settings file (TOML); docs/OPERATIONS.md lists its keys.", true, "",
                                      "FILE", command);
    TCLAP::SwitchArg check("c", "check", "Check the settings and exit.", command);
    command.setExceptionHandling(false);
    try {
      command.parse(argc, argv);
    } catch (const TCLAP::ExitException& exit) {
      return exit.getExitStatus();
    } catch (const TCLAP::ArgException& error) {
      std::cerr << "cardamompondd: " << error.argId() << ": " << error.error() << "; see --help\n";
      return exit_bad_settings;
    }
    if (cardamompond::gateway::selects_local_scheduling(file.getValue())) {
      return run_entry_daemon(file.getValue(), check.getValue());
    }
    const auto loaded = read_settings(file.getValue());
    if (!loaded) {
      std::cerr << "cardamompondd: " << loaded.error().m_message << "\n";
      return exit_bad_settings;
    }
    if (check.getValue()) {
      return 0;
    }
    cardamompond::start_logging(loaded->m_log_level);
    const auto daemon = std::make_unique<cell_daemon>(*loaded);
    end_process(daemon->run());
  } catch (const std::exception& error) {
    std::cerr << "cardamompondd: " << error.what() << "\n";
    end_process(exit_bad_settings);
  }
}
