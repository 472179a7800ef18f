// Load estimates and admission. See overload.h.

#include "tray/relay/overload.h"

#include <algorithm>
#include <cmath>

namespace baobabtray {
namespace {

// Weight of the newest report. The load of a route is the mean over its shards,
// each with a report per request, so that the noise of one report is small.
constexpr double kNewestWeight = 0.4;
// Half-life of a report: a few times the time in which a queue drains.
constexpr micros kHalfLife = 500 * kMillisecond;
// Load per slot from which requests are rejected: of the least urgent ones, and
// how much more for each rank of urgency above kLeastUrgent.
constexpr double kRejectedLoad = 1.25;
constexpr double kUrgencyLoad = 0.25;
constexpr int kLeastUrgent = 2;
// Additional load at which all but kAdmittedFraction are rejected.
constexpr double kRejectedLoadRange = 1.0;
constexpr double kAdmittedFraction = 0.2;

}  // namespace

void RecordReportedLoad(load_estimate* estimate, const reported_load& load,
                        int slots, micros now) {
  double reported =
      static_cast<double>(load.running + load.waiting) / std::max(1, slots);
  double old = LoadPerSlot(*estimate, now);
  estimate->per_slot = old + kNewestWeight * (reported - old);
  estimate->updated_at = now;
}

double LoadPerSlot(const load_estimate& estimate, micros now) {
  micros age = std::max<micros>(0, now - estimate.updated_at);
  return estimate.per_slot * std::exp2(-static_cast<double>(age) / kHalfLife);
}

double RejectedFraction(double load_per_slot, int priority) {
  int urgency = std::max(0, kLeastUrgent - std::max(0, priority));
  double from = kRejectedLoad + kUrgencyLoad * urgency;
  return std::clamp((load_per_slot - from) / kRejectedLoadRange, 0.0,
                    1 - kAdmittedFraction);
}

}  // namespace baobabtray
