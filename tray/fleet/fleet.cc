// Carries knowledge over changes of the text and of the live set. See fleet.h.

#include "tray/fleet/fleet.h"

#include <algorithm>

#include "tray/base/hash.h"
#include "tray/fleet/hedge.h"

namespace baobabtray {
namespace {

distance DistanceTo(const service_topology& t, const backend_server& b,
                    const location& here) {
  const data_centre& dc = t.data_centres[b.data_centre];
  if (dc.name == here.data_centre) return distance::kLocal;
  if (t.regions[dc.region] == here.region) return distance::kRegion;
  return distance::kFar;
}

// Divides one server's connections and cold limit among the live hosts.
void ShareServer(fleet* f, int server, std::span<const host_hashes> refs,
                 micros now) {
  const service_topology& t = *f->current_view->topology;
  const backend_server& b = t.servers[server];
  server_state& s = f->servers[server];
  s.owner_hosts = OwnersOf(f->current_view->server_hashes[server],
                           HashOf(t.data_centres[b.data_centre].name), refs);
  auto at = std::find(s.owner_hosts.begin(), s.owner_hosts.end(), f->self);
  int rank = at == s.owner_hosts.end()
                 ? -1
                 : static_cast<int>(at - s.owner_hosts.begin());
  int owners = static_cast<int>(s.owner_hosts.size());
  int share = ShareOfRank(DivisibleConnections(b.connections), rank, owners);
  // A server new to the text is divided by all hosts alike, so only a change of
  // hosts that is still settling holds its share back.
  micros wait = s.window.owner_count == 0
                    ? std::max<micros>(0, f->shares_settled_at - now)
                    : f->share_raise_delay;
  SetShare(&s.window, rank, owners, share, now, wait);
}

// True if the view in force has the server out of service.
bool WasOut(const fleet& f, const std::string& name) {
  if (f.current_view == nullptr) return false;
  const service_topology& old = *f.current_view->topology;
  auto found = old.server_by_name.find(name);
  return found != old.server_by_name.end() &&
         f.current_view->server_out_of_service[found->second];
}

// Moves state of servers and services that the next text still has.
void KeepKnown(fleet* f, const service_topology& next,
               std::vector<server_state>* servers,
               std::vector<service_state>* services) {
  const service_topology& old = *f->current_view->topology;
  for (size_t i = 0; i < next.servers.size(); ++i) {
    const backend_server& b = next.servers[i];
    auto found = old.server_by_name.find(b.name);
    if (found == old.server_by_name.end()) continue;
    if (old.servers[found->second].address != b.address) continue;
    (*servers)[i] = std::move(f->servers[found->second]);
  }
  for (size_t i = 0; i < next.services.size(); ++i) {
    auto found = old.service_by_name.find(next.services[i].name);
    if (found == old.service_by_name.end()) continue;
    (*services)[i] = f->services[found->second];
  }
}

void ShareAll(fleet* f, micros now) {
  if (f->current_view == nullptr) return;
  std::vector<host_hashes> refs;
  for (const fleet_host& h : f->hosts) {
    refs.push_back({HashOf(h.name), HashOf(h.data_centre)});
  }
  for (size_t i = 0; i < f->servers.size(); ++i) {
    ShareServer(f, static_cast<int>(i), refs, now);
  }
}

}  // namespace

void ApplyView(fleet* f, std::shared_ptr<const topology_view> next,
               const location& here, micros now) {
  const service_topology& t = *next->topology;
  std::vector<server_state> servers(t.servers.size());
  std::vector<service_state> services(t.services.size());
  if (f->current_view != nullptr) KeepKnown(f, t, &servers, &services);
  for (size_t i = 0; i < t.servers.size(); ++i) {
    const backend_server& b = t.servers[i];
    servers[i].away = DistanceTo(t, b, here);
    if (WasOut(*f, b.name) && !next->server_out_of_service[i]) {
      OnReturn(&servers[i].window, now - servers[i].last_report_at);
    }
    if (servers[i].window.stamp.boot == 0) {
      servers[i].window.cold_limit = b.cold_limit;
    }
  }
  for (size_t i = 0; i < t.services.size(); ++i) {
    services[i].hedge_budget.rate = t.services[i].policy.hedge_budget;
    services[i].hedge_budget.most = kMaxHedgeTokens;
  }
  f->servers = std::move(servers);
  f->services = std::move(services);
  f->current_view = std::move(next);
  ShareAll(f, now);
}

void ApplyHosts(fleet* f, std::vector<fleet_host> hosts,
                std::string_view self_name, micros now) {
  std::sort(
      hosts.begin(), hosts.end(),
      [](const fleet_host& a, const fleet_host& b) { return a.name < b.name; });
  f->hosts = std::move(hosts);
  f->shares_settled_at = now + f->share_raise_delay;
  f->self = -1;
  for (size_t i = 0; i < f->hosts.size(); ++i) {
    if (f->hosts[i].name == self_name) f->self = static_cast<int>(i);
  }
  ShareAll(f, now);
}

bool IsInService(const fleet& f, int server) {
  return !f.current_view->server_out_of_service[server] &&
         f.servers[server].window.phase != window_phase::kLeaving;
}

int CurrentServer(const fleet& f, const service_topology& other, int server) {
  if (server < 0) return -1;
  const service_topology& now = *f.current_view->topology;
  if (&other == &now) return server;
  const backend_server& b = other.servers[server];
  auto found = now.server_by_name.find(b.name);
  if (found == now.server_by_name.end()) return -1;
  return now.servers[found->second].address == b.address ? found->second : -1;
}

int CurrentService(const fleet& f, const service_topology& other, int service) {
  if (service < 0) return -1;
  const service_topology& now = *f.current_view->topology;
  if (&other == &now) return service;
  auto found = now.service_by_name.find(other.services[service].name);
  return found == now.service_by_name.end() ? -1 : found->second;
}

bool NeedsConnection(const server_state& s) {
  return s.connections <= s.window.in_flight;
}

int ConnectionShare(const server_state& s) {
  return std::max(s.window.share, s.window.pending_share);
}

}  // namespace baobabtray
