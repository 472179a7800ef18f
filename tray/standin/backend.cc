// One stand-in backend server. See backend.h.

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
// A request may already be on its way when a reply is sent.
constexpr micros kTransit = 5 * kMillisecond;

// Attempt ids are HOST-NUMBER.
std::string HostOf(const std::string& attempt) {
  return attempt.substr(0, attempt.find('-'));
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
      wire_(loop, server_.address.host, server_.address.port,
            [this](std::shared_ptr<wire_connection> c, const wire_request& r) {
              Handle(std::move(c), r);
            }),
      random_(seed) {
  wire_.most_connections = server_.connections;
  versions_[kFirstVersion] = {kFirstVersion, t.services[server_.service].shards,
                              server_.shards};
}

void backend::Start(bool cold) {
  booted_at_ = Now();
  boot_ = std::max<uint64_t>(boot_ + 1, booted_at_);
  cold_ = cold;
  cold_shown_.clear();
  clean_ = 0;
  wire_.Listen();
}

void backend::Kill() {
  wire_.Kill();
  for (const auto& j : queue_) j->cancelled = true;
  queue_.clear();
}

void backend::Restart(bool cold) {
  if (wire_.listening()) Kill();
  Start(cold);
}

void backend::TurnCold() {
  cold_ = true;
  cold_shown_.clear();
  clean_ = 0;
}

void backend::SilenceConnections(double part) {
  size_t count = static_cast<size_t>(part * wire_.connections().size() + 0.5);
  for (const auto& c : wire_.connections()) {
    if (count-- == 0) break;
    c->Silence();
  }
}

void backend::AddVersion(uint64_t version, int total) {
  version_report v{.version = version, .shard_count = total};
  for (int shard = 0; shard < total; ++shard) {
    // A repartitioned shard lives where the old one with its number modulo the
    // old total lived.
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

bool backend::Chance(double fraction) {
  return fraction > 0 &&
         std::uniform_real_distribution<double>(0, 1)(random_) < fraction;
}

uint64_t backend::UptimeMs() const { return (Now() - booted_at_) / 1000; }

std::string backend::StateName() const {
  if (behaviour.draining) return "leaving";
  return cold_ ? "cold" : "ready";
}

wire_headers backend::Stamp(const std::string& attempt,
                            uint64_t version) const {
  return {{"X-Attempt-Id", attempt},
          {"X-Index-Version", std::to_string(version)},
          {"X-Boot-Id", std::to_string(boot_)},
          {"X-Uptime-Ms", std::to_string(UptimeMs())},
          {"X-State", StateName()},
          {"X-Cold-Limit", std::to_string(server_.cold_limit)},
          {"X-Newest-Version",
           std::to_string(versions_.empty() ? 0 : versions_.rbegin()->first)},
          {"X-Load", std::to_string(in_flight_)}};
}

void backend::Handle(std::shared_ptr<wire_connection> c,
                     const wire_request& r) {
  if (r.path == "/health") {
    HandleHealth(c);
  } else if (r.path == "/query") {
    HandleQuery(std::move(c), r);
  } else {
    c->Reply(404, {}, "{}");
  }
}

json backend::HealthNow() const {
  json versions = json::array();
  for (const auto& [id, v] : versions_) {
    versions.push_back(
        {{"version", id}, {"total", v.shard_count}, {"shards", v.shards}});
  }
  return {{"boot", boot_},
          {"uptime_ms", UptimeMs()},
          {"state", behaviour.health_lies ? "ready" : StateName()},
          {"cold_limit", server_.cold_limit},
          {"load", in_flight_},
          {"versions", versions}};
}

void backend::HandleHealth(const std::shared_ptr<wire_connection>& c) {
  json now = HealthNow();
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

void backend::HandleQuery(std::shared_ptr<wire_connection> c,
                          const wire_request& r) {
  ++ledger_.received;
  ledger_.last_new_work = Now();
  auto j = std::make_shared<job>(loop_);
  j->connection = c;
  j->attempt = r.Header("x-attempt-id");
  j->body = r.body;
  j->idempotent = r.Header("x-idempotent") != "0";
  j->version = ParseNumber<uint64_t>(r.Header("x-index-version")).value_or(0);
  j->shard = ParseNumber<int>(r.Header("x-shard")).value_or(-1);
  int64_t deadline_ms =
      ParseNumber<int64_t>(r.Header("x-deadline-ms")).value_or(60'000);
  j->expires = Now() + deadline_ms * kMillisecond;
  c->on_close = [this, weak = std::weak_ptr<job>(j)] {
    if (auto gone = weak.lock()) Drop(gone);
  };
  if (Chance(behaviour.silent)) {
    j->cancelled = true;
    c->Silence();
    return;
  }
  ++in_flight_;
  ledger_.most_in_flight = std::max(ledger_.most_in_flight, in_flight_);
  if (cold_) CountCold(j->attempt);
  if (c->requests() == 1 && server_.connect_ms > 0) {
    j->timer.expires_after(std::chrono::milliseconds(server_.connect_ms));
    j->timer.async_wait([this, j](std::error_code) { Admit(j); });
  } else {
    Admit(j);
  }
}

void backend::CountCold(const std::string& attempt) {
  ledger_.most_cold = std::max(ledger_.most_cold, in_flight_);
  if (in_flight_ <= server_.cold_limit) return;
  clean_ = 0;  // overload undoes the warming
  ++ledger_.cold_excess;
  std::string host = HostOf(attempt);
  ++ledger_.cold_excess_by_host[host];
  auto shown = cold_shown_.find(host);
  if (shown != cold_shown_.end() && Now() - shown->second > kTransit) {
    ++ledger_.cold_excess_after_reply;
  }
}

void backend::ShowState(const std::string& attempt) {
  if (cold_) cold_shown_.emplace(HostOf(attempt), Now());
}

void backend::Admit(const std::shared_ptr<job>& j) {
  if (j->cancelled) return;
  auto version = versions_.find(j->version);
  if (version == versions_.end() ||
      !std::binary_search(version->second.shards.begin(),
                          version->second.shards.end(), j->shard)) {
    Refuse(j, 409, "version_gone");
    return;
  }
  if (behaviour.draining || Chance(behaviour.shed)) {
    Refuse(j, 503, "shed");
    return;
  }
  if (Chance(behaviour.reset / 2)) {
    j->connection->Reset();
    return;
  }
  queue_.push_back(j);
  RunNext();
}

void backend::RunNext() {
  while (working_ < server_.slots && !queue_.empty()) {
    std::shared_ptr<job> j = queue_.front();
    queue_.pop_front();
    if (j->cancelled) continue;
    if (Now() >= j->expires) {
      ++ledger_.expired;
      Refuse(j, 503, "expired");
      continue;
    }
    Work(j);
  }
}

void backend::Work(const std::shared_ptr<job>& j) {
  ++working_;
  ++ledger_.ran;
  if (!j->idempotent) {
    ++ledger_.runs[fmt::format("{}#{}", j->shard, j->body)];
  }
  double us = behaviour.service_us;
  if (Chance(behaviour.straggle)) us *= behaviour.straggle_factor;
  if (cold_) us *= behaviour.cold_factor;
  j->timer.expires_after(std::chrono::microseconds(static_cast<int64_t>(us)));
  j->timer.async_wait([this, j](std::error_code) { Done(j); });
}

// The work of a cancelled request is stopped, but its slot was used.
void backend::Done(const std::shared_ptr<job>& j) {
  --working_;
  if (!j->cancelled) {
    --in_flight_;
    j->cancelled = true;
    j->connection->on_close = nullptr;
    if (cold_ && ++clean_ >= behaviour.warm_after) cold_ = false;
    ShowState(j->attempt);
    uint64_t version = j->version;
    if (Chance(behaviour.mixed)) ++version;
    std::string attempt = j->attempt;
    if (Chance(behaviour.crossed)) attempt += "-other";
    std::string body = fmt::format(
        R"({{"service":"{}","shard":{},"version":{},"server":"{}","echo":"{:x}"}})",
        service_name_, j->shard, j->version, server_.name, HashOf(j->body));
    wire_headers stamp = Stamp(attempt, version);
    if (Chance(behaviour.reset / 2)) {
      j->connection->Reset();
    } else if (Chance(behaviour.cut)) {
      j->connection->ReplyCut(200, stamp, body);
    } else if (Chance(behaviour.fail)) {
      j->connection->Reply(500, stamp, "{}");
    } else {
      j->connection->Reply(200, stamp, body);
      if (Chance(behaviour.doubled)) j->connection->Reply(200, stamp, body);
    }
  }
  RunNext();
}

// The caller has closed the connection: the request is cancelled.
void backend::Drop(const std::shared_ptr<job>& j) {
  if (j->cancelled) return;
  j->cancelled = true;
  --in_flight_;
  ++ledger_.cancelled;
  j->timer.cancel();
}

void backend::Refuse(const std::shared_ptr<job>& j, int status,
                     std::string_view why) {
  ++ledger_.refused;
  --in_flight_;
  j->cancelled = true;
  j->connection->on_close = nullptr;
  ShowState(j->attempt);
  wire_headers stamp = Stamp(j->attempt, j->version);
  stamp.push_back({"X-Not-Run", std::string(why)});
  j->connection->Reply(status, stamp, "{}");
}

json backend::Ledger() const {
  int twice = 0;
  for (const auto& [body, count] : ledger_.runs) twice += count > 1;
  uint64_t most_excess = 0;
  for (const auto& [host, count] : ledger_.cold_excess_by_host) {
    most_excess = std::max(most_excess, count);
  }
  return {{"name", server_.name},
          {"service", service_name_},
          {"data_centre", data_centre_name_},
          {"state", StateName()},
          {"received", ledger_.received},
          {"ran", ledger_.ran},
          {"refused", ledger_.refused},
          {"expired", ledger_.expired},
          {"cancelled", ledger_.cancelled},
          {"in_flight", in_flight_},
          {"most_in_flight", ledger_.most_in_flight},
          {"most_cold", ledger_.most_cold},
          {"cold_limit", server_.cold_limit},
          {"cold_excess", ledger_.cold_excess},
          {"cold_excess_most_by_host", most_excess},
          {"cold_excess_after_reply", ledger_.cold_excess_after_reply},
          {"connections", wire_.connections().size()},
          {"accepted_connections", wire_.accepted_connections},
          {"refused_connections", wire_.refused_connections},
          {"last_new_work_age_us",
           ledger_.last_new_work == 0 ? -1 : Now() - ledger_.last_new_work},
          {"non_idempotent_run", ledger_.runs.size()},
          {"run_twice", twice}};
}

void backend::ClearLedger() {
  ledger_ = {};
  wire_.refused_connections = 0;
}

}  // namespace baobabtray::standin
