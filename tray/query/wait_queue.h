// Shard requests that wait for room at a backend server.
//
// One queue per shard. Room is granted by stride scheduling: first between
// customers by their weight, then between priorities within a customer, 64 to 6
// to 5. Urgent work so goes first in practice, and audit work still gets its
// part of a full tier. Adding, taking and dropping are logarithmic in one
// queue.

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

// Grants per round for each priority.
constexpr std::array<int, kPriorityCount> kPriorityWeights = {64, 6, 5};

// Names a shard independently of the text in force.
using shard_key = uint64_t;
shard_key ShardKey(uint64_t service_hash, int shard);

// One shard of one query, waiting.
struct waiter {
  uint64_t query = 0;
  int shard_index = 0;  // position among the query's shards
  priority priority_level = priority::kNormal;
  int customer = -1;
  int weight = 1;  // of the customer
};

// Refers to a queued waiter, to drop it.
struct waiter_ticket {
  shard_key key = 0;
  uint64_t sequence = 0;  // 0: none
};

// Waiters of one priority, first come first served.
struct class_queue {
  double granted = 0;  // virtual time
  std::map<uint64_t, waiter> waiters;
};

struct customer_queue {
  double granted = 0;  // virtual time
  std::array<class_queue, kPriorityCount> classes;
};

struct shard_queue {
  std::map<int, customer_queue> customers;
  int size = 0;
};

struct wait_queues {
  std::unordered_map<shard_key, shard_queue> queues;  // none is empty
  uint64_t next_sequence = 1;
  int size = 0;
};

// Queues `w`. A waiter that was taken in vain gives its old ticket and so keeps
// its turn.
waiter_ticket AddWaiter(wait_queues* room, shard_key key, const waiter& w,
                        const waiter_ticket& old = {});

// Takes the waiter whose turn it is, if any waits for `key`.
std::optional<waiter> PopWaiter(wait_queues* room, shard_key key);

void DropWaiter(wait_queues* room, const waiter_ticket& ticket);

// What a new waiter of `rank` for `key` would meet.
struct queue_outlook {
  int ahead = 0;      // waiters of its own priority
  double part = 1.0;  // of all grants that go to its priority while others wait
};
queue_outlook OutlookOf(const wait_queues& room, shard_key key, priority rank);

}  // namespace baobabtray

#endif  // TRAY_QUERY_WAIT_QUEUE_H_
