// Probes and connections ahead of need. See server_prober.h.

#include "tray/relayd/server_prober.h"

#include <algorithm>
#include <chrono>

#include "tray/base/clock.h"
#include "tray/base/log.h"
#include "tray/relay/preconnect.h"

namespace baobabtray {
namespace {

// Half of the shortest hold of an unreachable server.
constexpr micros kProbeLook = 100 * kMillisecond;
// 24 connections a second, with kMaxPreconnectsPerRound: some dozen shards are
// connected within two seconds of being named, and the host's processor stays
// free.
constexpr micros kWarmLook = 250 * kMillisecond;
// As for a request's own connection (relay_worker.cc).
constexpr micros kConnectTime = 250 * kMillisecond;

}  // namespace

void server_prober::Wake() {
  micros now = SteadyNow();
  micros at = now + (HasUnreachableServers(pool_) ? kProbeLook : kWarmLook);
  if (next_look_ != 0 && next_look_ <= at) return;
  next_look_ = at;
  timer_.expires_at(
      std::chrono::steady_clock::time_point(std::chrono::microseconds(at)));
  timer_.async_wait([this](std::error_code error) {
    if (error) return;
    next_look_ = 0;
    Look();
  });
}

void server_prober::Look() {
  micros now = SteadyNow();
  ProbeUnreachable(now);
  ConnectAhead(now);
  if (HasUnreachableServers(pool_) || HasActiveServices(pool_, now)) Wake();
}

void server_prober::ProbeUnreachable(micros now) {
  for (const server_ref& s : TakeDueProbes(&pool_, now)) {
    client_.Probe(s->info.address, kConnectTime, [s](bool connected) {
      OnProbeResult(s.get(), connected, SteadyNow());
      if (!connected) return;
      Log(log_level::kInfo, "server_reachable",
          {{"server", s->info.id}, {"service", s->info.service}});
    });
  }
}

void server_prober::ConnectAhead(micros now) {
  UpdateConnected(
      &pool_,
      [this](const endpoint& to) { return client_.OpenConnections(to) > 0; },
      now);
  for (const server_ref& s : TakeDuePreconnects(&pool_, now)) {
    // The bound on connections as for a request.
    const relay_service& service = *GetOrCreateService(&pool_, s->info.service);
    client_.SetMaxConnections(s->info.address,
                              ConnectionLimit(pool_, service, now));
    client_.Probe(s->info.address, kConnectTime, [s](bool connected) {
      OnProbeResult(s.get(), connected, SteadyNow());
    });
  }
}

}  // namespace baobabtray
