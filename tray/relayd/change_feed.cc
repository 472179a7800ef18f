// Encoding, client and server of the change feed.

#include "tray/relayd/change_feed.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/escaping.h"
#include "tray/base/clock.h"
#include "tray/base/json.h"
#include "tray/base/strings.h"

namespace baobabtray {
namespace {

using nlohmann::json;

// HTTP status if the log does not reach back to the poll's revision.
constexpr int kLogTooShort = 410;
// Upper bound on the wait that a poll may request.
constexpr int64_t kMaxWaitMs = 5000;
// A connection within a data centre is made in far less time.
constexpr micros kConnectLimit = 400 * kMillisecond;
// Limits of what a hub may state: a time since its machine started.
constexpr uint64_t kMaxRevision = INT64_MAX;
constexpr int64_t kMaxAgeMs = 3'650LL * 86'400'000;

// Rounds down, so that the receiver never takes its knowledge for newer.
int64_t FloorToMillis(micros time) {
  int64_t ms = time / kMillisecond;
  return ms * kMillisecond > time ? ms - 1 : ms;
}

json EncodeStored(const stored_item& item, bool send_large) {
  json node = {{"key", item.key}, {"revision", item.revision}};
  if (item.removed) {
    node["removed"] = true;
  } else if (item.value.size() > kLargeValue && !send_large) {
    node["large"] = true;
  } else {
    node["value"] = absl::Base64Escape(ToAbsl(item.value));
  }
  return node;
}

uint64_t RevisionOf(const json& value) {
  return IntegerOf<uint64_t>(value, "revision", 0, kMaxRevision);
}

bool Flag(const json& node, const char* name) {
  const json* flag = FindField(node, name);
  return flag != nullptr && BoolOf(*flag, name);
}

stored_item DecodeStored(const json& node) {
  stored_item item{.key = StringOf(node.at("key"), "key"),
                   .revision = RevisionOf(node.at("revision")),
                   .removed = Flag(node, "removed")};
  const json* value = FindField(node, "value");
  std::string encoded = value == nullptr ? "" : StringOf(*value, "value");
  if (!absl::Base64Unescape(encoded, &item.value)) {
    throw std::invalid_argument("value is not valid base64");
  }
  return item;
}

}  // namespace

std::string EncodeChanges(const change_batch& batch, bool send_large) {
  json items = json::array();
  for (const stored_item& item : batch.items) {
    items.push_back(EncodeStored(item, send_large));
  }
  json root = {{"revision", batch.revision},
               {"era", batch.era},
               {"as_of_ms", FloorToMillis(batch.as_of)},
               {"items", std::move(items)}};
  return root.dump(-1, ' ', false, json::error_handler_t::replace);
}

absl::StatusOr<change_batch> DecodeChanges(const std::string& text) {
  try {
    json node = ParseJson(text);
    change_batch batch{
        .revision = RevisionOf(node.at("revision")),
        .as_of = IntegerOf<int64_t>(node.at("as_of_ms"), "as_of_ms", -kMaxAgeMs,
                                    kMaxAgeMs) *
                 kMillisecond};
    if (const json* era = FindField(node, "era"))
      batch.era = IntegerOf<uint64_t>(*era, "era", 0, kMaxRevision);
    for (const json& row : ArrayOf(node.at("items"), "items")) {
      if (Flag(row, "large")) {
        batch.large.push_back(StringOf(row.at("key"), "key"));
      } else {
        batch.items.push_back(DecodeStored(row));
      }
    }
    return batch;
  } catch (const std::exception& e) {
    return absl::InvalidArgumentError(e.what());
  }
}

void RequestChanges(fetcher* http, const endpoint& hub, const change_poll& poll,
                    std::function<void(absl::StatusOr<change_batch>)> done) {
  http->Start(
      {.method = "GET",
       .to = hub,
       .path = fmt::format("/changes?after={}&wait_ms={}&large={}&era={}",
                           poll.after, poll.wait / kMillisecond,
                           poll.send_large ? 1 : 0, poll.era),
       .timeout = poll.limit,
       .connect_timeout = std::min(poll.limit, kConnectLimit),
       .avoid_silent = true},
      [done = std::move(done)](const fetch_result& r) {
        if (r.fault != fetch_fault::kNone) {
          return done(absl::UnavailableError(
              std::string(NameOf(kFetchFaultNames, r.fault))));
        }
        if (r.status == kLogTooShort) {
          return done(absl::FailedPreconditionError(
              "the hub's log does not reach back to what this host knows"));
        }
        if (r.status != 200) {
          return done(
              absl::UnavailableError(fmt::format("HTTP status {}", r.status)));
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
  // A host of an earlier release states no era.
  uint64_t era =
      ParseNumber<uint64_t>(QueryParameter(r, "era")).value_or(Era());
  auto poll = std::make_shared<pending_poll>(
      pending_poll{*after, QueryParameter(r, "large") == "1", era, SteadyNow(),
                   respond, asio::steady_timer(loop_)});
  if (TryAnswer(*poll, *wait > 0)) return;
  pending_.insert(poll);
  poll->timer.expires_after(
      std::chrono::milliseconds(std::min(*wait, kMaxWaitMs)));
  poll->timer.async_wait([this, poll](std::error_code error) {
    if (!error && pending_.erase(poll) > 0) TryAnswer(*poll, false);
  });
}

void change_feed_server::NotifyAdvanced() {
  for (const poll_ref& poll : std::exchange(pending_, {})) {
    poll->timer.cancel();
    TryAnswer(*poll, false);
  }
}

bool change_feed_server::TryAnswer(const pending_poll& poll, bool may_hold) {
  const change_log* log = source_.log();
  if (poll.era < Era()) {
    poll.respond({.status = kLogTooShort,
                  .body = R"({"error":"the store has come back older"})"});
    return true;
  }
  if (log == nullptr || poll.era > Era()) {
    poll.respond(
        {.status = 409, .body = R"({"error":"has not read the store yet"})"});
    return true;
  }
  auto changes = log->ChangesAfter(poll.after);
  if (!changes) {
    poll.respond({.status = kLogTooShort,
                  .body = R"({"error":"not known that far back"})"});
    return true;
  }
  if (changes->empty() && may_hold) return false;
  change_batch batch{.items = *std::move(changes),
                     .revision = log->revision(),
                     .era = Era(),
                     .as_of = source_.as_of() - poll.arrived_at};
  poll.respond({.body = EncodeChanges(batch, poll.send_large)});
  return true;
}

}  // namespace baobabtray
