// HTTP client for relayed requests: many small requests to many servers, on
// kept connections, with one thread.
//
//   relay_client client(io_context);
//   client.SetMaxConnections(server, 3);
//   uint64_t id = client.Start({.to = server, .head = head, .id = "a1"},
//                              [](fetch_result r) { ... });
//   client.Cancel(id);   // closes its connection; the callback is not called
//
// fetch.h serves all other calls. A relayed request costs this host one write
// and one read here, against some nine system calls and 90 us in libcurl (see
// docs/design/platform.md); a request over 50 shards pays that 50 times.
//
// A request is written once. It is moved to another connection only if not one
// byte of it was taken by the first, so a server can't get it twice. A reply
// must echo the request's id. A second reply to the request before, which some
// servers send, is read over; any other stranger closes the connection.
//
// All calls and callbacks happen on the loop's thread.

#ifndef TRAY_HTTP_RELAY_CLIENT_H_
#define TRAY_HTTP_RELAY_CLIENT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "tray/base/endpoint.h"
#include "tray/base/time.h"
#include "tray/http/fetch.h"

namespace baobabtray {

struct relay_call {
  endpoint to;
  // Request line and header lines that all attempts of a request share, each
  // ended by CRLF; then the lines of this attempt alone.
  std::shared_ptr<const std::string> head;
  std::string attempt_headers;
  std::shared_ptr<const std::string> body;  // may be null
  bool no_reply_body = false;               // a HEAD request
  std::string id;                           // that the reply must echo
  std::string id_header;                    // in this header
  micros timeout = 1 * kSecond;
  // Bounds the wait for a free connection, and then for a new one.
  micros connect_timeout = 1 * kSecond;
  bool new_connection =
      false;  // on a new connection, where no idle close can cross it
  // A new connection is used only after it has stood for as long as it took to
  // be made. A server that has too many resets it by then, and the request is
  // known not to have been sent.
  bool delay_first_send = false;
};

class relay_client {
 public:
  explicit relay_client(asio::io_context& loop);
  ~relay_client();
  relay_client(const relay_client&) = delete;
  relay_client& operator=(const relay_client&) = delete;

  // Bounds the connections to `to`, idle ones included. Requests beyond it
  // wait. Idle ones above a lowered bound are closed when next used.
  void SetMaxConnections(const endpoint& to, int connections);

  // Open connections to `to`.
  int OpenConnections(const endpoint& to);

  // Tries to make a connection, which is kept if the bound allows it. `done` is
  // called once, never from within Probe.
  void Probe(const endpoint& to, micros timeout,
             std::function<void(bool connected)> done);

  // Starts a request. The callback is called once, never from within Start.
  uint64_t Start(relay_call call, fetch_callback done);

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

#endif  // TRAY_HTTP_RELAY_CLIENT_H_
