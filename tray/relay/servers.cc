// State of registered servers and server selection. See servers.h.

#include "tray/relay/servers.h"

#include <algorithm>
#include <cmath>

#include "tray/base/hash.h"

namespace baobabtray {
namespace {

// A live server registers itself again within two seconds of the loss of its
// entry.
constexpr micros kReregistrationTime = 2500 * kMillisecond;
// Part of the drain period in which no request is sent to the server, since a
// request takes time to reach it.
constexpr micros kDrainMargin = 500 * kMillisecond;
// Divisor of the drain period: leaving servers are used for this part of it if
// no other is available, for example while the shards of an older version
// drain.
constexpr micros kDrainUseDivisor = 4;
// Expected latency of servers that were never measured, by distance. Replaced
// by the first reply. Added once more if a connection has to be made first.
constexpr micros kUnmeasuredLatency[] = {5 * kMillisecond, 8 * kMillisecond,
                                         30 * kMillisecond};
// Penalty for servers in another region or data centre. Traffic between them is
// charged, and a response that is on time anyway need not be faster.
constexpr micros kOtherRegionPenalty = 15 * kMillisecond;
constexpr micros kSameRegionPenalty = 1 * kMillisecond;
// A sample is capped at this multiple of the mean, or of kMinSampleBase if that
// is higher, so that replies delayed by one short pause do not make the server
// look slow.
constexpr int kMaxSampleFactor = 3;
constexpr micros kMinSampleBase = 5 * kMillisecond;
// The mean of an unused server halves at this interval, so that the server is
// eventually tried again.
constexpr micros kMeanHalfLife = 1 * kSecond;
constexpr int kMaxHalvings = 4;
// Expected latency added per recent fault, and the half-life of faults.
constexpr micros kFaultPenalty = 20 * kMillisecond;
constexpr micros kFaultHalfLife = 2 * kSecond;
// Half-life of the load of other hosts that a reply reported.
constexpr micros kLoadHalfLife = 50 * kMillisecond;
// Limit of requests in flight or queued per connection. Waiting for a near
// server that replies in a few milliseconds is faster than asking a distant
// one.
constexpr size_t kMaxRequestsPerConnection = 2;
// Fraction of a server's connections that is divided among the live hosts. The
// rest is for hosts that started after the hosts were last counted.
constexpr double kDividedFraction = 0.75;
// The same during kStartupPeriod.
constexpr double kDividedFractionAtStartup = 0.5;
// A server that recently broke a connection may have reached its limit of
// connections.
constexpr micros kRecentlyBrokenPeriod = 3 * kSecond;
// Backoff from a server that does not reply or can't be connected to; doubles
// with each failure.
constexpr micros kInitialBackoff = 200 * kMillisecond;
constexpr micros kMaxBackoff = 2 * kSecond;
constexpr int kMaxBackoffDoublings = 4;
// The same for a server that rejects connections. Its places become free when
// it notices that hosts are gone, within seconds.
constexpr micros kInitialFullBackoff = 100 * kMillisecond;
constexpr int kMaxFullDoublings = 3;
constexpr micros kScarcePeriod = 3 * kSecond;

double Decayed(double value, micros age, micros half_life) {
  if (value == 0 || age <= 0) return value;
  return value * std::exp2(-static_cast<double>(age) / half_life);
}

void AddFault(relay_server* s, micros now) {
  s->recent_faults =
      Decayed(s->recent_faults, now - s->faults_updated_at, kFaultHalfLife) + 1;
  s->faults_updated_at = now;
}

// Removes an open attempt. Returns the time at which it was sent, or 0 if it is
// not open.
micros CloseAttempt(relay_server* s, uint64_t attempt) {
  for (auto it = s->open_attempts.begin(); it != s->open_attempts.end(); ++it) {
    if (it->id != attempt) continue;
    micros sent_at = it->sent_at;
    s->open_attempts.erase(it);
    return sent_at;
  }
  return 0;
}

void BackOff(relay_server* s, micros now) {
  int doublings = std::min(s->consecutive_no_reply, kMaxBackoffDoublings);
  ++s->consecutive_no_reply;
  s->backoff_until = now + std::min(kMaxBackoff, kInitialBackoff << doublings);
}

void ResetBackoff(relay_server* s) {
  s->consecutive_no_reply = 0;
  s->consecutive_full = 0;
  s->full_until = 0;
  s->backoff_until = 0;
  s->unreachable = false;
}

server_distance DistanceOf(const relay_pool& pool, const relay_server& s) {
  if (s.info.data_centre == pool.data_centre) return server_distance::kLocal;
  return s.region == pool.region ? server_distance::kSameRegion
                                 : server_distance::kOtherRegion;
}

void RemoveFromService(relay_pool* pool, const server_ref& s) {
  std::vector<server_ref>& all =
      GetOrCreateService(pool, s->info.service)->servers;
  all.erase(std::remove(all.begin(), all.end(), s), all.end());
}

bool Contains(const std::vector<std::string>* list, const std::string& value) {
  return list != nullptr &&
         std::find(list->begin(), list->end(), value) != list->end();
}

// Returns true if the server is not cold, or if this host's share of the rate
// limit for cold servers allows another request.
bool ColdLimitAllows(const relay_pool& pool, const relay_service& service,
                     const relay_server& s, micros now) {
  if (service.limits.max_cold_rate <= 0 || now >= s.cold_until) return true;
  double share = service.limits.max_cold_rate / std::max(1, pool.host_count);
  auto since = static_cast<double>(now - s.last_cold_send);
  return s.last_cold_send == 0 || since * share >= kSecond;
}

void UpdateLimitShare(const relay_pool& pool, relay_server* s, micros now) {
  if (!s->limit.per_second) return;
  SetShare(&s->limit,
           ShareOf(*s->limit.per_second, s->info.id, s->info.data_centre,
                   pool.fleet),
           now);
}

// Preference among servers; lower values are picked first.
enum class pick_tier { kNormal, kBackedOff, kDraining, kIneligible };

pick_tier TierOf(const relay_pool& pool, const relay_server& s,
                 const pick_request& request) {
  if (s.misplaced || pool.out_of_service.contains(s.info.data_centre)) {
    return pick_tier::kIneligible;
  }
  for (const auto* regions : {request.regions, request.customer_regions}) {
    if (regions != nullptr && !regions->empty() &&
        !Contains(regions, s.region)) {
      return pick_tier::kIneligible;
    }
  }
  micros drain_deadline = DrainDeadline(pool, s);
  if (drain_deadline != kNoDeadline) {
    return request.now < drain_deadline ? pick_tier::kDraining
                                        : pick_tier::kIneligible;
  }
  bool backed_off = s.unreachable || request.now < s.backoff_until ||
                    request.now < s.hold_until;
  return backed_off ? pick_tier::kBackedOff : pick_tier::kNormal;
}

// The part of a latency in which the server works. The lowest latency ever
// measured stands for the way to a server outside this data centre.
double WorkIn(const relay_server& s, double latency) {
  if (s.distance == server_distance::kLocal) return latency;
  return std::max(0.0, latency - static_cast<double>(s.min_latency));
}

server_estimate EstimateOf(const relay_server& s, int connections, micros now) {
  constexpr micros kMinWork = 1 * kMillisecond;
  micros base = s.mean_latency != 0
                    ? s.mean_latency
                    : kUnmeasuredLatency[static_cast<int>(s.distance)];
  auto work = static_cast<micros>(WorkIn(s, static_cast<double>(base)));
  return {.latency = ExpectedLatency(s, connections, now),
          .work = std::max(kMinWork, work),
          .reply_age = now - s.last_reply_at};
}

// Servers of the best tier seen so far, for a choice by weight.
struct balance_candidates {
  absl::InlinedVector<server_ref, 12> servers;
  absl::InlinedVector<server_estimate, 12> estimates;
};

const server_ref& Choose(const balance_candidates& c, uint64_t random,
                         int* rank) {
  absl::InlinedVector<double, 12> weights(c.servers.size());
  BalanceWeights(c.estimates, {weights.data(), weights.size()});
  size_t chosen = ChooseByWeight(weights, random);
  if (rank != nullptr) {
    micros latency = c.estimates[chosen].latency;
    *rank = static_cast<int>(std::count_if(
        c.estimates.begin(), c.estimates.end(),
        [latency](const auto& e) { return e.latency < latency; }));
  }
  return c.servers[chosen];
}

// Whether the service has servers, and none of this version.
bool IsNewVersion(const relay_service& service, const std::string& version) {
  return !service.servers.empty() &&
         std::none_of(
             service.servers.begin(), service.servers.end(),
             [&](const server_ref& s) { return s->info.version == version; });
}

// Whether the service's roll-out restricts it. It may not if it leaves no
// server.
bool IsGated(const version_gate& gate, const relay_service& service,
             micros now) {
  if (!MayIgnore(gate)) return true;
  return std::any_of(
      service.servers.begin(), service.servers.end(), [&](const server_ref& s) {
        return !s->misplaced &&
               (s->drain_deadline == 0 || now < s->drain_deadline) &&
               IsUsable(gate, s->info.version, false, now);
      });
}

}  // namespace

void UpsertServer(relay_pool* pool, registered_server entry, micros now,
                  micros made_after) {
  server_ref& s = pool->servers_by_id[entry.id];
  bool known = s != nullptr;
  // An entry whose write was delayed is out of date.
  if (known && s->info.started_ms == entry.started_ms &&
      entry.sequence < s->info.sequence) {
    return;
  }
  if (known &&
      (s->info.started_ms != entry.started_ms ||
       s->info.service != entry.service || s->info.address != entry.address)) {
    // The server was restarted. Open attempts keep the old state alive.
    RemoveFromService(pool, s);
    known = false;
  }
  if (!known) {
    s = std::make_shared<relay_server>();
    const relay_service& service = *GetOrCreateService(pool, entry.service);
    s->gate = service.gate;
    s->registered_at = now;
    if (pool->new_version_hold > 0 && IsNewVersion(service, entry.version))
      s->hold_until = now + pool->new_version_hold;
  }
  bool was_leaving = known && s->info.leaving;
  s->info = std::move(entry);
  auto region = pool->region_of.find(s->info.data_centre);
  s->region = region == pool->region_of.end() ? "" : region->second;
  s->distance = DistanceOf(*pool, *s);
  s->cold_until =
      s->info.warmup_remaining > 0 ? now + s->info.warmup_remaining : 0;
  s->misplaced = false;
  s->lapsed = false;
  if (!s->info.leaving) {
    s->drain_deadline = 0;
  } else if (!was_leaving) {
    // The time at which a previously unknown server started to leave is
    // unknown, and this host may have learned of the change late.
    s->drain_deadline = known ? LeavingDeadline(*pool, made_after, now) : now;
  }
  if (!known) GetOrCreateService(pool, s->info.service)->servers.push_back(s);
}

micros LapsedDeadline(const relay_pool& pool, micros made_after, micros now) {
  micros in_use = pool.drain_period - kDrainMargin;
  micros latest = now + std::min(kReregistrationTime, in_use);
  return made_after == 0 ? latest : std::min(latest, made_after + in_use);
}

micros LeavingDeadline(const relay_pool& pool, micros made_after, micros now) {
  micros latest = now + pool.drain_period / kDrainUseDivisor;
  return made_after == 0
             ? latest
             : std::min(latest, made_after + pool.drain_period - kDrainMargin);
}

bool MayStillSend(const relay_pool& pool, const relay_server& s, micros now) {
  return !s.misplaced && !pool.out_of_service.contains(s.info.data_centre) &&
         now < DrainDeadline(pool, s) &&
         (s.gate == nullptr || !IsEnded(*s.gate, s.info.version, now) ||
          !IsGated(*s.gate, pool.services.at(s.info.service), now));
}

void RemoveServer(relay_pool* pool, std::string_view id, micros now,
                  micros made_after) {
  auto found = pool->servers_by_id.find(std::string(id));
  if (found == pool->servers_by_id.end()) return;
  relay_server& s = *found->second;
  if (s.lapsed) return;
  s.lapsed = true;
  micros latest = LapsedDeadline(*pool, made_after, now);
  s.drain_deadline =
      s.info.leaving ? std::min(s.drain_deadline, latest) : latest;
}

void RemoveExpiredServers(relay_pool* pool, micros now) {
  for (auto it = pool->servers_by_id.begin();
       it != pool->servers_by_id.end();) {
    const server_ref& s = it->second;
    if (s->lapsed && now >= s->drain_deadline) {
      RemoveFromService(pool, s);
      it = pool->servers_by_id.erase(it);
    } else {
      ++it;
    }
  }
}

relay_service* GetOrCreateService(relay_pool* pool, const std::string& name) {
  auto [found, created] = pool->services.try_emplace(name);
  if (created)
    found->second.extra.rounding_offset =
        NormalizedRendezvousScore(name, pool->host_name);
  return &found->second;
}

void SetServiceLimits(relay_pool* pool,
                      const std::vector<service_limits>& limits) {
  for (const service_limits& l : limits)
    GetOrCreateService(pool, l.name)->limits = l;
}

void SetHostCount(relay_pool* pool, int live, int recorded) {
  pool->host_count = std::max({1, live, recorded});
  pool->extra_request_limits.floor =
      static_cast<double>(pool->fleet_extra_floor) / pool->host_count;
}

void SetFleet(relay_pool* pool, fleet_view fleet, micros now) {
  auto others = fleet.data_centres.size() - fleet.data_centres.count(fleet.own);
  SetHostCount(pool, static_cast<int>(others) + 1, fleet.recorded);
  pool->fleet = std::move(fleet);
  for (const auto& [id, s] : pool->servers_by_id) {
    UpdateLimitShare(*pool, s.get(), now);
  }
}

micros DrainDeadline(const relay_pool& pool, const relay_server& s) {
  micros by_entry = s.drain_deadline != 0 ? s.drain_deadline : kNoDeadline;
  return std::min(by_entry, LeaveDeadline(s.notice, pool.drain_period));
}

micros ExpectedLatency(const relay_server& s, int connections, micros now) {
  double base =
      static_cast<double>(kUnmeasuredLatency[static_cast<int>(s.distance)]);
  if (s.mean_latency != 0) {
    micros age = std::min(now - s.mean_updated_at - kMeanHalfLife,
                          kMaxHalvings * kMeanHalfLife);
    base = std::max(
        Decayed(static_cast<double>(s.mean_latency), age, kMeanHalfLife),
        static_cast<double>(s.min_latency));
    // A report scales the work only, not the way to the server.
    double factor = SlowdownFactor(s.slowdown, now);
    if (factor != 1) base += WorkIn(s, base) * (factor - 1);
  }
  if (!s.open_attempts.empty()) {
    base = std::max(base,
                    static_cast<double>(now - s.open_attempts.front().sent_at));
  }
  double queue =
      static_cast<double>(s.open_attempts.size()) +
      Decayed(s.other_hosts_load, now - s.other_load_at, kLoadHalfLife);
  double slots = std::max(1, s.info.slots);
  if (!s.connected && s.open_attempts.empty()) {
    base +=
        static_cast<double>(kUnmeasuredLatency[static_cast<int>(s.distance)]);
  }
  double expected = base * (1 + std::max(0.0, queue + 1 - slots) / slots);
  double waiting =
      static_cast<double>(s.open_attempts.size()) + 1 - connections;
  if (waiting > 0) expected += base * waiting / connections;
  expected +=
      Decayed(s.recent_faults, now - s.faults_updated_at, kFaultHalfLife) *
      static_cast<double>(kFaultPenalty);
  if (s.distance == server_distance::kOtherRegion)
    expected += kOtherRegionPenalty;
  if (s.distance == server_distance::kSameRegion)
    expected += kSameRegionPenalty;
  return static_cast<micros>(expected);
}

int ConnectionLimit(const relay_pool& pool, const relay_service& service,
                    micros now) {
  bool starting = now - pool.started_at < kStartupPeriod;
  double fraction = starting ? kDividedFractionAtStartup : kDividedFraction;
  double divided = service.limits.max_connections * fraction;
  return std::max(1, static_cast<int>(divided / pool.host_count));
}

server_ref PickServer(relay_pool* pool, const pick_request& request,
                      pick_result* result, int* rank) {
  if (rank != nullptr) *rank = kUnranked;
  server_ref best;
  pick_tier best_tier = pick_tier::kIneligible;
  micros best_latency = 0;
  balance_candidates candidates;  // if the service is balanced
  bool busy = false;
  bool full = false;
  bool limited = false;
  bool paused = false;
  auto found = pool->services.find(std::string(request.service));
  if (found != pool->services.end()) {
    const relay_service& service = found->second;
    int connections = ConnectionLimit(*pool, service, request.now);
    size_t max_requests =
        static_cast<size_t>(connections) * kMaxRequestsPerConnection;
    size_t count = service.servers.size();
    bool scarce = ConnectionsScarce(service, request.now);
    bool gated =
        service.gate != nullptr &&
        (request.trial || IsGated(*service.gate, service, request.now));
    for (size_t i = 0; i < count; ++i) {
      // The first of equal servers is picked, so the scan starts at a random
      // one.
      const server_ref& s = service.servers[(i + request.random) % count];
      pick_tier tier = TierOf(*pool, *s, request);
      if (tier == pick_tier::kIneligible ||
          Contains(request.excluded, s->info.id))
        continue;
      if (gated &&
          !IsUsable(*service.gate, s->info.version, request.trial, request.now))
        continue;
      if (IsPaused(s->notice, request.now)) {
        paused = true;
        continue;
      }
      if (s->limit.per_second &&
          (request.optional || !MaySend(s->limit, request.now))) {
        limited = true;
        continue;
      }
      bool needs_connection = !s->connected && s->open_attempts.empty();
      if (needs_connection && request.now < s->full_until) {
        full = true;
        continue;
      }
      if (needs_connection && scarce) {
        if (request.optional) continue;
        tier = std::max(tier, pick_tier::kBackedOff);
      }
      if (s->open_attempts.size() >= max_requests ||
          !ColdLimitAllows(*pool, service, *s, request.now)) {
        busy = true;
        continue;
      }
      if (service.balanced) {
        if (tier > best_tier) continue;
        if (tier < best_tier) candidates = {};
        best_tier = tier;
        candidates.servers.push_back(s);
        candidates.estimates.push_back(
            EstimateOf(*s, connections, request.now));
        continue;
      }
      micros latency = ExpectedLatency(*s, connections, request.now);
      if (best == nullptr || tier < best_tier ||
          (tier == best_tier && latency < best_latency)) {
        best = s;
        best_tier = tier;
        best_latency = latency;
      }
    }
    if (!candidates.servers.empty())
      best = Choose(candidates, request.random, rank);
  }
  if (result != nullptr) {
    *result = best != nullptr ? pick_result::kOk
              : busy          ? pick_result::kBusy
              : full          ? pick_result::kFull
              : limited       ? pick_result::kLimited
              : paused        ? pick_result::kPaused
                              : pick_result::kNoServer;
  }
  return best;
}

bool OnRateLimit(const relay_pool& pool, relay_server* s,
                 std::optional<double> per_second, micros sent_at, micros now) {
  rate_limit& limit = s->limit;
  bool was_limited = limit.per_second.has_value();
  if (per_second) {
    bool changed = limit.per_second != per_second;
    NameLimit(&limit, *per_second, now);
    if (changed) UpdateLimitShare(pool, s, now);
    return !was_limited;
  }
  // The reply may be older than the last one that named a limit.
  if (!was_limited || sent_at < limit.last_named_at) return false;
  EndLimit(&limit);
  return true;
}

void OnSent(relay_server* s, uint64_t attempt, micros now) {
  if (s->gate != nullptr) RecordSent(s->gate.get(), s->info.version);
  RecordSend(&s->limit, now);
  s->open_attempts.push_back({.id = attempt, .sent_at = now});
  s->last_sent_at = now;
  if (now < s->cold_until) s->last_cold_send = now;
}

void OnServed(relay_server* s, uint64_t attempt, const reported_load* load,
              micros now) {
  micros sent_at = CloseAttempt(s, attempt);
  if (sent_at == 0) return;
  ResetBackoff(s);
  s->connected = true;
  micros sample = now - sent_at;
  s->min_latency =
      s->min_latency == 0 ? sample : std::min(s->min_latency, sample);
  if (s->mean_latency == 0) {
    s->mean_latency = sample;
  } else {
    micros max_sample =
        std::max(kMinSampleBase, s->mean_latency) * kMaxSampleFactor;
    s->mean_latency = (4 * s->mean_latency + std::min(sample, max_sample)) / 5;
  }
  s->mean_updated_at = now;
  s->last_reply_at = now;
  if (load != nullptr) {
    int all = load->running + load->waiting;
    s->other_hosts_load =
        std::max(0, all - static_cast<int>(s->open_attempts.size()));
    s->other_load_at = now;
    if (load->slowdown) RecordSlowdown(&s->slowdown, *load->slowdown, now);
  }
}

void OnFailed(relay_server* s, uint64_t attempt, micros now) {
  if (CloseAttempt(s, attempt) == 0) return;
  AddFault(s, now);
}

void OnBroken(relay_server* s, uint64_t attempt, micros now) {
  OnFailed(s, attempt, now);
  s->last_broken_at = now;
}

bool MayResetConnections(const relay_pool& pool, const relay_server& s,
                         micros now) {
  return now - pool.started_at < kStartupPeriod ||
         (s.last_broken_at != 0 &&
          now - s.last_broken_at < kRecentlyBrokenPeriod);
}

void OnRefused(relay_server* s, uint64_t attempt, bool paused, micros now) {
  if (CloseAttempt(s, attempt) == 0) return;
  ResetBackoff(s);
  if (!paused) AddFault(s, now);
}

void OnUnreachable(relay_server* s, uint64_t attempt, micros now) {
  if (CloseAttempt(s, attempt) == 0) return;
  AddFault(s, now);
  BackOff(s, now);
  s->unreachable = true;
  s->connected = false;
}

void OnServerFull(relay_service* service, relay_server* s, uint64_t attempt,
                  micros now) {
  service->full_at = now;
  if (CloseAttempt(s, attempt) == 0) return;
  int doublings = std::min(s->consecutive_full++, kMaxFullDoublings);
  s->full_until = now + (kInitialFullBackoff << doublings);
  s->last_broken_at = now;
  s->connected = false;
}

bool ConnectionsScarce(const relay_service& service, micros now) {
  return service.full_at != 0 && now - service.full_at < kScarcePeriod;
}

std::vector<server_ref> TakeDueProbes(relay_pool* pool, micros now) {
  std::vector<server_ref> due;
  for (const auto& [id, s] : pool->servers_by_id) {
    bool in_use = DrainDeadline(*pool, *s) == kNoDeadline && !s->misplaced &&
                  !pool->out_of_service.contains(s->info.data_centre);
    if (!s->unreachable || s->probe_pending || !in_use ||
        now < s->backoff_until) {
      continue;
    }
    s->probe_pending = true;
    due.push_back(s);
  }
  return due;
}

void OnProbeResult(relay_server* s, bool connected, micros now) {
  s->probe_pending = false;
  s->connected = connected;
  if (!s->unreachable) return;
  if (connected) {
    ResetBackoff(s);
  } else {
    BackOff(s, now);
  }
}

bool HasUnreachableServers(const relay_pool& pool) {
  return std::any_of(pool.servers_by_id.begin(), pool.servers_by_id.end(),
                     [&pool](const auto& entry) {
                       return entry.second->unreachable &&
                              DrainDeadline(pool, *entry.second) == kNoDeadline;
                     });
}

void OnMisplaced(relay_server* s, uint64_t attempt, micros now) {
  if (CloseAttempt(s, attempt) == 0) return;
  AddFault(s, now);
  s->misplaced = true;
}

void OnGivenUp(relay_server* s, uint64_t attempt, bool overdue, micros now) {
  if (CloseAttempt(s, attempt) == 0) return;
  if (!overdue) return;
  AddFault(s, now);
  BackOff(s, now);
}

}  // namespace baobabtray
