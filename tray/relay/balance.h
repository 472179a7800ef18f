// Choice among servers of similar expected latency, from old knowledge.
//
//   RecordSlowdown(&s.slowdown, reported, now);          // each reply
//   double factor = SlowdownFactor(s.slowdown, now);     // of the mean latency
//   BalanceWeights(estimates, weights);
//   size_t i = ChooseByWeight(weights, random);
//
// A host knows a server's load from its last reply. Until the next one, other
// hosts send to the server too. If each host picked the server that it last
// knew as the fastest, hosts with the same knowledge would overrun servers in
// turn. As in load interpretation (Dahlin, "Interpreting Stale Load
// Information", 2000), a server's weight is its distance below a level, so that
// the work that arrives before the next report fills servers up to that level.
// The level is the lowest expected latency plus a part of the server's time of
// work, which grows with the age of its last reply. A server above its level
// has no weight: what is certain enough decides outright, and a server in
// another region is used only if the near ones are slow.
//
// No clock and no random source. Linear in the number of servers.

#ifndef TRAY_RELAY_BALANCE_H_
#define TRAY_RELAY_BALANCE_H_

#include <cstddef>
#include <cstdint>
#include <span>

#include "tray/base/time.h"

namespace baobabtray {

// How long work takes on a server's machine relative to the usual, as reported
// in replies.
struct server_slowdown {
  double reported = 1;    // last report
  double mean = 1;        // running mean, of the same replies as mean_latency
  micros updated_at = 0;  // 0: never reported
};

// Weight of the newest reply in a server's mean latency and mean slowdown.
constexpr int kMeanDivisor = 5;

void RecordSlowdown(server_slowdown* slowdown, double reported, micros now);

// Factor from the time that work took on average, in the replies that the mean
// is made of, to the time that it takes now. Decays towards 1 with the age of
// the last report; 1 if there is none. In [0.2, 5].
double SlowdownFactor(const server_slowdown& slowdown, micros now);

struct server_estimate {
  micros latency = 0;    // expected latency with all penalties
  micros work = 0;       // part of it that the server works; > 0
  micros reply_age = 0;  // time since the last reply
};

// Sets the weight of each server. Weights are not negative, and that of the
// lowest latency is positive. `weights` has the size of `servers`.
void BalanceWeights(std::span<const server_estimate> servers,
                    std::span<double> weights);

// Index picked in proportion to the weights by uniformly random bits. At least
// one weight has to be positive.
size_t ChooseByWeight(std::span<const double> weights, uint64_t random);

}  // namespace baobabtray

#endif  // TRAY_RELAY_BALANCE_H_
