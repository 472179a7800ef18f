// See version_gate.h.

#include "tray/rollout/version_gate.h"

#include <algorithm>

namespace baobabtray {
namespace {

bool Contains(const std::vector<std::string>& list, const std::string& value) {
  return std::find(list.begin(), list.end(), value) != list.end();
}

void Hold(version_gate* gate, const std::string& version) {
  if (!Contains(gate->held, version)) gate->held.push_back(version);
}

// The record is of the order in force, or there is no order.
bool RecordApplies(const version_gate& gate) {
  return gate.record &&
         (!gate.order || gate.record->order >= gate.order->revision);
}

const std::string& TargetOf(const version_gate& gate) {
  return RecordApplies(gate) ? gate.record->target : gate.order->target;
}

bool EndedAs(const version_gate& gate, rollout_state state) {
  return RecordApplies(gate) && gate.record->state == state;
}

void ResetCounts(version_gate* gate) {
  gate->mode = rollout_mode::kHold;
  gate->mode_until = 0;
  gate->allowance = 0;
  gate->requests = 0;
  gate->exposed = 0;
  gate->rows.clear();
}

}  // namespace

void OnOrder(version_gate* gate, const rollout_order& order) {
  if (gate->order && order.revision <= gate->order->revision) return;
  bool has_target = gate->order || gate->record;
  if (has_target && !EndedAs(*gate, rollout_state::kCompleted) &&
      TargetOf(*gate) != order.target) {
    Hold(gate, TargetOf(*gate));
  }
  gate->order = order;
  ResetCounts(gate);
}

void OnRecord(version_gate* gate, const rollout_record& record, micros now) {
  if (gate->record && record.revision <= gate->record->revision) return;
  bool new_state = !gate->record || gate->record->order != record.order ||
                   gate->record->state != record.state;
  gate->record = record;
  if (new_state) gate->recorded_at = now;
  for (const std::string& version : record.held) Hold(gate, version);
  if (record.state == rollout_state::kCompleted)
    std::erase(gate->held, record.target);
}

void OnDirective(version_gate* gate, const rollout_directive& directive,
                 micros made_at) {
  if (!gate->order || directive.order != gate->order->revision) return;
  micros period = directive.mode == rollout_mode::kClosing ? kClosingPeriod
                  : directive.mode == rollout_mode::kFull  ? kFullPeriod
                                                           : kDirectivePeriod;
  gate->mode = directive.mode;
  gate->mode_until = made_at + period;
  gate->allowance = directive.allowance;
}

bool IsRunning(const version_gate& gate) {
  return gate.order && (!RecordApplies(gate) ||
                        gate.record->state == rollout_state::kRunning);
}

rollout_mode ModeAt(const version_gate& gate, micros now) {
  return IsRunning(gate) && now < gate.mode_until ? gate.mode
                                                  : rollout_mode::kHold;
}

bool WantsTrial(const version_gate& gate, micros now) {
  return ModeAt(gate, now) == rollout_mode::kTrial &&
         gate.exposed < gate.allowance;
}

bool IsUsable(const version_gate& gate, const std::string& version, bool trial,
              micros now) {
  if (!gate.order && !gate.record) return true;
  bool is_target = version == TargetOf(gate);
  if (EndedAs(gate, rollout_state::kCompleted)) {
    return is_target || !IsEnded(gate, version, now);
  }
  if (EndedAs(gate, rollout_state::kRolledBack) && is_target) return false;
  rollout_mode mode = ModeAt(gate, now);
  if (mode == rollout_mode::kFull || mode == rollout_mode::kClosing)
    return is_target;
  if (is_target) return trial;
  return !trial && !Contains(gate.held, version);
}

bool MayIgnore(const version_gate& gate) {
  if (!gate.held.empty()) return false;
  if (EndedAs(gate, rollout_state::kCompleted)) return true;
  return IsRunning(gate) && gate.requests == gate.exposed;
}

bool IsEnded(const version_gate& gate, const std::string& version, micros now) {
  if (!gate.order && !gate.record) return false;
  if (version == TargetOf(gate))
    return EndedAs(gate, rollout_state::kRolledBack);
  if (Contains(gate.held, version)) return true;
  return EndedAs(gate, rollout_state::kCompleted) &&
         Contains(gate.record->replaced, version) &&
         now < gate.recorded_at + kReplacedPeriod;
}

void RecordSent(version_gate* gate, const std::string& version) {
  if (!IsRunning(*gate)) return;
  ++gate->requests;
  if (version == TargetOf(*gate)) ++gate->exposed;
}

void RecordAnswer(version_gate* gate, const std::string& route,
                  const std::string& server, const std::string& version,
                  int distance, const gate_answer& answer) {
  if (!IsRunning(*gate)) return;
  bool is_target = version == TargetOf(*gate);
  answer_counts& row =
      gate->rows[{route, is_target ? server : std::string(), distance}];
  if (answer.failed) {
    ++row.failures;
  } else if (answer.untimed) {
    ++row.untimed;
  } else {
    ++row.latency[RolloutBucket(answer.latency)];
  }
}

rollout_report MakeReport(version_gate* gate, int64_t open_others, micros now) {
  rollout_report report{.service = gate->order->service,
                        .order = gate->order->revision,
                        .sequence = ++gate->sequence,
                        .mode = ModeAt(*gate, now),
                        .requests = gate->requests,
                        .exposed = gate->exposed,
                        .open_others = open_others};
  for (const auto& [key, counts] : gate->rows) {
    const auto& [route, server, distance] = key;
    report.rows.push_back({.route = route,
                           .distance = distance,
                           .is_target = !server.empty(),
                           .server = server,
                           .counts = counts});
  }
  return report;
}

}  // namespace baobabtray
