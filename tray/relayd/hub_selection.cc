// Ranking of the hosts of a data centre. See hub_selection.h.

#include "tray/relayd/hub_selection.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "tray/base/hash.h"

namespace baobabtray {
namespace {

bool IsAvoided(const hub_choice& choice, const std::string& name, micros now) {
  auto found = choice.avoided_until.find(name);
  return found != choice.avoided_until.end() && now < found->second;
}

bool CanBeHub(const registered_host& host, const registered_host& own) {
  return host.data_centre == own.data_centre && host.peer_address.port != 0;
}

}  // namespace

bool HasHubs(const std::map<std::string, registered_host>& live,
             const registered_host& own) {
  auto hosts = std::count_if(
      live.begin(), live.end(),
      [&own](const auto& entry) { return CanBeHub(entry.second, own); });
  return static_cast<size_t>(hosts) >= kMinHostsForHub;
}

const registered_host* SelectHub(
    const std::map<std::string, registered_host>& live,
    const registered_host& own, const hub_choice& choice, micros now) {
  std::vector<std::pair<uint64_t, const registered_host*>> candidates;
  size_t hosts = 0;
  for (const auto& [name, entry] : live) {
    if (!CanBeHub(entry, own)) continue;
    ++hosts;
    if (!IsAvoided(choice, name, now))
      candidates.emplace_back(HashOf(name), &entry);
  }
  if (hosts < kMinHostsForHub) return nullptr;
  std::sort(candidates.begin(), candidates.end());
  size_t hubs =
      std::min(candidates.size(), (hosts + kHostsPerHub - 1) / kHostsPerHub);
  for (size_t i = 0; i < hubs; ++i) {
    if (candidates[i].second->name == own.name) return nullptr;
  }
  return hubs == 0 ? nullptr : candidates[HashOf(own.name) % hubs].second;
}

void FollowHub(hub_choice* choice, const std::string& hub, micros now) {
  if (hub == choice->hub) return;
  choice->hub = hub;
  choice->following = now;
}

void AvoidHub(hub_choice* choice, const std::string& hub, micros now) {
  std::erase_if(choice->avoided_until,
                [now](const auto& entry) { return entry.second <= now; });
  choice->avoided_until[hub] = now + kAvoidTime;
}

}  // namespace baobabtray
