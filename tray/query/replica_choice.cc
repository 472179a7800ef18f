// Replica choice. See replica_choice.h.

#include "tray/query/replica_choice.h"

#include <algorithm>
#include <array>

namespace baobabtray {
namespace {

// Maximum replicas considered for one shard; the others are ignored.
constexpr size_t kMaxCandidates = 64;

struct candidate_list {
  std::array<int, kMaxCandidates> servers;
  size_t size = 0;

  void Add(int server) {
    if (size < kMaxCandidates) servers[size++] = server;
  }
  std::span<const int> all() const { return {servers.data(), size}; }
};

// The n-th number derived from the request's random bits.
uint64_t MixBits(uint64_t random, uint64_t n) {
  uint64_t x = random + (n + 1) * 0x9E3779B97F4A7C15ULL;
  x = (x ^ (x >> 30)) * 0xBF58476D1CE4E5B9ULL;
  return x ^ (x >> 27);
}

// A moving average is halved per kMeanLatencyHalfLife without an update, so
// that a server that was slow once is tried again.
constexpr micros kMeanLatencyHalfLife = 2 * kSecond;

double DecayedMeanLatency(const server_state& s, micros now) {
  micros halvings =
      std::min<micros>((now - s.mean_latency_at) / kMeanLatencyHalfLife, 10);
  return static_cast<double>(s.mean_latency >> halvings);
}

// Expected time until the server would answer one more request: its mean
// latency scaled by the outstanding requests per slot, plus the time to connect
// if a new connection is needed.
double ExpectedWait(const fleet& f, int server, micros now) {
  const server_state& s = f.servers[server];
  const backend_server& b = f.current_view->topology->servers[server];
  int outstanding = std::max(s.load, s.window.in_flight);
  double wait = DecayedMeanLatency(s, now) * (b.slots + outstanding) / b.slots;
  if (s.mean_latency != 0 && NeedsConnection(s)) {
    wait += static_cast<double>(b.connect_ms * kMillisecond);
  }
  return wait;
}

// The candidates at the smallest distance.
candidate_list NearestCandidates(const fleet& f, const candidate_list& from) {
  distance nearest = distance::kOtherRegion;
  for (int s : from.all())
    nearest = std::min(nearest, f.servers[s].distance_from_host);
  candidate_list nearby;
  for (int s : from.all()) {
    if (f.servers[s].distance_from_host == nearest) nearby.Add(s);
  }
  return nearby;
}

int PickTwoChoices(const fleet& f, const candidate_list& from,
                   uint64_t random) {
  candidate_list nearby = NearestCandidates(f, from);
  int a = nearby.servers[MixBits(random, 0) % nearby.size];
  int b = nearby.servers[MixBits(random, 1) % nearby.size];
  auto load = [&](int s) {
    return std::max(f.servers[s].load, f.servers[s].window.in_flight);
  };
  return load(b) < load(a) ? b : a;
}

// The candidate of smallest cost. Ties are broken by the random bits, so that
// hosts with the same state do not all select the same server.
template <typename Cost>
int PickCheapest(const candidate_list& from, uint64_t random, Cost cost) {
  int best = -1;
  double best_cost = 0;
  uint64_t best_draw = 0;
  for (int s : from.all()) {
    double c = cost(s);
    uint64_t draw = MixBits(random, s);
    if (best < 0 || c < best_cost || (c == best_cost && draw < best_draw)) {
      best = s;
      best_cost = c;
      best_draw = draw;
    }
  }
  return best;
}

int Pick(const fleet& f, choice_mode mode, const candidate_list& from,
         const choice_request& request) {
  switch (mode) {
    case choice_mode::kTwoChoices:
      return PickTwoChoices(f, from, request.random);
    case choice_mode::kLeastWait:
      return PickCheapest(from, request.random, [&](int s) {
        return ExpectedWait(f, s, request.now);
      });
    case choice_mode::kTraceTable:
      break;
  }
  auto mean = [&](int s) {
    return DecayedMeanLatency(f.servers[s], request.now);
  };
  if (request.priority_level == priority::kUrgent) {
    return PickCheapest(from, request.random, mean);
  }
  return PickCheapest(NearestCandidates(f, from), request.random, mean);
}

// Position of the owner to which a request for `server` is forwarded, or -1 if
// that is this host. Only owners that have a share are considered.
int PickOwner(const fleet& f, int server, const choice_request& request) {
  const server_state& s = f.servers[server];
  int owners = static_cast<int>(s.owner_hosts.size());
  if (owners == 0) return -1;
  bool cold = s.window.phase == window_phase::kCold ||
              s.window.phase == window_phase::kHeld;
  // While the server is cold, only the first `cold_limit` owners have a share.
  int candidate_count =
      cold ? std::min(owners, std::max(1, s.window.cold_limit)) : owners;
  int host = s.owner_hosts[MixBits(request.random, 7) % candidate_count];
  return host == f.self ? -1 : host;
}

bool HasNoShare(const server_state& s, micros now) {
  switch (s.window.phase) {
    case window_phase::kCold:
    case window_phase::kHeld:
      return ColdShare(s.window, now) == 0;
    default:
      return ConnectionShare(s) == 0;
  }
}

}  // namespace

bool HoldsShard(const server_state& s, uint64_t version, int shard) {
  for (const version_report& v : s.versions) {
    if (v.version != version) continue;
    return std::binary_search(v.shards.begin(), v.shards.end(), shard);
  }
  return false;
}

choice ChooseReplica(const fleet& f, choice_mode mode,
                     const choice_request& request) {
  const service& owner = f.current_view->topology->services[request.service];
  candidate_list with_capacity, without_share, cold_candidates;
  bool held_in_service = false;      // by a server that is in service
  bool held_out_of_service = false;  // by one out of service or leaving
  bool may_wait = false;             // a full window will have capacity soon
  bool may_recover = false;  // a cold or held server may have capacity later
  for (int server : owner.servers) {
    const server_state& s = f.servers[server];
    if (!HoldsShard(s, request.version, request.shard)) continue;
    if (!IsInService(f, server)) {
      held_out_of_service = true;
      continue;
    }
    held_in_service = true;
    if (std::find(request.excluded.begin(), request.excluded.end(), server) !=
        request.excluded.end()) {
      continue;
    }
    if (request.hedge && !IsWarmOrWarming(s.window)) continue;
    if (AvailableCapacity(s.window, request.now) > 0) {
      with_capacity.Add(server);
      if (!IsWarmOrWarming(s.window)) cold_candidates.Add(server);
    } else if (HasNoShare(s, request.now)) {
      without_share.Add(server);
    } else if (s.window.phase == window_phase::kWarm ||
               s.window.phase == window_phase::kWarming) {
      may_wait = true;
    } else {
      may_recover = true;
    }
  }
  if (request.prefer_cold && cold_candidates.size > 0) {
    return {.kind = choice_kind::kDirect,
            .server = Pick(f, mode, cold_candidates, request)};
  }
  if (with_capacity.size > 0) {
    return {.kind = choice_kind::kDirect,
            .server = Pick(f, mode, with_capacity, request)};
  }
  if (!may_wait && request.may_forward && without_share.size > 0) {
    int server = Pick(f, mode, without_share, request);
    int host = PickOwner(f, server, request);
    if (host >= 0) {
      return {.kind = choice_kind::kForward, .server = server, .host = host};
    }
  }
  if (may_wait || may_recover) return {.kind = choice_kind::kWait};
  if (without_share.size > 0) {
    // A forwarded request is refused at once, not forwarded again.
    if (!request.may_forward) return {.reason = miss_reason::kRefused};
    return {.kind = choice_kind::kWait};
  }
  if (!held_in_service && held_out_of_service)
    return {.reason = miss_reason::kOutOfService};
  if (!held_in_service) return {.reason = miss_reason::kVersionGone};
  return {.reason = miss_reason::kUnreachable};
}

}  // namespace baobabtray
