// Changes kept for other hosts, and the choice of hubs. See change_log.h.

#include "tray/relayd/change_log.h"

#include <algorithm>

#include "tray/base/hash.h"

namespace baobabtray {

void change_log::Reset(uint64_t revision) {
  items_.clear();
  newest_.clear();
  bytes_ = 0;
  start_ = revision_ = revision;
}

void change_log::Append(const std::vector<stored_item>& items,
                        uint64_t revision) {
  for (const stored_item& item : items) {
    auto known = newest_.find(item.key);
    if (known != newest_.end()) {
      if (known->second >= item.revision) continue;
      Drop(known->second, item.key);
    }
    newest_[item.key] = item.revision;
    bytes_ += item.value.size();
    items_.insert({{item.revision, item.key}, item});
  }
  revision_ = std::max(revision_, revision);
  while (items_.size() > kMaxLogItems || bytes_ > kMaxLogBytes) {
    auto [oldest, key] = items_.begin()->first;
    start_ = std::max(start_, oldest);
    Drop(oldest, key);
  }
}

void change_log::Drop(uint64_t revision, const std::string& key) {
  auto found = items_.find({revision, key});
  bytes_ -= found->second.value.size();
  items_.erase(found);
  newest_.erase(key);
}

std::optional<std::vector<stored_item>> change_log::Since(
    uint64_t after) const {
  if (after < start_ || revision_ == 0) return std::nullopt;
  std::vector<stored_item> changes;
  for (auto it = items_.lower_bound({after + 1, ""}); it != items_.end();
       ++it) {
    changes.push_back(it->second);
  }
  return changes;
}

const registered_host* HubOf(const std::map<std::string, registered_host>& live,
                             const registered_host& own) {
  std::vector<std::pair<uint64_t, const registered_host*>> near;
  for (const auto& [name, entry] : live) {
    if (entry.data_centre != own.data_centre || entry.peer_address.port == 0)
      continue;
    near.emplace_back(HashOf(name), &entry);
  }
  if (near.size() < kLeastHostsWithHub) return nullptr;
  std::sort(near.begin(), near.end());
  size_t hubs = (near.size() + kHostsPerHub - 1) / kHostsPerHub;
  for (size_t i = 0; i < hubs; ++i) {
    if (near[i].second->name == own.name) return nullptr;
  }
  return near[HashOf(own.name) % hubs].second;
}

}  // namespace baobabtray
