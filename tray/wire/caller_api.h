// The API for callers: parses and validates queries in JSON, and renders
// answers and errors. docs/API.md documents it for callers.

#ifndef TRAY_WIRE_CALLER_API_H_
#define TRAY_WIRE_CALLER_API_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "tray/http/serve.h"
#include "tray/query/query.h"

namespace baobabtray {

constexpr int64_t kMaxDeadlineMs = 600'000;
constexpr size_t kMaxKeyBytes = 128;

// A query as sent by a caller. Unset optional fields default to the policy of
// the service.
struct query_request {
  std::string service;
  std::shared_ptr<const std::string> payload;  // JSON
  std::optional<micros> deadline;
  std::optional<priority> rank;
  std::optional<bool> idempotent;
  std::string key;  // idempotency key; "" if none
};

// Parses the body of a query. The message of an error is sent to the caller.
absl::StatusOr<query_request> ParseQueryRequest(std::string_view body);

// Renders the answer to a finished query. Bodies from backend servers are
// copied verbatim.
std::string RenderAnswer(const query& q, std::string_view request_id);

// A rejected or failed query.
struct caller_error {
  int status = 400;
  std::string code;     // machine-readable, such as "unknown_service"
  std::string message;  // one sentence
  query_outcome outcome = query_outcome::kNotRun;
};
http_response RenderError(const caller_error& error,
                          std::string_view request_id);

// HTTP status of the response to a finished query.
int HttpStatusOf(query_outcome outcome);

// Returns a random request id of 32 hex digits.
std::string NewRequestId(std::mt19937_64* random);

}  // namespace baobabtray

#endif  // TRAY_WIRE_CALLER_API_H_
