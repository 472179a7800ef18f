// A stand-in for the platform's key-value service and host list.
//
//   standin_store --listen IP:PORT
//
// Implements the HTTP mapping of docs/STORE.md. POST /control sets the list of
// hosts and the injected faults:
//   {"down": bool, "slow_ms": N, "drop_replies": FRACTION,
//    "silence_watches": bool, "hosts": [...]}
// drop_replies is the fraction of writes that are processed but answered with a
// connection reset. GET /ledger returns call counts and all keys with their
// revisions.

#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include <asio.hpp>
#include <chrono>
#include <map>
#include <nlohmann/json.hpp>
#include <random>

#include "tray/base/endpoint.h"
#include "tray/base/run_main.h"
#include "tray/base/strings.h"
#include "tray/standin/test_http_server.h"

namespace baobabtray::standin {
namespace {

using nlohmann::json;
using connection_ptr = std::shared_ptr<test_http_connection>;

struct entry {
  std::string value;
  uint64_t revision = 0;
};

struct watcher {
  connection_ptr connection;
  uint64_t after = 0;
  std::shared_ptr<asio::steady_timer> timer;
};

class store {
 public:
  explicit store(asio::io_context& loop) : loop_(loop) {}

  void Handle(connection_ptr c, const test_http_request& r) {
    if (r.path == "/control") return HandleControl(c, r);
    if (r.path == "/ledger") return c->Reply(200, {}, StatsJson().dump());
    if (down_) return c->Reset();
    if (delay_ms_ == 0) return Dispatch(c, r);
    auto timer = std::make_shared<asio::steady_timer>(
        loop_, std::chrono::milliseconds(delay_ms_));
    timer->async_wait([this, c, r, timer](std::error_code) { Dispatch(c, r); });
  }

 private:
  void Dispatch(const connection_ptr& c, const test_http_request& r) {
    constexpr std::string_view kKeyPrefix = "/v1/kv/",
                               kWatchPrefix = "/v1/watch/";
    if (r.path == "/v1/hosts") {
      ++call_counts_["hosts"];
      return c->Reply(200, {}, hosts_.dump());
    }
    if (r.path.starts_with(kWatchPrefix)) {
      ++call_counts_["watch"];
      return Watch(c, r, r.path.substr(kWatchPrefix.size()));
    }
    if (!r.path.starts_with(kKeyPrefix)) return c->Reply(404, {}, "");
    std::string key = r.path.substr(kKeyPrefix.size());
    if (r.method == "PUT") {
      ++call_counts_["write"];
      return CompareAndSet(c, r, key);
    }
    ++call_counts_["read"];
    auto found = keys_.find(key);
    if (found == keys_.end()) return c->Reply(404, {}, "");
    ReplyValue(c, found->second);
  }

  static void ReplyValue(const connection_ptr& c, const entry& e) {
    c->Reply(200, {{"X-Revision", std::to_string(e.revision)}}, e.value);
  }

  void CompareAndSet(const connection_ptr& c, const test_http_request& r,
                     const std::string& key) {
    uint64_t expected =
        ParseNumber<uint64_t>(r.QueryParameter("if_revision")).value_or(0);
    auto found = keys_.find(key);
    uint64_t current = found == keys_.end() ? 0 : found->second.revision;
    bool drop_reply = drop_reply_fraction_ > 0 &&
                      std::uniform_real_distribution<double>(0, 1)(random_) <
                          drop_reply_fraction_;
    if (current != expected) {
      if (drop_reply) return c->Reset();
      return c->Reply(409, {{"X-Revision", std::to_string(current)}}, "");
    }
    keys_[key] = {r.body, ++revision_};
    NotifyWatchers(key);
    if (drop_reply) return c->Reset();  // the write is already applied
    c->Reply(200, {{"X-Revision", std::to_string(revision_)}}, "");
  }

  void Watch(const connection_ptr& c, const test_http_request& r,
             const std::string& key) {
    uint64_t after =
        ParseNumber<uint64_t>(r.QueryParameter("after")).value_or(0);
    int64_t wait_ms =
        ParseNumber<int64_t>(r.QueryParameter("wait_ms")).value_or(10'000);
    auto found = keys_.find(key);
    if (found != keys_.end() && found->second.revision > after &&
        !stall_watches_) {
      return ReplyValue(c, found->second);
    }
    auto timer = std::make_shared<asio::steady_timer>(
        loop_, std::chrono::milliseconds(wait_ms));
    watchers_.emplace(key, watcher{c, after, timer});
    timer->async_wait([this, c, key](std::error_code error) {
      if (error || stall_watches_) return;
      RemoveWatcher(key, c);
      c->Reply(204, {}, "");
    });
  }

  void RemoveWatcher(const std::string& key, const connection_ptr& c) {
    auto [begin, end] = watchers_.equal_range(key);
    for (auto it = begin; it != end; ++it) {
      if (it->second.connection != c) continue;
      watchers_.erase(it);
      return;
    }
  }

  void NotifyWatchers(const std::string& key) {
    if (stall_watches_) return;
    auto [begin, end] = watchers_.equal_range(key);
    std::vector<watcher> notified;
    for (auto it = begin; it != end; ++it) notified.push_back(it->second);
    watchers_.erase(begin, end);
    for (watcher& w : notified) {
      w.timer->cancel();
      ReplyValue(w.connection, keys_[key]);
    }
  }

  void HandleControl(const connection_ptr& c, const test_http_request& r) {
    json command = json::parse(r.body, nullptr, false);
    if (command.is_discarded()) return c->Reply(400, {}, "");
    down_ = command.value("down", down_);
    delay_ms_ = command.value("slow_ms", delay_ms_);
    drop_reply_fraction_ = command.value("drop_replies", drop_reply_fraction_);
    stall_watches_ = command.value("silence_watches", stall_watches_);
    if (command.contains("hosts")) hosts_ = command["hosts"];
    c->Reply(200, {}, "{}");
  }

  json StatsJson() const {
    json keys = json::object();
    for (const auto& [key, e] : keys_) keys[key] = e.revision;
    return {{"calls", call_counts_},
            {"keys", keys},
            {"watching", watchers_.size()}};
  }

  asio::io_context& loop_;
  std::map<std::string, entry> keys_;
  std::multimap<std::string, watcher> watchers_;
  std::map<std::string, uint64_t> call_counts_;
  uint64_t revision_ = 0;
  json hosts_ = json::array();
  bool down_ = false;
  bool stall_watches_ = false;
  int delay_ms_ = 0;
  double drop_reply_fraction_ = 0;
  std::mt19937_64 random_{1};
};

}  // namespace

int RunProgram(int argc, char** argv) {
  TCLAP::CmdLine cmd("Stand-in key-value store", ' ', BAOBABTRAY_VERSION);
  TCLAP::ValueArg<std::string> listen("", "listen", "address to listen on",
                                      true, "", "IP:PORT", cmd);
  cmd.parse(argc, argv);
  absl::StatusOr<endpoint> address = ParseEndpoint(listen.getValue());
  if (!address.ok()) {
    fmt::print(stderr, "{}\n", MessageOf(address.status()));
    return 1;
  }
  asio::io_context loop(1);
  store s(loop);
  test_http_server server(loop, address->host, address->port,
                          [&s](connection_ptr c, const test_http_request& r) {
                            s.Handle(std::move(c), r);
                          });
  server.Listen();
  loop.run();
  return 0;
}

}  // namespace baobabtray::standin

int main(int argc, char** argv) {
  return baobabtray::RunMain(baobabtray::standin::RunProgram, argc, argv, 1);
}
