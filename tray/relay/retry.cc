// Conditions of retries, and delays of hedges. See retry.h.

#include "tray/relay/retry.h"

#include <algorithm>

#include "tray/relay/extra.h"
#include "tray/relay/overload.h"

namespace baobabtray {
namespace {

// A reply is late after this many times the 85th percentile of the route's
// replies.
constexpr double kLateFactor = 1.5;
constexpr micros kLateSlack = 2 * kMillisecond;
// Fraction of the route's target latency after which a second server is asked:
// while too few replies have been measured; and the latest time while no reply
// of a second server has been measured.
constexpr double kUnmeasuredHedgeFraction = 0.2;
constexpr double kLatestHedgeFraction = 0.4;
// Fraction of the extra request budget for hedging replies that are not late
// yet, so that a second server's reply can still be on time. The rest is for
// failures.
constexpr double kEarlyHedgeFraction = 0.6;
// ResponseMargin is the target latency divided by this, but not less than the
// minimum: a round trip of a caller some milliseconds away, and a few
// milliseconds of work. A connection takes one more round trip.
constexpr micros kMarginDivisor = 8;
constexpr micros kMinMargin = 8 * kMillisecond;
constexpr micros kConnectMargin = 6 * kMillisecond;
// Additional attempts beyond route->max_servers, to make up for attempts that
// are proven not to have run.
constexpr int kMaxAdditionalAttempts = 2;

}  // namespace

bool HasOpen(const relay_part& part) {
  return std::any_of(part.attempts.begin(), part.attempts.end(),
                     [](const relay_attempt& a) { return a.open; });
}

int MayHaveRun(const relay_part& part) {
  return static_cast<int>(
      std::count_if(part.attempts.begin(), part.attempts.end(),
                    [](const relay_attempt& a) { return a.may_have_run; }));
}

bool WasSent(const relay_part& part) {
  return std::any_of(part.attempts.begin(), part.attempts.end(),
                     [](const relay_attempt& a) { return a.was_sent; });
}

retry_verdict CheckRetry(const relay_request& req, const relay_part& part) {
  int attempt_limit = req.route->max_servers + kMaxAdditionalAttempts;
  if (req.route->kind == request_kind::kNonIdempotent &&
      (MayHaveRun(part) > 0 || HasOpen(part))) {
    return retry_verdict::kNonIdempotent;
  }
  if (MayHaveRun(part) >= req.route->max_servers ||
      static_cast<int>(part.attempts.size()) >= attempt_limit) {
    return retry_verdict::kServerLimit;
  }
  return retry_verdict::kNone;
}

micros HedgeDelay(relay_state* state, const route_config& route,
                  relay_service* service, micros now) {
  double target = static_cast<double>(
      route.target_latency > 0 ? route.target_latency : route.time_limit);
  auto unmeasured = static_cast<micros>(target * kUnmeasuredHedgeFraction);
  auto found = state->pool.latency.find(route.name);
  if (found == state->pool.latency.end()) return unmeasured;
  const latency_histogram& firsts = found->second.firsts;
  if (firsts.p85 == 0) return unmeasured;
  auto late =
      static_cast<micros>(static_cast<double>(firsts.p85) * kLateFactor) +
      kLateSlack;
  auto latest = static_cast<micros>(target * kLatestHedgeFraction);
  const latency_histogram& extras = found->second.extras;
  if (extras.p85 != 0) {
    latest = static_cast<micros>(target) -
             ResponseMargin(route.target_latency, false) - extras.p85;
  }
  // While servers queue, a hedge of a reply that is not late delays others.
  if (late <= latest || LoadPerSlot(service->load, now) > kQueueingLoad) {
    return late;
  }
  double per_first =
      ExtraPerFirst(&service->extra, state->pool.extra_request_limits, now);
  double hedged = std::clamp(kEarlyHedgeFraction * per_first, 0.0, 1.0);
  micros earliest = QuantileOf(firsts, 1 - hedged, late);
  return std::min(late, std::max(latest, earliest));
}

micros ResponseMargin(micros target_latency, bool new_connection) {
  return std::max(kMinMargin, target_latency / kMarginDivisor) +
         (new_connection ? kConnectMargin : 0);
}

}  // namespace baobabtray
