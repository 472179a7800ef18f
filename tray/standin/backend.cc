// Stand-in backend server. See backend.h.

#include "tray/standin/backend.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>

#include "tray/base/hash.h"
#include "tray/base/strings.h"

namespace baobabtray::standin {
namespace {

using nlohmann::json;

constexpr uint64_t kFirstVersion = 1;
// A request sent before its host received the response that reports the state
// "cold" may arrive this long after that response was sent.
constexpr micros kMaxTransitTime = 5 * kMillisecond;

// Attempt ids have the form HOST-NUMBER.
std::string HostOfAttempt(const std::string& attempt_id) {
  return attempt_id.substr(0, attempt_id.find('-'));
}

micros Now() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

}  // namespace

backend::backend(asio::io_context& loop, const service_topology& t, int server,
                 uint64_t seed)
    : loop_(loop),
      server_(t.servers[server]),
      service_name_(t.services[server_.service].name),
      data_centre_name_(t.data_centres[server_.data_centre].name),
      http_(loop, server_.address.host, server_.address.port,
            [this](std::shared_ptr<test_http_connection> c,
                   const test_http_request& r) { Handle(std::move(c), r); }),
      random_(seed) {
  http_.max_connections = server_.connections;
  versions_[kFirstVersion] = {kFirstVersion, t.services[server_.service].shards,
                              server_.shards};
}

void backend::Start(bool cold) {
  booted_at_ = Now();
  boot_id_ = std::max<uint64_t>(boot_id_ + 1, booted_at_);
  cold_ = cold;
  cold_reported_at_.clear();
  clean_requests_ = 0;
  http_.Listen();
}

void backend::Kill() {
  http_.Kill();
  for (const auto& j : queue_) j->done = true;
  queue_.clear();
}

void backend::Restart(bool cold) {
  if (http_.listening()) Kill();
  Start(cold);
}

void backend::TurnCold() {
  cold_ = true;
  cold_reported_at_.clear();
  clean_requests_ = 0;
}

void backend::StopRespondingOn(double fraction) {
  size_t count =
      static_cast<size_t>(fraction * http_.connections().size() + 0.5);
  for (const auto& c : http_.connections()) {
    if (count-- == 0) break;
    c->StopResponding();
  }
}

void backend::AddVersion(uint64_t version, int total) {
  version_report v{.version = version, .shard_count = total};
  for (int shard = 0; shard < total; ++shard) {
    // After repartitioning, shard N is placed on the servers that held shard
    // N modulo the old shard count.
    const std::vector<int>& old = server_.shards;
    int old_total =
        versions_.empty() ? total : versions_.begin()->second.shard_count;
    if (std::find(old.begin(), old.end(), shard % old_total) != old.end()) {
      v.shards.push_back(shard);
    }
  }
  versions_[version] = v;
}

void backend::RemoveVersion(uint64_t version) { versions_.erase(version); }

bool backend::Bernoulli(double probability) {
  return probability > 0 &&
         std::uniform_real_distribution<double>(0, 1)(random_) < probability;
}

uint64_t backend::UptimeMs() const { return (Now() - booted_at_) / 1000; }

std::string backend::StateName() const {
  if (behaviour.draining) return "leaving";
  return cold_ ? "cold" : "ready";
}

test_http_headers backend::ResponseHeaders(const std::string& attempt_id,
                                           uint64_t version) const {
  return {{"X-Attempt-Id", attempt_id},
          {"X-Index-Version", std::to_string(version)},
          {"X-Boot-Id", std::to_string(boot_id_)},
          {"X-Uptime-Ms", std::to_string(UptimeMs())},
          {"X-State", StateName()},
          {"X-Cold-Limit", std::to_string(server_.cold_limit)},
          {"X-Newest-Version",
           std::to_string(versions_.empty() ? 0 : versions_.rbegin()->first)},
          {"X-Load", std::to_string(in_flight_)}};
}

void backend::Handle(std::shared_ptr<test_http_connection> c,
                     const test_http_request& r) {
  if (r.path == "/health") {
    HandleHealth(c);
  } else if (r.path == "/query") {
    HandleQuery(std::move(c), r);
  } else {
    c->Reply(404, {}, "{}");
  }
}

json backend::HealthReport() const {
  json versions = json::array();
  for (const auto& [id, v] : versions_) {
    versions.push_back(
        {{"version", id}, {"total", v.shard_count}, {"shards", v.shards}});
  }
  return {{"boot", boot_id_},
          {"uptime_ms", UptimeMs()},
          {"state", behaviour.health_lies ? "ready" : StateName()},
          {"cold_limit", server_.cold_limit},
          {"load", in_flight_},
          {"versions", versions}};
}

void backend::HandleHealth(const std::shared_ptr<test_http_connection>& c) {
  json now = HealthReport();
  if (behaviour.health_lag_ms == 0) {
    c->Reply(200, {}, now.dump());
    return;
  }
  micros cutoff = Now() - behaviour.health_lag_ms * kMillisecond;
  health_history_.push_back({Now(), now});
  while (health_history_.size() > 1 && health_history_[1].first < cutoff) {
    health_history_.erase(health_history_.begin());
  }
  c->Reply(200, {}, health_history_.front().second.dump());
}

void backend::HandleQuery(std::shared_ptr<test_http_connection> c,
                          const test_http_request& r) {
  ++stats_.received;
  stats_.last_request_at = Now();
  auto j = std::make_shared<request_job>(loop_);
  j->connection = c;
  j->attempt_id = r.HeaderValue("x-attempt-id");
  j->body = r.body;
  j->idempotent = r.HeaderValue("x-idempotent") != "0";
  j->version =
      ParseNumber<uint64_t>(r.HeaderValue("x-index-version")).value_or(0);
  j->shard = ParseNumber<int>(r.HeaderValue("x-shard")).value_or(-1);
  int64_t deadline_ms =
      ParseNumber<int64_t>(r.HeaderValue("x-deadline-ms")).value_or(60'000);
  j->deadline = Now() + deadline_ms * kMillisecond;
  c->on_close = [this, weak = std::weak_ptr<request_job>(j)] {
    if (auto pending = weak.lock()) Cancel(pending);
  };
  if (Bernoulli(behaviour.silent)) {
    j->done = true;
    c->StopResponding();
    return;
  }
  ++in_flight_;
  stats_.max_in_flight = std::max(stats_.max_in_flight, in_flight_);
  if (cold_) CountColdRequest(j->attempt_id);
  if (c->request_count() == 1 && server_.connect_ms > 0) {
    j->timer.expires_after(std::chrono::milliseconds(server_.connect_ms));
    j->timer.async_wait([this, j](std::error_code) { Admit(j); });
  } else {
    Admit(j);
  }
}

void backend::CountColdRequest(const std::string& attempt_id) {
  stats_.max_in_flight_cold = std::max(stats_.max_in_flight_cold, in_flight_);
  if (in_flight_ <= server_.cold_limit) return;
  clean_requests_ = 0;  // overload restarts the warm-up
  ++stats_.cold_excess;
  std::string host = HostOfAttempt(attempt_id);
  ++stats_.cold_excess_by_host[host];
  auto reported = cold_reported_at_.find(host);
  if (reported != cold_reported_at_.end() &&
      Now() - reported->second > kMaxTransitTime) {
    ++stats_.cold_excess_after_reply;
  }
}

void backend::RecordStateReported(const std::string& attempt_id) {
  if (cold_) cold_reported_at_.emplace(HostOfAttempt(attempt_id), Now());
}

void backend::Admit(const std::shared_ptr<request_job>& j) {
  if (j->done) return;
  auto version = versions_.find(j->version);
  if (version == versions_.end() ||
      !std::binary_search(version->second.shards.begin(),
                          version->second.shards.end(), j->shard)) {
    Refuse(j, 409, "version_gone");
    return;
  }
  if (behaviour.draining || Bernoulli(behaviour.shed)) {
    Refuse(j, 503, "shed");
    return;
  }
  if (Bernoulli(behaviour.reset / 2)) {
    j->connection->Reset();
    return;
  }
  queue_.push_back(j);
  RunQueued();
}

void backend::RunQueued() {
  while (running_ < server_.slots && !queue_.empty()) {
    std::shared_ptr<request_job> j = queue_.front();
    queue_.pop_front();
    if (j->done) continue;
    if (Now() >= j->deadline) {
      ++stats_.expired;
      Refuse(j, 503, "expired");
      continue;
    }
    Execute(j);
  }
}

void backend::Execute(const std::shared_ptr<request_job>& j) {
  ++running_;
  ++stats_.ran;
  if (!j->idempotent) {
    ++stats_.runs[fmt::format("{}#{}", j->shard, j->body)];
  }
  double us = behaviour.service_us;
  if (Bernoulli(behaviour.straggle)) us *= behaviour.straggle_factor;
  if (cold_) us *= behaviour.cold_factor;
  j->timer.expires_after(std::chrono::microseconds(static_cast<int64_t>(us)));
  j->timer.async_wait([this, j](std::error_code) { Finish(j); });
}

// Also called when Cancel stops the timer of an executing request. No response
// is sent then, and the slot becomes free.
void backend::Finish(const std::shared_ptr<request_job>& j) {
  --running_;
  if (!j->done) {
    --in_flight_;
    j->done = true;
    j->connection->on_close = nullptr;
    if (cold_ && ++clean_requests_ >= behaviour.warm_after) cold_ = false;
    RecordStateReported(j->attempt_id);
    uint64_t version = j->version;
    if (Bernoulli(behaviour.mixed)) ++version;
    std::string attempt_id = j->attempt_id;
    if (Bernoulli(behaviour.crossed)) attempt_id += "-other";
    std::string body = fmt::format(
        R"({{"service":"{}","shard":{},"version":{},"server":"{}","echo":"{:x}"}})",
        service_name_, j->shard, j->version, server_.name, HashOf(j->body));
    test_http_headers headers = ResponseHeaders(attempt_id, version);
    if (Bernoulli(behaviour.reset / 2)) {
      j->connection->Reset();
    } else if (Bernoulli(behaviour.cut)) {
      j->connection->ReplyTruncated(200, headers, body);
    } else if (Bernoulli(behaviour.fail)) {
      j->connection->Reply(500, headers, "{}");
    } else {
      j->connection->Reply(200, headers, body);
      if (Bernoulli(behaviour.doubled))
        j->connection->Reply(200, headers, body);
    }
  }
  RunQueued();
}

// Called when the connection closes before the response is sent.
void backend::Cancel(const std::shared_ptr<request_job>& j) {
  if (j->done) return;
  j->done = true;
  --in_flight_;
  ++stats_.cancelled;
  j->timer.cancel();
}

void backend::Refuse(const std::shared_ptr<request_job>& j, int status,
                     std::string_view reason) {
  ++stats_.refused;
  --in_flight_;
  j->done = true;
  j->connection->on_close = nullptr;
  RecordStateReported(j->attempt_id);
  test_http_headers headers = ResponseHeaders(j->attempt_id, j->version);
  headers.push_back({"X-Not-Run", std::string(reason)});
  j->connection->Reply(status, headers, "{}");
}

json backend::StatsJson() const {
  int run_twice = 0;
  for (const auto& [body, count] : stats_.runs) run_twice += count > 1;
  uint64_t max_excess = 0;
  for (const auto& [host, count] : stats_.cold_excess_by_host) {
    max_excess = std::max(max_excess, count);
  }
  return {{"name", server_.name},
          {"service", service_name_},
          {"data_centre", data_centre_name_},
          {"state", StateName()},
          {"received", stats_.received},
          {"ran", stats_.ran},
          {"refused", stats_.refused},
          {"expired", stats_.expired},
          {"cancelled", stats_.cancelled},
          {"in_flight", in_flight_},
          {"most_in_flight", stats_.max_in_flight},
          {"most_cold", stats_.max_in_flight_cold},
          {"cold_limit", server_.cold_limit},
          {"cold_excess", stats_.cold_excess},
          {"cold_excess_most_by_host", max_excess},
          {"cold_excess_after_reply", stats_.cold_excess_after_reply},
          {"connections", http_.connections().size()},
          {"accepted_connections", http_.accepted_connections},
          {"refused_connections", http_.refused_connections},
          {"last_new_work_age_us",
           stats_.last_request_at == 0 ? -1 : Now() - stats_.last_request_at},
          {"non_idempotent_run", stats_.runs.size()},
          {"run_twice", run_twice}};
}

void backend::ClearStats() {
  stats_ = {};
  http_.refused_connections = 0;
}

}  // namespace baobabtray::standin
