#include "cardamompond/standins/host_list.hpp"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>

#include <algorithm>
#include <sstream>

namespace cardamompond::standins {

host_list::host_list(std::uint64_t seed)
    : standin(seed) {
  m_parameters.add("arrival_lag_ms", &m_arrival_lag_ms);
  m_parameters.add("departure_lag_ms", &m_departure_lag_ms);
  m_parameters.add("outage", &m_outage);
  m_parameters.add("live", &m_live);
}

void host_list::on_parameters_changed(const boost::json::object& values) {
  if (!values.contains("live")) {
    return;
  }
  std::istringstream addresses(m_live);
  for (std::string address; std::getline(addresses, address, ',');) {
    m_hosts[address].push_back({monotonic_now(), "live"});
  }
}

void host_list::handle(net::http_exchange& exchange) {
  if (exchange.request().path() != "/hosts") {
    respond_json(exchange, 404, {{"error", "no such call"}});
  } else if (m_outage) {
    respond_json(exchange, 503, {{"error", "outage"}});
  } else if (exchange.request().m_method == "POST") {
    record_change(exchange);
  } else {
    boost::json::array hosts;
    const time_point now = monotonic_now();
    for (const auto& [address, changes] : m_hosts) {
      const auto newest = std::find_if(changes.rbegin(), changes.rend(), [&](const change& candidate) {
        return candidate.m_visible_at <= now;
      });
      if (newest != changes.rend() && newest->m_state != "gone") {
        hosts.push_back({{"address", address}, {"state", newest->m_state}});
      }
    }
    respond_json(exchange, 200, {{"hosts", std::move(hosts)}});
  }
}

void host_list::record_change(net::http_exchange& exchange) {
  boost::system::error_code error;
  const auto body = boost::json::parse(exchange.request().m_body, error);
  const auto* fields = body.if_object();
  const auto* address = fields != nullptr ? fields->if_contains("address") : nullptr;
  const auto* state = fields != nullptr ? fields->if_contains("state") : nullptr;
  if (error || address == nullptr || !address->is_string() || state == nullptr || !state->is_string()) {
    respond_json(exchange, 400, {{"error", "expected address and state"}});
    return;
  }
  const std::string new_state(state->as_string());
  const auto lag = new_state == "live" ? m_arrival_lag_ms : m_departure_lag_ms;
  const std::string key(address->as_string());
  m_hosts[key].push_back({monotonic_now() + milliseconds(lag), new_state});
  history_entry& entry = m_history.add({.m_key = key, .m_route = new_state, .m_executed = true});
  history::record_outcome(entry, "completed");
  respond_json(exchange, 200, {{"visible_in_ms", lag}});
}

} // namespace cardamompond::standins
