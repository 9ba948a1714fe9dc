#include "cardamompond/daemon/request_table.hpp"

#include <boost/fiber/mutex.hpp>

#include <algorithm>
#include <mutex>
#include <vector>

namespace cardamompond::daemon {

bool request_table::add(const scheduler::submit_event& request, time_point now) {
  auto [it, inserted] = m_entries.try_emplace(request.m_key);
  request_entry& entry = it->second;
  if (!inserted && entry.m_state != request_state::waiting) {
    // A new owner may have granted the request between the decline and this call; wait() then returns that
    // permit.
    return entry.m_result.has_value();
  }
  entry.m_request = request;
  entry.m_last_submitted = now;
  return true;
}

std::optional<permit_result> request_table::wait(request_key key) {
  request_entry* entry = find(key);
  if (entry == nullptr) {
    return std::nullopt;
  }
  boost::fibers::mutex mutex; // required by the condition variable; the daemon has one thread
  std::unique_lock lock(mutex);
  entry->m_result_ready.wait_until(lock, entry->m_request.m_deadline,
                                   [&] { return entry->m_result.has_value(); });
  if (!entry->m_result) {
    return std::nullopt;
  }
  permit_result result = std::move(*entry->m_result);
  entry->m_result.reset();
  if (!result) {
    m_entries.erase(key);
  }
  return result;
}

bool request_table::grant(const scheduler::grant& permit, std::uint64_t epoch) {
  request_entry* entry = find(permit.m_key);
  if (entry == nullptr || entry->m_state != request_state::waiting || entry->m_result) {
    return false;
  }
  entry->m_state = request_state::granted;
  entry->m_backend_server = permit.m_backend_server;
  entry->m_epoch = epoch;
  entry->m_result.emplace(permit);
  entry->m_result_ready.notify_one();
  return true;
}

bool request_table::refuse(request_key key, request_error error) {
  request_entry* entry = find(key);
  if (entry == nullptr || entry->m_state != request_state::waiting || entry->m_result) {
    return false;
  }
  entry->m_result.emplace(std::move(error));
  entry->m_result_ready.notify_one();
  return true;
}

bool request_table::mark_dispatched(const scheduler::grant& permit, std::uint64_t epoch, time_point now) {
  request_entry* entry = find(permit.m_key);
  if (entry == nullptr || entry->m_state != request_state::granted || entry->m_epoch != epoch ||
      entry->m_backend_server != permit.m_backend_server || now >= permit.m_expires) {
    return false;
  }
  entry->m_state = request_state::dispatched;
  return true;
}

bool request_table::return_to_waiting(request_key key) {
  request_entry* entry = find(key);
  if (entry == nullptr || entry->m_state != request_state::granted) {
    return false;
  }
  entry->m_state = request_state::waiting;
  entry->m_backend_server.clear();
  return true;
}

void request_table::remove(request_key key) {
  m_entries.erase(key);
}

request_entry* request_table::find(request_key key) {
  const auto it = m_entries.find(key);
  return it == m_entries.end() ? nullptr : &it->second;
}

void request_table::for_each(const std::function<void(request_entry&)>& visit) {
  std::vector<request_entry*> entries;
  entries.reserve(m_entries.size());
  for (auto& [key, entry] : m_entries) {
    entries.push_back(&entry);
  }
  // Sort by arrival, so that a new owner receives the requests in the same order as the previous one.
  std::sort(entries.begin(), entries.end(), [](const request_entry* left, const request_entry* right) {
    return left->m_request.m_arrived < right->m_request.m_arrived;
  });
  for (auto* entry : entries) {
    visit(*entry);
  }
}

std::size_t request_table::count(request_state state) const {
  return static_cast<std::size_t>(std::count_if(
      m_entries.begin(), m_entries.end(), [&](const auto& row) { return row.second.m_state == state; }));
}

} // namespace cardamompond::daemon
