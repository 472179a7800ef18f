// Updates of the routing state.

#include "tray/relayd/relay_routing_state.h"

#include <algorithm>
#include <random>

#include "tray/base/log.h"
#include "tray/relay/warm.h"

namespace baobabtray {
namespace {

void Apply(relay_routing_state*, const no_fact&, micros) {}

void Apply(relay_routing_state* s, const routes_fact& f, micros now) {
  if (s->table != nullptr && f.table->version <= s->table->version) return;
  s->table = f.table;
  SetTerms(&s->relay.pool, f.table->services);
  NoteShards(&s->relay.pool, *f.table, now);
  Log(log_level::kInfo, "routes_applied",
      {{"version", std::to_string(f.table->version)},
       {"routes", std::to_string(f.table->routes.size())}});
}

void Apply(relay_routing_state* s, const server_fact& f, micros now) {
  log_level level = f.server.leaving ? log_level::kInfo : log_level::kDebug;
  Log(level, f.server.leaving ? "server_leaving" : "server_registered",
      {{"server", f.server.id}, {"service", f.server.service}});
  PutServer(&s->relay.pool, f.server, now);
}

void Apply(relay_routing_state* s, const server_gone_fact& f, micros now) {
  Log(log_level::kInfo, "server_removed", {{"server", f.id}});
  RemoveServer(&s->relay.pool, f.id, now);
}

void Apply(relay_routing_state* s, const out_of_service_fact& f, micros) {
  Log(log_level::kInfo, f.out ? "out_of_service" : "back_in_service",
      {{"data_centre", f.data_centre}});
  if (f.out) {
    s->relay.pool.out_of_service.insert(f.data_centre);
  } else {
    s->relay.pool.out_of_service.erase(f.data_centre);
  }
}

void UpdateHostCount(relay_routing_state* s) {
  size_t others = s->live_hosts.size() - s->live_hosts.count(s->host_name);
  SetHosts(&s->relay.pool, static_cast<int>(others) + 1, s->recorded_hosts);
}

void Apply(relay_routing_state* s, const host_fact& f, micros) {
  if (f.live) {
    s->live_hosts.insert(f.host.name);
  } else {
    s->live_hosts.erase(f.host.name);
  }
  UpdateHostCount(s);
}

void Apply(relay_routing_state* s, const fleet_size_fact& f, micros) {
  s->recorded_hosts = f.hosts;
  UpdateHostCount(s);
}

}  // namespace

void InitRelayRoutingState(relay_routing_state* s, const settings& own,
                           micros now) {
  s->host_name = own.name;
  s->relay.random.seed(std::random_device{}());
  relay_pool& p = s->relay.pool;
  p.host = own.name;
  p.data_centre = own.data_centre;
  p.region = own.region;
  for (const region_member& at : own.relay.places) {
    p.region_of[at.data_centre] = at.region;
  }
  p.extra = {.ratio = own.relay.extra_ratio, .window = own.relay.extra_window};
  p.extra_floor = own.relay.extra_floor;
  p.leave_time = own.relay.leave;
  p.started_at = now;
  SetHosts(&p, 1, 0);
}

void ApplyFacts(relay_routing_state* s, const std::vector<store_fact>& facts,
                micros now) {
  SweepServers(&s->relay.pool, now);
  for (const store_fact& fact : facts) {
    std::visit([&](const auto& f) { Apply(s, f, now); }, fact);
  }
}

}  // namespace baobabtray
