// The control thread. See control.h.

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
#include "tray/daemon/health.h"
#include "tray/daemon/keeper.h"
#include "tray/daemon/peer_talk.h"
#include "tray/daemon/traffic.h"
#include "tray/http/serve.h"

namespace baobabtray {
namespace {

constexpr micros kPeerTimeout = 1 * kSecond;
// Bytes of a peer message besides its body: head of request or reply.
constexpr size_t kMessageHead = 250;
constexpr micros kDrainPoll = 50 * kMillisecond;
// The daemon exits once nothing has been in hand for this long.
constexpr micros kDrainQuiet = 500 * kMillisecond;

}  // namespace

void After(const control_context& c, micros delay, std::function<void()> then) {
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
      SignPeerMessage(c.shared.peer_secret, signed_path, body, WallNowMs()))};
  c.shared.counters.AddControlBytes(body.size() + kMessageHead, 0);
  r.body = std::make_shared<std::string>(std::move(body));
  c.http.Start(std::move(r), [&shared = c.shared,
                              done = std::move(done)](fetch_result reply) {
    shared.counters.AddControlBytes(0, reply.body.size() + kMessageHead);
    bool answered = reply.fault == fetch_fault::kNone;
    done(answered ? reply.status : 0, std::move(reply.body));
  });
}

class control::impl {
 public:
  explicit impl(engine* shared)
      : shared_(*shared),
        loop_(1),
        http_(loop_),
        store_(&http_, shared->own.store, &shared->counters),
        random_(std::random_device{}()),
        context_{shared_, loop_, http_, store_, random_},
        members_{.self = Self(shared->own), .seeds = shared->own.seeds},
        keeper_(context_, &members_),
        peers_(context_, &members_, &keeper_),
        health_(context_),
        signals_(loop_, SIGTERM, SIGINT) {
    shared_.on_health = [this](std::string server, std::string body) {
      asio::post(loop_,
                 [this, server = std::move(server), body = std::move(body)] {
                   health_.Take(server, body);
                 });
    };
    shared_.on_peer_message = [this](std::string, std::string path,
                                     std::string body, auto reply) {
      asio::post(loop_, [this, path, body = std::move(body), reply] {
        shared_.counters.AddControlBytes(kMessageHead,
                                         body.size() + kMessageHead);
        peers_.Handle(path, body, [this, reply](int status, std::string b) {
          shared_.counters.AddControlBytes(b.size(), 0);
          reply(status, std::move(b));
        });
      });
    };
  }

  absl::Status Listen() {
    std::string token;
    if (!shared_.own.admin_token_file.empty()) {
      std::ifstream in(shared_.own.admin_token_file);
      if (!std::getline(in, token) || token.empty()) {
        return absl::NotFoundError("no token in the admin token file '" +
                                   shared_.own.admin_token_file + "'");
      }
    }
    admin_ = std::make_unique<admin_api>(context_, &members_, &keeper_, token);
    auto server = http_server::Start(
        loop_, {.listen = shared_.own.admin, .max_body_bytes = 4 << 20},
        [this](http_request r, responder respond) {
          admin_->Handle(r, std::move(respond));
        });
    if (!server.ok()) return server.status();
    server_ = *std::move(server);
    return absl::OkStatus();
  }

  void Run() {
    WaitForSignal();
    keeper_.Start();
    peers_.Start();
    health_.Start();
    CountProcessor();
    loop_.run();
  }

 private:
  static member Self(const settings& own) {
    return {.name = own.name,
            .data_centre = own.data_centre,
            .peer_address = own.peers,
            .incarnation = static_cast<uint64_t>(WallNowMs()) * 1000};
  }

  void CountProcessor() {
    timespec used;
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
    shared_.counters.SetControlCpuSeconds(used.tv_sec + used.tv_nsec * 1e-9);
    After(context_, kSecond, [this] { CountProcessor(); });
  }

  // A second signal changes nothing: what is in hand is still finished.
  void WaitForSignal() {
    signals_.async_wait([this](std::error_code error, int) {
      if (error) return;
      if (!shared_.draining.exchange(true)) Drain();
      WaitForSignal();
    });
  }

  void Drain() {
    Log(log_level::kInfo, "draining");
    peers_.AnnounceLeaving();
    micros lag = shared_.own.drain_ms * kMillisecond;
    After(context_, lag, [this] {
      for (traffic_worker* w : shared_.workers) w->StopAccepting();
      quiet_since_ = SteadyNow();
      AwaitQuiet();
    });
  }

  void AwaitQuiet() {
    micros now = SteadyNow();
    bool busy = shared_.background > 0;
    for (traffic_worker* w : shared_.workers) busy |= w->in_hand() > 0;
    if (busy) quiet_since_ = now;
    if (now - quiet_since_ >= kDrainQuiet) {
      Log(log_level::kInfo, "stopped");
      loop_.stop();
      return;
    }
    After(context_, kDrainPoll, [this] { AwaitQuiet(); });
  }

  engine& shared_;
  asio::io_context loop_;
  fetcher http_;
  store_client store_;
  std::mt19937_64 random_;
  control_context context_;
  membership members_;
  config_keeper keeper_;
  peer_talk peers_;
  health_poller health_;
  asio::signal_set signals_;
  std::unique_ptr<admin_api> admin_;
  std::unique_ptr<http_server> server_;
  micros quiet_since_ = 0;
};

control::control(engine* shared) : impl_(new impl(shared)) {}
control::~control() = default;
absl::Status control::Listen() { return impl_->Listen(); }
void control::Run() { impl_->Run(); }

}  // namespace baobabtray
