// State machine of one query, from its start to its answer.
//
//   query q = ...;                       // fill in query::spec
//   query_actions actions;
//   StartQuery(&routing, &q, now, &actions);
//   // execute actions.sends and actions.cancels, and report with
//   OnAttemptEnd(&routing, &q, attempt, result, now, &actions);
//   // at q.timer_at
//   OnQueryTimer(&routing, &q, now, paused, &actions);
//   // when a waiter of the query was popped from its wait queue
//   OnCapacityAvailable(&routing, &q, shard_index, now, &actions);
//   // until q.finished, then read q.outcome and q.shards.
//
// This code does no I/O, reads no clock, and uses only the random generator in
// routing_state. The daemon, the randomized simulation and the benchmarks all
// run it.
//
// Invariants, for any order of events:
//   - All bodies in an answer are of q.version; a reply of another version is
//     discarded.
//   - The first answer for a shard is kept; later ones are ignored.
//   - A request that is not idempotent is sent again only after proof that it
//     was not run.
//   - The outcome is kNotRun only if no attempt can have run.
//   - A shard has at most kMaxAttempts attempts, not counting warm-up copies.
//
// A cold server warms up only by answering requests, but a query is faster if
// it avoids cold servers. A cold server with capacity therefore receives copies
// of idempotent requests (attempt_kind::kFeed). Such an attempt is not
// cancelled when its query finishes, so a finished query must be kept until
// HasOpenAttempts returns false.

#ifndef TRAY_QUERY_QUERY_H_
#define TRAY_QUERY_QUERY_H_

#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "absl/container/inlined_vector.h"
#include "tray/fleet/fleet.h"
#include "tray/fleet/hedge.h"
#include "tray/query/replica_choice.h"
#include "tray/query/snapshot.h"
#include "tray/query/wait_queue.h"

namespace baobabtray {

constexpr int kMaxAttempts = 6;  // per shard
constexpr int kMaxRestarts = 2;  // on another index version

// State shared by all queries of a host.
struct routing_state {
  fleet backends;
  wait_queues waiting;
  budget retry_budget{
      .tokens_per_attempt = 0.1, .max_tokens = 100, .tokens = 100};
  choice_mode replica_choice = choice_mode::kLeastWait;
  hedge_mode hedging = hedge_mode::kLastFew;
  std::mt19937_64 random;
  uint64_t next_attempt = 1;
};

// kFeed is a copy of a request, sent to a cold server to warm it up.
enum class attempt_kind { kFirst, kHedge, kRetry, kFeed };
constexpr name_table<attempt_kind, 4> kAttemptKindNames = {{
    {attempt_kind::kFirst, "first"},
    {attempt_kind::kHedge, "hedge"},
    {attempt_kind::kRetry, "retry"},
    {attempt_kind::kFeed, "feed"},
}};

// How an attempt ended.
enum class attempt_end {
  kAnswered,     // a complete reply with the right id
  kRefused,      // the server states that it did not run the request
  kVersionGone,  // refused: the server lacks the index version
  kFailed,       // an error reply that does not say "not run"
  kNotSent,      // no connection was established, nothing was sent
  kBroken,       // the connection failed or the reply was truncated
  kCrossed,      // the reply carried another attempt's id
  kTimedOut,     // its deadline passed
  kCancelled,    // by its query; only counted, never passed to OnAttemptEnd
};
constexpr name_table<attempt_end, 9> kAttemptEndNames = {{
    {attempt_end::kAnswered, "answered"},
    {attempt_end::kRefused, "refused"},
    {attempt_end::kVersionGone, "version_gone"},
    {attempt_end::kFailed, "failed"},
    {attempt_end::kNotSent, "not_sent"},
    {attempt_end::kBroken, "broken"},
    {attempt_end::kCrossed, "crossed"},
    {attempt_end::kTimedOut, "timed_out"},
    {attempt_end::kCancelled, "cancelled"},
}};

struct attempt_result {
  attempt_end end = attempt_end::kBroken;
  bool has_report = false;  // `report` is set
  server_report report;
  int peer_server = -1;  // server to which a peer sent a forwarded request
  uint64_t version = 0;  // index version of the reply
  uint64_t newest_version = 0;         // held by the server; 0: not reported
  std::string body;                    // raw JSON of an answer
  std::shared_ptr<const void> charge;  // of the memory of `body`
};

struct attempt_state {
  uint64_t id = 0;
  attempt_kind kind = attempt_kind::kFirst;
  int server = -1;  // position in query::config_view; -1 if removed
  bool forwarded = false;
  bool open = true;
  bool not_run = false;        // proven by the attempt's end
  bool cancel_exempt = false;  // a warm-up copy is not cancelled
  micros sent_at = 0;
};

struct shard_state {
  shard_target target;
  shard_key key = 0;
  bool answered = false;
  bool given_up = false;
  bool waiting = false;
  waiter_ticket ticket;
  micros retry_at = 0;    // 0: no retry is scheduled
  int attempts_sent = 0;  // without warm-up copies
  miss_reason reason = miss_reason::kLate;
  absl::InlinedVector<attempt_state, 2> attempts;
  std::string body;                    // raw JSON of the answer
  std::shared_ptr<const void> charge;  // of the memory of `body`
  int answered_by = -1;                // position in query::config_view
  server_report report;                // received with the answer
};

struct query_spec {
  uint64_t id = 0;
  int service = 0;  // position in the topology at the start
  priority priority_level = priority::kNormal;
  bool idempotent = true;
  micros start = 0;
  micros deadline = 0;       // absolute
  micros soft_deadline = 0;  // absolute; 0: none
  double min_coverage = 1;
  bool may_forward = true;
  // A request forwarded by a peer: only this shard, in exactly this version.
  bool pinned = false;
  uint64_t pinned_version = 0;
  int pinned_shard = 0;
};

enum class query_outcome {
  kComplete,  // every shard answered
  kPartial,   // some shards answered; the answer lists the others
  kNotRun,    // no attempt was run
  kUnknown,   // no shard answered, and an attempt may have run
};
constexpr name_table<query_outcome, 4> kQueryOutcomeNames = {{
    {query_outcome::kComplete, "complete"},
    {query_outcome::kPartial, "partial"},
    {query_outcome::kNotRun, "not_run"},
    {query_outcome::kUnknown, "unknown"},
}};

struct query {
  query_spec spec;
  // View to which the positions in this query refer.
  std::shared_ptr<const topology_view> config_view;
  uint64_t version = 0;
  std::vector<shard_state> shards;
  int answered = 0;
  int resolved = 0;  // shards answered or given up
  int restarts = 0;
  bool may_have_run_earlier = false;  // before a restart
  bool finished = false;
  query_outcome outcome = query_outcome::kUnknown;
  micros timer_at = 0;
};

struct send_action {
  uint64_t attempt = 0;
  int shard_index = 0;
  attempt_kind kind = attempt_kind::kFirst;
  int server = -1;  // position in the current topology; -1: forwarded
  int host = -1;    // position in fleet::hosts if forwarded
  micros timeout = 0;
};

struct cancel_action {
  uint64_t attempt = 0;
};

struct query_actions {
  std::vector<send_action> sends;
  std::vector<cancel_action> cancels;
  // Servers that have capacity again; the caller should wake their waiters.
  std::vector<int> servers_with_capacity;
  // Servers to which a cancel has closed a connection; the caller should open a
  // new one before the next request.
  std::vector<int> servers_to_reconnect;
  bool server_state_changed = false;  // a server became cold, held or leaving
};

void StartQuery(routing_state* r, query* q, micros now, query_actions* actions);

// Handles the end of an attempt. Also updates the state of the server, even if
// the query has finished. An attempt that was cancelled is ignored.
void OnAttemptEnd(routing_state* r, query* q, uint64_t attempt,
                  attempt_result result, micros now, query_actions* actions);

// Sends the hedges and retries that are due, abandons attempts without a
// response, and ends the query at its deadline. `paused` means that this
// process did not run for a while, so that overdue replies say nothing about
// servers.
void OnQueryTimer(routing_state* r, query* q, micros now, bool paused,
                  query_actions* actions);

// True while an attempt of the query is open.
bool HasOpenAttempts(const query& q);

// Called when a server has capacity for the waiting shard `shard_index`.
void OnCapacityAvailable(routing_state* r, query* q, int shard_index,
                         micros now, query_actions* actions);

// Ends the query immediately, as at its deadline.
void AbortQuery(routing_state* r, query* q, micros now, query_actions* actions);

}  // namespace baobabtray

#endif  // TRAY_QUERY_QUERY_H_
