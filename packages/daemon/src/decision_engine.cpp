#include "cardamompond/daemon/decision_engine.hpp"

namespace cardamompond::daemon {
namespace {

class scheduler_engine final : public decision_engine {
public:
  explicit scheduler_engine(std::uint64_t seed)
      : m_scheduler(seed) {}

  void apply(const scheduler::configuration& config, time_point now) override {
    m_scheduler.apply(config, now);
  }
  void handle(const scheduler::event& input, time_point now) override { m_scheduler.handle(input, now); }
  std::vector<scheduler::decision> tick(time_point now) override { return m_scheduler.tick(now); }
  void reset_requests() override { m_scheduler.reset_requests(); }
  void merge(const fault_signal_set& fault_signals, time_point now) override {
    m_scheduler.merge(fault_signals, now);
  }
  fault_signal_set fault_signals(time_point now) const override { return m_scheduler.fault_signals(now); }
  scheduler::scheduler_status status() const override { return m_scheduler.status(); }
  std::map<std::string, std::uint64_t, std::less<>> rejected_inputs() const override {
    return m_scheduler.rejected_inputs();
  }

private:
  scheduler::scheduler m_scheduler;
};

} // namespace

std::unique_ptr<decision_engine> make_scheduler_engine(std::uint64_t seed) {
  return std::make_unique<scheduler_engine>(seed);
}

} // namespace cardamompond::daemon
