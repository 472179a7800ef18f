// Admission of requests by the load that backend servers report.
//
//   RecordReportedLoad(&service.load, reported, slots, now);  // each reply
//   double load = LoadPerSlot(service.load, now);
//   if (uniform_random < RejectedFraction(load, priority)) ...  // reject
//
// A request over many shards fails or is late as soon as two of its servers
// are, so once servers queue, most of the work that they do is for requests
// that fail. Hedges and the retries of callers then add load, and the queues
// outlast the burst that filled them. Rejecting part of the requests on arrival
// keeps the queues short for the others. Rejected requests have not run; their
// callers return after a Retry-After.
//
// The load of a service is the mean of the requests, running and waiting, per
// slot that its servers report in replies. Queues are forgotten quickly, so
// that requests are rejected only on recent reports.

#ifndef TRAY_RELAY_OVERLOAD_H_
#define TRAY_RELAY_OVERLOAD_H_

#include <optional>

#include "tray/base/time.h"

namespace baobabtray {

// Load as reported in a reply, in requests.
struct reported_load {
  int running = 0;
  int waiting = 0;
  // How long work takes on the server's machine now, relative to the usual, if
  // the server reports it. Positive.
  std::optional<double> slowdown = std::nullopt;
};

struct load_estimate {
  double per_slot = 0;  // at updated_at; decays since then
  micros updated_at = 0;
};

// Above this load per slot servers are queueing, and an additional request
// delays others.
constexpr double kQueueingLoad = 1.0;

void RecordReportedLoad(load_estimate* estimate, const reported_load& load,
                        int slots, micros now);

double LoadPerSlot(const load_estimate& estimate, micros now);

// Fraction of the requests of a priority (0 is the most urgent) to reject at a
// load per slot. Less urgent requests are rejected first; at no load are all
// rejected.
double RejectedFraction(double load_per_slot, int priority);

}  // namespace baobabtray

#endif  // TRAY_RELAY_OVERLOAD_H_
