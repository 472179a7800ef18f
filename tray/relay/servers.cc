// Knowledge about registered servers, and the choice. See servers.h.

#include "tray/relay/servers.h"

#include <algorithm>
#include <cmath>

#include "tray/base/hash.h"

namespace baobabtray {
namespace {

// An entry that has lapsed is back within two seconds if its server lives.
constexpr micros kLapseTime = 2500 * kMillisecond;
// Kept free of the time for which a leaving server may be sent to: the change
// has been on its way to this host, and a request is on its way to the server.
constexpr micros kLeaveMargin = 500 * kMillisecond;
// Part of the time for which leaving servers serve on, in which they are still
// used if no other is left, as when the shards of an older version drain.
constexpr micros kLastUsePart = 4;
// Expected times of servers that were never measured, by distance. Replaced by
// the first reply. Added once more where a connection has to be made first.
constexpr micros kUnmeasured[] = {5 * kMillisecond, 8 * kMillisecond,
                                  30 * kMillisecond};
// Added to a server of another region or data centre: bytes between them cost,
// and an answer that is on time anyway is worth no more for being earlier.
constexpr micros kFarCost = 15 * kMillisecond;
constexpr micros kRegionCost = 1 * kMillisecond;
// A reply counts for at most this many times the mean, so that the replies held
// up by one short pause do not look like a slow server.
constexpr int kMaxSample = 3;
constexpr micros kLeastSample = 5 * kMillisecond;
// A mean that is not renewed halves this often, so that the server is tried.
constexpr micros kTypicalHalfLife = 1 * kSecond;
constexpr int kMaxHalvings = 4;
// Expected time added for each recent fault, and how fast faults are forgotten.
constexpr micros kFaultCost = 20 * kMillisecond;
constexpr micros kFaultHalfLife = 2 * kSecond;
// Reported load of others counts in full at first and halves this often.
constexpr micros kLoadHalfLife = 50 * kMillisecond;
// Requests for each of a server's connections that may be under way or wait for
// one: a near server that answers in some ms is worth waiting for, when the
// next one is far away.
constexpr size_t kPerConnection = 2;
// Part of a server's connections that live hosts divide. The rest is for hosts
// that have started since the last count.
constexpr double kDividedPart = 0.75;
// The same for a host that has just started.
constexpr double kDividedAtStart = 0.5;
// A server that broke off lately may be full.
constexpr micros kBrokenTime = 3 * kSecond;
// A server that can't be reached is left alone this long, doubled each time.
constexpr micros kFirstHold = 200 * kMillisecond;
constexpr micros kMaxHold = 2 * kSecond;
constexpr int kMaxHoldDoublings = 4;

double Decayed(double value, micros age, micros half_life) {
  if (value == 0 || age <= 0) return value;
  return value * std::exp2(-static_cast<double>(age) / half_life);
}

void AddFault(relay_server* s, micros now) {
  s->faults = Decayed(s->faults, now - s->faults_at, kFaultHalfLife) + 1;
  s->faults_at = now;
}

// Removes an attempt; returns when it was sent, or 0.
micros Close(relay_server* s, uint64_t attempt) {
  for (auto it = s->open.begin(); it != s->open.end(); ++it) {
    if (it->id != attempt) continue;
    micros sent_at = it->sent_at;
    s->open.erase(it);
    return sent_at;
  }
  return 0;
}

void Hold(relay_server* s, micros now) {
  int doublings = std::min(s->silent, kMaxHoldDoublings);
  ++s->silent;
  s->held_until = now + std::min(kMaxHold, kFirstHold << doublings);
}

void Alive(relay_server* s) {
  s->silent = 0;
  s->held_until = 0;
  s->unreachable = false;
}

server_distance DistanceOf(const relay_pool& p, const relay_server& s) {
  if (s.info.data_centre == p.data_centre) return server_distance::kLocal;
  return s.region == p.region ? server_distance::kRegion
                              : server_distance::kFar;
}

void Detach(relay_pool* p, const server_ref& s) {
  std::vector<server_ref>& all = ServiceOf(p, s->info.service)->servers;
  all.erase(std::remove(all.begin(), all.end(), s), all.end());
}

bool Contains(const std::vector<std::string>* list, const std::string& word) {
  return list != nullptr &&
         std::find(list->begin(), list->end(), word) != list->end();
}

// Requests/s that this host may send to a cold server.
bool ColdAllows(const relay_pool& p, const relay_service& service,
                const relay_server& s, micros now) {
  if (service.terms.cold_rate <= 0 || now >= s.cold_until) return true;
  double share = service.terms.cold_rate / std::max(1, p.hosts);
  auto gap = static_cast<micros>(static_cast<double>(kSecond) / share);
  return s.last_cold_send == 0 || now - s.last_cold_send >= gap;
}

// How willingly a server is used; lower values first.
enum class use_tier { kNormal, kHeld, kLastUse, kNever };

use_tier TierOf(const relay_pool& p, const relay_server& s,
                const pick_request& r) {
  if (s.misplaced || p.out_of_service.contains(s.info.data_centre)) {
    return use_tier::kNever;
  }
  if (r.regions != nullptr && !r.regions->empty() &&
      !Contains(r.regions, s.region)) {
    return use_tier::kNever;
  }
  if (s.last_use != 0) {
    return r.now < s.last_use ? use_tier::kLastUse : use_tier::kNever;
  }
  bool held = s.unreachable || r.now < s.held_until;
  return held ? use_tier::kHeld : use_tier::kNormal;
}

}  // namespace

void PutServer(relay_pool* p, registered_server entry, micros now) {
  server_ref& s = p->by_id[entry.id];
  bool known = s != nullptr;
  // An entry that was written late says what was so before.
  if (known && s->info.started_ms == entry.started_ms &&
      entry.sequence < s->info.sequence) {
    return;
  }
  if (known &&
      (s->info.started_ms != entry.started_ms ||
       s->info.service != entry.service || s->info.address != entry.address)) {
    // Another start: attempts that are open keep the old state alive.
    Detach(p, s);
    known = false;
  }
  if (!known) s = std::make_shared<relay_server>();
  bool was_leaving = known && s->info.leaving;
  s->info = std::move(entry);
  auto region = p->region_of.find(s->info.data_centre);
  s->region = region == p->region_of.end() ? "" : region->second;
  s->away = DistanceOf(*p, *s);
  s->cold_until = s->info.cold_for > 0 ? now + s->info.cold_for : 0;
  s->misplaced = false;
  s->lapsed = false;
  if (!s->info.leaving) {
    s->last_use = 0;
  } else if (!was_leaving) {
    // How long ago a server left that was not known before can't be told, and
    // a change may have been learned late.
    s->last_use = known ? now + p->leave_time / kLastUsePart : now;
  }
  if (!known) ServiceOf(p, s->info.service)->servers.push_back(s);
}

void RemoveServer(relay_pool* p, std::string_view id, micros now) {
  auto found = p->by_id.find(std::string(id));
  if (found == p->by_id.end()) return;
  relay_server& s = *found->second;
  if (s.lapsed) return;
  s.lapsed = true;
  micros most = now + std::min(kLapseTime, p->leave_time - kLeaveMargin);
  s.last_use = s.info.leaving ? std::min(s.last_use, most) : most;
}

void SweepServers(relay_pool* p, micros now) {
  for (auto it = p->by_id.begin(); it != p->by_id.end();) {
    const server_ref& s = it->second;
    if (s->lapsed && now >= s->last_use) {
      Detach(p, s);
      it = p->by_id.erase(it);
    } else {
      ++it;
    }
  }
}

relay_service* ServiceOf(relay_pool* p, const std::string& name) {
  auto [found, made] = p->services.try_emplace(name);
  if (made)
    found->second.extra.rounding = NormalizedRendezvousScore(name, p->host);
  return &found->second;
}

void SetTerms(relay_pool* p, const std::vector<service_terms>& terms) {
  for (const service_terms& t : terms) ServiceOf(p, t.name)->terms = t;
}

void SetHosts(relay_pool* p, int live, int recorded) {
  p->hosts = std::max({1, live, recorded});
  p->extra.floor = static_cast<double>(p->extra_floor) / p->hosts;
}

micros ExpectedTime(const relay_server& s, int connections, micros now) {
  double base = static_cast<double>(kUnmeasured[static_cast<int>(s.away)]);
  if (s.typical != 0) {
    micros age = std::min(now - s.typical_at - kTypicalHalfLife,
                          kMaxHalvings * kTypicalHalfLife);
    base =
        std::max(Decayed(static_cast<double>(s.typical), age, kTypicalHalfLife),
                 static_cast<double>(s.fastest));
  }
  if (!s.open.empty()) {
    base = std::max(base, static_cast<double>(now - s.open.front().sent_at));
  }
  double queue = static_cast<double>(s.open.size()) +
                 Decayed(s.others, now - s.others_at, kLoadHalfLife);
  double slots = std::max(1, s.info.slots);
  if (!s.connected && s.open.empty()) {
    base += static_cast<double>(kUnmeasured[static_cast<int>(s.away)]);
  }
  double expected = base * (1 + std::max(0.0, queue + 1 - slots) / slots);
  double waiting = static_cast<double>(s.open.size()) + 1 - connections;
  if (waiting > 0) expected += base * waiting / connections;
  expected += Decayed(s.faults, now - s.faults_at, kFaultHalfLife) *
              static_cast<double>(kFaultCost);
  if (s.away == server_distance::kFar) expected += kFarCost;
  if (s.away == server_distance::kRegion) expected += kRegionCost;
  return static_cast<micros>(expected);
}

int ConnectionsOf(const relay_pool& p, const relay_service& s, micros now) {
  bool starting = now - p.started_at < kStartTime;
  double part = starting ? kDividedAtStart : kDividedPart;
  double divided = s.terms.max_connections * part;
  return std::max(1, static_cast<int>(divided / p.hosts));
}

server_ref PickServer(relay_pool* p, const pick_request& r,
                      pick_problem* problem) {
  server_ref best;
  use_tier best_tier = use_tier::kNever;
  micros best_time = 0;
  bool busy = false;
  auto found = p->services.find(std::string(r.service));
  if (found != p->services.end()) {
    const relay_service& service = found->second;
    int connections = ConnectionsOf(*p, service, r.now);
    size_t most = static_cast<size_t>(connections) * kPerConnection;
    size_t count = service.servers.size();
    for (size_t i = 0; i < count; ++i) {
      // The first of equal servers wins: begin at a random one.
      const server_ref& s = service.servers[(i + r.random) % count];
      use_tier tier = TierOf(*p, *s, r);
      if (tier == use_tier::kNever || Contains(r.asked, s->info.id)) continue;
      if (s->open.size() >= most || !ColdAllows(*p, service, *s, r.now)) {
        busy = true;
        continue;
      }
      micros time = ExpectedTime(*s, connections, r.now);
      if (best == nullptr || tier < best_tier ||
          (tier == best_tier && time < best_time)) {
        best = s;
        best_tier = tier;
        best_time = time;
      }
    }
  }
  if (problem != nullptr) {
    *problem = best != nullptr ? pick_problem::kNone
               : busy          ? pick_problem::kBusy
                               : pick_problem::kNoServer;
  }
  return best;
}

void OnSent(relay_server* s, uint64_t attempt, micros now) {
  s->open.push_back({.id = attempt, .sent_at = now});
  if (now < s->cold_until) s->last_cold_send = now;
}

void OnServed(relay_server* s, uint64_t attempt, const reported_load* load,
              micros now) {
  micros sent_at = Close(s, attempt);
  if (sent_at == 0) return;
  Alive(s);
  s->connected = true;
  micros sample = now - sent_at;
  s->fastest = s->fastest == 0 ? sample : std::min(s->fastest, sample);
  if (s->typical == 0) {
    s->typical = sample;
  } else {
    micros most = std::max(kLeastSample, s->typical) * kMaxSample;
    s->typical = (4 * s->typical + std::min(sample, most)) / 5;
  }
  s->typical_at = now;
  if (load != nullptr) {
    int all = load->running + load->waiting;
    s->others = std::max(0, all - static_cast<int>(s->open.size()));
    s->others_at = now;
  }
}

void OnFailed(relay_server* s, uint64_t attempt, micros now) {
  if (Close(s, attempt) == 0) return;
  AddFault(s, now);
}

void OnBroken(relay_server* s, uint64_t attempt, micros now) {
  OnFailed(s, attempt, now);
  s->broken_at = now;
}

bool MayReset(const relay_pool& p, const relay_server& s, micros now) {
  return now - p.started_at < kStartTime ||
         (s.broken_at != 0 && now - s.broken_at < kBrokenTime);
}

void OnRefused(relay_server* s, uint64_t attempt, micros now) {
  if (Close(s, attempt) == 0) return;
  Alive(s);
  AddFault(s, now);
}

void OnUnreachable(relay_server* s, uint64_t attempt, micros now) {
  if (Close(s, attempt) == 0) return;
  AddFault(s, now);
  Hold(s, now);
  s->unreachable = true;
  s->connected = false;
}

std::vector<server_ref> TakeProbes(relay_pool* p, micros now) {
  std::vector<server_ref> due;
  for (const auto& [id, s] : p->by_id) {
    bool wanted = s->last_use == 0 && !s->misplaced &&
                  !p->out_of_service.contains(s->info.data_centre);
    if (!s->unreachable || s->probing || !wanted || now < s->held_until) {
      continue;
    }
    s->probing = true;
    due.push_back(s);
  }
  return due;
}

void OnProbed(relay_server* s, bool connected, micros now) {
  s->probing = false;
  s->connected = connected;
  if (!s->unreachable) return;
  if (connected) {
    Alive(s);
  } else {
    Hold(s, now);
  }
}

bool HasUnreachable(const relay_pool& p) {
  return std::any_of(p.by_id.begin(), p.by_id.end(), [](const auto& entry) {
    return entry.second->unreachable && entry.second->last_use == 0;
  });
}

void OnMisplaced(relay_server* s, uint64_t attempt, micros now) {
  if (Close(s, attempt) == 0) return;
  AddFault(s, now);
  s->misplaced = true;
}

void OnGivenUp(relay_server* s, uint64_t attempt, bool silent, micros now) {
  if (Close(s, attempt) == 0) return;
  if (!silent) return;
  AddFault(s, now);
  Hold(s, now);
}

}  // namespace baobabtray
