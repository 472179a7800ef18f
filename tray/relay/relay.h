// State machine of one relayed request, from its arrival to its response.
//
//   relay_request req{.id = 1, .table = table, .route = route, ...};
//   relay_actions actions;
//   StartRelay(&relay, &req, now, &actions);
//   // Perform actions.sends and actions.cancels, and report events with:
//   OnRelayAttemptEnd(&relay, &req, attempt, reply, now, &actions);
//   OnRelayTimer(&relay, &req, now, &actions);  // at req.timer_at
//   OnCallerDisconnected(&relay, &req, now, &actions);
//   // Once req.finished, read req.outcome and req.parts. Keep the request
//   until
//   // HasOpenAttempts returns false.
//
// A request to a single service has one part. A request on a route with shards
// has one part per shard, all of the same version of the route table. The state
// machine reads no clock and does no I/O: the daemon, the tests and the random
// checker run the same code.
//
// Guarantees for any order of events:
//   - a non-idempotent request is sent again only after a proof that it was not
//     executed, and never while another attempt is open
//   - kNotRun is returned only if no attempt may have been executed
//   - at most route->max_servers servers may have executed a part
//   - extra requests stay within the budget of their service (extra.h)
//   - a merged response has at least MinParts parts, each of another shard
//
// A second server is asked once the reply is later than most replies on the
// route. A request is answered with fewer parts than shards once no missing
// part can still arrive, or when waiting longer would miss the route's target
// latency.

#ifndef TRAY_RELAY_RELAY_H_
#define TRAY_RELAY_RELAY_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "absl/container/inlined_vector.h"
#include "tray/base/enum_names.h"
#include "tray/base/time.h"
#include "tray/relay/servers.h"
#include "tray/routes/routes.h"

namespace baobabtray {

// A backend server's response, forwarded unchanged.
struct backend_response {
  int status = 0;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string signature;  // with which the server signs the response
  std::string body;
  std::shared_ptr<const void> charge;  // of the memory that it takes
};
using response_ref = std::shared_ptr<const backend_response>;

enum class relay_attempt_outcome {
  kServed,            // complete response to forward
  kFailed,            // complete response that reports a server error
  kRefused,           // the server states that it did not run the request
  kMisplaced,         // another server uses the address; not run
  kNotSent,           // no connection was made; no byte was sent
  kServerFull,        // the server rejected the connection; no byte was sent
  kNoFreeConnection,  // timed out waiting for a connection; no byte was sent
  kExpired,           // the server may no longer be asked; no byte was sent
  kBroken,            // connection lost, or a truncated or mismatched reply
  kTimedOut,          // no reply before the deadline
  kCancelled,         // cancelled by its request; never reported back
};
constexpr name_table<relay_attempt_outcome, 11> kRelayAttemptOutcomeNames = {{
    {relay_attempt_outcome::kServed, "served"},
    {relay_attempt_outcome::kFailed, "failed"},
    {relay_attempt_outcome::kRefused, "refused"},
    {relay_attempt_outcome::kMisplaced, "misplaced"},
    {relay_attempt_outcome::kNotSent, "not_sent"},
    {relay_attempt_outcome::kServerFull, "server_full"},
    {relay_attempt_outcome::kNoFreeConnection, "no_turn"},
    {relay_attempt_outcome::kExpired, "expired"},
    {relay_attempt_outcome::kBroken, "broken"},
    {relay_attempt_outcome::kTimedOut, "timed_out"},
    {relay_attempt_outcome::kCancelled, "cancelled"},
}};

struct server_reply {
  relay_attempt_outcome outcome = relay_attempt_outcome::kBroken;
  std::optional<reported_load> load;
  // Requests a second that the server takes from all hosts together.
  std::optional<double> rate_limit;
  bool leaving = false;  // the server states that it leaves
  // Time for which the server, which rejected the request, wants none.
  std::optional<micros> pause;
  bool has_invalid_pause = false;  // it states one that can't be read
  bool over_account = false;  // kBroken, since this host had no memory for it
  response_ref response;      // of kServed and kFailed
};

enum class relay_outcome {
  kAnswered,            // with all parts
  kPartial,             // with enough parts, but not all
  kFailed,              // with the server's own error response
  kNotRun,              // not executed anywhere, and will not be
  kBroken,              // no response; may have been executed
  kTimedOut,            // no response before the deadline
  kCallerDisconnected,  // the caller closed its connection
};
constexpr name_table<relay_outcome, 7> kRelayOutcomeNames = {{
    {relay_outcome::kAnswered, "answered"},
    {relay_outcome::kPartial, "partial"},
    {relay_outcome::kFailed, "failed"},
    {relay_outcome::kNotRun, "not_run"},
    {relay_outcome::kBroken, "broken"},
    {relay_outcome::kTimedOut, "timed_out"},
    {relay_outcome::kCallerDisconnected, "caller_gone"},
}};

struct relay_attempt {
  uint64_t id = 0;
  server_ref server;
  micros sent_at = 0;
  bool open = true;
  bool may_have_run = true;
  bool was_sent = true;  // false: no byte was sent
  bool untimed = false;  // its latency says nothing of the server's version
  // Valid once closed.
  relay_attempt_outcome outcome = relay_attempt_outcome::kCancelled;
};

// Why a part has no further attempt.
enum class retry_verdict {
  kNone,           // not decided yet, or a further attempt was made
  kNonIdempotent,  // an earlier attempt may have run
  kServerLimit,    // the route's limit of servers or attempts is reached
  kNoServer,       // no other server is eligible
  kBusy,           // all other servers are at this host's limit of requests
  kFull,           // the other servers reject connections
  kLimited,        // this host's share of their rate limits is used
  kPaused,         // the other servers want a pause
  kNoBudget,       // the budget of extra requests is spent
  kNoTime,         // too little time is left
};
constexpr name_table<retry_verdict, 10> kRetryVerdictNames = {{
    {retry_verdict::kNone, ""},
    {retry_verdict::kNonIdempotent, "may have run"},
    {retry_verdict::kServerLimit, "server limit"},
    {retry_verdict::kNoServer, "no other server"},
    {retry_verdict::kBusy, "others busy"},
    {retry_verdict::kFull, "others full"},
    {retry_verdict::kLimited, "others limited"},
    {retry_verdict::kPaused, "others paused"},
    {retry_verdict::kNoBudget, "no budget"},
    {retry_verdict::kNoTime, "no time"},
}};

struct relay_part {
  std::string service;
  absl::InlinedVector<relay_attempt, 2> attempts;
  micros next_attempt_at = 0;  // 0: none scheduled
  bool given_up = false;
  pick_result last_pick = pick_result::kOk;
  int last_rank = kUnranked;  // of the server picked last
  retry_verdict no_retry = retry_verdict::kNone;
  response_ref response;          // accepted
  response_ref failure_response;  // last error response of a server, if any
};

struct relay_request {
  uint64_t id = 0;
  std::shared_ptr<const route_table> table;
  const route_config* route = nullptr;  // in `table`
  // Null if the configuration has no customers or the route needs no key.
  const customer_config* customer = nullptr;  // in `table`
  micros start = 0;
  micros soft_deadline = 0;  // a response sent by then is on time
  micros deadline = 0;       // the caller gives up at this time
  std::vector<relay_part> parts;
  int answered_parts = 0;
  bool finished = false;
  // Rejected on arrival, since servers are queueing (overload.h).
  bool overloaded = false;
  relay_outcome outcome = relay_outcome::kBroken;
  micros finished_at = 0;
  micros timer_at = 0;  // 0: none
};

// A request to one server that the owner of the state machine must send.
struct relay_send {
  uint64_t attempt = 0;
  int part = 0;
  server_ref server;
  int connections = 1;  // limit of this host's connections to the server
  // The server may reset a new connection immediately.
  bool verify_new_connection = false;
  micros timeout = 0;
  int rank = kUnranked;  // of the server (PickServer)
};

enum class server_event {
  kLimited,       // it names a rate limit
  kLimitEnded,    // it names none any more
  kLeaving,       // it leaves
  kPaused,        // it wants no requests for a time
  kInvalidPause,  // it states a time that can't be read
  kBalanced,      // the first of its service to report its slowdown
};
constexpr name_table<server_event, 6> kServerEventNames = {{
    {server_event::kLimited, "server_limited"},
    {server_event::kLimitEnded, "server_limit_ended"},
    {server_event::kLeaving, "server_says_it_leaves"},
    {server_event::kPaused, "server_paused"},
    {server_event::kInvalidPause, "server_pause_ignored"},
    {server_event::kBalanced, "service_balanced"},
}};

struct relay_actions {
  std::vector<relay_send> sends;
  std::vector<uint64_t> cancels;
  // What servers have begun or ceased to state in their replies.
  std::vector<std::pair<server_event, server_ref>> server_events;
};

// State shared by all requests of a host.
struct relay_state {
  relay_pool pool;
  std::mt19937_64 random;
  uint64_t next_attempt = 1;
  // Current weights of the smooth weighted round-robin over the targets of a
  // route, by route name.
  std::unordered_map<std::string, std::vector<double>> target_weights;
};

void StartRelay(relay_state* state, relay_request* req, micros now,
                relay_actions* actions);
void OnRelayAttemptEnd(relay_state* state, relay_request* req, uint64_t attempt,
                       const server_reply& reply, micros now,
                       relay_actions* actions);
void OnRelayTimer(relay_state* state, relay_request* req, micros now,
                  relay_actions* actions);
void OnCallerDisconnected(relay_state* state, relay_request* req, micros now,
                          relay_actions* actions);

bool HasOpenAttempts(const relay_request& req);

// Priority of a request: its customer's, or else its route's.
int PriorityOf(const relay_request& req);

}  // namespace baobabtray

#endif  // TRAY_RELAY_RELAY_H_
