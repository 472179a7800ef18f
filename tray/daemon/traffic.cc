// Traffic threads. See traffic.h.
//
// Every event of a query goes through Step: decide under the lock, resolve the
// actions to addresses while still under it, then perform them without it.

#include "tray/daemon/traffic.h"

#include <fmt/format.h>

#include <asio.hpp>
#include <chrono>
#include <unordered_map>

#include "tray/base/deadline_timer.h"
#include "tray/base/hash.h"
#include "tray/base/log.h"
#include "tray/base/strings.h"
#include "tray/daemon/claims.h"
#include "tray/http/fetch.h"
#include "tray/http/serve.h"
#include "tray/wire/backend_wire.h"
#include "tray/wire/caller_api.h"
#include "tray/wire/peer_wire.h"
#include "tray/wire/responses.h"

namespace baobabtray {

// One attempt on its way out, with all it needs.
struct traffic_worker::outgoing {
  uint64_t query = 0;
  uint64_t attempt = 0;
  attempt_kind kind = attempt_kind::kFirst;
  endpoint to;
  int connections = 1;
  bool hand_over = false;
  shard_request request;
  std::shared_ptr<const std::string> payload;
  int worker = 0;
};

namespace {

// A timer that fires later than this was held up by a pause of the host.
constexpr micros kPauseBound = 50 * kMillisecond;
// Waiting shards whose server may have come back are looked at this often.
constexpr auto kWaitingTick = std::chrono::milliseconds(10);
constexpr size_t kWakesPerTick = 256;
constexpr micros kHealthTimeout = 500 * kMillisecond;
constexpr int kPeerConnections = 64;
// Part of the time until the deadline that is left for the answer's way back.
constexpr micros kAnswerPart = 20;
constexpr micros kAnswerTime = 5 * kMillisecond;

using finish_callback = std::function<void(const query&)>;

struct live_query {
  query q;
  std::string request_id;
  std::string service;
  std::shared_ptr<const std::string> payload;
  finish_callback finish;
  int customer = -1;
  bool answered = false;    // its answer was given
  micros scheduled_at = 0;  // 0: no timer entry
};

// An attempt whose request is on its way.
struct running_attempt {
  uint64_t fetch = 0;
  attempt_kind kind = attempt_kind::kFirst;
};

}  // namespace

class traffic_worker::impl {
 public:
  impl(engine* shared, int index)
      : shared_(*shared),
        index_(index),
        loop_(1),
        work_(asio::make_work_guard(loop_)),
        http_(loop_),
        claims_(&http_, shared, &loop_),
        timers_(loop_, [this](uint64_t id, micros at) { RunTimer(id, at); }),
        tick_(loop_),
        random_(std::random_device{}()) {}

  absl::Status Listen() {
    serve_options options{.listen = shared_.own.callers, .reuse_port = true};
    auto callers = http_server::Start(
        loop_, options, [this](http_request r, responder respond) {
          HandleCaller(std::move(r), std::move(respond));
        });
    if (!callers.ok()) return callers.status();
    callers_ = *std::move(callers);
    options.listen = shared_.own.peers;
    options.read_timeout_seconds = 120;
    options.max_body_bytes = 4 << 20;
    auto peers = http_server::Start(
        loop_, options, [this](http_request r, responder respond) {
          HandlePeer(std::move(r), std::move(respond));
        });
    if (!peers.ok()) return peers.status();
    peers_ = *std::move(peers);
    return absl::OkStatus();
  }

  void Run() {
    if (index_ == 0) ArmTick();
    loop_.run();
  }

  void StopAccepting() {
    asio::post(loop_, [this] { callers_->StopAccepting(); });
  }

  asio::io_context& loop() { return loop_; }
  int in_hand() const { return in_hand_.load(); }
  void Stop() { loop_.stop(); }

  void Send(outgoing send) {
    http_.SetMaxConnections(send.to, send.connections);
    fetch_request r;
    r.to = send.to;
    r.path = send.hand_over ? "/peer/attempt" : "/query";
    r.headers = ToHeaders(send.request);
    if (send.hand_over) {
      r.headers.push_back(
          fmt::format("{}: {}", kPeerAuthHeader,
                      SignPeerMessage(shared_.peer_secret, r.path,
                                      *send.payload, WallNowMs())));
    }
    r.body = send.payload;
    r.timeout = send.request.deadline;
    r.new_connection = !send.request.idempotent;
    r.attempt_id = fmt::format("{}-{}", shared_.id_prefix, send.attempt);
    uint64_t fetch = http_.Start(
        std::move(r), [this, query = send.query, attempt = send.attempt,
                       kind = send.kind](fetch_result reply) {
          fetches_.erase(attempt);
          traffic_worker* home = shared_.workers[query % kMaxWorkers];
          std::string server(HeaderOf(reply, kServerHeader));
          attempt_result result = ParseAttemptResult(std::move(reply));
          if (!server.empty()) result.peer_server = PositionOf(server);
          home->PostResult(query, attempt, kind, std::move(result));
        });
    fetches_[send.attempt] = {.fetch = fetch, .kind = send.kind};
  }

  void ReadHealth(const health_read& read) {
    http_.SetMaxConnections(read.address, read.connections);
    http_.Start({.method = "GET",
                 .to = read.address,
                 .path = "/health",
                 .timeout = kHealthTimeout},
                [this, server = read.server](fetch_result reply) {
                  if (reply.fault != fetch_fault::kNone) return;
                  shared_.on_health(server, std::move(reply.body));
                });
  }

  void Cancel(uint64_t attempt) {
    auto found = fetches_.find(attempt);
    if (found == fetches_.end()) return;
    shared_.counters.CountAttempt(found->second.kind, attempt_end::kCancelled);
    http_.Cancel(found->second.fetch);
    fetches_.erase(found);
  }

  void TakeResult(uint64_t id, uint64_t attempt, attempt_kind kind,
                  attempt_result result) {
    shared_.counters.CountAttempt(kind, result.end);
    Step(id,
         [&](routing_state* r, query* q, micros now, query_actions* actions) {
           OnAttemptEnd(r, q, attempt, std::move(result), now, actions);
         });
  }

  void TakeRoom(const waiter& w) {
    Step(w.query,
         [&](routing_state* r, query* q, micros now, query_actions* actions) {
           OnCapacityAvailable(r, q, w.shard_index, now, actions);
         });
  }

 private:
  // What one step of a query leads to.
  struct effects {
    std::vector<outgoing> sends;
    std::vector<uint64_t> cancels;
    std::vector<waiter> wakes;
    std::vector<std::pair<int, health_read>> reconnects;  // with their worker
  };

  int PositionOf(const std::string& server) {
    std::lock_guard lock(shared_.mutex);
    if (shared_.r.backends.current_view == nullptr) return -1;
    const auto& by_name =
        shared_.r.backends.current_view->topology->server_by_name;
    auto found = by_name.find(server);
    return found == by_name.end() ? -1 : found->second;
  }

  // ---- Queries -----------------------------------------------------------

  template <typename Decide>
  void Step(uint64_t id, Decide decide) {
    auto found = queries_.find(id);
    if (found == queries_.end()) return;
    live_query* live = found->second.get();
    effects todo;
    {
      std::lock_guard lock(shared_.mutex);
      query_actions actions;
      micros now = SteadyNow();
      decide(&shared_.r, &live->q, now, &actions);
      Resolve(*live, actions, now, &todo);
      if (actions.server_state_changed) shared_.news = true;
      if (live->q.finished && !live->answered) {
        RemoveActiveQuery(&shared_.admission, live->customer);
      }
    }
    Perform(std::move(todo));
    if (!live->q.finished) return Schedule(live);
    if (!live->answered) Answer(live);
    if (!HasOpenAttempts(live->q)) queries_.erase(id);
  }

  // The worker that has the connections to a server. Called under the lock.
  int WorkerOf(int server) const {
    uint64_t hash = shared_.r.backends.current_view->server_hashes[server];
    return static_cast<int>(hash % shared_.workers.size());
  }

  // Turns positions into addresses, and freed room into waiters to wake. Called
  // under the lock.
  void Resolve(const live_query& live, const query_actions& actions, micros now,
               effects* todo) {
    const fleet& f = shared_.r.backends;
    const service_topology& t = *f.current_view->topology;
    for (const send_action& s : actions.sends) {
      const shard_state& shard = live.q.shards[s.shard_index];
      outgoing out{.query = live.q.spec.id,
                   .attempt = s.attempt,
                   .kind = s.kind,
                   .hand_over = s.server < 0,
                   .payload = live.payload,
                   .worker = index_};
      out.request = {.service = t.services[shard.target.service].name,
                     .shard = shard.target.shard,
                     .version = live.q.version,
                     .rank = live.q.spec.priority_level,
                     .idempotent = live.q.spec.idempotent,
                     .deadline = s.timeout};
      if (out.hand_over) {
        out.to = f.hosts[s.host].peer_endpoint;
        out.connections = kPeerConnections;
      } else {
        out.to = t.servers[s.server].address;
        out.connections = ConnectionShare(f.servers[s.server]);
        out.worker = WorkerOf(s.server);
      }
      todo->sends.push_back(std::move(out));
    }
    for (const cancel_action& c : actions.cancels) {
      todo->cancels.push_back(c.attempt);
    }
    for (int server : actions.servers_with_capacity) Wake(server, now, todo);
    for (int server : actions.servers_to_reconnect) {
      todo->reconnects.push_back(
          {WorkerOf(server),
           {.server = t.servers[server].name,
            .address = t.servers[server].address,
            .connections = ConnectionShare(f.servers[server])}});
    }
  }

  // Wakes as many waiters as a server now has room for.
  void Wake(int server, micros now, effects* todo) {
    wait_queues* waiting = &shared_.r.waiting;
    if (waiting->size == 0) return;
    const fleet& f = shared_.r.backends;
    const server_state& s = f.servers[server];
    int room = AvailableCapacity(s.window, now);
    uint64_t service =
        f.current_view
            ->service_hashes[f.current_view->topology->servers[server].service];
    for (const version_report& v : s.versions) {
      for (int shard : v.shards) {
        while (room > 0) {
          std::optional<waiter> w =
              PopWaiter(waiting, ShardKey(service, shard));
          if (!w) break;
          todo->wakes.push_back(*w);
          --room;
        }
      }
    }
  }

  void Perform(effects todo) {
    for (uint64_t attempt : todo.cancels) {
      Cancel(attempt);
      if (shared_.workers.size() == 1) continue;
      for (traffic_worker* w : shared_.workers) {
        if (w->impl_.get() != this) w->PostCancel(attempt);
      }
    }
    for (outgoing& send : todo.sends) {
      if (send.worker == index_) {
        Send(std::move(send));
      } else {
        int worker = send.worker;
        shared_.workers[worker]->PostSend(std::move(send));
      }
    }
    for (const auto& [worker, read] : todo.reconnects) {
      shared_.workers[worker]->PostHealth(read);
    }
    for (const waiter& w : todo.wakes) {
      shared_.workers[w.query % kMaxWorkers]->PostRoom(w);
    }
  }

  void Begin(std::unique_ptr<live_query> live) {
    uint64_t id = live->q.spec.id;
    queries_.emplace(id, std::move(live));
    ++in_hand_;
    Step(id, [](routing_state* r, query* q, micros now,
                query_actions* actions) { StartQuery(r, q, now, actions); });
  }

  void Answer(live_query* answered) {
    --in_hand_;
    live_query& live = *answered;
    live.answered = true;
    const query& q = live.q;
    micros latency = SteadyNow() - q.spec.start;
    shared_.counters.CountQuery(live.service, q.outcome, latency,
                                static_cast<int>(q.shards.size()), q.answered);
    log_level level = q.outcome == query_outcome::kComplete ? log_level::kDebug
                                                            : log_level::kInfo;
    if (level >= GetLogLevel()) {
      Log(level, "query",
          {{"request_id", live.request_id},
           {"service", live.service},
           {"outcome", std::string(NameOf(kQueryOutcomeNames, q.outcome))},
           {"coverage", fmt::format("{}/{}", q.answered, q.shards.size())},
           {"ms", fmt::format("{:.1f}", latency / 1000.0)}});
    }
    live.finish(q);
  }

  // ---- Timers ------------------------------------------------------------

  void Schedule(live_query* live) {
    if (live->scheduled_at != 0 && live->scheduled_at <= live->q.timer_at) {
      return;
    }
    live->scheduled_at = live->q.timer_at;
    timers_.Add(live->q.timer_at, live->q.spec.id);
  }

  void RunTimer(uint64_t id, micros at) {
    auto found = queries_.find(id);
    if (found == queries_.end()) return;
    live_query* live = found->second.get();
    if (live->scheduled_at != at || live->answered) return;
    live->scheduled_at = 0;
    bool paused = SteadyNow() - at > kPauseBound;
    Step(id,
         [&](routing_state* r, query* q, micros now, query_actions* actions) {
           OnQueryTimer(r, q, now, paused, actions);
         });
  }

  void ArmTick() {
    tick_.expires_after(kWaitingTick);
    tick_.async_wait([this](std::error_code error) {
      if (error) return;
      WakeSome();
      ArmTick();
    });
  }

  // Wakes one waiter of each queue, since a held server's back-off or a raised
  // share ends without any reply.
  void WakeSome() {
    effects todo;
    {
      std::lock_guard lock(shared_.mutex);
      wait_queues* waiting = &shared_.r.waiting;
      std::vector<shard_key> keys;
      for (const auto& [key, queue] : waiting->queues) {
        keys.push_back(key);
        if (keys.size() >= kWakesPerTick) break;
      }
      for (shard_key key : keys) {
        if (auto w = PopWaiter(waiting, key)) todo.wakes.push_back(*w);
      }
      shared_.counters.SetInFlight(shared_.admission.active_queries,
                                   waiting->size);
    }
    Perform(std::move(todo));
  }

  // ---- Callers -----------------------------------------------------------

  uint64_t NextQueryId() { return ++last_query_ * kMaxWorkers + index_; }

  responder Closing(responder respond) {
    return [this, respond = std::move(respond)](http_response r) {
      if (shared_.draining) r.close = true;
      respond(std::move(r));
    };
  }

  void HandleCaller(http_request r, responder plain) {
    responder respond = Closing(std::move(plain));
    std::string id = NewRequestId(&random_);
    if (r.path != "/v1/query" || r.method != "POST") {
      respond(RenderError({.status = 404,
                           .code = "not_found",
                           .message = "queries are POSTed to /v1/query"},
                          id));
      return;
    }
    absl::StatusOr<query_request> request = ParseQueryRequest(r.body);
    if (!request.ok()) {
      respond(RenderError({.status = 400,
                           .code = "bad_request",
                           .message = MessageOf(request.status())},
                          id));
      return;
    }
    auto live = std::make_unique<live_query>();
    live->request_id = id;
    live->service = request->service;
    live->payload = request->payload;
    if (auto error = AdmitCaller(*request, live.get())) {
      respond(RenderError(*error, id));
      return;
    }
    bool claimed = !live->q.spec.idempotent && !request->key.empty();
    if (claimed) {
      RunClaimed(std::move(live), *request, std::move(respond));
      return;
    }
    live->finish = [respond, id](const query& q) {
      respond(QueryResponse(q, id));
    };
    Begin(std::move(live));
  }

  // Fills in the query's spec and admits it, or says why not.
  std::optional<caller_error> AdmitCaller(const query_request& request,
                                          live_query* live) {
    std::lock_guard lock(shared_.mutex);
    const fleet& f = shared_.r.backends;
    if (f.current_view == nullptr) {
      return caller_error{503, "no_configuration",
                          "this host has no configuration yet"};
    }
    const service_topology& t = *f.current_view->topology;
    const service* s = FindService(t, request.service);
    if (s == nullptr) {
      return caller_error{404, "unknown_service",
                          fmt::format("there is no service '{}'",
                                      request.service.substr(0, 64))};
    }
    micros now = SteadyNow();
    const service_policy& p = s->policy;
    query_spec& spec = live->q.spec;
    spec.id = NextQueryId();
    spec.service = static_cast<int>(s - t.services.data());
    spec.priority_level = request.rank.value_or(p.default_priority);
    spec.idempotent = request.idempotent.value_or(p.idempotent);
    spec.start = now;
    micros allowed = request.deadline.value_or(p.default_deadline);
    spec.deadline =
        now + allowed - std::min(allowed / kAnswerPart, kAnswerTime);
    if (p.soft_deadline != 0) spec.soft_deadline = now + p.soft_deadline;
    spec.min_coverage = p.min_coverage;
    live->customer = s->customer;
    admission verdict = Admit(shared_.r, shared_.admission, spec.service,
                              spec.priority_level, spec.deadline - now, now);
    if (verdict == admission::kAccepted) {
      AddActiveQuery(&shared_.admission, live->customer);
      return std::nullopt;
    }
    shared_.counters.CountRefusal(request.service, verdict);
    return caller_error{503, std::string(NameOf(kAdmissionNames, verdict)),
                        "refused before any backend server was asked"};
  }

  // Runs a query whose key must be claimed first.
  void RunClaimed(std::unique_ptr<live_query> live,
                  const query_request& request, responder respond) {
    auto shared_live =
        std::make_shared<std::unique_ptr<live_query>>(std::move(live));
    live_query& l = **shared_live;
    std::string id = l.request_id;
    ++in_hand_;
    claims_.Claim(
        ClaimKey(request.service, request.key), l.q.spec.deadline,
        [this, shared_live, respond, id](claimed_key claim) {
          --in_hand_;
          std::unique_ptr<live_query> mine = std::move(*shared_live);
          if (claim.verdict != claim_verdict::kRun) {
            std::lock_guard lock(shared_.mutex);
            RemoveActiveQuery(&shared_.admission, mine->customer);
          }
          if (claim.verdict == claim_verdict::kNotRun) {
            respond(RenderError({.status = 503,
                                 .code = "claim_failed",
                                 .message = "the key could not be claimed in "
                                            "the store"},
                                id));
            return;
          }
          if (claim.verdict == claim_verdict::kDuplicate) {
            respond(DuplicateResponse(claim.record, id, WallNowMs()));
            return;
          }
          mine->finish = [this, respond, id, claim](const query& q) {
            http_response r = QueryResponse(q, id);
            claims_.Settle(claim, q.outcome, r.body);
            respond(std::move(r));
          };
          Begin(std::move(mine));
        });
  }

  // ---- Peers -------------------------------------------------------------

  void HandlePeer(http_request r, responder plain) {
    responder respond = Closing(std::move(plain));
    std::string_view auth = HeaderOf(r, "x-peer-auth");
    if (!VerifyPeerMessage(shared_.peer_secret, r.path, r.body, auth,
                           WallNowMs())) {
      Log(log_level::kWarning, "peer_refused",
          {{"path", r.path}, {"reason", "bad signature"}});
      respond({.status = 403, .body = "{}"});
      return;
    }
    if (r.path == "/peer/attempt") {
      HandleHandOver(r, std::move(respond));
      return;
    }
    std::string path = r.path + (r.query.empty() ? "" : "?" + r.query);
    shared_.on_peer_message(
        "", path, std::move(r.body), [respond](int status, std::string body) {
          respond({.status = status, .body = std::move(body)});
        });
  }

  // A shard request that a peer without a share hands to this host.
  void HandleHandOver(const http_request& r, responder respond) {
    std::string attempt(HeaderOf(r, "x-attempt-id"));
    auto refuse = [&](int status, const std::string& why) {
      respond({.status = status,
               .body = "{}",
               .headers = {{std::string(kNotRunHeader), why},
                           {std::string(kAttemptIdHeader), attempt}}});
    };
    absl::StatusOr<shard_request> request = ParseShardRequest(r);
    if (!request.ok()) return refuse(400, "malformed");
    auto live = std::make_unique<live_query>();
    live->request_id = attempt;
    live->service = request->service;
    live->payload = std::make_shared<std::string>(r.body);
    {
      std::lock_guard lock(shared_.mutex);
      const auto& in_force = shared_.r.backends.current_view;
      const service* s = in_force == nullptr ? nullptr
                                             : FindService(*in_force->topology,
                                                           request->service);
      if (s == nullptr) return refuse(503, "unknown service");
      AddActiveQuery(&shared_.admission, s->customer);
      live->customer = s->customer;
      query_spec& spec = live->q.spec;
      spec.service = static_cast<int>(s - in_force->topology->services.data());
    }
    query_spec& spec = live->q.spec;
    spec.id = NextQueryId();
    spec.priority_level = request->rank;
    spec.idempotent = request->idempotent;
    spec.start = SteadyNow();
    spec.deadline = spec.start + request->deadline;
    spec.may_forward = false;
    spec.pinned = true;
    spec.pinned_version = request->version;
    spec.pinned_shard = request->shard;
    live->finish = [respond, attempt](const query& q) {
      respond(PeerResponse(q, attempt));
    };
    Begin(std::move(live));
  }

  engine& shared_;
  const int index_;
  asio::io_context loop_;
  asio::executor_work_guard<asio::io_context::executor_type> work_;
  fetcher http_;
  claim_runner claims_;
  std::unique_ptr<http_server> callers_;
  std::unique_ptr<http_server> peers_;
  deadline_queue timers_;
  asio::steady_timer tick_;
  std::mt19937_64 random_;
  uint64_t last_query_ = 0;
  std::atomic<int> in_hand_{0};
  std::unordered_map<uint64_t, std::unique_ptr<live_query>> queries_;
  std::unordered_map<uint64_t, running_attempt> fetches_;  // by attempt
};

traffic_worker::traffic_worker(engine* shared, int index)
    : impl_(new impl(shared, index)) {}
traffic_worker::~traffic_worker() = default;

absl::Status traffic_worker::Listen() { return impl_->Listen(); }
void traffic_worker::Run() { impl_->Run(); }
void traffic_worker::Stop() { impl_->Stop(); }
void traffic_worker::StopAccepting() { impl_->StopAccepting(); }
int traffic_worker::in_hand() const { return impl_->in_hand(); }
asio::io_context& traffic_worker::loop() { return impl_->loop(); }

void traffic_worker::PostSend(outgoing send) {
  asio::post(impl_->loop(), [this, s = std::move(send)]() mutable {
    impl_->Send(std::move(s));
  });
}

void traffic_worker::PostHealth(const health_read& read) {
  asio::post(impl_->loop(), [this, read] { impl_->ReadHealth(read); });
}

void traffic_worker::PostCancel(uint64_t attempt) {
  asio::post(impl_->loop(), [this, attempt] { impl_->Cancel(attempt); });
}

void traffic_worker::PostResult(uint64_t query, uint64_t attempt,
                                attempt_kind kind, attempt_result result) {
  asio::dispatch(impl_->loop(),
                 [this, query, attempt, kind, r = std::move(result)]() mutable {
                   impl_->TakeResult(query, attempt, kind, std::move(r));
                 });
}

void traffic_worker::PostRoom(const waiter& w) {
  asio::post(impl_->loop(), [this, w] { impl_->TakeRoom(w); });
}

}  // namespace baobabtray
