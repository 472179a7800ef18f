// JSON dump of a relaying host's state.

#include "tray/relayd/relay_dump.h"

#include <nlohmann/json.hpp>

namespace baobabtray {
namespace {

using nlohmann::json;

json DumpServer(const relay_server& s, int connections, micros now) {
  return {
      {"id", s.info.id},
      {"address", ToString(s.info.address)},
      {"data_centre", s.info.data_centre},
      {"leaving", s.info.leaving},
      {"leaving_by_reply", s.notice.leaving_since != 0},
      {"paused_ms",
       std::max<micros>(0, s.notice.paused_until - now) / kMillisecond},
      {"lapsed", s.lapsed},
      {"misplaced", s.misplaced},
      {"cold_ms", std::max<micros>(0, s.cold_until - now) / kMillisecond},
      {"held_ms", std::max<micros>(0, s.backoff_until - now) / kMillisecond},
      {"open", s.open_attempts.size()},
      {"limit_per_second", s.limit.per_second.value_or(-1)},
      {"sent_while_limited", s.limit.sent},
      {"slowdown", s.slowdown.reported},
      {"typical_us", s.mean_latency},
      {"fastest_us", s.min_latency},
      {"typical_age_ms", (now - s.mean_updated_at) / kMillisecond},
      {"faults", s.recent_faults},
      {"expected_us", ExpectedLatency(s, connections, now)}};
}

// 85th percentile of the latency of the route's first or extra attempts, in
// microseconds; 0 if unknown.
micros P85Latency(const relay_state& r, const route_config& config,
                  bool extras) {
  auto found = r.pool.latency.find(config.name);
  if (found == r.pool.latency.end()) return 0;
  return extras ? found->second.extras.p85 : found->second.firsts.p85;
}

}  // namespace

std::string DumpRelayState(const relay_state& r, const route_table* table,
                           int in_flight, bool draining, micros now) {
  json services = json::object();
  for (const auto& [name, service] : r.pool.services) {
    json servers = json::array();
    int connections = ConnectionLimit(r.pool, service, now);
    for (const server_ref& s : service.servers) {
      servers.push_back(DumpServer(*s, connections, now));
    }
    extra_budget extra = service.extra;
    services[name] = {
        {"servers", std::move(servers)},
        {"connections", connections},
        {"balanced", service.balanced},
        {"load_per_slot", LoadPerSlot(service.load, now)},
        {"extra_left",
         ExtraRemaining(&extra, r.pool.extra_request_limits, now)},
        {"extra_per_first",
         ExtraPerFirst(&extra, r.pool.extra_request_limits, now)}};
  }
  json routes = json::array();
  if (table != nullptr) {
    for (const route_config& config : table->routes) {
      routes.push_back({{"name", config.name},
                        {"host", config.host},
                        {"prefix", config.prefix},
                        {"kind", NameOf(kRequestKindNames, config.kind)},
                        {"shards", config.shards.size()},
                        {"p85_us", P85Latency(r, config, false)},
                        {"p85_extra_us", P85Latency(r, config, true)}});
    }
  }
  json all = {{"routes_version", table == nullptr ? 0 : table->version},
              {"routes", std::move(routes)},
              {"services", std::move(services)},
              {"out_of_service", r.pool.out_of_service},
              {"hosts", r.pool.host_count},
              {"in_hand", in_flight},
              {"draining", draining}};
  return all.dump(1, ' ', false, json::error_handler_t::replace);
}

}  // namespace baobabtray
