#include "cardamompond/telemetry/request_metrics.hpp"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <functional>
#include <unordered_map>
#include <utility>

namespace cardamompond {
namespace {

using bucket_boundaries = prometheus::Histogram::BucketBoundaries; // seconds

// Waits are short while there is capacity. They end at the latest at the deadline, by default after a minute.
const bucket_boundaries queue_wait_buckets = {0.001, 0.005, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30, 60};

// The buckets are narrow around the expected 95th percentile of 0.39 s.
const bucket_boundaries first_token_buckets = {0.05, 0.1, 0.2, 0.3, 0.39, 0.5, 0.75, 1, 1.5, 2.5, 5, 10, 30};

// The buckets are narrow around the expected 95th percentile of 43 ms.
const bucket_boundaries between_tokens_buckets = {0.005, 0.01, 0.02, 0.03, 0.043, 0.06,
                                                  0.08,  0.12, 0.25, 0.5,  1,     5};

// The range covers calls of plain services such as a stock query (a few milliseconds), the mean response of a
// model (16 s) and long documents (several minutes).
const bucket_boundaries response_time_buckets = {0.005, 0.02, 0.1, 0.5, 1,   2,   4,
                                                 8,     16,   32,  64,  128, 256, 600};

// Twice the number of client accounts at the design size, because accounts that are removed while the daemon
// runs keep their label sets. When the limit is reached, all further accounts share one label set, which
// bounds the memory and the size of the page of metrics.
constexpr std::size_t max_label_sets = 1680;
constexpr std::string_view other_label = "other";

double to_seconds(duration value) {
  return std::chrono::duration<double>(value).count();
}

struct string_hash {
  using is_transparent = void;
  std::size_t operator()(std::string_view text) const { return std::hash<std::string_view>()(text); }
};

template <typename T> using string_map = std::unordered_map<std::string, T, string_hash, std::equal_to<>>;

// The time series of one client account and tier. Each histogram is created by its first observation.
struct label_set {
  prometheus::Labels m_labels;
  prometheus::Histogram* m_queue_wait = nullptr;
  prometheus::Histogram* m_first_token = nullptr;
  prometheus::Histogram* m_between_tokens = nullptr;
  prometheus::Histogram* m_response_time = nullptr;
  string_map<prometheus::Counter*> m_results;
};

} // namespace

class request_metrics::impl {
public:
  // Returns the label set of the account and tier, and adds it if it is missing. The lookup does not build
  // strings, because there is an observation for every token.
  label_set& find_or_add_label_set(std::string_view account, std::string_view tier) {
    auto sets_of_account = m_label_sets.find(account);
    if (sets_of_account != m_label_sets.end()) {
      if (const auto found = sets_of_account->second.find(tier); found != sets_of_account->second.end()) {
        return found->second;
      }
    }
    if (m_label_set_count >= max_label_sets && account != other_label) {
      return find_or_add_label_set(other_label, other_label);
    }
    ++m_label_set_count;
    auto& new_set = m_label_sets[std::string(account)][std::string(tier)];
    new_set.m_labels = {{"client_account", std::string(account)}, {"tier", std::string(tier)}};
    return new_set;
  }

  void observe(std::string_view account, std::string_view tier, prometheus::Histogram* label_set::*histogram,
               prometheus::Family<prometheus::Histogram>& family, const bucket_boundaries& buckets,
               duration observed_time) {
    label_set& set = find_or_add_label_set(account, tier);
    if (set.*histogram == nullptr) {
      set.*histogram = &family.Add(set.m_labels, buckets);
    }
    (set.*histogram)->Observe(to_seconds(observed_time));
  }

  prometheus::Family<prometheus::Histogram>& register_histogram(const char* name, const char* help) {
    return prometheus::BuildHistogram().Name(name).Help(help).Register(m_registry);
  }

  prometheus::Gauge& find_or_add_gauge(std::string_view name, const prometheus::Labels& labels) {
    return prometheus::BuildGauge().Name(std::string(name)).Register(m_registry).Add(labels);
  }

  void raise_counter(std::string_view name, const prometheus::Labels& labels, double value) {
    auto& counter = prometheus::BuildCounter().Name(std::string(name)).Register(m_registry).Add(labels);
    if (const double increase = value - counter.Value(); increase > 0) {
      counter.Increment(increase);
    }
  }

  prometheus::Registry m_registry;
  prometheus::Family<prometheus::Histogram>& m_queue_wait =
      register_histogram("cardamompond_queue_wait_seconds", "Time from arrival to the grant of a permit");
  prometheus::Family<prometheus::Histogram>& m_first_token = register_histogram(
      "cardamompond_first_token_seconds", "Time from arrival to the first part of the answer");
  prometheus::Family<prometheus::Histogram>& m_between_tokens =
      register_histogram("cardamompond_between_tokens_seconds", "Time between parts of a streamed answer");
  prometheus::Family<prometheus::Histogram>& m_response_time =
      register_histogram("cardamompond_whole_answer_seconds", "Time from arrival to the end of the answer");
  prometheus::Family<prometheus::Counter>& m_requests = prometheus::BuildCounter()
                                                            .Name("cardamompond_requests_total")
                                                            .Help("Requests by their result")
                                                            .Register(m_registry);
  prometheus::Family<prometheus::Counter>& m_rejected =
      prometheus::BuildCounter()
          .Name("cardamompond_rejected_total")
          .Help("Requests answered before their client account was known, by error code")
          .Register(m_registry);
  string_map<string_map<label_set>> m_label_sets; // by account and tier; references to values stay valid
  std::size_t m_label_set_count = 0;
};

request_metrics::request_metrics()
    : m_impl(std::make_unique<impl>()) {}

request_metrics::~request_metrics() = default;

void request_metrics::observe_queue_wait(std::string_view account, std::string_view tier, duration value) {
  m_impl->observe(account, tier, &label_set::m_queue_wait, m_impl->m_queue_wait, queue_wait_buckets, value);
}

void request_metrics::observe_first_token(std::string_view account, std::string_view tier, duration value) {
  m_impl->observe(account, tier, &label_set::m_first_token, m_impl->m_first_token, first_token_buckets,
                  value);
}

void request_metrics::observe_between_tokens(std::string_view account, std::string_view tier,
                                             duration value) {
  m_impl->observe(account, tier, &label_set::m_between_tokens, m_impl->m_between_tokens,
                  between_tokens_buckets, value);
}

void request_metrics::observe_response_time(std::string_view account, std::string_view tier, duration value) {
  m_impl->observe(account, tier, &label_set::m_response_time, m_impl->m_response_time, response_time_buckets,
                  value);
}

void request_metrics::count_request(std::string_view account, std::string_view tier,
                                    std::string_view result) {
  label_set& set = m_impl->find_or_add_label_set(account, tier);
  auto found = set.m_results.find(result);
  if (found == set.m_results.end()) {
    auto labels = set.m_labels;
    labels.emplace("result", std::string(result));
    found = set.m_results.emplace(std::string(result), &m_impl->m_requests.Add(labels)).first;
  }
  found->second->Increment();
}

void request_metrics::count_rejected(error_code code) {
  m_impl->m_rejected.Add({{"code", std::string(to_string(code))}}).Increment();
}

void request_metrics::set_gauge(std::string_view name, double value) {
  m_impl->find_or_add_gauge(name, {}).Set(value);
}

void request_metrics::set_gauge(std::string_view name, std::string_view label, std::string_view label_value,
                                double value) {
  m_impl->find_or_add_gauge(name, {{std::string(label), std::string(label_value)}}).Set(value);
}

void request_metrics::set_counter(std::string_view name, double value) {
  m_impl->raise_counter(name, {}, value);
}

void request_metrics::set_counter(std::string_view name, std::string_view label, std::string_view label_value,
                                  double value) {
  m_impl->raise_counter(name, {{std::string(label), std::string(label_value)}}, value);
}

std::string request_metrics::serialize() const {
  return prometheus::TextSerializer().Serialize(m_impl->m_registry.Collect());
}

} // namespace cardamompond
