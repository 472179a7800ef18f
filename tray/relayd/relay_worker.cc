// The traffic thread of a relaying host. See relay_worker.h.
//
// Every event of a request goes through Step: decide, perform the actions, then
// answer if that ended the request.

#include "tray/relayd/relay_worker.h"

#include <fmt/format.h>

#include <algorithm>
#include <asio.hpp>
#include <atomic>
#include <chrono>
#include <queue>
#include <random>
#include <set>
#include <unordered_map>

#include "tray/base/alarm.h"
#include "tray/base/clock.h"
#include "tray/base/log.h"
#include "tray/base/strings.h"
#include "tray/relay/merge.h"
#include "tray/relay/warm.h"
#include "tray/relayd/reach.h"
#include "tray/relayd/relay_dump.h"

namespace baobabtray {
namespace {

// A connection that is not made by then is given up as not sent: three times
// the longest way between regions, and a server's handshake.
constexpr micros kConnectTime = 250 * kMillisecond;
// When a refused caller should come back. Another host or server will mostly
// do, so soon; spread, so that callers do not return together.
constexpr micros kComeBackSoon = 60 * kMillisecond;
// A service without servers, or a host without routes, takes longer to mend.
constexpr micros kComeBackLater = 300 * kMillisecond;
// How long after its start a host lets requests wait for the routes: some tens
// of the store's answers. And how many.
constexpr micros kRoutesTime = 300 * kMillisecond;
constexpr size_t kMaxEarly = 500;
// Idle callers' connections are kept longer than callers reuse them.
constexpr int kIdleSeconds = 120;
// Of the caller's patience, kept for the answer's way back.
constexpr micros kDeadlineMargin = 3 * kMillisecond;

struct live_request {
  relay_query q;
  caller_request request;
  responder respond;
  uint64_t connection = 0;
  bool answered = false;
  micros scheduled_at = 0;  // 0: no timer entry
};

// A timer entry; stale if the request has another scheduled_at by then.
struct timer_entry {
  micros at = 0;
  uint64_t request = 0;
  bool operator>(const timer_entry& other) const { return at > other.at; }
};

// A request that came before the routes were known.
struct early_request {
  caller_request request;
  uint64_t connection = 0;
  responder respond;
};

struct running_attempt {
  uint64_t fetch = 0;
  bool extra = false;
};

}  // namespace

class relay_worker::impl {
 public:
  impl(const settings& own, const relay_ports& ports, relay_metrics* counters)
      : own_(own),
        ports_(ports),
        counters_(*counters),
        loop_(1),
        work_(asio::make_work_guard(loop_)),
        http_(loop_),
        alarm_(loop_, [this] { RunTimers(); }),
        reach_(loop_, &http_, &state_.pool),
        early_timer_(loop_) {
    state_.random.seed(std::random_device{}());
    relay_pool& p = state_.pool;
    p.host = own.name;
    p.data_centre = own.data_centre;
    p.region = own.region;
    for (const region_member& at : own.relay.places) {
      p.region_of[at.data_centre] = at.region;
    }
    p.extra = {.ratio = own.relay.extra_ratio,
               .window = own.relay.extra_window};
    p.extra_floor = own.relay.extra_floor;
    p.leave_time = own.relay.leave;
    p.started_at = started_at_;
    SetHosts(&p, 1, 0);
  }

  absl::Status Listen() {
    serve_options options{.listen = own_.callers,
                          .max_body = 4 << 20,
                          .message_seconds = kIdleSeconds};
    options.on_close = [this](uint64_t connection) { OnClose(connection); };
    auto callers = http_server::Start(
        loop_, options, [this](http_request r, responder respond) {
          HandleCaller(std::move(r), std::move(respond));
        });
    if (!callers.ok()) return callers.status();
    callers_ = *std::move(callers);
    auto ready = http_server::Start(
        loop_, {.listen = own_.relay.ready, .message_seconds = kIdleSeconds},
        [this](const http_request&, const responder& respond) {
          respond({.status = IsReady() ? 200 : 503, .body = "{}"});
        });
    if (!ready.ok()) return ready.status();
    ready_ = *std::move(ready);
    return absl::OkStatus();
  }

  void Run() { loop_.run(); }
  void Stop() { loop_.stop(); }
  asio::io_context& loop() { return loop_; }
  int in_hand() const { return in_hand_; }
  micros last_request() const { return last_request_; }

  void StartDraining() { draining_ = true; }
  void StopAccepting() { callers_->StopAccepting(); }

  std::string Dump() {
    return DumpRelay(state_, table_.get(), in_hand_, draining_, SteadyNow());
  }

  void Apply(const std::vector<store_fact>& facts) {
    micros now = SteadyNow();
    SweepServers(&state_.pool, now);
    for (const store_fact& fact : facts) {
      std::visit([&](const auto& f) { Learn(f, now); }, fact);
    }
    counters_.SetServers(static_cast<int>(state_.pool.by_id.size()),
                         state_.pool.hosts);
    LogReadiness();
    reach_.Wake();
    if (table_ != nullptr && !early_.empty()) ServeEarly();
  }

 private:
  // ---- What the store says -------------------------------------------------

  void Learn(const no_fact&, micros) {}

  void Learn(const routes_fact& f, micros now) {
    if (table_ != nullptr && f.table->version <= table_->version) return;
    table_ = f.table;
    SetTerms(&state_.pool, table_->services);
    NoteShards(&state_.pool, *table_, now);
    counters_.SetRoutes(table_->version,
                        static_cast<int>(table_->routes.size()));
    Log(log_level::kInfo, "routes_in_force",
        {{"version", std::to_string(table_->version)},
         {"routes", std::to_string(table_->routes.size())}});
  }

  void Learn(const server_fact& f, micros now) {
    if (f.server.leaving) {
      Log(log_level::kInfo, "server_leaving",
          {{"server", f.server.id}, {"service", f.server.service}});
    } else {
      Log(log_level::kDebug, "server_registered",
          {{"server", f.server.id}, {"service", f.server.service}});
    }
    PutServer(&state_.pool, f.server, now);
  }

  void Learn(const server_gone_fact& f, micros now) {
    Log(log_level::kInfo, "server_gone", {{"server", f.id}});
    RemoveServer(&state_.pool, f.id, now);
  }

  void Learn(const out_of_service_fact& f, micros) {
    Log(log_level::kInfo, f.out ? "out_of_service" : "back_in_service",
        {{"data_centre", f.data_centre}});
    if (f.out) {
      state_.pool.out_of_service.insert(f.data_centre);
    } else {
      state_.pool.out_of_service.erase(f.data_centre);
    }
  }

  void Learn(const host_fact& f, micros) {
    if (f.live) {
      hosts_.insert(f.host.name);
    } else {
      hosts_.erase(f.host.name);
    }
    CountHosts();
  }

  void Learn(const fleet_size_fact& f, micros) {
    recorded_hosts_ = f.hosts;
    CountHosts();
  }

  void CountHosts() {
    size_t others = hosts_.size() - hosts_.count(own_.name);
    SetHosts(&state_.pool, static_cast<int>(others) + 1, recorded_hosts_);
  }

  bool IsReady() const {
    return !draining_ && table_ != nullptr && !state_.pool.by_id.empty();
  }

  void LogReadiness() {
    if (IsReady() == was_ready_) return;
    was_ready_ = IsReady();
    Log(log_level::kInfo, was_ready_ ? "ready" : "not_ready",
        {{"servers", std::to_string(state_.pool.by_id.size())}});
  }

  // ---- Callers -------------------------------------------------------------

  void HandleCaller(http_request r, responder plain) {
    last_request_ = SteadyNow();
    uint64_t connection = r.connection;
    responder respond = [this, plain = std::move(plain)](http_response a) {
      if (draining_) a.close = true;
      plain(std::move(a));
    };
    absl::StatusOr<caller_request> request =
        ports_.callers.decode(std::move(r));
    if (request.ok() && table_ == nullptr) {
      return WaitForRoutes(*std::move(request), connection, respond);
    }
    if (!request.ok()) {
      Log(log_level::kInfo, "malformed",
          {{"reason", MessageOf(request.status())}});
      return AnswerOwn(respond, own_answer::kMalformed, 0);
    }
    Relay(*std::move(request), connection, std::move(respond));
  }

  // A host that has just started learns the routes within milliseconds if the
  // store answers, so requests wait for that a moment before they are refused.
  void WaitForRoutes(caller_request request, uint64_t connection,
                     responder respond) {
    bool wait =
        SteadyNow() - started_at_ < kRoutesTime && early_.size() < kMaxEarly;
    if (!wait) return RefuseEarly(request, respond);
    early_.push_back({std::move(request), connection, std::move(respond)});
    if (early_.size() > 1) return;
    early_timer_.expires_after(std::chrono::microseconds(kRoutesTime));
    early_timer_.async_wait([this](std::error_code error) {
      if (!error) ServeEarly();
    });
  }

  // Relays the requests that waited, or refuses them if there are no routes.
  void ServeEarly() {
    std::vector<early_request> early = std::move(early_);
    early_.clear();
    early_timer_.cancel();
    for (early_request& e : early) {
      if (table_ == nullptr) {
        RefuseEarly(e.request, e.respond);
      } else {
        Relay(std::move(e.request), e.connection, std::move(e.respond));
      }
    }
  }

  void RefuseEarly(const caller_request& request, const responder& respond) {
    LogOwn(request, own_answer::kNotRun, "no routes known yet");
    AnswerOwn(respond, own_answer::kNotRun, kComeBackLater);
  }

  void Relay(caller_request request, uint64_t connection, responder respond) {
    const route* way = MatchRoute(*table_, request.host, request.path);
    if (way == nullptr) {
      LogOwn(request, own_answer::kNoRoute, "no route matches");
      return AnswerOwn(respond, own_answer::kNoRoute, 0);
    }
    if (request.head_bytes > table_->bounds.max_head) {
      return AnswerOwn(respond, own_answer::kHeadTooLarge, 0);
    }
    if (request.body != nullptr &&
        request.body->size() > table_->bounds.max_body) {
      return AnswerOwn(respond, own_answer::kBodyTooLarge, 0);
    }
    Begin(std::move(request), way, connection, std::move(respond));
  }

  void Begin(caller_request request, const route* way, uint64_t connection,
             responder respond) {
    auto live = std::make_unique<live_request>();
    micros now = SteadyNow();
    micros patience = request.patience == 0
                          ? way->time_limit
                          : std::min(request.patience, way->time_limit);
    relay_query& q = live->q;
    q.id = ++last_id_;
    q.table = table_;
    q.way = way;
    q.start = now;
    q.deadline = now + std::max<micros>(patience - kDeadlineMargin, 1);
    q.aim_at = std::min(q.deadline, now + way->aim - AnswerMargin(way->aim));
    live->request = std::move(request);
    live->respond = std::move(respond);
    live->connection = connection;
    uint64_t id = q.id;
    by_connection_.emplace(connection, id);
    requests_.emplace(id, std::move(live));
    counters_.SetInHand(++in_hand_);
    Step(id, [&](relay_query* query, relay_actions* actions) {
      StartRelay(&state_, query, now, actions);
    });
    reach_.Wake();
  }

  // The caller's connection has closed: its requests are given up.
  void OnClose(uint64_t connection) {
    std::erase_if(early_, [&](const early_request& e) {
      return e.connection == connection;
    });
    auto [first, last] = by_connection_.equal_range(connection);
    std::vector<uint64_t> ids;
    for (auto it = first; it != last; ++it) ids.push_back(it->second);
    by_connection_.erase(first, last);
    for (uint64_t id : ids) {
      Step(id, [&](relay_query* q, relay_actions* actions) {
        OnCallerGone(&state_, q, SteadyNow(), actions);
      });
    }
  }

  // ---- Requests ------------------------------------------------------------

  template <typename Decision>
  void Step(uint64_t id, Decision decide) {
    auto found = requests_.find(id);
    if (found == requests_.end()) return;
    live_request* live = found->second.get();
    relay_actions actions;
    decide(&live->q, &actions);
    for (uint64_t attempt : actions.cancels) Cancel(attempt);
    for (relay_send& send : actions.sends) Send(*live, std::move(send));
    if (live->q.finished && !live->answered) Answer(live);
    if (live->q.finished && !HasOpenAttempts(live->q)) {
      requests_.erase(id);
      return;
    }
    Schedule(live);
  }

  void Send(const live_request& live, relay_send send) {
    const endpoint& to = send.server->info.address;
    http_.SetConnections(to, send.connections);
    relay_call r = ports_.servers.encode(live.request, send);
    r.connect_timeout = std::min(kConnectTime, send.timeout);
    // A kept connection may close as the request crosses; that request could
    // not be sent again, since it may have run.
    r.fresh = live.q.way->kind == request_kind::kNonIdempotent;
    bool part = live.q.way->gathers();
    bool extra = live.q.parts[send.part].attempts.size() > 1;
    uint64_t id = live.q.id, attempt = send.attempt;
    attempts_[attempt].extra = extra;
    attempts_[attempt].fetch = http_.Start(
        std::move(r), [this, id, attempt, part, extra](fetch_result result) {
          attempts_.erase(attempt);
          OnReply(id, attempt, extra,
                  ports_.servers.decode(std::move(result), part));
        });
  }

  void OnReply(uint64_t id, uint64_t attempt, bool extra,
               const server_reply& reply) {
    counters_.CountAttempt(extra, reply.kind);
    if (reply.kind != reply_kind::kServed) LogAttempt(id, attempt, reply.kind);
    Step(id, [&](relay_query* q, relay_actions* actions) {
      OnRelayReply(&state_, q, attempt, reply, SteadyNow(), actions);
    });
    if (reply.kind == reply_kind::kNotSent) reach_.Wake();
  }

  void Cancel(uint64_t attempt) {
    auto found = attempts_.find(attempt);
    if (found == attempts_.end()) return;
    counters_.CountAttempt(found->second.extra, reply_kind::kCancelled);
    http_.Cancel(found->second.fetch);
    attempts_.erase(found);
  }

  void Answer(live_request* live) {
    live->answered = true;
    counters_.SetInHand(--in_hand_);
    counters_.SetConnectionsOpened(http_.connections_opened());
    auto [first, last] = by_connection_.equal_range(live->connection);
    for (auto it = first; it != last; ++it) {
      if (it->second != live->q.id) continue;
      by_connection_.erase(it);
      break;
    }
    const relay_query& q = live->q;
    counters_.CountRequest(q.way->gathers(), q.outcome,
                           q.finished_at - q.start);
    LogEnd(*live);
    switch (q.outcome) {
      case relay_outcome::kAnswered:
      case relay_outcome::kPartial:
        live->respond(q.way->gathers()
                          ? Merged(q)
                          : ports_.callers.encode_answer(*q.parts[0].answer));
        break;
      case relay_outcome::kFailed:
        live->respond(ports_.callers.encode_answer(*q.parts[0].failure));
        break;
      case relay_outcome::kNotRun:
        AnswerOwn(live->respond, own_answer::kNotRun, ComeBack(q));
        break;
      case relay_outcome::kBroken:
        AnswerOwn(live->respond, own_answer::kBroken, 0);
        break;
      case relay_outcome::kTimedOut:
        AnswerOwn(live->respond, own_answer::kTimedOut, 0);
        break;
      case relay_outcome::kCallerGone:
        break;
    }
    live->respond = nullptr;
  }

  http_response Merged(const relay_query& q) {
    merged_answer merged;
    std::vector<std::string_view> bodies;
    for (const relay_part& part : q.parts) {
      if (part.answer == nullptr) {
        ++merged.missing;
        continue;
      }
      merged.signatures.push_back(part.answer->signature);
      bodies.push_back(part.answer->body);
    }
    merged.body =
        MergeGreatest(bodies, static_cast<size_t>(q.way->top_records));
    return ports_.callers.encode_merged(merged);
  }

  // When a refused caller should come back.
  static micros ComeBack(const relay_query& q) {
    bool none =
        std::any_of(q.parts.begin(), q.parts.end(), [](const relay_part& p) {
          return p.given_up && p.attempts.empty() &&
                 p.problem == pick_problem::kNoServer;
        });
    return none ? kComeBackLater : kComeBackSoon;
  }

  void AnswerOwn(const responder& respond, own_answer answer,
                 micros come_back) {
    counters_.CountOwnAnswer(answer);
    if (come_back > 0) {
      come_back =
          come_back / 2 + static_cast<micros>(state_.random() %
                                              static_cast<uint64_t>(come_back));
    }
    respond(ports_.callers.encode_own(answer, come_back));
  }

  // ---- Timers --------------------------------------------------------------

  void Schedule(live_request* live) {
    micros at = live->q.timer_at;
    if (at == 0) return;
    if (live->scheduled_at != 0 && live->scheduled_at <= at) return;
    live->scheduled_at = at;
    timers_.push({at, live->q.id});
    alarm_.ArmAt(timers_.top().at);
  }

  void RunTimers() {
    micros now = SteadyNow();
    while (!timers_.empty() && timers_.top().at <= now) {
      timer_entry entry = timers_.top();
      timers_.pop();
      auto found = requests_.find(entry.request);
      if (found == requests_.end()) continue;
      live_request* live = found->second.get();
      if (live->scheduled_at != entry.at) continue;
      live->scheduled_at = 0;
      if (live->q.timer_at > now) {
        Schedule(live);
        continue;
      }
      Step(entry.request, [&](relay_query* q, relay_actions* actions) {
        OnRelayTimer(&state_, q, SteadyNow(), actions);
      });
    }
    if (!timers_.empty()) alarm_.ArmAt(timers_.top().at);
  }

  // ---- Logs ----------------------------------------------------------------

  void LogOwn(const caller_request& request, own_answer answer,
              std::string_view reason) {
    Log(log_level::kInfo, "request",
        {{"request", request.id},
         {"outcome", std::string(NameOf(kOwnAnswerNames, answer))},
         {"reason", std::string(reason)},
         {"host", request.host},
         {"target", request.target.substr(0, 100)},
         {"routes", std::to_string(table_ == nullptr ? 0 : table_->version)}});
  }

  void LogAttempt(uint64_t id, uint64_t attempt, reply_kind end) {
    if (GetLogLevel() > log_level::kInfo) return;
    auto found = requests_.find(id);
    if (found == requests_.end() || found->second->q.finished) return;
    const live_request& live = *found->second;
    for (const relay_part& part : live.q.parts) {
      for (const relay_attempt& a : part.attempts) {
        if (a.id != attempt) continue;
        Log(log_level::kInfo, "attempt_failed",
            {{"request", live.request.id},
             {"server", a.server->info.id},
             {"service", part.service},
             {"end", std::string(NameOf(kReplyKindNames, end))},
             {"ms", Millis(SteadyNow() - a.sent_at)},
             {"try", std::to_string(part.attempts.size())}});
      }
    }
  }

  static std::string Millis(micros time) {
    return fmt::format("{:.1f}", static_cast<double>(time) / kMillisecond);
  }

  // What the parts without an answer were waiting for.
  static std::string MissingOf(const relay_query& q) {
    std::string missing;
    for (const relay_part& part : q.parts) {
      if (part.answer != nullptr) continue;
      missing += fmt::format("{}{}:", missing.empty() ? "" : " ", part.service);
      for (const relay_attempt& a : part.attempts) {
        missing += fmt::format(
            "{}{}/{}", &a == &part.attempts[0] ? "" : ",", a.server->info.id,
            a.open ? "open" : NameOf(kReplyKindNames, a.end));
      }
      if (part.attempts.empty()) {
        missing +=
            part.problem == pick_problem::kBusy ? "all busy" : "no server";
      }
    }
    return missing;
  }

  // A request that was served whole and in time is worth a line at debug only.
  void LogEnd(const live_request& live) {
    const relay_query& q = live.q;
    bool usual = q.outcome == relay_outcome::kAnswered &&
                 q.finished_at <= q.start + q.way->aim;
    log_level level = usual ? log_level::kDebug : log_level::kInfo;
    if (q.outcome == relay_outcome::kNotRun ||
        q.outcome == relay_outcome::kBroken ||
        q.outcome == relay_outcome::kTimedOut) {
      level = log_level::kWarning;
    }
    if (level < GetLogLevel()) return;
    Log(level, "request",
        {{"request", live.request.id},
         {"route", q.way->name},
         {"routes", std::to_string(q.table->version)},
         {"outcome", std::string(NameOf(kRelayOutcomeNames, q.outcome))},
         {"parts", fmt::format("{}/{}", q.answered, q.parts.size())},
         {"ms", Millis(q.finished_at - q.start)},
         {"patience_ms", Millis(q.deadline - q.start)},
         {"missing", MissingOf(q)}});
  }

  settings own_;
  relay_ports ports_;
  relay_metrics& counters_;
  asio::io_context loop_;
  asio::executor_work_guard<asio::io_context::executor_type> work_;
  relay_client http_;
  alarm_clock alarm_;
  relay_state state_;
  reach_keeper reach_;
  asio::steady_timer early_timer_;
  std::vector<early_request> early_;  // came before the routes
  const micros started_at_ = SteadyNow();
  std::unique_ptr<http_server> callers_;
  std::unique_ptr<http_server> ready_;
  std::shared_ptr<const route_table> table_;
  std::set<std::string> hosts_;  // live ones
  int recorded_hosts_ = 0;
  std::atomic<bool> draining_{false};
  bool was_ready_ = false;
  uint64_t last_id_ = 0;
  std::atomic<int> in_hand_{0};
  std::atomic<micros> last_request_{0};
  std::unordered_map<uint64_t, std::unique_ptr<live_request>> requests_;
  std::unordered_multimap<uint64_t, uint64_t> by_connection_;
  std::unordered_map<uint64_t, running_attempt> attempts_;
  std::priority_queue<timer_entry, std::vector<timer_entry>,
                      std::greater<timer_entry>>
      timers_;
};

relay_worker::relay_worker(const settings& own, const relay_ports& ports,
                           relay_metrics* counters)
    : impl_(new impl(own, ports, counters)) {}
relay_worker::~relay_worker() = default;

absl::Status relay_worker::Listen() { return impl_->Listen(); }
void relay_worker::Run() { impl_->Run(); }
void relay_worker::Stop() { impl_->Stop(); }
int relay_worker::in_hand() const { return impl_->in_hand(); }
micros relay_worker::last_request() const { return impl_->last_request(); }

void relay_worker::PostFacts(std::vector<store_fact> facts) {
  asio::post(impl_->loop(),
             [this, facts = std::move(facts)] { impl_->Apply(facts); });
}

void relay_worker::StartDraining() {
  asio::post(impl_->loop(), [this] { impl_->StartDraining(); });
}

void relay_worker::StopAccepting() {
  asio::post(impl_->loop(), [this] { impl_->StopAccepting(); });
}

void relay_worker::PostDump(std::function<void(std::string)> done) {
  asio::post(impl_->loop(),
             [this, done = std::move(done)] { done(impl_->Dump()); });
}

}  // namespace baobabtray
