#include "cardamompond/testing/child_process.hpp"

#include <CppUTest/Utest.h>
#include <boost/fiber/operations.hpp>

#include <csignal>
#include <fstream>
#include <sstream>
#include <stdexcept>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace cardamompond::testing {

void fail_test(const std::string& message) {
  UtestShell::getCurrent()->fail(message.c_str(), "", 0);
  throw std::runtime_error(message); // reached only outside a test; within one, fail() ends the test
}

void wait_until(std::string_view what, milliseconds timeout, const std::function<bool()>& condition) {
  const time_point deadline = monotonic_now() + timeout;
  while (!condition()) {
    if (monotonic_now() >= deadline) {
      fail_test("condition not met within " + std::to_string(timeout.count()) + " ms: " + std::string(what));
    }
    boost::this_fiber::sleep_for(milliseconds(10));
  }
}

child_process::child_process(std::string program, const std::vector<std::string>& arguments,
                             std::string output_path)
    : m_program(std::move(program))
    , m_output_path(std::move(output_path)) {
  std::vector<char*> argv{m_program.data()};
  std::vector<std::string> argument_copies = arguments;
  for (auto& argument : argument_copies) {
    argv.push_back(argument.data());
  }
  argv.push_back(nullptr);
  const pid_t parent = ::getpid();
  m_pid = ::fork();
  if (m_pid == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL); // ends the program also if the test crashes
    const int output_file = ::open(m_output_path.c_str(), O_CREAT | O_WRONLY | O_TRUNC | O_APPEND, 0600);
    if (::getppid() != parent || output_file < 0 || ::dup2(output_file, 1) < 0 ||
        ::dup2(output_file, 2) < 0) {
      ::_exit(126);
    }
    ::close_range(3, ~0U, 0);
    ::execv(m_program.c_str(), argv.data());
    ::_exit(127);
  }
  if (m_pid < 0) {
    throw std::runtime_error("cannot start " + m_program);
  }
}

child_process::~child_process() {
  kill();
}

void child_process::signal(int number) const {
  if (!m_exit_code) {
    ::kill(m_pid, number);
  }
}

void child_process::kill() {
  if (!m_exit_code) {
    ::kill(m_pid, SIGKILL);
    int status = 0;
    ::waitpid(m_pid, &status, 0);
    m_exit_code = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
  }
}

std::optional<int> child_process::exit_code() {
  int status = 0;
  if (!m_exit_code && ::waitpid(m_pid, &status, WNOHANG) == m_pid) {
    m_exit_code = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
  }
  return m_exit_code;
}

int child_process::wait_for_exit(milliseconds timeout) {
  wait_until("exit of " + m_program, timeout, [this] { return exit_code().has_value(); });
  return *m_exit_code;
}

std::string child_process::wait_for_listening_address(milliseconds timeout) {
  constexpr std::string_view prefix = "listening ";
  std::string text;
  const auto is_complete = [&] {
    text = read_output();
    if (exit_code()) {
      throw std::runtime_error(m_program + " ended before it was listening: " + text);
    }
    return text.starts_with(prefix) && text.find('\n') != std::string::npos;
  };
  wait_until("listening line of " + m_program, timeout, is_complete);
  return text.substr(prefix.size(), text.find('\n') - prefix.size());
}

std::string child_process::read_output() const {
  std::ostringstream text;
  text << std::ifstream(m_output_path).rdbuf();
  return text.str();
}

finished_process run_program(const std::string& program, const std::vector<std::string>& arguments,
                             const std::string& output_path, milliseconds timeout) {
  child_process process(program, arguments, output_path);
  const int exit_code = process.wait_for_exit(timeout);
  return {exit_code, process.read_output()};
}

} // namespace cardamompond::testing
