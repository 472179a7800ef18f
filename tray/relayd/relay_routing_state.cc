// Updates of the routing state.

#include "tray/relayd/relay_routing_state.h"

#include <algorithm>
#include <random>

#include "tray/base/log.h"
#include "tray/relay/preconnect.h"
#include "tray/relay/rollouts.h"

namespace baobabtray {
namespace {

// Of one version of the configuration.
constexpr size_t kMaxLoggedErrors = 10;
constexpr size_t kMaxLoggedReason = 300;  // bytes

// How long ago a change was made at most, for log lines.
std::string AgeMs(micros made_after, micros now) {
  return made_after == 0 ? "unknown"
                         : std::to_string((now - made_after) / kMillisecond);
}

void LogCustomerErrors(const route_table& table) {
  size_t logged = std::min(table.customer_errors.size(), kMaxLoggedErrors);
  for (size_t i = 0; i < logged; ++i) {
    Log(log_level::kWarning, "customer_ignored",
        {{"reason", table.customer_errors[i].substr(0, kMaxLoggedReason)},
         {"version", std::to_string(table.version)},
         {"errors", std::to_string(table.customer_errors.size())}});
  }
}

void Apply(relay_routing_state*, const ignored_item&, micros) {}

void Apply(relay_routing_state* s, const routes_update& f, micros now) {
  if (s->table != nullptr && f.table->version <= s->table->version) return;
  s->table = f.table;
  SetServiceLimits(&s->relay.pool, f.table->services);
  MarkShardsUsed(&s->relay.pool, *f.table, now);
  Log(log_level::kInfo, "routes_applied",
      {{"version", std::to_string(f.table->version)},
       {"routes", std::to_string(f.table->routes.size())},
       {"customers", std::to_string(f.table->customers.size())}});
  LogCustomerErrors(*f.table);
}

void Apply(relay_routing_state* s, const server_update& f, micros now) {
  log_level level = f.server.leaving ? log_level::kInfo : log_level::kDebug;
  Log(level, f.server.leaving ? "server_leaving" : "server_registered",
      {{"server", f.server.id},
       {"service", f.server.service},
       {"learned_within_ms", AgeMs(f.made_after, now)}});
  UpsertServer(&s->relay.pool, f.server, now, f.made_after);
}

void Apply(relay_routing_state* s, const server_removal& f, micros now) {
  Log(log_level::kInfo, "server_removed",
      {{"server", f.id}, {"learned_within_ms", AgeMs(f.made_after, now)}});
  RemoveServer(&s->relay.pool, f.id, now, f.made_after);
}

void Apply(relay_routing_state* s, const data_centre_update& f, micros) {
  Log(log_level::kInfo, f.out_of_service ? "out_of_service" : "back_in_service",
      {{"data_centre", f.data_centre}});
  if (f.out_of_service) {
    s->relay.pool.out_of_service.insert(f.data_centre);
  } else {
    s->relay.pool.out_of_service.erase(f.data_centre);
  }
}

void UpdateFleet(relay_routing_state* s, micros now) {
  SetFleet(&s->relay.pool,
           {.own = s->host_name,
            .data_centre = s->relay.pool.data_centre,
            .data_centres = s->live_hosts,
            .recorded = s->recorded_hosts},
           now);
}

void Apply(relay_routing_state* s, const host_update& f, micros now) {
  if (f.live) {
    s->live_hosts[f.host.name] = f.host.data_centre;
  } else {
    s->live_hosts.erase(f.host.name);
  }
  UpdateFleet(s, now);
}

void Apply(relay_routing_state* s, const fleet_size_update& f, micros now) {
  s->recorded_hosts = f.hosts;
  UpdateFleet(s, now);
}

void Apply(relay_routing_state* s, const rollout_order_update& f, micros) {
  // The end of a withdrawn roll-out is learned from its record.
  if (!f.removed) ApplyRolloutOrder(&s->relay.pool, f.order);
}

void Apply(relay_routing_state* s, const rollout_record_update& f, micros now) {
  ApplyRolloutRecord(&s->relay.pool, f.record, now);
}

}  // namespace

void InitRelayRoutingState(relay_routing_state* s, const settings& own,
                           micros now) {
  s->host_name = own.name;
  s->relay.random.seed(std::random_device{}());
  relay_pool& p = s->relay.pool;
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
  p.new_version_hold = own.relay.new_version_hold;
  p.started_at = now;
  UpdateFleet(s, now);
}

void ApplyUpdates(relay_routing_state* s,
                  const std::vector<store_update>& updates, micros now) {
  RemoveExpiredServers(&s->relay.pool, now);
  for (const store_update& update : updates) {
    std::visit([&](const auto& f) { Apply(s, f, now); }, update);
  }
}

}  // namespace baobabtray
