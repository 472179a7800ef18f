// HTTP messages between the tier and backend servers, and between hosts that
// forward requests to each other: conversion of headers to typed values and
// back. docs/BACKEND.md documents the protocol for authors of backend servers.

#ifndef TRAY_WIRE_BACKEND_WIRE_H_
#define TRAY_WIRE_BACKEND_WIRE_H_

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
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

// Metadata of a request for one shard, sent as headers.
struct shard_request {
  std::string service;
  int shard = 0;
  uint64_t version = 0;
  priority rank = priority::kNormal;
  bool idempotent = true;
  micros deadline = 0;  // remaining time
};

std::vector<std::string> ToHeaders(const shard_request& r);

// Parses the headers of a request that a peer forwarded.
absl::StatusOr<shard_request> ParseShardRequest(const http_request& r);

// Derives the result of an attempt from its reply. Does not resolve the server
// that a peer names in kServerHeader.
attempt_result ParseAttemptResult(fetch_result reply);

// Headers in which a host tells a peer which server answered, and the state
// that the server reported.
std::vector<std::pair<std::string, std::string>> ReportHeaders(
    std::string_view server, uint64_t version, const server_report& report);
constexpr std::string_view kServerHeader = "X-Server";
constexpr std::string_view kNotRunHeader = "X-Not-Run";

// Whether the shards of a version are in ascending order and less than its
// total, and the total is within the limit for a service. Reports from servers
// and peers are used only if this holds.
bool IsValidVersionReport(const version_report& v);
// Decodes a version report. Throws std::exception if a field is invalid.
version_report VersionOf(const nlohmann::json& version,
                         const nlohmann::json& total,
                         const nlohmann::json& shards);

struct health_report {
  server_report report;
  std::vector<version_report> versions;
};
absl::StatusOr<health_report> ParseHealthReport(std::string_view json);

}  // namespace baobabtray

#endif  // TRAY_WIRE_BACKEND_WIRE_H_
