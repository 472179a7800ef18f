// HTTP responses to queries, to duplicate requests and to forwarded requests.

#ifndef TRAY_WIRE_RESPONSES_H_
#define TRAY_WIRE_RESPONSES_H_

#include <string>

#include "tray/config/claim.h"
#include "tray/http/serve.h"
#include "tray/query/query.h"

namespace baobabtray {

// Response to a caller: the answer to a finished query, or that it was not run.
http_response QueryResponse(const query& q, const std::string& request_id);

// Response to a request whose idempotency key was already claimed by another
// one: the outcome of that request if it is known. `now_ms` is wall-clock time.
http_response DuplicateResponse(const claim_record& record,
                                const std::string& request_id, int64_t now_ms);

// Response to a peer that forwarded a request for one shard, with the reported
// state of the server that answered.
http_response PeerResponse(const query& q, const std::string& attempt_id);

}  // namespace baobabtray

#endif  // TRAY_WIRE_RESPONSES_H_
