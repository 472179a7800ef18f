// See rollout_agent.h.

#include "tray/relayd/rollout_agent.h"

#include <algorithm>
#include <chrono>
#include <random>
#include <set>

#include "tray/base/clock.h"
#include "tray/base/hash.h"
#include "tray/base/log.h"
#include "tray/base/strings.h"

namespace baobabtray {
namespace {

constexpr char kReportPath[] = "/rollout";
// Limit of a report, within which its directive is still of use.
constexpr micros kReportLimit = 800 * kMillisecond;
constexpr micros kConnectLimit = 400 * kMillisecond;
// The leader reviews when reports arrive, but not more often.
constexpr micros kReviewInterval = 50 * kMillisecond;

std::string Text(int64_t number) { return std::to_string(number); }

}  // namespace

rollout_agent::rollout_agent(asio::io_context& loop, directory_store store,
                             fetcher* http, registered_host own,
                             const exposure_limits& limits, connections host,
                             relay_metrics* metrics)
    : loop_(loop),
      store_(std::move(store)),
      http_(*http),
      own_(std::move(own)),
      limits_(limits),
      host_(std::move(host)),
      metrics_(*metrics),
      incarnation_(std::random_device{}()),
      timer_(loop) {}

bool rollout_agent::IsRunning(const rollout& r) {
  if (r.order.revision == 0) return false;
  return !r.record || r.record->order < r.order.revision ||
         (r.record->order == r.order.revision &&
          r.record->state == rollout_state::kRunning);
}

std::vector<std::string> rollout_agent::HeldVersions(const rollout& r) {
  std::set<std::string> held = r.replaced_targets;
  if (r.record) {
    held.insert(r.record->held.begin(), r.record->held.end());
    if (r.record->state == rollout_state::kCompleted) {
      held.erase(r.record->target);
    } else {
      held.insert(r.record->target);
    }
  }
  held.erase(r.order.target);
  return {held.begin(), held.end()};
}

void rollout_agent::Apply(const std::vector<store_update>& updates) {
  for (const store_update& update : updates) {
    if (const auto* f = std::get_if<server_update>(&update)) {
      servers_[f->server.id] = {f->server.service, f->server.version,
                                f->server.leaving};
    } else if (const auto* f = std::get_if<server_removal>(&update)) {
      servers_.erase(f->id);
    } else if (const auto* f = std::get_if<host_update>(&update)) {
      if (f->live) {
        host_hashes_[f->host.name] = HashOf(f->host.name);
      } else {
        host_hashes_.erase(f->host.name);
      }
    } else if (const auto* f = std::get_if<rollout_order_update>(&update)) {
      ApplyOrder(*f);
    } else if (const auto* f = std::get_if<rollout_record_update>(&update)) {
      ApplyRecord(f->record);
    }
  }
  Schedule();
}

void rollout_agent::ApplyOrder(const rollout_order_update& f) {
  rollout& r = rollouts_[f.order.service];
  if (f.removed) {
    if (!IsRunning(r)) return;
    Log(log_level::kWarning, "rollout_withdrawn",
        {{"service", r.order.service}, {"target", r.order.target}});
    r.withdrawn = true;
    if (r.leader) WithdrawOrder(&*r.leader);
    return;
  }
  if (f.order.revision <= r.order.revision) return;
  Log(log_level::kInfo, "rollout_ordered",
      {{"service", f.order.service},
       {"target", f.order.target},
       {"duration_ms", Text(f.order.duration / kMillisecond)}});
  // Without a record of the replaced order, nothing else names its target.
  if (IsRunning(r)) r.replaced_targets.insert(r.order.target);
  r.order = f.order;
  r.withdrawn = false;
  r.order_seen_at = SteadyNow();
  r.leader.reset();
}

void rollout_agent::ApplyRecord(const rollout_record& record) {
  rollout& r = rollouts_[record.service];
  if (r.record && record.revision <= r.record->revision) return;
  bool is_news = !r.record || r.record->state != record.state ||
                 r.record->order != record.order ||
                 r.record->leader != record.leader;
  r.record = record;
  r.record_changed_at = SteadyNow();
  if (is_news) {
    Log(log_level::kInfo, "rollout_recorded",
        {{"service", record.service},
         {"target", record.target},
         {"state", std::string(NameOf(kRolloutStateNames, record.state))},
         {"leader", record.leader},
         {"elapsed_ms", Text(record.elapsed / kMillisecond)},
         {"exposed", Text(record.exposed)}});
    metrics_.SetRolloutState(record.service, record.state);
  }
  if (!r.leader) return;
  HandleRecord(&*r.leader, record);
  if (!r.leader->deposed) return;
  Log(log_level::kInfo, "rollout_leader_replaced",
      {{"service", record.service}, {"leader", record.leader}});
  r.leader.reset();
}

void rollout_agent::Schedule() {
  bool any = std::any_of(rollouts_.begin(), rollouts_.end(),
                         [](const auto& e) { return IsRunning(e.second); });
  if (scheduled_ || !any) return;
  scheduled_ = true;
  timer_.expires_after(std::chrono::microseconds(kMoveReportInterval));
  timer_.async_wait([this](std::error_code error) {
    if (error) return;
    scheduled_ = false;
    Tick();
    Schedule();
  });
}

void rollout_agent::Tick() {
  micros now = SteadyNow();
  for (auto& [service, r] : rollouts_) {
    if (!IsRunning(r)) continue;
    // Silence of a leader counts only while the store would show its writes.
    if (!host_.in_contact()) r.record_changed_at = now;
    LeadIfDue(&r, now);
    if (r.leader) ReviewNow(&r, now);
  }
  host_.collect([this, now](std::vector<rollout_report> reports) {
    for (rollout_report& report : reports) {
      report.host = own_.name;
      report.incarnation = incarnation_;
      auto found = rollouts_.find(report.service);
      if (found == rollouts_.end()) continue;
      rollout& r = found->second;
      metrics_.SetRolloutRequests(report.service, report.requests,
                                  report.exposed);
      if (r.mode != report.mode) {
        Log(log_level::kInfo, "rollout_mode",
            {{"service", report.service},
             {"mode", std::string(NameOf(kRolloutModeNames, report.mode))},
             {"requests", Text(report.requests)},
             {"exposed", Text(report.exposed)}});
        r.mode = report.mode;
      }
      SendReport(&r, std::move(report), now);
    }
  });
}

void rollout_agent::SendReport(rollout* r, rollout_report report,
                               micros made_at) {
  if (r->leader) {
    return Direct(baobabtray::HandleReport(&*r->leader, report, SteadyNow()),
                  made_at);
  }
  bool moving = report.mode >= rollout_mode::kFull;
  micros interval = moving ? kMoveReportInterval : kTrialReportInterval;
  if (r->reporting || !r->record || r->record->order != report.order ||
      r->record->leader == own_.name || r->record->leader_address.port == 0 ||
      made_at - r->reported_at < interval - kMoveReportInterval / 2) {
    return;
  }
  r->reporting = true;
  r->reported_at = made_at;
  http_.Start(
      {.to = r->record->leader_address,
       .path = kReportPath,
       .body = std::make_shared<const std::string>(EncodeReport(report)),
       .timeout = kReportLimit,
       .connect_timeout = kConnectLimit,
       .avoid_silent = true},
      [this, service = report.service, made_at](const fetch_result& reply) {
        rollouts_[service].reporting = false;
        if (reply.fault != fetch_fault::kNone || reply.status != 200) return;
        absl::StatusOr<rollout_directive> directive =
            DecodeDirective(reply.body);
        if (directive.ok() && directive->service == service)
          Direct(*directive, made_at);
      });
}

void rollout_agent::Direct(const rollout_directive& directive, micros made_at) {
  host_.direct(directive, made_at);
}

void rollout_agent::HandleReport(const http_request& r,
                                 const responder& respond) {
  if (r.method != "POST" || r.path != kReportPath)
    return respond({.status = 404, .body = "{}"});
  absl::StatusOr<rollout_report> report = DecodeReport(r.body);
  if (!report.ok()) {
    Log(log_level::kWarning, "rollout_report_rejected",
        {{"reason", MessageOf(report.status()).substr(0, 300)}});
    return respond({.status = 400, .body = "{}"});
  }
  auto found = rollouts_.find(report->service);
  bool known_host = host_hashes_.contains(report->host);
  if (found == rollouts_.end() || !found->second.leader || !known_host)
    return respond({.status = 409, .body = "{}"});
  micros now = SteadyNow();
  rollout_directive directive =
      baobabtray::HandleReport(&*found->second.leader, *report, now);
  respond({.body = EncodeDirective(directive)});
  if (now - found->second.reviewed_at >= kReviewInterval)
    ReviewNow(&found->second, now);
}

int rollout_agent::RankOf(const std::string& service) const {
  uint64_t key = HashOf(service);
  uint64_t own = RendezvousScore(key, HashOf(own_.name));
  return static_cast<int>(std::count_if(
      host_hashes_.begin(), host_hashes_.end(), [&](const auto& host) {
        return RendezvousScore(key, host.second) > own;
      }));
}

void rollout_agent::LeadIfDue(rollout* r, micros now) {
  if (r->leader || resigned_ || own_.peer_address.port == 0 ||
      now < r->may_lead_from || !host_.in_contact() ||
      now < LeadAt(r->order, r->order_seen_at, r->record, r->record_changed_at,
                   RankOf(r->order.service))) {
    return;
  }
  micros ordered_at = r->order_seen_at;
  if (r->record && r->record->order == r->order.revision) {
    ordered_at =
        std::min(ordered_at, r->record_changed_at - r->record->elapsed);
  }
  r->leader = StartLeading(
      {.host = own_.name, .address = own_.peer_address, .limits = limits_},
      r->order, r->record, HeldVersions(*r), ordered_at);
  r->logged_phase = rollout_phase::kTrial;
  if (r->withdrawn) WithdrawOrder(&*r->leader);
  Log(log_level::kInfo, "rollout_leading",
      {{"service", r->order.service},
       {"target", r->order.target},
       {"elapsed_ms", Text((now - ordered_at) / kMillisecond)}});
}

rollout_fleet rollout_agent::FleetOf(const std::string& service) const {
  rollout_fleet fleet{.live_hosts =
                          std::max(1, static_cast<int>(host_hashes_.size()))};
  const std::string& target = rollouts_.at(service).order.target;
  std::set<std::string> others;
  for (const auto& [id, server] : servers_) {
    if (server.service != service || server.leaving) continue;
    if (server.version == target) {
      ++fleet.target_servers;
    } else {
      ++fleet.other_servers;
      others.insert(server.version);
    }
  }
  fleet.other_versions.assign(others.begin(), others.end());
  return fleet;
}

void rollout_agent::ReviewNow(rollout* r, micros now) {
  rollout_leader& leader = *r->leader;
  r->reviewed_at = now;
  std::optional<rollout_record> record =
      Review(&leader, FleetOf(r->order.service), now);
  if (leader.phase != r->logged_phase) {
    r->logged_phase = leader.phase;
    bool back = leader.phase == rollout_phase::kRolledBack;
    Log(back ? log_level::kWarning : log_level::kInfo, "rollout_phase",
        {{"service", r->order.service},
         {"phase", std::string(NameOf(kRolloutPhaseNames, leader.phase))},
         {"reason", std::string(NameOf(kRollbackReasonNames, leader.reason))},
         {"elapsed_ms", Text((now - leader.ordered_at) / kMillisecond)},
         {"requests", Text(TotalRequests(leader))},
         {"exposed", Text(TotalExposed(leader))}});
  }
  if (record) return Write(*record, false);
  if (!leader.unheard) return;
  Log(log_level::kWarning, "rollout_leader_unheard",
      {{"service", r->order.service},
       {"hosts", Text(static_cast<int64_t>(leader.hosts.size()))}});
  r->may_lead_from = now + kUnheardPeriod;
  rollout_record vacant = Vacate(leader);
  r->leader.reset();
  Write(vacant, true);
}

void rollout_agent::Write(const rollout_record& record, bool resigns) {
  store_.write_rollout(
      record, [this, record, resigns](store_status end, uint64_t revision) {
        if (end != store_status::kOk) {
          Log(log_level::kInfo, "rollout_write_failed",
              {{"service", record.service},
               {"state", std::string(NameOf(kRolloutStateNames, record.state))},
               {"end", std::string(NameOf(kStoreStatusNames, end))}});
        }
        rollout& r = rollouts_[record.service];
        if (resigns || !r.leader || r.leader->order.revision != record.order)
          return;
        // The record in the store is this leader's own, of another revision
        // than it took it for.
        if (end == store_status::kConflict && r.record &&
            r.record->order == record.order && r.record->leader == own_.name) {
          r.leader->record = *r.record;
        }
        HandleWritten(&*r.leader,
                      end == store_status::kOk         ? write_end::kWritten
                      : end == store_status::kConflict ? write_end::kConflict
                                                       : write_end::kUnknown,
                      revision);
      });
}

void rollout_agent::Resign() {
  resigned_ = true;
  for (auto& [service, r] : rollouts_) {
    if (!r.leader) continue;
    rollout_record vacant = Vacate(*r.leader);
    bool decided = r.leader->phase == rollout_phase::kClosing ||
                   r.leader->phase == rollout_phase::kRolledBack;
    // A decision that is about to be recorded is carried out.
    if (decided || r.leader->writing) continue;
    r.leader.reset();
    Write(vacant, true);
  }
}

}  // namespace baobabtray
