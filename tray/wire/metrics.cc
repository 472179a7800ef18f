// Metrics on prometheus-cpp. See metrics.h.

#include "tray/wire/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <array>
#include <map>
#include <mutex>

namespace baobabtray {
namespace {

using prometheus::Counter;
using prometheus::Family;
using prometheus::Gauge;
using prometheus::Histogram;

Family<Counter>& AddCounterFamily(prometheus::Registry* r, const char* name,
                                  const char* help) {
  return prometheus::BuildCounter().Name(name).Help(help).Register(*r);
}

Gauge& AddGauge(prometheus::Registry* r, const char* name, const char* help) {
  return prometheus::BuildGauge().Name(name).Help(help).Register(*r).Add({});
}

Counter& AddCounter(prometheus::Registry* r, const char* name,
                    const char* help) {
  return AddCounterFamily(r, name, help).Add({});
}

const Histogram::BucketBoundaries& LatencyBounds() {
  static const Histogram::BucketBoundaries kBounds = {
      0.001, 0.002, 0.005, 0.01, 0.02, 0.03, 0.05,
      0.08,  0.11,  0.15,  0.25, 0.5,  1,    5};
  return kBounds;
}

constexpr size_t kOutcomeCount = kQueryOutcomeNames.size();

}  // namespace

struct metrics::impl {
  // Metrics of one service, cached.
  struct service_metrics {
    std::array<Counter*, kOutcomeCount> outcomes;
    Histogram* latency;
    Counter* shards_total;
    Counter* shards_answered;
  };

  prometheus::Registry registry;
  Family<Counter>& client_faults =
      AddCounterFamily(&registry, "baobabtray_client_faults_total",
                       "Clients refused or closed, by reason");
  Family<Counter>& queries = AddCounterFamily(
      &registry, "baobabtray_queries_total", "Queries by outcome");
  Family<Histogram>& latency =
      prometheus::BuildHistogram()
          .Name("baobabtray_query_seconds")
          .Help("Time from a query's arrival to its answer")
          .Register(registry);
  Family<Counter>& total_shards = AddCounterFamily(
      &registry, "baobabtray_shards_total", "Shards that answers had to cover");
  Family<Counter>& answered =
      AddCounterFamily(&registry, "baobabtray_shards_answered_total",
                       "Shards that answers did cover");
  Family<Counter>& refusals =
      AddCounterFamily(&registry, "baobabtray_refusals_total",
                       "Queries refused before any attempt");
  Family<Counter>& attempts = AddCounterFamily(
      &registry, "baobabtray_attempts_total", "Attempts by kind and result");
  Family<Counter>& store_calls = AddCounterFamily(
      &registry, "baobabtray_store_calls_total", "Calls to the store");
  Gauge& in_flight =
      AddGauge(&registry, "baobabtray_queries_in_flight", "Queries in hand");
  Gauge& waiting = AddGauge(&registry, "baobabtray_shards_waiting",
                            "Shard requests that wait for room");
  Gauge& revision = AddGauge(&registry, "baobabtray_config_revision",
                             "Revision of the configuration in force");
  Gauge& hosts =
      AddGauge(&registry, "baobabtray_hosts_live", "Live hosts, this included");
  Gauge& control_seconds = AddGauge(&registry, "baobabtray_control_cpu_seconds",
                                    "Processor time of the control thread");
  Counter& sent = AddCounter(&registry, "baobabtray_control_sent_bytes_total",
                             "Bytes of control messages sent");
  Counter& received =
      AddCounter(&registry, "baobabtray_control_received_bytes_total",
                 "Bytes of control messages received");
  std::array<std::array<Counter*, kAttemptEndNames.size()>,
             kAttemptKindNames.size()>
      attempt_counters;

  std::mutex mutex;
  std::map<std::string, service_metrics> services;

  service_metrics& GetService(const std::string& name) {
    std::lock_guard lock(mutex);
    auto found = services.find(name);
    if (found != services.end()) return found->second;
    service_metrics m;
    for (size_t i = 0; i < kOutcomeCount; ++i) {
      m.outcomes[i] = &queries.Add(
          {{"service", name},
           {"outcome", std::string(kQueryOutcomeNames[i].second)}});
    }
    m.latency = &latency.Add({{"service", name}}, LatencyBounds());
    m.shards_total = &total_shards.Add({{"service", name}});
    m.shards_answered = &answered.Add({{"service", name}});
    return services.emplace(name, m).first->second;
  }
};

metrics::metrics() : impl_(new impl) {
  for (size_t k = 0; k < kAttemptKindNames.size(); ++k) {
    for (size_t e = 0; e < kAttemptEndNames.size(); ++e) {
      impl_->attempt_counters[k][e] = &impl_->attempts.Add(
          {{"kind", std::string(kAttemptKindNames[k].second)},
           {"result", std::string(kAttemptEndNames[e].second)}});
    }
  }
}

metrics::~metrics() = default;

void metrics::CountQuery(const std::string& service, query_outcome outcome,
                         micros latency, int total, int answered) {
  impl::service_metrics& m = impl_->GetService(service);
  m.outcomes[static_cast<size_t>(outcome)]->Increment();
  m.latency->Observe(static_cast<double>(latency) / kSecond);
  m.shards_total->Increment(total);
  m.shards_answered->Increment(answered);
}

void metrics::CountRefusal(const std::string& service, admission reason) {
  impl_->refusals
      .Add({{"service", service},
            {"reason", std::string(NameOf(kAdmissionNames, reason))}})
      .Increment();
}

void metrics::CountClientFault(client_fault fault) {
  impl_->client_faults
      .Add({{"reason", std::string(NameOf(kClientFaultNames, fault))}})
      .Increment();
}

void metrics::CountAttempt(attempt_kind kind, attempt_end end) {
  impl_->attempt_counters[static_cast<size_t>(kind)][static_cast<size_t>(end)]
      ->Increment();
}

void metrics::SetInFlight(int queries, int waiting) {
  impl_->in_flight.Set(queries);
  impl_->waiting.Set(waiting);
}

void metrics::SetRevision(int64_t revision) {
  impl_->revision.Set(static_cast<double>(revision));
}

void metrics::SetLiveHosts(int live) { impl_->hosts.Set(live); }

void metrics::AddControlBytes(size_t sent, size_t received) {
  impl_->sent.Increment(static_cast<double>(sent));
  impl_->received.Increment(static_cast<double>(received));
}

void metrics::CountStoreCall(std::string_view call, std::string_view fault) {
  impl_->store_calls
      .Add({{"call", std::string(call)}, {"fault", std::string(fault)}})
      .Increment();
}

void metrics::SetControlCpuSeconds(double seconds) {
  impl_->control_seconds.Set(seconds);
}

std::string metrics::Render() const {
  return prometheus::TextSerializer().Serialize(impl_->registry.Collect());
}

}  // namespace baobabtray
