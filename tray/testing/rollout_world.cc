// See rollout_world.h.

#include "tray/testing/rollout_world.h"

#include <algorithm>

namespace baobabtray {
namespace {

constexpr micros kStep = 10 * kMillisecond;
constexpr micros kLatency = 8 * kMillisecond;
constexpr char kOld[] = "v1";

double Chance(std::mt19937_64* random) {
  return std::uniform_real_distribution<double>(0, 1)(*random);
}

}  // namespace

rollout_world::rollout_world(rollout_world_options o)
    : options(o), random(o.seed) {
  hosts.resize(static_cast<size_t>(o.hosts));
  for (size_t i = 0; i < hosts.size(); ++i) {
    hosts[i].name = "h" + std::to_string(i);
    hosts[i].rank = static_cast<int>(i);
    hosts[i].store_lag = 50 * kMillisecond +
                         static_cast<micros>(random() % (600 * kMillisecond));
    hosts[i].next_report_at =
        now + static_cast<micros>(random() % kTrialReportInterval);
  }
}

void rollout_world::GiveOrder(const std::string& target) {
  order = {.service = "s",
           .target = target,
           .duration = options.duration,
           .revision = ++revision};
  ordered_at = now;
}

world_host* rollout_world::Leader() {
  for (world_host& h : hosts) {
    if (stored && h.name == stored->leader) return &h;
  }
  return nullptr;
}

bool rollout_world::KeepsExposure() const {
  double rate = options.requests_per_s;
  double all = rate * static_cast<double>(options.duration) / kSecond;
  return static_cast<double>(exposed) <= 0.1 * all + 50 &&
         (fiftieth_bad_at == 0 ||
          last_exposed_at < fiftieth_bad_at + 5 * kSecond);
}

void rollout_world::RunUntil(micros since_order) {
  while (now - ordered_at < since_order) Step();
}

void rollout_world::Step() {
  now += kStep;
  while (!pending_.empty() && pending_.front().at <= now) {
    pending_answer a = std::move(pending_.front());
    pending_.pop_front();
    world_host& h = hosts[a.host];
    if (h.dead || !h.gate.order || h.gate.order->revision != a.order) continue;
    RecordAnswer(&h.gate, a.route, a.server, a.target ? order.target : kOld, 0,
                 a.answer);
  }
  std::poisson_distribution<int> arrivals(options.requests_per_s * kStep /
                                          kSecond);
  for (int n = arrivals(random); n > 0; --n)
    Serve(&hosts[random() % hosts.size()]);
  for (world_host& h : hosts) {
    if (h.dead || now < h.paused_until) continue;
    bool in_touch = !h.cut_from_store && !store_away;
    if (!in_touch) h.record_changed_at = now;
    if (in_touch &&
        (!h.gate.order || h.gate.order->revision < order.revision) &&
        now >= ordered_at + h.store_lag) {
      OnOrder(&h.gate, order);
      h.order_seen_at = now;
    }
    for (; h.seen < history.size(); ++h.seen) {
      const auto& [at, record] = history[h.seen];
      if (!in_touch || now < at + h.store_lag) break;
      if (h.record && h.record->revision >= record.revision) continue;
      h.record = record;
      h.record_changed_at = now;
      OnRecord(&h.gate, record, now);
      if (h.leader) HandleRecord(&*h.leader, record);
    }
    Lead(&h);
    if (now >= h.next_report_at) Report(&h);
  }
}

void rollout_world::Serve(world_host* h) {
  if (h->dead || now < h->paused_until) return;
  ++requests;
  int route = Chance(&random) < 0.35 ? 1 : 0;
  auto server = static_cast<int>(random() % 3);
  bool trial = WantsTrial(h->gate, now);
  // Servers are registered after the order, and are learned of in this order.
  bool target = target_servers > 0 && h->order_seen_at != 0 &&
                IsUsable(h->gate, order.target, trial, now);
  bool others = other_servers > 0 && IsUsable(h->gate, kOld, false, now);
  if (!target && !others) target = other_servers == 0 && h->order_seen_at != 0;
  const std::string version = target ? order.target : kOld;
  RecordSent(&h->gate, version);
  bool failed = Chance(&random) < options.failed_by_both;
  micros latency =
      kLatency + static_cast<micros>(random() % (4 * kMillisecond));
  if (Chance(&random) < 0.04) latency += 150 * kMillisecond;
  recent_.push_back(now);
  while (now - recent_.front() > kSecond / 2) recent_.pop_front();
  while (!recent_target_.empty() && now - recent_target_.front() > kSecond / 2)
    recent_target_.pop_front();
  if (target) {
    recent_target_.push_back(now);
    ++exposed;
    last_exposed_at = now;
    target_answer a = behaviour(now - ordered_at, route, server,
                                static_cast<double>(recent_target_.size()) /
                                    static_cast<double>(recent_.size()));
    bool bad = Chance(&random) < a.failed;
    failed |= bad;
    if (Chance(&random) < a.slow) {
      bad = true;
      latency *= 4;
    }
    if (bad && ++bad_answers == 50) fiftieth_bad_at = now;
  } else if (stored && stored->state == rollout_state::kCompleted &&
             !h->cut_from_store && !h->cut_from_hosts) {
    ++to_others_after_completed;
  }
  pending_.push_back({.at = now + latency,
                      .host = static_cast<size_t>(h - hosts.data()),
                      .route = route == 0 ? "a" : "b",
                      .server = target ? "t" + std::to_string(server) : "",
                      .target = target,
                      .answer = {.failed = failed, .latency = latency},
                      .order = h->gate.order ? h->gate.order->revision : 0});
}

void rollout_world::Report(world_host* h) {
  bool moving = ModeAt(h->gate, now) >= rollout_mode::kFull;
  h->next_report_at =
      now + (moving ? kMoveReportInterval : kTrialReportInterval);
  if (!IsRunning(h->gate) || !h->record) return;
  for (world_host& leader : hosts) {
    if (leader.name != h->record->leader || !leader.leader) continue;
    bool linked =
        &leader == h || (!h->cut_from_hosts && !leader.cut_from_hosts);
    if (leader.dead || now < leader.paused_until || !linked) return;
    rollout_report report = MakeReport(&h->gate, 0, now);
    report.host = h->name;
    OnDirective(&h->gate, HandleReport(&*leader.leader, report, now), now);
  }
}

void rollout_world::Lead(world_host* h) {
  if (!h->gate.order) return;
  if (h->leader && (h->leader->deposed || h->leader->ended ||
                    h->leader->order.revision != h->gate.order->revision)) {
    if (h->leader->unheard) h->not_before = now + kUnheardPeriod;
    h->leader.reset();
    h->record_changed_at = now;
  }
  if (!h->leader) {
    if (now < h->not_before ||
        now < LeadAt(*h->gate.order, h->order_seen_at, h->record,
                     h->record_changed_at, h->rank)) {
      return;
    }
    micros ordered = h->order_seen_at;
    if (h->record && h->record->order == order.revision)
      ordered = std::min(ordered, h->record_changed_at - h->record->elapsed);
    h->leader = StartLeading({.host = h->name}, *h->gate.order, h->record,
                             h->gate.held, ordered);
  }
  int live = static_cast<int>(std::count_if(
      hosts.begin(), hosts.end(), [](const world_host& o) { return !o.dead; }));
  rollout_fleet fleet{.live_hosts = live,
                      .target_servers = target_servers,
                      .other_servers = other_servers};
  if (other_servers > 0) fleet.other_versions = {kOld};
  if (auto record = Review(&*h->leader, fleet, now)) Write(h, *record);
}

void rollout_world::Write(world_host* h, const rollout_record& record) {
  if (store_away || h->cut_from_store)
    return HandleWritten(&*h->leader, write_end::kUnknown, 0);
  uint64_t current = stored ? stored->revision : 0;
  if (record.revision != current)
    return HandleWritten(&*h->leader, write_end::kConflict, 0);
  stored = record;
  stored->revision = ++revision;
  history.emplace_back(now, *stored);
  if (record.state != rollout_state::kRunning && ended_at == 0) ended_at = now;
  HandleWritten(&*h->leader, write_end::kWritten, revision);
}

}  // namespace baobabtray
