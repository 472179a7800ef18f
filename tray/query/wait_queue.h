// Wait queues of shard requests for which no backend server has capacity.
//
// There is one queue per shard. Capacity is granted by stride scheduling: first
// among customers by weight, then among the priorities of a customer in the
// ratio 64:6:5. Urgent requests are thus served first in practice, and audit
// requests still make progress under full load. Adding, popping and removing
// are logarithmic in the size of one queue.

#ifndef TRAY_QUERY_WAIT_QUEUE_H_
#define TRAY_QUERY_WAIT_QUEUE_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>

#include "tray/base/time.h"
#include "tray/text/topology.h"

namespace baobabtray {

// Relative number of grants for each priority.
constexpr std::array<int, kPriorityCount> kPriorityWeights = {64, 6, 5};

// Identifies a shard independently of the current topology.
using shard_key = uint64_t;
shard_key ShardKey(uint64_t service_hash, int shard);

// A waiting shard request of a query.
struct waiter {
  uint64_t query = 0;
  int shard_index = 0;  // position in query::shards
  priority priority_level = priority::kNormal;
  int customer = -1;
  int weight = 1;  // of the customer
};

// Handle of a queued waiter, for its removal.
struct waiter_ticket {
  shard_key key = 0;
  uint64_t sequence = 0;  // 0: none
};

// Waiters of one priority, in FIFO order by sequence number.
struct class_queue {
  double virtual_time = 0;
  std::map<uint64_t, waiter> waiters;
};

struct customer_queue {
  double virtual_time = 0;
  std::array<class_queue, kPriorityCount> classes;
};

struct shard_queue {
  std::map<int, customer_queue> customers;
  int size = 0;
};

struct wait_queues {
  // invariant: no queue is empty
  std::unordered_map<shard_key, shard_queue> queues;
  uint64_t next_sequence = 1;
  int size = 0;
};

// Queues `w`. A waiter that was popped but could not be sent passes its
// previous ticket as `old` and so keeps its place in the queue.
waiter_ticket AddWaiter(wait_queues* waiting, shard_key key, const waiter& w,
                        const waiter_ticket& old = {});

// Removes and returns the next waiter for `key`, if there is one.
std::optional<waiter> PopWaiter(wait_queues* waiting, shard_key key);

void RemoveWaiter(wait_queues* waiting, const waiter_ticket& ticket);

// Estimate of the queue that a new waiter of priority `level` would join.
struct queue_estimate {
  int ahead = 0;                // waiters of the same priority
  double grant_fraction = 1.0;  // fraction of grants that go to this priority
};
queue_estimate EstimateQueue(const wait_queues& waiting, shard_key key,
                             priority level);

}  // namespace baobabtray

#endif  // TRAY_QUERY_WAIT_QUEUE_H_
