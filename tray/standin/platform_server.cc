// Stand-in backend server of the users' platform. See platform_server.h.

#include "tray/standin/platform_server.h"

#include <fmt/format.h>

#include <chrono>
#include <nlohmann/json.hpp>

#include "tray/base/clock.h"

namespace baobabtray::standin {
namespace {

using nlohmann::json;
using connection_ptr = std::shared_ptr<test_http_connection>;

}  // namespace

platform_server::platform_server(asio::io_context& loop,
                                 platform_server_options options)
    : loop_(loop),
      options_(std::move(options)),
      http_(loop, options_.host, options_.port,
            [this](connection_ptr c, const test_http_request& r) {
              Handle(c, r);
            }),
      pause_offset_ms_(options_.port * 97 %
                       std::max(1, options_.pause_every_ms)) {}

std::string platform_server::StoreEntry(bool draining) const {
  return json{{"service", options_.service},
              {"address", fmt::format("{}:{}", options_.host, options_.port)},
              {"zone", options_.data_centre},
              {"version", "v1"},
              {"slots", options_.slots},
              {"state", draining ? "draining" : "ready"},
              {"warmup_left_ms", 0},
              {"sequence", 1},
              {"born", starts_}}
      .dump();
}

void platform_server::Handle(const connection_ptr& c,
                             const test_http_request& r) {
  ++arrivals;
  last_headers = r.headers;
  last_target = r.query.empty() ? r.path : r.path + "?" + r.query;
  last_body = r.body;
  std::string target = r.HeaderValue("target-instance");
  if (!target.empty() && target != options_.id) {
    return c->Reply(421, {{"Instance-Id", options_.id}}, "");
  }
  if (r.HeaderValue("request-id").empty()) {
    return c->Reply(400, {{"Not-Executed", "1"}}, "");
  }
  bool full = running_ >= options_.slots &&
              static_cast<int>(queue_.size()) >= options_.queue_limit;
  if (full || response_mode == mode::kRefuse) {
    test_http_headers headers = {{"Not-Executed", "1"},
                                 {"Request-Id", r.HeaderValue("request-id")}};
    if (!retry_after.empty()) headers.push_back({"Retry-After", retry_after});
    AddStatements(&headers);
    return c->Reply(503, headers, "");
  }
  if (running_ >= options_.slots) {
    queue_.push_back({c, r});
    return;
  }
  Execute({c, r});
}

int platform_server::RemainingPauseMs() const {
  if (options_.pause_ms == 0) return 0;
  int64_t now = SteadyNow() / kMillisecond + pause_offset_ms_;
  int elapsed = static_cast<int>(now % options_.pause_every_ms);
  return std::max(0, options_.pause_ms - elapsed);
}

void platform_server::AddStatements(test_http_headers* headers) const {
  if (says_leaving) headers->push_back({"Server-Leaving", "1"});
  if (!rate_limit.empty()) headers->push_back({"Server-Limit", rate_limit});
}

void platform_server::Restart() {
  ++starts_;
  says_leaving = false;
  retry_after.clear();
  rate_limit.clear();
}

void platform_server::Execute(pending_request j) {
  ++running_;
  ++execution_counts_[j.request.HeaderValue("request-id")];
  auto timer = std::make_shared<asio::steady_timer>(
      loop_, std::chrono::milliseconds(options_.work_ms + RemainingPauseMs()));
  timer->async_wait([this, timer, j = std::move(j)](std::error_code) {
    --running_;
    Respond(j);
    if (queue_.empty()) return;
    pending_request next = std::move(queue_.front());
    queue_.pop_front();
    Execute(std::move(next));
  });
}

void platform_server::Respond(const pending_request& j) {
  std::string id = j.request.HeaderValue("request-id");
  test_http_headers headers = {
      {"Request-Id", response_mode == mode::kWrongId ? "another" : id},
      {"Response-Seal", fmt::format("seal.{}.{}", options_.id, id)},
      {"Server-Load",
       fmt::format("{},{},{}", running_, queue_.size(), options_.slots)}};
  AddStatements(&headers);
  std::string body =
      options_.returns_records ? MakeRecords(id) : "text of " + options_.id;
  if (body.size() < options_.text_bytes) body.resize(options_.text_bytes, '.');
  switch (response_mode) {
    case mode::kNoResponse:
      return j.connection->StopResponding();
    case mode::kTruncate:
      return j.connection->ReplyTruncated(200, headers, body);
    case mode::kReset:
      return j.connection->Reset();
    case mode::kFail:
      return j.connection->Reply(500, headers, "failed");
    case mode::kNoStatus:
      return j.connection->Reply(0, headers, body);
    default:
      return j.connection->Reply(200, headers, body);
  }
}

std::string platform_server::MakeRecords(const std::string& id) const {
  std::mt19937_64 random(std::hash<std::string>{}(options_.service + id));
  std::string records;
  for (int i = 0; i < options_.records; ++i) {
    records += fmt::format("{:016x}", random());
  }
  return records;
}

}  // namespace baobabtray::standin
