#include "process_sampler.hpp"

#include <chrono>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <string>

#include <unistd.h>

namespace cardamompond::benchmark {
namespace {

std::ifstream open_proc(int pid, const char* name) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/" + name);
  if (!file) {
    throw std::runtime_error("cannot read the /proc files of process " + std::to_string(pid));
  }
  return file;
}

} // namespace

double read_processor_seconds(int pid) {
  auto file = open_proc(pid, "stat");
  std::string text;
  std::getline(file, text);
  // The program name may contain spaces and parentheses. The next fields follow the last parenthesis.
  std::istringstream fields(text.substr(text.rfind(')') + 1));
  std::string ignored_field;
  constexpr int fields_before_utime = 11;
  for (int i = 0; i < fields_before_utime; ++i) {
    fields >> ignored_field;
  }
  double user_ticks = 0;
  double system_ticks = 0;
  fields >> user_ticks >> system_ticks;
  return (user_ticks + system_ticks) / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

double read_resident_kib(int pid) {
  auto file = open_proc(pid, "status");
  std::string status_line;
  while (std::getline(file, status_line)) {
    if (status_line.starts_with("VmRSS:")) {
      return std::stod(status_line.substr(6));
    }
  }
  return 0;
}

process_sampler::process_sampler(int pid, double delay_s, double duration_s)
    : m_thread([this, pid, delay_s, duration_s] {
      std::this_thread::sleep_for(std::chrono::duration<double>(delay_s));
      const auto begin = std::chrono::steady_clock::now();
      const double used_before = read_processor_seconds(pid);
      std::this_thread::sleep_for(std::chrono::duration<double>(duration_s));
      m_elapsed_s = std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
      m_used_processor_s = read_processor_seconds(pid) - used_before;
      m_resident_kib = read_resident_kib(pid);
    }) {}

void process_sampler::wait() {
  m_thread.join();
}

} // namespace cardamompond::benchmark
