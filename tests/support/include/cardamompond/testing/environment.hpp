#pragma once

#include "cardamompond/net/fiber_runtime.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace cardamompond::testing {

// Returns the fiber runtime of the test's thread. The first call creates it.
net::fiber_runtime& test_runtime();

// Returns the path of a program of this build, e.g. "cardamompondd".
std::string program_path(std::string_view name);

// Returns an address of the loopback interface, "127.0.0.1:PORT", that is not in use. The port is below the
// range that the system uses for outgoing connections, so that none of these can occupy it before the process
// under test binds it.
std::string find_free_address();

// A temporary folder that the destructor removes, unless the environment variable KEEP_TEST_FOLDERS is set.
class temporary_folder {
public:
  temporary_folder();
  ~temporary_folder();
  temporary_folder(const temporary_folder&) = delete;
  temporary_folder& operator=(const temporary_folder&) = delete;

  const std::string& path() const { return m_path; }

  // Writes a file, creates the folders that it needs, and returns its path. Throws on errors.
  std::string write(const std::string& name, std::string_view content) const;

private:
  std::string m_path;
};

// Returns the SHA-256 hash in lower-case hexadecimal digits, the format of API keys in declarations.
std::string sha256_hex(std::string_view text);

} // namespace cardamompond::testing
