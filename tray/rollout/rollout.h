// Roll-out of a new version of a service's servers: what the hosts and the
// leader of the roll-out say to each other and keep in the store.
//
// An operator orders the move of a service to a target version, whose servers
// run beside those of the present one. One host, the leader, hands out
// allowances for requests to the target version, sums up the answers that all
// hosts report, and ends the roll-out. docs/design/rollouts.md has the design.
//
// Counts in reports are totals since the order, so a lost or repeated report
// changes nothing, and a new leader needs one report of each host.

#ifndef TRAY_ROLLOUT_ROLLOUT_H_
#define TRAY_ROLLOUT_ROLLOUT_H_

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "tray/base/endpoint.h"
#include "tray/base/enum_names.h"
#include "tray/base/time.h"

namespace baobabtray {

enum class rollout_state { kRunning, kCompleted, kRolledBack };
constexpr name_table<rollout_state, 3> kRolloutStateNames = {{
    {rollout_state::kRunning, "running"},
    {rollout_state::kCompleted, "completed"},
    {rollout_state::kRolledBack, "rolled_back"},
}};

// An operator's order. A later order of the same service replaces it.
struct rollout_order {
  std::string service;
  std::string target;     // version
  micros duration = 0;    // until the deadline; > 0
  uint64_t revision = 0;  // of the order in the store; identifies it
};

// The leader's record of a roll-out in the store. Each version of it is written
// under the condition that the one before is still in force.
struct rollout_record {
  std::string service;
  uint64_t order = 0;  // revision of the order
  std::string target;
  rollout_state state = rollout_state::kRunning;
  std::string leader;       // name of the host that leads
  endpoint leader_address;  // for reports
  micros elapsed = 0;       // since the order, when this was written
  int64_t exposed = 0;      // requests sent to the target version by then
  // Targets of earlier orders that were not completed. Their servers get no
  // requests.
  std::vector<std::string> held;
  // Once completed: versions that it replaced, whose servers have stopped.
  std::vector<std::string> replaced;
  uint64_t revision = 0;  // of the record in the store; not part of its text
};

// What a host may send to the servers of the target version.
enum class rollout_mode {
  kHold,     // nothing
  kTrial,    // up to an allowance; the rest goes to other versions
  kFull,     // everything, and nothing to other versions
  kClosing,  // the same; the roll-out is being recorded as completed
};
constexpr name_table<rollout_mode, 4> kRolloutModeNames = {{
    {rollout_mode::kHold, "hold"},
    {rollout_mode::kTrial, "trial"},
    {rollout_mode::kFull, "full"},
    {rollout_mode::kClosing, "closing"},
}};

// Latencies by powers of the square root of two, from one millisecond.
constexpr int kRolloutBuckets = 28;
int RolloutBucket(micros latency);

constexpr int kRolloutDistances = 3;

struct answer_counts {
  int64_t failures = 0;
  // Successes whose latency says nothing of the version: the server was warming
  // up, or the connection had to be made first.
  int64_t untimed = 0;
  std::array<int64_t, kRolloutBuckets> latency = {};
};

// Answers on one route of servers at the same distance from the host. For the
// target version there is a row for each server.
struct answer_row {
  std::string route;
  int distance = 0;  // in [0, kRolloutDistances), rising
  bool is_target = false;
  std::string server;  // "" for other versions
  answer_counts counts;
};

struct rollout_report {
  std::string service;
  uint64_t order = 0;
  std::string host;
  // Differs between starts of a host, whose counts begin at zero.
  int64_t incarnation = 0;
  int64_t sequence = 0;                     // rises with each report
  rollout_mode mode = rollout_mode::kHold;  // in force on the host
  int64_t requests = 0;                     // sent to the service
  int64_t exposed = 0;                      // of these, to the target version
  int64_t open_others = 0;  // open attempts at servers of other versions
  std::vector<answer_row> rows;
};

// The leader's answer to a report. It holds for kDirectivePeriod after the
// report was made, in kFull for kFullPeriod and in kClosing for kClosingPeriod.
struct rollout_directive {
  std::string service;
  uint64_t order = 0;
  rollout_mode mode = rollout_mode::kHold;
  int64_t allowance = 0;  // of kTrial: bound of rollout_report::exposed
};
constexpr micros kDirectivePeriod = 1500 * kMillisecond;
constexpr micros kFullPeriod = 1 * kSecond;
constexpr micros kClosingPeriod = 4 * kSecond;

std::string EncodeReport(const rollout_report& report);
absl::StatusOr<rollout_report> DecodeReport(std::string_view text);
std::string EncodeDirective(const rollout_directive& directive);
absl::StatusOr<rollout_directive> DecodeDirective(std::string_view text);
std::string EncodeRecord(const rollout_record& record);
absl::StatusOr<rollout_record> DecodeRecord(std::string_view service,
                                            std::string_view text);

}  // namespace baobabtray

#endif  // TRAY_ROLLOUT_ROLLOUT_H_
