// Membership by random exchange of digests. See members.h.

#include "tray/members/members.h"

#include <algorithm>
#include <bit>

namespace baobabtray {
namespace {

// Of two claims about one incarnation the graver one wins.
int Gravity(member_status s) { return static_cast<int>(s); }

bool IsNews(const member& known, const member& said) {
  if (said.incarnation != known.incarnation) {
    return said.incarnation > known.incarnation;
  }
  return Gravity(said.status) > Gravity(known.status);
}

int SendsFor(const membership& ms) {
  constexpr int kFactor = 3;
  return kFactor * std::bit_width(ms.others.size() + 1);
}

bool IsReachable(const member& m) {
  return m.status == member_status::kLive ||
         m.status == member_status::kSuspect;
}

void SetStatus(const membership& ms, known_member* k, member_status status,
               micros now) {
  k->m.status = status;
  k->since = now;
  k->sends_left = SendsFor(ms);
}

}  // namespace

bool MergeMember(membership* ms, const member& said, micros now) {
  if (said.name == ms->self.name) {
    bool wrong = said.status != ms->self.status &&
                 Gravity(said.status) > Gravity(ms->self.status);
    if (wrong && said.incarnation >= ms->self.incarnation) {
      ms->self.incarnation = said.incarnation + 1;
    }
    return false;
  }
  auto found = ms->others.find(said.name);
  if (found == ms->others.end()) {
    // The dead are no news to somebody who never knew them.
    if (said.status == member_status::kDead) return false;
    known_member k{.m = said, .since = now};
    k.sends_left = SendsFor(*ms);
    ms->others.emplace(said.name, std::move(k));
    return true;
  }
  known_member& k = found->second;
  if (!IsNews(k.m, said)) return false;
  bool changed = k.m.status != said.status || k.m.peers != said.peers;
  k.m = said;
  SetStatus(*ms, &k, said.status, now);
  return changed;
}

void OnContact(membership* ms, const member& peer, micros now) {
  if (peer.name == ms->self.name) return;
  MergeMember(ms, peer, now);
  known_member& k = ms->others[peer.name];
  // It speaks for itself: nothing known of this incarnation is truer.
  if (peer.incarnation < k.m.incarnation) return;
  if (k.m.status == peer.status && k.m.incarnation == peer.incarnation) return;
  k.m = peer;
  SetStatus(*ms, &k, peer.status, now);
}

void OnNoAnswer(membership* ms, const std::string& name, micros now) {
  auto found = ms->others.find(name);
  if (found == ms->others.end()) return;
  if (found->second.m.status != member_status::kLive) return;
  SetStatus(*ms, &found->second, member_status::kSuspect, now);
}

bool Expire(membership* ms, micros now) {
  bool changed = false;
  for (auto at = ms->others.begin(); at != ms->others.end();) {
    known_member& k = at->second;
    micros age = now - k.since;
    bool gone = k.m.status == member_status::kDead && age > kForgetTime;
    if (gone) {
      at = ms->others.erase(at);
      continue;
    }
    bool overdue = k.m.status == member_status::kSuspect && age > kSuspectTime;
    bool left = k.m.status == member_status::kLeaving && age > kForgetTime;
    if (overdue || left) {
      SetStatus(*ms, &k, member_status::kDead, now);
      changed = true;
    }
    ++at;
  }
  return changed;
}

std::vector<member> TakeChanges(membership* ms) {
  std::vector<known_member*> due;
  for (auto& [name, k] : ms->others) {
    if (k.sends_left > 0) due.push_back(&k);
  }
  size_t count = std::min<size_t>(due.size(), kChangesPerDigest);
  std::partial_sort(due.begin(), due.begin() + count, due.end(),
                    [](const known_member* a, const known_member* b) {
                      return a->sends_left > b->sends_left;
                    });
  std::vector<member> changes;
  for (size_t i = 0; i < count; ++i) {
    --due[i]->sends_left;
    changes.push_back(due[i]->m);
  }
  return changes;
}

std::optional<endpoint> PickPeer(const membership& ms,
                                 std::mt19937_64* random) {
  // One exchange in eight goes to an address that may have come back.
  constexpr uint64_t kProbeEvery = 8;
  std::vector<endpoint> live, others;
  for (const auto& [name, k] : ms.others) {
    (IsReachable(k.m) ? live : others).push_back(k.m.peers);
  }
  for (const endpoint& seed : ms.seeds) {
    if (seed == ms.self.peers) continue;
    if (std::find(live.begin(), live.end(), seed) != live.end()) continue;
    others.push_back(seed);
  }
  bool probe = live.empty() || (*random)() % kProbeEvery == 0;
  const std::vector<endpoint>& from = probe && !others.empty() ? others : live;
  if (from.empty()) return std::nullopt;
  return from[(*random)() % from.size()];
}

std::vector<member> PickLive(const membership& ms, int count,
                             std::mt19937_64* random) {
  std::vector<member> live;
  for (const auto& [name, k] : ms.others) {
    if (IsReachable(k.m)) live.push_back(k.m);
  }
  std::vector<member> picked;
  std::sample(live.begin(), live.end(), std::back_inserter(picked), count,
              *random);
  return picked;
}

std::vector<member> LiveMembers(const membership& ms) {
  std::vector<member> live = {ms.self};
  for (const auto& [name, k] : ms.others) {
    if (IsReachable(k.m)) live.push_back(k.m);
  }
  return live;
}

std::vector<fleet_host> ShareHolders(const membership& ms, micros now) {
  std::vector<fleet_host> holders;
  if (ms.self.status == member_status::kLive) {
    holders.push_back({ms.self.name, ms.self.data_centre, ms.self.peers});
  }
  for (const auto& [name, k] : ms.others) {
    bool fresh = now - k.since < kShareMemory;
    if (!IsReachable(k.m) && !fresh) continue;
    holders.push_back({name, k.m.data_centre, k.m.peers});
  }
  return holders;
}

}  // namespace baobabtray
