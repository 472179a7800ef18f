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
#include <unordered_map>

#include "tray/base/clock.h"
#include "tray/base/deadline_timer.h"
#include "tray/base/log.h"
#include "tray/base/strings.h"
#include "tray/relay/merge.h"
#include "tray/relayd/relay_dump.h"
#include "tray/relayd/relay_log.h"
#include "tray/relayd/relay_routing_state.h"
#include "tray/relayd/server_prober.h"

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
  relay_request q;
  caller_request request;
  responder respond;
  uint64_t connection = 0;
  bool answered = false;
  micros scheduled_at = 0;  // 0: no timer entry
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
  impl(const settings& own, const relay_codecs& codecs, relay_metrics* counters)
      : own_(own),
        codecs_(codecs),
        counters_(*counters),
        loop_(1),
        work_(asio::make_work_guard(loop_)),
        http_(loop_),
        timers_(loop_, [this](uint64_t id, micros at) { RunTimer(id, at); }),
        prober_(loop_, &http_, &routing_.state.pool),
        early_timer_(loop_) {
    InitRelayRoutingState(&routing_, own, started_at_);
  }

  absl::Status Listen() {
    serve_options options{.listen = own_.callers,
                          .max_body_bytes = 4 << 20,
                          .read_timeout_seconds = kIdleSeconds};
    options.on_close = [this](uint64_t connection) { OnClose(connection); };
    auto callers = http_server::Start(
        loop_, options, [this](http_request r, responder respond) {
          HandleCaller(std::move(r), std::move(respond));
        });
    if (!callers.ok()) return callers.status();
    callers_ = *std::move(callers);
    auto ready = http_server::Start(
        loop_,
        {.listen = own_.relay.ready, .read_timeout_seconds = kIdleSeconds},
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
    return DumpRelay(routing_.state, routing_.table.get(), in_hand_, draining_,
                     SteadyNow());
  }

  void Apply(const std::vector<store_update>& facts) {
    ApplyFacts(&routing_, facts, SteadyNow());
    const relay_pool& pool = routing_.state.pool;
    counters_.SetServers(static_cast<int>(pool.servers_by_id.size()),
                         pool.host_count);
    if (const auto& table = routing_.table; table != nullptr) {
      counters_.SetRoutes(table->version,
                          static_cast<int>(table->routes.size()));
    }
    LogReadiness();
    prober_.Wake();
    if (routing_.table != nullptr && !early_.empty()) ServeEarly();
  }

 private:
  bool IsReady() const {
    return !draining_ && routing_.table != nullptr &&
           !routing_.state.pool.servers_by_id.empty();
  }

  void LogReadiness() {
    if (IsReady() == was_ready_) return;
    was_ready_ = IsReady();
    Log(log_level::kInfo, was_ready_ ? "ready" : "not_ready",
        {{"servers",
          std::to_string(routing_.state.pool.servers_by_id.size())}});
  }

  // ---- Callers -------------------------------------------------------------

  void HandleCaller(http_request r, responder plain) {
    last_request_ = SteadyNow();
    uint64_t connection = r.connection_id;
    responder respond = [this, plain = std::move(plain)](http_response a) {
      if (draining_) a.close = true;
      plain(std::move(a));
    };
    absl::StatusOr<caller_request> request =
        codecs_.callers.decode(std::move(r));
    if (request.ok() && routing_.table == nullptr) {
      return WaitForRoutes(*std::move(request), connection, respond);
    }
    if (!request.ok()) {
      Log(log_level::kInfo, "malformed",
          {{"reason", MessageOf(request.status())}});
      return AnswerOwn(respond, local_reply::kMalformed, 0);
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
      if (routing_.table == nullptr) {
        RefuseEarly(e.request, e.respond);
      } else {
        Relay(std::move(e.request), e.connection, std::move(e.respond));
      }
    }
  }

  void RefuseEarly(const caller_request& request, const responder& respond) {
    LogOwnAnswer(request, local_reply::kNotRun, "no routes known yet", 0);
    AnswerOwn(respond, local_reply::kNotRun, kComeBackLater);
  }

  void Relay(caller_request request, uint64_t connection, responder respond) {
    const route_config* way =
        MatchRoute(*routing_.table, request.host, request.path);
    if (way == nullptr) {
      LogOwnAnswer(request, local_reply::kNoRoute, "no route matches",
                   routing_.table->version);
      return AnswerOwn(respond, local_reply::kNoRoute, 0);
    }
    if (request.head_bytes > routing_.table->limits.max_head_bytes) {
      return AnswerOwn(respond, local_reply::kHeadTooLarge, 0);
    }
    if (request.body != nullptr &&
        request.body->size() > routing_.table->limits.max_body_bytes) {
      return AnswerOwn(respond, local_reply::kBodyTooLarge, 0);
    }
    Begin(std::move(request), way, connection, std::move(respond));
  }

  void Begin(caller_request request, const route_config* way,
             uint64_t connection, responder respond) {
    auto live = std::make_unique<live_request>();
    micros now = SteadyNow();
    micros patience = request.timeout == 0
                          ? way->time_limit
                          : std::min(request.timeout, way->time_limit);
    relay_request& q = live->q;
    q.id = ++last_id_;
    q.table = routing_.table;
    q.route = way;
    q.start = now;
    q.deadline = now + std::max<micros>(patience - kDeadlineMargin, 1);
    q.soft_deadline =
        std::min(q.deadline, now + way->target_latency -
                                 ResponseMargin(way->target_latency));
    live->request = std::move(request);
    live->respond = std::move(respond);
    live->connection = connection;
    uint64_t id = q.id;
    by_connection_.emplace(connection, id);
    requests_.emplace(id, std::move(live));
    counters_.SetInHand(++in_hand_);
    Step(id, [&](relay_request* query, relay_actions* actions) {
      StartRelay(&routing_.state, query, now, actions);
    });
    prober_.Wake();
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
      Step(id, [&](relay_request* q, relay_actions* actions) {
        OnCallerDisconnected(&routing_.state, q, SteadyNow(), actions);
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
    http_.SetMaxConnections(to, send.connections);
    relay_call r = codecs_.servers.encode(live.request, send);
    r.connect_timeout = std::min(kConnectTime, send.timeout);
    // A kept connection may close as the request crosses; that request could
    // not be sent again, since it may have run.
    r.new_connection = live.q.route->kind == request_kind::kNonIdempotent;
    bool part = live.q.route->is_sharded();
    bool extra = live.q.parts[send.part].attempts.size() > 1;
    uint64_t id = live.q.id, attempt = send.attempt;
    attempts_[attempt].extra = extra;
    attempts_[attempt].fetch = http_.Start(
        std::move(r), [this, id, attempt, part, extra](fetch_result result) {
          attempts_.erase(attempt);
          OnReply(id, attempt, extra,
                  codecs_.servers.decode(std::move(result), part));
        });
  }

  void OnReply(uint64_t id, uint64_t attempt, bool extra,
               const server_reply& reply) {
    counters_.CountAttempt(extra, reply.outcome);
    if (reply.outcome != relay_attempt_outcome::kServed) {
      auto found = requests_.find(id);
      if (found != requests_.end()) {
        const live_request& live = *found->second;
        LogAttempt(live.request, live.q, attempt, reply.outcome, SteadyNow());
      }
    }
    Step(id, [&](relay_request* q, relay_actions* actions) {
      OnRelayAttemptEnd(&routing_.state, q, attempt, reply, SteadyNow(),
                        actions);
    });
    if (reply.outcome == relay_attempt_outcome::kNotSent) prober_.Wake();
  }

  void Cancel(uint64_t attempt) {
    auto found = attempts_.find(attempt);
    if (found == attempts_.end()) return;
    counters_.CountAttempt(found->second.extra,
                           relay_attempt_outcome::kCancelled);
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
    const relay_request& q = live->q;
    counters_.CountRequest(q.route->is_sharded(), q.outcome,
                           q.finished_at - q.start);
    LogEnd(live->request, q);
    switch (q.outcome) {
      case relay_outcome::kAnswered:
      case relay_outcome::kPartial:
        live->respond(q.route->is_sharded() ? Merged(q)
                                            : codecs_.callers.encode_response(
                                                  *q.parts[0].response));
        break;
      case relay_outcome::kFailed:
        live->respond(
            codecs_.callers.encode_response(*q.parts[0].failure_response));
        break;
      case relay_outcome::kNotRun:
        AnswerOwn(live->respond, local_reply::kNotRun, ComeBack(q));
        break;
      case relay_outcome::kBroken:
        AnswerOwn(live->respond, local_reply::kBroken, 0);
        break;
      case relay_outcome::kTimedOut:
        AnswerOwn(live->respond, local_reply::kTimedOut, 0);
        break;
      case relay_outcome::kCallerDisconnected:
        break;
    }
    live->respond = nullptr;
  }

  http_response Merged(const relay_request& q) {
    merged_response merged;
    std::vector<std::string_view> bodies;
    for (const relay_part& part : q.parts) {
      if (part.response == nullptr) {
        ++merged.missing_shards;
        continue;
      }
      merged.signatures.push_back(part.response->signature);
      bodies.push_back(part.response->body);
    }
    merged.body =
        MergeTopRecords(bodies, static_cast<size_t>(q.route->top_records));
    return codecs_.callers.encode_merged(merged);
  }

  // When a refused caller should come back.
  static micros ComeBack(const relay_request& q) {
    bool none =
        std::any_of(q.parts.begin(), q.parts.end(), [](const relay_part& p) {
          return p.given_up && p.attempts.empty() &&
                 p.last_pick == pick_result::kNoServer;
        });
    return none ? kComeBackLater : kComeBackSoon;
  }

  void AnswerOwn(const responder& respond, local_reply answer,
                 micros come_back) {
    counters_.CountOwnAnswer(answer);
    if (come_back > 0) {
      come_back =
          come_back / 2 + static_cast<micros>(routing_.state.random() %
                                              static_cast<uint64_t>(come_back));
    }
    respond(codecs_.callers.encode_local_reply(answer, come_back));
  }

  // ---- Timers --------------------------------------------------------------

  void Schedule(live_request* live) {
    micros at = live->q.timer_at;
    if (at == 0) return;
    if (live->scheduled_at != 0 && live->scheduled_at <= at) return;
    live->scheduled_at = at;
    timers_.Add(at, live->q.id);
  }

  void RunTimer(uint64_t id, micros at) {
    auto found = requests_.find(id);
    if (found == requests_.end()) return;
    live_request* live = found->second.get();
    if (live->scheduled_at != at) return;
    live->scheduled_at = 0;
    if (live->q.timer_at > SteadyNow()) return Schedule(live);
    Step(id, [&](relay_request* q, relay_actions* actions) {
      OnRelayTimer(&routing_.state, q, SteadyNow(), actions);
    });
  }

  settings own_;
  relay_codecs codecs_;
  relay_metrics& counters_;
  asio::io_context loop_;
  asio::executor_work_guard<asio::io_context::executor_type> work_;
  relay_client http_;
  deadline_queue timers_;
  relay_routing_state routing_;
  server_prober prober_;
  asio::steady_timer early_timer_;
  std::vector<early_request> early_;  // came before the routes
  const micros started_at_ = SteadyNow();
  std::unique_ptr<http_server> callers_;
  std::unique_ptr<http_server> ready_;
  std::atomic<bool> draining_{false};
  bool was_ready_ = false;
  uint64_t last_id_ = 0;
  std::atomic<int> in_hand_{0};
  std::atomic<micros> last_request_{0};
  std::unordered_map<uint64_t, std::unique_ptr<live_request>> requests_;
  std::unordered_multimap<uint64_t, uint64_t> by_connection_;
  std::unordered_map<uint64_t, running_attempt> attempts_;
};

relay_worker::relay_worker(const settings& own, const relay_codecs& codecs,
                           relay_metrics* counters)
    : impl_(new impl(own, codecs, counters)) {}
relay_worker::~relay_worker() = default;

absl::Status relay_worker::Listen() { return impl_->Listen(); }
void relay_worker::Run() { impl_->Run(); }
void relay_worker::Stop() { impl_->Stop(); }
int relay_worker::in_hand() const { return impl_->in_hand(); }
micros relay_worker::last_request() const { return impl_->last_request(); }

void relay_worker::PostFacts(std::vector<store_update> facts) {
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
