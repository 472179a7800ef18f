// Control thread of a relaying host: the store, signals, the admin interface,
// and the order of startup and shutdown.
//
// Shutdown: readiness checks fail at once, and answers ask callers to close
// their connections. The load balancer sends requests until it notices, so the
// host keeps serving for at least kMinDrainTime and until it has been idle for
// kIdleTime, and stops accepting connections kFinishTime before the end of its
// grace period, at which it would be killed. All requests are answered before
// then, on open connections too, and the host exits once the answers are
// written.

#include "tray/relayd/relay_host.h"

#include <asio.hpp>
#include <chrono>
#include <csignal>
#include <nlohmann/json.hpp>
#include <thread>

#include "tray/base/clock.h"
#include "tray/base/log.h"
#include "tray/base/strings.h"
#include "tray/http/process_limits.h"
#include "tray/http/serve.h"
#include "tray/relayd/quota_agent.h"
#include "tray/relayd/quota_wire.h"
#include "tray/relayd/rollout_agent.h"
#include "tray/relayd/store_watcher.h"

namespace baobabtray {
namespace {

// The load balancer checks readiness every second and notices within two
// checks.
constexpr micros kMinDrainTime = 2500 * kMillisecond;
constexpr micros kIdleTime = 400 * kMillisecond;
// Part of the grace period reserved for the requests in flight, during which no
// connection is accepted.
constexpr micros kFinishTime = 1500 * kMillisecond;
// Part of the grace period reserved for the exit of the process.
constexpr micros kExitMargin = 200 * kMillisecond;
constexpr micros kDrainPollInterval = 50 * kMillisecond;

class relay_host {
 public:
  explicit relay_host(relay_host_options options)
      : options_(std::move(options)),
        loop_(1),
        http_(loop_),
        worker_(options_.host_settings, options_.codecs, &counters_),
        watcher_(loop_,
                 options_.open_store(
                     &http_, options_.host_settings.store,
                     [this](std::string_view call, store_status end) {
                       counters_.CountStoreCall(call, end);
                     }),
                 &http_,
                 {.name = options_.host_settings.name,
                  .data_centre = options_.host_settings.data_centre,
                  .peer_address = options_.host_settings.peers},
                 std::min({options_.host_settings.relay.change_limit,
                           options_.host_settings.relay.leave_timeout,
                           options_.host_settings.relay.max_key_age}),
                 [this](std::vector<store_update> updates) {
                   quota_.ApplyUpdates(updates);
                   rollouts_.Apply(updates);
                   worker_.PostUpdates(std::move(updates));
                 }),
        quota_(loop_, &http_, &counters_,
               {.own = options_.host_settings,
                .entry =
                    [this] {
                      return host_entry{
                          .since = watcher_.entry_since(),
                          .valid_until = watcher_.entry_valid_until(),
                          .view_as_of = watcher_.as_of()};
                    },
                .reply =
                    [this](uint64_t question, lender_reply reply) {
                      worker_.PostQuotaReply(question, reply);
                    }}),
        rollouts_(loop_,
                  options_.open_store(
                      &http_, options_.host_settings.store,
                      [this](std::string_view call, store_status end) {
                        counters_.CountStoreCall(call, end);
                      }),
                  &http_,
                  {.name = options_.host_settings.name,
                   .data_centre = options_.host_settings.data_centre,
                   .peer_address = options_.host_settings.peers},
                  {.share = options_.host_settings.relay.rollout_share,
                   .slack = static_cast<double>(
                       options_.host_settings.relay.rollout_slack)},
                  RolloutConnections(), &counters_),
        stop_signals_(loop_, SIGTERM, SIGINT),
        reload_signals_(loop_, SIGHUP) {
    watcher_.LimitAge(options_.host_settings.relay.max_key_age);
    watcher_.NotifyKnown([this](micros as_of) {
      worker_.PostKnownAsOf(as_of);
      counters_.SetStoreEra(watcher_.era());
    });
  }

  absl::Status Listen() {
    const settings& own = options_.host_settings;
    process_limits limits = ProcessLimits(own.memory_mb, own.max_fds);
    auto count = [this](client_fault fault) {
      counters_.CountClientFault(fault);
    };
    auto admin = http_server::Start(
        loop_,
        {.listen = own.admin,
         .max_connections = limits.other_connections,
         .account = worker_.control_account(),
         .on_fault = count},
        [this](const http_request& r, const responder& respond) {
          HandleAdmin(r, respond);
        });
    if (!admin.ok()) return admin.status();
    admin_ = *std::move(admin);
    auto peers = http_server::Start(
        loop_,
        {.listen = own.peers,
         .max_connections = limits.peer_connections,
         .account = worker_.control_account(),
         .on_fault = count},
        [this](const http_request& r, const responder& respond) {
          if (r.path == kQuotaPath) return quota_.HandleQuestion(r, respond);
          if (r.method == "POST") return rollouts_.HandleReport(r, respond);
          watcher_.HandleChangeRequest(r, respond);
        });
    if (!peers.ok()) return peers.status();
    peers_ = *std::move(peers);
    worker_.SetLenderQuestions([this](lender_question question) {
      asio::post(loop_, [this, question = std::move(question)] {
        quota_.Ask(question);
      });
    });
    return worker_.Listen();
  }

  void Run() {
    AwaitStopSignal();
    AwaitReloadSignal();
    if (options_.host_settings.relay.quota_window > 0) {
      watcher_.ListBeforeEntry();
    }
    watcher_.Start();
    quota_.Start();
    std::thread traffic([this] { worker_.Run(); });
    loop_.run();
    worker_.Stop();
    traffic.join();
  }

 private:
  rollout_agent::connections RolloutConnections() {
    return {.collect =
                [this](auto done) {
                  worker_.PostRolloutReports(
                      [this, done](std::vector<rollout_report> reports) {
                        asio::post(loop_, [done, reports = std::move(reports)] {
                          done(reports);
                        });
                      });
                },
            .direct =
                [this](const rollout_directive& directive, micros made_at) {
                  worker_.PostRolloutDirective(directive, made_at);
                },
            .in_contact = [this] { return watcher_.in_contact(); }};
  }

  void HandleAdmin(const http_request& r, const responder& respond) {
    if (r.path == "/metrics") {
      counters_.SetClientBytes(worker_.account()->used());
      return respond(
          {.body = counters_.Render(), .content_type = "text/plain"});
    }
    if (r.path == "/state") {
      return worker_.PostDump(
          [respond](std::string dump) { respond({.body = std::move(dump)}); });
    }
    if (r.path == "/store") {
      // Names of hosts are keys of the store, which may hold any characters.
      nlohmann::json state = {
          {"revision", watcher_.revision()},
          {"era", watcher_.era()},
          {"keys", watcher_.keys()},
          {"in_contact", watcher_.in_contact()},
          {"age_ms", (SteadyNow() - watcher_.as_of()) / kMillisecond},
          {"hub", watcher_.hub()}};
      return respond(
          {.body = state.dump(-1, ' ', false,
                              nlohmann::json::error_handler_t::replace)});
    }
    respond({.status = 404,
             .body = R"({"error":"try /metrics, /state or /store"})"});
  }

  // Further signals have no effect, so that requests in flight are finished.
  void AwaitStopSignal() {
    stop_signals_.async_wait([this](std::error_code error, int) {
      if (error) return;
      if (stopping_at_ == 0) StartDraining();
      AwaitStopSignal();
    });
  }

  void AwaitReloadSignal() {
    reload_signals_.async_wait([this](std::error_code error, int) {
      if (error) return;
      Reload();
      AwaitReloadSignal();
    });
  }

  // Applies the log level and the log budget. All other settings take effect at
  // a restart.
  void Reload() {
    absl::StatusOr<settings> next = options_.reload();
    if (!next.ok()) {
      Log(log_level::kWarning, "settings_rejected",
          {{"reason", MessageOf(next.status()).substr(0, 300)}});
      return;
    }
    SetLogLevel(next->level);
    SetLogRateLimit(next->log_lines_per_s);
    Log(log_level::kInfo, "settings_reloaded",
        {{"log_level", std::string(NameOf(kLogLevelNames, next->level))}});
  }

  void StartDraining() {
    stopping_at_ = SteadyNow();
    Log(log_level::kInfo, "draining",
        {{"in_hand", std::to_string(worker_.unanswered())}});
    // Answers take some time to leave the process.
    worker_.StartDraining(stopping_at_ +
                          options_.host_settings.relay.shutdown_grace -
                          2 * kExitMargin);
    quota_.StopLending();
    rollouts_.Resign();
    watcher_.Deregister();
    PollDrain();
  }

  void PollDrain() {
    micros now = SteadyNow();
    micros elapsed = now - stopping_at_;
    micros grace = options_.host_settings.relay.shutdown_grace;
    bool idle = worker_.unanswered() == 0;
    bool idle_long_enough =
        idle && now - worker_.last_request_time() >= kIdleTime;
    if (!accepting_stopped_ && elapsed >= grace - kFinishTime) {
      accepting_stopped_ = true;
      worker_.StopAccepting();
    }
    bool done = (idle_long_enough && elapsed >= kMinDrainTime) ||
                (accepting_stopped_ && idle) || elapsed >= grace - kExitMargin;
    if (done) {
      Log(log_level::kInfo, "stopped",
          {{"in_hand", std::to_string(worker_.unanswered())},
           {"after_ms", std::to_string(elapsed / kMillisecond)}});
      loop_.stop();
      return;
    }
    auto timer = std::make_shared<asio::steady_timer>(
        loop_, std::chrono::microseconds(kDrainPollInterval));
    timer->async_wait([this, timer](std::error_code) { PollDrain(); });
  }

  relay_host_options options_;
  relay_metrics counters_;
  asio::io_context loop_;
  fetcher http_;
  relay_worker worker_;
  store_watcher watcher_;
  quota_agent quota_;
  rollout_agent rollouts_;
  asio::signal_set stop_signals_;
  asio::signal_set reload_signals_;
  std::unique_ptr<http_server> admin_;
  std::unique_ptr<http_server> peers_;
  micros stopping_at_ = 0;
  bool accepting_stopped_ = false;
};

}  // namespace

absl::Status RunRelayHost(relay_host_options options) {
  settings own = options.host_settings;
  relay_host host(std::move(options));
  if (absl::Status s = host.Listen(); !s.ok()) return s;
  Log(log_level::kInfo, "started",
      {{"name", own.name},
       {"data_centre", own.data_centre},
       {"callers", ToString(own.callers)},
       {"admin", ToString(own.admin)},
       {"store", ToString(own.store)},
       {"version", BAOBABTRAY_VERSION}});
  host.Run();
  return absl::OkStatus();
}

}  // namespace baobabtray
