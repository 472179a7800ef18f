// See rollout_leader.h.

#include "tray/rollout/rollout_leader.h"

#include <algorithm>
#include <cmath>

namespace baobabtray {
namespace {

// Time from the first bad answers to the full move's end on all hosts: two
// report intervals, the answers' latency and the decision. The trial leaves as
// many requests of the allowed exposure, within the parts below.
constexpr micros kReactionTime = 1200 * kMillisecond;
constexpr double kMinTrialPart = 0.12;
constexpr double kMaxTrialPart = 0.4;
// Part of the slack that is counted on; the rest covers requests that are
// counted late.
constexpr double kSlackPart = 0.8;
// Requests allowed before any traffic was seen.
constexpr double kFirstAllowance = 3;
// The order is learned late, and the end takes time to be written.
constexpr micros kDeadlineMargin = 1 * kSecond;
constexpr int kMarginDivisor = 8;  // of the duration, if that is shorter
// Time before the end at which all hosts move.
constexpr micros kMovePeriod = 2600 * kMillisecond;
constexpr int kMoveDivisor = 4;
// Part of what is left of the allowed exposure that the move may use before the
// roll-out is completed.
constexpr double kMovePart = 0.7;
constexpr micros kMinMove = 600 * kMillisecond;
// Wait for open requests at servers of other versions.
constexpr micros kOpenWait = 1200 * kMillisecond;
// Answers of the target version without which it is not judged good.
constexpr int64_t kMinAnswers = 12;
constexpr micros kWindow = 2 * kSecond;
constexpr micros kServersGonePeriod = 3 * kSecond;
// A host heard from within this time takes part.
constexpr micros kHeardPeriod = 1500 * kMillisecond;
constexpr micros kNoQuorumPeriod = 3 * kSecond;
// An order is given up this many durations after it was given.
constexpr int kGiveUpFactor = 2;
constexpr micros kWriteRetryInterval = 250 * kMillisecond;

bool Confirmed(const rollout_leader& l, micros now) {
  return l.confirmed_at != 0 && now - l.confirmed_at < kLeaderFence;
}

micros EndOf(const rollout_leader& l) {
  return l.ordered_at + l.order.duration -
         std::min(kDeadlineMargin, l.order.duration / kMarginDivisor);
}

micros MoveAt(const rollout_leader& l) {
  return EndOf(l) - std::min(kMovePeriod, l.order.duration / kMoveDivisor);
}

// Exposure that the limits allow for `requests`.
double Allowed(const rollout_leader& l, double requests) {
  return l.options.limits.share * requests +
         kSlackPart * l.options.limits.slack;
}

// Requests by the deadline, if they go on as so far.
double ProjectedRequests(const rollout_leader& l, micros now) {
  auto elapsed = static_cast<double>(std::max(now - l.ordered_at, kSecond));
  auto duration = static_cast<double>(l.order.duration);
  return static_cast<double>(TotalRequests(l)) *
         std::max(1.0, duration / elapsed);
}

double RequestsPerSecond(const rollout_leader& l, micros now) {
  return static_cast<double>(TotalRequests(l)) * kSecond /
         static_cast<double>(std::max(now - l.ordered_at, kSecond));
}

// Exposure allowed by now in the trial.
double TrialBudget(const rollout_leader& l, micros now) {
  if (l.trial_from == 0 || now < l.trial_from) return 0;
  auto passed = static_cast<double>(now - l.trial_from);
  auto whole = static_cast<double>(std::max(MoveAt(l) - l.trial_from, kSecond));
  double allowed = Allowed(l, ProjectedRequests(l, now));
  double trial =
      std::clamp(allowed - RequestsPerSecond(l, now) * kReactionTime / kSecond,
                 kMinTrialPart * allowed, kMaxTrialPart * allowed);
  return std::max(kFirstAllowance, trial * std::min(1.0, passed / whole));
}

// Part of an allowance of one request that is likely to be used before it
// expires.
double UsedPart(const rollout_leader& l, micros now) {
  double per_host = static_cast<double>(TotalRequests(l)) /
                    static_cast<double>(std::max<size_t>(1, l.hosts.size()));
  return std::min(
      1.0, per_host * kDirectivePeriod /
               static_cast<double>(std::max(now - l.ordered_at, kSecond)));
}

int64_t Outstanding(const reporting_host& h, micros now) {
  return now < h.allowed_until
             ? std::max<int64_t>(0, h.allowance - h.last.exposed)
             : 0;
}

answer_sums SumUp(const rollout_leader& l) {
  answer_sums sums;
  for (const auto& [name, host] : l.hosts) AddReport(&sums, host.last);
  return sums;
}

version_verdict Judge(rollout_leader* l, micros now) {
  answer_sums sums = SumUp(*l);
  while (l->snapshots.size() > 1 && now - l->snapshots[1].first >= kWindow)
    l->snapshots.pop_front();
  version_verdict verdict = JudgeVersion(sums, sums, kMinAnswers);
  if (!l->snapshots.empty()) {
    version_verdict recent =
        JudgeVersion(Difference(sums, l->snapshots.front().second), sums, 0);
    if (recent != version_verdict::kGood) verdict = std::max(verdict, recent);
  }
  l->snapshots.emplace_back(now, std::move(sums));
  return verdict;
}

void RollBack(rollout_leader* l, rollback_reason reason) {
  if (l->phase == rollout_phase::kRolledBack) return;
  l->phase = rollout_phase::kRolledBack;
  l->reason = reason;
}

int HeardHosts(const rollout_leader& l, micros now) {
  return static_cast<int>(
      std::count_if(l.hosts.begin(), l.hosts.end(), [&](const auto& entry) {
        return now - entry.second.heard_at < kHeardPeriod;
      }));
}

// Whether all hosts send everything to the target version, and have no open
// requests at servers of other versions. Hosts that are not heard are waited
// for a while, since a new leader has not heard any.
bool HaveAllMoved(const rollout_leader& l, const rollout_fleet& fleet,
                  micros now) {
  if (now < l.moving_from + kOpenWait && HeardHosts(l, now) < fleet.live_hosts)
    return false;
  bool wait_for_open = now < l.moving_from + kOpenWait;
  return std::all_of(l.hosts.begin(), l.hosts.end(), [&](const auto& entry) {
    const reporting_host& h = entry.second;
    if (now - h.heard_at >= kHeardPeriod) return true;
    bool moved = h.last.mode == rollout_mode::kFull ||
                 h.last.mode == rollout_mode::kClosing;
    return moved && (!wait_for_open || h.last.open_others == 0);
  });
}

bool HasQuorum(const rollout_leader& l, const rollout_fleet& fleet,
               micros now) {
  return 2 * HeardHosts(l, now) >= fleet.live_hosts;
}

// Whether the move has been watched for long enough: it has used its part of
// the allowed exposure, or time runs out.
bool IsMoveWatched(const rollout_leader& l, micros now) {
  if (now - l.moving_from < kMinMove) return false;
  if (now >= EndOf(l)) return true;
  double room = Allowed(l, ProjectedRequests(l, now)) -
                static_cast<double>(l.exposed_before_move);
  return static_cast<double>(TotalExposed(l) - l.exposed_before_move) >=
         kMovePart * room;
}

// Whether so few requests reach the service that the limits allow them all.
bool HasLittleTraffic(const rollout_leader& l) {
  return static_cast<double>(TotalRequests(l)) < l.options.limits.slack / 2;
}

void ReviewServers(rollout_leader* l, const rollout_fleet& fleet, micros now) {
  if (fleet.target_servers > 0) {
    l->target_missing_since = 0;
    if (l->trial_from == 0) l->trial_from = now;
    return;
  }
  if (l->trial_from == 0) return;
  if (l->target_missing_since == 0) l->target_missing_since = now;
  if (now - l->target_missing_since >= kServersGonePeriod)
    RollBack(l, rollback_reason::kServersGone);
}

void ReviewMove(rollout_leader* l, const rollout_fleet& fleet,
                version_verdict verdict, micros now) {
  bool suspect = verdict == version_verdict::kSuspect;
  if (suspect && now >= EndOf(*l)) {
    RollBack(l, rollback_reason::kBadAnswers);
  } else if (l->phase == rollout_phase::kTrial) {
    // There was nothing to compare with since the order.
    bool alone = l->other_versions.empty() && l->trial_from != 0 &&
                 now - l->trial_from >= kMinMove;
    bool judged = verdict == version_verdict::kGood || HasLittleTraffic(*l);
    bool enough_servers = fleet.target_servers > 0 &&
                          2 * fleet.target_servers >= fleet.other_servers;
    if (alone || (now >= MoveAt(*l) && judged && enough_servers)) {
      l->phase = rollout_phase::kMove;
      l->moving_from = now;
      l->exposed_before_move = TotalExposed(*l);
    }
  } else if (l->phase == rollout_phase::kMove) {
    if (!suspect && IsMoveWatched(*l, now) && HaveAllMoved(*l, fleet, now))
      l->phase = rollout_phase::kClosing;
  }
}

rollout_state StateOf(const rollout_leader& l) {
  switch (l.phase) {
    case rollout_phase::kClosing:
      return rollout_state::kCompleted;
    case rollout_phase::kRolledBack:
      return rollout_state::kRolledBack;
    default:
      return rollout_state::kRunning;
  }
}

}  // namespace

int64_t TotalRequests(const rollout_leader& leader) {
  int64_t sum = leader.past_requests;
  for (const auto& [name, host] : leader.hosts) sum += host.last.requests;
  return sum;
}

int64_t TotalExposed(const rollout_leader& leader) {
  int64_t sum = 0;
  for (const auto& [name, host] : leader.hosts) sum += host.last.exposed;
  return std::max(sum + leader.past_exposed, leader.record.exposed);
}

micros LeadAt(const rollout_order& order, micros order_seen_at,
              const std::optional<rollout_record>& record,
              micros record_changed_at, int rank) {
  micros turn = std::clamp(rank, 0, kMaxLeadRank) * kLeadInterval;
  if (!record || record->order < order.revision) return order_seen_at + turn;
  if (record->order > order.revision ||
      record->state != rollout_state::kRunning) {
    return kNever;
  }
  if (record->leader.empty()) return record_changed_at + turn;
  return record_changed_at + kLeaderSilence + turn;
}

rollout_leader StartLeading(const rollout_leader_options& options,
                            const rollout_order& order,
                            const std::optional<rollout_record>& record,
                            const std::vector<std::string>& held,
                            micros ordered_at) {
  rollout_leader l{.options = options, .order = order};
  l.ordered_at = ordered_at;
  bool continues = record && record->order == order.revision;
  l.record = {.service = order.service,
              .order = order.revision,
              .target = order.target,
              .exposed = continues ? record->exposed : 0,
              .held = held,
              .revision = record ? record->revision : 0};
  std::erase(l.record.held, order.target);
  return l;
}

void WithdrawOrder(rollout_leader* leader) {
  RollBack(leader, rollback_reason::kWithdrawn);
}

rollout_directive HandleReport(rollout_leader* leader,
                               const rollout_report& report, micros now) {
  rollout_directive directive{.service = leader->order.service,
                              .order = leader->order.revision};
  if (report.order != leader->order.revision ||
      report.service != leader->order.service || leader->deposed) {
    return directive;
  }
  reporting_host& host = leader->hosts[report.host];
  bool same = host.heard_at != 0 && host.last.incarnation == report.incarnation;
  if (same && report.sequence <= host.last.sequence) return directive;
  if (host.heard_at != 0 && !same) {
    leader->past_requests += host.last.requests;
    leader->past_exposed += host.last.exposed;
    host = {};
  }
  host.demand = report.requests - (same ? host.last.requests : 0);
  host.last = report;
  host.heard_at = now;
  if (leader->phase == rollout_phase::kClosing) {
    directive.mode = rollout_mode::kClosing;
    return directive;
  }
  if (leader->phase == rollout_phase::kRolledBack || !Confirmed(*leader, now))
    return directive;
  if (leader->phase == rollout_phase::kMove) {
    directive.mode = rollout_mode::kFull;
    return directive;
  }
  directive.mode = rollout_mode::kTrial;
  host.allowed_until = 0;
  auto used = static_cast<double>(TotalExposed(*leader));
  int64_t open = 0;
  for (const auto& [name, other] : leader->hosts)
    open += Outstanding(other, now);
  // The trial's plan counts on what is likely to be used, the limits on all.
  double budget = TrialBudget(*leader, now);
  double part = UsedPart(*leader, now);
  auto requests = static_cast<double>(TotalRequests(*leader));
  double left = std::min((budget - used) / std::max(part, 0.01) - open,
                         Allowed(*leader, requests) - used - open);
  // The host's part of the trial by its part of the requests.
  auto wanted = static_cast<int64_t>(
      std::ceil(std::min(1.0, budget / std::max(1.0, requests)) *
                static_cast<double>(host.demand)));
  auto granted = static_cast<int64_t>(
      std::clamp(left, 0.0, static_cast<double>(std::max<int64_t>(1, wanted))));
  directive.allowance = report.exposed + granted;
  host.allowance = directive.allowance;
  host.allowed_until = now + kDirectivePeriod;
  return directive;
}

std::optional<rollout_record> Review(rollout_leader* leader,
                                     const rollout_fleet& fleet, micros now) {
  rollout_leader& l = *leader;
  if (l.ended || l.deposed) return std::nullopt;
  if (!fleet.other_versions.empty()) l.other_versions = fleet.other_versions;
  // The end may take long to be written, and its write fails if it was.
  if (l.phase == rollout_phase::kClosing &&
      Judge(&l, now) == version_verdict::kBad) {
    RollBack(&l, rollback_reason::kBadAnswers);
  }
  if (l.phase == rollout_phase::kTrial || l.phase == rollout_phase::kMove) {
    ReviewServers(&l, fleet, now);
    version_verdict verdict = Judge(&l, now);
    bool quorum = HasQuorum(l, fleet, now);
    if (quorum) {
      l.no_quorum_since = 0;
    } else if (l.no_quorum_since == 0) {
      l.no_quorum_since = now;
    }
    if (verdict == version_verdict::kBad) {
      RollBack(&l, rollback_reason::kBadAnswers);
    } else if (now >= l.ordered_at + kGiveUpFactor * l.order.duration) {
      RollBack(&l, rollback_reason::kUnfinished);
    } else if (l.phase != rollout_phase::kRolledBack && quorum &&
               Confirmed(l, now)) {
      ReviewMove(&l, fleet, verdict, now);
    }
    // A host that others do not reach lets another one lead, and until then
    // does not show that it is there.
    if (l.no_quorum_since != 0 && now - l.no_quorum_since >= kNoQuorumPeriod &&
        l.phase != rollout_phase::kRolledBack) {
      l.deposed = true;
      l.unheard = true;
    }
    if (!quorum && l.confirmed_at != 0 &&
        now - l.ordered_at >= kNoQuorumPeriod &&
        l.phase != rollout_phase::kRolledBack) {
      return std::nullopt;
    }
  }
  bool due = l.confirmed_at == 0 || l.record.state != StateOf(l) ||
             now - l.last_write_at >= kLeaderWriteInterval;
  if (!due || l.writing ||
      (l.last_write_at != 0 && now - l.last_write_at < kWriteRetryInterval)) {
    return std::nullopt;
  }
  rollout_record next = l.record;
  next.state = StateOf(l);
  next.leader = l.options.host;
  next.leader_address = l.options.address;
  next.elapsed = std::max<micros>(0, now - l.ordered_at);
  next.exposed = TotalExposed(l);
  if (next.state == rollout_state::kCompleted) {
    next.replaced = l.other_versions;
    std::erase(next.replaced, next.target);
  }
  l.writing = true;
  l.last_write_at = now;
  l.being_written = next;
  return next;
}

rollout_record Vacate(const rollout_leader& leader) {
  rollout_record record = leader.record;
  record.leader.clear();
  record.leader_address = leader.options.address;
  record.exposed = TotalExposed(leader);
  return record;
}

void HandleWritten(rollout_leader* leader, write_end end, uint64_t revision) {
  leader->writing = false;
  if (end != write_end::kWritten || !leader->being_written) return;
  leader->record = *leader->being_written;
  leader->record.revision = revision;
  leader->confirmed_at = leader->last_write_at;
  leader->ended = leader->record.state != rollout_state::kRunning;
}

void HandleRecord(rollout_leader* leader, const rollout_record& record) {
  if (record.revision <= leader->record.revision) return;
  if (record.order != leader->order.revision ||
      record.leader != leader->options.host) {
    leader->deposed = true;
    return;
  }
  // A write of this leader whose reply was lost.
  leader->record = record;
  leader->ended = record.state != rollout_state::kRunning;
}

}  // namespace baobabtray
