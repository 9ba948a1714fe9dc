#pragma once

#include "cardamompond/core/time.hpp"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <sys/types.h>

namespace cardamompond::testing {

// Fails the running test. It is to be used instead of an exception, because CppUTest 3.8 ends the whole run
// on exceptions that it does not know.
[[noreturn]] void fail_test(const std::string& message);

// Polls until the condition holds; other fibers of the test run meanwhile. After the timeout it fails the
// test with a message that contains `what`.
void wait_until(std::string_view what, milliseconds timeout, const std::function<bool()>& condition);

// A program that the test has started. It is killed when the object is destroyed or the test process ends.
class child_process {
public:
  // Starts the program. Its standard output and standard error go to the file `output_path`.
  child_process(std::string program, const std::vector<std::string>& arguments, std::string output_path);
  ~child_process();
  child_process(const child_process&) = delete;
  child_process& operator=(const child_process&) = delete;

  // Sends a signal, e.g. SIGSTOP, unless the process is known to have ended.
  void signal(int number) const;

  // Sends SIGKILL and waits until the process has ended.
  void kill();

  // Returns the exit code, or the negated number of the signal that ended the process. Returns nullopt while
  // the process is running.
  std::optional<int> exit_code();

  // Waits until the process has ended and returns exit_code(). Fails the test after the timeout.
  int wait_for_exit(milliseconds timeout);

  // Waits for "listening ADDRESS" as the first line of the output and returns the address. Throws if the
  // process has ended, and fails the test after the timeout.
  std::string wait_for_listening_address(milliseconds timeout = milliseconds(10'000));

  // Returns what the process has written so far.
  std::string read_output() const;
  pid_t pid() const { return m_pid; }

private:
  std::string m_program;
  std::string m_output_path;
  pid_t m_pid = -1;
  std::optional<int> m_exit_code;
};

struct finished_process {
  int m_exit_code = 0; // negative if a signal ended the process, see child_process::exit_code()
  std::string m_output;
};

// Runs a program until it ends, with its output in the file `output_path`. Fails the test after the timeout.
finished_process run_program(const std::string& program, const std::vector<std::string>& arguments,
                             const std::string& output_path, milliseconds timeout = milliseconds(20'000));

} // namespace cardamompond::testing
