// The callers' interface: JSON to a checked request, and a query to its answer.
// docs/API.md describes both for callers.

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

constexpr int kMaxJsonDepth = 32;
constexpr int64_t kMaxDeadlineMs = 600'000;
constexpr size_t kMaxKeyBytes = 128;

struct query_request {
  std::string service;
  std::shared_ptr<const std::string> payload;  // raw JSON
  std::optional<micros> deadline;              // else the service's
  std::optional<priority> rank;                // else the service's
  std::optional<bool> idempotent;              // else the service's
  std::string key;                             // idempotency key, or ""
};

// Reads the body of a query. The error says what is wrong with it.
absl::StatusOr<query_request> ParseQueryRequest(std::string_view body);

// The answer to a finished query. Bodies are passed through as they came.
std::string RenderAnswer(const query& q, std::string_view request_id);

// A refusal or failure.
struct caller_error {
  int status = 400;
  std::string code;     // such as "unknown_service"
  std::string message;  // one sentence
  query_outcome outcome = query_outcome::kNotRun;
};
http_response RenderError(const caller_error& error,
                          std::string_view request_id);

// HTTP status for the answer of a finished query.
int HttpStatusOf(query_outcome outcome);

// A request id: 32 hex digits.
std::string NewRequestId(std::mt19937_64* random);

}  // namespace baobabtray

#endif  // TRAY_WIRE_CALLER_API_H_
