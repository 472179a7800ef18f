// The messages between the tier and backend servers, and between hosts that
// hand requests over: HTTP headers to typed values and back. docs/BACKEND.md is
// the page for those who write backend servers.

#ifndef TRAY_WIRE_BACKEND_WIRE_H_
#define TRAY_WIRE_BACKEND_WIRE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "tray/fleet/server_report.h"
#include "tray/http/fetch.h"
#include "tray/http/serve.h"
#include "tray/query/query.h"
#include "tray/text/topology.h"

namespace baobabtray {

// What a request for one shard says besides its payload.
struct shard_request {
  std::string service;
  int shard = 0;
  uint64_t version = 0;
  priority rank = priority::kNormal;
  bool idempotent = true;
  micros deadline = 0;  // left
};

std::vector<std::string> ToHeaders(const shard_request& r);

// Reads a request that a peer handed over.
absl::StatusOr<shard_request> ParseShardRequest(const http_request& r);

// How an attempt ended, from its reply. The position of a server that a peer
// names is not filled in.
attempt_result ParseAttemptResult(fetch_result reply);

// Headers by which a host tells a peer which server answered, and how it is.
std::vector<std::pair<std::string, std::string>> ReportHeaders(
    std::string_view server, uint64_t version, const server_report& report);
constexpr std::string_view kServerHeader = "X-Server";
constexpr std::string_view kNotRunHeader = "X-Not-Run";

// True if the shards of a version are ascending, within its total, and within
// what a service may have. Checked before a report of a server or a peer is
// believed.
bool IsSound(const version_report& v);

// A health report.
struct health_report {
  server_report report;
  std::vector<version_report> versions;
};
absl::StatusOr<health_report> ParseHealthReport(std::string_view json);

}  // namespace baobabtray

#endif  // TRAY_WIRE_BACKEND_WIRE_H_
