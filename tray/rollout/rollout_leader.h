// The leader's decisions in a roll-out.
//
//   rollout_leader leader =
//       StartLeading(options, order, record, held, ordered_at);
//   rollout_directive d = HandleReport(&leader, report, now);  // reply with it
//   if (auto record = Review(&leader, fleet, now)) {
//     // Write it if the store still has the record of record->revision, then:
//     HandleWritten(&leader, end, revision);
//   }
//
// Until shortly before the deadline the target version gets few requests, by
// allowances: while its answers are compared with those of other versions, the
// requests sent to it, with all allowances that have not expired, stay so far
// below the limits that it can still be rolled back within them after all hosts
// have moved to it. They move shortly before the deadline, and the roll-out is
// recorded as completed once all have, after a last comparison that uses most
// of the rest. It is rolled back whenever the answers show that the version is
// bad.
//
// The move comes late since a version may turn bad late, and under load only.
//
// A leader whose last successful write was sent more than kLeaderFence ago may
// have a successor, and allows nothing.

#ifndef TRAY_ROLLOUT_ROLLOUT_LEADER_H_
#define TRAY_ROLLOUT_ROLLOUT_LEADER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "tray/base/endpoint.h"
#include "tray/base/time.h"
#include "tray/rollout/rollout.h"
#include "tray/rollout/rollout_judge.h"

namespace baobabtray {

constexpr micros kLeaderWriteInterval = 1 * kSecond;
constexpr micros kLeaderFence = 2500 * kMillisecond;
// A host that was no longer heard as leader does not lead again for this long.
constexpr micros kUnheardPeriod = 10 * kSecond;
// A record that has not changed for this long has no leader.
constexpr micros kLeaderSilence = 3500 * kMillisecond;
// Between the attempts of hosts of successive ranks.
constexpr micros kLeadInterval = 400 * kMillisecond;
constexpr int kMaxLeadRank = 4;
constexpr micros kTrialReportInterval = 500 * kMillisecond;
constexpr micros kMoveReportInterval = 250 * kMillisecond;

// Bound on the requests sent to a bad version between the order and its
// deadline: share * all requests to the service + slack.
struct exposure_limits {
  double share = 0.1;
  double slack = 50;
};

struct rollout_leader_options {
  std::string host;
  endpoint address;
  exposure_limits limits;
};

// What the leader's host knows from the store.
struct rollout_fleet {
  int live_hosts = 1;
  // Registered servers of the service that do not leave.
  int target_servers = 0;
  int other_servers = 0;
  std::vector<std::string> other_versions;
};

enum class rollout_phase { kTrial, kMove, kClosing, kRolledBack };
constexpr name_table<rollout_phase, 4> kRolloutPhaseNames = {{
    {rollout_phase::kTrial, "trial"},
    {rollout_phase::kMove, "move"},
    {rollout_phase::kClosing, "closing"},
    {rollout_phase::kRolledBack, "rolled_back"},
}};

enum class rollback_reason {
  kNone,
  kBadAnswers,
  kServersGone,  // the target version's servers have disappeared
  kUnfinished,   // long past the deadline
  kWithdrawn,    // by the operator
};
constexpr name_table<rollback_reason, 5> kRollbackReasonNames = {{
    {rollback_reason::kNone, ""},
    {rollback_reason::kBadAnswers, "bad_answers"},
    {rollback_reason::kServersGone, "servers_gone"},
    {rollback_reason::kUnfinished, "unfinished"},
    {rollback_reason::kWithdrawn, "withdrawn"},
}};

struct reporting_host {
  rollout_report last;
  micros heard_at = 0;
  int64_t demand = 0;  // requests between the last two reports
  int64_t allowance = 0;
  micros allowed_until = 0;
};

struct rollout_leader {
  rollout_leader_options options;
  rollout_order order;
  micros ordered_at = 0;  // may be late by the time to learn of the order
  rollout_record record;  // as last written; its revision is the condition
  rollout_phase phase = rollout_phase::kTrial;
  rollback_reason reason = rollback_reason::kNone;
  bool deposed = false;  // another host leads, or this one should not
  bool unheard = false;  // deposed since too few hosts reach it
  bool ended = false;    // the end is recorded
  bool writing = false;
  micros last_write_at = 0;  // start of the latest write
  micros confirmed_at = 0;   // start of the latest write that succeeded
  std::optional<rollout_record> being_written;
  std::map<std::string, reporting_host> hosts;
  // Of hosts' earlier incarnations and earlier leaders.
  int64_t past_requests = 0;
  int64_t past_exposed = 0;
  micros trial_from = 0;  // first servers of the target version; 0: none yet
  micros moving_from = 0;
  int64_t exposed_before_move = 0;
  micros target_missing_since = 0;
  micros no_quorum_since = 0;
  std::vector<std::string> other_versions;
  std::deque<std::pair<micros, answer_sums>> snapshots;  // oldest first
};

// Time at which a host of this rank tries to lead the roll-out of an order;
// kNever if it has ended. `record`: the service's present one in the store, if
// any, last changed at `record_changed_at` as seen by this host. Attempts of
// several hosts are harmless: one of the writes succeeds.
constexpr micros kNever = INT64_MAX;
micros LeadAt(const rollout_order& order, micros order_seen_at,
              const std::optional<rollout_record>& record,
              micros record_changed_at, int rank);

// `record`: the service's present record in the store, of this or an earlier
// order, if any.
rollout_leader StartLeading(const rollout_leader_options& options,
                            const rollout_order& order,
                            const std::optional<rollout_record>& record,
                            const std::vector<std::string>& held,
                            micros ordered_at);

rollout_directive HandleReport(rollout_leader* leader,
                               const rollout_report& report, micros now);

// The operator has withdrawn or replaced the order.
void WithdrawOrder(rollout_leader* leader);

// Decides by time, reports and servers. Returns a record to be written if one
// is due and no write is in progress.
std::optional<rollout_record> Review(rollout_leader* leader,
                                     const rollout_fleet& fleet, micros now);

// A record that states that nobody leads, so that another host does at once.
rollout_record Vacate(const rollout_leader& leader);

enum class write_end { kWritten, kConflict, kUnknown };
void HandleWritten(rollout_leader* leader, write_end end, uint64_t revision);

// The store has this record, which may be the leader's own.
void HandleRecord(rollout_leader* leader, const rollout_record& record);

// For metrics and the state dump.
int64_t TotalRequests(const rollout_leader& leader);
int64_t TotalExposed(const rollout_leader& leader);

}  // namespace baobabtray

#endif  // TRAY_ROLLOUT_ROLLOUT_LEADER_H_
