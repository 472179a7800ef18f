// HTTP server on an Asio loop.
//
//   auto server = http_server::Start(loop, {.listen = address}, handler);
//
// The handler is called on the loop's thread with the complete request. It
// responds through the responder, at once or later, from any thread.
//
// Clients are not trusted. What is held for them is charged to an account (see
// byte_account.h), and what a connection may hold and how long it may take are
// limited. A request over a limit is answered with 413, 431 or 503, of which
// none has run, and its connection is closed; one that makes no progress is
// closed. See docs/design/untrusted-clients.md.

#ifndef TRAY_HTTP_SERVE_H_
#define TRAY_HTTP_SERVE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/status/statusor.h"
#include "tray/base/endpoint.h"
#include "tray/base/enum_names.h"
#include "tray/http/byte_account.h"

namespace asio {
class io_context;
}

namespace baobabtray {

struct http_request {
  std::string method;
  std::string target;  // path and query as received, not normalised
  std::string path;    // without the query
  std::string query;   // after '?', as received
  std::string body;
  std::vector<std::pair<std::string, std::string>>
      headers;  // names as received
  // Identifies the connection that carried the request; unique per server.
  uint64_t connection_id = 0;
};

// Value of header `name` (case-insensitive), or "" if absent.
std::string_view HeaderOf(const http_request& request, std::string_view name);

// Value of query parameter `name`, or "" if absent. Does not percent-decode.
std::string_view QueryParameter(const http_request& request,
                                std::string_view name);

struct http_response {
  int status = 200;
  std::string body;
  std::string content_type = "application/json";  // empty: header omitted
  std::vector<std::pair<std::string, std::string>> headers;
  bool close = false;  // close the connection after the response
};

// Called when a connection has been closed by either end.
using close_handler = std::function<void(uint64_t connection)>;

// Sends the response to one request. Copyable; calls after the first are
// ignored.
using responder = std::function<void(http_response)>;
using http_handler = std::function<void(http_request, responder)>;

// Why a client was refused or its connection closed.
enum class client_fault {
  kHeadTooLarge,
  kBodyTooLarge,
  kNoMemory,            // the account refused a request or a response
  kInvalid,             // not a request
  kSlowRequest,         // a request made no progress, or took too long
  kSlowReader,          // a response was not read
  kTooManyConnections,  // closed for a new one, or not accepted
  kNoDescriptors,       // an accept failed
};
constexpr name_table<client_fault, 8> kClientFaultNames = {{
    {client_fault::kHeadTooLarge, "head_too_large"},
    {client_fault::kBodyTooLarge, "body_too_large"},
    {client_fault::kNoMemory, "no_memory"},
    {client_fault::kInvalid, "invalid"},
    {client_fault::kSlowRequest, "slow_request"},
    {client_fault::kSlowReader, "slow_reader"},
    {client_fault::kTooManyConnections, "too_many_connections"},
    {client_fault::kNoDescriptors, "no_descriptors"},
}};

struct serve_options {
  endpoint listen;
  bool reuse_port = false;  // SO_REUSEPORT: several loops share the port
  size_t max_body_bytes = 1 << 20;     // larger bodies get 413
  size_t max_header_bytes = 16 << 10;  // larger headers get 431
  // Idle time before a request. A request itself may take as long, but at most
  // 60 s, and pause for at most 10 s.
  int read_timeout_seconds = 30;
  size_t max_connections = 4096;
  byte_account_ref account;  // of what is held for clients; null: none
  // Called for each client_fault, on the loop's thread.
  std::function<void(client_fault)> on_fault;
  // If set, a close by the caller is noticed while its request is being
  // handled. For that the connection is read meanwhile, so it may carry one
  // pipelined request.
  close_handler on_close;
};

class http_server {
 public:
  // `handler` must remain valid until the loop has ended.
  static absl::StatusOr<std::unique_ptr<http_server>> Start(
      asio::io_context& loop, const serve_options& options,
      http_handler handler);
  ~http_server();

  // Stops accepting connections; requests on open ones are still served. Must
  // be called on the loop's thread.
  void StopAccepting();

  // Number of requests that have been read and whose response is not yet
  // written completely, on connections that are still open. Thread-safe.
  int unanswered() const;

 private:
  class impl;
  explicit http_server(std::unique_ptr<impl> i);
  std::unique_ptr<impl> impl_;
};

}  // namespace baobabtray

#endif  // TRAY_HTTP_SERVE_H_
