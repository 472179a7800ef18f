// Encoding of reports, directives and records.

#include "tray/rollout/rollout.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

#include "tray/base/json.h"
#include "tray/base/strings.h"

namespace baobabtray {
namespace {

using nlohmann::json;

// Bounds beyond which a number is taken for a mistake.
constexpr int64_t kMaxCount = 1LL << 31;
constexpr uint64_t kMaxRevision = INT64_MAX;
constexpr int64_t kMaxElapsedMs = 30LL * 86'400'000;
constexpr size_t kMaxRows = 10'000;
constexpr size_t kMaxVersions = 100;

std::string Dump(const json& node) {
  return node.dump(-1, ' ', false, json::error_handler_t::replace);
}

int64_t CountOf(const json& node, const char* name) {
  return IntegerOf<int64_t>(node.at(name), name, 0, kMaxCount);
}

uint64_t OrderOf(const json& node) {
  return IntegerOf<uint64_t>(node.at("order"), "order", 1, kMaxRevision);
}

std::string NonEmpty(const json& node, const char* name) {
  std::string text = StringOf(node.at(name), name);
  if (text.empty()) ThrowInvalidField(name, "a name");
  return text;
}

template <typename Names>
auto NamedOf(const Names& names, const json& node, const char* name) {
  auto value = ValueOf(names, StringOf(node.at(name), name));
  if (!value) ThrowInvalidField(name, "a known name");
  return *value;
}

json EncodeRow(const answer_row& row) {
  const auto& latency = row.counts.latency;
  auto last = std::find_if(latency.rbegin(), latency.rend(),
                           [](int64_t n) { return n != 0; });
  json node = {{"route", row.route},
               {"distance", row.distance},
               {"failures", row.counts.failures},
               {"untimed", row.counts.untimed},
               {"latency", json::array()}};
  if (row.is_target) node["server"] = row.server;
  for (auto it = latency.begin(); it != last.base(); ++it)
    node["latency"].push_back(*it);
  return node;
}

answer_row DecodeRow(const json& node) {
  answer_row row{.route = StringOf(node.at("route"), "route")};
  if (const json* server = FindField(node, "server")) {
    row.is_target = true;
    row.server = StringOf(*server, "server");
  }
  row.distance =
      IntegerOf<int>(node.at("distance"), "distance", 0, kRolloutDistances - 1);
  row.counts.failures = CountOf(node, "failures");
  row.counts.untimed = CountOf(node, "untimed");
  const json& latency = ArrayOf(node.at("latency"), "latency");
  if (latency.size() > kRolloutBuckets)
    ThrowInvalidField("latency", "at most as many counts as there are ranges");
  for (size_t i = 0; i < latency.size(); ++i) {
    row.counts.latency[i] =
        IntegerOf<int64_t>(latency[i], "latency", 0, kMaxCount);
  }
  return row;
}

std::vector<std::string> VersionsOf(const json& node, const char* name) {
  const json& list = ArrayOf(node.at(name), name);
  if (list.size() > kMaxVersions) ThrowInvalidField(name, "fewer versions");
  std::vector<std::string> versions;
  for (const json& version : list) versions.push_back(StringOf(version, name));
  return versions;
}

json ParseObject(std::string_view text) {
  json node = ParseJson(text);
  if (!node.is_object()) ThrowInvalidField("text", "a JSON object");
  return node;
}

}  // namespace

int RolloutBucket(micros latency) {
  if (latency <= kMillisecond) return 0;
  double ratio = static_cast<double>(latency) / kMillisecond;
  return std::min(kRolloutBuckets - 1,
                  static_cast<int>(std::floor(2 * std::log2(ratio))));
}

std::string EncodeReport(const rollout_report& report) {
  json node = {{"service", report.service},
               {"order", report.order},
               {"host", report.host},
               {"incarnation", report.incarnation},
               {"sequence", report.sequence},
               {"mode", std::string(NameOf(kRolloutModeNames, report.mode))},
               {"requests", report.requests},
               {"exposed", report.exposed},
               {"open_others", report.open_others},
               {"rows", json::array()}};
  for (const answer_row& row : report.rows)
    node["rows"].push_back(EncodeRow(row));
  return Dump(node);
}

absl::StatusOr<rollout_report> DecodeReport(std::string_view text) {
  try {
    json node = ParseObject(text);
    rollout_report report{.service = NonEmpty(node, "service"),
                          .order = OrderOf(node),
                          .host = NonEmpty(node, "host"),
                          .incarnation = IntegerOf<int64_t>(
                              node.at("incarnation"), "incarnation", 0),
                          .sequence = CountOf(node, "sequence"),
                          .mode = NamedOf(kRolloutModeNames, node, "mode"),
                          .requests = CountOf(node, "requests"),
                          .exposed = CountOf(node, "exposed"),
                          .open_others = CountOf(node, "open_others")};
    const json& rows = ArrayOf(node.at("rows"), "rows");
    if (rows.size() > kMaxRows) ThrowInvalidField("rows", "fewer rows");
    for (const json& row : rows) report.rows.push_back(DecodeRow(row));
    return report;
  } catch (const std::exception& e) {
    return absl::InvalidArgumentError(e.what());
  }
}

std::string EncodeDirective(const rollout_directive& directive) {
  return Dump({{"service", directive.service},
               {"order", directive.order},
               {"mode", std::string(NameOf(kRolloutModeNames, directive.mode))},
               {"allowance", directive.allowance}});
}

absl::StatusOr<rollout_directive> DecodeDirective(std::string_view text) {
  try {
    json node = ParseObject(text);
    return rollout_directive{.service = NonEmpty(node, "service"),
                             .order = OrderOf(node),
                             .mode = NamedOf(kRolloutModeNames, node, "mode"),
                             .allowance = CountOf(node, "allowance")};
  } catch (const std::exception& e) {
    return absl::InvalidArgumentError(e.what());
  }
}

std::string EncodeRecord(const rollout_record& record) {
  return Dump({{"order", record.order},
               {"target", record.target},
               {"state", std::string(NameOf(kRolloutStateNames, record.state))},
               {"leader", record.leader},
               {"peers", ToString(record.leader_address)},
               {"elapsed_ms", record.elapsed / kMillisecond},
               {"exposed", record.exposed},
               {"held", record.held},
               {"replaced", record.replaced}});
}

absl::StatusOr<rollout_record> DecodeRecord(std::string_view service,
                                            std::string_view text) {
  try {
    json node = ParseObject(text);
    rollout_record record{.service = std::string(service),
                          .order = OrderOf(node),
                          .target = NonEmpty(node, "target"),
                          .state = NamedOf(kRolloutStateNames, node, "state"),
                          .leader = StringOf(node.at("leader"), "leader")};
    absl::StatusOr<endpoint> peers =
        ParseEndpoint(StringOf(node.at("peers"), "peers"));
    if (!peers.ok()) return peers.status();
    record.leader_address = *std::move(peers);
    record.elapsed = IntegerOf<int64_t>(node.at("elapsed_ms"), "elapsed_ms", 0,
                                        kMaxElapsedMs) *
                     kMillisecond;
    record.exposed = CountOf(node, "exposed");
    record.held = VersionsOf(node, "held");
    record.replaced = VersionsOf(node, "replaced");
    return record;
  } catch (const std::exception& e) {
    return absl::InvalidArgumentError(e.what());
  }
}

}  // namespace baobabtray
