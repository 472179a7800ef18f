// Deterministic model of relaying hosts under load: callers, hosts with the
// relay's decisions unchanged, and backend servers with slots and queues, under
// a simulated clock.
//
//   load_model_result result = RunLoadModel({.hosts = 24, .shards = 12,
//       .bursts = {{.start = 5 * kSecond, .end = 9 * kSecond, .factor = 3}}});
//   result.seconds[6].on_time ...
//
// Servers run one request per slot, queue the others, and reject requests
// beyond their queue. Each server pauses periodically, at its own time. A
// cancelled request frees its slot. Callers retry once: after a failure at
// once, after a rejection when its Retry-After has passed. Same options and
// seed, same result. Servers may differ in speed, and be slow for periods.

#ifndef TRAY_TESTING_RELAY_LOAD_MODEL_H_
#define TRAY_TESTING_RELAY_LOAD_MODEL_H_

#include <cstdint>
#include <vector>

#include "tray/base/time.h"

namespace baobabtray {

struct load_burst {
  micros start = 0;
  micros end = 0;
  double factor = 1;  // of the usual request rate
};

struct load_model_options {
  uint64_t seed = 1;
  int hosts = 24;  // spread over three data centres
  int shards = 12;
  double requests_per_s = 100;  // over all hosts
  // Every n-th request is of the less urgent route; 0: none.
  int less_urgent_every = 4;
  micros duration = 16 * kSecond;
  std::vector<load_burst> bursts;
  int slots = 4;                       // of a server
  int queue = 24;                      // requests that a server queues
  micros work = 20 * kMillisecond;     // mean time of a request in its slot
  micros distance = 8 * kMillisecond;  // one way, between data centres
  micros pause = 250 * kMillisecond;   // of a server
  micros pause_every = 6 * kSecond;
  micros target_latency = 200 * kMillisecond;
  micros time_limit = 3 * kSecond;
  double min_coverage = 0.9;
  double extra_ratio = 0.2;
  int extra_floor = 60;     // over all hosts
  bool one_region = false;  // servers of a shard are about equally near
  // Speeds of a shard's servers, evenly spread between these.
  double min_speed = 1;
  double max_speed = 1;
  // Part of the servers that take slow_factor times as long, for slow_period at
  // a time.
  double slow_part = 0;
  double slow_factor = 2.5;
  micros slow_period = 600 * kMillisecond;
  bool reports_slowdown = false;  // servers report how slow they are
};

// Callers' requests by the second in which they were made.
struct load_model_second {
  int requests = 0;
  int on_time = 0;   // answered within the target latency, without a retry
  int rejected = 0;  // at least one attempt was rejected as not run
  int unserved = 0;  // no answer to any attempt
  int failed = 0;    // unserved, and the last attempt may have run
};

struct load_model_result {
  std::vector<load_model_second> seconds;
  load_model_second urgent;       // over all seconds
  load_model_second less_urgent;  // over all seconds
  int arrivals = 0;               // at servers
  int arrivals_rejected = 0;      // by servers
  int arrivals_from_afar = 0;     // from a host in another data centre
  // Time from a part's first attempt to its reply.
  std::vector<micros> part_latencies;
  // Requests at a shard's busiest server and at an average one, summed over
  // all shards and samples.
  double busiest_load = 0;
  double mean_load = 0;
};

load_model_result RunLoadModel(const load_model_options& options);

}  // namespace baobabtray

#endif  // TRAY_TESTING_RELAY_LOAD_MODEL_H_
