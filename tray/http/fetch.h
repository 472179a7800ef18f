// HTTP client of one thread: libcurl's multi interface on an Asio loop.
//
//   fetcher client(io_context);
//   client.SetMaxConnections(server, 3);
//   uint64_t id = client.Start({.to = server, .path = "/query", .body = body},
//                              [](fetch_result r) { ... });
//   client.Cancel(id);   // closes that connection; the callback is not called
//
// Every origin has a connection pool (a CURLM) of its own, so that the number
// of connections to it, idle ones included, is bounded exactly and can be
// lowered while running. All calls and callbacks happen on the loop's thread.
//
// libcurl sends a request again by itself when a reused connection dies before
// the first byte of the reply, POST included. A request with `new_connection`
// set goes on a new connection that is not reused, for which libcurl does not
// do that. Relayed requests have a client of their own, relay_client.h.

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

namespace asio {
class io_context;
}

namespace baobabtray {

// Header by which a reply names the request that it answers.
constexpr std::string_view kAttemptIdHeader = "X-Attempt-Id";

// Replies with larger bodies are failures.
constexpr size_t kMaxReplyBytes = 8 << 20;

struct fetch_request {
  std::string method = "POST";
  endpoint to;
  std::string path = "/";            // with the query part; sent as it is
  std::vector<std::string> headers;  // "Name: value"
  std::shared_ptr<const std::string> body;        // may be null
  std::string content_type = "application/json";  // of a body; empty: none
  micros timeout = 1 * kSecond;
  micros connect_timeout = 1 * kSecond;
  bool new_connection = false;  // on a connection of its own, never resent
  std::string attempt_id;       // not empty: sent, and the reply must echo it
  bool tcp_keepalive = false;   // probes find a connection that has gone silent
};

enum class fetch_fault {
  kNone,         // a whole reply arrived, with any status
  kNotSent,      // no byte of the request left this host
  kBroken,       // the connection broke, or the reply was cut short
  kTimedOut,     // bytes may have left
  kIdMismatch,   // the reply echoed another id; the connection was closed
  kPoolTimeout,  // no connection became free in time; no byte left this host
};
constexpr name_table<fetch_fault, 6> kFetchFaultNames = {{
    {fetch_fault::kNone, "none"},
    {fetch_fault::kNotSent, "not_sent"},
    {fetch_fault::kBroken, "broken"},
    {fetch_fault::kTimedOut, "timed_out"},
    {fetch_fault::kIdMismatch, "crossed"},
    {fetch_fault::kPoolTimeout, "no_turn"},
}};

struct fetch_result {
  fetch_fault fault = fetch_fault::kNone;
  int status = 0;
  // Headers of the reply, with names as sent; of a fetcher only those whose
  // names start with "X-".
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
};

// Value of header `name` (any case) in a result, or "".
std::string_view HeaderOf(const fetch_result& result, std::string_view name);

// `text` as a value in the query part of a path. Slashes stay as they are.
std::string EscapeForQuery(std::string_view text);

using fetch_callback = std::function<void(fetch_result)>;

class fetcher {
 public:
  explicit fetcher(asio::io_context& loop);
  ~fetcher();
  fetcher(const fetcher&) = delete;
  fetcher& operator=(const fetcher&) = delete;

  // Bounds the connections to `to`; idle ones above the bound are closed when
  // the next request on them ends. Default kDefaultConnections.
  void SetMaxConnections(const endpoint& to, int connections);

  // Starts a request. The callback is called once, never from within Start.
  uint64_t Start(fetch_request request, fetch_callback done);

  // Gives a request up and closes its connection. Unknown ids are ignored.
  void Cancel(uint64_t id);

  // Requests under way.
  size_t in_flight() const;

  // Connections opened so far.
  uint64_t connections_opened() const;

  static constexpr int kDefaultConnections = 16;

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace baobabtray

#endif  // TRAY_HTTP_FETCH_H_
