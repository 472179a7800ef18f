// State machine of one query. See query.h.

#include "tray/query/query.h"

#include <algorithm>
#include <array>
#include <utility>

namespace baobabtray {
namespace {

// Back-off before a retry once all replicas were tried, doubled per attempt.
constexpr micros kRetryBackoff = 2 * kMillisecond;
// No attempt is sent with less time than this before the deadline.
constexpr micros kMinAttemptTimeout = 1 * kMillisecond;

const service_topology& TopologyOf(const routing_state& r) {
  return *r.backends.current_view->topology;
}

int UnansweredShards(const query& q) {
  return static_cast<int>(q.shards.size()) - q.answered;
}

// True while an attempt other than a warm-up copy is open.
bool HasOpenAttempt(const shard_state& s) {
  return std::any_of(
      s.attempts.begin(), s.attempts.end(),
      [](const attempt_state& a) { return a.open && !a.cancel_exempt; });
}

// The attempt whose age determines hedging and the no-response time-out: the
// last one that is not a warm-up copy.
const attempt_state& LastAttempt(const shard_state& s) {
  size_t at = s.attempts.size() - 1;
  while (at > 0 && s.attempts[at].cancel_exempt) --at;
  return s.attempts[at];
}

attempt_state* FindAttempt(query* q, uint64_t id, int* shard_index) {
  for (size_t i = 0; i < q->shards.size(); ++i) {
    for (attempt_state& a : q->shards[i].attempts) {
      if (a.id != id) continue;
      *shard_index = static_cast<int>(i);
      return &a;
    }
  }
  return nullptr;
}

// Translates all positions to the current view.
void RemapPositions(const routing_state& r, query* q) {
  const fleet& f = r.backends;
  if (q->config_view == f.current_view) return;
  const service_topology& old = *q->config_view->topology;
  q->spec.service = ServiceInCurrentView(f, old, q->spec.service);
  for (shard_state& s : q->shards) {
    s.target.service = ServiceInCurrentView(f, old, s.target.service);
    for (attempt_state& a : s.attempts) {
      a.server = ServerInCurrentView(f, old, a.server);
    }
  }
  q->config_view = f.current_view;
}

void StopWaiting(routing_state* r, shard_state* s) {
  if (!s->waiting) return;
  RemoveWaiter(&r->waiting, s->ticket);
  s->waiting = false;
}

void CloseConnection(server_state* s) {
  s->connections = std::max(0, s->connections - 1);
}

// Cancels an open attempt.
void CancelAttempt(routing_state* r, attempt_state* a, micros now,
                   query_actions* actions) {
  a->open = false;
  actions->cancels.push_back({a->id});
  if (a->forwarded || a->server < 0) return;
  server_state& s = r->backends.servers[a->server];
  OnAttemptAbandoned(&s.window, now);
  CloseConnection(&s);
  actions->servers_with_capacity.push_back(a->server);
  if (s.window.phase == window_phase::kWarm) {
    actions->servers_to_reconnect.push_back(a->server);
  }
}

// Cancels the shard's open attempts other than warm-up copies.
void CancelAll(routing_state* r, shard_state* s, micros now,
               query_actions* actions) {
  for (attempt_state& a : s->attempts) {
    if (a.open && !a.cancel_exempt) CancelAttempt(r, &a, now, actions);
  }
}

bool MayHaveRun(const query& q) {
  if (q.may_have_run_earlier) return true;
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
  ++q->resolved;
}

void Enqueue(routing_state* r, query* q, int shard_index) {
  shard_state& s = q->shards[shard_index];
  if (s.waiting) return;
  int customer = r->backends.current_view->customer_of[s.target.service];
  int weight = customer < 0 ? 1 : TopologyOf(*r).customers[customer].weight;
  s.ticket = AddWaiter(&r->waiting, s.key,
                       {.query = q->spec.id,
                        .shard_index = shard_index,
                        .priority_level = q->spec.priority_level,
                        .customer = customer,
                        .weight = weight},
                       s.ticket);
  s.waiting = true;
}

// Hedges are charged to the queried service, over all shards of the query. A
// budget per shard's service would refill too slowly for a query that is late
// on two shards at once.
budget* HedgeBudget(routing_state* r, const query& q) {
  if (q.spec.service < 0) return nullptr;
  return &r->backends.services[q.spec.service].hedge_budget;
}

void Send(routing_state* r, query* q, int shard_index, const choice& to,
          attempt_kind kind, micros now, query_actions* actions) {
  shard_state& s = q->shards[shard_index];
  attempt_state a{.id = r->next_attempt++,
                  .kind = kind,
                  .server = to.server,
                  .forwarded = to.kind == choice_kind::kForward,
                  .sent_at = now};
  if (!a.forwarded) {
    server_state& server = r->backends.servers[to.server];
    OnSend(&server.window);
    server.connections = std::max(server.connections, server.window.in_flight);
  }
  if (kind == attempt_kind::kFirst) {
    Deposit(&r->retry_budget, 1);
    if (budget* hedges = HedgeBudget(r, *q)) Deposit(hedges, 1);
  }
  actions->sends.push_back({.attempt = a.id,
                            .shard_index = shard_index,
                            .kind = kind,
                            .server = a.forwarded ? -1 : to.server,
                            .host = to.host,
                            .timeout = q->spec.deadline - now});
  s.attempts.push_back(a);
  if (kind != attempt_kind::kFeed) ++s.attempts_sent;
  s.ticket = {};
}

choice ChooseNext(routing_state* r, const query& q, const shard_state& s,
                  bool hedge, bool allow_repeat, micros now) {
  absl::InlinedVector<int, kMaxAttempts> excluded;
  for (const attempt_state& a : s.attempts) {
    // A server whose attempt failed may be retried once all were tried.
    if (a.open || !allow_repeat) excluded.push_back(a.server);
  }
  return ChooseReplica(r->backends, r->replica_choice,
                       {.service = s.target.service,
                        .shard = s.target.shard,
                        .version = q.version,
                        .priority_level = q.spec.priority_level,
                        .excluded = excluded,
                        .may_forward = q.spec.may_forward,
                        .hedge = hedge,
                        .now = now,
                        .random = r->random()});
}

enum class send_result { kSent, kWaiting, kImpossible };

// Sends the shard's next attempt, queues the shard, or gives it up.
send_result SendOrEnqueue(routing_state* r, query* q, int shard_index,
                          attempt_kind kind, micros now,
                          query_actions* actions) {
  shard_state& s = q->shards[shard_index];
  s.retry_at = 0;
  if (s.target.service < 0) {
    GiveUp(r, q, &s, miss_reason::kOutOfService);
    return send_result::kImpossible;
  }
  if (s.attempts_sent >= kMaxAttempts ||
      q->spec.deadline - now < kMinAttemptTimeout) {
    GiveUp(r, q, &s, miss_reason::kLate);
    return send_result::kImpossible;
  }
  choice to = ChooseNext(r, *q, s, false, false, now);
  if (to.kind == choice_kind::kNone && to.reason == miss_reason::kUnreachable) {
    to = ChooseNext(r, *q, s, false, true, now);
  }
  switch (to.kind) {
    case choice_kind::kDirect:
    case choice_kind::kForward:
      Send(r, q, shard_index, to, kind, now, actions);
      return send_result::kSent;
    case choice_kind::kWait:
      Enqueue(r, q, shard_index);
      return send_result::kWaiting;
    case choice_kind::kNone:
      break;
  }
  GiveUp(r, q, &s, to.reason);
  return send_result::kImpossible;
}

// Sends a copy of the shard's request to a cold server that has capacity.
void SendWarmupCopy(routing_state* r, query* q, int shard_index, micros now,
                    query_actions* actions) {
  shard_state& s = q->shards[shard_index];
  if (!q->spec.idempotent || s.attempts.empty()) return;
  int first_server = s.attempts.front().server;
  choice to = ChooseReplica(r->backends, r->replica_choice,
                            {.service = s.target.service,
                             .shard = s.target.shard,
                             .version = q->version,
                             .priority_level = q->spec.priority_level,
                             .excluded = {&first_server, 1},
                             .may_forward = false,
                             .prefer_cold = true,
                             .now = now,
                             .random = r->random()});
  if (to.kind != choice_kind::kDirect) return;
  if (IsWarmOrWarming(r->backends.servers[to.server].window)) return;
  Send(r, q, shard_index, to, attempt_kind::kFeed, now, actions);
  s.attempts.back().cancel_exempt = true;
}

void SendFirstAttempts(routing_state* r, query* q, micros now,
                       query_actions* actions) {
  for (size_t i = 0; i < q->shards.size(); ++i) {
    shard_state& s = q->shards[i];
    // Requests that are already waiting go first.
    if (r->waiting.size > 0 && r->waiting.queues.contains(s.key)) {
      Enqueue(r, q, static_cast<int>(i));
      continue;
    }
    int shard_index = static_cast<int>(i);
    send_result result =
        SendOrEnqueue(r, q, shard_index, attempt_kind::kFirst, now, actions);
    if (result == send_result::kSent)
      SendWarmupCopy(r, q, shard_index, now, actions);
  }
}

// Sets up the shards of a snapshot, without attempts.
void InitShards(const routing_state& r, query* q, const snapshot& pinned) {
  q->version = pinned.version;
  q->answered = 0;
  q->resolved = 0;
  q->shards.clear();
  q->shards.resize(pinned.shards.size());
  for (size_t i = 0; i < pinned.shards.size(); ++i) {
    shard_state& s = q->shards[i];
    s.target = pinned.shards[i];
    s.key = ShardKey(r.backends.current_view->service_hashes[s.target.service],
                     s.target.shard);
  }
}

std::optional<snapshot> PickVersion(const routing_state& r, const query& q) {
  if (q.spec.pinned) {
    return snapshot{.version = q.spec.pinned_version,
                    .shards = {{q.spec.service, q.spec.pinned_shard}},
                    .answerable = 1};
  }
  return PickSnapshot(r.backends,
                      ReachableServices(TopologyOf(r), q.spec.service));
}

// Restarts the query on another index version, provided that version is
// complete or has more answerable shards than are answered already.
bool RestartOnOtherVersion(routing_state* r, query* q, micros now,
                           query_actions* actions) {
  if (!q->spec.idempotent || q->spec.pinned || q->spec.service < 0)
    return false;
  if (q->restarts >= kMaxRestarts) return false;
  std::optional<snapshot> next = PickVersion(*r, *q);
  if (!next || next->version == q->version) return false;
  if (next->answerable < static_cast<int>(next->shards.size()) &&
      next->answerable <= q->answered) {
    return false;
  }
  ++q->restarts;
  q->may_have_run_earlier = MayHaveRun(*q);
  for (shard_state& s : q->shards) {
    StopWaiting(r, &s);
    // The shards are discarded, so warm-up copies are cancelled as well.
    for (attempt_state& a : s.attempts) a.cancel_exempt = false;
    CancelAll(r, &s, now, actions);
  }
  InitShards(*r, q, *next);
  SendFirstAttempts(r, q, now, actions);
  return true;
}

// Removes a version that the server has just reported missing.
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
  bool all_resolved = q->resolved == static_cast<int>(q->shards.size());
  if (all_resolved || SoftDeadlineReached(*q, now)) Finish(r, q, now, actions);
}

void RecordAnswer(routing_state* r, query* q, shard_state* s, int server,
                  attempt_result result, micros now, query_actions* actions) {
  if (s->answered) return;
  if (s->given_up) {
    s->given_up = false;
    --q->resolved;
  }
  StopWaiting(r, s);
  s->answered = true;
  s->body = std::move(result.body);
  s->charge = std::move(result.charge);
  s->answered_by = server;
  s->report = result.report;
  ++q->answered;
  ++q->resolved;
  CancelAll(r, s, now, actions);
}

// Reason for a shard whose last attempt ended without an answer.
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

// Retries after a failed attempt if the request and the retry budget allow it.
void RetryAfterFailure(routing_state* r, query* q, int shard_index,
                       attempt_end end, micros now, query_actions* actions) {
  shard_state& s = q->shards[shard_index];
  bool in_progress = s.waiting || s.retry_at != 0 || HasOpenAttempt(s);
  if (s.answered || s.given_up || in_progress) return;
  if (!q->spec.idempotent && !ProvesNotRun(end)) {
    GiveUp(r, q, &s, miss_reason::kUnknown);
    return;
  }
  if (end == attempt_end::kVersionGone) {
    bool has_other_replica =
        ChooseNext(r, *q, s, false, false, now).kind != choice_kind::kNone;
    if (!has_other_replica) {
      if (!RestartOnOtherVersion(r, q, now, actions)) {
        GiveUp(r, q, &s, miss_reason::kVersionGone);
      }
      return;
    }
  }
  if (!TryWithdraw(&r->retry_budget)) {
    GiveUp(r, q, &s, ReasonOf(end));
    return;
  }
  bool all_tried =
      ChooseNext(r, *q, s, false, false, now).kind == choice_kind::kNone;
  if (all_tried && end != attempt_end::kNotSent) {
    s.reason = ReasonOf(end);
    s.retry_at = now + (kRetryBackoff << std::min(s.attempts_sent, 8));
    q->timer_at = std::min(q->timer_at, s.retry_at);
    return;
  }
  SendOrEnqueue(r, q, shard_index, attempt_kind::kRetry, now, actions);
}

bool HoldsVersion(const server_state& s, uint64_t version) {
  return std::any_of(
      s.versions.begin(), s.versions.end(),
      [&](const version_report& v) { return v.version == version; });
}

void RecordReply(fleet* f, server_state* s, int service,
                 const server_report& report, micros latency, micros now) {
  bool was_cold = s->window.phase == window_phase::kCold;
  s->mean_latency =
      s->mean_latency == 0 ? latency : (4 * s->mean_latency + latency) / 5;
  s->mean_latency_at = now;
  OnReply(&s->window, report, latency, now);
  if (was_cold) {
    // Latencies while cold say nothing about the warm server.
    if (IsWarmOrWarming(s->window)) s->mean_latency = 0;
    return;
  }
  if (service >= 0) RecordLatency(&f->services[service].latency, latency);
}

const server_window& WindowOf(routing_state* r, const attempt_state& a) {
  return r->backends.servers[a.server].window;
}

// Updates the state of the attempt's server from the attempt's end.
void RecordServerResult(routing_state* r, const attempt_state& a, int service,
                        const attempt_result& result, micros now) {
  fleet& f = r->backends;
  if (a.forwarded) {
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
      RecordReply(&f, &s, service, result.report, latency, now);
      return;
    case attempt_end::kRefused:
    case attempt_end::kVersionGone:
    case attempt_end::kFailed:
      OnRefusal(&s.window, result.report, now);
      return;
    case attempt_end::kNotSent:
      OnConnectionFault(&s.window, connection_fault::kRefused, now);
      break;
    case attempt_end::kBroken:
      OnConnectionFault(&s.window, connection_fault::kBroken, now);
      break;
    case attempt_end::kCrossed:
      OnConnectionFault(&s.window, connection_fault::kCrossed, now);
      break;
    case attempt_end::kTimedOut:
    case attempt_end::kCancelled:
      OnAttemptAbandoned(&s.window, now);
      break;
  }
  CloseConnection(&s);
}

bool MayHedgeShard(const query& q, const shard_state& s) {
  if (!q.spec.idempotent || s.answered || s.given_up || s.waiting) return false;
  return s.attempts_sent < 3 && HasOpenAttempt(s);
}

// Sends a hedge for the shard if its last attempt is old enough, the budget
// allows it and a replica is available. Returns the time of the next check.
micros HedgeIfDue(routing_state* r, query* q, int shard_index, micros now,
                  query_actions* actions) {
  shard_state& s = q->shards[shard_index];
  service_state& service = r->backends.services[s.target.service];
  micros delay = HedgeDelay(r->hedging, service.latency, s.attempts_sent);
  micros due_at = LastAttempt(s).sent_at + delay;
  if (now < due_at) return due_at;
  micros recheck_at = now + std::max(delay / 4, kMillisecond);
  int unanswered = UnansweredShards(*q);
  if (!MayHedge(r->hedging, static_cast<int>(q->shards.size()), unanswered)) {
    return recheck_at;
  }
  if (q->spec.deadline - now < kMinAttemptTimeout) return q->spec.deadline;
  choice to = ChooseNext(r, *q, s, true, false, now);
  if (to.kind != choice_kind::kDirect) return recheck_at;
  budget* hedges = HedgeBudget(r, *q);
  if (hedges == nullptr || !TryWithdrawHedge(hedges, unanswered))
    return recheck_at;
  Send(r, q, shard_index, to, attempt_kind::kHedge, now, actions);
  return now + delay;
}

// Abandons attempts without a response after the no-response time-out and
// retries the shard. Returns the time of the next check.
micros RetryIfNoResponse(routing_state* r, query* q, int shard_index,
                         micros now, query_actions* actions) {
  shard_state& s = q->shards[shard_index];
  const latency_histogram& latency =
      r->backends.services[s.target.service].latency;
  const attempt_state& last = LastAttempt(s);
  // A peer may queue a request before it sends it to the server.
  micros timeout = NoResponseTimeout(latency) * (last.forwarded ? 2 : 1);
  micros due_at = last.sent_at + timeout;
  if (now < due_at) return due_at;
  if (s.attempts_sent >= kMaxAttempts) return q->spec.deadline;
  if (!TryWithdraw(&r->retry_budget)) return now + timeout;
  for (attempt_state& a : s.attempts) {
    if (!a.open || a.cancel_exempt) continue;
    a.open = false;
    actions->cancels.push_back({a.id});
    if (a.forwarded || a.server < 0) continue;
    server_state& server = r->backends.servers[a.server];
    OnConnectionFault(&server.window, connection_fault::kNoResponse, now);
    CloseConnection(&server);
    actions->servers_with_capacity.push_back(a.server);
  }
  SendOrEnqueue(r, q, shard_index, attempt_kind::kRetry, now, actions);
  return now + timeout;
}

}  // namespace

void StartQuery(routing_state* r, query* q, micros now,
                query_actions* actions) {
  q->config_view = r->backends.current_view;
  q->timer_at = q->spec.deadline;
  std::optional<snapshot> pinned = PickVersion(*r, *q);
  if (!pinned) {
    Finish(r, q, now, actions);
    return;
  }
  InitShards(*r, q, *pinned);
  SendFirstAttempts(r, q, now, actions);
  FinishIfDone(r, q, now, actions);
  if (!q->finished) OnQueryTimer(r, q, now, true, actions);
}

void OnAttemptEnd(routing_state* r, query* q, uint64_t attempt,
                  attempt_result result, micros now, query_actions* actions) {
  RemapPositions(*r, q);
  int shard_index = -1;
  attempt_state* found = FindAttempt(q, attempt, &shard_index);
  if (found == nullptr || !found->open) return;
  attempt_state a = *found;
  found->open = false;
  found->not_run = ProvesNotRun(result.end);
  shard_state& s = q->shards[shard_index];
  bool was_warm = a.server >= 0 && IsWarmOrWarming(WindowOf(r, a));
  RecordServerResult(r, a, s.target.service, result, now);
  if (was_warm && !IsWarmOrWarming(WindowOf(r, a)))
    actions->server_state_changed = true;
  if (a.server >= 0 && !a.forwarded)
    actions->servers_with_capacity.push_back(a.server);
  if (result.end == attempt_end::kVersionGone) {
    ForgetVersion(&r->backends, a.forwarded ? result.peer_server : a.server,
                  q->version);
  }
  if (q->finished) return;
  if (result.end == attempt_end::kAnswered && result.version != q->version) {
    result.end = attempt_end::kFailed;
  }
  if (result.end == attempt_end::kAnswered) {
    int server = a.forwarded ? result.peer_server : a.server;
    RecordAnswer(r, q, &s, server, std::move(result), now, actions);
  } else {
    RetryAfterFailure(r, q, shard_index, result.end, now, actions);
  }
  FinishIfDone(r, q, now, actions);
}

void OnQueryTimer(routing_state* r, query* q, micros now, bool paused,
                  query_actions* actions) {
  if (q->finished) return;
  RemapPositions(*r, q);
  if (now >= q->spec.deadline) {
    Finish(r, q, now, actions);
    return;
  }
  micros next = q->spec.deadline;
  if (q->spec.soft_deadline > now) next = std::min(next, q->spec.soft_deadline);
  for (size_t i = 0; i < q->shards.size(); ++i) {
    shard_state& s = q->shards[i];
    int shard_index = static_cast<int>(i);
    if (s.answered || s.given_up || s.target.service < 0) continue;
    if (s.retry_at != 0 && now >= s.retry_at) {
      SendOrEnqueue(r, q, shard_index, attempt_kind::kRetry, now, actions);
    }
    if (s.retry_at != 0) next = std::min(next, s.retry_at);
    if (!HasOpenAttempt(s)) continue;
    if (paused) {
      // Replies that arrived during the pause are processed first.
      next = std::min(
          next, now + HedgeDelay(r->hedging,
                                 r->backends.services[s.target.service].latency,
                                 s.attempts_sent));
      continue;
    }
    if (r->hedging != hedge_mode::kOff && MayHedgeShard(*q, s)) {
      next = std::min(next, HedgeIfDue(r, q, shard_index, now, actions));
    }
    if (q->spec.idempotent) {
      next = std::min(next, RetryIfNoResponse(r, q, shard_index, now, actions));
    }
  }
  FinishIfDone(r, q, now, actions);
  q->timer_at = std::max(next, now + 1);
}

void OnCapacityAvailable(routing_state* r, query* q, int shard_index,
                         micros now, query_actions* actions) {
  RemapPositions(*r, q);
  if (q->finished || shard_index >= static_cast<int>(q->shards.size())) return;
  shard_state& s = q->shards[shard_index];
  if (!s.waiting) return;
  // Normally already popped, unless the query restarted in between.
  RemoveWaiter(&r->waiting, s.ticket);
  s.waiting = false;
  attempt_kind kind =
      s.attempts_sent == 0 ? attempt_kind::kFirst : attempt_kind::kRetry;
  SendOrEnqueue(r, q, shard_index, kind, now, actions);
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
