// The traffic thread of a relaying host.
//
// Every event of a request is processed by HandleEvent: the state machine of
// tray/relay/relay.h decides, then the actions that it returned are performed,
// then the caller is answered if the request has finished.

#include "tray/relayd/relay_worker.h"

#include <fmt/format.h>

#include <algorithm>
#include <asio.hpp>
#include <atomic>
#include <chrono>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <utility>

#include "tray/base/clock.h"
#include "tray/base/deadline_timer.h"
#include "tray/base/log.h"
#include "tray/base/strings.h"
#include "tray/http/process_limits.h"
#include "tray/relay/customer_access.h"
#include "tray/relay/merge.h"
#include "tray/relay/retry.h"
#include "tray/relay/retry_after.h"
#include "tray/relay/rollouts.h"
#include "tray/relayd/quota_agent.h"
#include "tray/relayd/relay_dump.h"
#include "tray/relayd/relay_log.h"
#include "tray/relayd/relay_routing_state.h"
#include "tray/relayd/server_prober.h"

namespace baobabtray {
namespace {

// Time for making a connection to a server. Once it has expired the request
// counts as not sent. It covers three times the longest latency between
// regions, and the server's handshake.
constexpr micros kConnectTimeout = 250 * kMillisecond;
// Time within which a request is sent once a server is picked, with the wait
// for a connection and a new one's first delay. The request states the time
// that was left when the server was picked.
constexpr micros kMaxSendDelay = 400 * kMillisecond;
// For this long after its start, several tens of the store's response times, a
// host defers requests until it has received the routes. Later requests, and
// those beyond kMaxDeferredRequests, are refused.
constexpr micros kMaxRoutesWait = 300 * kMillisecond;
constexpr size_t kMaxDeferredRequests = 500;
// Idle connections are kept for longer than callers reuse them.
constexpr int kIdleConnectionSeconds = 120;
constexpr size_t kMaxReadyBodyBytes = 4 << 10;
// A draining host with less time left rejects requests that may take longer.
constexpr micros kMinTimeToStop = 1500 * kMillisecond;
// Another host can serve the request.
constexpr micros kStoppedRetryAfter = 60 * kMillisecond;
// Part of the caller's deadline reserved for sending the answer.
constexpr micros kDeadlineMargin = 3 * kMillisecond;

// A customer's limit has been applied to a request.
struct quota_admission {
  std::string customer;  // "": has not
  std::optional<quota_credit> credit;
};

struct active_request {
  relay_request query;
  quota_admission admission;
  caller_request request;
  responder respond;
  uint64_t connection = 0;
  bool answered = false;
  micros scheduled_at = 0;  // of the entry in timers_; 0: none
};

// A request that arrived before the routes.
struct deferred_request {
  caller_request request;
  micros arrived_at = 0;
  uint64_t connection = 0;
  responder respond;
};

// A request that waits for a lender's credit.
struct credit_wait {
  caller_request request;
  micros arrived_at = 0;
  uint64_t connection = 0;
  responder respond;
  std::string customer;
};

struct running_attempt {
  uint64_t call = 0;  // id given by relay_client::Start
  bool extra = false;
};

}  // namespace

class relay_worker::impl {
 public:
  impl(const settings& own, const relay_codecs& codecs, relay_metrics* counters)
      : own_(own),
        codecs_(codecs),
        counters_(*counters),
        limits_(ProcessLimits(own.memory_mb, own.max_fds)),
        account_(std::make_shared<byte_account>(limits_.account_bytes)),
        control_account_(
            std::make_shared<byte_account>(limits_.control_account_bytes)),
        loop_(1),
        work_guard_(asio::make_work_guard(loop_)),
        http_(loop_),
        timers_(loop_, [this](uint64_t id, micros at) { RunTimer(id, at); }),
        prober_(loop_, &http_, &routing_.relay.pool),
        deferred_timer_(loop_),
        quota_{.bounds = QuotaBoundsOf(own.relay),
               .region = RegionIndex(own.relay, own.data_centre),
               .regions = RegionCount(own.relay)} {
    InitRelayRoutingState(&routing_, own, started_at_);
    http_.SetAccount(account_);
  }

  absl::Status Listen() {
    serve_options options{.listen = own_.callers,
                          .max_body_bytes = 4 << 20,
                          .read_timeout_seconds = kIdleConnectionSeconds,
                          .max_connections = limits_.caller_connections,
                          .account = account_};
    options.on_fault = [this](client_fault fault) {
      counters_.CountClientFault(fault);
    };
    options.on_close = [this](uint64_t connection) { OnClose(connection); };
    auto callers = http_server::Start(
        loop_, options, [this](http_request r, responder respond) {
          HandleRequest(std::move(r), std::move(respond));
        });
    if (!callers.ok()) return callers.status();
    callers_ = *std::move(callers);
    auto ready = http_server::Start(
        loop_,
        {.listen = own_.relay.ready,
         .max_body_bytes = kMaxReadyBodyBytes,
         .read_timeout_seconds = kIdleConnectionSeconds,
         .max_connections = limits_.other_connections,
         .account = control_account_,
         .on_fault = options.on_fault},
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
  int unanswered() const { return callers_->unanswered(); }
  const byte_account_ref& account() const { return account_; }
  const byte_account_ref& control_account() const { return control_account_; }
  micros last_request_time() const { return last_request_time_; }

  void SetLenderQuestions(std::function<void(lender_question)> ask) {
    ask_lender_ = std::move(ask);
  }

  void HandleQuotaReply(uint64_t question, const lender_reply& reply) {
    quota_actions actions;
    OnQuotaAnswer(&quota_, question, reply, SteadyNow(), &actions);
    PerformQuotaActions(actions);
  }

  void StartDraining(micros answer_by) {
    draining_ = true;
    answer_by_ = answer_by;
    std::vector<uint64_t> ids;
    for (const auto& [id, active] : requests_) ids.push_back(id);
    for (uint64_t id : ids) {
      HandleEvent(id, [this](relay_request* q, relay_actions* actions) {
        LimitDeadline(q);
        OnRelayTimer(&routing_.relay, q, SteadyNow(), actions);
      });
    }
  }
  void StopAccepting() { callers_->StopAccepting(); }

  std::vector<rollout_report> ReportRollouts() {
    return baobabtray::ReportRollouts(&routing_.relay.pool, SteadyNow());
  }
  void ApplyDirective(const rollout_directive& directive, micros made_at) {
    ApplyRolloutDirective(&routing_.relay.pool, directive, made_at);
  }

  std::string Dump() {
    return DumpRelayState(routing_.relay, routing_.table.get(), in_flight_,
                          draining_, SteadyNow());
  }

  void SetKnownAsOf(micros as_of) { known_as_of_ = as_of; }

  void ApplyStoreUpdates(const std::vector<store_update>& updates) {
    ApplyUpdates(&routing_, updates, SteadyNow());
    const relay_pool& pool = routing_.relay.pool;
    counters_.SetServers(static_cast<int>(pool.servers_by_id.size()),
                         pool.host_count);
    if (const auto& table = routing_.table; table != nullptr) {
      counters_.SetRoutes(table->version,
                          static_cast<int>(table->routes.size()));
      counters_.SetCustomers(static_cast<int>(table->customers.size()),
                             static_cast<int>(table->customer_errors.size()));
    }
    LogReadiness();
    prober_.Schedule();
    if (routing_.table != nullptr && !deferred_.empty()) RelayDeferred();
  }

 private:
  bool IsReady() const {
    return !draining_ && routing_.table != nullptr &&
           !routing_.relay.pool.servers_by_id.empty();
  }

  void LogReadiness() {
    if (IsReady() == was_ready_) return;
    was_ready_ = IsReady();
    Log(log_level::kInfo, was_ready_ ? "ready" : "not_ready",
        {{"servers",
          std::to_string(routing_.relay.pool.servers_by_id.size())}});
  }

  // ---- Callers -------------------------------------------------------------

  void HandleRequest(http_request r, responder inner) {
    last_request_time_ = SteadyNow();
    uint64_t connection = r.connection_id;
    responder respond = [this, inner = std::move(inner)](http_response a) {
      if (draining_) a.close = true;
      inner(std::move(a));
    };
    absl::StatusOr<caller_request> request =
        codecs_.callers.decode(std::move(r));
    if (request.ok() && routing_.table == nullptr) {
      return DeferUntilRoutes(*std::move(request), connection, respond);
    }
    if (!request.ok()) {
      Log(log_level::kInfo, "malformed",
          {{"reason", MessageOf(request.status())}});
      return AnswerLocally(respond, local_reply::kMalformed, 0);
    }
    Relay(*std::move(request), SteadyNow(), connection, std::move(respond));
  }

  // Applies the customer's limit. Returns whether the request may be relayed
  // now; otherwise it has been refused, or waits for credit.
  bool AdmitWithinLimit(caller_request* request, micros arrived_at,
                        const customer_config& customer, uint64_t connection,
                        responder* respond, quota_admission* admission) {
    if (customer.max_rate <= 0 || quota_.bounds.window == 0) return true;
    if (admission->customer == customer.name) return true;
    GiveBackCredit(admission);
    uint64_t id = ++last_wait_id_;
    quota_resolution resolution;
    quota_actions actions;
    quota_result result = AdmitOnCredit(&quota_, customer.name, id, SteadyNow(),
                                        &resolution, &actions);
    counters_.CountQuotaResult(result);
    if (result == quota_result::kWaiting) {
      waits_.emplace(id, credit_wait{.request = std::move(*request),
                                     .arrived_at = arrived_at,
                                     .connection = connection,
                                     .respond = std::move(*respond),
                                     .customer = customer.name});
      PerformQuotaActions(actions);
      return false;
    }
    if (result == quota_result::kFallback) {
      admission->customer = customer.name;
      return true;
    }
    RefuseOverLimit(*request, *respond, resolution);
    return false;
  }

  void RefuseOverLimit(const caller_request& request, const responder& respond,
                       const quota_resolution& resolution) {
    int64_t version = routing_.table == nullptr ? 0 : routing_.table->version;
    if (resolution.result == quota_result::kUnreachable) {
      LogLocalReply(request, local_reply::kNotRun,
                    "no lender of the customer's limit answers", version);
      return AnswerLocally(respond, local_reply::kNotRun, kLongRetryAfter);
    }
    LogLocalReply(
        request, local_reply::kOverQuota,
        fmt::format("customer {} is over its limit, room in {} ms",
                    request.customer, resolution.room_in / kMillisecond),
        version);
    // The jitter of AnswerLocally may halve it, which must not bring the caller
    // back before there is room.
    AnswerLocally(respond, local_reply::kOverQuota, 2 * resolution.room_in);
  }

  void PerformQuotaActions(const quota_actions& actions) {
    for (const lender_question& question : actions.questions) {
      ask_lender_(question);
    }
    for (const quota_resolution& resolution : actions.resolved) {
      auto found = waits_.find(resolution.id);
      if (found == waits_.end()) continue;
      credit_wait wait = std::move(found->second);
      waits_.erase(found);
      counters_.CountQuotaResult(resolution.result);
      quota_admission admission{.customer = wait.customer,
                                .credit = resolution.credit};
      if (resolution.result != quota_result::kAdmitted &&
          resolution.result != quota_result::kFallback) {
        RefuseOverLimit(wait.request, wait.respond, resolution);
        continue;
      }
      // Routes and customers may have changed during the wait.
      Relay(std::move(wait.request), wait.arrived_at, wait.connection,
            std::move(wait.respond), &admission);
      GiveBackCredit(&admission);
    }
  }

  // The request that was admitted has not run and will not.
  void GiveBackCredit(quota_admission* admission) {
    if (!admission->credit) return;
    ReturnCredit(&quota_, admission->customer, *admission->credit);
    admission->credit.reset();
  }

  // A host that has just started receives the routes within milliseconds if the
  // store answers, so requests are deferred for kMaxRoutesWait before they are
  // refused.
  void DeferUntilRoutes(caller_request request, uint64_t connection,
                        responder respond) {
    bool may_defer = SteadyNow() - started_at_ < kMaxRoutesWait &&
                     deferred_.size() < kMaxDeferredRequests;
    if (!may_defer) return RefuseWithoutRoutes(request, respond);
    deferred_.push_back(
        {std::move(request), SteadyNow(), connection, std::move(respond)});
    if (deferred_.size() > 1) return;
    deferred_timer_.expires_after(std::chrono::microseconds(kMaxRoutesWait));
    deferred_timer_.async_wait([this](std::error_code error) {
      if (!error) RelayDeferred();
    });
  }

  // Relays the deferred requests, or refuses them if there are no routes yet.
  void RelayDeferred() {
    std::vector<deferred_request> deferred = std::move(deferred_);
    deferred_.clear();
    deferred_timer_.cancel();
    for (deferred_request& e : deferred) {
      if (routing_.table == nullptr) {
        RefuseWithoutRoutes(e.request, e.respond);
      } else {
        Relay(std::move(e.request), e.arrived_at, e.connection,
              std::move(e.respond));
      }
    }
  }

  void RefuseWithoutRoutes(const caller_request& request,
                           const responder& respond) {
    LogLocalReply(request, local_reply::kNotRun, "no routes received yet", 0);
    AnswerLocally(respond, local_reply::kNotRun, kLongRetryAfter);
  }

  // `admission`: of a request that has waited for credit. Taken if the request
  // starts.
  void Relay(caller_request request, micros arrived_at, uint64_t connection,
             responder respond, quota_admission* admission = nullptr) {
    const route_config* matched =
        MatchRoute(*routing_.table, request.host, request.path);
    if (matched == nullptr) {
      LogLocalReply(request, local_reply::kNoRoute, "no route matches",
                    routing_.table->version);
      return AnswerLocally(respond, local_reply::kNoRoute, 0);
    }
    access_decision access = CheckAccess({.table = *routing_.table,
                                          .route = *matched,
                                          .key = request.key,
                                          .age = SteadyNow() - known_as_of_,
                                          .max_age = own_.relay.max_key_age});
    if (access.result != access_result::kGranted)
      return RefuseAccess(request, respond, access.result);
    const customer_config* customer = access.customer;
    if (routing_.table->has_customers) request.identity_headers.clear();
    if (customer != nullptr) request.customer = customer->name;
    if (request.head_bytes > routing_.table->limits.max_head_bytes) {
      return AnswerLocally(respond, local_reply::kHeadTooLarge, 0);
    }
    if (request.body != nullptr &&
        request.body->size() > routing_.table->limits.max_body_bytes) {
      return AnswerLocally(respond, local_reply::kBodyTooLarge, 0);
    }
    quota_admission none;
    if (admission == nullptr) admission = &none;
    if (customer != nullptr &&
        !AdmitWithinLimit(&request, arrived_at, *customer, connection, &respond,
                          admission)) {
      return;
    }
    StartRequest(std::move(request), arrived_at, matched, customer, connection,
                 std::move(respond), admission);
  }

  void RefuseAccess(const caller_request& request, const responder& respond,
                    access_result result) {
    bool stale = result == access_result::kStaleKeys;
    local_reply answer =
        stale ? local_reply::kNotRun : local_reply::kUnknownKey;
    if (stale) counters_.CountStaleKeys();
    // Callers without a valid key are not to use up the log's rate limit.
    if (access_log_.Allow(SteadyNow())) {
      LogLocalReply(request, answer, NameOf(kAccessResultNames, result),
                    routing_.table->version);
    }
    AnswerLocally(respond, answer, stale ? kLongRetryAfter : 0);
  }

  // All time limits count from the request's arrival.
  void StartRequest(caller_request request, micros arrived_at,
                    const route_config* matched,
                    const customer_config* customer, uint64_t connection,
                    responder respond, quota_admission* admission) {
    micros now = SteadyNow();
    micros time_budget = request.timeout == 0
                             ? matched->time_limit
                             : std::min(request.timeout, matched->time_limit);
    if (draining_ &&
        answer_by_ - arrived_at < std::min(time_budget, kMinTimeToStop)) {
      LogLocalReply(request, local_reply::kNotRun, "the host is stopping",
                    routing_.table->version);
      return AnswerLocally(respond, local_reply::kNotRun, kStoppedRetryAfter);
    }
    auto active = std::make_unique<active_request>();
    relay_request& q = active->query;
    q.id = ++last_id_;
    q.table = routing_.table;
    q.route = matched;
    q.customer = customer;
    q.start = arrived_at;
    q.deadline =
        arrived_at + std::max<micros>(time_budget - kDeadlineMargin, 1);
    bool new_connection = served_connections_.insert(connection).second;
    q.soft_deadline =
        std::min(q.deadline,
                 arrived_at + matched->target_latency -
                     ResponseMargin(matched->target_latency, new_connection));
    if (draining_) LimitDeadline(&q);
    active->admission = std::exchange(*admission, {});
    active->request = std::move(request);
    active->respond = std::move(respond);
    active->connection = connection;
    uint64_t id = q.id;
    by_connection_.emplace(connection, id);
    requests_.emplace(id, std::move(active));
    counters_.SetInFlight(++in_flight_);
    HandleEvent(id, [&](relay_request* query, relay_actions* actions) {
      StartRelay(&routing_.relay, query, now, actions);
    });
    prober_.Schedule();
  }

  // A draining host answers all requests before it stops.
  void LimitDeadline(relay_request* q) const {
    q->deadline = std::min(q->deadline, answer_by_);
    q->soft_deadline = std::min(q->soft_deadline, answer_by_);
  }

  // Cancels the requests of a caller that has closed its connection.
  void OnClose(uint64_t connection) {
    served_connections_.erase(connection);
    std::erase_if(deferred_, [&](const deferred_request& e) {
      return e.connection == connection;
    });
    std::erase_if(waits_, [&](const auto& entry) {
      if (entry.second.connection != connection) return false;
      AbandonWait(&quota_, entry.second.customer, entry.first);
      return true;
    });
    auto [first, last] = by_connection_.equal_range(connection);
    std::vector<uint64_t> ids;
    for (auto it = first; it != last; ++it) ids.push_back(it->second);
    by_connection_.erase(first, last);
    for (uint64_t id : ids) {
      HandleEvent(id, [&](relay_request* q, relay_actions* actions) {
        OnCallerDisconnected(&routing_.relay, q, SteadyNow(), actions);
      });
    }
  }

  // ---- Requests ------------------------------------------------------------

  template <typename Decision>
  void HandleEvent(uint64_t id, Decision decide) {
    auto found = requests_.find(id);
    if (found == requests_.end()) return;
    active_request* active = found->second.get();
    relay_actions actions;
    decide(&active->query, &actions);
    for (uint64_t attempt : actions.cancels) Cancel(attempt);
    for (const auto& [event, server] : actions.server_events) {
      counters_.CountServerEvent(event);
      LogServerEvent(event, *server, SteadyNow());
    }
    for (relay_send& send : actions.sends) Send(*active, std::move(send));
    if (active->query.finished && !active->answered) SendAnswer(active);
    if (active->query.finished && !HasOpenAttempts(active->query)) {
      requests_.erase(id);
      return;
    }
    Schedule(active);
  }

  void Send(const active_request& active, relay_send send) {
    const endpoint& to = send.server->info.address;
    counters_.CountChoice(send.rank);
    http_.SetMaxConnections(to, send.connections);
    relay_call r = codecs_.servers.encode(active.request, send);
    r.connect_timeout = std::min(kConnectTimeout, send.timeout);
    r.send_within = kMaxSendDelay;
    // The server may be removed while the request waits for a connection.
    r.may_send = [this, server = send.server] {
      return MayStillSend(routing_.relay.pool, *server, SteadyNow());
    };
    // The server may close an idle connection while the request is on its way.
    // A non-idempotent request may then have run and could not be sent again.
    r.new_connection = active.query.route->kind == request_kind::kNonIdempotent;
    bool part = active.query.route->is_sharded();
    bool extra = active.query.parts[send.part].attempts.size() > 1;
    uint64_t id = active.query.id, attempt = send.attempt;
    attempts_[attempt].extra = extra;
    attempts_[attempt].call = http_.Start(
        std::move(r), [this, id, attempt, part, extra](fetch_result result) {
          attempts_.erase(attempt);
          OnReply(id, attempt, extra,
                  codecs_.servers.decode(std::move(result), part));
        });
  }

  void OnReply(uint64_t id, uint64_t attempt, bool extra,
               const server_reply& reply) {
    counters_.CountAttempt(extra, reply.outcome);
    if (reply.load && reply.load->slowdown)
      counters_.CountSlowdown(*reply.load->slowdown);
    if (reply.over_account) counters_.CountClientFault(client_fault::kNoMemory);
    if (reply.outcome != relay_attempt_outcome::kServed) {
      auto found = requests_.find(id);
      if (found != requests_.end()) {
        const active_request& active = *found->second;
        LogAttempt(active.request, active.query, attempt, reply.outcome,
                   SteadyNow());
      }
    }
    HandleEvent(id, [&](relay_request* q, relay_actions* actions) {
      OnRelayAttemptEnd(&routing_.relay, q, attempt, reply, SteadyNow(),
                        actions);
    });
    if (reply.outcome == relay_attempt_outcome::kNotSent) prober_.Schedule();
  }

  void Cancel(uint64_t attempt) {
    auto found = attempts_.find(attempt);
    if (found == attempts_.end()) return;
    counters_.CountAttempt(found->second.extra,
                           relay_attempt_outcome::kCancelled);
    http_.Cancel(found->second.call);
    attempts_.erase(found);
  }

  void SendAnswer(active_request* active) {
    active->answered = true;
    counters_.SetInFlight(--in_flight_);
    counters_.SetConnectionsOpened(http_.connections_opened());
    auto [first, last] = by_connection_.equal_range(active->connection);
    for (auto it = first; it != last; ++it) {
      if (it->second != active->query.id) continue;
      by_connection_.erase(it);
      break;
    }
    const relay_request& q = active->query;
    counters_.CountRequest(q.route->is_sharded(), q.outcome,
                           q.finished_at - q.start);
    LogEnd(active->request, q);
    switch (q.outcome) {
      case relay_outcome::kAnswered:
      case relay_outcome::kPartial:
        active->respond(q.route->is_sharded() ? EncodeMerged(q)
                                              : codecs_.callers.encode_response(
                                                    *q.parts[0].response));
        break;
      case relay_outcome::kFailed:
        active->respond(
            codecs_.callers.encode_response(*q.parts[0].failure_response));
        break;
      case relay_outcome::kNotRun:
        GiveBackCredit(&active->admission);
        AnswerLocally(active->respond, local_reply::kNotRun, RetryAfter(q));
        break;
      case relay_outcome::kBroken:
        AnswerLocally(active->respond, local_reply::kBroken, 0);
        break;
      case relay_outcome::kTimedOut:
        AnswerLocally(active->respond, local_reply::kTimedOut, 0);
        break;
      case relay_outcome::kCallerDisconnected:
        break;
    }
    active->respond = nullptr;
  }

  http_response EncodeMerged(const relay_request& q) {
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

  void AnswerLocally(const responder& respond, local_reply answer,
                     micros retry_after) {
    counters_.CountLocalReply(answer);
    if (retry_after > 0) {
      retry_after = retry_after / 2 +
                    static_cast<micros>(routing_.relay.random() %
                                        static_cast<uint64_t>(retry_after));
    }
    respond(codecs_.callers.encode_local_reply(answer, retry_after));
  }

  // ---- Timers --------------------------------------------------------------

  void Schedule(active_request* active) {
    micros at = active->query.timer_at;
    if (at == 0) return;
    if (active->scheduled_at != 0 && active->scheduled_at <= at) return;
    active->scheduled_at = at;
    timers_.Add(at, active->query.id);
  }

  void RunTimer(uint64_t id, micros at) {
    auto found = requests_.find(id);
    if (found == requests_.end()) return;
    active_request* active = found->second.get();
    if (active->scheduled_at != at) return;
    active->scheduled_at = 0;
    if (active->query.timer_at > SteadyNow()) return Schedule(active);
    HandleEvent(id, [&](relay_request* q, relay_actions* actions) {
      OnRelayTimer(&routing_.relay, q, SteadyNow(), actions);
    });
  }

  settings own_;
  relay_codecs codecs_;
  relay_metrics& counters_;
  const process_limits limits_;
  byte_account_ref account_;  // for callers
  // For readiness checks, peers and administration, which a crowd of callers
  // must not shut out.
  byte_account_ref control_account_;
  asio::io_context loop_;
  asio::executor_work_guard<asio::io_context::executor_type> work_guard_;
  relay_client http_;
  deadline_queue timers_;
  relay_routing_state routing_;
  // All changes of the store made before are in routing_; 0: none.
  micros known_as_of_ = 0;
  log_throttle access_log_;
  server_prober prober_;
  asio::steady_timer deferred_timer_;
  std::vector<deferred_request> deferred_;
  quota_borrower quota_;
  std::function<void(lender_question)> ask_lender_;
  std::unordered_map<uint64_t, credit_wait> waits_;  // by id at quota_
  uint64_t last_wait_id_ = 0;
  const micros started_at_ = SteadyNow();
  std::unique_ptr<http_server> callers_;
  std::unique_ptr<http_server> ready_;
  std::atomic<bool> draining_{false};
  micros answer_by_ = 0;  // while draining
  bool was_ready_ = false;
  uint64_t last_id_ = 0;
  int in_flight_ = 0;
  std::atomic<micros> last_request_time_{0};
  // Until answered and without open attempts, by query id.
  std::unordered_map<uint64_t, std::unique_ptr<active_request>> requests_;
  // Query ids of the unanswered requests of each caller's connection.
  std::unordered_multimap<uint64_t, uint64_t> by_connection_;
  // Open connections of callers that have sent a request.
  std::unordered_set<uint64_t> served_connections_;
  std::unordered_map<uint64_t, running_attempt> attempts_;  // by attempt id
};

relay_worker::relay_worker(const settings& own, const relay_codecs& codecs,
                           relay_metrics* counters)
    : impl_(new impl(own, codecs, counters)) {}
relay_worker::~relay_worker() = default;

absl::Status relay_worker::Listen() { return impl_->Listen(); }
void relay_worker::Run() { impl_->Run(); }
void relay_worker::Stop() { impl_->Stop(); }
int relay_worker::unanswered() const { return impl_->unanswered(); }
micros relay_worker::last_request_time() const {
  return impl_->last_request_time();
}
const byte_account_ref& relay_worker::account() const {
  return impl_->account();
}

const byte_account_ref& relay_worker::control_account() const {
  return impl_->control_account();
}

void relay_worker::PostUpdates(std::vector<store_update> updates) {
  asio::post(impl_->loop(), [this, updates = std::move(updates)] {
    impl_->ApplyStoreUpdates(updates);
  });
}

void relay_worker::PostKnownAsOf(micros as_of) {
  asio::post(impl_->loop(), [this, as_of] { impl_->SetKnownAsOf(as_of); });
}

void relay_worker::SetLenderQuestions(
    std::function<void(lender_question)> ask) {
  impl_->SetLenderQuestions(std::move(ask));
}

void relay_worker::PostQuotaReply(uint64_t question, lender_reply reply) {
  asio::post(impl_->loop(), [this, question, reply] {
    impl_->HandleQuotaReply(question, reply);
  });
}

void relay_worker::StartDraining(micros answer_by) {
  asio::post(impl_->loop(),
             [this, answer_by] { impl_->StartDraining(answer_by); });
}

void relay_worker::StopAccepting() {
  asio::post(impl_->loop(), [this] { impl_->StopAccepting(); });
}

void relay_worker::PostRolloutReports(
    std::function<void(std::vector<rollout_report>)> done) {
  asio::post(impl_->loop(),
             [this, done = std::move(done)] { done(impl_->ReportRollouts()); });
}

void relay_worker::PostRolloutDirective(const rollout_directive& directive,
                                        micros made_at) {
  asio::post(impl_->loop(), [this, directive, made_at] {
    impl_->ApplyDirective(directive, made_at);
  });
}

void relay_worker::PostDump(std::function<void(std::string)> done) {
  asio::post(impl_->loop(),
             [this, done = std::move(done)] { done(impl_->Dump()); });
}

}  // namespace baobabtray
