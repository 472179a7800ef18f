// Encoding, client and server of the change feed.

#include "tray/relayd/change_feed.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>

#include "absl/strings/escaping.h"
#include "tray/base/clock.h"
#include "tray/base/strings.h"
#include "tray/relayd/hub_selection.h"

namespace baobabtray {
namespace {

using nlohmann::json;

// Upper bound on the wait that a poll may request.
constexpr int64_t kMaxWaitMs = 5000;
// Time allowed for an answer beyond the wait. Both ends are in one data centre,
// and the sender may be busy for some tens of milliseconds.
constexpr micros kPollGraceTime = 400 * kMillisecond;
// A host has followers until this long after the last poll: a few times the
// wait of a follower's poll.
constexpr micros kFollowerTimeout = 4 * kSecond;

json EncodeStored(const stored_item& item) {
  json node = {{"key", item.key}, {"revision", item.revision}};
  if (item.removed) {
    node["removed"] = true;
  } else if (item.value.size() > kLargeValue) {
    node["large"] = true;
  } else {
    node["value"] = absl::Base64Escape(ToAbsl(item.value));
  }
  return node;
}

stored_item DecodeStored(const json& node) {
  stored_item item{.key = node.at("key"),
                   .revision = node.at("revision"),
                   .removed = node.value("removed", false)};
  std::string encoded = node.value("value", "");
  if (!absl::Base64Unescape(encoded, &item.value)) {
    throw std::invalid_argument("value is not valid base64");
  }
  return item;
}

}  // namespace

std::string EncodeChanges(const change_batch& batch) {
  json items = json::array();
  for (const stored_item& item : batch.items) {
    items.push_back(EncodeStored(item));
  }
  json root = {{"revision", batch.revision},
               {"age_ms", batch.age / kMillisecond},
               {"direct", batch.direct},
               {"items", std::move(items)}};
  return root.dump(-1, ' ', false, json::error_handler_t::replace);
}

absl::StatusOr<change_batch> DecodeChanges(const std::string& text) {
  try {
    json node = json::parse(text);
    change_batch batch{.revision = node.at("revision"),
                       .age = node.at("age_ms").get<int64_t>() * kMillisecond,
                       .direct = node.value("direct", true)};
    for (const json& row : node.at("items")) {
      if (row.value("large", false)) {
        batch.large.push_back(row.at("key"));
      } else {
        batch.items.push_back(DecodeStored(row));
      }
    }
    return batch;
  } catch (const std::exception& e) {
    return absl::InvalidArgumentError(e.what());
  }
}

void RequestChanges(fetcher* http, const endpoint& hub, uint64_t after,
                    micros wait,
                    std::function<void(absl::StatusOr<change_batch>)> done) {
  http->Start({.method = "GET",
               .to = hub,
               .path = fmt::format("/changes?after={}&wait_ms={}", after,
                                   wait / kMillisecond),
               .timeout = wait + kPollGraceTime,
               .connect_timeout = kPollGraceTime},
              [done = std::move(done)](const fetch_result& r) {
                if (r.fault != fetch_fault::kNone) {
                  return done(absl::UnavailableError(
                      std::string(NameOf(kFetchFaultNames, r.fault))));
                }
                if (r.status != 200) {
                  return done(absl::FailedPreconditionError(
                      fmt::format("HTTP status {}", r.status)));
                }
                done(DecodeChanges(r.body));
              });
}

void change_feed_server::Handle(const http_request& r,
                                const responder& respond) {
  if (r.path != "/changes") return respond({.status = 404, .body = "{}"});
  auto after = ParseNumber<uint64_t>(QueryParameter(r, "after"));
  auto wait = ParseNumber<int64_t>(QueryParameter(r, "wait_ms"));
  if (!after || !wait || *wait < 0) {
    return respond({.status = 400,
                    .body = R"({"error":"after and wait_ms are numbers"})"});
  }
  last_poll_ = SteadyNow();
  auto poll = std::make_shared<pending_poll>(
      pending_poll{*after, respond, asio::steady_timer(loop_)});
  if (TryAnswer(*poll, *wait == 0)) return;
  pending_.insert(poll);
  poll->timer.expires_after(std::chrono::microseconds(
      HoldTime(std::min(*wait, kMaxWaitMs) * kMillisecond)));
  poll->timer.async_wait([this, poll](std::error_code error) {
    if (!error && pending_.erase(poll) > 0) TryAnswer(*poll, true);
  });
}

// A poll is answered when this host becomes stale, so that the follower turns
// to another host without delay.
micros change_feed_server::HoldTime(micros wait) const {
  micros fresh = kMaxHubStaleness - source_.age();
  return fresh > 0 ? std::min(wait, fresh + kMillisecond) : wait;
}

void change_feed_server::NotifyChanged() {
  std::erase_if(pending_, [this](const poll_ref& poll) {
    if (!TryAnswer(*poll, false)) return false;
    poll->timer.cancel();
    return true;
  });
}

bool change_feed_server::HasFollowers(micros now) const {
  return last_poll_ != 0 && now - last_poll_ < kFollowerTimeout;
}

bool change_feed_server::TryAnswer(const pending_poll& poll, bool expired) {
  const change_log* log = source_.log();
  if (log == nullptr) {
    poll.respond(
        {.status = 409, .body = R"({"error":"has not read the store yet"})"});
    return true;
  }
  auto changes = log->ChangesAfter(poll.after);
  if (!changes) {
    poll.respond(
        {.status = 410, .body = R"({"error":"not known that far back"})"});
    return true;
  }
  if (changes->empty() && !expired) return false;
  poll.respond({.body = EncodeChanges({.items = *std::move(changes),
                                       .revision = log->revision(),
                                       .age = source_.age(),
                                       .direct = source_.direct()})});
  return true;
}

}  // namespace baobabtray
