#include "cardamompond/scheduler/baseline_scheduler.hpp"

#include <algorithm>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>

namespace cardamompond::scheduler {

namespace {

constexpr milliseconds permit_lifetime{500};
constexpr seconds connect_retry_interval{1};

struct baseline_server {
  backend_server_configuration m_declared;
  std::uint32_t m_outstanding = 0;
  bool m_leaving = false;
  bool m_reachable = true;
  time_point m_retry_at;
};

struct baseline_service {
  std::size_t m_queue_limit = 0;
  std::vector<std::string> m_servers; // backend servers of the versions in use
  std::size_t m_next_server = 0;
  std::deque<submit_event> m_waiting;
};

} // namespace

class baseline_scheduler::impl {
public:
  void apply(const configuration& config) {
    for (const service_configuration& declared : config.m_services) {
      baseline_service& service = m_services[declared.m_name];
      service.m_queue_limit = declared.m_queue_limit;
      service.m_servers.clear();
    }
    for (const backend_server_configuration& declared : config.m_backend_servers) {
      m_servers[declared.m_name].m_declared = declared;
      if (has_version_in_use(config, declared)) {
        m_services[declared.m_service].m_servers.push_back(declared.m_name);
      }
    }
  }

  void handle(const submit_event& submitted) {
    const auto found = m_services.find(submitted.m_service);
    if (found == m_services.end()) {
      m_decisions.emplace_back(refusal{submitted.m_key, error_code::not_found, 1, "unknown service"});
    } else if (found->second.m_waiting.size() >= found->second.m_queue_limit) {
      m_decisions.emplace_back(refusal{submitted.m_key, error_code::queue_full, 1, "the queue is full"});
    } else {
      found->second.m_waiting.push_back(submitted);
    }
  }

  void handle(const cancel_event& cancelled) {
    for (auto& [name, service] : m_services) {
      std::erase_if(service.m_waiting, [&](const auto& waiting) { return waiting.m_key == cancelled.m_key; });
    }
  }

  void handle(const declined_event& declined) {
    const auto found = m_granted.find(declined.m_key);
    if (found != m_granted.end() && declined.m_reason == decline_reason::connect_failed) {
      m_servers[found->second].m_retry_at = m_now + connect_retry_interval;
    }
    release(declined.m_key);
  }

  void handle(const completed_event& completed) { release(completed.m_key); }

  void handle(const load_report_event& report) {
    if (const auto found = m_servers.find(report.m_backend_server); found != m_servers.end()) {
      found->second.m_reachable = true;
    }
  }

  void handle(const unreachable_event& observed) {
    if (const auto found = m_servers.find(observed.m_backend_server); found != m_servers.end()) {
      found->second.m_reachable = false;
    }
  }

  void handle(const host_state_event& observed) {
    if (const auto found = m_servers.find(observed.m_backend_server); found != m_servers.end()) {
      found->second.m_leaving = observed.m_leaving;
    }
  }

  // The baseline ignores all other events.
  template <typename other_event> void handle(const other_event& /*observed*/) {}

  std::vector<decision> tick() {
    for (auto& [name, service] : m_services) {
      while (!service.m_waiting.empty() && serve_first(service)) {
        service.m_waiting.pop_front();
      }
    }
    return std::exchange(m_decisions, {});
  }

  time_point m_now;

private:
  static bool has_version_in_use(const configuration& config, const backend_server_configuration& server) {
    const auto service = std::find_if(config.m_services.begin(), config.m_services.end(),
                                      [&](const auto& entry) { return entry.m_name == server.m_service; });
    return service != config.m_services.end() &&
           (service->m_active_version == server.m_version ||
            (service->m_rollout && service->m_rollout->m_target_version == server.m_version));
  }

  bool is_free(const baseline_server& server) const {
    return server.m_declared.m_in_service && !server.m_leaving && server.m_reachable &&
           server.m_retry_at <= m_now && server.m_outstanding < server.m_declared.m_slots;
  }

  // Grants or refuses the first waiting request. Returns false if it has to wait.
  bool serve_first(baseline_service& service) {
    const submit_event& request = service.m_waiting.front();
    if (request.m_deadline <= m_now) {
      m_decisions.emplace_back(
          refusal{request.m_key, error_code::deadline_exceeded, 1, "the deadline passed in the queue"});
      return true;
    }
    for (std::size_t tried = 0; tried < service.m_servers.size(); ++tried) {
      baseline_server& server =
          m_servers[service.m_servers[service.m_next_server++ % service.m_servers.size()]];
      if (is_free(server)) {
        ++server.m_outstanding;
        const backend_server_configuration& target = server.m_declared;
        m_granted[request.m_key] = target.m_name;
        m_decisions.emplace_back(
            grant{request.m_key, target.m_name, target.m_address, target.m_version, m_now + permit_lifetime});
        return true;
      }
    }
    return false;
  }

  void release(request_key key) {
    if (const auto found = m_granted.find(key); found != m_granted.end()) {
      --m_servers[found->second].m_outstanding;
      m_granted.erase(found);
    }
  }

  std::map<std::string, baseline_service> m_services;
  std::unordered_map<std::string, baseline_server> m_servers;
  std::unordered_map<request_key, std::string> m_granted;
  std::vector<decision> m_decisions;
};

baseline_scheduler::baseline_scheduler()
    : m_impl(std::make_unique<impl>()) {}
baseline_scheduler::~baseline_scheduler() = default;
baseline_scheduler::baseline_scheduler(baseline_scheduler&&) noexcept = default;
baseline_scheduler& baseline_scheduler::operator=(baseline_scheduler&&) noexcept = default;

void baseline_scheduler::apply(const configuration& config, time_point now) {
  m_impl->m_now = now;
  m_impl->apply(config);
}

void baseline_scheduler::handle(const event& input, time_point now) {
  m_impl->m_now = now;
  std::visit([this](const auto& alternative) { m_impl->handle(alternative); }, input);
}

std::vector<decision> baseline_scheduler::tick(time_point now) {
  m_impl->m_now = now;
  return m_impl->tick();
}

} // namespace cardamompond::scheduler
