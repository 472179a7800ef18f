// Version choice. See snapshot.h.

#include "tray/query/snapshot.h"

#include <algorithm>
#include <bitset>

namespace baobabtray {
namespace {

// Versions held anywhere among `services`, newest first, without repeats.
std::vector<uint64_t> KnownVersions(const fleet& f,
                                    std::span<const int> services) {
  std::vector<uint64_t> versions;
  for (int s : services) {
    for (int server : f.current_view->topology->services[s].servers) {
      for (const version_report& v : f.servers[server].versions) {
        if (std::find(versions.begin(), versions.end(), v.version) ==
            versions.end()) {
          versions.push_back(v.version);
        }
      }
    }
  }
  std::sort(versions.rbegin(), versions.rend());
  return versions;
}

bool CanAnswer(const fleet& f, int server) {
  return IsInService(f, server) &&
         f.servers[server].window.phase != window_phase::kHeld;
}

// How one service stands in one version.
struct service_cut {
  int total = 0;
  int answerable = 0;
};

service_cut CutOf(const fleet& f, int service_position, uint64_t version) {
  const service& s = f.current_view->topology->services[service_position];
  service_cut cut;
  std::bitset<kMaxShardsPerService> held;
  bool reported = false;
  for (int server : s.servers) {
    for (const version_report& v : f.servers[server].versions) {
      if (v.version != version) continue;
      reported = true;
      cut.total = std::max(cut.total, v.shard_count);
      if (!CanAnswer(f, server)) continue;
      for (int shard : v.shards) held.set(shard);
    }
  }
  if (!reported) cut.total = s.shards;
  cut.answerable = static_cast<int>(held.count());
  return cut;
}

}  // namespace

std::optional<snapshot> PickSnapshot(const fleet& f,
                                     std::span<const int> services) {
  std::optional<snapshot> best;
  std::vector<int> best_totals;
  for (uint64_t version : KnownVersions(f, services)) {
    int total = 0, answerable = 0;
    std::vector<int> totals;
    for (int s : services) {
      service_cut cut = CutOf(f, s, version);
      total += cut.total;
      answerable += cut.answerable;
      totals.push_back(cut.total);
    }
    // Compared as fractions, since versions may differ in their totals.
    bool better = !best || int64_t{answerable} *
                                   static_cast<int64_t>(best->shards.size()) >
                               int64_t{best->answerable} * total;
    if (!better) continue;
    best = snapshot{.version = version, .answerable = answerable};
    best->shards.resize(total);
    best_totals = std::move(totals);
    if (answerable == total) break;  // newest that is complete
  }
  if (!best) return std::nullopt;
  best->shards.clear();
  for (size_t i = 0; i < services.size(); ++i) {
    for (int shard = 0; shard < best_totals[i]; ++shard) {
      best->shards.push_back({.service = services[i], .shard = shard});
    }
  }
  return best;
}

}  // namespace baobabtray
