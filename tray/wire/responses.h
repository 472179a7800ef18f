// HTTP responses for the ends of queries, claims and handed-over requests.

#ifndef TRAY_WIRE_RESPONSES_H_
#define TRAY_WIRE_RESPONSES_H_

#include <string>

#include "tray/config/claim.h"
#include "tray/http/serve.h"
#include "tray/query/query.h"

namespace baobabtray {

// To a caller: the answer of a finished query, or that it was not run.
http_response QueryResponse(const query& q, const std::string& request_id);

// To the sender of a key that another request has: its outcome if it is known.
// `now_ms` is wall-clock time.
http_response DuplicateResponse(const claim_record& record,
                                const std::string& request_id, int64_t now_ms);

// To a peer that handed one shard over, with the stamp of the server that
// answered.
http_response PeerResponse(const query& q, const std::string& attempt_id);

}  // namespace baobabtray

#endif  // TRAY_WIRE_RESPONSES_H_
