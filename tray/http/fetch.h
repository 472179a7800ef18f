// Single-threaded HTTP client: libcurl's multi interface on an Asio loop.
//
//   fetcher client(io_context);
//   client.SetMaxConnections(server, 3);
//   uint64_t id = client.Start({.to = server, .path = "/query", .body = body},
//                              [](fetch_result r) { ... });
//   client.Cancel(id);   // closes the connection; the callback is not called
//
// Each origin has its own connection pool (a CURLM), so that the number of
// connections to it, including idle ones, has an exact limit that can be
// lowered at run time. All calls and callbacks happen on the loop's thread.
//
// libcurl resends a request by itself if a reused connection dies before
// the first byte of the reply, POST included. A request with `new_connection`
// set goes on a new connection that is not reused, for which libcurl does not
// do that. relay_client.h has the client for relayed requests.

#ifndef TRAY_HTTP_FETCH_H_
#define TRAY_HTTP_FETCH_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "tray/base/endpoint.h"
#include "tray/base/enum_names.h"
#include "tray/base/time.h"
#include "tray/http/byte_account.h"

namespace asio {
class io_context;
}

namespace baobabtray {

// Header in which a reply echoes the id of its request.
constexpr std::string_view kAttemptIdHeader = "X-Attempt-Id";

// A reply with a larger body is a failure.
constexpr size_t kMaxReplyBytes = 8 << 20;
// The same for its headers and trailers together.
constexpr size_t kMaxReplyHeadBytes = 64 << 10;

struct fetch_request {
  std::string method = "POST";
  endpoint to;
  std::string path = "/";                   // with the query; sent verbatim
  std::vector<std::string> headers;         // "Name: value"
  std::shared_ptr<const std::string> body;  // may be null
  std::string content_type = "application/json";  // of a body; empty: none
  micros timeout = 1 * kSecond;
  micros connect_timeout = 1 * kSecond;
  bool new_connection = false;  // not reused; never resent
  std::string attempt_id;       // if set: sent, and the reply must echo it
  bool tcp_keepalive = false;   // probes to detect a dead connection
  // Connections that have been idle since before another request to the origin
  // went unanswered are not used: a network that dropped one connection's state
  // may have dropped those of all.
  bool avoid_silent = false;
  // Name of a header of the reply that is kept, in lower case; empty: none.
  std::string kept_header;
};

enum class fetch_fault {
  kNone,         // a complete reply arrived, with any status
  kNotSent,      // no byte of the request was sent
  kBroken,       // the connection failed, or the reply was truncated
  kTimedOut,     // bytes may have been sent
  kIdMismatch,   // not a reply to this request; the connection was closed
  kPoolTimeout,  // no connection became free in time; nothing was sent
  kExpired,      // it may no longer be sent (relay_call::may_send); it was not
};
constexpr name_table<fetch_fault, 7> kFetchFaultNames = {{
    {fetch_fault::kNone, "none"},
    {fetch_fault::kNotSent, "not_sent"},
    {fetch_fault::kBroken, "broken"},
    {fetch_fault::kTimedOut, "timed_out"},
    {fetch_fault::kIdMismatch, "crossed"},
    {fetch_fault::kPoolTimeout, "no_turn"},
    {fetch_fault::kExpired, "expired"},
}};

struct fetch_result {
  fetch_fault fault = fetch_fault::kNone;
  // With kNotSent: the server accepted the connection and closed it at once, as
  // servers do that have too many connections. Only set by relay_client.
  bool connection_rejected = false;
  // With kBroken: the account had no room for the reply. Only set by
  // relay_client.
  bool over_account = false;
  int status = 0;
  // Headers of the reply, with names as received. fetcher keeps only those
  // whose names start with "X-", and fetch_request::kept_header.
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  // Charges the body to the account of the client, if it has one.
  std::shared_ptr<byte_charge> charge;
};

// Value of header `name` (case-insensitive), or "" if absent.
std::string_view HeaderOf(const fetch_result& result, std::string_view name);

// Percent-encodes `text` as a value in a query string. Leaves slashes as is.
std::string EscapeForQuery(std::string_view text);

using fetch_callback = std::function<void(fetch_result)>;

class fetcher {
 public:
  explicit fetcher(asio::io_context& loop);
  ~fetcher();
  fetcher(const fetcher&) = delete;
  fetcher& operator=(const fetcher&) = delete;

  // Limits the connections to `to`. Idle ones beyond the limit are closed when
  // the next request on them ends. Default: kDefaultConnections.
  void SetMaxConnections(const endpoint& to, int connections);

  // Replies are charged to `account` while they are held. One that it refuses
  // ends as kBroken.
  void SetAccount(byte_account_ref account);

  // Starts a request. The callback is called once, never from within Start.
  uint64_t Start(fetch_request request, fetch_callback done);

  // Cancels a request and closes its connection. Unknown ids are ignored.
  void Cancel(uint64_t id);

  // Number of requests in progress.
  size_t in_flight() const;

  // Number of connections opened so far.
  uint64_t connections_opened() const;

  static constexpr int kDefaultConnections = 16;

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace baobabtray

#endif  // TRAY_HTTP_FETCH_H_
