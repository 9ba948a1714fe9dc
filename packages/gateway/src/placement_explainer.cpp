#include "cardamompond/gateway/placement_explainer.hpp"

#include "request_processor.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <charconv>
#include <cmath>

namespace cardamompond::gateway {
namespace {

namespace json = boost::json;

// The timeout of requests whose route and query state none.
constexpr milliseconds default_timeout{60'000};

net::http_response make_json_response(int status, const json::object& body) {
  return {status, {{"Content-Type", "application/json"}}, json::serialize(body) + "\n"};
}

net::http_response make_problem(int status, std::string_view message) {
  return make_json_response(status, {{"error", message}});
}

// Reads a parameter that is a whole number. Returns false if it is something else; a missing one is left as
// it is.
bool read_number(const net::http_request& request, std::string_view name, std::uint32_t& target) {
  const auto text = request.query(name);
  if (!text) {
    return true;
  }
  const auto [end, error] = std::from_chars(text->data(), text->data() + text->size(), target);
  return error == std::errc() && end == text->data() + text->size();
}

double round_ms(double seconds) {
  constexpr double ms_per_s = 1000;
  return std::round(seconds * ms_per_s);
}

json::array to_json(std::span<const fleet::server_explanation> servers) {
  json::array list;
  for (const auto& each : servers) {
    json::value age = nullptr;
    if (each.m_statement_age) {
      age = round_ms(std::chrono::duration<double>(*each.m_statement_age).count());
    }
    list.push_back({{"server", each.m_server},
                    {"availability_zone", each.m_availability_zone},
                    {"running", each.m_running},
                    {"slots", each.m_slots},
                    {"limit", each.m_limit},
                    {"expected_first_ms", round_ms(each.m_first_s)},
                    {"expected_end_ms", round_ms(each.m_end_s)},
                    {"expected_pause_ms", round_ms(each.m_pause_s)},
                    {"statement_age_ms", age},
                    {"ruled_out", each.m_exclusion},
                    {"fit", each.m_fit}});
  }
  return list;
}

// A request as the query describes it.
struct described_request {
  fleet::submission m_submission;
  std::string m_account;
  double m_units = 0; // of the quota
};

// Finds the first route of the service if the query names no route.
const fleet::route* find_route(const fleet::route_table& routes, const net::http_request& request) {
  if (const auto service = request.query("service")) {
    const auto& all = routes.source().m_routes;
    const auto found = std::find_if(all.begin(), all.end(), [&](const fleet::route& each) {
      return std::any_of(each.m_services.begin(), each.m_services.end(),
                         [&](const fleet::weighted_service& target) { return target.m_service == *service; });
    });
    return found == all.end() ? nullptr : &*found;
  }
  return routes.find_route(request.query("host").value_or(""), request.query("path").value_or("/"));
}

result<described_request, std::string> describe(const fleet::route_table& routes, const fleet::route& route,
                                                const net::http_request& request, time_point now) {
  described_request described;
  auto& submission = described.m_submission;
  submission.m_service =
      request.query("service").value_or(std::string(fleet::route_table::pick_service(route, 0)));
  submission.m_rank = route.m_rank;
  submission.m_route_rank = route.m_rank;
  std::uint32_t deadline_ms =
      static_cast<std::uint32_t>((route.m_timeout.count() > 0 ? route.m_timeout : default_timeout).count());
  std::uint32_t stated_ms = deadline_ms;
  if (!read_number(request, "prompt_tokens", submission.m_prompt_tokens) ||
      !read_number(request, "output_tokens", submission.m_output_tokens) ||
      !read_number(request, "deadline_ms", stated_ms)) {
    return std::string("prompt_tokens, output_tokens and deadline_ms must be whole numbers");
  }
  deadline_ms = std::min(deadline_ms, stated_ms);
  if (const auto name = request.query("account")) {
    const auto& accounts = routes.source().m_client_accounts;
    const auto found = std::find_if(accounts.begin(), accounts.end(),
                                    [&](const fleet::client_account& each) { return each.m_name == *name; });
    if (found == accounts.end()) {
      return std::string("no such account");
    }
    described.m_account = *name;
    submission.m_rank = found->m_has_rank ? found->m_rank : route.m_rank;
    described.m_units = found->m_counts_tokens
                            ? static_cast<double>(submission.m_prompt_tokens) + submission.m_output_tokens
                            : 1;
  }
  submission.m_arrived = now;
  submission.m_first_token_due = now + route.m_first_token_target;
  submission.m_deadline = now + milliseconds(deadline_ms);
  submission.m_abandoned_at = submission.m_deadline;
  if (route.m_streamed) {
    submission.m_abandoned_at = std::min(submission.m_deadline, now + abandon_time(route));
  }
  return described;
}

} // namespace

net::http_response explain_placement(admission_controller& admission, const net::http_request& request) {
  constexpr int status_ok = 200;
  constexpr int status_bad_request = 400;
  constexpr int status_not_found = 404;
  constexpr int status_unavailable = 503;
  const auto routes = admission.known_fleet().routes();
  if (!routes) {
    return make_problem(status_unavailable, "this daemon has no declarations yet");
  }
  const fleet::route* route = find_route(*routes, request);
  if (route == nullptr) {
    return make_problem(status_not_found, "no route for this host and path, or to this service");
  }
  const time_point now = monotonic_now();
  const auto described = describe(*routes, *route, request, now);
  if (!described) {
    return make_problem(status_bad_request, described.error());
  }
  json::object answer = {{"route", route->m_name}, {"service", described->m_submission.m_service}};
  fleet::account_quotas quotas = admission.quotas(); // a copy, so that nothing is charged
  if (!described->m_account.empty() && !quotas.admit(described->m_account, described->m_units, now)) {
    answer["decision"] = "refused";
    answer["reason"] = "the account is over its quota";
    answer["retry_after_ms"] =
        std::clamp(quotas.time_to_refill(described->m_account, now), min_retry_after, max_retry_after)
            .count();
    return make_json_response(status_ok, answer);
  }
  const auto explanation = admission.dispatcher().explain(described->m_submission, now);
  answer["learned_limits"] = explanation.m_learned_limits;
  switch (explanation.m_decision) {
  case fleet::expected_decision::granted:
    answer["decision"] = "granted";
    answer["server"] = explanation.m_server;
    break;
  case fleet::expected_decision::waits:
    answer["decision"] = "waits";
    break;
  case fleet::expected_decision::refused:
    answer["decision"] = "refused";
    answer["reason"] = "no room on any backend server";
    answer["retry_after_ms"] = std::clamp(std::chrono::duration_cast<milliseconds>(explanation.m_retry_after),
                                          min_retry_after, max_retry_after)
                                   .count();
    break;
  }
  answer["servers"] = to_json(explanation.m_servers);
  return make_json_response(status_ok, answer);
}

} // namespace cardamompond::gateway
