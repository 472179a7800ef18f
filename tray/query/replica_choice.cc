// Replica choice. See replica_choice.h.

#include "tray/query/replica_choice.h"

#include <algorithm>
#include <array>

namespace baobabtray {
namespace {

// Replicas considered for one shard; further ones are ignored.
constexpr size_t kMaxCandidates = 64;

struct candidate_list {
  std::array<int, kMaxCandidates> servers;
  size_t size = 0;

  void Add(int server) {
    if (size < kMaxCandidates) servers[size++] = server;
  }
  std::span<const int> all() const { return {servers.data(), size}; }
};

// Mixes the request's random bits for the n-th draw.
uint64_t Draw(uint64_t random, uint64_t n) {
  uint64_t x = random + (n + 1) * 0x9E3779B97F4A7C15ULL;
  x = (x ^ (x >> 30)) * 0xBF58476D1CE4E5B9ULL;
  return x ^ (x >> 27);
}

// A running mean that has not been renewed for this long counts half, so that a
// server that was slow once is tried again.
constexpr micros kTraceHalfLife = 2 * kSecond;

double TraceAt(const server_state& s, micros now) {
  micros halvings =
      std::min<micros>((now - s.mean_latency_at) / kTraceHalfLife, 10);
  return static_cast<double>(s.mean_latency >> halvings);
}

// Expected time until the server would answer one more request: its running
// mean, what is in hand there per slot, and the cost of a connection if one is
// needed.
double ExpectedWait(const fleet& f, int server, micros now) {
  const server_state& s = f.servers[server];
  const backend_server& b = f.current_view->topology->servers[server];
  int in_hand = std::max(s.load, s.window.in_flight);
  double wait = TraceAt(s, now) * (b.slots + in_hand) / b.slots;
  if (s.mean_latency != 0 && NeedsConnection(s)) {
    wait += static_cast<double>(b.connect_ms * kMillisecond);
  }
  return wait;
}

// Candidates of the nearest tier that has any.
candidate_list NearestTier(const fleet& f, const candidate_list& from) {
  distance nearest = distance::kFar;
  for (int s : from.all()) nearest = std::min(nearest, f.servers[s].away);
  candidate_list tier;
  for (int s : from.all()) {
    if (f.servers[s].away == nearest) tier.Add(s);
  }
  return tier;
}

int PickTwoChoices(const fleet& f, const candidate_list& from,
                   uint64_t random) {
  candidate_list tier = NearestTier(f, from);
  int a = tier.servers[Draw(random, 0) % tier.size];
  int b = tier.servers[Draw(random, 1) % tier.size];
  auto load = [&](int s) {
    return std::max(f.servers[s].load, f.servers[s].window.in_flight);
  };
  return load(b) < load(a) ? b : a;
}

// Smallest cost; equal costs are decided by the random bits, so that hosts with
// the same view do not all pick the same server.
template <typename Cost>
int PickCheapest(const candidate_list& from, uint64_t random, Cost cost) {
  int best = -1;
  double best_cost = 0;
  uint64_t best_draw = 0;
  for (int s : from.all()) {
    double c = cost(s);
    uint64_t draw = Draw(random, s);
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
  auto mean = [&](int s) { return TraceAt(f.servers[s], request.now); };
  if (request.priority_level == priority::kUrgent) {
    return PickCheapest(from, request.random, mean);
  }
  return PickCheapest(NearestTier(f, from), request.random, mean);
}

// The owner a request for `server` is handed to: one that may send to it now.
int PickOwner(const fleet& f, int server, const choice_request& request) {
  const server_state& s = f.servers[server];
  int owners = static_cast<int>(s.owner_hosts.size());
  if (owners == 0) return -1;
  bool cold = s.window.phase == window_phase::kCold ||
              s.window.phase == window_phase::kHeld;
  // While cold only the first `cold_limit` ranks hold a share.
  int able = cold ? std::min(owners, std::max(1, s.window.cold_limit)) : owners;
  int host = s.owner_hosts[Draw(request.random, 7) % able];
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
  candidate_list with_room, without_share, cold;
  bool holds = false;          // a server in service holds the shard
  bool out_holds = false;      // one that is out or leaving does
  bool may_wait = false;       // a full window will have room soon
  bool may_come_back = false;  // a cold or held one may, later
  for (int server : owner.servers) {
    const server_state& s = f.servers[server];
    if (!HoldsShard(s, request.version, request.shard)) continue;
    if (!IsInService(f, server)) {
      out_holds = true;
      continue;
    }
    holds = true;
    if (std::find(request.asked.begin(), request.asked.end(), server) !=
        request.asked.end()) {
      continue;
    }
    if (request.hedge && !IsWarmOrWarming(s.window)) continue;
    if (AvailableCapacity(s.window, request.now) > 0) {
      with_room.Add(server);
      if (!IsWarmOrWarming(s.window)) cold.Add(server);
    } else if (HasNoShare(s, request.now)) {
      without_share.Add(server);
    } else if (s.window.phase == window_phase::kWarm ||
               s.window.phase == window_phase::kWarming) {
      may_wait = true;
    } else {
      may_come_back = true;
    }
  }
  if (request.feed_cold && cold.size > 0) {
    return {.kind = choice_kind::kDirect,
            .server = Pick(f, mode, cold, request)};
  }
  if (with_room.size > 0) {
    return {.kind = choice_kind::kDirect,
            .server = Pick(f, mode, with_room, request)};
  }
  if (!may_wait && request.may_forward && without_share.size > 0) {
    int server = Pick(f, mode, without_share, request);
    int host = PickOwner(f, server, request);
    if (host >= 0) {
      return {.kind = choice_kind::kHandOver, .server = server, .host = host};
    }
  }
  if (may_wait || may_come_back) return {.kind = choice_kind::kWait};
  if (without_share.size > 0) {
    // A peer's request that this host can't serve either goes back at once.
    if (!request.may_forward) return {.reason = miss_reason::kRefused};
    return {.kind = choice_kind::kWait};
  }
  if (!holds && out_holds) return {.reason = miss_reason::kOutOfService};
  if (!holds) return {.reason = miss_reason::kVersionGone};
  return {.reason = miss_reason::kUnreachable};
}

}  // namespace baobabtray
