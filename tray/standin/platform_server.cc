// A backend server of the platform, stood in for. See platform_server.h.

#include "tray/standin/platform_server.h"

#include <fmt/format.h>

#include <chrono>
#include <nlohmann/json.hpp>

#include "tray/base/clock.h"

namespace baobabtray::standin {
namespace {

using nlohmann::json;
using connection_ptr = std::shared_ptr<wire_connection>;

}  // namespace

platform_server::platform_server(asio::io_context& loop,
                                 platform_server_options options)
    : loop_(loop),
      options_(std::move(options)),
      wire_(loop, options_.host, options_.port,
            [this](connection_ptr c, const wire_request& r) { Handle(c, r); }),
      phase_ms_(options_.port * 97 % std::max(1, options_.pause_every_ms)) {}

std::string platform_server::Entry(bool leaving) const {
  return json{{"service", options_.service},
              {"address", fmt::format("{}:{}", options_.host, options_.port)},
              {"zone", options_.data_centre},
              {"version", "v1"},
              {"slots", options_.slots},
              {"state", leaving ? "draining" : "ready"},
              {"warmup_left_ms", 0},
              {"sequence", 1},
              {"born", 1}}
      .dump();
}

void platform_server::Handle(const connection_ptr& c, const wire_request& r) {
  last_headers = r.headers;
  last_target = r.query.empty() ? r.path : r.path + "?" + r.query;
  last_body = r.body;
  std::string wanted = r.Header("target-instance");
  if (!wanted.empty() && wanted != options_.id) {
    return c->Reply(421, {{"Instance-Id", options_.id}}, "");
  }
  if (r.Header("request-id").empty()) {
    return c->Reply(400, {{"Not-Executed", "1"}}, "");
  }
  bool full = running_ >= options_.slots &&
              static_cast<int>(waiting_.size()) >= options_.queue;
  if (full || answers == mode::kRefuse) {
    return c->Reply(
        503, {{"Not-Executed", "1"}, {"Request-Id", r.Header("request-id")}},
        "");
  }
  if (running_ >= options_.slots) {
    waiting_.push_back({c, r});
    return;
  }
  Run({c, r});
}

int platform_server::PauseLeftMs() const {
  if (options_.pause_ms == 0) return 0;
  int64_t now = SteadyNow() / kMillisecond + phase_ms_;
  int into = static_cast<int>(now % options_.pause_every_ms);
  return std::max(0, options_.pause_ms - into);
}

void platform_server::Run(job j) {
  ++running_;
  ++ran_[j.request.Header("request-id")];
  auto timer = std::make_shared<asio::steady_timer>(
      loop_, std::chrono::milliseconds(options_.work_ms + PauseLeftMs()));
  timer->async_wait([this, timer, j = std::move(j)](std::error_code) {
    --running_;
    Done(j);
    if (waiting_.empty()) return;
    job next = std::move(waiting_.front());
    waiting_.pop_front();
    Run(std::move(next));
  });
}

void platform_server::Done(const job& j) {
  std::string id = j.request.Header("request-id");
  wire_headers headers = {
      {"Request-Id", answers == mode::kWrongId ? "another" : id},
      {"Response-Seal", fmt::format("seal.{}.{}", options_.id, id)},
      {"Server-Load",
       fmt::format("{},{},{}", running_, waiting_.size(), options_.slots)}};
  std::string body = options_.shards ? Records(id) : "text of " + options_.id;
  switch (answers) {
    case mode::kMute:
      return j.connection->Silence();
    case mode::kCut:
      return j.connection->ReplyCut(200, headers, body);
    case mode::kReset:
      return j.connection->Reset();
    case mode::kFail:
      return j.connection->Reply(500, headers, "failed");
    default:
      return j.connection->Reply(200, headers, body);
  }
}

std::string platform_server::Records(const std::string& id) const {
  std::mt19937_64 random(std::hash<std::string>{}(options_.service + id));
  std::string records;
  for (int i = 0; i < options_.records; ++i) {
    records += fmt::format("{:016x}", random());
  }
  return records;
}

}  // namespace baobabtray::standin
