// Formatting of the log lines, and their levels.

#include "tray/relayd/relay_log.h"

#include <fmt/format.h>

#include <string>

#include "tray/base/log.h"

namespace baobabtray {
namespace {

// Bytes logged of a request target that no route matches; it may be of any
// length and content.
constexpr size_t kMaxLoggedTarget = 100;
// Of lines that callers can cause at will, at most this many in each period.
constexpr int kThrottledLines = 2;
constexpr micros kThrottlePeriod = kSecond;

std::string FormatMillis(micros time) {
  return fmt::format("{:.1f}", static_cast<double>(time) / kMillisecond);
}

// Describes the parts without an answer: the attempts made for each, or why
// there was none.
std::string DescribeMissing(const relay_request& q) {
  if (q.overloaded) return "servers overloaded";
  std::string missing;
  for (const relay_part& part : q.parts) {
    if (part.response != nullptr) continue;
    missing += fmt::format("{}{}:", missing.empty() ? "" : " ", part.service);
    for (const relay_attempt& a : part.attempts) {
      missing += fmt::format(
          "{}{}@{}/{}", &a == &part.attempts[0] ? "" : ",", a.server->info.id,
          (a.sent_at - q.start) / kMillisecond,
          a.open ? "open" : NameOf(kRelayAttemptOutcomeNames, a.outcome));
    }
    if (part.no_retry != retry_verdict::kNone) {
      missing +=
          fmt::format(" ({})", NameOf(kRetryVerdictNames, part.no_retry));
    }
    if (part.attempts.empty()) {
      missing += NameOf(kPickResultNames, part.last_pick);
    }
  }
  return missing;
}

log_level LevelOf(const relay_request& q) {
  switch (q.outcome) {
    case relay_outcome::kNotRun:
    case relay_outcome::kBroken:
    case relay_outcome::kTimedOut:
      return log_level::kWarning;
    case relay_outcome::kAnswered:
      return q.finished_at <= q.start + q.route->target_latency
                 ? log_level::kDebug
                 : log_level::kInfo;
    default:
      return log_level::kInfo;
  }
}

}  // namespace

void LogLocalReply(const caller_request& request, local_reply answer,
                   std::string_view reason, int64_t version) {
  Log(log_level::kInfo, "request",
      {{"request", request.id},
       {"outcome", std::string(NameOf(kLocalReplyNames, answer))},
       {"reason", std::string(reason)},
       {"host", request.host},
       {"target", request.target.substr(0, kMaxLoggedTarget)},
       {"routes", std::to_string(version)}});
}

bool log_throttle::Allow(micros now) {
  if (period_start_ == 0 || now - period_start_ >= kThrottlePeriod) {
    period_start_ = now;
    lines_ = 0;
  }
  return ++lines_ <= kThrottledLines;
}

void LogAttempt(const caller_request& request, const relay_request& q,
                uint64_t attempt, relay_attempt_outcome end, micros now) {
  if (GetLogLevel() > log_level::kInfo || q.finished) return;
  for (const relay_part& part : q.parts) {
    for (const relay_attempt& a : part.attempts) {
      if (a.id != attempt) continue;
      Log(log_level::kInfo, "attempt_failed",
          {{"request", request.id},
           {"server", a.server->info.id},
           {"service", part.service},
           {"end", std::string(NameOf(kRelayAttemptOutcomeNames, end))},
           {"ms", FormatMillis(now - a.sent_at)},
           {"try", std::to_string(part.attempts.size())}});
    }
  }
}

void LogServerEvent(server_event event, const relay_server& server,
                    micros now) {
  const rate_limit& limit = server.limit;
  switch (event) {
    case server_event::kLimited:
      return Log(log_level::kInfo, "server_limited",
                 {{"server", server.info.id},
                  {"service", server.info.service},
                  {"per_second", fmt::format("{:.1f}", *limit.per_second)}});
    case server_event::kLimitEnded:
      return Log(log_level::kInfo, "server_limit_ended",
                 {{"server", server.info.id},
                  {"service", server.info.service},
                  {"ms", FormatMillis(limit.last_named_at - limit.named_at)},
                  {"sent", std::to_string(limit.sent)},
                  {"sent_extra", std::to_string(limit.sent_extra)}});
    case server_event::kLeaving:
      Log(log_level::kInfo, "server_says_it_leaves",
          {{"server", server.info.id}, {"service", server.info.service}});
      return;
    case server_event::kPaused:
      return Log(log_level::kInfo, "server_paused",
                 {{"server", server.info.id},
                  {"service", server.info.service},
                  {"ms", FormatMillis(server.notice.paused_until - now)}});
    case server_event::kInvalidPause:
      Log(log_level::kWarning, "server_pause_ignored",
          {{"server", server.info.id}, {"service", server.info.service}});
      return;
    case server_event::kBalanced:
      Log(log_level::kInfo, "service_balanced",
          {{"server", server.info.id}, {"service", server.info.service}});
      return;
  }
}

void LogEnd(const caller_request& request, const relay_request& q) {
  log_level level = LevelOf(q);
  if (level < GetLogLevel()) return;
  Log(level, "request",
      {{"request", request.id},
       {"route", q.route->name},
       {"routes", std::to_string(q.table->version)},
       {"outcome", std::string(NameOf(kRelayOutcomeNames, q.outcome))},
       {"parts", fmt::format("{}/{}", q.answered_parts, q.parts.size())},
       {"ms", FormatMillis(q.finished_at - q.start)},
       {"time_budget_ms", FormatMillis(q.deadline - q.start)},
       {"missing", DescribeMissing(q)}});
}

}  // namespace baobabtray
