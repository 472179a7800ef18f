// Implementation of the relay state machine. See relay.h.

#include "tray/relay/relay.h"

#include <algorithm>

#include "tray/base/hash.h"
#include "tray/relay/overload.h"
#include "tray/relay/retry.h"
#include "tray/relay/rollouts.h"

namespace baobabtray {
namespace {

// Fraction of the extra request budget that is reserved for parts without which
// a request would fail or be late. Omitting one part of ten costs the caller a
// fifth of the response; omitting too many costs the whole response.
constexpr double kReservedForNeeded = 0.35;
// Divisor of the target latency: how long a refused request to one server waits
// for extra request budget. After that, it is better for the caller to retry.
constexpr micros kBudgetWaitDivisor = 4;
// Interval of retries while all servers are busy or the budget is spent.
constexpr micros kRetryInterval = 5 * kMillisecond;
// Delay before a refused request is sent to the same servers again.
constexpr micros kRepeatDelay = 20 * kMillisecond;
// Open attempts of an answered request may complete for this long, so that
// their connections can be reused, and are then cancelled.
constexpr micros kLingerPeriod = 300 * kMillisecond;
// An attempt that is given up without a reply counts against the server if it
// is older than this and than this many times the server's mean latency.
constexpr micros kOverdueAge = 100 * kMillisecond;
constexpr int kOverdueFactor = 4;
// No reply can be expected if less time than this is left.
constexpr micros kMinAttemptTime = 2 * kMillisecond;

bool MayHaveRun(const relay_request& req) {
  return std::any_of(req.parts.begin(), req.parts.end(),
                     [](const relay_part& p) { return MayHaveRun(p) > 0; });
}

int MinParts(const relay_request& req) {
  return req.route->is_sharded() ? MinParts(*req.route) : 1;
}

// Number of parts that are answered or may still be answered.
int PossibleParts(const relay_request& req) {
  return static_cast<int>(std::count_if(
      req.parts.begin(), req.parts.end(), [](const relay_part& p) {
        return p.response != nullptr || !p.given_up;
      }));
}

// Picks the service for a request by smooth weighted round-robin: each call
// adds every target's weight to its current weight and subtracts the total from
// the current weight of the target that is picked.
const std::string& PickTarget(relay_state* state, const route_config& route) {
  if (route.targets.size() == 1) return route.targets[0].service;
  std::vector<double>& current = state->target_weights[route.name];
  if (current.size() != route.targets.size()) {
    current.assign(route.targets.size(), 0);
    // Hosts start at different points of the cycle.
    for (double& w : current)
      w = static_cast<double>(state->random() % 1024) / 1024;
  }
  double total = 0;
  size_t best = 0;
  for (size_t i = 0; i < current.size(); ++i) {
    current[i] += route.targets[i].weight;
    total += route.targets[i].weight;
    if (route.targets[i].weight > 0 &&
        (route.targets[best].weight <= 0 || current[i] > current[best])) {
      best = i;
    }
  }
  current[best] -= total;
  return route.targets[best].service;
}

void CancelAll(relay_request* req, micros now, relay_actions* actions) {
  for (relay_part& part : req->parts) {
    for (relay_attempt& a : part.attempts) {
      if (!a.open) continue;
      a.open = false;
      RecordRolloutAnswer(a, req->route->name,
                          relay_attempt_outcome::kCancelled, now);
      micros age = now - a.sent_at;
      bool overdue =
          age > std::max(kOverdueAge, kOverdueFactor * a.server->mean_latency);
      OnGivenUp(a.server.get(), a.id, overdue, now);
      actions->cancels.push_back(a.id);
    }
  }
}

void Finish(relay_request* req, relay_outcome outcome, micros now,
            relay_actions* actions) {
  if (req->finished) return;
  req->finished = true;
  req->outcome = outcome;
  req->finished_at = now;
  bool linger =
      outcome == relay_outcome::kAnswered || outcome == relay_outcome::kPartial;
  if (!linger) CancelAll(req, now, actions);
}

void GiveUp(relay_part* part) {
  part->given_up = true;
  part->next_attempt_at = 0;
}

// Outcome of a request that can no longer be answered. A server's own error
// response is forwarded if there is only one part.
relay_outcome OutcomeWithoutAnswer(const relay_request& req) {
  if (!req.route->is_sharded() && req.parts[0].failure_response != nullptr) {
    return relay_outcome::kFailed;
  }
  return MayHaveRun(req) ? relay_outcome::kBroken : relay_outcome::kNotRun;
}

// Finishes the request if it can be answered now, or can no longer be answered.
void FinishIfDecided(relay_request* req, micros now, relay_actions* actions) {
  if (req->finished) return;
  int total = static_cast<int>(req->parts.size());
  int min_parts = MinParts(*req);
  int possible = PossibleParts(*req);
  if (req->answered_parts == total) {
    return Finish(req, relay_outcome::kAnswered, now, actions);
  }
  if (possible < min_parts) {
    return Finish(req, OutcomeWithoutAnswer(*req), now, actions);
  }
  bool waits_for_more = possible > req->answered_parts;
  if (req->answered_parts >= min_parts &&
      (!waits_for_more || now >= req->soft_deadline)) {
    return Finish(req, relay_outcome::kPartial, now, actions);
  }
  if (now < req->deadline) return;
  bool ran = MayHaveRun(*req);
  Finish(req, ran ? relay_outcome::kTimedOut : relay_outcome::kNotRun, now,
         actions);
}

// Returns true if no server can take a request in the next moments.
bool IsUnavailable(pick_result result) {
  return result == pick_result::kNoServer || result == pick_result::kFull ||
         result == pick_result::kLimited || result == pick_result::kPaused;
}

// Picks a server that the part has not tried yet. With `repeat`, it may also be
// one that completed an attempt, except one at whose address another server
// replied.
server_ref Pick(relay_state* state, const relay_request& req, relay_part* part,
                bool repeat, micros now) {
  std::vector<std::string> excluded;
  for (const relay_attempt& a : part->attempts) {
    if (!repeat || a.open || a.outcome == relay_attempt_outcome::kMisplaced) {
      excluded.push_back(a.server->info.id);
    }
  }
  pick_request request{.service = part->service,
                       .regions = &req.route->regions,
                       .customer_regions = req.customer == nullptr
                                               ? nullptr
                                               : &req.customer->regions,
                       .excluded = &excluded,
                       .optional = HasOpen(*part),
                       .now = now,
                       .random = state->random()};
  // A first attempt may be part of a trial. Others are sent since the first one
  // failed or is late.
  auto service = state->pool.services.find(part->service);
  if (part->attempts.empty() && service != state->pool.services.end() &&
      service->second.gate != nullptr &&
      WantsTrial(*service->second.gate, now)) {
    request.trial = true;
    if (server_ref to = PickServer(&state->pool, request, &part->last_pick,
                                   &part->last_rank))
      return to;
    request.trial = false;
  }
  return PickServer(&state->pool, request, &part->last_pick, &part->last_rank);
}

void Send(relay_state* state, relay_request* req, int index, server_ref to,
          micros now, relay_actions* actions) {
  relay_part& part = req->parts[index];
  relay_service& service = *GetOrCreateService(&state->pool, part.service);
  if (part.attempts.empty())
    RecordFirst(&service.extra, state->pool.extra_request_limits, now);
  service.last_used_at = now;
  relay_attempt a{.id = state->next_attempt++,
                  .server = to,
                  .sent_at = now,
                  .untimed = IsUntimed(*to, now)};
  OnSent(to.get(), a.id, now);
  if (to->limit.per_second && !part.attempts.empty()) ++to->limit.sent_extra;
  bool may_reset = MayResetConnections(state->pool, *to, now);
  actions->sends.push_back(
      {.attempt = a.id,
       .part = index,
       .server = std::move(to),
       .connections = ConnectionLimit(state->pool, service, now),
       .verify_new_connection = may_reset,
       .timeout = req->deadline - now,
       .rank = part.last_rank});
  part.attempts.push_back(std::move(a));
  part.next_attempt_at = 0;
  part.no_retry = CheckRetry(*req, part);
  if (part.no_retry == retry_verdict::kNone) {
    part.next_attempt_at = now + HedgeDelay(state, *req->route, &service, now);
  }
}

// Sends the part's first attempt, schedules a retry if all servers are busy, or
// gives the part up.
void SendFirst(relay_state* state, relay_request* req, int index, micros now,
               relay_actions* actions) {
  relay_part& part = req->parts[index];
  if (server_ref to = Pick(state, *req, &part, false, now)) {
    return Send(state, req, index, std::move(to), now, actions);
  }
  if (IsUnavailable(part.last_pick)) return GiveUp(&part);
  part.next_attempt_at = now + kRetryInterval;
}

// Returns true if the request can't be answered by its soft deadline without
// this part: too few other parts are answered or have an open attempt that is
// not late yet.
bool IsNeeded(const relay_request& req, const relay_part& part, micros now) {
  auto others = std::count_if(
      req.parts.begin(), req.parts.end(), [&](const relay_part& p) {
        bool late = p.next_attempt_at != 0 && p.next_attempt_at <= now;
        return &p != &part && (p.response != nullptr || (HasOpen(p) && !late));
      });
  return others < MinParts(req);
}

// Time until which a part without an open attempt waits for budget.
micros BudgetWaitEnd(const relay_request& req) {
  return req.route->is_sharded()
             ? req.soft_deadline
             : req.start + (req.soft_deadline - req.start) / kBudgetWaitDivisor;
}

// Sends one more attempt if that is allowed, or schedules a retry. A part that
// can't be retried and has no open attempt is given up.
void Retry(relay_state* state, relay_request* req, int index, micros now,
           relay_actions* actions) {
  relay_part& part = req->parts[index];
  part.next_attempt_at = 0;
  bool open = HasOpen(part);
  part.no_retry = CheckRetry(*req, part);
  if (part.no_retry != retry_verdict::kNone) {
    if (!open) GiveUp(&part);
    return;
  }
  server_ref to = Pick(state, *req, &part, false, now);
  if (to == nullptr && part.last_pick == pick_result::kNoServer && !open) {
    const relay_attempt& last = part.attempts.back();
    if (now < last.sent_at + kRepeatDelay) {
      part.next_attempt_at = last.sent_at + kRepeatDelay;
      return;
    }
    to = Pick(state, *req, &part, true, now);
  }
  if (to == nullptr) {
    bool busy = part.last_pick == pick_result::kBusy;
    bool full = part.last_pick == pick_result::kFull;
    bool limited = part.last_pick == pick_result::kLimited;
    bool paused = part.last_pick == pick_result::kPaused;
    part.no_retry = busy      ? retry_verdict::kBusy
                    : full    ? retry_verdict::kFull
                    : limited ? retry_verdict::kLimited
                    : paused  ? retry_verdict::kPaused
                              : retry_verdict::kNoServer;
    if (busy) {
      part.next_attempt_at = now + kRetryInterval;
    } else if (!open) {
      GiveUp(&part);
    }
    return;
  }
  if (WasSent(part) &&
      !TrySpendExtra(&GetOrCreateService(&state->pool, part.service)->extra,
                     state->pool.extra_request_limits, now,
                     IsNeeded(*req, part, now) ? 0 : kReservedForNeeded)) {
    part.no_retry = retry_verdict::kNoBudget;
    if (!open && now >= BudgetWaitEnd(*req)) return GiveUp(&part);
    part.next_attempt_at = now + kRetryInterval;
    return;
  }
  Send(state, req, index, std::move(to), now, actions);
}

// Decides whether to reject a request on arrival. Only a request over shards is
// rejected: a request to one server goes to the least loaded one.
bool IsOverloaded(relay_state* state, const relay_request& req, micros now) {
  if (!req.route->is_sharded()) return false;
  double sum = 0;
  for (const relay_part& part : req.parts) {
    sum +=
        LoadPerSlot(GetOrCreateService(&state->pool, part.service)->load, now);
  }
  double rejected = RejectedFraction(
      sum / static_cast<double>(req.parts.size()), PriorityOf(req));
  return rejected > 0 && std::bernoulli_distribution(rejected)(state->random);
}

void SetTimer(relay_request* req) {
  if (req->finished) {
    req->timer_at =
        HasOpenAttempts(*req) ? req->finished_at + kLingerPeriod : 0;
    return;
  }
  micros at = req->deadline;
  if (req->answered_parts >= MinParts(*req))
    at = std::min(at, req->soft_deadline);
  for (const relay_part& p : req->parts) {
    if (p.next_attempt_at != 0) at = std::min(at, p.next_attempt_at);
  }
  req->timer_at = at;
}

relay_attempt* FindAttempt(relay_request* req, uint64_t id, int* index) {
  for (size_t i = 0; i < req->parts.size(); ++i) {
    for (relay_attempt& a : req->parts[i].attempts) {
      if (a.id != id) continue;
      *index = static_cast<int>(i);
      return &a;
    }
  }
  return nullptr;
}

// Returns true for complete replies of the server that was asked.
bool IsFromServer(relay_attempt_outcome outcome) {
  return outcome == relay_attempt_outcome::kServed ||
         outcome == relay_attempt_outcome::kFailed ||
         outcome == relay_attempt_outcome::kRefused;
}

// Records what the server states of itself in its reply.
void RecordStatements(const relay_pool& pool, const server_ref& s,
                      micros sent_at, const server_reply& reply, micros now,
                      relay_actions* actions) {
  // The answer of another server at its address.
  if (reply.outcome == relay_attempt_outcome::kMisplaced) return;
  auto report = [&](server_event event) {
    actions->server_events.emplace_back(event, s);
  };
  if (IsFromServer(reply.outcome) &&
      OnRateLimit(pool, s.get(), reply.rate_limit, sent_at, now)) {
    report(reply.rate_limit ? server_event::kLimited
                            : server_event::kLimitEnded);
  }
  if (reply.leaving && NoteLeaving(&s->notice, now)) {
    report(server_event::kLeaving);
  }
  double spread = NormalizedRendezvousScore(s->info.id, pool.host_name);
  if (reply.pause && NotePause(&s->notice, *reply.pause, spread, now)) {
    report(server_event::kPaused);
  }
  if (reply.has_invalid_pause && !s->invalid_pause_logged) {
    s->invalid_pause_logged = true;
    report(server_event::kInvalidPause);
  }
}

// Closes the attempt and updates its server's state.
void CloseAttempt(relay_state* state, const std::string& service,
                  relay_attempt* a, const server_reply& reply, micros now) {
  relay_server* s = a->server.get();
  a->open = false;
  a->outcome = reply.outcome;
  switch (reply.outcome) {
    case relay_attempt_outcome::kServed:
      return OnServed(s, a->id, reply.load ? &*reply.load : nullptr, now);
    case relay_attempt_outcome::kFailed:
      return OnFailed(s, a->id, now);
    case relay_attempt_outcome::kBroken:
      // The server is not to blame.
      if (reply.over_account) return OnGivenUp(s, a->id, false, now);
      return OnBroken(s, a->id, now);
    case relay_attempt_outcome::kRefused:
      a->may_have_run = false;
      return OnRefused(s, a->id, reply.pause.has_value(), now);
    case relay_attempt_outcome::kMisplaced:
      a->may_have_run = false;
      return OnMisplaced(s, a->id, now);
    case relay_attempt_outcome::kNotSent:
      a->may_have_run = false;
      a->was_sent = false;
      return OnUnreachable(s, a->id, now);
    case relay_attempt_outcome::kServerFull:
      a->may_have_run = false;
      a->was_sent = false;
      return OnServerFull(GetOrCreateService(&state->pool, service), s, a->id,
                          now);
    case relay_attempt_outcome::kNoFreeConnection:
    case relay_attempt_outcome::kExpired:
      a->may_have_run = false;
      a->was_sent = false;
      return OnGivenUp(s, a->id, false, now);
    case relay_attempt_outcome::kTimedOut:
    case relay_attempt_outcome::kCancelled:
      return OnGivenUp(s, a->id, true, now);
  }
}

}  // namespace

bool HasOpenAttempts(const relay_request& req) {
  return std::any_of(req.parts.begin(), req.parts.end(), HasOpen);
}

int PriorityOf(const relay_request& req) {
  return req.customer != nullptr && req.customer->priority
             ? *req.customer->priority
             : req.route->priority;
}

void StartRelay(relay_state* state, relay_request* req, micros now,
                relay_actions* actions) {
  if (req->route->is_sharded()) {
    for (const std::string& shard : req->route->shards) {
      req->parts.push_back({.service = shard});
    }
  } else {
    req->parts.push_back({.service = PickTarget(state, *req->route)});
  }
  if (IsOverloaded(state, *req, now)) {
    req->overloaded = true;
    return Finish(req, relay_outcome::kNotRun, now, actions);
  }
  // Nothing is sent for a request that can't be answered.
  for (relay_part& part : req->parts) {
    if (Pick(state, *req, &part, false, now) == nullptr &&
        IsUnavailable(part.last_pick)) {
      GiveUp(&part);
    }
  }
  FinishIfDecided(req, now, actions);
  for (size_t i = 0; i < req->parts.size() && !req->finished; ++i) {
    if (!req->parts[i].given_up) {
      SendFirst(state, req, static_cast<int>(i), now, actions);
    }
  }
  FinishIfDecided(req, now, actions);
  SetTimer(req);
}

void OnRelayAttemptEnd(relay_state* state, relay_request* req, uint64_t attempt,
                       const server_reply& reply, micros now,
                       relay_actions* actions) {
  int index = 0;
  relay_attempt* a = FindAttempt(req, attempt, &index);
  if (a == nullptr || !a->open) return;
  relay_part& part = req->parts[index];
  CloseAttempt(state, part.service, a, reply, now);
  RecordRolloutAnswer(*a, req->route->name, reply.outcome, now);
  RecordStatements(state->pool, a->server, a->sent_at, reply, now, actions);
  if (reply.load) {
    relay_service* service = GetOrCreateService(&state->pool, part.service);
    RecordReportedLoad(&service->load, *reply.load, a->server->info.slots, now);
    if (reply.load->slowdown && !service->balanced) {
      service->balanced = true;
      actions->server_events.emplace_back(server_event::kBalanced, a->server);
    }
  }
  if (reply.outcome == relay_attempt_outcome::kServed) {
    route_latency& latency = state->pool.latency[req->route->name];
    bool first = a == &part.attempts.front();
    RecordLatency(first ? &latency.firsts : &latency.extras, now - a->sent_at);
  }
  if (!req->finished && part.response == nullptr) {
    if (reply.outcome == relay_attempt_outcome::kServed) {
      part.response = reply.response;
      part.next_attempt_at = 0;
      ++req->answered_parts;
    } else {
      if (reply.outcome == relay_attempt_outcome::kFailed)
        part.failure_response = reply.response;
      if (!part.given_up && req->deadline - now >= kMinAttemptTime) {
        Retry(state, req, index, now, actions);
      } else if (!HasOpen(part)) {
        if (!part.given_up) part.no_retry = retry_verdict::kNoTime;
        GiveUp(&part);
      }
    }
    FinishIfDecided(req, now, actions);
  }
  SetTimer(req);
}

void OnRelayTimer(relay_state* state, relay_request* req, micros now,
                  relay_actions* actions) {
  if (req->finished) {
    if (now >= req->finished_at + kLingerPeriod) CancelAll(req, now, actions);
    return SetTimer(req);
  }
  FinishIfDecided(req, now, actions);
  for (size_t i = 0; i < req->parts.size() && !req->finished; ++i) {
    relay_part& part = req->parts[i];
    if (part.next_attempt_at == 0 || part.next_attempt_at > now) continue;
    if (part.attempts.empty()) {
      SendFirst(state, req, static_cast<int>(i), now, actions);
    } else {
      Retry(state, req, static_cast<int>(i), now, actions);
    }
  }
  FinishIfDecided(req, now, actions);
  SetTimer(req);
}

void OnCallerDisconnected(relay_state*, relay_request* req, micros now,
                          relay_actions* actions) {
  Finish(req, relay_outcome::kCallerDisconnected, now, actions);
  CancelAll(req, now, actions);
  SetTimer(req);
}

}  // namespace baobabtray
