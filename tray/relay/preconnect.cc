// Selection of servers to preconnect to. See preconnect.h.

#include "tray/relay/preconnect.h"

#include <algorithm>

#include "tray/base/hash.h"

namespace baobabtray {
namespace {

// A service counts as active for this long after a request or after a table
// that names it: several times the interval between requests in a quiet hour.
constexpr micros kActivePeriod = 10 * kSecond;
// Fraction of a server's connections that preconnects of all hosts may fill.
// The rest is for hosts that have just started and for concurrent requests.
constexpr double kPreconnectFraction = 0.8;
// Delay before the next preconnect to a server that did not accept one.
constexpr micros kRetryDelay = 2 * kSecond;

bool IsActive(const relay_service& s, micros now) {
  return s.last_used_at != 0 && now - s.last_used_at < kActivePeriod;
}

// Number of the service's servers to which every host can stay connected.
int StandingConnections(const relay_pool& pool, const relay_service& s) {
  double room = static_cast<double>(s.servers.size()) *
                s.limits.max_connections * kPreconnectFraction;
  return static_cast<int>(
      std::min<double>(kPreconnectedServers, room / pool.host_count));
}

bool IsUsable(const relay_pool& pool, const relay_server& s, micros now) {
  if (s.gate != nullptr && IsEnded(*s.gate, s.info.version, now)) return false;
  return DrainDeadline(pool, s) == kNoDeadline && !s.misplaced &&
         !s.unreachable && now >= s.backoff_until && now >= s.full_until &&
         !pool.out_of_service.contains(s.info.data_centre);
}

// Nearer servers are preferred, and among equals those of a higher score, which
// spreads the hosts over the servers.
bool IsPreferred(const relay_pool& pool, const relay_server& a,
                 const relay_server& b) {
  if (a.distance != b.distance) return a.distance < b.distance;
  return RendezvousScore(a.info.id, pool.host_name) >
         RendezvousScore(b.info.id, pool.host_name);
}

// Whether the server is of the version that is being rolled out.
bool IsTarget(const relay_service& service, const relay_server& s) {
  return service.gate != nullptr && IsRunning(*service.gate) &&
         s.info.version == service.gate->order->target;
}

// Returns the next server to connect to, or null if enough are connected.
// `target`: among the servers of the version that is being rolled out, to which
// a host keeps one connection beside the others.
server_ref NextPreconnect(const relay_pool& pool, const relay_service& service,
                          bool target, micros now) {
  int connected = 0;
  server_ref best;
  for (const server_ref& s : service.servers) {
    if (!IsUsable(pool, *s, now) || IsTarget(service, *s) != target) continue;
    if (s->connected || s->probe_pending) {
      ++connected;
      continue;
    }
    if (now < s->next_preconnect_at) continue;
    if (best == nullptr || IsPreferred(pool, *s, *best)) best = s;
  }
  // During startup, free connections at full servers are left to hosts that
  // have none yet.
  bool starting = now - pool.started_at < kStartupPeriod;
  int standing = StandingConnections(pool, service);
  if (target) standing = std::min(1, standing);
  return connected < (starting ? std::min(1, standing) : standing) ? best
                                                                   : nullptr;
}

}  // namespace

void MarkShardsUsed(relay_pool* pool, const route_table& table, micros now) {
  for (const route_config& route : table.routes) {
    for (const std::string& shard : route.shards) {
      GetOrCreateService(pool, shard)->last_used_at = now;
    }
  }
}

void UpdateConnected(relay_pool* pool,
                     const std::function<bool(const endpoint&)>& is_connected,
                     micros now) {
  for (auto& [name, service] : pool->services) {
    if (!IsActive(service, now)) continue;
    for (const server_ref& s : service.servers) {
      s->connected = is_connected(s->info.address);
    }
  }
}

bool HasActiveServices(const relay_pool& pool, micros now) {
  return std::any_of(
      pool.services.begin(), pool.services.end(),
      [&](const auto& entry) { return IsActive(entry.second, now); });
}

std::vector<server_ref> TakeDuePreconnects(relay_pool* pool, micros now) {
  std::vector<server_ref> due;
  for (const auto& [name, service] : pool->services) {
    if (due.size() == kMaxPreconnectsPerRound) break;
    if (!IsActive(service, now)) continue;
    server_ref next = NextPreconnect(*pool, service, false, now);
    if (next == nullptr) next = NextPreconnect(*pool, service, true, now);
    if (next == nullptr) continue;
    next->probe_pending = true;
    next->next_preconnect_at = now + kRetryDelay;
    due.push_back(std::move(next));
  }
  return due;
}

std::vector<server_ref> SurplusConnections(const relay_pool& pool, micros now) {
  std::vector<server_ref> surplus;
  for (const auto& [name, service] : pool.services) {
    if (service.limits.max_connections <= 0) continue;
    std::vector<server_ref> connected;
    for (const server_ref& s : service.servers) {
      if (s->connected && !IsTarget(service, *s)) connected.push_back(s);
    }
    if (connected.size() <= kPreconnectedServers) continue;
    std::sort(connected.begin(), connected.end(),
              [&](const server_ref& a, const server_ref& b) {
                return IsPreferred(pool, *a, *b);
              });
    for (size_t i = kPreconnectedServers; i < connected.size(); ++i) {
      const server_ref& s = connected[i];
      if (s->open_attempts.empty() && now - s->last_sent_at >= kMaxSurplusIdle)
        surplus.push_back(s);
    }
  }
  return surplus;
}

}  // namespace baobabtray
