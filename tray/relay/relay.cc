// The life of one relayed request. See relay.h.

#include "tray/relay/relay.h"

#include <algorithm>

namespace baobabtray {
namespace {

// A reply is late once it takes this many times p85 of the route's replies.
constexpr double kLateFactor = 1.5;
constexpr micros kLateSlack = 2 * kMillisecond;
// Part of the route's aim after which a second server is asked while too few
// replies are known; and the latest, while none of a second server is.
constexpr double kUnmeasuredHedgeFraction = 0.2;
constexpr double kLatestHedgeFraction = 0.4;
// Part of the bound on extra requests that may go to replies which are not late
// yet, so that a second server's answer can still be on time. The rest is for
// failures.
constexpr double kEarlyHedgeFraction = 0.6;
// The part of an aim that AnswerMargin keeps, and the least: two round trips of
// a caller that is some ms away, and a few ms of work.
constexpr micros kMarginDivisor = 8;
constexpr micros kMinMargin = 8 * kMillisecond;
// Part of the bound on extra requests that is kept for parts without which a
// request would fail or be late: leaving out one part of ten costs its caller a
// fifth of the answer, leaving out too many costs all of it.
constexpr double kReservedForNeeded = 0.35;
// A refused request to one server waits for room in the bound for this part of
// its aim, after which its caller does better to come back.
constexpr micros kBudgetWaitDivisor = 4;
// A part that found no room, or no budget, looks again after this.
constexpr micros kRetryInterval = 5 * kMillisecond;
// A refused request is sent again to the same servers after this.
constexpr micros kRepeatDelay = 20 * kMillisecond;
// Attempts beyond way->max_servers that were proven not to have run.
constexpr int kMaxAdditionalAttempts = 2;
// Attempts of an answered request that are left to end by themselves, so that
// their connections can be used again, are cut off after this.
constexpr micros kLingerPeriod = 300 * kMillisecond;
// An attempt given up with no reply counts against the server if it is older
// than this, and than this many times the server's mean.
constexpr micros kOverdueAge = 100 * kMillisecond;
constexpr int kOverdueFactor = 4;
// Time in which an attempt can't be expected to be answered.
constexpr micros kMinAttemptTime = 2 * kMillisecond;

bool HasOpen(const relay_part& part) {
  return std::any_of(part.attempts.begin(), part.attempts.end(),
                     [](const relay_attempt& a) { return a.open; });
}

int MayHaveRun(const relay_part& part) {
  return static_cast<int>(
      std::count_if(part.attempts.begin(), part.attempts.end(),
                    [](const relay_attempt& a) { return a.may_have_run; }));
}

bool MayHaveRun(const relay_request& req) {
  return std::any_of(req.parts.begin(), req.parts.end(),
                     [](const relay_part& p) { return MayHaveRun(p) > 0; });
}

bool WasSent(const relay_part& part) {
  return std::any_of(part.attempts.begin(), part.attempts.end(),
                     [](const relay_attempt& a) { return a.was_sent; });
}

int MinParts(const relay_request& req) {
  return req.route->is_sharded() ? MinParts(*req.route) : 1;
}

// Parts that are answered or may still be.
int PossibleParts(const relay_request& req) {
  return static_cast<int>(std::count_if(
      req.parts.begin(), req.parts.end(), [](const relay_part& p) {
        return p.response != nullptr || !p.given_up;
      }));
}

// The service that answers this request, by smooth weighted turns: each turn
// adds the weights, and the one with the most pays for it.
const std::string& PickTarget(relay_state* state, const route_config& route) {
  if (route.targets.size() == 1) return route.targets[0].service;
  std::vector<double>& current = state->target_weights[route.name];
  if (current.size() != route.targets.size()) {
    current.assign(route.targets.size(), 0);
    // Hosts begin at different places.
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

// Answered, or failed in a way that only a last answer can express.
relay_outcome OutcomeWithoutAnswer(const relay_request& req) {
  if (!req.route->is_sharded() && req.parts[0].failure_response != nullptr) {
    return relay_outcome::kFailed;
  }
  return MayHaveRun(req) ? relay_outcome::kBroken : relay_outcome::kNotRun;
}

// Ends the query if it can be answered now, or can't be any more.
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

// After which time without a reply a second server is asked: when the reply is
// late, but soon enough for the second server to answer by the aim, as far as
// the bound on extra requests goes.
micros HedgeDelay(relay_state* state, const route_config& route,
                  relay_service* service, micros now) {
  double target = static_cast<double>(
      route.target_latency > 0 ? route.target_latency : route.time_limit);
  auto unmeasured = static_cast<micros>(target * kUnmeasuredHedgeFraction);
  auto found = state->pool.latency.find(route.name);
  if (found == state->pool.latency.end()) return unmeasured;
  const latency_track& firsts = found->second.firsts;
  if (firsts.p85 == 0) return unmeasured;
  auto late =
      static_cast<micros>(static_cast<double>(firsts.p85) * kLateFactor) +
      kLateSlack;
  auto latest = static_cast<micros>(target * kLatestHedgeFraction);
  const latency_track& extras = found->second.extras;
  if (extras.p85 != 0) {
    latest = static_cast<micros>(target) -
             ResponseMargin(route.target_latency) - extras.p85;
  }
  if (late <= latest) return late;
  double per_first =
      ExtraPerFirst(&service->extra, state->pool.extra_request_limits, now);
  double hedged = std::clamp(kEarlyHedgeFraction * per_first, 0.0, 1.0);
  micros earliest = QuantileOf(firsts, 1 - hedged, late);
  return std::min(late, std::max(latest, earliest));
}

// True if one more attempt of the part is allowed.
bool MayRetry(const relay_request& req, const relay_part& part) {
  if (MayHaveRun(part) >= req.route->max_servers) return false;
  int attempt_limit = req.route->max_servers + kMaxAdditionalAttempts;
  if (static_cast<int>(part.attempts.size()) >= attempt_limit) return false;
  if (req.route->kind == request_kind::kNonIdempotent) {
    return MayHaveRun(part) == 0 && !HasOpen(part);
  }
  return true;
}

server_ref Pick(relay_state* state, const relay_request& req, relay_part* part,
                bool repeat, micros now) {
  std::vector<std::string> excluded;
  for (const relay_attempt& a : part->attempts) {
    // A repeat may go to a server that refused; not to one that broke off.
    if (!repeat || a.open || a.outcome == relay_attempt_outcome::kMisplaced) {
      excluded.push_back(a.server->info.id);
    }
  }
  return PickServer(&state->pool,
                    {.service = part->service,
                     .regions = &req.route->regions,
                     .excluded = &excluded,
                     .now = now,
                     .random = state->random()},
                    &part->last_pick);
}

void Send(relay_state* state, relay_request* req, int index, server_ref to,
          micros now, relay_actions* actions) {
  relay_part& part = req->parts[index];
  relay_service& service = *GetOrCreateService(&state->pool, part.service);
  if (part.attempts.empty())
    RecordFirst(&service.extra, state->pool.extra_request_limits, now);
  service.last_used_at = now;
  relay_attempt a{.id = state->next_attempt++, .server = to, .sent_at = now};
  OnSent(to.get(), a.id, now);
  bool may_reset = MayResetConnections(state->pool, *to, now);
  actions->sends.push_back(
      {.attempt = a.id,
       .part = index,
       .server = std::move(to),
       .connections = ConnectionLimit(state->pool, service, now),
       .verify_new_connection = may_reset,
       .timeout = req->deadline - now});
  part.attempts.push_back(std::move(a));
  part.next_attempt_at = 0;
  if (MayRetry(*req, part)) {
    part.next_attempt_at = now + HedgeDelay(state, *req->route, &service, now);
  }
}

// Sends the part's first attempt, or says when to look again.
void SendFirst(relay_state* state, relay_request* req, int index, micros now,
               relay_actions* actions) {
  relay_part& part = req->parts[index];
  if (server_ref to = Pick(state, *req, &part, false, now)) {
    return Send(state, req, index, std::move(to), now, actions);
  }
  if (part.last_pick == pick_result::kNoServer) return GiveUp(&part);
  part.next_attempt_at = now + kRetryInterval;
}

// True if the request can't be answered at its aim without this part: too few
// others have an answer, or an attempt under way that is not late yet.
bool IsNeeded(const relay_request& req, const relay_part& part, micros now) {
  auto others = std::count_if(
      req.parts.begin(), req.parts.end(), [&](const relay_part& p) {
        bool late = p.next_attempt_at != 0 && p.next_attempt_at <= now;
        return &p != &part && (p.response != nullptr || (HasOpen(p) && !late));
      });
  return others < MinParts(req);
}

// Until when a part without an open attempt waits for the bound on extras.
micros BudgetWaitEnd(const relay_request& req) {
  return req.route->is_sharded()
             ? req.soft_deadline
             : req.start + (req.soft_deadline - req.start) / kBudgetWaitDivisor;
}

// Sends one more attempt if that is allowed, or says when to look again. With
// no open attempt, a part that can't be asked again is given up.
void Retry(relay_state* state, relay_request* req, int index, micros now,
           relay_actions* actions) {
  relay_part& part = req->parts[index];
  part.next_attempt_at = 0;
  bool open = HasOpen(part);
  if (!MayRetry(*req, part)) {
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
    if (part.last_pick == pick_result::kBusy) {
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
    if (!open && now >= BudgetWaitEnd(*req)) return GiveUp(&part);
    part.next_attempt_at = now + kRetryInterval;
    return;
  }
  Send(state, req, index, std::move(to), now, actions);
}

// The next time at which anything is due.
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

// Tells the server's state how an attempt ended.
void CloseAttempt(relay_attempt* a, const server_reply& reply, micros now) {
  relay_server* s = a->server.get();
  a->open = false;
  a->outcome = reply.outcome;
  switch (reply.outcome) {
    case relay_attempt_outcome::kServed:
      return OnServed(s, a->id, reply.load ? &*reply.load : nullptr, now);
    case relay_attempt_outcome::kFailed:
      return OnFailed(s, a->id, now);
    case relay_attempt_outcome::kBroken:
      return OnBroken(s, a->id, now);
    case relay_attempt_outcome::kRefused:
      a->may_have_run = false;
      return OnRefused(s, a->id, now);
    case relay_attempt_outcome::kMisplaced:
      a->may_have_run = false;
      return OnMisplaced(s, a->id, now);
    case relay_attempt_outcome::kNotSent:
      a->may_have_run = false;
      a->was_sent = false;
      return OnUnreachable(s, a->id, now);
    case relay_attempt_outcome::kNoFreeConnection:
      a->may_have_run = false;
      a->was_sent = false;
      return OnGivenUp(s, a->id, false, now);
    case relay_attempt_outcome::kTimedOut:
    case relay_attempt_outcome::kCancelled:
      return OnGivenUp(s, a->id, true, now);
  }
}

}  // namespace

micros ResponseMargin(micros target_latency) {
  return std::max(kMinMargin, target_latency / kMarginDivisor);
}

bool HasOpenAttempts(const relay_request& req) {
  return std::any_of(req.parts.begin(), req.parts.end(), HasOpen);
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
  // Nothing is sent for a request that can't be answered.
  for (relay_part& part : req->parts) {
    if (Pick(state, *req, &part, false, now) == nullptr &&
        part.last_pick == pick_result::kNoServer) {
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
  CloseAttempt(a, reply, now);
  relay_part& part = req->parts[index];
  if (reply.outcome == relay_attempt_outcome::kServed) {
    route_latency& latency = state->pool.latency[req->route->name];
    bool first = a == &part.attempts.front();
    AddLatency(first ? &latency.firsts : &latency.extras, now - a->sent_at);
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
