// Parsing of callers' requests and rendering of answers. See caller_api.h.

#include "tray/wire/caller_api.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>

#include "tray/base/json.h"

namespace baobabtray {
namespace {

using nlohmann::json;

absl::Status Invalid(std::string_view reason) {
  return absl::InvalidArgumentError({reason.data(), reason.size()});
}

absl::Status ReadDeadline(const json& j, query_request* out) {
  if (!j.is_number_integer()) return Invalid("'deadline_ms' must be a number");
  int64_t ms = j.get<int64_t>();
  if (ms < 1 || ms > kMaxDeadlineMs) {
    return Invalid(
        fmt::format("'deadline_ms' must be from 1 to {}", kMaxDeadlineMs));
  }
  out->deadline = ms * kMillisecond;
  return absl::OkStatus();
}

absl::Status ReadField(const std::string& name, const json& value,
                       query_request* out) {
  if (name == "service") {
    if (!value.is_string()) return Invalid("'service' must be a string");
    out->service = value.get<std::string>();
  } else if (name == "payload") {
    out->payload = std::make_shared<std::string>(value.dump());
  } else if (name == "deadline_ms") {
    return ReadDeadline(value, out);
  } else if (name == "priority") {
    if (value.is_string()) {
      out->rank = ValueOf(kPriorityNames, value.get<std::string>());
    }
    if (!out->rank) {
      return Invalid("'priority' must be urgent, normal or audit");
    }
  } else if (name == "idempotent") {
    if (!value.is_boolean()) return Invalid("'idempotent' must be a boolean");
    out->idempotent = value.get<bool>();
  } else if (name == "key") {
    if (!value.is_string() || value.get<std::string>().empty() ||
        value.get<std::string>().size() > kMaxKeyBytes) {
      return Invalid(
          fmt::format("'key' must be a string of 1 to {} bytes", kMaxKeyBytes));
    }
    out->key = value.get<std::string>();
  } else {
    return Invalid(fmt::format("unknown field '{}'", name.substr(0, 64)));
  }
  return absl::OkStatus();
}

}  // namespace

absl::StatusOr<query_request> ParseQueryRequest(std::string_view body) {
  if (IsNestedDeeper(body, kMaxJsonDepth)) {
    return Invalid(fmt::format("JSON nested deeper than {}", kMaxJsonDepth));
  }
  json j = ParseJson(body);
  if (j.is_discarded()) return Invalid("the body is not well-formed JSON");
  if (!j.is_object()) return Invalid("the body must be a JSON object");
  query_request request;
  for (const auto& [name, value] : j.items()) {
    absl::Status status;
    try {
      status = ReadField(name, value, &request);
    } catch (const json::exception&) {
      // dump() throws on strings that are not valid UTF-8.
      status = Invalid(fmt::format("'{}' is not valid UTF-8", name));
    }
    if (!status.ok()) return status;
  }
  if (request.service.empty()) return Invalid("'service' is missing");
  if (request.payload == nullptr) {
    request.payload = std::make_shared<std::string>("null");
  }
  return request;
}

std::string RenderAnswer(const query& q, std::string_view request_id) {
  const service_topology& t = *q.config_view->topology;
  auto name_of = [&](const shard_state& s) -> std::string_view {
    return s.target.service < 0 ? std::string_view("?")
                                : t.services[s.target.service].name;
  };
  std::string missing, results;
  for (const shard_state& s : q.shards) {
    if (s.answered) {
      results +=
          fmt::format(R"({}{{"service":"{}","shard":{},"result":)",
                      results.empty() ? "" : ",", name_of(s), s.target.shard);
      results += s.body;
      results += '}';
    } else {
      missing +=
          fmt::format(R"({}{{"service":"{}","shard":{},"reason":"{}"}})",
                      missing.empty() ? "" : ",", name_of(s), s.target.shard,
                      NameOf(kMissReasonNames, s.reason));
    }
  }
  return fmt::format(
      R"({{"request_id":"{}","outcome":"{}","index_version":{},)"
      R"("coverage":{{"total":{},"answered":{},"missing":[{}]}},)"
      R"("results":[{}]}})",
      request_id, NameOf(kQueryOutcomeNames, q.outcome), q.version,
      q.shards.size(), q.answered, missing, results);
}

http_response RenderError(const caller_error& error,
                          std::string_view request_id) {
  json body = {{"request_id", request_id},
               {"outcome", NameOf(kQueryOutcomeNames, error.outcome)},
               {"error", {{"code", error.code}, {"message", error.message}}}};
  return {.status = error.status,
          .body = body.dump(-1, ' ', false, json::error_handler_t::replace)};
}

int HttpStatusOf(query_outcome outcome) {
  switch (outcome) {
    case query_outcome::kComplete:
    case query_outcome::kPartial:
      return 200;
    case query_outcome::kNotRun:
      return 503;
    case query_outcome::kUnknown:
      break;
  }
  return 504;
}

std::string NewRequestId(std::mt19937_64* random) {
  return fmt::format("{:016x}{:016x}", (*random)(), (*random)());
}

}  // namespace baobabtray
