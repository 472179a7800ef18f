// Probes of unreachable servers, and connections ahead of need.

#include "tray/relayd/server_prober.h"

#include <algorithm>
#include <chrono>

#include "tray/base/clock.h"
#include "tray/base/log.h"
#include "tray/relay/preconnect.h"

namespace baobabtray {
namespace {

// Half of the shortest delay before an unreachable server is probed.
constexpr micros kProbeInterval = 100 * kMillisecond;
// With kMaxPreconnectsPerRound this makes at most 24 connections a second. That
// connects to a few dozen shards within two seconds of their appearance in the
// routes, at little processor time.
constexpr micros kPreconnectInterval = 250 * kMillisecond;
// The same as for a request's own connection (relay_worker.cc).
constexpr micros kConnectTimeout = 250 * kMillisecond;

}  // namespace

void server_prober::Schedule() {
  micros now = SteadyNow();
  micros at = now + (HasUnreachableServers(pool_) ? kProbeInterval
                                                  : kPreconnectInterval);
  if (next_run_ != 0 && next_run_ <= at) return;
  next_run_ = at;
  timer_.expires_at(
      std::chrono::steady_clock::time_point(std::chrono::microseconds(at)));
  timer_.async_wait([this](std::error_code error) {
    if (error) return;
    next_run_ = 0;
    Run();
  });
}

void server_prober::Run() {
  micros now = SteadyNow();
  ProbeUnreachable(now);
  ConnectAhead(now);
  CloseSurplus(now);
  if (HasUnreachableServers(pool_) || HasActiveServices(pool_, now)) Schedule();
}

void server_prober::ProbeUnreachable(micros now) {
  for (const server_ref& s : TakeDueProbes(&pool_, now)) {
    client_.Probe(s->info.address, kConnectTimeout, [s](bool connected) {
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
    // The same limit on connections as for a request.
    const relay_service& service = *GetOrCreateService(&pool_, s->info.service);
    client_.SetMaxConnections(s->info.address,
                              ConnectionLimit(pool_, service, now));
    client_.Probe(s->info.address, kConnectTimeout, [s](bool connected) {
      OnProbeResult(s.get(), connected, SteadyNow());
    });
  }
}

void server_prober::CloseSurplus(micros now) {
  for (const server_ref& s : SurplusConnections(pool_, now)) {
    client_.CloseIdle(s->info.address);
    s->connected = false;
  }
}

}  // namespace baobabtray
