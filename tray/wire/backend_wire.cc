// Conversion of headers and health reports. See backend_wire.h.

#include "tray/wire/backend_wire.h"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "tray/base/json.h"
#include "tray/base/strings.h"
#include "tray/http/status_line.h"
#include "tray/wire/caller_api.h"

namespace baobabtray {
namespace {

// Index versions in one health report, at most.
constexpr size_t kMaxVersions = 64;
// A larger cold limit or load is not plausible.
constexpr int kMaxReportedCount = 1'000'000;

// Value of a header that counts requests; 0 if it is absent or not plausible.
int CountIn(const fetch_result& reply, std::string_view header) {
  int count = ParseNumber<int>(HeaderOf(reply, header)).value_or(0);
  return count >= 0 && count <= kMaxReportedCount ? count : 0;
}

// The same for an optional field of a health report.
int CountIn(const nlohmann::json& report, const char* name) {
  const nlohmann::json* count = FindField(report, name);
  return count == nullptr ? 0
                          : IntegerOf<int>(*count, name, 0, kMaxReportedCount);
}

// Reads the state headers of a reply. Returns nullopt if one is missing or
// malformed.
std::optional<server_report> ParseServerReport(const fetch_result& reply) {
  auto boot = ParseNumber<uint64_t>(HeaderOf(reply, "X-Boot-Id"));
  auto uptime = ParseNumber<uint64_t>(HeaderOf(reply, "X-Uptime-Ms"));
  auto state = ValueOf(kReportedStateNames, HeaderOf(reply, "X-State"));
  if (!boot || !uptime || !state) return std::nullopt;
  return server_report{.stamp = {.boot = *boot, .uptime_ms = *uptime},
                       .state = *state,
                       .cold_limit = CountIn(reply, "X-Cold-Limit"),
                       .load = CountIn(reply, "X-Load")};
}

attempt_end ToAttemptEnd(const fetch_result& reply) {
  switch (reply.fault) {
    case fetch_fault::kNone:
      break;
    case fetch_fault::kNotSent:
    case fetch_fault::kPoolTimeout:
    case fetch_fault::kExpired:
      return attempt_end::kNotSent;
    case fetch_fault::kBroken:
      return attempt_end::kBroken;
    case fetch_fault::kTimedOut:
      return attempt_end::kTimedOut;
    case fetch_fault::kIdMismatch:
      return attempt_end::kCrossed;
  }
  if (!IsFinalStatus(reply.status)) return attempt_end::kBroken;
  if (reply.status == 200) return attempt_end::kAnswered;
  if (HeaderOf(reply, kNotRunHeader).empty()) return attempt_end::kFailed;
  return reply.status == 409 ? attempt_end::kVersionGone
                             : attempt_end::kRefused;
}

}  // namespace

std::vector<std::string> ToHeaders(const shard_request& r) {
  return {fmt::format("X-Service: {}", r.service),
          fmt::format("X-Shard: {}", r.shard),
          fmt::format("X-Index-Version: {}", r.version),
          fmt::format("X-Priority: {}", NameOf(kPriorityNames, r.rank)),
          fmt::format("X-Idempotent: {}", r.idempotent ? 1 : 0),
          fmt::format("X-Deadline-Ms: {}", r.deadline / kMillisecond)};
}

absl::StatusOr<shard_request> ParseShardRequest(const http_request& r) {
  auto shard = ParseNumber<int>(HeaderOf(r, "x-shard"));
  auto version = ParseNumber<uint64_t>(HeaderOf(r, "x-index-version"));
  auto rank = ValueOf(kPriorityNames, HeaderOf(r, "x-priority"));
  auto deadline = ParseNumber<int64_t>(HeaderOf(r, "x-deadline-ms"));
  std::string_view idempotent = HeaderOf(r, "x-idempotent");
  bool in_range = shard && *shard >= 0 && *shard < kMaxShardsPerService &&
                  deadline && *deadline >= 1 && *deadline <= kMaxDeadlineMs;
  if (!in_range || !version || !rank || idempotent.empty()) {
    return absl::InvalidArgumentError(
        "a required header is missing or malformed");
  }
  return shard_request{.service = std::string(HeaderOf(r, "x-service")),
                       .shard = *shard,
                       .version = *version,
                       .rank = *rank,
                       .idempotent = idempotent != "0",
                       .deadline = *deadline * kMillisecond};
}

attempt_result ParseAttemptResult(fetch_result reply) {
  attempt_result result;
  result.end = ToAttemptEnd(reply);
  if (std::optional<server_report> report = ParseServerReport(reply)) {
    result.has_report = true;
    result.report = *report;
  }
  result.version =
      ParseNumber<uint64_t>(HeaderOf(reply, "X-Index-Version")).value_or(0);
  result.newest_version =
      ParseNumber<uint64_t>(HeaderOf(reply, "X-Newest-Version")).value_or(0);
  if (result.end != attempt_end::kAnswered) return result;
  // The body is copied into the answer verbatim, so it must be valid JSON.
  if (!result.has_report || !nlohmann::json::accept(reply.body)) {
    result.end = attempt_end::kFailed;
    return result;
  }
  result.body = std::move(reply.body);
  result.charge = std::move(reply.charge);
  return result;
}

std::vector<std::pair<std::string, std::string>> ReportHeaders(
    std::string_view server, uint64_t version, const server_report& report) {
  return {{std::string(kServerHeader), std::string(server)},
          {"X-Index-Version", std::to_string(version)},
          {"X-Boot-Id", std::to_string(report.stamp.boot)},
          {"X-Uptime-Ms", std::to_string(report.stamp.uptime_ms)},
          {"X-State", std::string(NameOf(kReportedStateNames, report.state))},
          {"X-Cold-Limit", std::to_string(report.cold_limit)},
          {"X-Load", std::to_string(report.load)}};
}

bool IsValidVersionReport(const version_report& v) {
  if (v.shard_count <= 0 || v.shard_count > kMaxShardsPerService) return false;
  if (v.shards.empty()) return true;
  return std::is_sorted(v.shards.begin(), v.shards.end()) &&
         v.shards.front() >= 0 && v.shards.back() < v.shard_count;
}

version_report VersionOf(const nlohmann::json& version,
                         const nlohmann::json& total,
                         const nlohmann::json& shards) {
  version_report report{.version = IntegerOf<uint64_t>(version, "version"),
                        .shard_count = IntegerOf<int>(total, "total")};
  for (const auto& shard : ArrayOf(shards, "shards")) {
    report.shards.push_back(IntegerOf<int>(shard, "shards"));
  }
  return report;
}

absl::StatusOr<health_report> ParseHealthReport(std::string_view text) {
  nlohmann::json j = ParseJson(text);
  health_report h;
  try {
    h.report.stamp.boot = IntegerOf<uint64_t>(j.at("boot"), "boot");
    h.report.stamp.uptime_ms =
        IntegerOf<uint64_t>(j.at("uptime_ms"), "uptime_ms");
    auto state = ValueOf(kReportedStateNames, StringOf(j.at("state"), "state"));
    if (!state)
      return absl::DataLossError("health report has an unknown state");
    h.report.state = *state;
    h.report.cold_limit = CountIn(j, "cold_limit");
    h.report.load = CountIn(j, "load");
    for (const auto& v : ArrayOf(j.at("versions"), "versions")) {
      version_report report =
          VersionOf(v.at("version"), v.at("total"), v.at("shards"));
      std::sort(report.shards.begin(), report.shards.end());
      if (!IsValidVersionReport(report) || h.versions.size() >= kMaxVersions) {
        return absl::DataLossError(
            "health report has an invalid version or too many versions");
      }
      h.versions.push_back(std::move(report));
    }
  } catch (const std::exception&) {
    return absl::DataLossError("health report is malformed");
  }
  return h;
}

}  // namespace baobabtray
