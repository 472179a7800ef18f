// Tests of peers that send bytes without end, in a head or in a body, until the
// connection is closed: backend servers, hubs and callers. Linked into
// http_test.

#include <criterion/criterion.h>

#include <array>
#include <asio.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "tray/base/clock.h"
#include "tray/http/fetch.h"
#include "tray/http/relay_client.h"
#include "tray/http/reply_reader.h"
#include "tray/http/serve.h"

using namespace baobabtray;  // NOLINT: test file
using asio::ip::tcp;

namespace {

constexpr char kHost[] = "127.0.0.1";
// A head is rejected within this many bytes.
constexpr size_t kHeadBytes = 128 << 10;
// A chunked body is rejected within this many times its limit (serve.cc).
constexpr size_t kCallerBodyBytes = 16 << 20;
// What the sockets of both ends may hold beyond what was read.
constexpr size_t kSocketBytes = 8 << 20;

struct endless_reply {
  const char* name;
  std::string start;
  std::string repeated;
  size_t limit;  // bytes until it is rejected
};

std::vector<endless_reply> EndlessReplies() {
  std::string ok = "HTTP/1.1 200 OK\r\nRequest-Id: a\r\n";
  std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
  std::string long_text(1000, 'a');
  return {
      {"header value", ok + "X: ", long_text, kHeadBytes},
      {"header lines", ok, "X-Line: value\r\n", kHeadBytes},
      {"status line", "HTTP/1.1 200 ", long_text, kHeadBytes},
      {"interim replies", "", "HTTP/1.1 100 Continue\r\n\r\n", kHeadBytes},
      {"bytes that are no reply", "", "\x16\x03\x01", kHeadBytes},
      {"empty lines", "", "\r\n\r\n", kHeadBytes},
      {"chunk extension", chunked + "1;", long_text, kHeadBytes},
      {"trailers", chunked + "0\r\n", "X-Line: value\r\n", kHeadBytes},
      {"body without a length", ok + "\r\n", long_text,
       kMaxReplyBytes + kHeadBytes},
      {"chunks", chunked, "3e8\r\n" + long_text + "\r\n",
       kMaxReplyBytes + kMaxReplyBytes / 50},
  };
}

// Accepts connections and sends bytes on each until it is closed.
class endless_server {
 public:
  endless_server(asio::io_context& loop, uint16_t port, endless_reply reply)
      : acceptor_(loop, {asio::ip::make_address(kHost), port}),
        reply_(std::move(reply)) {
    block_ = reply_.repeated;
    while (block_.size() < 64 << 10) block_ += reply_.repeated;
    Accept();
  }

  int accepted = 0;
  int closed = 0;
  size_t sent = 0;

 private:
  using socket_ref = std::shared_ptr<tcp::socket>;

  void Accept() {
    acceptor_.async_accept([this](std::error_code error, tcp::socket s) {
      if (error) return;
      ++accepted;
      auto socket = std::make_shared<tcp::socket>(std::move(s));
      // Sends only after the first bytes of the request.
      auto buffer = std::make_shared<std::array<char, 4096>>();
      socket->async_read_some(
          asio::buffer(*buffer),
          [this, socket, buffer](std::error_code failed, size_t) {
            if (!failed) Send(socket, &reply_.start);
          });
      Accept();
    });
  }

  void Send(const socket_ref& socket, const std::string* bytes) {
    asio::async_write(*socket, asio::buffer(*bytes),
                      [this, socket](std::error_code error, size_t n) {
                        sent += n;
                        if (error) {
                          ++closed;
                          return;
                        }
                        Send(socket, &block_);
                      });
  }

  tcp::acceptor acceptor_;
  const endless_reply reply_;
  std::string block_;
};

template <typename Done>
void RunUntil(asio::io_context& loop, const char* name, Done done) {
  for (int i = 0; i < 8000 && !done(); ++i)
    loop.run_for(std::chrono::milliseconds(1));
  cr_assert(done(), "%s: timed out waiting", name);
}

}  // namespace

Test(endless_input, replies_are_rejected_within_their_limit) {
  for (const endless_reply& r : EndlessReplies()) {
    reply_reader reader;
    reader.Begin({.id = "a", .id_header = "Request-Id", .previous_id = "z"});
    size_t fed = r.start.size();
    if (fed > 0) reader.Feed(r.start.data(), fed);  // 0 would be the end
    while (reader.state() == reply_state::kReading && fed <= r.limit) {
      reader.Feed(r.repeated.data(), r.repeated.size());
      fed += r.repeated.size();
    }
    cr_expect_eq(reader.state(), reply_state::kInvalid, "%s after %zu bytes",
                 r.name, fed);
  }
}

// The attempt fails, and its connection is closed, long before its deadline.
Test(endless_input, attempt_at_a_server_fails_and_closes_the_connection) {
  uint16_t port = 17601;
  for (const endless_reply& r : EndlessReplies()) {
    asio::io_context loop{1};
    endless_server server(loop, ++port, r);
    relay_client client(loop);
    bool done = false;
    fetch_fault fault = fetch_fault::kNone;
    client.Start({.to = {kHost, port},
                  .head = std::make_shared<std::string>(
                      "GET /x HTTP/1.1\r\nHost: h\r\nRequest-Id: a\r\n"),
                  .id = "a",
                  .id_header = "Request-Id",
                  .timeout = 30 * kSecond},
                 [&](const fetch_result& end) {
                   done = true;
                   fault = end.fault;
                 });
    RunUntil(loop, r.name, [&] { return done && server.closed == 1; });
    cr_expect_eq(fault, fetch_fault::kBroken, "%s", r.name);
    cr_expect_eq(client.OpenConnections({kHost, port}), 0);
    cr_expect_leq(server.sent, r.limit + kSocketBytes, "%s: %zu bytes", r.name,
                  server.sent);
  }
}

// As from a hub or the store. Bytes that libcurl discards may last until the
// time limit.
Test(endless_input, fetch_fails_within_its_time_limit) {
  constexpr micros kTimeout = 1 * kSecond;
  uint16_t port = 17621;
  for (const endless_reply& r : EndlessReplies()) {
    asio::io_context loop{1};
    endless_server server(loop, ++port, r);
    fetcher http(loop);
    bool done = false;
    fetch_result result;
    http.Start({.method = "GET",
                .to = {kHost, port},
                .path = "/changes",
                .timeout = kTimeout},
               [&](fetch_result end) {
                 done = true;
                 result = std::move(end);
               });
    micros start = SteadyNow();
    RunUntil(loop, r.name, [&] { return done && server.closed == 1; });
    cr_expect_neq(result.fault, fetch_fault::kNone, "%s", r.name);
    cr_expect_lt(SteadyNow() - start, 2 * kTimeout, "%s", r.name);
    size_t held = result.body.size();
    for (const auto& [name, value] : result.headers)
      held += name.size() + value.size();
    cr_expect_leq(held, r.limit, "%s: %zu bytes held", r.name, held);
  }
}

// A caller whose head or body never ends is closed; others are served.
Test(endless_input, caller_is_closed_and_others_are_served) {
  const std::string long_text(1000, 'a');
  const endless_reply requests[] = {
      {"header lines", "GET / HTTP/1.1\r\n", "X-Line: value\r\n", kHeadBytes},
      {"target", "GET /", long_text, kHeadBytes},
      {"chunked body",
       "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n",
       "3e8\r\n" + long_text + "\r\n", kCallerBodyBytes},
  };
  uint16_t port = 17641;
  for (const endless_reply& r : requests) {
    asio::io_context loop{1};
    int handled = 0;
    auto server = http_server::Start(
        loop, {.listen = {kHost, ++port}, .max_body_bytes = 1 << 20},
        [&](const http_request&, const responder& respond) {
          ++handled;
          respond({.body = "{}"});
        });
    cr_assert(server.ok());
    tcp::socket socket(loop);
    socket.connect({asio::ip::make_address(kHost), port});
    std::string block;
    while (block.size() < 64 << 10) block += r.repeated;
    size_t sent = 0;
    bool closed = false;
    std::function<void(const std::string&)> send = [&](const std::string& b) {
      asio::async_write(socket, asio::buffer(b),
                        [&](std::error_code error, size_t n) {
                          sent += n;
                          closed = static_cast<bool>(error);
                          if (!closed) send(block);
                        });
    };
    send(r.start);
    fetcher http(loop);
    bool done = false;
    int status = 0;
    http.Start({.method = "GET", .to = {kHost, port}, .timeout = 5 * kSecond},
               [&](const fetch_result& end) {
                 done = true;
                 status = end.status;
               });
    RunUntil(loop, r.name, [&] { return done && closed; });
    cr_expect_eq(status, 200, "%s", r.name);
    cr_expect_leq(handled, 2);
    cr_expect_leq(sent, r.limit + kSocketBytes, "%s: %zu bytes", r.name, sent);
  }
}
