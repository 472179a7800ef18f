// Randomized simulation of the query libraries. See query_simulation.h.

#include "tray/testing/query_simulation.h"

#include <fmt/format.h>

#include <algorithm>

#include "tray/base/hash.h"

namespace baobabtray::testing {
namespace {

constexpr int kHosts = 3;
constexpr char kTopology[] = R"(
regions: [east, west]
data_centres:
  - {name: d1, region: east}
  - {name: d2, region: east}
  - {name: d3, region: west}
services:
  - name: top
    depends_on: [left, right]
  - name: left
    shards: 1
    slots: 2
    connections: 9
    backend_servers:
      - {name: l1, data_centre: d1, address: "1.0.0.1:1"}
      - {name: l2, data_centre: d2, address: "1.0.0.1:2"}
      - {name: l3, data_centre: d3, address: "1.0.0.1:3"}
  - name: right
    shards: 3
    slots: 2
    connections: 9
    cold_limit: 2
    backend_servers:
      - {name: r1, data_centre: d1, address: "1.0.0.2:1", shards: [0, 1]}
      - {name: r2, data_centre: d2, address: "1.0.0.2:2", shards: [1, 2]}
      - {name: r3, data_centre: d3, address: "1.0.0.2:3", shards: [0, 2]}
)";

uint64_t ShardId(const service_topology& t, const shard_target& s) {
  return ShardKey(HashOf(t.services[s.service].name), s.shard);
}

std::string BodyOf(uint64_t query, uint64_t shard, uint64_t version) {
  return fmt::format("{}/{}/{}", query, shard, version);
}

}  // namespace

query_simulator::query_simulator(uint64_t seed)
    : random_(seed), hosts_(kHosts) {
  topology_ =
      std::make_shared<const service_topology>(*ParseTopology(kTopology));
  servers_.resize(topology_->servers.size());
  for (size_t h = 0; h < hosts_.size(); ++h) {
    hosts_[h].r.random.seed(seed * 100 + h);
    hosts_[h].r.next_attempt = 1 + h * 1'000'000'000ULL;
    fleet* f = &hosts_[h].r.backends;
    ApplyView(f, BuildTopologyView(1, topology_, {}), {"d1", "east"}, 0);
    std::vector<fleet_host> all;
    for (int i = 0; i < kHosts; ++i) {
      all.push_back({fmt::format("host-{}", i), "d1", {}});
    }
    ApplyHosts(f, all, fmt::format("host-{}", h), 0);
    // A run is too short to accumulate many hedge tokens.
    for (service_state& s : f->services)
      s.hedge_budget.tokens = kMaxHedgeTokens;
    for (size_t s = 0; s < servers_.size(); ++s) {
      f->servers[s].versions = {
          {1, topology_->services[topology_->servers[s].service].shards,
           topology_->servers[s].shards}};
    }
  }
  now_ = 2 * kShareRaiseDelay;
}

uint64_t query_simulator::Draw(uint64_t bound) { return random_() % bound; }

void query_simulator::Fail(const std::string& what) {
  if (violation_.empty()) violation_ = what;
}

server_report query_simulator::ReportOf(int server) const {
  const fake_server& s = servers_[server];
  reported_state state = s.leaving ? reported_state::kLeaving
                         : s.cold  ? reported_state::kCold
                                   : reported_state::kReady;
  return {.stamp = {s.boot,
                    static_cast<uint64_t>((now_ - s.booted_at) / kMillisecond)},
          .state = state,
          .cold_limit = topology_->servers[server].cold_limit,
          .load = s.in_flight};
}

std::string query_simulator::Step(uint64_t step_seed) {
  random_.seed(step_seed);
  uint64_t kind = Draw(1000);
  if (kind < 250) {
    StartRandomQuery();
  } else if (kind < 760) {
    CompleteRandomRequest();
  } else if (kind < 880) {
    AdvanceTime();
  } else if (kind < 975) {
    DeliverReport();
  } else if (kind < 992) {
    ChangeRandomServer();
  } else if (kind < 997) {
    ChangeOutOfService();
  } else {
    ChangeHosts();
  }
  CheckAll();
  return violation_;
}

void query_simulator::StartRandomQuery() {
  int h = static_cast<int>(Draw(hosts_.size()));
  if (!hosts_[h].live) return;
  auto q = std::make_unique<query>();
  q->spec = {
      .id = next_query_++,
      .service = static_cast<int>(Draw(3)),
      .priority_level = static_cast<priority>(Draw(3)),
      .idempotent = Draw(4) != 0,
      .start = now_,
      .deadline = now_ + (20 + static_cast<micros>(Draw(100))) * kMillisecond,
      .may_forward = false};
  if (Draw(4) == 0) {
    q->spec.soft_deadline = now_ + 10 * kMillisecond;
    q->spec.min_coverage = 0.5;
  }
  query* raw = q.get();
  hosts_[h].queries[raw->spec.id] = std::move(q);
  ++stats_.queries;
  query_actions actions;
  StartQuery(&hosts_[h].r, raw, now_, &actions);
  ApplyActions(h, raw, actions);
}

void query_simulator::ApplyActions(int h, query* q,
                                   const query_actions& actions) {
  for (const send_action& s : actions.sends) CheckAndSend(h, q, s);
  for (const cancel_action& c : actions.cancels) {
    for (request_in_flight& f : requests_in_flight_) {
      if (f.attempt != c.attempt || f.cancelled) continue;
      f.cancelled = true;
      if (f.boot == servers_[f.server].boot) --servers_[f.server].in_flight;
    }
  }
  CheckQuery(h, q);
  for (int server : actions.servers_with_capacity) WakeWaiters(h, server);
}

// Checks that a send was allowed, then passes the request to the server.
void query_simulator::CheckAndSend(int h, query* q, const send_action& s) {
  const fleet& f = hosts_[h].r.backends;
  ++stats_.sends;
  stats_.hedges += s.kind == attempt_kind::kHedge;
  if (s.server < 0)
    return Fail("request forwarded although may_forward is false");
  const server_window& w = f.servers[s.server].window;
  if (f.current_view->server_out_of_service[s.server])
    Fail("new request to a server out of service");
  if (w.phase == window_phase::kLeaving)
    Fail("new request to a leaving server");
  if (w.phase == window_phase::kCold) {
    ++stats_.cold_sends;
    if (w.in_flight > ColdShare(w, now_))
      Fail("in-flight requests exceed the cold share");
    if (s.kind == attempt_kind::kHedge) Fail("hedge to a cold server");
  }
  if (w.in_flight > ConnectionShare(f.servers[s.server])) {
    Fail("in-flight requests exceed the connection share");
  }
  const shard_state& shard = q->shards[s.shard_index];
  bool first = true;
  for (const attempt_state& a : shard.attempts) {
    if (a.id != s.attempt && !a.not_run) first = false;
  }
  if (!q->spec.idempotent && !first) Fail("non-idempotent request sent again");
  request_in_flight request{.host = h,
                            .query = q->spec.id,
                            .attempt = s.attempt,
                            .server = s.server,
                            .shard = shard.target.shard,
                            .version = q->version,
                            .boot = servers_[s.server].boot};
  if (servers_[s.server].up) ++servers_[s.server].in_flight;
  requests_in_flight_.push_back(request);
}

// Ends one random request in flight, with an answer or with a failure.
void query_simulator::CompleteRandomRequest() {
  if (requests_in_flight_.empty()) return;
  size_t at = Draw(requests_in_flight_.size());
  request_in_flight f = requests_in_flight_[at];
  requests_in_flight_.erase(requests_in_flight_.begin() + at);
  fake_server& s = servers_[f.server];
  if (!s.up) return End(f, attempt_end::kNotSent);
  if (f.boot != s.boot) return End(f, attempt_end::kBroken);
  bool holds = std::find(s.versions.begin(), s.versions.end(), f.version) !=
               s.versions.end();
  if (!f.cancelled) --s.in_flight;
  if (f.cancelled) return;
  if (!holds) return End(f, attempt_end::kVersionGone);
  if (s.leaving) return End(f, attempt_end::kRefused);
  uint64_t outcome_draw = Draw(20);
  if (outcome_draw == 0) return End(f, attempt_end::kRefused);
  uint64_t service = topology_->servers[f.server].service;
  uint64_t shard = ShardId(*topology_, {static_cast<int>(service), f.shard});
  ++runs_[{f.query, shard}];
  f.ran = true;
  if (s.cold && ++s.requests_run_cold > 10) s.cold = false;
  if (outcome_draw == 1) return End(f, attempt_end::kBroken);
  if (outcome_draw == 2) return End(f, attempt_end::kCrossed);
  if (outcome_draw == 3) return End(f, attempt_end::kFailed);
  End(f, attempt_end::kAnswered);
}

void query_simulator::End(request_in_flight f, attempt_end end) {
  auto found = hosts_[f.host].queries.find(f.query);
  if (found == hosts_[f.host].queries.end()) return;
  query* q = found->second.get();
  attempt_result result{.end = end, .version = f.version};
  bool has_head =
      end == attempt_end::kAnswered || end == attempt_end::kRefused ||
      end == attempt_end::kVersionGone || end == attempt_end::kFailed;
  if (has_head) {
    result.has_report = true;
    result.report = ReportOf(f.server);
  }
  if (end == attempt_end::kAnswered) {
    uint64_t service = topology_->servers[f.server].service;
    result.body = BodyOf(
        f.query, ShardId(*topology_, {static_cast<int>(service), f.shard}),
        f.version);
    // Occasionally the reply is of another version.
    if (Draw(15) == 0) {
      ++result.version;
      result.body = "another version";
    }
  }
  query_actions actions;
  OnAttemptEnd(&hosts_[f.host].r, q, f.attempt, result, now_, &actions);
  ApplyActions(f.host, q, actions);
  // A duplicate reply must have no effect.
  if (Draw(5) == 0) {
    query_actions again;
    OnAttemptEnd(&hosts_[f.host].r, q, f.attempt, result, now_, &again);
    if (!again.sends.empty()) Fail("a duplicate reply caused a send");
  }
}

void query_simulator::WakeWaiters(int h, int server) {
  routing_state* r = &hosts_[h].r;
  uint64_t service = r->backends.current_view
                         ->service_hashes[topology_->servers[server].service];
  for (int shard : topology_->servers[server].shards) {
    if (AvailableCapacity(r->backends.servers[server].window, now_) <= 0)
      return;
    auto w = PopWaiter(&r->waiting, ShardKey(service, shard));
    if (!w) continue;
    auto found = hosts_[h].queries.find(w->query);
    if (found == hosts_[h].queries.end()) {
      Fail("a finished query still has a waiter");
      return;
    }
    query_actions actions;
    OnCapacityAvailable(r, found->second.get(), w->shard_index, now_, &actions);
    ApplyActions(h, found->second.get(), actions);
  }
}

void query_simulator::AdvanceTime() {
  now_ += Draw(4) == 0 ? 50 * kMillisecond : 1 + Draw(5 * kMillisecond);
  bool paused = Draw(8) == 0;
  for (size_t h = 0; h < hosts_.size(); ++h) {
    std::vector<query*> due;
    for (auto& [id, q] : hosts_[h].queries) {
      if (!q->finished && q->timer_at <= now_) due.push_back(q.get());
    }
    for (query* q : due) {
      query_actions actions;
      OnQueryTimer(&hosts_[h].r, q, now_, paused, &actions);
      ApplyActions(static_cast<int>(h), q, actions);
    }
    for (size_t s = 0; s < servers_.size(); ++s) {
      WakeWaiters(static_cast<int>(h), static_cast<int>(s));
    }
    std::erase_if(hosts_[h].queries, [&](const auto& entry) {
      if (!entry.second->finished || HasOpenAttempts(*entry.second)) {
        return false;
      }
      Count(*entry.second);
      return true;
    });
  }
}

void query_simulator::ChangeRandomServer() {
  int at = static_cast<int>(Draw(servers_.size()));
  fake_server& s = servers_[at];
  // Servers that are down or leaving restart cold with probability 1/2.
  for (fake_server& other : servers_) {
    if ((other.up && !other.leaving) || Draw(2) == 0) continue;
    other = {.boot = other.boot + 1,
             .booted_at = now_,
             .cold = true,
             .versions = other.versions};
  }
  switch (Draw(7)) {
    case 0:  // restart cold
    case 1:
      s = {.boot = s.boot + 1,
           .booted_at = now_,
           .cold = true,
           .versions = s.versions};
      break;
    case 2:
      s.up = !s.up;
      if (s.up)
        s = {.boot = s.boot + 1,
             .booted_at = now_,
             .cold = true,
             .versions = s.versions};
      s.in_flight = 0;
      break;
    case 3:
      s.cold = true;  // without a restart or a report
      s.requests_run_cold = 0;
      break;
    case 4:
      s.leaving = !s.leaving;
      if (!s.leaving)
        s = {.boot = s.boot + 1, .booted_at = now_, .versions = s.versions};
      break;
    case 5:  // a new index version, on this and some other servers
      ++newest_version_;
      for (fake_server& other : servers_) {
        if (&other == &s || Draw(2) == 0) {
          other.versions.push_back(newest_version_);
        }
      }
      break;
    case 6:  // the oldest index version is removed everywhere
      for (fake_server& other : servers_) {
        if (other.versions.size() > 1) {
          other.versions.erase(other.versions.begin());
        }
      }
      break;
  }
}

// Delivers a report about one server to one host, from a peer or from the
// server's health endpoint.
void query_simulator::DeliverReport() {
  int at = static_cast<int>(Draw(servers_.size()));
  const fake_server& s = servers_[at];
  server_state& receiver = hosts_[Draw(hosts_.size())].r.backends.servers[at];
  if (Draw(2) == 0) {
    const server_window& source_window =
        hosts_[Draw(hosts_.size())].r.backends.servers[at].window;
    if (source_window.stamp.boot == 0 ||
        source_window.phase == window_phase::kHeld)
      return;
    reported_state state = source_window.phase == window_phase::kCold
                               ? reported_state::kCold
                           : source_window.phase == window_phase::kLeaving
                               ? reported_state::kLeaving
                               : reported_state::kReady;
    OnReport(&receiver.window, report_source::kPeer,
             {.stamp = source_window.stamp, .state = state}, now_);
    return;
  }
  if (!s.up) return;
  receiver.versions.clear();
  const backend_server& b = topology_->servers[at];
  for (uint64_t v : s.versions) {
    receiver.versions.push_back(
        {v, topology_->services[b.service].shards, b.shards});
  }
  OnReport(&receiver.window, report_source::kHealth, ReportOf(at), now_);
}

void query_simulator::ChangeOutOfService() {
  place p =
      Draw(2) == 0
          ? place{place_kind::kDataCentre, fmt::format("d{}", 1 + Draw(3))}
          : place{place_kind::kServer,
                  topology_->servers[Draw(servers_.size())].name};
  auto found = std::find(out_of_service_.begin(), out_of_service_.end(), p);
  if (found == out_of_service_.end()) {
    out_of_service_.push_back(p);
  } else {
    out_of_service_.erase(found);
  }
  if (Draw(2) == 0) out_of_service_.clear();
  auto next = BuildTopologyView(
      ++revision_, std::make_shared<const service_topology>(*topology_),
      out_of_service_);
  for (host& h : hosts_) {
    ApplyView(&h.r.backends, next, {"d1", "east"}, now_);
  }
}

void query_simulator::ChangeHosts() {
  int changed = static_cast<int>(Draw(hosts_.size()));
  hosts_[changed].live = !hosts_[changed].live;
  std::vector<fleet_host> live;
  for (size_t i = 0; i < hosts_.size(); ++i) {
    if (hosts_[i].live) live.push_back({fmt::format("host-{}", i), "d1", {}});
  }
  for (size_t i = 0; i < hosts_.size(); ++i) {
    ApplyHosts(&hosts_[i].r.backends, live, fmt::format("host-{}", i), now_);
  }
}

// Invariants of one query, checked after each of its events.
void query_simulator::CheckQuery(int, query* q) {
  int answered = 0;
  for (const shard_state& s : q->shards) {
    if (!s.answered) continue;
    ++answered;
    std::string wanted = BodyOf(
        q->spec.id, ShardId(*q->config_view->topology, s.target), q->version);
    if (s.body != wanted) Fail("answer of another query, shard or version");
  }
  if (answered != q->answered)
    Fail("answered count differs from the answers kept");
  if (!q->finished) return;
  for (const shard_state& s : q->shards) {
    if (s.waiting) Fail("a finished query still has a waiter");
    for (const attempt_state& a : s.attempts) {
      if (a.open && !a.cancel_exempt) {
        Fail("a finished query has an open attempt");
      }
    }
  }
  int ran = 0;
  for (const auto& [key, count] : runs_) {
    if (key.first != q->spec.id) continue;
    ran += count;
    if (!q->spec.idempotent && count > 1)
      Fail("non-idempotent request run twice");
  }
  if (q->outcome == query_outcome::kNotRun && ran > 0) {
    Fail("outcome not_run, but an attempt was run");
  }
  if (q->outcome == query_outcome::kComplete &&
      answered != static_cast<int>(q->shards.size())) {
    Fail("outcome complete without full coverage");
  }
}

// Invariants over all hosts, checked after every step.
void query_simulator::CheckAll() {
  for (size_t h = 0; h < hosts_.size(); ++h) {
    const fleet& f = hosts_[h].r.backends;
    std::vector<int> open(servers_.size(), 0);
    for (const auto& [id, q] : hosts_[h].queries) {
      for (const shard_state& s : q->shards) {
        for (const attempt_state& a : s.attempts) {
          if (!a.open) continue;
          int at = ServerInCurrentView(f, *q->config_view->topology, a.server);
          if (at >= 0) ++open[at];
        }
      }
    }
    for (size_t s = 0; s < servers_.size(); ++s) {
      if (f.servers[s].window.in_flight != open[s]) {
        Fail("in-flight count differs from the number of open attempts");
      }
    }
  }
  // The shares of all hosts sum to no more than the connection cap and the cold
  // limit.
  for (size_t s = 0; s < servers_.size(); ++s) {
    int shares = 0, cold = 0;
    for (const host& h : hosts_) {
      const server_window& w = h.r.backends.servers[s].window;
      shares += w.share;
      if (w.cold_limit == topology_->servers[s].cold_limit)
        cold += ColdShare(w, now_);
    }
    if (shares > topology_->servers[s].connections)
      Fail("sum of shares exceeds the connection cap");
    if (cold > topology_->servers[s].cold_limit)
      Fail("sum of cold shares exceeds the cold limit");
  }
}

void query_simulator::Count(const query& q) {
  stats_.restarts += q.restarts;
  stats_.complete += q.outcome == query_outcome::kComplete;
  stats_.partial += q.outcome == query_outcome::kPartial;
  stats_.not_run += q.outcome == query_outcome::kNotRun;
  stats_.unknown += q.outcome == query_outcome::kUnknown;
}

std::string query_simulator::Finish() {
  for (int i = 0; i < 200 && violation_.empty(); ++i) {
    now_ += 10 * kMillisecond;
    for (size_t h = 0; h < hosts_.size(); ++h) {
      for (auto& [id, q] : hosts_[h].queries) {
        if (q->finished) continue;
        query_actions actions;
        OnQueryTimer(&hosts_[h].r, q.get(), now_, false, &actions);
        ApplyActions(static_cast<int>(h), q.get(), actions);
      }
    }
  }
  for (host& h : hosts_) {
    for (auto& [id, q] : h.queries) {
      if (!q->finished) Fail("query not finished after its deadline");
      Count(*q);
    }
    if (h.r.waiting.size != 0) Fail("waiters left after all queries finished");
  }
  CheckAll();
  return violation_;
}

namespace {

std::string Replay(uint64_t seed, const std::vector<uint64_t>& trace,
                   simulation_stats* stats) {
  query_simulator simulator(seed);
  std::string violation;
  for (uint64_t step : trace) {
    violation = simulator.Step(step);
    if (!violation.empty()) break;
  }
  if (violation.empty()) violation = simulator.Finish();
  if (stats != nullptr) *stats = simulator.stats();
  return violation;
}

// Removes parts of decreasing size from a failing trace while it still fails.
std::vector<uint64_t> MinimizeTrace(uint64_t seed,
                                    std::vector<uint64_t> trace) {
  for (size_t part = trace.size() / 2; part > 0; part /= 2) {
    for (size_t at = 0; at + part <= trace.size();) {
      std::vector<uint64_t> shorter = trace;
      shorter.erase(shorter.begin() + at, shorter.begin() + at + part);
      if (Replay(seed, shorter, nullptr).empty()) {
        at += part;
      } else {
        trace = std::move(shorter);
      }
    }
  }
  return trace;
}

}  // namespace

std::string RunSimulation(uint64_t seed, int steps, simulation_stats* stats) {
  std::mt19937_64 random(seed);
  std::vector<uint64_t> trace(steps);
  for (uint64_t& step : trace) step = random();
  std::string violation = Replay(seed, trace, stats);
  if (violation.empty()) return "";
  std::vector<uint64_t> shortest = MinimizeTrace(seed, trace);
  fmt::print(stderr, "seed {}: {}; minimized trace of {} steps:", seed,
             Replay(seed, shortest, nullptr), shortest.size());
  for (uint64_t step : shortest) fmt::print(stderr, " {}", step);
  fmt::print(stderr, "\n");
  return violation;
}

}  // namespace baobabtray::testing
