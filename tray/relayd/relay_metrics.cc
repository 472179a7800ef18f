// Registration and update of the metrics.

#include "tray/relayd/relay_metrics.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <algorithm>
#include <array>

#include "tray/base/log.h"

namespace baobabtray {
namespace {

using prometheus::Counter;
using prometheus::Family;
using prometheus::Gauge;
using prometheus::Histogram;

constexpr size_t kOutcomes = kRelayOutcomeNames.size();
constexpr size_t kKinds = kRelayAttemptOutcomeNames.size();

Family<Counter>& AddCounters(prometheus::Registry* r, const char* name,
                             const char* help) {
  return prometheus::BuildCounter().Name(name).Help(help).Register(*r);
}

Gauge& AddGauge(prometheus::Registry* r, const char* name, const char* help) {
  return prometheus::BuildGauge().Name(name).Help(help).Register(*r).Add({});
}

// In seconds, from the answer of a nearby server to a full deadline.
const Histogram::BucketBoundaries& LatencyBuckets() {
  static const Histogram::BucketBoundaries buckets = {
      0.005, 0.01, 0.02, 0.04, 0.08, 0.12, 0.25, 0.5, 1, 2, 4};
  return buckets;
}

// Ranks of chosen servers that are counted apart; the last one stands for all
// higher ones too.
constexpr size_t kRanks = 4;

// 1 is as usual.
const Histogram::BucketBoundaries& SlowdownBuckets() {
  static const Histogram::BucketBoundaries buckets = {0.5, 0.8, 1.1, 1.5,
                                                      2,   3,   5};
  return buckets;
}

std::string Label(std::string_view name) { return std::string(name); }

}  // namespace

struct relay_metrics::impl {
  prometheus::Registry registry;
  // Resolved once: a lookup by labels costs more than the increment.
  std::array<std::array<Counter*, kOutcomes>, 2> requests;
  std::array<Histogram*, 2> latency;
  std::array<std::array<Counter*, kKinds>, 2> attempts;
  Family<Counter>* own_answers;
  Family<Counter>* store_calls;
  Family<Counter>* server_events;
  std::array<Counter*, kRanks> choices;
  Histogram* slowdown;
  Family<Counter>* quota_requests;
  Family<Counter>* quota_questions;
  Family<Counter>* quota_credits;
  Gauge* quota_parts;
  Family<Gauge>* rollout_state;
  Family<Gauge>* rollout_requests;
  Family<Counter>* client_faults;
  Gauge* client_bytes;
  Gauge* version;
  Gauge* routes;
  Gauge* customers;
  Gauge* customer_errors;
  Counter* stale_keys;
  Gauge* store_era;
  Gauge* servers;
  Gauge* hosts;
  Gauge* in_flight;
  Gauge* connections;
  Gauge* dropped_log_lines;
};

relay_metrics::relay_metrics() : impl_(new impl) {
  prometheus::Registry* r = &impl_->registry;
  auto& requests = AddCounters(r, "baobabtray_relay_requests_total",
                               "requests by kind of route and outcome");
  auto& latency = prometheus::BuildHistogram()
                      .Name("baobabtray_relay_seconds")
                      .Help("time until a request's answer")
                      .Register(*r);
  auto& attempts = AddCounters(r, "baobabtray_relay_attempts_total",
                               "attempts at backend servers by how they ended");
  const std::array<const char*, 2> kinds = {"single", "gather"};
  const std::array<const char*, 2> tries = {"first", "extra"};
  for (size_t i = 0; i < 2; ++i) {
    impl_->latency[i] = &latency.Add({{"kind", kinds[i]}}, LatencyBuckets());
    for (size_t o = 0; o < kOutcomes; ++o) {
      impl_->requests[i][o] =
          &requests.Add({{"kind", kinds[i]},
                         {"outcome", Label(kRelayOutcomeNames[o].second)}});
    }
    for (size_t k = 0; k < kKinds; ++k) {
      impl_->attempts[i][k] =
          &attempts.Add({{"try", tries[i]},
                         {"end", Label(kRelayAttemptOutcomeNames[k].second)}});
    }
  }
  impl_->own_answers = &AddCounters(r, "baobabtray_relay_own_answers_total",
                                    "answers that this tier gave by itself");
  impl_->store_calls = &AddCounters(r, "baobabtray_relay_store_calls_total",
                                    "calls to the store by result");
  impl_->server_events =
      &AddCounters(r, "baobabtray_relay_server_events_total",
                   "what servers have begun or ceased to state in answers");
  auto& choices =
      AddCounters(r, "baobabtray_relay_choices_total",
                  "requests sent, by the number of servers with a lower "
                  "expected latency, where servers report their slowdown");
  for (size_t i = 0; i < kRanks; ++i) {
    impl_->choices[i] = &choices.Add(
        {{"rank", std::to_string(i) + (i + 1 == kRanks ? "+" : "")}});
  }
  impl_->slowdown = &prometheus::BuildHistogram()
                         .Name("baobabtray_relay_server_slowdown")
                         .Help(
                             "time of work relative to the usual, as servers "
                             "report it")
                         .Register(*r)
                         .Add({}, SlowdownBuckets());
  impl_->quota_requests =
      &AddCounters(r, "baobabtray_relay_quota_requests_total",
                   "requests of customers with a limit by result");
  impl_->quota_questions =
      &AddCounters(r, "baobabtray_relay_quota_questions_total",
                   "questions to lenders of quota by how they ended");
  impl_->quota_credits =
      &AddCounters(r, "baobabtray_relay_quota_credits_total",
                   "credits that other hosts wanted, granted and denied");
  impl_->quota_parts = &AddGauge(r, "baobabtray_relay_quota_parts",
                                 "parts of limits that this host lends");
  impl_->rollout_state =
      &prometheus::BuildGauge()
           .Name("baobabtray_relay_rollout_state")
           .Help("1 for the state of a service's latest roll-out")
           .Register(*r);
  impl_->rollout_requests =
      &prometheus::BuildGauge()
           .Name("baobabtray_relay_rollout_requests")
           .Help("requests since the order of a roll-out, by version")
           .Register(*r);
  impl_->client_faults = &AddCounters(r, "baobabtray_client_faults_total",
                                      "clients refused or closed, by reason");
  impl_->client_bytes = &AddGauge(r, "baobabtray_client_bytes",
                                  "bytes that are held for clients");
  impl_->version = &AddGauge(r, "baobabtray_relay_routes_version",
                             "version of the routes in force");
  impl_->routes = &AddGauge(r, "baobabtray_relay_routes", "routes in force");
  impl_->store_era =
      &AddGauge(r, "baobabtray_relay_store_era",
                "era of the store; rises when it comes back older");
  impl_->customers =
      &AddGauge(r, "baobabtray_relay_customers", "customers in force");
  impl_->customer_errors =
      &AddGauge(r, "baobabtray_relay_customer_errors",
                "customers and keys that were left out as invalid");
  impl_->stale_keys =
      &AddCounters(r, "baobabtray_relay_stale_keys_total",
                   "requests refused since knowledge of keys is too old")
           .Add({});
  impl_->servers =
      &AddGauge(r, "baobabtray_relay_servers", "registered backend servers");
  impl_->hosts = &AddGauge(r, "baobabtray_relay_hosts", "live hosts");
  impl_->in_flight =
      &AddGauge(r, "baobabtray_relay_in_hand", "requests not yet answered");
  impl_->connections = &AddGauge(r, "baobabtray_relay_connections_opened",
                                 "connections opened to backend servers");
  impl_->dropped_log_lines =
      &AddGauge(r, "baobabtray_log_lines_dropped", "log lines not written");
}

relay_metrics::~relay_metrics() = default;

void relay_metrics::CountRequest(bool is_sharded, relay_outcome outcome,
                                 micros latency) {
  impl_->requests[is_sharded ? 1 : 0][static_cast<size_t>(outcome)]
      ->Increment();
  impl_->latency[is_sharded ? 1 : 0]->Observe(static_cast<double>(latency) /
                                              kSecond);
}

void relay_metrics::CountChoice(int rank) {
  if (rank < 0) return;
  impl_->choices[std::min(static_cast<size_t>(rank), kRanks - 1)]->Increment();
}

void relay_metrics::CountSlowdown(double slowdown) {
  impl_->slowdown->Observe(slowdown);
}

void relay_metrics::CountClientFault(client_fault fault) {
  impl_->client_faults
      ->Add({{"reason", Label(NameOf(kClientFaultNames, fault))}})
      .Increment();
}

void relay_metrics::SetClientBytes(size_t bytes) {
  impl_->client_bytes->Set(static_cast<double>(bytes));
}

void relay_metrics::CountServerEvent(server_event event) {
  impl_->server_events
      ->Add({{"event", Label(NameOf(kServerEventNames, event))}})
      .Increment();
}

void relay_metrics::CountLocalReply(local_reply answer) {
  impl_->own_answers->Add({{"answer", Label(NameOf(kLocalReplyNames, answer))}})
      .Increment();
}

void relay_metrics::CountAttempt(bool extra, relay_attempt_outcome end) {
  impl_->attempts[extra ? 1 : 0][static_cast<size_t>(end)]->Increment();
}

void relay_metrics::CountStoreCall(std::string_view call, store_status end) {
  impl_->store_calls
      ->Add({{"call", Label(call)},
             {"end", Label(NameOf(kStoreStatusNames, end))}})
      .Increment();
}

void relay_metrics::CountQuotaResult(quota_result result) {
  impl_->quota_requests
      ->Add({{"result", Label(NameOf(kQuotaResultNames, result))}})
      .Increment();
}

void relay_metrics::CountQuotaQuestion(quota_question_end end) {
  impl_->quota_questions
      ->Add({{"end", Label(NameOf(kQuotaQuestionEndNames, end))}})
      .Increment();
}

void relay_metrics::CountQuotaCredits(int wanted, int granted) {
  impl_->quota_credits->Add({{"result", "granted"}}).Increment(granted);
  impl_->quota_credits->Add({{"result", "denied"}}).Increment(wanted - granted);
}

void relay_metrics::SetQuotaParts(int parts) { impl_->quota_parts->Set(parts); }

void relay_metrics::SetRoutes(int64_t version, int routes) {
  impl_->version->Set(static_cast<double>(version));
  impl_->routes->Set(routes);
}

void relay_metrics::SetCustomers(int customers, int errors) {
  impl_->customers->Set(customers);
  impl_->customer_errors->Set(errors);
}

void relay_metrics::CountStaleKeys() { impl_->stale_keys->Increment(); }

void relay_metrics::SetStoreEra(uint64_t era) {
  impl_->store_era->Set(static_cast<double>(era));
}

void relay_metrics::SetServers(int servers, int hosts) {
  impl_->servers->Set(servers);
  impl_->hosts->Set(hosts);
}

void relay_metrics::SetRolloutState(const std::string& service,
                                    rollout_state state) {
  for (const auto& [value, name] : kRolloutStateNames) {
    impl_->rollout_state->Add({{"service", service}, {"state", Label(name)}})
        .Set(value == state ? 1 : 0);
  }
}

void relay_metrics::SetRolloutRequests(const std::string& service,
                                       int64_t requests, int64_t exposed) {
  auto set = [&](const char* to, int64_t count) {
    impl_->rollout_requests->Add({{"service", service}, {"to", to}})
        .Set(static_cast<double>(count));
  };
  set("target", exposed);
  set("others", requests - exposed);
}

void relay_metrics::SetInFlight(int requests) {
  impl_->in_flight->Set(requests);
}

void relay_metrics::SetConnectionsOpened(uint64_t opened) {
  impl_->connections->Set(static_cast<double>(opened));
}

std::string relay_metrics::Render() const {
  impl_->dropped_log_lines->Set(static_cast<double>(DroppedLogLines()));
  return prometheus::TextSerializer().Serialize(impl_->registry.Collect());
}

}  // namespace baobabtray
