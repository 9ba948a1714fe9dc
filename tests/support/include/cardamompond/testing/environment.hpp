#pragma once

#include "cardamompond/net/fiber_runtime.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace cardamompond::testing {

// The runtime of the test's thread.
net::fiber_runtime& test_runtime();

// Path of a program of this build, e.g. "cardamompondd".
std::string program_path(std::string_view name);

// A loopback address whose port nobody listens on. Ports come from below the range of outgoing connections,
// so that none of those takes one before the process under test binds it.
std::string find_free_address();

// A folder that is removed at the end, unless the variable KEEP_TEST_FOLDERS is set.
class temporary_folder {
public:
  temporary_folder();
  ~temporary_folder();
  temporary_folder(const temporary_folder&) = delete;
  temporary_folder& operator=(const temporary_folder&) = delete;

  const std::string& path() const { return m_path; }

  // Writes a file, creating its folders, and returns its path.
  std::string write(const std::string& name, std::string_view content) const;

private:
  std::string m_path;
};

// Lower-case hexadecimal SHA-256, as declarations hold it for keys.
std::string sha256_hex(std::string_view text);

} // namespace cardamompond::testing
