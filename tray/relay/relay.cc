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
constexpr double kUnknownAsk = 0.2;
constexpr double kLatestAsk = 0.4;
// Part of the bound on extra requests that may go to replies which are not late
// yet, so that a second server's answer can still be on time. The rest is for
// failures.
constexpr double kEarlyPart = 0.6;
// The part of an aim that AnswerMargin keeps, and the least: two round trips of
// a caller that is some ms away, and a few ms of work.
constexpr micros kMarginPart = 8;
constexpr micros kLeastMargin = 8 * kMillisecond;
// Part of the bound on extra requests that is kept for parts without which a
// request would fail or be late: leaving out one part of ten costs its caller a
// fifth of the answer, leaving out too many costs all of it.
constexpr double kKeptForNeeded = 0.35;
// A refused request to one server waits for room in the bound for this part of
// its aim, after which its caller does better to come back.
constexpr micros kWaitPart = 4;
// A part that found no room, or no budget, looks again after this.
constexpr micros kLookAgain = 5 * kMillisecond;
// A refused request is sent again to the same servers after this.
constexpr micros kRepeatPause = 20 * kMillisecond;
// Attempts beyond way->max_servers that were proven not to have run.
constexpr int kMoreAttempts = 2;
// Attempts of an answered request that are left to end by themselves, so that
// their connections can be used again, are cut off after this.
constexpr micros kLingerTime = 300 * kMillisecond;
// An attempt given up with no reply counts against the server if it is older
// than this, and than this many times the server's mean.
constexpr micros kSilentAge = 100 * kMillisecond;
constexpr int kSilentFactor = 4;
// Time in which an attempt can't be expected to be answered.
constexpr micros kLeastTime = 2 * kMillisecond;

bool HasOpen(const relay_part& part) {
  return std::any_of(part.attempts.begin(), part.attempts.end(),
                     [](const relay_attempt& a) { return a.open; });
}

int MayHaveRun(const relay_part& part) {
  return static_cast<int>(
      std::count_if(part.attempts.begin(), part.attempts.end(),
                    [](const relay_attempt& a) { return a.may_have_run; }));
}

bool MayHaveRun(const relay_query& q) {
  return std::any_of(q.parts.begin(), q.parts.end(),
                     [](const relay_part& p) { return MayHaveRun(p) > 0; });
}

bool Arrived(const relay_part& part) {
  return std::any_of(part.attempts.begin(), part.attempts.end(),
                     [](const relay_attempt& a) { return a.arrived; });
}

int LeastParts(const relay_query& q) {
  return q.way->gathers() ? LeastParts(*q.way) : 1;
}

// Parts that are answered or may still be.
int PossibleParts(const relay_query& q) {
  return static_cast<int>(std::count_if(
      q.parts.begin(), q.parts.end(),
      [](const relay_part& p) { return p.answer != nullptr || !p.given_up; }));
}

// The service that answers this request, by smooth weighted turns: each turn
// adds the weights, and the one with the most pays for it.
const std::string& PickTarget(relay_state* r, const route& way) {
  if (way.targets.size() == 1) return way.targets[0].service;
  std::vector<double>& turns = r->turns[way.name];
  if (turns.size() != way.targets.size()) {
    turns.assign(way.targets.size(), 0);
    // Hosts begin at different places.
    for (double& t : turns) t = static_cast<double>(r->random() % 1024) / 1024;
  }
  double total = 0;
  size_t best = 0;
  for (size_t i = 0; i < turns.size(); ++i) {
    turns[i] += way.targets[i].weight;
    total += way.targets[i].weight;
    if (way.targets[i].weight > 0 &&
        (way.targets[best].weight <= 0 || turns[i] > turns[best])) {
      best = i;
    }
  }
  turns[best] -= total;
  return way.targets[best].service;
}

void CancelAll(relay_query* q, micros now, relay_actions* actions) {
  for (relay_part& part : q->parts) {
    for (relay_attempt& a : part.attempts) {
      if (!a.open) continue;
      a.open = false;
      micros age = now - a.sent_at;
      bool silent =
          age > std::max(kSilentAge, kSilentFactor * a.server->typical);
      OnGivenUp(a.server.get(), a.id, silent, now);
      actions->cancels.push_back(a.id);
    }
  }
}

void Finish(relay_query* q, relay_outcome outcome, micros now,
            relay_actions* actions) {
  if (q->finished) return;
  q->finished = true;
  q->outcome = outcome;
  q->finished_at = now;
  bool linger =
      outcome == relay_outcome::kAnswered || outcome == relay_outcome::kPartial;
  if (!linger) CancelAll(q, now, actions);
}

void GiveUp(relay_part* part) {
  part->given_up = true;
  part->ask_at = 0;
}

// Answered, or failed in a way that only a last answer can express.
relay_outcome OutcomeWithoutAnswer(const relay_query& q) {
  if (!q.way->gathers() && q.parts[0].failure != nullptr) {
    return relay_outcome::kFailed;
  }
  return MayHaveRun(q) ? relay_outcome::kBroken : relay_outcome::kNotRun;
}

// Ends the query if it can be answered now, or can't be any more.
void Decide(relay_query* q, micros now, relay_actions* actions) {
  if (q->finished) return;
  int total = static_cast<int>(q->parts.size());
  int least = LeastParts(*q);
  int possible = PossibleParts(*q);
  if (q->answered == total) {
    return Finish(q, relay_outcome::kAnswered, now, actions);
  }
  if (possible < least) {
    return Finish(q, OutcomeWithoutAnswer(*q), now, actions);
  }
  bool waits_for_more = possible > q->answered;
  if (q->answered >= least && (!waits_for_more || now >= q->aim_at)) {
    return Finish(q, relay_outcome::kPartial, now, actions);
  }
  if (now < q->deadline) return;
  bool ran = MayHaveRun(*q);
  Finish(q, ran ? relay_outcome::kTimedOut : relay_outcome::kNotRun, now,
         actions);
}

// After which time without a reply a second server is asked: when the reply is
// late, but soon enough for the second server to answer by the aim, as far as
// the bound on extra requests goes.
micros LateAfter(relay_state* r, const route& way, relay_service* service,
                 micros now) {
  double aim = static_cast<double>(way.aim > 0 ? way.aim : way.time_limit);
  auto unknown = static_cast<micros>(aim * kUnknownAsk);
  auto found = r->pool.latency.find(way.name);
  if (found == r->pool.latency.end()) return unknown;
  const latency_histogram& firsts = found->second.firsts;
  if (firsts.p85 == 0) return unknown;
  auto late =
      static_cast<micros>(static_cast<double>(firsts.p85) * kLateFactor) +
      kLateSlack;
  auto latest = static_cast<micros>(aim * kLatestAsk);
  const latency_histogram& extras = found->second.extras;
  if (extras.p85 != 0) {
    latest = static_cast<micros>(aim) - AnswerMargin(way.aim) - extras.p85;
  }
  if (late <= latest) return late;
  double spare = ExtraPerFirst(&service->extra, r->pool.extra, now);
  double asked = std::clamp(kEarlyPart * spare, 0.0, 1.0);
  micros earliest = QuantileOf(firsts, 1 - asked, late);
  return std::min(late, std::max(latest, earliest));
}

// True if one more attempt of the part is allowed.
bool MayAskAgain(const relay_query& q, const relay_part& part) {
  if (MayHaveRun(part) >= q.way->max_servers) return false;
  int most = q.way->max_servers + kMoreAttempts;
  if (static_cast<int>(part.attempts.size()) >= most) return false;
  if (q.way->kind == request_kind::kNonIdempotent) {
    return MayHaveRun(part) == 0 && !HasOpen(part);
  }
  return true;
}

server_ref Pick(relay_state* r, const relay_query& q, relay_part* part,
                bool repeat, micros now) {
  std::vector<std::string> asked;
  for (const relay_attempt& a : part->attempts) {
    // A repeat may go to a server that refused; not to one that broke off.
    if (!repeat || a.open || a.end == reply_kind::kMisplaced) {
      asked.push_back(a.server->info.id);
    }
  }
  return PickServer(&r->pool,
                    {.service = part->service,
                     .regions = &q.way->regions,
                     .asked = &asked,
                     .now = now,
                     .random = r->random()},
                    &part->problem);
}

void Send(relay_state* r, relay_query* q, int index, server_ref to, micros now,
          relay_actions* actions) {
  relay_part& part = q->parts[index];
  relay_service& service = *ServiceOf(&r->pool, part.service);
  if (part.attempts.empty()) CountFirst(&service.extra, r->pool.extra, now);
  service.used_at = now;
  relay_attempt a{.id = r->next_attempt++, .server = to, .sent_at = now};
  OnSent(to.get(), a.id, now);
  bool cautious = MayReset(r->pool, *to, now);
  actions->sends.push_back({.attempt = a.id,
                            .part = index,
                            .server = std::move(to),
                            .connections = ConnectionsOf(r->pool, service, now),
                            .cautious = cautious,
                            .timeout = q->deadline - now});
  part.attempts.push_back(std::move(a));
  part.ask_at = 0;
  if (MayAskAgain(*q, part)) {
    part.ask_at = now + LateAfter(r, *q->way, &service, now);
  }
}

// Sends the part's first attempt, or says when to look again.
void AskFirst(relay_state* r, relay_query* q, int index, micros now,
              relay_actions* actions) {
  relay_part& part = q->parts[index];
  if (server_ref to = Pick(r, *q, &part, false, now)) {
    return Send(r, q, index, std::move(to), now, actions);
  }
  if (part.problem == pick_problem::kNoServer) return GiveUp(&part);
  part.ask_at = now + kLookAgain;
}

// True if the request can't be answered at its aim without this part: too few
// others have an answer, or an attempt under way that is not late yet.
bool IsNeeded(const relay_query& q, const relay_part& part, micros now) {
  auto others =
      std::count_if(q.parts.begin(), q.parts.end(), [&](const relay_part& p) {
        bool late = p.ask_at != 0 && p.ask_at <= now;
        return &p != &part && (p.answer != nullptr || (HasOpen(p) && !late));
      });
  return others < LeastParts(q);
}

// Until when a part without an open attempt waits for the bound on extras.
micros LastLook(const relay_query& q) {
  return q.way->gathers() ? q.aim_at
                          : q.start + (q.aim_at - q.start) / kWaitPart;
}

// Sends one more attempt if that is allowed, or says when to look again. With
// no open attempt, a part that can't be asked again is given up.
void AskAgain(relay_state* r, relay_query* q, int index, micros now,
              relay_actions* actions) {
  relay_part& part = q->parts[index];
  part.ask_at = 0;
  bool open = HasOpen(part);
  if (!MayAskAgain(*q, part)) {
    if (!open) GiveUp(&part);
    return;
  }
  server_ref to = Pick(r, *q, &part, false, now);
  if (to == nullptr && part.problem == pick_problem::kNoServer && !open) {
    const relay_attempt& last = part.attempts.back();
    if (now < last.sent_at + kRepeatPause) {
      part.ask_at = last.sent_at + kRepeatPause;
      return;
    }
    to = Pick(r, *q, &part, true, now);
  }
  if (to == nullptr) {
    if (part.problem == pick_problem::kBusy) {
      part.ask_at = now + kLookAgain;
    } else if (!open) {
      GiveUp(&part);
    }
    return;
  }
  if (Arrived(part) &&
      !SpendExtra(&ServiceOf(&r->pool, part.service)->extra, r->pool.extra, now,
                  IsNeeded(*q, part, now) ? 0 : kKeptForNeeded)) {
    if (!open && now >= LastLook(*q)) return GiveUp(&part);
    part.ask_at = now + kLookAgain;
    return;
  }
  Send(r, q, index, std::move(to), now, actions);
}

// The next time at which anything is due.
void SetTimer(relay_query* q) {
  if (q->finished) {
    q->timer_at = HasOpenAttempts(*q) ? q->finished_at + kLingerTime : 0;
    return;
  }
  micros at = q->deadline;
  if (q->answered >= LeastParts(*q)) at = std::min(at, q->aim_at);
  for (const relay_part& p : q->parts) {
    if (p.ask_at != 0) at = std::min(at, p.ask_at);
  }
  q->timer_at = at;
}

relay_attempt* FindAttempt(relay_query* q, uint64_t id, int* index) {
  for (size_t i = 0; i < q->parts.size(); ++i) {
    for (relay_attempt& a : q->parts[i].attempts) {
      if (a.id != id) continue;
      *index = static_cast<int>(i);
      return &a;
    }
  }
  return nullptr;
}

// Tells the server's state how an attempt ended.
void NoteReply(relay_attempt* a, const server_reply& reply, micros now) {
  relay_server* s = a->server.get();
  a->open = false;
  a->end = reply.kind;
  switch (reply.kind) {
    case reply_kind::kServed:
      return OnServed(s, a->id, reply.load ? &*reply.load : nullptr, now);
    case reply_kind::kFailed:
      return OnFailed(s, a->id, now);
    case reply_kind::kBroken:
      return OnBroken(s, a->id, now);
    case reply_kind::kRefused:
      a->may_have_run = false;
      return OnRefused(s, a->id, now);
    case reply_kind::kMisplaced:
      a->may_have_run = false;
      return OnMisplaced(s, a->id, now);
    case reply_kind::kNotSent:
      a->may_have_run = false;
      a->arrived = false;
      return OnUnreachable(s, a->id, now);
    case reply_kind::kNoTurn:
      a->may_have_run = false;
      a->arrived = false;
      return OnGivenUp(s, a->id, false, now);
    case reply_kind::kTimedOut:
    case reply_kind::kCancelled:
      return OnGivenUp(s, a->id, true, now);
  }
}

}  // namespace

micros AnswerMargin(micros aim) {
  return std::max(kLeastMargin, aim / kMarginPart);
}

bool HasOpenAttempts(const relay_query& q) {
  return std::any_of(q.parts.begin(), q.parts.end(), HasOpen);
}

void StartRelay(relay_state* r, relay_query* q, micros now,
                relay_actions* actions) {
  if (q->way->gathers()) {
    for (const std::string& shard : q->way->shards) {
      q->parts.push_back({.service = shard});
    }
  } else {
    q->parts.push_back({.service = PickTarget(r, *q->way)});
  }
  // Nothing is sent for a request that can't be answered.
  for (relay_part& part : q->parts) {
    if (Pick(r, *q, &part, false, now) == nullptr &&
        part.problem == pick_problem::kNoServer) {
      GiveUp(&part);
    }
  }
  Decide(q, now, actions);
  for (size_t i = 0; i < q->parts.size() && !q->finished; ++i) {
    if (!q->parts[i].given_up) {
      AskFirst(r, q, static_cast<int>(i), now, actions);
    }
  }
  Decide(q, now, actions);
  SetTimer(q);
}

void OnRelayReply(relay_state* r, relay_query* q, uint64_t attempt,
                  const server_reply& reply, micros now,
                  relay_actions* actions) {
  int index = 0;
  relay_attempt* a = FindAttempt(q, attempt, &index);
  if (a == nullptr || !a->open) return;
  NoteReply(a, reply, now);
  relay_part& part = q->parts[index];
  if (reply.kind == reply_kind::kServed) {
    route_latency& latency = r->pool.latency[q->way->name];
    bool first = a == &part.attempts.front();
    RecordLatency(first ? &latency.firsts : &latency.extras, now - a->sent_at);
  }
  if (!q->finished && part.answer == nullptr) {
    if (reply.kind == reply_kind::kServed) {
      part.answer = reply.answer;
      part.ask_at = 0;
      ++q->answered;
    } else {
      if (reply.kind == reply_kind::kFailed) part.failure = reply.answer;
      if (!part.given_up && q->deadline - now >= kLeastTime) {
        AskAgain(r, q, index, now, actions);
      } else if (!HasOpen(part)) {
        GiveUp(&part);
      }
    }
    Decide(q, now, actions);
  }
  SetTimer(q);
}

void OnRelayTimer(relay_state* r, relay_query* q, micros now,
                  relay_actions* actions) {
  if (q->finished) {
    if (now >= q->finished_at + kLingerTime) CancelAll(q, now, actions);
    return SetTimer(q);
  }
  Decide(q, now, actions);
  for (size_t i = 0; i < q->parts.size() && !q->finished; ++i) {
    relay_part& part = q->parts[i];
    if (part.ask_at == 0 || part.ask_at > now) continue;
    if (part.attempts.empty()) {
      AskFirst(r, q, static_cast<int>(i), now, actions);
    } else {
      AskAgain(r, q, static_cast<int>(i), now, actions);
    }
  }
  Decide(q, now, actions);
  SetTimer(q);
}

void OnCallerGone(relay_state*, relay_query* q, micros now,
                  relay_actions* actions) {
  Finish(q, relay_outcome::kCallerGone, now, actions);
  CancelAll(q, now, actions);
  SetTimer(q);
}

}  // namespace baobabtray
