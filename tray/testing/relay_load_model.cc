// Event loop of the load model. See relay_load_model.h.

#include "tray/testing/relay_load_model.h"

#include <fmt/format.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <utility>

#include "tray/base/hash.h"
#include "tray/relay/relay.h"
#include "tray/relay/retry.h"
#include "tray/relay/retry_after.h"

namespace baobabtray {
namespace {

constexpr micros kStart = 1000 * kSecond;
constexpr int kDataCentres = 3;
// Between a host and a server of its data centre, and a caller and its host.
constexpr micros kShortDistance = 500;
constexpr micros kSampleInterval = 20 * kMillisecond;

// A request at a server.
struct server_work {
  int host = 0;
  uint64_t attempt = 0;
};

struct model_server {
  std::string id;
  std::string data_centre;
  micros pause_offset = 0;
  double speed = 1;
  uint64_t slow_seed = 0;
  int running = 0;
  std::deque<server_work> waiting;
};

// One caller's request, over both of its attempts.
struct caller_state {
  micros first_sent = 0;
  bool urgent = true;
  bool retried = false;
  bool rejected = false;
};

struct model_request {
  relay_request query;
  int host = 0;
  caller_state caller;
};

class load_model {
 public:
  explicit load_model(const load_model_options& options)
      : options_(options), random_(options.seed) {
    result_.seconds.resize(options.duration / kSecond + 1);
    AddRoutes();
    AddServers();
    AddHosts();
  }

  load_model_result Run() {
    ScheduleArrival(kStart);
    ScheduleSample(kStart + kSampleInterval);
    while (!events_.empty()) {
      event next = events_.top();
      events_.pop();
      now_ = next.at;
      next.run();
    }
    return result_;
  }

 private:
  struct event {
    micros at = 0;
    uint64_t order = 0;  // of events at the same time
    std::function<void()> run;
    bool operator<(const event& other) const {
      return std::pair(at, order) > std::pair(other.at, other.order);
    }
  };

  void At(micros at, std::function<void()> run) {
    events_.push({at, next_order_++, std::move(run)});
  }

  static std::string DataCentre(int index) {
    return std::string(1, static_cast<char>('a' + index % kDataCentres));
  }

  std::string RegionOf(const std::string& data_centre) const {
    return options_.one_region ? "r" : "r" + data_centre;
  }

  void AddRoutes() {
    for (bool urgent : {true, false}) {
      route_config route{.name = urgent ? "urgent" : "less_urgent",
                         .host = "h",
                         .prefix = urgent ? "/u/" : "/l/",
                         .time_limit = options_.time_limit,
                         .target_latency = options_.target_latency,
                         .max_servers = 2,
                         .priority = urgent ? 1 : 2,
                         .top_records = 5,
                         .min_coverage = options_.min_coverage};
      for (int i = 0; i < options_.shards; ++i)
        route.shards.push_back(fmt::format("s{}", i));
      table_->routes.push_back(std::move(route));
    }
    (void)ValidateAndIndexRoutes(table_.get());
  }

  void AddServers() {
    for (int i = 0; i < options_.shards; ++i) {
      for (int d = 0; d < kDataCentres; ++d) {
        model_server s{.id = fmt::format("s{}-{}", i, d),
                       .data_centre = DataCentre(d)};
        s.pause_offset =
            static_cast<micros>(random_() % (options_.pause_every + 1));
        s.speed = options_.min_speed +
                  (options_.max_speed - options_.min_speed) *
                      ((i + d) % kDataCentres) / (kDataCentres - 1);
        s.slow_seed = HashOf(s.id, options_.seed);
        servers_.emplace(s.id, std::move(s));
      }
    }
  }

  void AddHosts() {
    for (int i = 0; i < options_.hosts; ++i) {
      auto host = std::make_unique<relay_state>();
      host->random.seed(random_());
      relay_pool& pool = host->pool;
      pool.host_name = fmt::format("host{}", i);
      pool.data_centre = DataCentre(i);
      pool.region = RegionOf(pool.data_centre);
      for (int d = 0; d < kDataCentres; ++d)
        pool.region_of[DataCentre(d)] = RegionOf(DataCentre(d));
      pool.extra_request_limits.ratio = options_.extra_ratio;
      pool.fleet_extra_floor = options_.extra_floor;
      SetHostCount(&pool, options_.hosts, options_.hosts);
      for (const auto& [id, s] : servers_) {
        std::string service = id.substr(0, id.find('-'));
        SetServiceLimits(&pool, {{.name = service, .max_connections = 1000}});
        UpsertServer(&pool,
                     {.id = id,
                      .service = service,
                      .address = {"10.0.0.1", 80},
                      .data_centre = s.data_centre,
                      .slots = options_.slots,
                      .started_ms = 1},
                     kStart);
      }
      hosts_.push_back(std::move(host));
    }
  }

  // ---- Callers -------------------------------------------------------------

  void ScheduleArrival(micros after) {
    double rate = options_.requests_per_s;
    for (const load_burst& b : options_.bursts) {
      if (after - kStart >= b.start && after - kStart < b.end) rate *= b.factor;
    }
    std::exponential_distribution<double> gap(rate);
    micros at = after + static_cast<micros>(gap(random_) * kSecond);
    if (at - kStart >= options_.duration) return;
    At(at, [this, at] {
      caller_state caller{.first_sent = at};
      caller.urgent = options_.less_urgent_every == 0 ||
                      ++arrivals_ % options_.less_urgent_every != 0;
      StartAttempt(caller);
      ScheduleArrival(at);
    });
  }

  void StartAttempt(const caller_state& caller) {
    auto r = std::make_unique<model_request>();
    r->caller = caller;
    r->host = static_cast<int>(random_() % hosts_.size());
    const route_config& route = table_->routes[caller.urgent ? 0 : 1];
    micros left = options_.time_limit - (now_ - caller.first_sent);
    r->query = {.id = next_request_++,
                .table = table_,
                .route = &route,
                .start = now_,
                .soft_deadline = now_ + route.target_latency -
                                 ResponseMargin(route.target_latency, false),
                .deadline = now_ + left};
    uint64_t id = r->query.id;
    requests_[id] = std::move(r);
    Decide(id, [this](relay_state* s, relay_request* q, relay_actions* a) {
      StartRelay(s, q, now_, a);
    });
  }

  // Ends a caller's attempt: counts it, or retries.
  void OnAnswer(model_request* r) {
    const relay_request& q = r->query;
    caller_state caller = r->caller;
    bool served = q.outcome == relay_outcome::kAnswered ||
                  q.outcome == relay_outcome::kPartial;
    caller.rejected |= q.outcome == relay_outcome::kNotRun;
    micros wait = q.outcome == relay_outcome::kNotRun ? RetryAfter(q) : 0;
    micros retry_at =
        now_ + wait / 2 + static_cast<micros>(random_() % (wait + 1));
    bool retries = !served && !caller.retried &&
                   retry_at < caller.first_sent + options_.time_limit;
    if (retries) {
      caller.retried = true;
      return At(retry_at, [this, caller] { StartAttempt(caller); });
    }
    load_model_second* counts[] = {
        &result_.seconds[(caller.first_sent - kStart) / kSecond],
        caller.urgent ? &result_.urgent : &result_.less_urgent};
    for (load_model_second* c : counts) {
      ++c->requests;
      c->rejected += caller.rejected ? 1 : 0;
      c->on_time +=
          served && now_ <= caller.first_sent + options_.target_latency;
      c->unserved += served ? 0 : 1;
      c->failed += !served && q.outcome != relay_outcome::kNotRun;
    }
  }

  // ---- Hosts ---------------------------------------------------------------

  using decision =
      std::function<void(relay_state*, relay_request*, relay_actions*)>;

  void Decide(uint64_t id, const decision& decide) {
    auto found = requests_.find(id);
    if (found == requests_.end()) return;
    model_request* r = found->second.get();
    relay_actions actions;
    bool was_finished = r->query.finished;
    decide(hosts_[r->host].get(), &r->query, &actions);
    for (uint64_t attempt : actions.cancels) Cancel(r->host, attempt);
    for (const relay_send& send : actions.sends) Send(id, r->host, send);
    if (r->query.finished && !was_finished) OnAnswer(r);
    if (r->query.finished && !HasOpenAttempts(r->query)) {
      requests_.erase(id);
      return;
    }
    micros at = r->query.timer_at;
    if (at == 0) return;
    At(std::max(at, now_), [this, id, at] {
      auto it = requests_.find(id);
      if (it == requests_.end() || it->second->query.timer_at != at) return;
      Decide(id, [this](relay_state* s, relay_request* q, relay_actions* a) {
        OnRelayTimer(s, q, now_, a);
      });
    });
  }

  micros DistanceTo(int host, const model_server& s) const {
    return hosts_[host]->pool.data_centre == s.data_centre ? kShortDistance
                                                           : options_.distance;
  }

  void Send(uint64_t request, int host, const relay_send& send) {
    model_server* s = &servers_.at(send.server->info.id);
    server_work work{.host = host, .attempt = send.attempt};
    open_[{host, send.attempt}] = request;
    At(now_ + DistanceTo(host, *s), [this, s, work] { OnArrival(s, work); });
  }

  void Reply(model_server* s, const server_work& work,
             relay_attempt_outcome outcome) {
    server_reply reply{.outcome = outcome};
    double slowdown = SlowdownOf(*s);
    reply.load = reported_load{.running = s->running,
                               .waiting = static_cast<int>(s->waiting.size())};
    if (options_.reports_slowdown) reply.load->slowdown = slowdown;
    if (outcome == relay_attempt_outcome::kServed)
      reply.response = std::make_shared<backend_response>();
    At(now_ + DistanceTo(work.host, *s), [this, work, reply] {
      auto found = open_.find({work.host, work.attempt});
      if (found == open_.end()) return;
      uint64_t request = found->second;
      open_.erase(found);
      Decide(request,
             [&](relay_state* state, relay_request* q, relay_actions* a) {
               RecordPartLatency(*q, work.attempt, reply);
               OnRelayAttemptEnd(state, q, work.attempt, reply, now_, a);
             });
    });
  }

  // The server drops the request once its connection closes.
  void Cancel(int host, uint64_t attempt) { open_.erase({host, attempt}); }

  bool IsCancelled(const server_work& work) const {
    return !open_.contains({work.host, work.attempt});
  }

  void RecordPartLatency(const relay_request& q, uint64_t attempt,
                         const server_reply& reply) {
    if (reply.outcome != relay_attempt_outcome::kServed) return;
    for (const relay_part& part : q.parts) {
      if (part.response != nullptr) continue;
      for (const relay_attempt& a : part.attempts) {
        if (a.id == attempt)
          result_.part_latencies.push_back(now_ -
                                           part.attempts.front().sent_at);
      }
    }
  }

  // ---- Servers -------------------------------------------------------------

  double SlowdownOf(const model_server& s) const {
    if (options_.slow_part == 0) return 1;
    auto offset = static_cast<micros>(s.slow_seed % options_.slow_period);
    auto period = static_cast<uint64_t>((now_ + offset) / options_.slow_period);
    bool slow =
        NormalizedRendezvousScore(s.id, std::to_string(period ^ s.slow_seed)) <
        options_.slow_part;
    return slow ? options_.slow_factor : 1;
  }

  void ScheduleSample(micros at) {
    if (at - kStart >= options_.duration) return;
    At(at, [this, at] {
      for (auto it = servers_.begin(); it != servers_.end();) {
        double busiest = 0;
        for (int d = 0; d < kDataCentres; ++d, ++it) {
          const model_server& s = it->second;
          auto load = static_cast<double>(s.running + s.waiting.size());
          busiest = std::max(busiest, load);
          result_.mean_load += load / kDataCentres;
        }
        result_.busiest_load += busiest;
      }
      ScheduleSample(at + kSampleInterval);
    });
  }

  void OnArrival(model_server* s, const server_work& work) {
    if (IsCancelled(work)) return;
    ++result_.arrivals;
    if (hosts_[work.host]->pool.data_centre != s->data_centre)
      ++result_.arrivals_from_afar;
    if (s->running < options_.slots) return StartWork(s, work);
    if (static_cast<int>(s->waiting.size()) >= options_.queue) {
      ++result_.arrivals_rejected;
      return Reply(s, work, relay_attempt_outcome::kRefused);
    }
    s->waiting.push_back(work);
  }

  void StartWork(model_server* s, const server_work& work) {
    ++s->running;
    std::lognormal_distribution<double> spread(0, 0.35);
    auto needed = static_cast<micros>(spread(random_) * options_.work *
                                      SlowdownOf(*s) / s->speed);
    micros phase = (now_ + s->pause_offset) % options_.pause_every;
    micros until_pause = options_.pause_every - options_.pause - phase;
    if (until_pause < 0) {
      needed += options_.pause + until_pause;  // rest of the current pause
    } else if (needed > until_pause) {
      needed += options_.pause;
    }
    At(now_ + needed, [this, s, work] {
      --s->running;
      Reply(s, work, relay_attempt_outcome::kServed);
      while (s->running < options_.slots && !s->waiting.empty()) {
        server_work next = s->waiting.front();
        s->waiting.pop_front();
        if (!IsCancelled(next)) StartWork(s, next);
      }
    });
  }

  const load_model_options options_;
  std::mt19937_64 random_;
  micros now_ = kStart;
  uint64_t next_order_ = 0;
  uint64_t next_request_ = 1;
  int arrivals_ = 0;
  std::priority_queue<event> events_;
  std::shared_ptr<route_table> table_ = std::make_shared<route_table>();
  std::map<std::string, model_server> servers_;
  std::vector<std::unique_ptr<relay_state>> hosts_;
  std::map<uint64_t, std::unique_ptr<model_request>> requests_;
  // Request of each attempt that is open at its host, by host and attempt.
  std::map<std::pair<int, uint64_t>, uint64_t> open_;
  load_model_result result_;
};

}  // namespace

load_model_result RunLoadModel(const load_model_options& options) {
  return load_model(options).Run();
}

}  // namespace baobabtray
