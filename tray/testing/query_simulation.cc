// The seeded world of the query libraries. See query_simulation.h.

#include "tray/testing/query_simulation.h"

#include <fmt/format.h>

#include <algorithm>

#include "tray/base/hash.h"

namespace baobabtray::testing {
namespace {

constexpr int kHosts = 3;
constexpr char kText[] = R"(
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

world::world(uint64_t seed) : random_(seed), hosts_(kHosts) {
  text_ = std::make_shared<const service_topology>(*ParseTopology(kText));
  servers_.resize(text_->servers.size());
  for (size_t h = 0; h < hosts_.size(); ++h) {
    hosts_[h].r.random.seed(seed * 100 + h);
    hosts_[h].r.next_attempt = 1 + h * 1'000'000'000ULL;
    fleet* f = &hosts_[h].r.backends;
    ApplyView(f, BuildTopologyView(1, text_, {}), {"d1", "east"}, 0);
    std::vector<fleet_host> all;
    for (int i = 0; i < kHosts; ++i) {
      all.push_back({fmt::format("host-{}", i), "d1", {}});
    }
    ApplyHosts(f, all, fmt::format("host-{}", h), 0);
    // A run is too short to earn many hedges.
    for (service_state& s : f->services)
      s.hedge_budget.tokens = kMaxHedgeTokens;
    for (size_t s = 0; s < servers_.size(); ++s) {
      f->servers[s].versions = {
          {1, text_->services[text_->servers[s].service].shards,
           text_->servers[s].shards}};
    }
  }
  now_ = 2 * kShareSettle;
}

uint64_t world::Draw(uint64_t bound) { return random_() % bound; }

void world::Fail(const std::string& what) {
  if (broken_.empty()) broken_ = what;
}

server_report world::ReportOf(int server) const {
  const fake_server& s = servers_[server];
  reported_state state = s.leaving ? reported_state::kLeaving
                         : s.cold  ? reported_state::kCold
                                   : reported_state::kReady;
  return {.stamp = {s.boot,
                    static_cast<uint64_t>((now_ - s.booted_at) / kMillisecond)},
          .state = state,
          .cold_limit = text_->servers[server].cold_limit,
          .load = s.in_flight};
}

std::string world::Step(uint64_t step_seed) {
  random_.seed(step_seed);
  uint64_t kind = Draw(1000);
  if (kind < 250) {
    StartOne();
  } else if (kind < 760) {
    Deliver();
  } else if (kind < 880) {
    Advance();
  } else if (kind < 975) {
    TellOne();
  } else if (kind < 992) {
    ChangeServer();
  } else if (kind < 997) {
    ChangeConfig();
  } else {
    ChangeHosts();
  }
  CheckAll();
  return broken_;
}

void world::StartOne() {
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
  Perform(h, raw, actions);
}

void world::Perform(int h, query* q, const query_actions& actions) {
  for (const send_action& s : actions.sends) Receive(h, q, s);
  for (const cancel_action& c : actions.cancels) {
    for (flight& f : flights_) {
      if (f.attempt != c.attempt || f.cancelled) continue;
      f.cancelled = true;
      if (f.boot == servers_[f.server].boot) --servers_[f.server].in_flight;
    }
  }
  CheckQuery(h, q);
  for (int server : actions.servers_with_capacity) Wake(h, server);
}

// A send: checks that it was allowed, then lets the server take it in.
void world::Receive(int h, query* q, const send_action& s) {
  const fleet& f = hosts_[h].r.backends;
  ++stats_.sends;
  stats_.hedges += s.kind == attempt_kind::kHedge;
  if (s.server < 0) return Fail("handed over without leave");
  const server_window& w = f.servers[s.server].window;
  if (f.current_view->server_out_of_service[s.server])
    Fail("new work to a server that is out");
  if (w.phase == window_phase::kLeaving) Fail("new work to a leaving server");
  if (w.phase == window_phase::kCold) {
    ++stats_.cold_sends;
    if (w.in_flight > ColdShare(w, now_)) Fail("beyond the cold share");
    if (s.kind == attempt_kind::kHedge) Fail("hedge to a cold server");
  }
  if (w.in_flight > ConnectionShare(f.servers[s.server])) {
    Fail("more in flight than connections");
  }
  const shard_state& shard = q->shards[s.shard_index];
  bool first = true;
  for (const attempt_state& a : shard.attempts) {
    if (a.id != s.attempt && !a.not_run) first = false;
  }
  if (!q->spec.idempotent && !first) Fail("non-idempotent request sent again");
  flight fl{.host = h,
            .query = q->spec.id,
            .attempt = s.attempt,
            .server = s.server,
            .shard = shard.target.shard,
            .version = q->version,
            .boot = servers_[s.server].boot};
  if (servers_[s.server].up) ++servers_[s.server].in_flight;
  flights_.push_back(fl);
}

// Ends one flight at random: run and answered, or one of the failures.
void world::Deliver() {
  if (flights_.empty()) return;
  size_t at = Draw(flights_.size());
  flight f = flights_[at];
  flights_.erase(flights_.begin() + at);
  fake_server& s = servers_[f.server];
  if (!s.up) return End(f, attempt_end::kNotSent);
  if (f.boot != s.boot) return End(f, attempt_end::kBroken);
  bool holds = std::find(s.versions.begin(), s.versions.end(), f.version) !=
               s.versions.end();
  if (!f.cancelled) --s.in_flight;
  if (f.cancelled) return;
  if (!holds) return End(f, attempt_end::kVersionGone);
  if (s.leaving) return End(f, attempt_end::kRefused);
  uint64_t fate = Draw(20);
  if (fate == 0) return End(f, attempt_end::kRefused);
  uint64_t service = text_->servers[f.server].service;
  uint64_t shard = ShardId(*text_, {static_cast<int>(service), f.shard});
  ++runs_[{f.query, shard}];
  f.ran = true;
  if (s.cold && ++s.warm_after > 10) s.cold = false;
  if (fate == 1) return End(f, attempt_end::kBroken);
  if (fate == 2) return End(f, attempt_end::kCrossed);
  if (fate == 3) return End(f, attempt_end::kFailed);
  End(f, attempt_end::kAnswered);
}

void world::End(flight f, attempt_end end) {
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
    uint64_t service = text_->servers[f.server].service;
    result.body =
        BodyOf(f.query, ShardId(*text_, {static_cast<int>(service), f.shard}),
               f.version);
    // Now and then the reply is of another version.
    if (Draw(15) == 0) {
      ++result.version;
      result.body = "another version";
    }
  }
  query_actions actions;
  OnAttemptEnd(&hosts_[f.host].r, q, f.attempt, result, now_, &actions);
  Perform(f.host, q, actions);
  // A doubled reply, or a late one of a cancelled attempt, changes nothing.
  if (Draw(5) == 0) {
    query_actions again;
    OnAttemptEnd(&hosts_[f.host].r, q, f.attempt, result, now_, &again);
    if (!again.sends.empty()) Fail("a doubled reply caused a send");
  }
}

void world::Wake(int h, int server) {
  routing_state* r = &hosts_[h].r;
  uint64_t service =
      r->backends.current_view->service_hashes[text_->servers[server].service];
  for (int shard : text_->servers[server].shards) {
    if (AvailableCapacity(r->backends.servers[server].window, now_) <= 0)
      return;
    auto w = PopWaiter(&r->waiting, ShardKey(service, shard));
    if (!w) continue;
    auto found = hosts_[h].queries.find(w->query);
    if (found == hosts_[h].queries.end()) {
      Fail("a finished query still waits");
      return;
    }
    query_actions actions;
    OnCapacityAvailable(r, found->second.get(), w->shard_index, now_, &actions);
    Perform(h, found->second.get(), actions);
  }
}

void world::Advance() {
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
      Perform(static_cast<int>(h), q, actions);
    }
    for (size_t s = 0; s < servers_.size(); ++s) {
      Wake(static_cast<int>(h), static_cast<int>(s));
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

void world::ChangeServer() {
  int at = static_cast<int>(Draw(servers_.size()));
  fake_server& s = servers_[at];
  // Whatever was down or leaving comes back now and then, cold.
  for (fake_server& other : servers_) {
    if ((other.up && !other.leaving) || Draw(2) == 0) continue;
    other = {.boot = other.boot + 1,
             .booted_at = now_,
             .cold = true,
             .versions = other.versions};
  }
  switch (Draw(7)) {
    case 0:  // restarts cold
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
      s.cold = true;  // in place, without a word
      s.warm_after = 0;
      break;
    case 4:
      s.leaving = !s.leaving;
      if (!s.leaving)
        s = {.boot = s.boot + 1, .booted_at = now_, .versions = s.versions};
      break;
    case 5:  // a new index version appears, here first or everywhere
      ++newest_version_;
      for (fake_server& other : servers_) {
        if (&other == &s || Draw(2) == 0) {
          other.versions.push_back(newest_version_);
        }
      }
      break;
    case 6:  // the oldest goes away everywhere
      for (fake_server& other : servers_) {
        if (other.versions.size() > 1) {
          other.versions.erase(other.versions.begin());
        }
      }
      break;
  }
}

// One host hears of one server: from its health endpoint or from a peer.
void world::TellOne() {
  int at = static_cast<int>(Draw(servers_.size()));
  const fake_server& s = servers_[at];
  server_state& known = hosts_[Draw(hosts_.size())].r.backends.servers[at];
  if (Draw(2) == 0) {
    const server_window& told =
        hosts_[Draw(hosts_.size())].r.backends.servers[at].window;
    if (told.stamp.boot == 0 || told.phase == window_phase::kHeld) return;
    reported_state state =
        told.phase == window_phase::kCold      ? reported_state::kCold
        : told.phase == window_phase::kLeaving ? reported_state::kLeaving
                                               : reported_state::kReady;
    OnReport(&known.window, report_source::kPeer,
             {.stamp = told.stamp, .state = state}, now_);
    return;
  }
  if (!s.up) return;
  known.versions.clear();
  const backend_server& b = text_->servers[at];
  for (uint64_t v : s.versions) {
    known.versions.push_back({v, text_->services[b.service].shards, b.shards});
  }
  OnReport(&known.window, report_source::kHealth, ReportOf(at), now_);
}

void world::ChangeConfig() {
  place p = Draw(2) == 0 ? place{place_kind::kDataCentre,
                                 fmt::format("d{}", 1 + Draw(3))}
                         : place{place_kind::kServer,
                                 text_->servers[Draw(servers_.size())].name};
  auto found = std::find(out_.begin(), out_.end(), p);
  if (found == out_.end()) {
    out_.push_back(p);
  } else {
    out_.erase(found);
  }
  if (Draw(2) == 0) out_.clear();
  auto next = BuildTopologyView(
      ++revision_, std::make_shared<const service_topology>(*text_), out_);
  for (host& h : hosts_) {
    ApplyView(&h.r.backends, next, {"d1", "east"}, now_);
  }
}

void world::ChangeHosts() {
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

// What must hold of one query after each of its events.
void world::CheckQuery(int, query* q) {
  int answered = 0;
  for (const shard_state& s : q->shards) {
    if (!s.answered) continue;
    ++answered;
    std::string wanted = BodyOf(
        q->spec.id, ShardId(*q->config_view->topology, s.target), q->version);
    if (s.body != wanted) Fail("an answer that is not this query's own");
  }
  if (answered != q->answered) Fail("coverage is not true");
  if (!q->finished) return;
  for (const shard_state& s : q->shards) {
    if (s.waiting) Fail("a finished query still waits");
    for (const attempt_state& a : s.attempts) {
      if (a.open && !a.lingering) {
        Fail("a finished query has an open attempt");
      }
    }
  }
  int ran = 0;
  for (const auto& [key, count] : runs_) {
    if (key.first != q->spec.id) continue;
    ran += count;
    if (!q->spec.idempotent && count > 1) Fail("run twice");
  }
  if (q->outcome == query_outcome::kNotRun && ran > 0) {
    Fail("said not run, but was run");
  }
  if (q->outcome == query_outcome::kComplete &&
      answered != static_cast<int>(q->shards.size())) {
    Fail("complete without full coverage");
  }
}

// What must hold over all hosts after every step.
void world::CheckAll() {
  for (size_t h = 0; h < hosts_.size(); ++h) {
    const fleet& f = hosts_[h].r.backends;
    std::vector<int> open(servers_.size(), 0);
    for (const auto& [id, q] : hosts_[h].queries) {
      for (const shard_state& s : q->shards) {
        for (const attempt_state& a : s.attempts) {
          if (!a.open) continue;
          int at = CurrentServer(f, *q->config_view->topology, a.server);
          if (at >= 0) ++open[at];
        }
      }
    }
    for (size_t s = 0; s < servers_.size(); ++s) {
      if (f.servers[s].window.in_flight != open[s]) {
        Fail("in-flight count differs from open attempts");
      }
    }
  }
  // In one settled live set the shares of hosts add up to no more than the cap.
  for (size_t s = 0; s < servers_.size(); ++s) {
    int shares = 0, cold = 0;
    for (const host& h : hosts_) {
      const server_window& w = h.r.backends.servers[s].window;
      shares += w.share;
      if (w.cold_limit == text_->servers[s].cold_limit)
        cold += ColdShare(w, now_);
    }
    if (shares > text_->servers[s].connections) Fail("shares beyond the cap");
    if (cold > text_->servers[s].cold_limit)
      Fail("shares beyond the cold limit");
  }
}

void world::Count(const query& q) {
  stats_.restarts += q.restarts;
  stats_.complete += q.outcome == query_outcome::kComplete;
  stats_.partial += q.outcome == query_outcome::kPartial;
  stats_.not_run += q.outcome == query_outcome::kNotRun;
  stats_.unknown += q.outcome == query_outcome::kUnknown;
}

std::string world::Finish() {
  for (int i = 0; i < 200 && broken_.empty(); ++i) {
    now_ += 10 * kMillisecond;
    for (size_t h = 0; h < hosts_.size(); ++h) {
      for (auto& [id, q] : hosts_[h].queries) {
        if (q->finished) continue;
        query_actions actions;
        OnQueryTimer(&hosts_[h].r, q.get(), now_, false, &actions);
        Perform(static_cast<int>(h), q.get(), actions);
      }
    }
  }
  for (host& h : hosts_) {
    for (auto& [id, q] : h.queries) {
      if (!q->finished) Fail("a query outlived its deadline");
      Count(*q);
    }
    if (h.r.waiting.size != 0) Fail("waiters are left over");
  }
  CheckAll();
  return broken_;
}

namespace {

std::string Replay(uint64_t seed, const std::vector<uint64_t>& trace,
                   world_stats* stats) {
  world w(seed);
  std::string broken;
  for (uint64_t step : trace) {
    broken = w.Step(step);
    if (!broken.empty()) break;
  }
  if (broken.empty()) broken = w.Finish();
  if (stats != nullptr) *stats = w.stats();
  return broken;
}

// Leaves out ever smaller parts of a failing trace while it still fails.
std::vector<uint64_t> Shorten(uint64_t seed, std::vector<uint64_t> trace) {
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

std::string RunWorld(uint64_t seed, int steps, world_stats* stats) {
  std::mt19937_64 random(seed);
  std::vector<uint64_t> trace(steps);
  for (uint64_t& step : trace) step = random();
  std::string broken = Replay(seed, trace, stats);
  if (broken.empty()) return "";
  std::vector<uint64_t> shortest = Shorten(seed, trace);
  fmt::print(stderr, "seed {}: {}; shortest trace of {} steps:", seed,
             Replay(seed, shortest, nullptr), shortest.size());
  for (uint64_t step : shortest) fmt::print(stderr, " {}", step);
  fmt::print(stderr, "\n");
  return broken;
}

}  // namespace baobabtray::testing
