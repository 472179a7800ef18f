// One host's part in the roll-out of one service: which versions a request may
// be sent to, and what the host has sent and seen since the order.
//
//   OnOrder(&gate, order);  OnRecord(&gate, record, now);  // from the store
//   OnDirective(&gate, directive, made_at);                // from the leader
//   bool trial = WantsTrial(gate, now);     // for a request's first attempt
//   if (IsUsable(gate, version, trial, now)) ...
//   RecordSent(&gate, version);
//   RecordAnswer(&gate, route, server, version, answer);
//
// From the order on, servers of the target version get nothing but what the
// leader's latest directive allows, for a limited time: a host that loses the
// leader sends them nothing more. The roll-out's end is learned from the store.
// Servers of a version that was rolled back, or whose roll-out was replaced by
// a later order, get nothing for good.
//
// Memory: about 250 bytes for each route and server of the target version.

#ifndef TRAY_ROLLOUT_VERSION_GATE_H_
#define TRAY_ROLLOUT_VERSION_GATE_H_

#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "tray/base/time.h"
#include "tray/rollout/rollout.h"

namespace baobabtray {

// After a completed roll-out, servers of the replaced versions get nothing for
// this long, within which their entries expire. Later such servers are new.
constexpr micros kReplacedPeriod = 30 * kSecond;

struct version_gate {
  std::optional<rollout_order> order;
  std::optional<rollout_record> record;
  micros recorded_at = 0;  // when the record was learned
  // Targets of orders that were replaced before they were completed.
  std::vector<std::string> held;
  rollout_mode mode = rollout_mode::kHold;
  micros mode_until = 0;
  int64_t allowance = 0;
  // Since the order.
  int64_t requests = 0;
  int64_t exposed = 0;
  int64_t sequence = 0;  // of reports
  // By route, server ("" for other versions) and distance.
  std::map<std::tuple<std::string, std::string, int>, answer_counts> rows;
};

void OnOrder(version_gate* gate, const rollout_order& order);
void OnRecord(version_gate* gate, const rollout_record& record, micros now);
// `made_at`: when the report that the directive answers was made.
void OnDirective(version_gate* gate, const rollout_directive& directive,
                 micros made_at);

// Whether an order is in force that has not ended.
bool IsRunning(const version_gate& gate);
// Mode in force; kHold without a running order.
rollout_mode ModeAt(const version_gate& gate, micros now);
// Whether the next request may go to the target version, within the allowance.
bool WantsTrial(const version_gate& gate, micros now);
// Whether a request may be sent to servers of `version`; `trial`: one that is
// to go to the target version.
bool IsUsable(const version_gate& gate, const std::string& version, bool trial,
              micros now);
// Whether servers that IsUsable rules out may be used where no other is left:
// after the end, or if the service has had no server of another version since
// the order. Otherwise the limits on a bad version go before service.
bool MayIgnore(const version_gate& gate);
// Whether servers of `version` may not even get requests that were assigned to
// them earlier.
bool IsEnded(const version_gate& gate, const std::string& version, micros now);

void RecordSent(version_gate* gate, const std::string& version);

struct gate_answer {
  bool failed = false;
  // Of an attempt that was given up: its age, at which it was not answered.
  micros latency = 0;
  bool untimed = false;  // see answer_counts
};
// `distance` from this host to the server, as in answer_row.
void RecordAnswer(version_gate* gate, const std::string& route,
                  const std::string& server, const std::string& version,
                  int distance, const gate_answer& answer);

// The host's report; host and incarnation are left to the caller.
rollout_report MakeReport(version_gate* gate, int64_t open_others, micros now);

}  // namespace baobabtray

#endif  // TRAY_ROLLOUT_VERSION_GATE_H_
