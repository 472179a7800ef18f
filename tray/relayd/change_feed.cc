// Changes between hosts. See change_feed.h.

#include "tray/relayd/change_feed.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>

#include "absl/strings/escaping.h"
#include "tray/base/clock.h"
#include "tray/base/strings.h"

namespace baobabtray {
namespace {

using nlohmann::json;

// The longest that a question waits for a change.
constexpr int64_t kMaxWaitMs = 5000;
// An answer that is overdue by this does not come: both ends are in one data
// centre, and the sender may be busy for some tens of milliseconds.
constexpr micros kFeedSlack = 400 * kMillisecond;
// A host counts as asked for this long: a few times the wait of its followers.
constexpr micros kAskedTime = 4 * kSecond;

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
    throw std::invalid_argument("a value that is no base64");
  }
  return item;
}

}  // namespace

std::string EncodeChanges(const change_batch& batch) {
  json items = json::array();
  for (const stored_item& item : batch.items) {
    items.push_back(EncodeStored(item));
  }
  json all = {{"revision", batch.revision},
              {"age_ms", batch.age / kMillisecond},
              {"items", std::move(items)}};
  return all.dump(-1, ' ', false, json::error_handler_t::replace);
}

absl::StatusOr<change_batch> DecodeChanges(const std::string& text) {
  try {
    json node = json::parse(text);
    change_batch batch{.revision = node.at("revision"),
                       .age = node.at("age_ms").get<int64_t>() * kMillisecond};
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
               .timeout = wait + kFeedSlack,
               .connect_timeout = kFeedSlack},
              [done = std::move(done)](const fetch_result& r) {
                if (r.fault != fetch_fault::kNone) {
                  return done(absl::UnavailableError(
                      std::string(NameOf(kFetchFaultNames, r.fault))));
                }
                if (r.status != 200) {
                  return done(absl::FailedPreconditionError(
                      fmt::format("status {}", r.status)));
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
  asked_at_ = SteadyNow();
  auto q = std::make_shared<question>(
      question{*after, respond, asio::steady_timer(loop_)});
  if (Answer(*q, *wait == 0)) return;
  open_.insert(q);
  q->timer.expires_after(
      std::chrono::milliseconds(std::min(*wait, kMaxWaitMs)));
  q->timer.async_wait([this, q](std::error_code error) {
    if (!error && open_.erase(q) > 0) Answer(*q, true);
  });
}

void change_feed_server::Changed() {
  std::erase_if(open_, [this](const question_ref& q) {
    if (!Answer(*q, false)) return false;
    q->timer.cancel();
    return true;
  });
}

bool change_feed_server::IsAsked(micros now) const {
  return asked_at_ != 0 && now - asked_at_ < kAskedTime;
}

bool change_feed_server::Answer(const question& q, bool over) {
  const change_log* log = from_.log();
  if (log == nullptr) {
    q.respond(
        {.status = 409, .body = R"({"error":"does not read the store"})"});
    return true;
  }
  auto changes = log->Since(q.after);
  if (!changes) {
    q.respond(
        {.status = 410, .body = R"({"error":"not known that far back"})"});
    return true;
  }
  if (changes->empty() && !over) return false;
  q.respond({.body = EncodeChanges({.items = *std::move(changes),
                                    .revision = log->revision(),
                                    .age = from_.age()})});
  return true;
}

}  // namespace baobabtray
