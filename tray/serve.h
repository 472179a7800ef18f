// HTTP server on an Asio loop, by RESTinio.
//
//   auto server = http_server::Start(loop, {.listen = address}, handler);
//
// The handler is called on the loop's thread with the whole request; it answers
// now or later, from any thread, through the responder. RESTinio's headers are
// included by serve.cc alone, which keeps builds fast.

#ifndef TRAY_SERVE_H_
#define TRAY_SERVE_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/status/statusor.h"
#include "tray/endpoint.h"

namespace asio {
class io_context;
}

namespace baobabtray {

struct http_request {
  std::string method;
  std::string path;   // without the query part
  std::string query;  // after '?', as sent
  std::string body;
  // Header names in lower case.
  std::vector<std::pair<std::string, std::string>> headers;
};

// Value of header `name` (in lower case), or "".
std::string_view HeaderOf(const http_request& request, std::string_view name);

// Value of `name` in the query part, or "". No escapes are decoded.
std::string_view QueryField(const http_request& request, std::string_view name);

struct http_response {
  int status = 200;
  std::string body;
  std::string content_type = "application/json";
  std::vector<std::pair<std::string, std::string>> headers;
  bool close = false;  // close the connection afterwards
};

// Sends the response to one request. Copyable; the first call counts.
using responder = std::function<void(http_response)>;
using http_handler = std::function<void(http_request, responder)>;

struct serve_options {
  endpoint listen;
  bool share_port = false;     // several loops listen on the same port
  size_t max_body = 1 << 20;   // larger bodies get 413
  size_t max_head = 16 << 10;  // larger heads get 431
  int message_seconds = 30;    // time for a request to arrive, idle included
  size_t max_connections = 4096;
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

#endif  // TRAY_SERVE_H_
