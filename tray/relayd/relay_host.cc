// Control thread of a relaying host: the store, signals, administration, and
// the order in which the host starts and stops. See relay_host.h.
//
// Stopping: readiness fails at once and answers ask callers to close. The
// balancer goes on sending until it has noticed, so the host serves on until no
// request has come for kQuietTime, at least kNoticeTime and at most until
// kLastTime before it would be killed. Then it closes, finishes what is in hand
// and ends.

#include "tray/relayd/relay_host.h"

#include <fmt/format.h>

#include <asio.hpp>
#include <chrono>
#include <csignal>
#include <thread>

#include "tray/base/clock.h"
#include "tray/base/log.h"
#include "tray/base/strings.h"
#include "tray/http/serve.h"
#include "tray/relayd/store_watcher.h"

namespace baobabtray {
namespace {

// The balancer notices a host that is not ready within two checks of a second.
constexpr micros kNoticeTime = 2500 * kMillisecond;
constexpr micros kQuietTime = 400 * kMillisecond;
// Kept for requests in hand once nothing new is accepted.
constexpr micros kLastTime = 1500 * kMillisecond;
// Kept for the process to end by itself.
constexpr micros kExitTime = 200 * kMillisecond;
constexpr micros kDrainPoll = 50 * kMillisecond;

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
                 [this](std::vector<store_update> facts) {
                   worker_.PostFacts(std::move(facts));
                 }),
        stop_signals_(loop_, SIGTERM, SIGINT),
        reload_signals_(loop_, SIGHUP) {}

  absl::Status Listen() {
    auto admin = http_server::Start(
        loop_, {.listen = options_.host_settings.admin},
        [this](const http_request& r, const responder& respond) {
          Administer(r, respond);
        });
    if (!admin.ok()) return admin.status();
    admin_ = *std::move(admin);
    auto peers = http_server::Start(
        loop_, {.listen = options_.host_settings.peers},
        [this](const http_request& r, const responder& respond) {
          watcher_.HandleChangeRequest(r, respond);
        });
    if (!peers.ok()) return peers.status();
    peers_ = *std::move(peers);
    return worker_.Listen();
  }

  void Run() {
    WaitForStop();
    WaitForReload();
    watcher_.Start();
    std::thread traffic([this] { worker_.Run(); });
    loop_.run();
    worker_.Stop();
    traffic.join();
  }

 private:
  void Administer(const http_request& r, const responder& respond) {
    if (r.path == "/metrics") {
      return respond(
          {.body = counters_.Render(), .content_type = "text/plain"});
    }
    if (r.path == "/state") {
      return worker_.PostDump(
          [respond](std::string dump) { respond({.body = std::move(dump)}); });
    }
    if (r.path == "/store") {
      return respond(
          {.body = fmt::format(
               R"({{"revision":{},"keys":{},"in_contact":{},"age_ms":{},)"
               R"("hub":"{}"}})",
               watcher_.revision(), watcher_.keys(), watcher_.in_contact(),
               (SteadyNow() - watcher_.last_contact()) / kMillisecond,
               watcher_.hub())});
    }
    respond({.status = 404,
             .body = R"({"error":"try /metrics, /state or /store"})"});
  }

  // A second signal changes nothing: what is in hand is still finished.
  void WaitForStop() {
    stop_signals_.async_wait([this](std::error_code error, int) {
      if (error) return;
      if (stopping_at_ == 0) StartDraining();
      WaitForStop();
    });
  }

  void WaitForReload() {
    reload_signals_.async_wait([this](std::error_code error, int) {
      if (error) return;
      Reload();
      WaitForReload();
    });
  }

  // The level and the budget of the log change at once; all else at a restart.
  void Reload() {
    absl::StatusOr<settings> next = options_.reload();
    if (!next.ok()) {
      Log(log_level::kWarning, "settings_refused",
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
        {{"in_hand", std::to_string(worker_.in_hand())}});
    worker_.StartDraining();
    watcher_.Leave();
    AwaitQuiet();
  }

  void AwaitQuiet() {
    micros now = SteadyNow();
    micros since = now - stopping_at_;
    micros most = options_.host_settings.relay.shutdown_grace;
    bool idle = worker_.in_hand() == 0;
    bool quiet = idle && now - worker_.last_request() >= kQuietTime;
    if (!closed_ && since >= most - kLastTime) {
      closed_ = true;
      worker_.StopAccepting();
    }
    bool done = (quiet && since >= kNoticeTime) || (closed_ && idle) ||
                since >= most - kExitTime;
    if (done) {
      Log(log_level::kInfo, "stopped",
          {{"in_hand", std::to_string(worker_.in_hand())},
           {"after_ms", std::to_string(since / kMillisecond)}});
      loop_.stop();
      return;
    }
    auto timer = std::make_shared<asio::steady_timer>(
        loop_, std::chrono::microseconds(kDrainPoll));
    timer->async_wait([this, timer](std::error_code) { AwaitQuiet(); });
  }

  relay_host_options options_;
  relay_metrics counters_;
  asio::io_context loop_;
  fetcher http_;
  relay_worker worker_;
  store_watcher watcher_;
  asio::signal_set stop_signals_;
  asio::signal_set reload_signals_;
  std::unique_ptr<http_server> admin_;
  std::unique_ptr<http_server> peers_;
  micros stopping_at_ = 0;
  bool closed_ = false;
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
