// HTTP server on an Asio loop, by RESTinio.
//
//   auto server = http_server::Start(loop, {.listen = address}, handler);
//
// The handler is called on the loop's thread with the whole request; it answers
// now or later, from any thread, through the responder. RESTinio's headers are
// included by serve.cc alone, which keeps builds fast.

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

namespace asio {
class io_context;
}

namespace baobabtray {

struct http_request {
  std::string method;
  std::string target;  // path and query as sent, never normalised
  std::string path;    // without the query part
  std::string query;   // after '?', as sent
  std::string body;
  std::vector<std::pair<std::string, std::string>> headers;  // names as sent
  // Identifies the connection that carried the request; unique per server.
  uint64_t connection_id = 0;
};

// Value of header `name` (any case), or "".
std::string_view HeaderOf(const http_request& request, std::string_view name);

// Value of `name` in the query part, or "". No escapes are decoded.
std::string_view QueryParameter(const http_request& request,
                                std::string_view name);

struct http_response {
  int status = 200;
  std::string body;
  std::string content_type = "application/json";  // empty: no such header
  std::vector<std::pair<std::string, std::string>> headers;
  bool close = false;  // close the connection afterwards
};

// Told when a connection has closed, whichever end closed it.
using close_handler = std::function<void(uint64_t connection)>;

// Sends the response to one request. Copyable; the first call counts.
using responder = std::function<void(http_response)>;
using http_handler = std::function<void(http_request, responder)>;

struct serve_options {
  endpoint listen;
  bool reuse_port = false;             // several loops listen on the same port
  size_t max_body_bytes = 1 << 20;     // larger bodies get 413
  size_t max_header_bytes = 16 << 10;  // larger heads get 431
  int read_timeout_seconds = 30;  // time for a request to arrive, idle included
  size_t max_connections = 4096;
  // Set: a caller's close is noticed while its request runs. The connection is
  // then read on meanwhile, and may carry one pipelined request.
  close_handler on_close;
};

class http_server {
 public:
  // `handler` must stay valid until the loop has ended.
  static absl::StatusOr<std::unique_ptr<http_server>> Start(
      asio::io_context& loop, const serve_options& options,
      http_handler handler);
  ~http_server();

  // Accepts no new connections; requests on open ones are still served. Call on
  // the loop's thread.
  void StopAccepting();

 private:
  class impl;
  explicit http_server(std::unique_ptr<impl> i);
  std::unique_ptr<impl> impl_;
};

}  // namespace baobabtray

#endif  // TRAY_HTTP_SERVE_H_
