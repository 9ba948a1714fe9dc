#pragma once

#include "cardamompond/core/time.hpp"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <sys/types.h>

namespace cardamompond::testing {

// Fails the running test. CppUTest 3.8 ends the whole run on exceptions that it does not know.
[[noreturn]] void fail_test(const std::string& message);

// Polls until the condition holds; fibers of the test run meanwhile. Fails the test, naming `what`, after the
// timeout.
void wait_until(std::string_view what, milliseconds timeout, const std::function<bool()>& condition);

// A program that the test started. It is killed when the object or the test process ends.
class child_process {
public:
  // `output` receives standard output and standard error.
  child_process(std::string program, const std::vector<std::string>& arguments, std::string output);
  ~child_process();
  child_process(const child_process&) = delete;
  child_process& operator=(const child_process&) = delete;

  // Sends a signal by process id, e.g. SIGSTOP.
  void signal(int number) const;

  // Sends SIGKILL and waits for the end.
  void kill();

  // The exit code once the process has ended; the negative number of the signal that ended it.
  std::optional<int> exit_code();

  // Waits for the end and returns exit_code().
  int wait_for_exit(milliseconds timeout);

  // Waits for the line "listening ADDRESS" and returns the address.
  std::string wait_for_listening_address(milliseconds timeout = milliseconds(10'000));

  std::string read_output() const;
  pid_t pid() const { return m_pid; }

private:
  std::string m_program;
  std::string m_output;
  pid_t m_pid = -1;
  std::optional<int> m_exit_code;
};

// Runs a program to its end.
struct finished_process {
  int m_exit_code = 0;
  std::string m_output;
};
finished_process run_program(const std::string& program, const std::vector<std::string>& arguments,
                             const std::string& output, milliseconds timeout = milliseconds(20'000));

} // namespace cardamompond::testing
