// Admission of queries. See admission.h.

#include "tray/query/admission.h"

#include <algorithm>

#include "tray/base/hash.h"

namespace baobabtray {
namespace {

int WeightOf(const service_topology& t, int customer) {
  return customer < 0 ? 1 : t.customers[customer].weight;
}

// Queries that a customer may have in hand once the host is half full.
int PartOf(const admission_state& state, const service_topology& t,
           int customer) {
  int all = 1;  // those without a customer share one part
  for (const auto& c : t.customers) all += c.weight;
  return std::max(1, state.max_active_queries * WeightOf(t, customer) / all);
}

// Requests that this host may have in flight for the shard, over its replicas.
int WindowOf(const fleet& f, const shard_group& group, micros now) {
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
                         priority rank, micros now) {
  const fleet& f = r.backends;
  const latency_histogram& latency = f.services[group.service].latency;
  if (r.waiting.size == 0) return MedianOf(latency, 0);
  shard_key key =
      ShardKey(f.current_view->service_hashes[group.service], group.shard);
  queue_outlook outlook = OutlookOf(r.waiting, key, rank);
  // Without a window of its own, the host hands over and can't tell.
  int window = WindowOf(f, group, now);
  if (window == 0) return MedianOf(latency, 0);
  double turn = static_cast<double>(MedianOf(latency, 0)) / window;
  bool others_wait = outlook.ahead > 0 || outlook.part < 1;
  double wait = others_wait ? (outlook.ahead + 1) * turn / outlook.part : 0;
  return P85Of(latency, 0) + static_cast<micros>(wait);
}

admission Admit(const routing_state& r, const admission_state& state,
                int service, priority rank, micros left, micros now) {
  if (state.draining) return admission::kDraining;
  if (state.active_queries >= state.max_active_queries)
    return admission::kHostFull;
  const topology_view& v = *r.backends.current_view;
  if (2 * state.active_queries > state.max_active_queries) {
    int customer = v.customer_of[service];
    auto found = state.by_customer.find(customer);
    int in_hand = found == state.by_customer.end() ? 0 : found->second;
    if (in_hand >= PartOf(state, *v.topology, customer)) {
      return admission::kCustomerFull;
    }
  }
  for (int group : v.plans[service]) {
    if (ExpectedShardTime(r, v.groups[group], rank, now) > left) {
      return admission::kTooLate;
    }
  }
  return admission::kAccepted;
}

void AddActiveQuery(admission_state* state, int customer) {
  ++state->active_queries;
  ++state->by_customer[customer];
}

void RemoveActiveQuery(admission_state* state, int customer) {
  --state->active_queries;
  --state->by_customer[customer];
}

}  // namespace baobabtray
