// Responses. See responses.h.

#include "tray/wire/responses.h"

#include <string>

#include "tray/wire/backend_wire.h"
#include "tray/wire/caller_api.h"

namespace baobabtray {

http_response QueryResponse(const query& q, const std::string& id) {
  if (q.outcome == query_outcome::kNotRun) {
    std::string why = q.shards.empty()
                          ? "no index version is known yet"
                          : "no backend server could take the request";
    return RenderError({.status = 503, .code = "unavailable", .message = why},
                       id);
  }
  return {.status = HttpStatusOf(q.outcome), .body = RenderAnswer(q, id)};
}

http_response DuplicateResponse(const claim_record& record,
                                const std::string& id, int64_t now_ms) {
  if (record.state == claim_state::kDone && !record.answer.empty()) {
    return {.status = 200,
            .body = record.answer,
            .headers = {{"X-Duplicate", "1"}}};
  }
  caller_error error{.status = 409, .outcome = query_outcome::kUnknown};
  if (record.state == claim_state::kDone) {
    error.code = "duplicate";
    error.message = "the request was run; its answer was too large to keep";
  } else if (now_ms < record.until_ms) {
    error.code = "in_progress";
    error.message = "another request with this key is being run";
  } else {
    error.code = "unknown";
    error.message =
        "another request with this key was begun and its outcome "
        "is not known";
  }
  return RenderError(error, id);
}

http_response PeerResponse(const query& q, const std::string& attempt) {
  http_response r{.body = "{}"};
  const shard_state* s = q.shards.empty() ? nullptr : &q.shards[0];
  if (s != nullptr && s->answered) {
    std::string server;
    if (s->answered_by >= 0) {
      server = q.config_view->topology->servers[s->answered_by].name;
    }
    r.headers = ReportHeaders(server, q.version, s->report);
    r.body = s->body;
  } else if (q.outcome == query_outcome::kNotRun) {
    bool gone = s != nullptr && s->reason == miss_reason::kVersionGone;
    r.status = gone ? 409 : 503;
    r.headers.push_back({std::string(kNotRunHeader), "handed_over"});
  } else {
    r.status = 504;
  }
  r.headers.push_back({std::string(kAttemptIdHeader), attempt});
  return r;
}

}  // namespace baobabtray
