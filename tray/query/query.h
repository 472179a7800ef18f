// One query from its start to its answer, as a state machine.
//
//   query q = ...;                       // fill in query::spec
//   query_actions actions;
//   StartQuery(&routing, &q, now, &actions);
//   // perform actions.sends and actions.cancels; report back with
//   OnAttemptEnd(&routing, &q, attempt, result, now, &actions);
//   OnQueryTimer(&routing, &q, now, paused, &actions);   // at q.timer_at
//   OnRoom(&routing, &q, slot, now, &actions);           // its turn came
//   // until q.finished, then read q.outcome and q.shards.
//
// Nothing here reads a clock, draws random bits of its own, or sends anything.
// The daemon, the random checker and the benchmarks all drive this same code.
//
// Guarantees, kept by this file whatever the order of events:
//   - all bodies kept are of q.version; a reply of another version is dropped
//   - the first answer of a shard counts, later ones are ignored
//   - a request that is not idempotent is sent again only after a proof that it
//     was not run
//   - `not_run` is given only if no attempt may have run
//   - attempts per shard are bounded by kMaxAttempts
//
// A cold server warms only by answering, and a query does better to avoid it.
// While one has room it therefore gets copies of idempotent requests, whose
// replies are left to arrive rather than cancelled. A finished query has to be
// kept until HasOpenAttempts is false, for the sake of such attempts.

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

// State that all queries of a host share.
struct routing_state {
  fleet backends;
  wait_queues waiting;
  budget retry_budget{.rate = 0.1, .most = 100, .tokens = 100};
  choice_mode replica_choice = choice_mode::kLeastWait;
  hedge_mode hedging = hedge_mode::kLastFew;
  std::mt19937_64 random;
  uint64_t next_attempt = 1;
};

// kFeed: a copy sent to a cold server only to warm it.
enum class attempt_kind { kFirst, kHedge, kRetry, kFeed };
constexpr name_table<attempt_kind, 4> kAttemptKindNames = {{
    {attempt_kind::kFirst, "first"},
    {attempt_kind::kHedge, "hedge"},
    {attempt_kind::kRetry, "retry"},
    {attempt_kind::kFeed, "feed"},
}};

// How an attempt ended.
enum class attempt_end {
  kAnswered,     // a whole reply with the right id
  kRefused,      // the server says that it did not run it
  kVersionGone,  // refused: the server lacks the index version
  kFailed,       // an error reply that does not say "not run"
  kNotSent,      // no connection was made, no byte left
  kBroken,       // the connection broke or the reply was cut
  kCrossed,      // the reply carried another attempt's id
  kTimedOut,     // its deadline passed
  kCancelled,    // given up by its query; only counted, never reported back
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
  bool has_report = false;  // `report` is filled in
  server_report report;
  int peer_server = -1;  // position of the server that a peer asked for us
  uint64_t version = 0;  // index version that the reply is stamped with
  uint64_t newest_version = 0;  // newest version the server holds; 0: not said
  std::string body;             // raw JSON of an answer
};

struct attempt_state {
  uint64_t id = 0;
  attempt_kind kind = attempt_kind::kFirst;
  int server = -1;  // position in the text in force; -1 if it is gone
  bool handed_over = false;
  bool open = true;
  bool not_run = false;    // proven by how it ended
  bool lingering = false;  // warms a cold server: not cancelled
  micros sent_at = 0;
};

struct shard_state {
  shard_target target;
  shard_key key = 0;
  bool answered = false;
  bool given_up = false;
  bool waiting = false;
  waiter_ticket ticket;
  micros retry_at = 0;  // 0: no retry is due
  int sent = 0;         // attempts so far
  miss_reason reason = miss_reason::kLate;
  absl::InlinedVector<attempt_state, 2> attempts;
  std::string body;      // raw JSON of the answer
  int answered_by = -1;  // position in the text in force
  server_report report;  // that came with the answer
};

struct query_spec {
  uint64_t id = 0;
  int service = 0;  // position in the text in force at the start
  priority priority_level = priority::kNormal;
  bool idempotent = true;
  micros start = 0;
  micros deadline = 0;       // absolute
  micros soft_deadline = 0;  // absolute; 0: none
  double min_coverage = 1;
  bool may_forward = true;
  // A shard handed over by a peer: only this, of exactly this version.
  bool pinned = false;
  uint64_t pinned_version = 0;
  int pinned_shard = 0;
};

enum class query_outcome {
  kComplete,  // every shard answered
  kPartial,   // some shards answered; the others are listed
  kNotRun,    // nothing was run anywhere
  kUnknown,   // nothing answered, and something may have run
};
constexpr name_table<query_outcome, 4> kQueryOutcomeNames = {{
    {query_outcome::kComplete, "complete"},
    {query_outcome::kPartial, "partial"},
    {query_outcome::kNotRun, "not_run"},
    {query_outcome::kUnknown, "unknown"},
}};

struct query {
  query_spec spec;
  std::shared_ptr<const topology_view>
      config_view;  // view that positions refer to
  uint64_t version = 0;
  std::vector<shard_state> shards;
  int answered = 0;
  int settled = 0;  // answered or given up
  int restarts = 0;
  bool ran_earlier = false;  // an attempt before a restart may have run
  bool finished = false;
  query_outcome outcome = query_outcome::kUnknown;
  micros timer_at = 0;
};

struct send_action {
  uint64_t attempt = 0;
  int shard_index = 0;
  attempt_kind kind = attempt_kind::kFirst;
  int server = -1;  // direct: position in the text in force
  int host = -1;    // handed over: position in fleet::hosts
  micros timeout = 0;
};

struct cancel_action {
  uint64_t attempt = 0;
};

struct query_actions {
  std::vector<send_action> sends;
  std::vector<cancel_action> cancels;
  // Servers that got room, whose waiters should be woken.
  std::vector<int> servers_with_capacity;
  // Servers whose connection a cancel has closed; a new one should be opened
  // ahead of the next request.
  std::vector<int> servers_to_reconnect;
  bool server_state_changed = false;  // a server turned cold, left or went away
};

void StartQuery(routing_state* r, query* q, micros now, query_actions* actions);

// The end of an attempt. Updates what is known about the server in every case,
// also when the query is finished or the attempt was cancelled meanwhile.
void OnAttemptEnd(routing_state* r, query* q, uint64_t attempt,
                  attempt_result result, micros now, query_actions* actions);

// Hedges, retries, gives up silent attempts and ends the query, as is due.
// `paused`: this host itself stood still, so overdue replies mean nothing.
void OnQueryTimer(routing_state* r, query* q, micros now, bool paused,
                  query_actions* actions);

// True while an attempt of the query is still under way.
bool HasOpenAttempts(const query& q);

// Room came free for the waiting shard `slot`.
void OnCapacityAvailable(routing_state* r, query* q, int slot, micros now,
                         query_actions* actions);

// Ends the query now, as at its deadline.
void AbortQuery(routing_state* r, query* q, micros now, query_actions* actions);

}  // namespace baobabtray

#endif  // TRAY_QUERY_QUERY_H_
