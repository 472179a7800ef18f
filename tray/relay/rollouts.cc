// See rollouts.h.

#include "tray/relay/rollouts.h"

namespace baobabtray {
namespace {

// A server that a host has known for less than this may have just started.
constexpr micros kStartPeriod = 3 * kSecond;

version_gate* GetOrCreateGate(relay_pool* pool, const std::string& service) {
  relay_service& s = *GetOrCreateService(pool, service);
  if (s.gate == nullptr) {
    s.gate = std::make_shared<version_gate>();
    for (const server_ref& server : s.servers) server->gate = s.gate;
  }
  return s.gate.get();
}

}  // namespace

void ApplyRolloutOrder(relay_pool* pool, const rollout_order& order) {
  OnOrder(GetOrCreateGate(pool, order.service), order);
}

void ApplyRolloutRecord(relay_pool* pool, const rollout_record& record,
                        micros now) {
  OnRecord(GetOrCreateGate(pool, record.service), record, now);
}

void ApplyRolloutDirective(relay_pool* pool, const rollout_directive& directive,
                           micros made_at) {
  auto found = pool->services.find(directive.service);
  if (found == pool->services.end() || found->second.gate == nullptr) return;
  OnDirective(found->second.gate.get(), directive, made_at);
}

std::vector<rollout_report> ReportRollouts(relay_pool* pool, micros now) {
  std::vector<rollout_report> reports;
  for (auto& [name, service] : pool->services) {
    if (service.gate == nullptr || !IsRunning(*service.gate)) continue;
    int64_t open_others = 0;
    for (const server_ref& s : service.servers) {
      if (s->info.version != service.gate->order->target)
        open_others += static_cast<int64_t>(s->open_attempts.size());
    }
    reports.push_back(MakeReport(service.gate.get(), open_others, now));
  }
  return reports;
}

bool IsUntimed(const relay_server& s, micros now) {
  return now < s.cold_until || now < s.registered_at + kStartPeriod ||
         (!s.connected && s.open_attempts.empty());
}

void RecordRolloutAnswer(const relay_attempt& a, const std::string& route,
                         relay_attempt_outcome outcome, micros now) {
  const relay_server& s = *a.server;
  if (s.gate == nullptr) return;
  bool failed = outcome == relay_attempt_outcome::kFailed ||
                outcome == relay_attempt_outcome::kBroken ||
                outcome == relay_attempt_outcome::kTimedOut;
  bool given_up = outcome == relay_attempt_outcome::kCancelled;
  if (!failed && !given_up && outcome != relay_attempt_outcome::kServed) return;
  RecordAnswer(
      s.gate.get(), route, s.info.id, s.info.version,
      static_cast<int>(s.distance),
      {.failed = failed, .latency = now - a.sent_at, .untimed = a.untimed});
}

}  // namespace baobabtray
