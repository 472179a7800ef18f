// Membership by random exchange of digests. See members.h.

#include "tray/members/members.h"

#include <algorithm>
#include <bit>

namespace baobabtray {
namespace {

int Precedence(member_status s) { return static_cast<int>(s); }

// Returns true if `report` is newer than `known` or, for the same incarnation,
// has a status of higher precedence.
bool Supersedes(const member& known, const member& report) {
  if (report.incarnation != known.incarnation) {
    return report.incarnation > known.incarnation;
  }
  return Precedence(report.status) > Precedence(known.status);
}

int SendsPerChange(const membership& ms) {
  constexpr int kFactor = 3;
  return kFactor * std::bit_width(ms.others.size() + 1);
}

bool IsReachable(const member& m) {
  return m.status == member_status::kLive ||
         m.status == member_status::kSuspect;
}

void SetStatus(const membership& ms, known_member* k, member_status status,
               micros now) {
  k->info.status = status;
  k->since = now;
  k->sends_left = SendsPerChange(ms);
}

}  // namespace

bool MergeMember(membership* ms, const member& report, micros now) {
  if (report.name == ms->self.name) {
    bool wrong = report.status != ms->self.status &&
                 Precedence(report.status) > Precedence(ms->self.status);
    if (wrong && report.incarnation >= ms->self.incarnation) {
      ms->self.incarnation =
          std::min(report.incarnation, kMaxIncarnation - 1) + 1;
    }
    return false;
  }
  auto found = ms->others.find(report.name);
  if (found == ms->others.end()) {
    // An unknown host that is already dead is not added.
    if (report.status == member_status::kDead) return false;
    known_member k{.info = report, .since = now};
    k.sends_left = SendsPerChange(*ms);
    ms->others.emplace(report.name, std::move(k));
    return true;
  }
  known_member& k = found->second;
  if (!Supersedes(k.info, report)) return false;
  bool changed = k.info.status != report.status ||
                 k.info.peer_address != report.peer_address;
  k.info = report;
  SetStatus(*ms, &k, report.status, now);
  return changed;
}

void OnContact(membership* ms, const member& peer, micros now) {
  if (peer.name == ms->self.name) return;
  MergeMember(ms, peer, now);
  known_member& k = ms->others[peer.name];
  // The host's own report overrides all others about the same incarnation.
  if (peer.incarnation < k.info.incarnation) return;
  if (k.info.status == peer.status && k.info.incarnation == peer.incarnation)
    return;
  k.info = peer;
  SetStatus(*ms, &k, peer.status, now);
}

void OnNoReply(membership* ms, const std::string& name, micros now) {
  auto found = ms->others.find(name);
  if (found == ms->others.end()) return;
  if (found->second.info.status != member_status::kLive) return;
  SetStatus(*ms, &found->second, member_status::kSuspect, now);
}

bool ExpireMembers(membership* ms, micros now) {
  bool changed = false;
  for (auto at = ms->others.begin(); at != ms->others.end();) {
    known_member& k = at->second;
    micros age = now - k.since;
    bool expired =
        k.info.status == member_status::kDead && age > kDeadRetention;
    if (expired) {
      at = ms->others.erase(at);
      continue;
    }
    bool unrefuted =
        k.info.status == member_status::kSuspect && age > kSuspectTimeout;
    bool left =
        k.info.status == member_status::kLeaving && age > kDeadRetention;
    if (unrefuted || left) {
      SetStatus(*ms, &k, member_status::kDead, now);
      changed = true;
    }
    ++at;
  }
  return changed;
}

std::vector<member> TakePendingChanges(membership* ms) {
  std::vector<known_member*> pending;
  for (auto& [name, k] : ms->others) {
    if (k.sends_left > 0) pending.push_back(&k);
  }
  size_t count = std::min<size_t>(pending.size(), kMaxChangesPerDigest);
  std::partial_sort(pending.begin(), pending.begin() + count, pending.end(),
                    [](const known_member* a, const known_member* b) {
                      return a->sends_left > b->sends_left;
                    });
  std::vector<member> changes;
  for (size_t i = 0; i < count; ++i) {
    --pending[i]->sends_left;
    changes.push_back(pending[i]->info);
  }
  return changes;
}

std::optional<endpoint> PickPeer(const membership& ms,
                                 std::mt19937_64* random) {
  // One exchange in eight goes to an address at which no host is known to be
  // live, in case one has come back.
  constexpr uint64_t kProbeEvery = 8;
  std::vector<endpoint> live, others;
  for (const auto& [name, k] : ms.others) {
    (IsReachable(k.info) ? live : others).push_back(k.info.peer_address);
  }
  for (const endpoint& seed : ms.seeds) {
    if (seed == ms.self.peer_address) continue;
    if (std::find(live.begin(), live.end(), seed) != live.end()) continue;
    others.push_back(seed);
  }
  bool probe = live.empty() || (*random)() % kProbeEvery == 0;
  const std::vector<endpoint>& candidates =
      probe && !others.empty() ? others : live;
  if (candidates.empty()) return std::nullopt;
  return candidates[(*random)() % candidates.size()];
}

std::vector<member> PickLiveMembers(const membership& ms, int count,
                                    std::mt19937_64* random) {
  std::vector<member> live;
  for (const auto& [name, k] : ms.others) {
    if (IsReachable(k.info)) live.push_back(k.info);
  }
  std::vector<member> picked;
  std::sample(live.begin(), live.end(), std::back_inserter(picked), count,
              *random);
  return picked;
}

std::vector<member> LiveMembers(const membership& ms) {
  std::vector<member> live = {ms.self};
  for (const auto& [name, k] : ms.others) {
    if (IsReachable(k.info)) live.push_back(k.info);
  }
  return live;
}

std::vector<fleet_host> ShareHolders(const membership& ms, micros now) {
  std::vector<fleet_host> holders;
  if (ms.self.status == member_status::kLive) {
    holders.push_back(
        {ms.self.name, ms.self.data_centre, ms.self.peer_address});
  }
  for (const auto& [name, k] : ms.others) {
    bool recent = now - k.since < kShareRetention;
    if (!IsReachable(k.info) && !recent) continue;
    holders.push_back({name, k.info.data_centre, k.info.peer_address});
  }
  return holders;
}

}  // namespace baobabtray
