// Choice of connections to make ahead. See warm.h.

#include "tray/relay/warm.h"

#include <algorithm>

#include "tray/base/hash.h"

namespace baobabtray {
namespace {

// A service counts as used for this long after a request or after a version
// named it: a few times the gap between two requests of a slow hour.
constexpr micros kUsedTime = 10 * kSecond;
// Part of a server's connections that two for each host may fill; the rest is
// for hosts that have just started and for more requests at once.
constexpr double kWarmPart = 0.8;
// A server that did not take a connection is left alone for this long.
constexpr micros kRetryTime = 2 * kSecond;

bool IsUsed(const relay_service& s, micros now) {
  return s.used_at != 0 && now - s.used_at < kUsedTime;
}

bool Fits(const relay_pool& p, const relay_service& s) {
  double room = static_cast<double>(s.servers.size()) *
                s.terms.max_connections * kWarmPart;
  return p.hosts * kWarmServers <= room;
}

bool IsUsable(const relay_pool& p, const relay_server& s, micros now) {
  return s.last_use == 0 && !s.misplaced && !s.unreachable &&
         now >= s.held_until && !p.out_of_service.contains(s.info.data_centre);
}

// The next server to connect to, or null if enough are.
server_ref NextWarmup(const relay_pool& p, const relay_service& service,
                      micros now) {
  int warm = 0;
  server_ref best;
  uint64_t best_score = 0;
  for (const server_ref& s : service.servers) {
    if (!IsUsable(p, *s, now)) continue;
    if (s->connected || s->probing) {
      ++warm;
      continue;
    }
    if (now < s->warm_after) continue;
    uint64_t score = RendezvousScore(s->info.id, p.host);
    bool nearer = best != nullptr && s->away < best->away;
    bool as_near = best != nullptr && s->away == best->away;
    if (best == nullptr || nearer || (as_near && score > best_score)) {
      best = s;
      best_score = score;
    }
  }
  // After a start the room at full servers is for hosts that have no connection
  // at all.
  bool starting = now - p.started_at < kStartTime;
  return warm < (starting ? 1 : kWarmServers) ? best : nullptr;
}

}  // namespace

void NoteShards(relay_pool* p, const route_table& table, micros now) {
  for (const route& way : table.routes) {
    for (const std::string& shard : way.shards) {
      ServiceOf(p, shard)->used_at = now;
    }
  }
}

void NoteConnections(relay_pool* p,
                     const std::function<bool(const endpoint&)>& is_connected,
                     micros now) {
  for (auto& [name, service] : p->services) {
    if (!IsUsed(service, now)) continue;
    for (const server_ref& s : service.servers) {
      s->connected = is_connected(s->info.address);
    }
  }
}

bool HasServicesInUse(const relay_pool& p, micros now) {
  return std::any_of(
      p.services.begin(), p.services.end(),
      [&](const auto& entry) { return IsUsed(entry.second, now); });
}

std::vector<server_ref> TakeWarmups(relay_pool* p, micros now) {
  std::vector<server_ref> due;
  for (const auto& [name, service] : p->services) {
    if (due.size() == kWarmupsPerLook) break;
    if (!IsUsed(service, now) || !Fits(*p, service)) continue;
    server_ref next = NextWarmup(*p, service, now);
    if (next == nullptr) continue;
    next->probing = true;
    next->warm_after = now + kRetryTime;
    due.push_back(std::move(next));
  }
  return due;
}

}  // namespace baobabtray
