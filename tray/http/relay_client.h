// HTTP client for relayed requests: many small requests to many servers, over
// persistent connections, on one thread.
//
//   relay_client client(io_context);
//   client.SetMaxConnections(server, 3);
//   uint64_t id = client.Start({.to = server, .head = head, .id = "a1"},
//                              [](fetch_result r) { ... });
//   client.Cancel(id);   // closes the connection; the callback is not called
//
// fetch.h is the client for everything else. A relayed request takes one write
// and one read here, compared with about nine system calls and 90 us in libcurl
// (see docs/design/platform.md); a request over 50 shards pays that 50 times.
//
// A request is written once. It is moved to another connection only if the
// first accepted no byte of it, so a server cannot receive it twice. A reply
// must echo the id of its request. A duplicate reply to the previous request,
// which some servers send, is skipped; any other unexpected reply closes the
// connection.
//
// A server may answer before it has read a long request. The connection then
// carries the next request only after the rest of this one; if the server does
// not read it before the request's timeout, or rejected the request and the
// connection is needed for another one, it is closed instead.
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
  // Request line and the header lines that all attempts of a request share,
  // each terminated by CRLF.
  std::shared_ptr<const std::string> head;
  // Further header lines, of this attempt only.
  std::string attempt_headers;
  std::shared_ptr<const std::string> body;  // may be null
  bool no_reply_body = false;               // a HEAD request
  std::string id;                           // the reply must echo it
  std::string id_header;                    // header that echoes the id
  micros timeout = 1 * kSecond;
  // Limits the wait for a free connection, and then the time to connect.
  micros connect_timeout = 1 * kSecond;
  // Nothing is sent later than this after Start; 0: no limit but `timeout`.
  micros send_within = 0;
  // Asked just before the request is written, if set; false: it is not sent.
  std::function<bool()> may_send;
  // Use a new connection, which the server does not close as idle just as the
  // request is sent.
  bool new_connection = false;
  // Before its first request, a new connection must stay open for as long as it
  // took to connect. A server with too many connections resets it within that
  // time, and the request is then known not to have been sent.
  bool delay_first_send = false;
};

class relay_client {
 public:
  explicit relay_client(asio::io_context& loop);
  ~relay_client();
  relay_client(const relay_client&) = delete;
  relay_client& operator=(const relay_client&) = delete;

  // Replies are charged to `account` while they are held. One that it refuses
  // ends as kBroken. Called before the first request.
  void SetAccount(byte_account_ref account);

  // Limits the connections to `to`, including idle ones. Requests beyond the
  // limit wait. Once it is lowered, surplus idle connections are closed when
  // they would be used next.
  void SetMaxConnections(const endpoint& to, int connections);

  // Number of established connections to `to`.
  int OpenConnections(const endpoint& to);

  // Closes the idle connections to `to`.
  void CloseIdle(const endpoint& to);

  // Tries to connect, and keeps the connection if the limit allows it. A server
  // that accepts the connection but resets it at once counts as not connected.
  // `done` is called once, never from within Probe.
  void Probe(const endpoint& to, micros timeout,
             std::function<void(bool connected)> done);

  // Starts a request. The callback is called once, never from within Start.
  uint64_t Start(relay_call call, fetch_callback done);

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

#endif  // TRAY_HTTP_RELAY_CLIENT_H_
