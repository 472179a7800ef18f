// Metrics of one daemon, on prometheus-cpp, rendered as text for /metrics.
//
// Counters on hot paths are looked up once and cached, because a look-up by
// labels costs more than the decision that is counted. Thread-safe.

#ifndef TRAY_WIRE_METRICS_H_
#define TRAY_WIRE_METRICS_H_

#include <memory>
#include <string>
#include <string_view>

#include "tray/base/time.h"
#include "tray/http/serve.h"
#include "tray/query/admission.h"
#include "tray/query/query.h"

namespace baobabtray {

class metrics {
 public:
  metrics();
  ~metrics();

  void CountQuery(const std::string& service, query_outcome outcome,
                  micros latency, int total, int answered);
  void CountRefusal(const std::string& service, admission reason);
  void CountClientFault(client_fault fault);
  void CountAttempt(attempt_kind kind, attempt_end end);
  void SetInFlight(int queries, int waiting);
  void SetRevision(int64_t revision);
  void SetLiveHosts(int live);
  void AddControlBytes(size_t sent, size_t received);
  void CountStoreCall(std::string_view call, std::string_view fault);
  // CPU time used so far by the control thread.
  void SetControlCpuSeconds(double seconds);

  // All metrics in the Prometheus text exposition format.
  std::string Render() const;

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace baobabtray

#endif  // TRAY_WIRE_METRICS_H_
