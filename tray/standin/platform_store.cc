// Stand-in store of the users' platform. See platform_store.h.

#include "tray/standin/platform_store.h"

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>

#include "absl/strings/escaping.h"
#include "tray/base/strings.h"

namespace baobabtray::standin {
namespace {

using nlohmann::json;
using connection_ptr = std::shared_ptr<test_http_connection>;

const test_http_headers kJsonHeaders = {{"Content-Type", "application/json"}};

json ItemJson(const std::string& key, const std::string& value,
              uint64_t revision, uint64_t created, uint64_t lease) {
  return {{"key", key},
          {"value", absl::Base64Escape(value)},
          {"revision", revision},
          {"created", created},
          {"lease", lease}};
}

}  // namespace

platform_store::platform_store(asio::io_context& loop, const std::string& host,
                               uint16_t port)
    : loop_(loop),
      http_(loop, host, port,
            [this](connection_ptr c, const test_http_request& r) {
              Handle(c, r);
            }) {}

uint64_t platform_store::Put(const std::string& key, const std::string& value,
                             uint64_t lease) {
  item& i = items_[key];
  if (i.created == 0) i.created = revision_ + 1;
  i.value = value;
  i.revision = ++revision_;
  i.lease = lease;
  history_.push_back({.key = key, .revision = revision_, .current = i});
  NotifyWatchers();
  return revision_;
}

void platform_store::Remove(const std::string& key) {
  if (items_.erase(key) == 0) return;
  history_.push_back({.key = key, .revision = ++revision_, .removed = true});
  NotifyWatchers();
}

void platform_store::SilenceConnections() {
  for (const connection_ptr& c : http_.connections()) c->StopResponding();
}

void platform_store::CompactHistory() {
  history_.clear();
  compacted_revision_ = revision_;
  for (const watcher& w : watchers_) {
    w.timer->cancel();
    w.connection->Reset();
  }
  watchers_.clear();
}

void platform_store::StallWatches() {
  for (const watcher& w : watchers_) {
    w.timer->cancel();
    w.connection->StopResponding();
  }
  watchers_.clear();
}

void platform_store::SaveCopy() {
  copy_ = {.items = items_, .revision = revision_};
  for (const auto& [id, lease] : leases_) copy_.lease_ttl_ms[id] = lease.ttl_ms;
}

void platform_store::GoBack() {
  ++era;
  for (auto& [id, lease] : leases_) lease.timer->cancel();
  leases_.clear();
  items_ = copy_.items;
  revision_ = copy_.revision;
  std::erase_if(history_,
                [&](const change& c) { return c.revision > revision_; });
  for (const auto& [id, ttl_ms] : copy_.lease_ttl_ms) {
    leases_[id] = {.ttl_ms = ttl_ms,
                   .timer = std::make_shared<asio::steady_timer>(loop_)};
    StartLeaseTimer(id);
  }
  for (const watcher& w : watchers_) {
    w.timer->cancel();
    w.connection->Reset();
  }
  watchers_.clear();
}

test_http_headers platform_store::Headers() const {
  test_http_headers headers = kJsonHeaders;
  if (era != 0) headers.push_back({"Store-Era", std::to_string(era)});
  return headers;
}

void platform_store::ExpireLeases() {
  std::vector<std::string> expired_keys;
  for (const auto& [key, i] : items_) {
    if (i.lease != 0) expired_keys.push_back(key);
  }
  for (auto& [id, lease] : leases_) lease.timer->cancel();
  leases_.clear();
  for (const std::string& key : expired_keys) Remove(key);
}

void platform_store::Handle(const connection_ptr& c,
                            const test_http_request& r) {
  switch (active_fault) {
    case fault::kNone:
      break;
    case fault::kBusy:
      return c->Reply(503, Headers(), "{}");
    case fault::kReset:
      return c->Reset();
    case fault::kNoResponse:
      return c->StopResponding();
  }
  ++call_counts_[r.path.substr(0, r.path.find('/', 3))];
  constexpr std::string_view kRenewPrefix = "/-/kv-keep/",
                             kRevokePrefix = "/-/kv-lease-end/";
  if (r.path == "/-/kv-range") return List(c, r);
  if (r.path == "/-/kv-key") {
    auto found = items_.find(r.QueryParameter("key"));
    if (found == items_.end()) return c->Reply(404, Headers(), "{}");
    const item& i = found->second;
    json row = ItemJson(found->first, i.value, i.revision, i.created, i.lease);
    row["current_rev"] = revision_;
    return c->Reply(200, Headers(), row.dump());
  }
  if (r.path == "/-/kv-watch") return Watch(c, r);
  if (r.path == "/-/kv-txn") return Transact(c, r);
  if (r.path == "/-/kv-lease") return GrantLease(c, r);
  if (r.path.starts_with(kRenewPrefix)) {
    auto id = ParseNumber<uint64_t>(r.path.substr(kRenewPrefix.size()));
    auto found = id ? leases_.find(*id) : leases_.end();
    if (found == leases_.end()) return c->Reply(404, Headers(), "{}");
    StartLeaseTimer(*id);
    return c->Reply(200, Headers(),
                    json{{"ttl_ms", found->second.ttl_ms}}.dump());
  }
  if (r.path.starts_with(kRevokePrefix)) {
    auto id = ParseNumber<uint64_t>(r.path.substr(kRevokePrefix.size()));
    if (id) leases_.erase(*id);
    for (auto it = items_.begin(); it != items_.end();) {
      std::string key = it->first;
      bool owned = id && it->second.lease == *id;
      ++it;
      if (owned) Remove(key);
    }
    return c->Reply(200, Headers(), "{}");
  }
  c->Reply(404, Headers(), "{}");
}

void platform_store::List(const connection_ptr& c, const test_http_request& r) {
  json rows = json::array();
  bool more = false;
  for (auto it = items_.upper_bound(r.QueryParameter("after"));
       it != items_.end(); ++it) {
    if (rows.size() >= page_size) {
      more = true;
      break;
    }
    const item& i = it->second;
    rows.push_back(
        ItemJson(it->first, i.value, i.revision, i.created, i.lease));
  }
  json body = {{"items", rows}, {"has_more", more}, {"current_rev", revision_}};
  c->Reply(200, Headers(), body.dump());
}

void platform_store::Watch(const connection_ptr& c,
                           const test_http_request& r) {
  uint64_t after = ParseNumber<uint64_t>(r.QueryParameter("after")).value_or(0);
  if (after < compacted_revision_ || after > revision_)
    return c->Reply(410, Headers(), "{}");
  watcher w{.connection = c,
            .after = after,
            .timer = std::make_shared<asio::steady_timer>(loop_)};
  if (after < revision_) return ReplyToWatch(w);
  int wait = ParseNumber<int>(r.QueryParameter("wait_ms")).value_or(0);
  w.timer->expires_after(std::chrono::milliseconds(wait));
  w.timer->async_wait([this, w](std::error_code error) {
    if (error) return;
    watchers_.remove_if(
        [&](const watcher& other) { return other.timer == w.timer; });
    ReplyToWatch(w);
  });
  watchers_.push_back(w);
}

void platform_store::ReplyToWatch(const watcher& w) {
  json events = json::array();
  for (const change& e : history_) {
    if (e.revision <= w.after) continue;
    events.push_back(
        e.removed
            ? json{{"key", e.key}, {"revision", e.revision}, {"removed", true}}
            : ItemJson(e.key, e.current.value, e.revision, e.current.created,
                       e.current.lease));
  }
  json body = {{"events", events}, {"current_rev", revision_}};
  if (w.connection->open()) w.connection->Reply(200, Headers(), body.dump());
}

void platform_store::NotifyWatchers() {
  std::list<watcher> waiting = std::move(watchers_);
  watchers_.clear();
  for (const watcher& w : waiting) {
    w.timer->cancel();
    ReplyToWatch(w);
  }
}

void platform_store::Transact(const connection_ptr& c,
                              const test_http_request& r) {
  json body = json::parse(r.body, nullptr, false);
  if (!body.is_object()) return c->Reply(400, Headers(), "{}");
  for (const json& row : body.value("precondition", json::array())) {
    auto found = items_.find(row.at("key").get<std::string>());
    uint64_t current = found == items_.end() ? 0 : found->second.revision;
    if (current != row.at("revision").get<uint64_t>()) {
      return c->Reply(412, Headers(), R"({"items":[]})");
    }
  }
  for (const json& row : body.value("writes", json::array())) {
    uint64_t lease = row.value("lease", uint64_t{0});
    if (lease != 0 && !leases_.contains(lease)) {
      return c->Reply(404, Headers(), "{}");
    }
  }
  for (const json& row : body.value("writes", json::array())) {
    std::string value;
    absl::Base64Unescape(row.at("value").get<std::string>(), &value);
    Put(row.at("key"), value, row.value("lease", uint64_t{0}));
  }
  for (const json& key : body.value("deletes", json::array())) Remove(key);
  if (replies_to_drop > 0) {
    --replies_to_drop;
    return c->StopResponding();
  }
  c->Reply(200, Headers(), json{{"revision", revision_}}.dump());
}

void platform_store::GrantLease(const connection_ptr& c,
                                const test_http_request& r) {
  json body = json::parse(r.body, nullptr, false);
  uint64_t id = ++last_lease_;
  leases_[id].ttl_ms = body.value("ttl_ms", 1000);
  leases_[id].timer = std::make_shared<asio::steady_timer>(loop_);
  StartLeaseTimer(id);
  c->Reply(200, Headers(),
           json{{"lease", id}, {"ttl_ms", leases_[id].ttl_ms}}.dump());
}

void platform_store::StartLeaseTimer(uint64_t id) {
  lease_state& lease = leases_[id];
  lease.timer->expires_after(std::chrono::milliseconds(lease.ttl_ms));
  lease.timer->async_wait([this, id](std::error_code error) {
    if (error) return;
    leases_.erase(id);
    std::vector<std::string> expired_keys;
    for (const auto& [key, i] : items_) {
      if (i.lease == id) expired_keys.push_back(key);
    }
    for (const std::string& key : expired_keys) Remove(key);
  });
}

}  // namespace baobabtray::standin
