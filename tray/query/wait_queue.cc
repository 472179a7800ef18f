// Fair queueing of shard requests. See wait_queue.h.

#include "tray/query/wait_queue.h"

#include <algorithm>

namespace baobabtray {
namespace {

bool IsIdle(const customer_queue& c) {
  return std::all_of(c.classes.begin(), c.classes.end(),
                     [](const class_queue& q) { return q.waiters.empty(); });
}

// Smallest virtual time of the busy queues. A queue that becomes busy starts at
// this time, so that it gains no credit for having been idle.
double MinVirtualTime(const shard_queue& q) {
  double smallest = -1;
  for (const auto& [id, c] : q.customers) {
    if (IsIdle(c)) continue;
    smallest =
        smallest < 0 ? c.virtual_time : std::min(smallest, c.virtual_time);
  }
  return std::max(smallest, 0.0);
}

double MinVirtualTime(const customer_queue& c) {
  double smallest = -1;
  for (const class_queue& q : c.classes) {
    if (q.waiters.empty()) continue;
    smallest =
        smallest < 0 ? q.virtual_time : std::min(smallest, q.virtual_time);
  }
  return std::max(smallest, 0.0);
}

customer_queue* NextCustomer(shard_queue* q) {
  customer_queue* next = nullptr;
  for (auto& [id, c] : q->customers) {
    if (IsIdle(c)) continue;
    if (next == nullptr || c.virtual_time < next->virtual_time) next = &c;
  }
  return next;
}

size_t NextClass(const customer_queue& c) {
  size_t next = kPriorityCount;
  for (size_t i = 0; i < kPriorityCount; ++i) {
    if (c.classes[i].waiters.empty()) continue;
    if (next == kPriorityCount ||
        c.classes[i].virtual_time < c.classes[next].virtual_time) {
      next = i;
    }
  }
  return next;
}

void DecrementSize(wait_queues* waiting, shard_key key) {
  --waiting->size;
  auto found = waiting->queues.find(key);
  if (--found->second.size == 0) waiting->queues.erase(found);
}

}  // namespace

shard_key ShardKey(uint64_t service_hash, int shard) {
  return service_hash + static_cast<uint64_t>(shard);
}

waiter_ticket AddWaiter(wait_queues* waiting, shard_key key, const waiter& w,
                        const waiter_ticket& old) {
  shard_queue& q = waiting->queues[key];
  double min_virtual_time = MinVirtualTime(q);
  customer_queue& c = q.customers[w.customer];
  if (IsIdle(c)) c.virtual_time = std::max(c.virtual_time, min_virtual_time);
  class_queue& queue = c.classes[static_cast<size_t>(w.priority_level)];
  if (queue.waiters.empty()) {
    queue.virtual_time = std::max(queue.virtual_time, MinVirtualTime(c));
  }
  uint64_t sequence =
      old.sequence != 0 ? old.sequence : waiting->next_sequence++;
  queue.waiters.emplace(sequence, w);
  ++q.size;
  ++waiting->size;
  return {.key = key, .sequence = sequence};
}

std::optional<waiter> PopWaiter(wait_queues* waiting, shard_key key) {
  auto found = waiting->queues.find(key);
  if (found == waiting->queues.end()) return std::nullopt;
  customer_queue* c = NextCustomer(&found->second);
  size_t next_class = NextClass(*c);
  class_queue& queue = c->classes[next_class];
  waiter popped = queue.waiters.begin()->second;
  queue.waiters.erase(queue.waiters.begin());
  queue.virtual_time += 1.0 / kPriorityWeights[next_class];
  c->virtual_time += 1.0 / std::max(1, popped.weight);
  DecrementSize(waiting, key);
  return popped;
}

void RemoveWaiter(wait_queues* waiting, const waiter_ticket& ticket) {
  auto found = waiting->queues.find(ticket.key);
  if (ticket.sequence == 0 || found == waiting->queues.end()) return;
  for (auto& [id, c] : found->second.customers) {
    for (class_queue& queue : c.classes) {
      if (queue.waiters.erase(ticket.sequence) == 0) continue;
      DecrementSize(waiting, ticket.key);
      return;
    }
  }
}

queue_estimate EstimateQueue(const wait_queues& waiting, shard_key key,
                             priority level) {
  queue_estimate estimate;
  auto found = waiting.queues.find(key);
  if (found == waiting.queues.end()) return estimate;
  std::array<size_t, kPriorityCount> waiters = {};
  for (const auto& [id, c] : found->second.customers) {
    for (size_t i = 0; i < kPriorityCount; ++i) {
      waiters[i] += c.classes[i].waiters.size();
    }
  }
  size_t own = static_cast<size_t>(level);
  double total_weight = kPriorityWeights[own];
  for (size_t i = 0; i < kPriorityCount; ++i) {
    if (i != own && waiters[i] > 0) total_weight += kPriorityWeights[i];
  }
  estimate.ahead = static_cast<int>(waiters[own]);
  estimate.grant_fraction = kPriorityWeights[own] / total_weight;
  return estimate;
}

}  // namespace baobabtray
