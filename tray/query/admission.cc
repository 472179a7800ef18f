// Admission control for queries. See admission.h.

#include "tray/query/admission.h"

#include <algorithm>

#include "tray/base/hash.h"

namespace baobabtray {
namespace {

int WeightOf(const service_topology& t, int customer) {
  return customer < 0 ? 1 : t.customers[customer].weight;
}

// Active queries that a customer may have while the host is over half full.
int CustomerQuota(const admission_state& state, const service_topology& t,
                  int customer) {
  int total_weight = 1;  // services without a customer count as one of weight 1
  for (const auto& c : t.customers) total_weight += c.weight;
  return std::max(
      1, state.max_active_queries * WeightOf(t, customer) / total_weight);
}

// Requests that this host may have in flight for the shard, over all replicas.
int TotalWindow(const fleet& f, const shard_group& group, micros now) {
  int window = 0;
  for (int server : group.servers) {
    if (!IsInService(f, server)) continue;
    const server_window& w = f.servers[server].window;
    window += w.in_flight + AvailableCapacity(w, now);
  }
  return window;
}

}  // namespace

micros ExpectedShardTime(const routing_state& r, const shard_group& group,
                         priority level, micros now) {
  const fleet& f = r.backends;
  const latency_histogram& latency = f.services[group.service].latency;
  if (r.waiting.size == 0) return MedianOf(latency, 0);
  shard_key key =
      ShardKey(f.current_view->service_hashes[group.service], group.shard);
  queue_estimate estimate = EstimateQueue(r.waiting, key, level);
  // Without a window, requests are forwarded and their wait is not known here.
  int window = TotalWindow(f, group, now);
  if (window == 0) return MedianOf(latency, 0);
  double time_per_grant = static_cast<double>(MedianOf(latency, 0)) / window;
  bool others_wait = estimate.ahead > 0 || estimate.grant_fraction < 1;
  double wait = others_wait ? (estimate.ahead + 1) * time_per_grant /
                                  estimate.grant_fraction
                            : 0;
  return P85Of(latency, 0) + static_cast<micros>(wait);
}

admission Admit(const routing_state& r, const admission_state& state,
                int service, priority level, micros time_left, micros now) {
  if (state.draining) return admission::kDraining;
  if (state.active_queries >= state.max_active_queries)
    return admission::kHostFull;
  const topology_view& v = *r.backends.current_view;
  if (2 * state.active_queries > state.max_active_queries) {
    int customer = v.customer_of[service];
    auto found = state.queries_by_customer.find(customer);
    int active = found == state.queries_by_customer.end() ? 0 : found->second;
    if (active >= CustomerQuota(state, *v.topology, customer)) {
      return admission::kCustomerFull;
    }
  }
  for (int group : v.plans[service]) {
    if (ExpectedShardTime(r, v.groups[group], level, now) > time_left) {
      return admission::kTooLate;
    }
  }
  return admission::kAccepted;
}

void AddActiveQuery(admission_state* state, int customer) {
  ++state->active_queries;
  ++state->queries_by_customer[customer];
}

void RemoveActiveQuery(admission_state* state, int customer) {
  --state->active_queries;
  --state->queries_by_customer[customer];
}

}  // namespace baobabtray
