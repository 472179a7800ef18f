// The life of one query. See query.h.

#include "tray/query/query.h"

#include <algorithm>
#include <array>
#include <utility>

namespace baobabtray {
namespace {

// A refused request is asked again after this, doubled with each attempt.
constexpr micros kRetryBackoff = 2 * kMillisecond;
// An attempt is given at least this long, or is not sent at all.
constexpr micros kLeastTimeout = 1 * kMillisecond;

const service_topology& TextOf(const routing_state& r) {
  return *r.backends.current_view->topology;
}

int Unanswered(const query& q) {
  return static_cast<int>(q.shards.size()) - q.answered;
}

// True while an attempt is open that the shard counts on.
bool HasOpenAttempt(const shard_state& s) {
  return std::any_of(
      s.attempts.begin(), s.attempts.end(),
      [](const attempt_state& a) { return a.open && !a.lingering; });
}

// The attempt whose age decides on hedging and silence.
const attempt_state& LastAttempt(const shard_state& s) {
  size_t at = s.attempts.size() - 1;
  while (at > 0 && s.attempts[at].lingering) --at;
  return s.attempts[at];
}

attempt_state* FindAttempt(query* q, uint64_t id, int* slot) {
  for (size_t i = 0; i < q->shards.size(); ++i) {
    for (attempt_state& a : q->shards[i].attempts) {
      if (a.id != id) continue;
      *slot = static_cast<int>(i);
      return &a;
    }
  }
  return nullptr;
}

// Moves all positions to the text now in force.
void Rebase(const routing_state& r, query* q) {
  const fleet& f = r.backends;
  if (q->config_view == f.current_view) return;
  const service_topology& old = *q->config_view->topology;
  q->spec.service = CurrentService(f, old, q->spec.service);
  for (shard_state& s : q->shards) {
    s.target.service = CurrentService(f, old, s.target.service);
    for (attempt_state& a : s.attempts) {
      a.server = CurrentServer(f, old, a.server);
    }
  }
  q->config_view = f.current_view;
}

void StopWaiting(routing_state* r, shard_state* s) {
  if (!s->waiting) return;
  DropWaiter(&r->waiting, s->ticket);
  s->waiting = false;
}

void CloseConnection(server_state* s) {
  s->connections = std::max(0, s->connections - 1);
}

// Ends an open attempt that is no longer wanted.
void CancelAttempt(routing_state* r, attempt_state* a, micros now,
                   query_actions* actions) {
  a->open = false;
  actions->cancels.push_back({a->id});
  if (a->handed_over || a->server < 0) return;
  server_state& s = r->backends.servers[a->server];
  OnAbandon(&s.window, now);
  CloseConnection(&s);
  actions->servers_with_capacity.push_back(a->server);
  if (s.window.phase == window_phase::kWarm) {
    actions->servers_to_reconnect.push_back(a->server);
  }
}

// Ends the shard's open attempts, but for those that warm a cold server.
void CancelAll(routing_state* r, shard_state* s, micros now,
               query_actions* actions) {
  for (attempt_state& a : s->attempts) {
    if (a.open && !a.lingering) CancelAttempt(r, &a, now, actions);
  }
}

bool MayHaveRun(const query& q) {
  if (q.ran_earlier) return true;
  for (const shard_state& s : q.shards) {
    for (const attempt_state& a : s.attempts) {
      if (!a.not_run) return true;
    }
  }
  return false;
}

void Finish(routing_state* r, query* q, micros now, query_actions* actions) {
  if (q->finished) return;
  q->finished = true;
  for (shard_state& s : q->shards) {
    StopWaiting(r, &s);
    CancelAll(r, &s, now, actions);
  }
  int total = static_cast<int>(q->shards.size());
  if (total > 0 && q->answered == total) {
    q->outcome = query_outcome::kComplete;
  } else if (q->answered > 0) {
    q->outcome = query_outcome::kPartial;
  } else {
    q->outcome =
        MayHaveRun(*q) ? query_outcome::kUnknown : query_outcome::kNotRun;
  }
}

void GiveUp(routing_state* r, query* q, shard_state* s, miss_reason reason) {
  if (s->answered || s->given_up) return;
  StopWaiting(r, s);
  s->given_up = true;
  s->reason = reason;
  s->retry_at = 0;
  ++q->settled;
}

void Wait(routing_state* r, query* q, int slot) {
  shard_state& s = q->shards[slot];
  if (s.waiting) return;
  int customer = r->backends.current_view->customer_of[s.target.service];
  int weight = customer < 0 ? 1 : TextOf(*r).customers[customer].weight;
  s.ticket = AddWaiter(&r->waiting, s.key,
                       {.query = q->spec.id,
                        .shard_index = slot,
                        .priority_level = q->spec.priority_level,
                        .customer = customer,
                        .weight = weight},
                       s.ticket);
  s.waiting = true;
}

// Hedges are paid for by the service that was queried, over all its shards: a
// budget for each shard's service would fill too slowly to be of use to a query
// that is late on two shards at once.
budget* HedgeBudget(routing_state* r, const query& q) {
  if (q.spec.service < 0) return nullptr;
  return &r->backends.services[q.spec.service].hedge_budget;
}

void Send(routing_state* r, query* q, int slot, const choice& to,
          attempt_kind kind, micros now, query_actions* actions) {
  shard_state& s = q->shards[slot];
  attempt_state a{.id = r->next_attempt++,
                  .kind = kind,
                  .server = to.server,
                  .handed_over = to.kind == choice_kind::kHandOver,
                  .sent_at = now};
  if (!a.handed_over) {
    server_state& server = r->backends.servers[to.server];
    OnSend(&server.window);
    server.connections = std::max(server.connections, server.window.in_flight);
  }
  if (kind == attempt_kind::kFirst) {
    Earn(&r->retry_budget, 1);
    if (budget* hedges = HedgeBudget(r, *q)) Earn(hedges, 1);
  }
  actions->sends.push_back({.attempt = a.id,
                            .shard_index = slot,
                            .kind = kind,
                            .server = a.handed_over ? -1 : to.server,
                            .host = to.host,
                            .timeout = q->spec.deadline - now});
  s.attempts.push_back(a);
  if (kind != attempt_kind::kFeed) ++s.sent;
  s.ticket = {};
}

choice Choose(routing_state* r, const query& q, const shard_state& s,
              bool hedge, bool repeat, micros now) {
  absl::InlinedVector<int, kMaxAttempts> asked;
  for (const attempt_state& a : s.attempts) {
    // A server that was asked and failed may be asked again once all were.
    if (a.open || !repeat) asked.push_back(a.server);
  }
  return ChooseReplica(r->backends, r->replica_choice,
                       {.service = s.target.service,
                        .shard = s.target.shard,
                        .version = q.version,
                        .priority_level = q.spec.priority_level,
                        .asked = asked,
                        .may_forward = q.spec.may_forward,
                        .hedge = hedge,
                        .now = now,
                        .random = r->random()});
}

enum class ask_result { kSent, kWaiting, kImpossible };

// Sends the shard's next attempt, or queues it, or gives it up.
ask_result Ask(routing_state* r, query* q, int slot, attempt_kind kind,
               micros now, query_actions* actions) {
  shard_state& s = q->shards[slot];
  s.retry_at = 0;
  if (s.target.service < 0) {
    GiveUp(r, q, &s, miss_reason::kOutOfService);
    return ask_result::kImpossible;
  }
  if (s.sent >= kMaxAttempts || q->spec.deadline - now < kLeastTimeout) {
    GiveUp(r, q, &s, miss_reason::kLate);
    return ask_result::kImpossible;
  }
  choice to = Choose(r, *q, s, false, false, now);
  if (to.kind == choice_kind::kNone && to.reason == miss_reason::kUnreachable) {
    to = Choose(r, *q, s, false, true, now);
  }
  switch (to.kind) {
    case choice_kind::kDirect:
    case choice_kind::kHandOver:
      Send(r, q, slot, to, kind, now, actions);
      return ask_result::kSent;
    case choice_kind::kWait:
      Wait(r, q, slot);
      return ask_result::kWaiting;
    case choice_kind::kNone:
      break;
  }
  GiveUp(r, q, &s, to.reason);
  return ask_result::kImpossible;
}

// Sends a copy of the shard's request to a cold server that has room for it.
void FeedCold(routing_state* r, query* q, int slot, micros now,
              query_actions* actions) {
  shard_state& s = q->shards[slot];
  if (!q->spec.idempotent || s.attempts.empty()) return;
  int asked = s.attempts.front().server;
  choice to = ChooseReplica(r->backends, r->replica_choice,
                            {.service = s.target.service,
                             .shard = s.target.shard,
                             .version = q->version,
                             .priority_level = q->spec.priority_level,
                             .asked = {&asked, 1},
                             .may_forward = false,
                             .feed_cold = true,
                             .now = now,
                             .random = r->random()});
  if (to.kind != choice_kind::kDirect) return;
  if (IsWarmOrWarming(r->backends.servers[to.server].window)) return;
  Send(r, q, slot, to, attempt_kind::kFeed, now, actions);
  s.attempts.back().lingering = true;
}

void AskAll(routing_state* r, query* q, micros now, query_actions* actions) {
  for (size_t i = 0; i < q->shards.size(); ++i) {
    shard_state& s = q->shards[i];
    // Whoever waits already goes first.
    if (r->waiting.size > 0 && r->waiting.queues.contains(s.key)) {
      Wait(r, q, static_cast<int>(i));
      continue;
    }
    int slot = static_cast<int>(i);
    ask_result asked = Ask(r, q, slot, attempt_kind::kFirst, now, actions);
    if (asked == ask_result::kSent) FeedCold(r, q, slot, now, actions);
  }
}

// Fills in the shards of a snapshot, all unasked.
void TakeSnapshot(const routing_state& r, query* q, const snapshot& pinned) {
  q->version = pinned.version;
  q->answered = 0;
  q->settled = 0;
  q->shards.clear();
  q->shards.resize(pinned.shards.size());
  for (size_t i = 0; i < pinned.shards.size(); ++i) {
    shard_state& s = q->shards[i];
    s.target = pinned.shards[i];
    s.key = ShardKey(r.backends.current_view->service_hashes[s.target.service],
                     s.target.shard);
  }
}

std::optional<snapshot> Pin(const routing_state& r, const query& q) {
  if (q.spec.pinned) {
    return snapshot{.version = q.spec.pinned_version,
                    .shards = {{q.spec.service, q.spec.pinned_shard}},
                    .answerable = 1};
  }
  return PickSnapshot(r.backends, ReachableServices(TextOf(r), q.spec.service));
}

// Starts over on another version if that promises as much as the pinned one
// did.
bool Restart(routing_state* r, query* q, micros now, query_actions* actions) {
  if (!q->spec.idempotent || q->spec.pinned || q->spec.service < 0)
    return false;
  if (q->restarts >= kMaxRestarts) return false;
  std::optional<snapshot> next = Pin(*r, *q);
  if (!next || next->version == q->version) return false;
  if (next->answerable < static_cast<int>(next->shards.size()) &&
      next->answerable <= q->answered) {
    return false;
  }
  ++q->restarts;
  q->ran_earlier = MayHaveRun(*q);
  for (shard_state& s : q->shards) {
    StopWaiting(r, &s);
    // The shards are dropped, so nothing of them may linger.
    for (attempt_state& a : s.attempts) a.lingering = false;
    CancelAll(r, &s, now, actions);
  }
  TakeSnapshot(*r, q, *next);
  AskAll(r, q, now, actions);
  return true;
}

// Removes a version that the server has just said it lacks.
void ForgetVersion(fleet* f, int server, uint64_t version) {
  if (server < 0) return;
  std::erase_if(f->servers[server].versions,
                [&](const version_report& v) { return v.version == version; });
}

bool SoftDeadlineReached(const query& q, micros now) {
  if (q.spec.soft_deadline == 0 || now < q.spec.soft_deadline) return false;
  return q.answered >= q.spec.min_coverage * q.shards.size();
}

void FinishIfDone(routing_state* r, query* q, micros now,
                  query_actions* actions) {
  bool all_settled = q->settled == static_cast<int>(q->shards.size());
  if (all_settled || SoftDeadlineReached(*q, now)) Finish(r, q, now, actions);
}

void KeepAnswer(routing_state* r, query* q, shard_state* s, int server,
                attempt_result result, micros now, query_actions* actions) {
  if (s->answered) return;
  if (s->given_up) {
    s->given_up = false;
    --q->settled;
  }
  StopWaiting(r, s);
  s->answered = true;
  s->body = std::move(result.body);
  s->answered_by = server;
  s->report = result.report;
  ++q->answered;
  ++q->settled;
  CancelAll(r, s, now, actions);
}

// The most telling reason for a shard whose attempt ended without an answer.
miss_reason ReasonOf(attempt_end end) {
  switch (end) {
    case attempt_end::kRefused:
      return miss_reason::kRefused;
    case attempt_end::kVersionGone:
      return miss_reason::kVersionGone;
    case attempt_end::kTimedOut:
      return miss_reason::kLate;
    default:
      return miss_reason::kUnreachable;
  }
}

bool ProvesNotRun(attempt_end end) {
  return end == attempt_end::kRefused || end == attempt_end::kVersionGone ||
         end == attempt_end::kNotSent;
}

// Asks again elsewhere after a failure, as far as that is allowed.
void Recover(routing_state* r, query* q, int slot, attempt_end end, micros now,
             query_actions* actions) {
  shard_state& s = q->shards[slot];
  bool under_way = s.waiting || s.retry_at != 0 || HasOpenAttempt(s);
  if (s.answered || s.given_up || under_way) return;
  if (!q->spec.idempotent && !ProvesNotRun(end)) {
    GiveUp(r, q, &s, miss_reason::kUnknown);
    return;
  }
  if (end == attempt_end::kVersionGone) {
    bool elsewhere =
        Choose(r, *q, s, false, false, now).kind != choice_kind::kNone;
    if (!elsewhere) {
      if (!Restart(r, q, now, actions)) {
        GiveUp(r, q, &s, miss_reason::kVersionGone);
      }
      return;
    }
  }
  if (!Spend(&r->retry_budget)) {
    GiveUp(r, q, &s, ReasonOf(end));
    return;
  }
  bool all_asked =
      Choose(r, *q, s, false, false, now).kind == choice_kind::kNone;
  if (all_asked && end != attempt_end::kNotSent) {
    s.reason = ReasonOf(end);
    s.retry_at = now + (kRetryBackoff << std::min(s.sent, 8));
    q->timer_at = std::min(q->timer_at, s.retry_at);
    return;
  }
  Ask(r, q, slot, attempt_kind::kRetry, now, actions);
}

bool HoldsVersion(const server_state& s, uint64_t version) {
  return std::any_of(
      s.versions.begin(), s.versions.end(),
      [&](const version_report& v) { return v.version == version; });
}

void JudgeReply(fleet* f, server_state* s, int service,
                const server_report& report, micros latency, micros now) {
  bool was_cold = s->window.phase == window_phase::kCold;
  s->mean_latency =
      s->mean_latency == 0 ? latency : (4 * s->mean_latency + latency) / 5;
  s->mean_latency_at = now;
  OnReply(&s->window, report, latency, now);
  if (was_cold) {
    // What it took while cold says nothing about it from now on.
    if (IsWarmOrWarming(s->window)) s->mean_latency = 0;
    return;
  }
  if (service >= 0) RecordLatency(&f->services[service].latency, latency);
}

const server_window& WindowOf(routing_state* r, const attempt_state& a) {
  return r->backends.servers[a.server].window;
}

// What an attempt's end says about the server it went to.
void JudgeServer(routing_state* r, const attempt_state& a, int service,
                 const attempt_result& result, micros now) {
  fleet& f = r->backends;
  if (a.handed_over) {
    if (!result.has_report || result.peer_server < 0) return;
    OnReport(&f.servers[result.peer_server].window, report_source::kPeer,
             result.report, now);
    return;
  }
  if (a.server < 0) return;
  server_state& s = f.servers[a.server];
  if (result.has_report) {
    s.last_report_at = now;
    s.load = result.report.load;
  }
  if (result.newest_version != 0 && !HoldsVersion(s, result.newest_version)) {
    s.versions_stale = true;
  }
  micros latency = now - a.sent_at;
  switch (result.end) {
    case attempt_end::kAnswered:
      JudgeReply(&f, &s, service, result.report, latency, now);
      return;
    case attempt_end::kRefused:
    case attempt_end::kVersionGone:
    case attempt_end::kFailed:
      OnRefusal(&s.window, result.report, now);
      return;
    case attempt_end::kNotSent:
      OnFault(&s.window, connection_fault::kRefused, now);
      break;
    case attempt_end::kBroken:
      OnFault(&s.window, connection_fault::kBroken, now);
      break;
    case attempt_end::kCrossed:
      OnFault(&s.window, connection_fault::kCrossed, now);
      break;
    case attempt_end::kTimedOut:
    case attempt_end::kCancelled:
      OnAbandon(&s.window, now);
      break;
  }
  CloseConnection(&s);
}

bool MayHedgeShard(const query& q, const shard_state& s) {
  if (!q.spec.idempotent || s.answered || s.given_up || s.waiting) return false;
  return s.sent < 3 && HasOpenAttempt(s);
}

// Sends a hedge for `slot` if it is old enough, affordable and there is a
// replica for it. Returns when to look again.
micros HedgeIfDue(routing_state* r, query* q, int slot, micros now,
                  query_actions* actions) {
  shard_state& s = q->shards[slot];
  service_state& service = r->backends.services[s.target.service];
  micros delay = HedgeDelay(r->hedging, service.latency, s.sent);
  micros due = LastAttempt(s).sent_at + delay;
  if (now < due) return due;
  micros again = now + std::max(delay / 4, kMillisecond);
  int unanswered = Unanswered(*q);
  if (!MayHedge(r->hedging, static_cast<int>(q->shards.size()), unanswered)) {
    return again;
  }
  if (q->spec.deadline - now < kLeastTimeout) return q->spec.deadline;
  choice to = Choose(r, *q, s, true, false, now);
  if (to.kind != choice_kind::kDirect) return again;
  budget* hedges = HedgeBudget(r, *q);
  if (hedges == nullptr || !SpendHedge(hedges, unanswered)) return again;
  Send(r, q, slot, to, attempt_kind::kHedge, now, actions);
  return now + delay;
}

// Gives up an attempt that has been silent too long and asks anew.
micros RetryIfSilent(routing_state* r, query* q, int slot, micros now,
                     query_actions* actions) {
  shard_state& s = q->shards[slot];
  const latency_histogram& latency =
      r->backends.services[s.target.service].latency;
  const attempt_state& last = LastAttempt(s);
  // A peer may hold a request back for a while before it sends it on.
  micros bound = SilenceBound(latency) * (last.handed_over ? 2 : 1);
  micros due = last.sent_at + bound;
  if (now < due) return due;
  if (s.sent >= kMaxAttempts) return q->spec.deadline;
  if (!Spend(&r->retry_budget)) return now + bound;
  for (attempt_state& a : s.attempts) {
    if (!a.open || a.lingering) continue;
    a.open = false;
    actions->cancels.push_back({a.id});
    if (a.handed_over || a.server < 0) continue;
    server_state& server = r->backends.servers[a.server];
    OnFault(&server.window, connection_fault::kSilent, now);
    CloseConnection(&server);
    actions->servers_with_capacity.push_back(a.server);
  }
  Ask(r, q, slot, attempt_kind::kRetry, now, actions);
  return now + bound;
}

}  // namespace

void StartQuery(routing_state* r, query* q, micros now,
                query_actions* actions) {
  q->config_view = r->backends.current_view;
  q->timer_at = q->spec.deadline;
  std::optional<snapshot> pinned = Pin(*r, *q);
  if (!pinned) {
    Finish(r, q, now, actions);
    return;
  }
  TakeSnapshot(*r, q, *pinned);
  AskAll(r, q, now, actions);
  FinishIfDone(r, q, now, actions);
  if (!q->finished) OnQueryTimer(r, q, now, true, actions);
}

void OnAttemptEnd(routing_state* r, query* q, uint64_t attempt,
                  attempt_result result, micros now, query_actions* actions) {
  Rebase(*r, q);
  int slot = -1;
  attempt_state* found = FindAttempt(q, attempt, &slot);
  if (found == nullptr || !found->open) return;
  attempt_state a = *found;
  found->open = false;
  found->not_run = ProvesNotRun(result.end);
  shard_state& s = q->shards[slot];
  bool was_sending = a.server >= 0 && IsWarmOrWarming(WindowOf(r, a));
  JudgeServer(r, a, s.target.service, result, now);
  if (was_sending && !IsWarmOrWarming(WindowOf(r, a)))
    actions->server_state_changed = true;
  if (a.server >= 0 && !a.handed_over)
    actions->servers_with_capacity.push_back(a.server);
  if (result.end == attempt_end::kVersionGone) {
    ForgetVersion(&r->backends, a.handed_over ? result.peer_server : a.server,
                  q->version);
  }
  if (q->finished) return;
  if (result.end == attempt_end::kAnswered && result.version != q->version) {
    result.end = attempt_end::kFailed;
  }
  if (result.end == attempt_end::kAnswered) {
    int server = a.handed_over ? result.peer_server : a.server;
    KeepAnswer(r, q, &s, server, std::move(result), now, actions);
  } else {
    Recover(r, q, slot, result.end, now, actions);
  }
  FinishIfDone(r, q, now, actions);
}

void OnQueryTimer(routing_state* r, query* q, micros now, bool paused,
                  query_actions* actions) {
  if (q->finished) return;
  Rebase(*r, q);
  if (now >= q->spec.deadline) {
    Finish(r, q, now, actions);
    return;
  }
  micros next = q->spec.deadline;
  if (q->spec.soft_deadline > now) next = std::min(next, q->spec.soft_deadline);
  for (size_t i = 0; i < q->shards.size(); ++i) {
    shard_state& s = q->shards[i];
    int slot = static_cast<int>(i);
    if (s.answered || s.given_up || s.target.service < 0) continue;
    if (s.retry_at != 0 && now >= s.retry_at) {
      Ask(r, q, slot, attempt_kind::kRetry, now, actions);
    }
    if (s.retry_at != 0) next = std::min(next, s.retry_at);
    if (!HasOpenAttempt(s)) continue;
    if (paused) {
      // Replies that came during the pause are read first.
      next = std::min(
          next, now + HedgeDelay(r->hedging,
                                 r->backends.services[s.target.service].latency,
                                 s.sent));
      continue;
    }
    if (r->hedging != hedge_mode::kOff && MayHedgeShard(*q, s)) {
      next = std::min(next, HedgeIfDue(r, q, slot, now, actions));
    }
    if (q->spec.idempotent) {
      next = std::min(next, RetryIfSilent(r, q, slot, now, actions));
    }
  }
  FinishIfDone(r, q, now, actions);
  q->timer_at = std::max(next, now + 1);
}

void OnCapacityAvailable(routing_state* r, query* q, int slot, micros now,
                         query_actions* actions) {
  Rebase(*r, q);
  if (q->finished || slot >= static_cast<int>(q->shards.size())) return;
  shard_state& s = q->shards[slot];
  if (!s.waiting) return;
  // Normally taken already; not so if the query restarted in between.
  DropWaiter(&r->waiting, s.ticket);
  s.waiting = false;
  attempt_kind kind = s.sent == 0 ? attempt_kind::kFirst : attempt_kind::kRetry;
  Ask(r, q, slot, kind, now, actions);
  FinishIfDone(r, q, now, actions);
}

bool HasOpenAttempts(const query& q) {
  for (const shard_state& s : q.shards) {
    for (const attempt_state& a : s.attempts) {
      if (a.open) return true;
    }
  }
  return false;
}

void AbortQuery(routing_state* r, query* q, micros now,
                query_actions* actions) {
  Finish(r, q, now, actions);
}

}  // namespace baobabtray
