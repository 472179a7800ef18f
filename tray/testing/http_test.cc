// Tests of the HTTP server and client against peers that misbehave.

#include <criterion/criterion.h>

#include <asio.hpp>
#include <chrono>
#include <csignal>
#include <string>
#include <vector>

#include "tray/http/fetch.h"
#include "tray/http/serve.h"
#include "tray/standin/test_http_server.h"

using namespace baobabtray;  // NOLINT: test file
using standin::test_http_connection;
using standin::test_http_request;
using standin::test_http_server;

namespace {

constexpr char kHost[] = "127.0.0.1";
constexpr size_t kAnswerStart = 64;  // bytes of an answer that Raw returns

// Runs the loop until `done`, or far longer than anything here takes.
void RunUntil(asio::io_context& loop, const std::function<bool()>& done) {
  for (int i = 0; i < 6000 && !done(); ++i) {
    loop.run_for(std::chrono::milliseconds(5));
  }
  cr_assert(done(), "gave up waiting");
}

// Sends one request and returns its result.
fetch_result Fetch(asio::io_context& loop, fetcher& http, fetch_request r) {
  fetch_result result;
  bool done = false;
  http.Start(std::move(r), [&](fetch_result end) {
    result = std::move(end);
    done = true;
  });
  RunUntil(loop, [&] { return done; });
  return result;
}

fetch_request To(uint16_t port, const std::string& id = "") {
  return {.to = {kHost, port},
          .body = std::make_shared<std::string>("{}"),
          .timeout = 5 * kSecond,
          .attempt_id = id};
}

// Sends raw bytes to a server on the same loop and returns all it answers.
std::string Raw(asio::io_context& loop, uint16_t port, std::string bytes) {
  asio::ip::tcp::socket socket(loop);
  socket.connect({asio::ip::make_address(kHost), port});
  std::string answer;
  bool done = false;
  asio::async_write(socket, asio::buffer(bytes),
                    [](std::error_code, size_t) {});
  answer.resize(kAnswerStart);
  asio::async_read(socket, asio::buffer(answer),
                   [&](std::error_code, size_t) { done = true; });
  RunUntil(loop, [&] { return done; });
  socket.close();
  loop.run_for(std::chrono::milliseconds(5));
  return answer;
}

}  // namespace

Test(fetch, crossed_reply_is_refused_and_its_connection_closed) {
  asio::io_context loop(1);
  test_http_server server(
      loop, kHost, 17101,
      [](std::shared_ptr<test_http_connection> c, const test_http_request& r) {
        std::string id = r.HeaderValue("x-attempt-id");
        if (id == "a") id = "b";
        c->Reply(200, {{"X-Attempt-Id", id}}, "{}");
      });
  server.Listen();
  fetcher http(loop);
  cr_assert_eq(Fetch(loop, http, To(17101, "a")).fault,
               fetch_fault::kIdMismatch);
  cr_assert_eq(Fetch(loop, http, To(17101, "c")).fault, fetch_fault::kNone);
  cr_assert_eq(server.accepted_connections, 2u);
}

Test(fetch, cut_body_and_missing_end_are_failures) {
  asio::io_context loop(1);
  int turn = 0;
  test_http_server server(
      loop, kHost, 17102,
      [&](std::shared_ptr<test_http_connection> c, const test_http_request&) {
        if (++turn == 1) c->ReplyTruncated(200, {}, "{\"a\":1}");
        if (turn == 2) c->Reset();
      });
  server.Listen();
  fetcher http(loop);
  cr_assert_eq(Fetch(loop, http, To(17102)).fault, fetch_fault::kBroken);
  cr_assert_eq(Fetch(loop, http, To(17102)).fault, fetch_fault::kBroken);
}

Test(fetch, nothing_is_sent_where_nobody_listens) {
  asio::io_context loop(1);
  fetcher http(loop);
  cr_assert_eq(Fetch(loop, http, To(17103)).fault, fetch_fault::kNotSent);
}

// libcurl repeats a request on its own when a reused connection dies at once.
// A fresh request must reach the server once, whatever the connection does.
Test(fetch, fresh_request_is_never_sent_twice) {
  asio::io_context loop(1);
  std::map<std::string, int> received;
  test_http_server server(
      loop, kHost, 17104,
      [&](std::shared_ptr<test_http_connection> c, const test_http_request& r) {
        ++received[r.body];
        if (r.body == "first") return c->Reply(200, {}, "{}");
        c->Close();  // read, perhaps run, never answered
      });
  server.Listen();
  fetcher http(loop);
  http.SetMaxConnections({kHost, 17104}, 1);
  fetch_request first = To(17104);
  first.body = std::make_shared<std::string>("first");
  cr_assert_eq(Fetch(loop, http, first).fault, fetch_fault::kNone);
  fetch_request once = To(17104);
  once.body = std::make_shared<std::string>("once");
  once.new_connection = true;
  cr_assert_eq(Fetch(loop, http, once).fault, fetch_fault::kBroken);
  cr_assert_eq(received["once"], 1);
}

Test(fetch, connections_stay_within_their_bound) {
  asio::io_context loop(1);
  size_t most = 0;
  test_http_server* at = nullptr;
  test_http_server server(
      loop, kHost, 17105,
      [&](std::shared_ptr<test_http_connection> c, const test_http_request&) {
        most = std::max(most, at->connections().size());
        c->Reply(200, {}, "{}");
      });
  at = &server;
  server.Listen();
  fetcher http(loop);
  http.SetMaxConnections({kHost, 17105}, 3);
  int ended = 0;
  for (int i = 0; i < 50; ++i) {
    fetch_request r = To(17105);
    r.new_connection = i % 5 == 0;
    http.Start(std::move(r), [&](fetch_result) { ++ended; });
  }
  RunUntil(loop, [&] { return ended == 50; });
  cr_assert_leq(most, 3u);
}

Test(serve, limits_get_a_clear_answer) {
  signal(SIGPIPE, SIG_IGN);
  asio::io_context loop(1);
  auto server = http_server::Start(
      loop, {.listen = {kHost, 17106}},
      [](http_request, responder respond) { respond({.body = "{}"}); });
  cr_assert(server.ok());
  std::string large(10 << 20, 'x');
  std::string head = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " +
                     std::to_string(large.size()) + "\r\n\r\n";
  std::string got = Raw(loop, 17106, head + large);
  cr_assert_eq(got.substr(0, 12), "HTTP/1.1 413", "%s",
               got.substr(0, 200).c_str());
  std::string wide =
      "GET / HTTP/1.1\r\nHost: h\r\nX-A: " + std::string(20'000, 'a') +
      "\r\n\r\n";
  cr_assert_eq(Raw(loop, 17106, wide).substr(0, 12), "HTTP/1.1 431");
  cr_assert_eq(
      Raw(loop, 17106, "GET / HTTP/1.1\r\nHost: h\r\n\r\n").substr(0, 12),
      "HTTP/1.1 200");
}

Test(serve, slow_sender_is_closed_and_others_are_served) {
  asio::io_context loop(1);
  auto server = http_server::Start(
      loop, {.listen = {kHost, 17107}, .read_timeout_seconds = 1},
      [](http_request, responder respond) { respond({.body = "{}"}); });
  cr_assert(server.ok());
  asio::ip::tcp::socket slow(loop);
  slow.connect({asio::ip::make_address(kHost), 17107});
  asio::write(slow, asio::buffer(std::string("POST / HTTP/1.1\r\nHo")));
  bool closed = false;
  char byte;
  slow.async_read_some(asio::buffer(&byte, 1),
                       [&](std::error_code e, size_t) { closed = bool(e); });
  fetcher http(loop);
  cr_assert_eq(Fetch(loop, http, To(17107)).status, 200);
  RunUntil(loop, [&] { return closed; });
}

Test(serve, a_handler_that_throws_ends_one_request_only) {
  asio::io_context loop(1);
  int turn = 0;
  auto server = http_server::Start(loop, {.listen = {kHost, 17108}},
                                   [&](http_request, responder respond) {
                                     if (++turn == 1)
                                       throw std::runtime_error("x");
                                     respond({.body = "{}"});
                                   });
  fetcher http(loop);
  cr_assert_eq(Fetch(loop, http, To(17108)).status, 500);
  cr_assert_eq(Fetch(loop, http, To(17108)).status, 200);
}

Test(serve, a_taken_port_is_an_error_not_a_crash) {
  asio::io_context loop(1);
  test_http_server other(
      loop, kHost, 17109,
      [](std::shared_ptr<test_http_connection>, const test_http_request&) {});
  other.Listen();
  auto server = http_server::Start(loop, {.listen = {kHost, 17109}},
                                   [](http_request, responder) {});
  cr_assert(!server.ok());
}

// A connection attempt that fails or is given up leaves a socket number behind,
// which the next connection gets. Its events must not be missed.
Test(fetch, connects_after_attempts_that_failed) {
  asio::io_context loop(1);
  test_http_server server(
      loop, kHost, 17131,
      [](std::shared_ptr<test_http_connection> c, const test_http_request&) {
        c->Reply(200, {}, "{}");
      });
  server.Listen();
  // A listener whose queue is full: connections to it hang.
  asio::ip::tcp::acceptor full(loop);
  full.open(asio::ip::tcp::v4());
  full.set_option(asio::ip::tcp::acceptor::reuse_address(true));
  full.bind({asio::ip::make_address(kHost), 17132});
  full.listen(0);
  std::vector<asio::ip::tcp::socket> fill;
  for (int i = 0; i < 4; ++i) {
    fill.emplace_back(loop);
    fill.back().async_connect({asio::ip::make_address(kHost), 17132},
                              [](std::error_code) {});
  }
  loop.run_for(std::chrono::milliseconds(20));
  fetcher http(loop);
  for (uint16_t port : {uint16_t{17132}, uint16_t{17133}}) {
    fetch_request failing = To(port);
    failing.connect_timeout = 50 * kMillisecond;
    cr_assert_eq(Fetch(loop, http, failing).fault, fetch_fault::kNotSent);
    fetch_request good = To(17131);
    good.timeout = kSecond;
    good.new_connection = true;
    cr_assert_eq(Fetch(loop, http, good).fault, fetch_fault::kNone,
                 "after port %d", port);
  }
}
