#pragma once

#include <thread>

namespace cardamompond::benchmark {

// Returns the processor time in seconds (user and system) that a process has used so far, from
// /proc/PID/stat. The kernel counts in steps of 10 ms. Throws std::runtime_error if the process does not
// exist.
double read_processor_seconds(int pid);

// Returns the resident memory of a process in KiB, from /proc/PID/status, or 0 if the file does not show it.
// Throws std::runtime_error if the process does not exist.
double read_resident_kib(int pid);

// Samples a process on a thread of its own, at the beginning and at the end of the measured part of a load.
class process_sampler {
public:
  // Takes the first sample after `delay_s` and the second one `duration_s` later.
  process_sampler(int pid, double delay_s, double duration_s);

  // Waits for both samples. Must be called once before the results are read and before the destruction.
  void wait();

  // Time between the two samples.
  double elapsed_s() const { return m_elapsed_s; }
  // Processor time that the process used between the two samples.
  double used_processor_s() const { return m_used_processor_s; }
  double resident_kib_at_end() const { return m_resident_kib; }

private:
  double m_elapsed_s = 0;
  double m_used_processor_s = 0;
  double m_resident_kib = 0;
  std::thread m_thread;
};

} // namespace cardamompond::benchmark
