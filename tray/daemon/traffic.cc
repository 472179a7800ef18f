// Traffic threads. See traffic.h.
//
// Every event of a query goes through Advance: it decides on actions and
// resolves them to addresses under the lock, then executes them without the
// lock.

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
#include "tray/http/process_limits.h"
#include "tray/http/serve.h"
#include "tray/wire/backend_wire.h"
#include "tray/wire/caller_api.h"
#include "tray/wire/peer_wire.h"
#include "tray/wire/responses.h"

namespace baobabtray {

// An attempt to be sent, with everything needed to send it.
struct traffic_worker::outgoing_attempt {
  uint64_t query = 0;
  uint64_t attempt = 0;
  attempt_kind kind = attempt_kind::kFirst;
  endpoint to;
  int connections = 1;
  bool forwarded = false;
  shard_request request;
  std::shared_ptr<const std::string> payload;
  int worker = 0;
};

namespace {

// A timer that fires later than this was delayed by a pause of the host.
constexpr micros kPauseThreshold = 50 * kMillisecond;
// Period at which waiting shards are retried, as a server may have capacity
// again without any reply.
constexpr auto kWakePeriod = std::chrono::milliseconds(10);
constexpr size_t kMaxWakesPerTick = 256;
constexpr micros kHealthTimeout = 500 * kMillisecond;
constexpr int kPeerConnections = 64;
// Time reserved for sending the response: the allowed time divided by this, up
// to kMaxReplyReserve.
constexpr micros kReplyReserveDivisor = 20;
constexpr micros kMaxReplyReserve = 5 * kMillisecond;

using finish_callback = std::function<void(const query&)>;

struct active_query {
  query q;
  std::string request_id;
  std::string service;
  std::shared_ptr<const std::string> payload;
  finish_callback finish;
  int customer = -1;
  bool answered = false;          // the response was sent
  micros timer_scheduled_at = 0;  // 0: no timer entry
};

// An attempt whose request is in flight.
struct running_attempt {
  uint64_t fetch = 0;
  attempt_kind kind = attempt_kind::kFirst;
};

}  // namespace

class traffic_worker::impl {
 public:
  impl(daemon_state* state, int index)
      : state_(*state),
        index_(index),
        loop_(1),
        work_guard_(asio::make_work_guard(loop_)),
        http_(loop_),
        claims_(&http_, state, &loop_),
        timers_(loop_, [this](uint64_t id, micros at) { RunTimer(id, at); }),
        wake_timer_(loop_),
        random_(std::random_device{}()) {}

  absl::Status Listen() {
    const settings& own = state_.local_settings;
    process_limits limits = ProcessLimits(own.memory_mb, own.max_fds);
    serve_options options{
        .listen = own.callers,
        .reuse_port = true,
        .max_connections = limits.caller_connections / own.threads + 1,
        .account = state_.account};
    options.on_fault = [this](client_fault fault) {
      state_.counters.CountClientFault(fault);
    };
    http_.SetAccount(state_.account);
    auto callers = http_server::Start(
        loop_, options, [this](http_request r, responder respond) {
          HandleCaller(std::move(r), std::move(respond));
        });
    if (!callers.ok()) return callers.status();
    callers_ = *std::move(callers);
    options.listen = state_.local_settings.peers;
    options.read_timeout_seconds = 120;
    options.max_body_bytes = 4 << 20;
    options.max_connections = limits.peer_connections;
    auto peers = http_server::Start(
        loop_, options, [this](http_request r, responder respond) {
          HandlePeer(std::move(r), std::move(respond));
        });
    if (!peers.ok()) return peers.status();
    peers_ = *std::move(peers);
    return absl::OkStatus();
  }

  void Run() {
    if (index_ == 0) ScheduleWakeTick();
    loop_.run();
  }

  void StopAccepting() {
    asio::post(loop_, [this] { callers_->StopAccepting(); });
  }

  asio::io_context& loop() { return loop_; }
  int active_queries() const { return active_queries_.load(); }
  void Stop() { loop_.stop(); }

  void Send(outgoing_attempt send) {
    http_.SetMaxConnections(send.to, send.connections);
    fetch_request r;
    r.to = send.to;
    r.path = send.forwarded ? "/peer/attempt" : "/query";
    r.headers = ToHeaders(send.request);
    if (send.forwarded) {
      r.headers.push_back(
          fmt::format("{}: {}", kPeerAuthHeader,
                      SignPeerMessage(state_.peer_secret, r.path, *send.payload,
                                      WallNowMs())));
    }
    r.body = send.payload;
    r.timeout = send.request.deadline;
    r.new_connection = !send.request.idempotent;
    r.attempt_id = fmt::format("{}-{}", state_.id_prefix, send.attempt);
    uint64_t fetch = http_.Start(
        std::move(r), [this, query = send.query, attempt = send.attempt,
                       kind = send.kind](fetch_result reply) {
          fetches_.erase(attempt);
          traffic_worker* origin = state_.workers[query % kMaxWorkers];
          std::string server(HeaderOf(reply, kServerHeader));
          attempt_result result = ParseAttemptResult(std::move(reply));
          if (!server.empty()) result.peer_server = FindServer(server);
          origin->PostResult(query, attempt, kind, std::move(result));
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
                  state_.on_health(server, std::move(reply.body));
                });
  }

  void Cancel(uint64_t attempt) {
    auto found = fetches_.find(attempt);
    if (found == fetches_.end()) return;
    state_.counters.CountAttempt(found->second.kind, attempt_end::kCancelled);
    http_.Cancel(found->second.fetch);
    fetches_.erase(found);
  }

  void OnResult(uint64_t id, uint64_t attempt, attempt_kind kind,
                attempt_result result) {
    state_.counters.CountAttempt(kind, result.end);
    Advance(id, [&](routing_state* r, query* q, micros now,
                    query_actions* actions) {
      OnAttemptEnd(r, q, attempt, std::move(result), now, actions);
    });
  }

  void OnCapacity(const waiter& w) {
    Advance(w.query, [&](routing_state* r, query* q, micros now,
                         query_actions* actions) {
      OnCapacityAvailable(r, q, w.shard_index, now, actions);
    });
  }

 private:
  // The effects of one step of a query, to be executed without the lock.
  struct step_effects {
    std::vector<outgoing_attempt> sends;
    std::vector<uint64_t> cancels;
    std::vector<waiter> wakes;
    std::vector<std::pair<int, health_read>> reconnects;  // by owning worker
  };

  int FindServer(const std::string& server) {
    std::lock_guard lock(state_.mutex);
    if (state_.routing.backends.current_view == nullptr) return -1;
    const auto& by_name =
        state_.routing.backends.current_view->topology->server_by_name;
    auto found = by_name.find(server);
    return found == by_name.end() ? -1 : found->second;
  }

  // ---- Queries -----------------------------------------------------------

  template <typename Decide>
  void Advance(uint64_t id, Decide decide) {
    auto found = queries_.find(id);
    if (found == queries_.end()) return;
    active_query* active = found->second.get();
    step_effects effects;
    {
      std::lock_guard lock(state_.mutex);
      query_actions actions;
      micros now = SteadyNow();
      decide(&state_.routing, &active->q, now, &actions);
      Resolve(*active, actions, now, &effects);
      if (actions.server_state_changed) state_.urgent_update_pending = true;
      if (active->q.finished && !active->answered) {
        RemoveActiveQuery(&state_.admission, active->customer);
      }
    }
    Execute(std::move(effects));
    if (!active->q.finished) return Schedule(active);
    if (!active->answered) Complete(active);
    if (!HasOpenAttempts(active->q)) queries_.erase(id);
  }

  // Returns the worker that owns the connections to a server. Call with the
  // lock held.
  int WorkerOf(int server) const {
    uint64_t hash = state_.routing.backends.current_view->server_hashes[server];
    return static_cast<int>(hash % state_.workers.size());
  }

  // Resolves server indexes to addresses, and freed capacity to waiters to
  // wake. Call with the lock held.
  void Resolve(const active_query& active, const query_actions& actions,
               micros now, step_effects* effects) {
    const fleet& f = state_.routing.backends;
    const service_topology& t = *f.current_view->topology;
    for (const send_action& s : actions.sends) {
      const shard_state& shard = active.q.shards[s.shard_index];
      outgoing_attempt out{.query = active.q.spec.id,
                           .attempt = s.attempt,
                           .kind = s.kind,
                           .forwarded = s.server < 0,
                           .payload = active.payload,
                           .worker = index_};
      out.request = {.service = t.services[shard.target.service].name,
                     .shard = shard.target.shard,
                     .version = active.q.version,
                     .rank = active.q.spec.priority_level,
                     .idempotent = active.q.spec.idempotent,
                     .deadline = s.timeout};
      if (out.forwarded) {
        out.to = f.hosts[s.host].peer_endpoint;
        out.connections = kPeerConnections;
      } else {
        out.to = t.servers[s.server].address;
        out.connections = ConnectionShare(f.servers[s.server]);
        out.worker = WorkerOf(s.server);
      }
      effects->sends.push_back(std::move(out));
    }
    for (const cancel_action& c : actions.cancels) {
      effects->cancels.push_back(c.attempt);
    }
    for (int server : actions.servers_with_capacity)
      WakeServerWaiters(server, now, effects);
    for (int server : actions.servers_to_reconnect) {
      effects->reconnects.push_back(
          {WorkerOf(server),
           {.server = t.servers[server].name,
            .address = t.servers[server].address,
            .connections = ConnectionShare(f.servers[server])}});
    }
  }

  // Wakes as many waiters as a server has capacity for. Call with the lock
  // held.
  void WakeServerWaiters(int server, micros now, step_effects* effects) {
    wait_queues* waiting = &state_.routing.waiting;
    if (waiting->size == 0) return;
    const fleet& f = state_.routing.backends;
    const server_state& s = f.servers[server];
    int capacity = AvailableCapacity(s.window, now);
    uint64_t service =
        f.current_view
            ->service_hashes[f.current_view->topology->servers[server].service];
    for (const version_report& v : s.versions) {
      for (int shard : v.shards) {
        while (capacity > 0) {
          std::optional<waiter> w =
              PopWaiter(waiting, ShardKey(service, shard));
          if (!w) break;
          effects->wakes.push_back(*w);
          --capacity;
        }
      }
    }
  }

  void Execute(step_effects effects) {
    for (uint64_t attempt : effects.cancels) {
      Cancel(attempt);
      if (state_.workers.size() == 1) continue;
      for (traffic_worker* w : state_.workers) {
        if (w->impl_.get() != this) w->PostCancel(attempt);
      }
    }
    for (outgoing_attempt& send : effects.sends) {
      if (send.worker == index_) {
        Send(std::move(send));
      } else {
        int worker = send.worker;
        state_.workers[worker]->PostSend(std::move(send));
      }
    }
    for (const auto& [worker, read] : effects.reconnects) {
      state_.workers[worker]->PostHealth(read);
    }
    for (const waiter& w : effects.wakes) {
      state_.workers[w.query % kMaxWorkers]->PostCapacity(w);
    }
  }

  void Launch(std::unique_ptr<active_query> active) {
    uint64_t id = active->q.spec.id;
    queries_.emplace(id, std::move(active));
    ++active_queries_;
    Advance(id, [](routing_state* r, query* q, micros now,
                   query_actions* actions) { StartQuery(r, q, now, actions); });
  }

  void Complete(active_query* answered) {
    --active_queries_;
    active_query& active = *answered;
    active.answered = true;
    const query& q = active.q;
    micros latency = SteadyNow() - q.spec.start;
    state_.counters.CountQuery(active.service, q.outcome, latency,
                               static_cast<int>(q.shards.size()), q.answered);
    log_level level = q.outcome == query_outcome::kComplete ? log_level::kDebug
                                                            : log_level::kInfo;
    if (level >= GetLogLevel()) {
      Log(level, "query",
          {{"request_id", active.request_id},
           {"service", active.service},
           {"outcome", std::string(NameOf(kQueryOutcomeNames, q.outcome))},
           {"coverage", fmt::format("{}/{}", q.answered, q.shards.size())},
           {"ms", fmt::format("{:.1f}", latency / 1000.0)}});
    }
    active.finish(q);
  }

  // ---- Timers ------------------------------------------------------------

  void Schedule(active_query* active) {
    if (active->timer_scheduled_at != 0 &&
        active->timer_scheduled_at <= active->q.timer_at) {
      return;
    }
    active->timer_scheduled_at = active->q.timer_at;
    timers_.Add(active->q.timer_at, active->q.spec.id);
  }

  void RunTimer(uint64_t id, micros at) {
    auto found = queries_.find(id);
    if (found == queries_.end()) return;
    active_query* active = found->second.get();
    if (active->timer_scheduled_at != at || active->answered) return;
    active->timer_scheduled_at = 0;
    bool paused = SteadyNow() - at > kPauseThreshold;
    Advance(id, [&](routing_state* r, query* q, micros now,
                    query_actions* actions) {
      OnQueryTimer(r, q, now, paused, actions);
    });
  }

  void ScheduleWakeTick() {
    wake_timer_.expires_after(kWakePeriod);
    wake_timer_.async_wait([this](std::error_code error) {
      if (error) return;
      WakeQueuedShards();
      ScheduleWakeTick();
    });
  }

  // Wakes one waiter of each queue. A server may become available without any
  // reply, when its back-off ends or a larger share takes effect.
  void WakeQueuedShards() {
    step_effects effects;
    {
      std::lock_guard lock(state_.mutex);
      wait_queues* waiting = &state_.routing.waiting;
      std::vector<shard_key> keys;
      for (const auto& [key, queue] : waiting->queues) {
        keys.push_back(key);
        if (keys.size() >= kMaxWakesPerTick) break;
      }
      for (shard_key key : keys) {
        if (auto w = PopWaiter(waiting, key)) effects.wakes.push_back(*w);
      }
      state_.counters.SetInFlight(state_.admission.active_queries,
                                  waiting->size);
    }
    Execute(std::move(effects));
  }

  // ---- Callers -----------------------------------------------------------

  uint64_t NextQueryId() { return ++last_query_ * kMaxWorkers + index_; }

  responder CloseWhenDraining(responder respond) {
    return [this, respond = std::move(respond)](http_response r) {
      if (state_.draining) r.close = true;
      respond(std::move(r));
    };
  }

  void HandleCaller(http_request r, responder raw_respond) {
    responder respond = CloseWhenDraining(std::move(raw_respond));
    std::string id = NewRequestId(&random_);
    if (r.path != "/v1/query" || r.method != "POST") {
      respond(RenderError(
          {.status = 404,
           .code = "not_found",
           .message =
               "unknown path or method; send queries by POST to /v1/query"},
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
    auto active = std::make_unique<active_query>();
    active->request_id = id;
    active->service = request->service;
    active->payload = request->payload;
    if (auto error = AdmitCaller(*request, active.get())) {
      respond(RenderError(*error, id));
      return;
    }
    bool claimed = !active->q.spec.idempotent && !request->key.empty();
    if (claimed) {
      RunWithClaim(std::move(active), *request, std::move(respond));
      return;
    }
    active->finish = [respond, id](const query& q) {
      respond(QueryResponse(q, id));
    };
    Launch(std::move(active));
  }

  // Fills in the query's spec and admits it, or returns the error.
  std::optional<caller_error> AdmitCaller(const query_request& request,
                                          active_query* active) {
    std::lock_guard lock(state_.mutex);
    const fleet& f = state_.routing.backends;
    if (f.current_view == nullptr) {
      return caller_error{503, "no_configuration",
                          "the host has no configuration yet"};
    }
    const service_topology& t = *f.current_view->topology;
    const service* s = FindService(t, request.service);
    if (s == nullptr) {
      return caller_error{
          404, "unknown_service",
          fmt::format("unknown service '{}'", request.service.substr(0, 64))};
    }
    micros now = SteadyNow();
    const service_policy& p = s->policy;
    query_spec& spec = active->q.spec;
    spec.id = NextQueryId();
    spec.service = static_cast<int>(s - t.services.data());
    spec.priority_level = request.rank.value_or(p.default_priority);
    spec.idempotent = request.idempotent.value_or(p.idempotent);
    spec.start = now;
    micros allowed = request.deadline.value_or(p.default_deadline);
    spec.deadline = now + allowed -
                    std::min(allowed / kReplyReserveDivisor, kMaxReplyReserve);
    if (p.soft_deadline != 0) spec.soft_deadline = now + p.soft_deadline;
    spec.min_coverage = p.min_coverage;
    active->customer = s->customer;
    admission verdict = Admit(state_.routing, state_.admission, spec.service,
                              spec.priority_level, spec.deadline - now, now);
    if (verdict == admission::kAccepted) {
      AddActiveQuery(&state_.admission, active->customer);
      return std::nullopt;
    }
    state_.counters.CountRefusal(request.service, verdict);
    return caller_error{
        503, std::string(NameOf(kAdmissionNames, verdict)),
        "refused by admission control; nothing was sent to any backend server"};
  }

  // Runs a query after claiming its idempotency key.
  void RunWithClaim(std::unique_ptr<active_query> active,
                    const query_request& request, responder respond) {
    auto shared_query =
        std::make_shared<std::unique_ptr<active_query>>(std::move(active));
    active_query& pending = **shared_query;
    std::string id = pending.request_id;
    ++active_queries_;
    claims_.Claim(
        ClaimKey(request.service, request.key), pending.q.spec.deadline,
        [this, shared_query, respond, id](claim_result claim) {
          --active_queries_;
          std::unique_ptr<active_query> claimed_query =
              std::move(*shared_query);
          if (claim.verdict != claim_verdict::kRun) {
            std::lock_guard lock(state_.mutex);
            RemoveActiveQuery(&state_.admission, claimed_query->customer);
          }
          if (claim.verdict == claim_verdict::kNotRun) {
            respond(RenderError(
                {.status = 503,
                 .code = "claim_failed",
                 .message = "the idempotency key could not be claimed "
                            "in the store; nothing was run"},
                id));
            return;
          }
          if (claim.verdict == claim_verdict::kDuplicate) {
            respond(DuplicateResponse(claim.record, id, WallNowMs()));
            return;
          }
          claimed_query->finish = [this, respond, id, claim](const query& q) {
            http_response r = QueryResponse(q, id);
            claims_.RecordOutcome(claim, q.outcome, r.body);
            respond(std::move(r));
          };
          Launch(std::move(claimed_query));
        });
  }

  // ---- Peers -------------------------------------------------------------

  void HandlePeer(http_request r, responder raw_respond) {
    responder respond = CloseWhenDraining(std::move(raw_respond));
    std::string_view auth = HeaderOf(r, "x-peer-auth");
    if (!VerifyPeerMessage(state_.peer_secret, r.path, r.body, auth,
                           WallNowMs())) {
      Log(log_level::kWarning, "peer_message_rejected",
          {{"path", r.path}, {"reason", "invalid or expired signature"}});
      respond({.status = 403, .body = "{}"});
      return;
    }
    if (r.path == "/peer/attempt") {
      HandleForwardedAttempt(r, std::move(respond));
      return;
    }
    std::string path = r.path + (r.query.empty() ? "" : "?" + r.query);
    state_.on_peer_message(
        "", path, std::move(r.body), [respond](int status, std::string body) {
          respond({.status = status, .body = std::move(body)});
        });
  }

  // Runs a shard request forwarded by a peer that has no share of the server.
  void HandleForwardedAttempt(const http_request& r, responder respond) {
    std::string attempt(HeaderOf(r, "x-attempt-id"));
    auto refuse = [&](int status, const std::string& why) {
      respond({.status = status,
               .body = "{}",
               .headers = {{std::string(kNotRunHeader), why},
                           {std::string(kAttemptIdHeader), attempt}}});
    };
    absl::StatusOr<shard_request> request = ParseShardRequest(r);
    if (!request.ok()) return refuse(400, "malformed");
    auto active = std::make_unique<active_query>();
    active->request_id = attempt;
    active->service = request->service;
    active->payload = std::make_shared<std::string>(r.body);
    {
      std::lock_guard lock(state_.mutex);
      const auto& current_view = state_.routing.backends.current_view;
      const service* s =
          current_view == nullptr
              ? nullptr
              : FindService(*current_view->topology, request->service);
      if (s == nullptr) return refuse(503, "unknown service");
      AddActiveQuery(&state_.admission, s->customer);
      active->customer = s->customer;
      query_spec& spec = active->q.spec;
      spec.service =
          static_cast<int>(s - current_view->topology->services.data());
    }
    query_spec& spec = active->q.spec;
    spec.id = NextQueryId();
    spec.priority_level = request->rank;
    spec.idempotent = request->idempotent;
    spec.start = SteadyNow();
    spec.deadline = spec.start + request->deadline;
    spec.may_forward = false;
    spec.pinned = true;
    spec.pinned_version = request->version;
    spec.pinned_shard = request->shard;
    active->finish = [respond, attempt](const query& q) {
      respond(PeerResponse(q, attempt));
    };
    Launch(std::move(active));
  }

  daemon_state& state_;
  const int index_;
  asio::io_context loop_;
  asio::executor_work_guard<asio::io_context::executor_type> work_guard_;
  fetcher http_;
  claim_runner claims_;
  std::unique_ptr<http_server> callers_;
  std::unique_ptr<http_server> peers_;
  deadline_queue timers_;
  asio::steady_timer wake_timer_;
  std::mt19937_64 random_;
  uint64_t last_query_ = 0;
  std::atomic<int> active_queries_{0};
  std::unordered_map<uint64_t, std::unique_ptr<active_query>> queries_;
  std::unordered_map<uint64_t, running_attempt> fetches_;  // by attempt
};

traffic_worker::traffic_worker(daemon_state* state, int index)
    : impl_(new impl(state, index)) {}
traffic_worker::~traffic_worker() = default;

absl::Status traffic_worker::Listen() { return impl_->Listen(); }
void traffic_worker::Run() { impl_->Run(); }
void traffic_worker::Stop() { impl_->Stop(); }
void traffic_worker::StopAccepting() { impl_->StopAccepting(); }
int traffic_worker::active_queries() const { return impl_->active_queries(); }
asio::io_context& traffic_worker::loop() { return impl_->loop(); }

void traffic_worker::PostSend(outgoing_attempt send) {
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
                   impl_->OnResult(query, attempt, kind, std::move(r));
                 });
}

void traffic_worker::PostCapacity(const waiter& w) {
  asio::post(impl_->loop(), [this, w] { impl_->OnCapacity(w); });
}

}  // namespace baobabtray
