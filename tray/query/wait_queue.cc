// Fair queues of waiting shard requests. See wait_queue.h.

#include "tray/query/wait_queue.h"

#include <algorithm>

namespace baobabtray {
namespace {

bool IsIdle(const customer_queue& c) {
  return std::all_of(c.classes.begin(), c.classes.end(),
                     [](const class_queue& q) { return q.waiters.empty(); });
}

// A queue that was idle starts level with the least served busy one, so that
// idling earns no credit.
double LeastGranted(const shard_queue& q) {
  double least = -1;
  for (const auto& [id, c] : q.customers) {
    if (IsIdle(c)) continue;
    least = least < 0 ? c.granted : std::min(least, c.granted);
  }
  return std::max(least, 0.0);
}

double LeastGranted(const customer_queue& c) {
  double least = -1;
  for (const class_queue& q : c.classes) {
    if (q.waiters.empty()) continue;
    least = least < 0 ? q.granted : std::min(least, q.granted);
  }
  return std::max(least, 0.0);
}

customer_queue* NextCustomer(shard_queue* q) {
  customer_queue* next = nullptr;
  for (auto& [id, c] : q->customers) {
    if (IsIdle(c)) continue;
    if (next == nullptr || c.granted < next->granted) next = &c;
  }
  return next;
}

size_t NextClass(const customer_queue& c) {
  size_t next = kPriorityCount;
  for (size_t i = 0; i < kPriorityCount; ++i) {
    if (c.classes[i].waiters.empty()) continue;
    if (next == kPriorityCount ||
        c.classes[i].granted < c.classes[next].granted) {
      next = i;
    }
  }
  return next;
}

void Shrink(wait_queues* room, shard_key key) {
  --room->size;
  auto found = room->queues.find(key);
  if (--found->second.size == 0) room->queues.erase(found);
}

}  // namespace

shard_key ShardKey(uint64_t service_hash, int shard) {
  return service_hash + static_cast<uint64_t>(shard);
}

waiter_ticket AddWaiter(wait_queues* room, shard_key key, const waiter& w,
                        const waiter_ticket& old) {
  shard_queue& q = room->queues[key];
  double level = LeastGranted(q);
  customer_queue& c = q.customers[w.customer];
  if (IsIdle(c)) c.granted = std::max(c.granted, level);
  class_queue& line = c.classes[static_cast<size_t>(w.priority_level)];
  if (line.waiters.empty()) {
    line.granted = std::max(line.granted, LeastGranted(c));
  }
  uint64_t sequence = old.sequence != 0 ? old.sequence : room->next_sequence++;
  line.waiters.emplace(sequence, w);
  ++q.size;
  ++room->size;
  return {.key = key, .sequence = sequence};
}

std::optional<waiter> PopWaiter(wait_queues* room, shard_key key) {
  auto found = room->queues.find(key);
  if (found == room->queues.end()) return std::nullopt;
  customer_queue* c = NextCustomer(&found->second);
  size_t rank = NextClass(*c);
  class_queue& line = c->classes[rank];
  waiter taken = line.waiters.begin()->second;
  line.waiters.erase(line.waiters.begin());
  line.granted += 1.0 / kPriorityWeights[rank];
  c->granted += 1.0 / std::max(1, taken.weight);
  Shrink(room, key);
  return taken;
}

void DropWaiter(wait_queues* room, const waiter_ticket& ticket) {
  auto found = room->queues.find(ticket.key);
  if (ticket.sequence == 0 || found == room->queues.end()) return;
  for (auto& [id, c] : found->second.customers) {
    for (class_queue& line : c.classes) {
      if (line.waiters.erase(ticket.sequence) == 0) continue;
      Shrink(room, ticket.key);
      return;
    }
  }
}

queue_outlook OutlookOf(const wait_queues& room, shard_key key, priority rank) {
  queue_outlook outlook;
  auto found = room.queues.find(key);
  if (found == room.queues.end()) return outlook;
  std::array<size_t, kPriorityCount> waiters = {};
  for (const auto& [id, c] : found->second.customers) {
    for (size_t i = 0; i < kPriorityCount; ++i) {
      waiters[i] += c.classes[i].waiters.size();
    }
  }
  size_t own = static_cast<size_t>(rank);
  double busy = kPriorityWeights[own];
  for (size_t i = 0; i < kPriorityCount; ++i) {
    if (i != own && waiters[i] > 0) busy += kPriorityWeights[i];
  }
  outlook.ahead = static_cast<int>(waiters[own]);
  outlook.part = kPriorityWeights[own] / busy;
  return outlook;
}

}  // namespace baobabtray
