// Implementation of the change log.

#include "tray/relayd/change_log.h"

#include <algorithm>

namespace baobabtray {

void change_log::Reset(uint64_t revision) {
  items_.clear();
  latest_.clear();
  bytes_ = 0;
  start_ = revision_ = revision;
}

void change_log::Append(const std::vector<stored_item>& items,
                        uint64_t revision) {
  for (const stored_item& item : items) {
    auto known = latest_.find(item.key);
    if (known != latest_.end()) {
      if (known->second >= item.revision) continue;
      Erase(known->second, item.key);
    }
    latest_[item.key] = item.revision;
    bytes_ += item.value.size();
    items_.insert({{item.revision, item.key}, item});
  }
  revision_ = std::max(revision_, revision);
  while (items_.size() > kMaxLogItems || bytes_ > kMaxLogBytes) {
    auto [oldest, key] = items_.begin()->first;
    start_ = std::max(start_, oldest);
    Erase(oldest, key);
  }
}

void change_log::Erase(uint64_t revision, const std::string& key) {
  auto found = items_.find({revision, key});
  bytes_ -= found->second.value.size();
  items_.erase(found);
  latest_.erase(key);
}

std::optional<std::vector<stored_item>> change_log::ChangesAfter(
    uint64_t after) const {
  if (after < start_ || revision_ == 0) return std::nullopt;
  std::vector<stored_item> changes;
  if (after >= revision_) return changes;
  for (auto it = items_.lower_bound({after + 1, ""}); it != items_.end();
       ++it) {
    changes.push_back(it->second);
  }
  return changes;
}

}  // namespace baobabtray
