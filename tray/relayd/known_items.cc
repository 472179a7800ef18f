// Implementation of known items. See known_items.h.

#include "tray/relayd/known_items.h"

#include <set>

#include "tray/base/hash.h"

namespace baobabtray {

bool known_items::Accept(const stored_item& item, micros now) {
  auto found = known_.find(item.key);
  if (found != known_.end() && item.revision <= found->second.revision)
    return false;
  held_.erase(item.key);
  if (!item.removed) {
    known_[item.key] = {.revision = item.revision,
                        .value_hash = HashOf(item.value)};
    return true;
  }
  if (found == known_.end()) return false;
  known_.erase(found);
  removals_.emplace_back(now, item.key);
  while (removals_.size() > kMaxRemovals ||
         now - removals_.front().first > kRemovalMemory) {
    removals_.pop_front();
  }
  return true;
}

void known_items::BeginEra() {
  for (auto& [key, item] : known_) item.revision = 0;
  held_.clear();
}

std::vector<stored_item> known_items::Missing(
    const std::map<std::string, stored_item>& listing,
    uint64_t revision) const {
  std::vector<stored_item> missing;
  for (const auto& [key, item] : known_) {
    if (listing.contains(key)) continue;
    missing.push_back({.key = key, .revision = revision, .removed = true});
  }
  return missing;
}

era_changes known_items::Reconcile(
    const std::map<std::string, stored_item>& listing, uint64_t revision,
    micros now,
    const std::function<bool(const stored_item& removal)>& is_urgent) {
  std::set<std::string> removed;
  for (const auto& [at, key] : removals_) {
    if (now - at <= kRemovalMemory) removed.insert(key);
  }
  era_changes changes;
  for (stored_item& item : Missing(listing, revision)) {
    if (is_urgent(item)) {
      changes.items.push_back(std::move(item));
    } else {
      held_[item.key] = std::move(item);
    }
  }
  for (const auto& [key, item] : listing) {
    auto found = known_.find(key);
    bool known = found != known_.end();
    if (known && found->second.value_hash == HashOf(item.value)) {
      found->second.revision = item.revision;
    } else if (!known && removed.contains(key)) {
      held_[key] = item;
    } else {
      changes.items.push_back(item);
    }
  }
  changes.held = held_.size();
  return changes;
}

std::vector<stored_item> known_items::TakeHeld() {
  std::vector<stored_item> items;
  for (auto& [key, item] : held_) items.push_back(std::move(item));
  held_.clear();
  return items;
}

}  // namespace baobabtray
