// Control thread. See control.h.

#include "tray/daemon/control.h"

#include <fmt/format.h>
#include <sys/resource.h>
#include <time.h>

#include <asio.hpp>
#include <chrono>
#include <csignal>
#include <fstream>

#include "tray/base/log.h"
#include "tray/daemon/admin.h"
#include "tray/daemon/config_manager.h"
#include "tray/daemon/gossip.h"
#include "tray/daemon/health.h"
#include "tray/daemon/traffic.h"
#include "tray/http/process_limits.h"
#include "tray/http/serve.h"

namespace baobabtray {
namespace {

constexpr micros kPeerTimeout = 1 * kSecond;
// Estimated size of the headers of a peer request or response, in bytes.
constexpr size_t kMessageHeaderBytes = 250;
constexpr micros kDrainPollPeriod = 50 * kMillisecond;
// The daemon exits after it has been idle for this long.
constexpr micros kIdleBeforeExit = 500 * kMillisecond;

}  // namespace

void RunAfter(const control_context& c, micros delay,
              std::function<void()> then) {
  auto timer = std::make_shared<asio::steady_timer>(
      c.loop, std::chrono::microseconds(delay));
  timer->async_wait(
      [timer, then = std::move(then)](std::error_code) { then(); });
}

micros Jittered(const control_context& c, micros period) {
  return period * 3 / 4 +
         static_cast<micros>(c.random() %
                             static_cast<uint64_t>(period / 2 + 1));
}

void SendToPeer(const control_context& c, const endpoint& to,
                const std::string& path, std::string body,
                std::function<void(int status, std::string body)> done) {
  fetch_request r{.to = to, .path = path, .timeout = kPeerTimeout};
  std::string signed_path = path.substr(0, path.find('?'));
  r.headers = {fmt::format(
      "{}: {}", kPeerAuthHeader,
      SignPeerMessage(c.state.peer_secret, signed_path, body, WallNowMs()))};
  c.state.counters.AddControlBytes(body.size() + kMessageHeaderBytes, 0);
  r.body = std::make_shared<std::string>(std::move(body));
  c.http.Start(std::move(r), [&state = c.state,
                              done = std::move(done)](fetch_result reply) {
    state.counters.AddControlBytes(0, reply.body.size() + kMessageHeaderBytes);
    bool answered = reply.fault == fetch_fault::kNone;
    done(answered ? reply.status : 0, std::move(reply.body));
  });
}

class control_thread::impl {
 public:
  explicit impl(daemon_state* state)
      : state_(*state),
        loop_(1),
        http_(loop_),
        store_(&http_, state->local_settings.store, &state->counters),
        random_(std::random_device{}()),
        context_{state_, loop_, http_, store_, random_},
        members_{.self = LocalMember(state->local_settings),
                 .seeds = state->local_settings.seeds},
        config_manager_(context_, &members_),
        gossip_(context_, &members_, &config_manager_),
        health_(context_),
        signals_(loop_, SIGTERM, SIGINT) {
    state_.on_health = [this](std::string server, std::string body) {
      asio::post(loop_,
                 [this, server = std::move(server), body = std::move(body)] {
                   health_.ApplyReport(server, body);
                 });
    };
    state_.on_peer_message = [this](std::string, std::string path,
                                    std::string body, auto reply) {
      asio::post(loop_, [this, path, body = std::move(body), reply] {
        state_.counters.AddControlBytes(kMessageHeaderBytes,
                                        body.size() + kMessageHeaderBytes);
        gossip_.Handle(path, body, [this, reply](int status, std::string b) {
          state_.counters.AddControlBytes(b.size(), 0);
          reply(status, std::move(b));
        });
      });
    };
  }

  absl::Status Listen() {
    std::string token;
    if (!state_.local_settings.admin_token_file.empty()) {
      std::ifstream in(state_.local_settings.admin_token_file);
      if (!std::getline(in, token) || token.empty()) {
        return absl::NotFoundError("no token in the admin token file '" +
                                   state_.local_settings.admin_token_file +
                                   "'");
      }
    }
    admin_ = std::make_unique<admin_api>(context_, &members_, &config_manager_,
                                         token);
    auto server = http_server::Start(
        loop_,
        {.listen = state_.local_settings.admin,
         .max_body_bytes = 4 << 20,
         .max_connections = ProcessLimits(state_.local_settings.memory_mb,
                                          state_.local_settings.max_fds)
                                .other_connections,
         .account = state_.account,
         .on_fault =
             [this](client_fault fault) {
               state_.counters.CountClientFault(fault);
             }},
        [this](http_request r, responder respond) {
          admin_->Handle(r, std::move(respond));
        });
    if (!server.ok()) return server.status();
    server_ = *std::move(server);
    return absl::OkStatus();
  }

  void Run() {
    WaitForSignal();
    config_manager_.Start();
    gossip_.Start();
    health_.Start();
    PublishCpuTime();
    loop_.run();
  }

 private:
  static member LocalMember(const settings& host_settings) {
    return {.name = host_settings.name,
            .data_centre = host_settings.data_centre,
            .peer_address = host_settings.peers,
            .incarnation = static_cast<uint64_t>(WallNowMs()) * 1000};
  }

  void PublishCpuTime() {
    timespec cpu_time;
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &cpu_time);
    state_.counters.SetControlCpuSeconds(cpu_time.tv_sec +
                                         cpu_time.tv_nsec * 1e-9);
    RunAfter(context_, kSecond, [this] { PublishCpuTime(); });
  }

  // Further signals are ignored: active queries are still completed.
  void WaitForSignal() {
    signals_.async_wait([this](std::error_code error, int) {
      if (error) return;
      if (!state_.draining.exchange(true)) Drain();
      WaitForSignal();
    });
  }

  void Drain() {
    Log(log_level::kInfo, "draining");
    gossip_.AnnounceLeaving();
    micros drain_time = state_.local_settings.drain_ms * kMillisecond;
    RunAfter(context_, drain_time, [this] {
      for (traffic_worker* w : state_.workers) w->StopAccepting();
      idle_since_ = SteadyNow();
      AwaitIdle();
    });
  }

  void AwaitIdle() {
    micros now = SteadyNow();
    bool busy = state_.pending_store_writes > 0;
    for (traffic_worker* w : state_.workers) busy |= w->active_queries() > 0;
    if (busy) idle_since_ = now;
    if (now - idle_since_ >= kIdleBeforeExit) {
      Log(log_level::kInfo, "stopped");
      loop_.stop();
      return;
    }
    RunAfter(context_, kDrainPollPeriod, [this] { AwaitIdle(); });
  }

  daemon_state& state_;
  asio::io_context loop_;
  fetcher http_;
  store_client store_;
  std::mt19937_64 random_;
  control_context context_;
  membership members_;
  config_manager config_manager_;
  gossip_service gossip_;
  health_poller health_;
  asio::signal_set signals_;
  std::unique_ptr<admin_api> admin_;
  std::unique_ptr<http_server> server_;
  micros idle_since_ = 0;
};

control_thread::control_thread(daemon_state* state) : impl_(new impl(state)) {}
control_thread::~control_thread() = default;
absl::Status control_thread::Listen() { return impl_->Listen(); }
void control_thread::Run() { impl_->Run(); }

}  // namespace baobabtray
