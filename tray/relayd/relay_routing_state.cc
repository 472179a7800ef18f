// Facts from the store into beliefs. See relay_routing_state.h.

#include "tray/relayd/relay_routing_state.h"

#include <algorithm>
#include <random>

#include "tray/base/log.h"
#include "tray/relay/preconnect.h"

namespace baobabtray {
namespace {

void Learn(relay_routing_state*, const ignored_item&, micros) {}

void Learn(relay_routing_state* b, const routes_update& f, micros now) {
  if (b->table != nullptr && f.table->version <= b->table->version) return;
  b->table = f.table;
  SetServiceLimits(&b->state.pool, f.table->services);
  MarkShardsUsed(&b->state.pool, *f.table, now);
  Log(log_level::kInfo, "routes_in_force",
      {{"version", std::to_string(f.table->version)},
       {"routes", std::to_string(f.table->routes.size())}});
}

void Learn(relay_routing_state* b, const server_update& f, micros now) {
  log_level level = f.server.leaving ? log_level::kInfo : log_level::kDebug;
  Log(level, f.server.leaving ? "server_leaving" : "server_registered",
      {{"server", f.server.id}, {"service", f.server.service}});
  UpsertServer(&b->state.pool, f.server, now);
}

void Learn(relay_routing_state* b, const server_removal& f, micros now) {
  Log(log_level::kInfo, "server_gone", {{"server", f.id}});
  RemoveServer(&b->state.pool, f.id, now);
}

void Learn(relay_routing_state* b, const data_centre_update& f, micros) {
  Log(log_level::kInfo, f.out_of_service ? "out_of_service" : "back_in_service",
      {{"data_centre", f.data_centre}});
  if (f.out_of_service) {
    b->state.pool.out_of_service.insert(f.data_centre);
  } else {
    b->state.pool.out_of_service.erase(f.data_centre);
  }
}

void CountHosts(relay_routing_state* b) {
  size_t others = b->hosts.size() - b->hosts.count(b->name);
  SetHostCount(&b->state.pool, static_cast<int>(others) + 1, b->recorded_hosts);
}

void Learn(relay_routing_state* b, const host_update& f, micros) {
  if (f.live) {
    b->hosts.insert(f.host.name);
  } else {
    b->hosts.erase(f.host.name);
  }
  CountHosts(b);
}

void Learn(relay_routing_state* b, const fleet_size_update& f, micros) {
  b->recorded_hosts = f.hosts;
  CountHosts(b);
}

}  // namespace

void InitRelayRoutingState(relay_routing_state* b, const settings& own,
                           micros now) {
  b->name = own.name;
  b->state.random.seed(std::random_device{}());
  relay_pool& p = b->state.pool;
  p.host_name = own.name;
  p.data_centre = own.data_centre;
  p.region = own.region;
  for (const data_centre_region& at : own.relay.data_centre_regions) {
    p.region_of[at.data_centre] = at.region;
  }
  p.extra_request_limits = {.ratio = own.relay.extra_ratio,
                            .window = own.relay.extra_window};
  p.fleet_extra_floor = own.relay.extra_floor;
  p.drain_period = own.relay.leave_timeout;
  p.started_at = now;
  SetHostCount(&p, 1, 0);
}

void ApplyFacts(relay_routing_state* b, const std::vector<store_update>& facts,
                micros now) {
  RemoveExpiredServers(&b->state.pool, now);
  for (const store_update& fact : facts) {
    std::visit([&](const auto& f) { Learn(b, f, now); }, fact);
  }
}

}  // namespace baobabtray
