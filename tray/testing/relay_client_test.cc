// Tests of the client for relayed requests against servers that misbehave. Part
// of the test program of the HTTP library.

#include "tray/http/relay_client.h"

#include <criterion/criterion.h>

#include <array>
#include <asio.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "tray/http/reply_reader.h"

using namespace baobabtray;  // NOLINT: test file
using asio::ip::tcp;

namespace {

constexpr char kHost[] = "127.0.0.1";

// What a server does once a request has come.
struct reaction {
  std::string bytes;   // of its reply
  bool close = false;  // afterwards
  bool reset = false;  // instead
};

// Answers each request, in the order of their coming, by the next reaction.
class scripted_server {
 public:
  scripted_server(asio::io_context& loop, uint16_t port)
      : acceptor_(loop, {asio::ip::make_address(kHost), port}) {
    Accept();
  }

  std::vector<reaction> script;  // the last one is used from then on
  std::vector<std::string> requests;
  bool full = false;  // resets new connections
  int accepted = 0;
  int open = 0;
  int most_open = 0;

  // Sends bytes that nobody asked for on all open connections.
  void SendAll(const std::string& bytes) {
    for (auto& c : connections_) asio::write(c->socket, asio::buffer(bytes));
  }
  void CloseAll() {
    for (auto& c : connections_) c->socket.close();
  }

 private:
  struct connection {
    explicit connection(tcp::socket s) : socket(std::move(s)) {}
    tcp::socket socket;
    std::string text;
    std::array<char, 65536> buffer;
  };
  using connection_ref = std::shared_ptr<connection>;

  void Accept() {
    acceptor_.async_accept([this](std::error_code error, tcp::socket s) {
      if (error) return;
      ++accepted;
      if (full) {
        s.set_option(asio::socket_base::linger(true, 0));
        s.close();
        return Accept();
      }
      most_open = std::max(most_open, ++open);
      auto c = std::make_shared<connection>(std::move(s));
      connections_.insert(c);
      Read(c);
      Accept();
    });
  }

  void Read(const connection_ref& c) {
    c->socket.async_read_some(
        asio::buffer(c->buffer), [this, c](std::error_code error, size_t n) {
          if (error) {
            --open;
            connections_.erase(c);
            return;
          }
          c->text.append(c->buffer.data(), n);
          size_t end = c->text.find("\r\n\r\n");
          if (end != std::string::npos && HasBody(c->text, end + 4)) React(c);
          Read(c);
        });
  }

  static bool HasBody(const std::string& text, size_t head) {
    size_t at = text.find("Content-Length: ");
    if (at == std::string::npos) return true;
    return text.size() >= head + std::stoul(text.substr(at + 16));
  }

  void React(const connection_ref& c) {
    requests.push_back(std::move(c->text));
    c->text.clear();
    const reaction& r = script[std::min(requests.size(), script.size()) - 1];
    if (r.reset) {
      c->socket.set_option(asio::socket_base::linger(true, 0));
      c->socket.close();
      return;
    }
    asio::write(c->socket, asio::buffer(r.bytes));
    if (r.close) c->socket.shutdown(tcp::socket::shutdown_send);
  }

  tcp::acceptor acceptor_;
  std::set<connection_ref> connections_;
};

std::string Ok(const std::string& id, const std::string& body = "body",
               const std::string& more = "") {
  return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\n" + more +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

struct client_world {
  asio::io_context loop{1};
  scripted_server server;
  relay_client client{loop};
  uint16_t port;

  explicit client_world(uint16_t at) : server(loop, at), port(at) {}

  relay_call Call(const std::string& id) const {
    return {.to = {kHost, port},
            .head = std::make_shared<std::string>(
                "GET /x HTTP/1.1\r\nHost: h\r\nRequest-Id: " + id + "\r\n"),
            .attempt_headers = "Deadline-Remaining: 5\r\n",
            .id = id,
            .id_header = "Request-Id",
            .timeout = 5 * kSecond};
  }

  void Until(const std::function<bool()>& done) {
    for (int i = 0; i < 6000 && !done(); ++i) {
      loop.run_for(std::chrono::milliseconds(1));
    }
    cr_assert(done(), "gave up waiting");
  }

  void Pause() { loop.run_for(std::chrono::milliseconds(20)); }

  fetch_result Do(relay_call call) {
    fetch_result result;
    bool done = false;
    client.Start(std::move(call), [&](fetch_result r) {
      result = std::move(r);
      done = true;
    });
    cr_assert_not(done, "called back from within Start");
    Until([&] { return done; });
    return result;
  }

  fetch_result Do(const std::string& id) { return Do(Call(id)); }
};

}  // namespace

// A reply must read the same however the network cuts it.
Test(reply_reader, replies_are_the_same_in_any_pieces) {
  std::string bytes = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" +
                      Ok("a", "old") +
                      "HTTP/1.1 200 OK\r\nRequest-Id: b\r\nKeep-Alive: "
                      "timeout=7\r\nTransfer-Encoding: chunked\r\n\r\n"
                      "5\r\nhello\r\n0\r\n\r\n";
  std::string rest = "HTTP/1.1 200 OK\r\n";
  for (size_t step = 1; step <= bytes.size(); ++step) {
    reply_reader r;
    r.Begin({.id = "b", .id_header = "request-id", .last_id = "a"});
    std::string all = bytes + rest;
    size_t used = 0;
    while (r.state() == reply_state::kReading) {
      cr_assert_lt(used, bytes.size(), "step %zu", step);
      used += r.Feed(all.data() + used, std::min(step, all.size() - used));
    }
    cr_assert_eq(r.state(), reply_state::kWhole, "step %zu", step);
    cr_assert_eq(used, bytes.size(), "step %zu", step);
    cr_assert(r.keeps_connection());
    cr_assert_eq(r.idle_time(), 7 * kSecond);
    cr_assert_eq(r.TakeResult().body, "hello");
  }
}

// Whatever comes, reading ends, and nothing but a reply with the id is whole.
Test(reply_reader, changed_bytes_never_pass_as_another_requests_reply) {
  std::mt19937_64 random(7);
  const std::string good = Ok("b", "hello", "X-A: 1\r\n");
  for (int i = 0; i < 20'000; ++i) {
    std::string bytes = good;
    for (uint64_t n = 1 + random() % 3; n > 0; --n) {
      bytes[random() % bytes.size()] = static_cast<char>(random());
    }
    bytes.resize(random() % (bytes.size() + 1));
    reply_reader r;
    r.Begin({.id = "b", .id_header = "request-id", .last_id = "a"});
    if (!bytes.empty()) r.Feed(bytes.data(), bytes.size());
    if (r.state() == reply_state::kReading) r.Feed(nullptr, 0);
    cr_assert_neq(r.state(), reply_state::kReading);
    if (r.state() != reply_state::kWhole) continue;
    fetch_result got = r.TakeResult();
    cr_assert_eq(HeaderOf(got, "request-id"), "b");
    cr_assert_leq(got.body.size(), good.size());
  }
}

Test(relay_client, kept_connection_carries_request_after_request) {
  client_world w(17301);
  w.server.script = {{.bytes = Ok("a")}, {.bytes = Ok("b", "")}};
  fetch_result first = w.Do("a");
  cr_assert_eq(first.fault, fetch_fault::kNone);
  cr_assert_eq(first.status, 200);
  cr_assert_eq(first.body, "body");
  cr_assert_eq(HeaderOf(first, "request-id"), "a");
  cr_assert_eq(w.Do("b").fault, fetch_fault::kNone);
  cr_assert_eq(w.server.accepted, 1);
  cr_assert_eq(w.server.requests[0],
               "GET /x HTTP/1.1\r\nHost: h\r\nRequest-Id: a\r\n"
               "Deadline-Remaining: 5\r\n\r\n");
}

Test(relay_client, body_larger_than_a_socket_takes_arrives_whole) {
  client_world w(17302);
  w.server.script = {{.bytes = Ok("a")}};
  relay_call call = w.Call("a");
  auto body = std::make_shared<std::string>(3'000'000, 'x');
  call.body = body;
  call.attempt_headers += "Content-Length: 3000000\r\n";
  cr_assert_eq(w.Do(call).fault, fetch_fault::kNone);
  const std::string& got = w.server.requests[0];
  cr_assert_eq(got.substr(got.size() - body->size()), *body);
}

Test(relay_client, chunked_and_interim_replies_are_read) {
  client_world w(17303);
  w.server.script = {
      {.bytes = "HTTP/1.1 100 Continue\r\n\r\n"
                "HTTP/1.1 200 OK\r\nRequest-Id: a\r\n"
                "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n"
                "0\r\n\r\n"},
      {.bytes = Ok("b")}};
  cr_assert_eq(w.Do("a").body, "abcde");
  cr_assert_eq(w.Do("b").fault, fetch_fault::kNone);
  cr_assert_eq(w.server.accepted, 1);
}

Test(relay_client, body_without_a_length_ends_with_its_connection) {
  client_world w(17304);
  std::string open_end = "HTTP/1.1 200 OK\r\nRequest-Id: a\r\n\r\nabc";
  w.server.script = {{.bytes = open_end, .close = true}};
  fetch_result r = w.Do("a");
  cr_assert_eq(r.fault, fetch_fault::kNone);
  cr_assert_eq(r.body, "abc");
}

Test(relay_client, cut_reset_and_unreadable_replies_are_failures) {
  client_world w(17305);
  w.server.script = {
      {.bytes = Ok("a").substr(0, 55), .close = true},
      {.reset = true},
      {.bytes = "nonsense that is no reply\r\n\r\n"},
      {.bytes = "HTTP/1.1 200 OK\r\nRequest-Id: d\r\nContent-Length: 4\r\n"
                "Content-Length: 5\r\n\r\nbodyx"},
      {.bytes = Ok("e")}};
  for (const char* id : {"a", "b", "c", "d"}) {
    fetch_result r = w.Do(id);
    cr_assert_eq(r.fault, fetch_fault::kBroken, "%s", id);
    cr_assert(r.body.empty());
  }
  cr_assert_eq(w.Do("e").fault, fetch_fault::kNone);
}

Test(relay_client, second_reply_to_the_request_before_is_read_over) {
  client_world w(17306);
  w.server.script = {{.bytes = Ok("a")}, {.bytes = Ok("a") + Ok("b", "mine")}};
  w.Do("a");
  fetch_result r = w.Do("b");
  cr_assert_eq(r.fault, fetch_fault::kNone);
  cr_assert_eq(r.body, "mine");
  cr_assert_eq(w.server.accepted, 1);
}

Test(relay_client, reply_to_another_request_closes_the_connection) {
  client_world w(17307);
  w.server.script = {{.bytes = Ok("a")},
                     {.bytes = Ok("z")},
                     {.bytes = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"},
                     {.bytes = Ok("d")}};
  w.Do("a");
  cr_assert_eq(w.Do("b").fault, fetch_fault::kIdMismatch);
  cr_assert_eq(w.Do("c").fault, fetch_fault::kIdMismatch, "no id at all");
  cr_assert_eq(w.Do("d").fault, fetch_fault::kNone);
  cr_assert_eq(w.server.accepted, 3);
}

Test(relay_client, endless_second_replies_are_given_up) {
  client_world w(17308);
  std::string many;
  for (int i = 0; i < 50; ++i) many += Ok("a");
  w.server.script = {{.bytes = Ok("a")}, {.bytes = many}};
  w.Do("a");
  cr_assert_eq(w.Do("b").fault, fetch_fault::kIdMismatch);
}

Test(relay_client, bytes_behind_a_reply_end_the_connections_use) {
  client_world w(17309);
  w.server.script = {{.bytes = Ok("a") + "more"}, {.bytes = Ok("b")}};
  cr_assert_eq(w.Do("a").body, "body");
  cr_assert_eq(w.Do("b").body, "body");
  cr_assert_eq(w.server.accepted, 2);
}

Test(relay_client, bytes_on_an_idle_connection_end_its_use) {
  client_world w(17310);
  w.server.script = {{.bytes = Ok("a")}, {.bytes = Ok("b")}};
  w.Do("a");
  w.server.SendAll(Ok("a"));
  w.Pause();
  cr_assert_eq(w.Do("b").fault, fetch_fault::kNone);
  cr_assert_eq(w.server.accepted, 2);
}

Test(relay_client, closed_idle_connection_is_noticed_before_the_next_request) {
  client_world w(17311);
  w.server.script = {{.bytes = Ok("a")}, {.bytes = Ok("b")}};
  w.Do("a");
  w.server.CloseAll();
  w.Pause();
  cr_assert_eq(w.Do("b").fault, fetch_fault::kNone);
}

Test(relay_client, request_is_never_written_twice) {
  client_world w(17312);
  w.server.script = {{.bytes = Ok("a")}, {.reset = true}};
  w.Do("a");
  cr_assert_eq(w.Do("b").fault, fetch_fault::kBroken);
  w.Pause();
  cr_assert_eq(w.server.requests.size(), 2u);
}

Test(relay_client, connection_that_says_close_is_not_used_again) {
  client_world w(17313);
  w.server.script = {{.bytes = Ok("a", "x", "Connection: close\r\n")},
                     {.bytes = Ok("b")}};
  w.Do("a");
  cr_assert_eq(w.Do("b").fault, fetch_fault::kNone);
  cr_assert_eq(w.server.accepted, 2);
}

Test(relay_client, connection_is_not_used_beyond_its_keep_alive) {
  client_world w(17314);
  w.server.script = {{.bytes = Ok("a", "x", "Keep-Alive: timeout=2\r\n")},
                     {.bytes = Ok("b")}};
  w.Do("a");
  w.loop.run_for(std::chrono::milliseconds(1100));
  w.Do("b");
  cr_assert_eq(w.server.accepted, 2);
}

Test(relay_client, connections_stay_within_their_bound) {
  client_world w(17315);
  w.server.script = {{.bytes = Ok("a")}};
  w.client.SetMaxConnections({kHost, w.port}, 3);
  int ended = 0, failed = 0;
  for (int i = 0; i < 50; ++i) {
    relay_call call = w.Call("a");
    call.new_connection = i % 5 == 0;
    w.client.Start(std::move(call), [&](const fetch_result& r) {
      ++ended;
      failed += r.fault != fetch_fault::kNone;
    });
  }
  w.Until([&] { return ended == 50; });
  cr_assert_eq(failed, 0);
  // The server may see a close after the next connection.
  cr_assert_leq(w.server.most_open, 4);
  cr_assert_eq(w.client.in_flight(), 0u);
}

Test(relay_client, cancelled_request_closes_its_connection) {
  client_world w(17316);
  w.server.script = {{.bytes = ""}, {.bytes = Ok("b")}};
  w.client.SetMaxConnections({kHost, w.port}, 1);
  bool called = false;
  uint64_t id =
      w.client.Start(w.Call("a"), [&](const fetch_result&) { called = true; });
  bool second = false;
  w.client.Start(w.Call("b"), [&](const fetch_result&) { second = true; });
  w.Until([&] { return w.server.requests.size() == 1; });
  w.client.Cancel(id);
  w.client.Cancel(id);
  w.client.Cancel(12345);
  w.Until([&] { return second && w.server.open <= 1; });
  cr_assert_not(called);
}

Test(relay_client, silent_server_times_out) {
  client_world w(17317);
  w.server.script = {{.bytes = ""}};
  relay_call call = w.Call("a");
  call.timeout = 30 * kMillisecond;
  cr_assert_eq(w.Do(call).fault, fetch_fault::kTimedOut);
  w.Until([&] { return w.server.open == 0; });
}

Test(relay_client, nothing_is_sent_where_nobody_listens) {
  client_world w(17318);
  relay_call call = w.Call("a");
  call.to.port = 17319;
  cr_assert_eq(w.Do(call).fault, fetch_fault::kNotSent);
  call.to.host = "not an address";
  cr_assert_eq(w.Do(call).fault, fetch_fault::kNotSent);
}

Test(relay_client, connection_that_hangs_counts_as_not_sent) {
  client_world w(17320);
  w.server.script = {{.bytes = Ok("a")}};
  // A listener whose queue is full.
  tcp::acceptor full(w.loop);
  full.open(tcp::v4());
  full.set_option(tcp::acceptor::reuse_address(true));
  full.bind({asio::ip::make_address(kHost), 17321});
  full.listen(0);
  std::vector<tcp::socket> fill;
  for (int i = 0; i < 4; ++i) {
    fill.emplace_back(w.loop);
    fill.back().async_connect({asio::ip::make_address(kHost), 17321},
                              [](std::error_code) {});
  }
  w.Pause();
  relay_call call = w.Call("a");
  call.to.port = 17321;
  call.connect_timeout = 50 * kMillisecond;
  cr_assert_eq(w.Do(call).fault, fetch_fault::kNotSent);
  cr_assert_eq(w.Do("a").fault, fetch_fault::kNone);
}

Test(relay_client, probe_keeps_its_connection_for_the_next_request) {
  client_world w(17322);
  w.server.script = {{.bytes = Ok("a")}};
  int probed = -1;
  w.client.Probe({kHost, w.port}, kSecond, [&](bool ok) { probed = ok; });
  w.Until([&] { return probed != -1; });
  cr_assert_eq(probed, 1);
  w.Do("a");
  cr_assert_eq(w.server.accepted, 1);
  probed = -1;
  w.client.Probe({kHost, 17323}, kSecond, [&](bool ok) { probed = ok; });
  w.Until([&] { return probed != -1; });
  cr_assert_eq(probed, 0);
}

Test(relay_client, full_server_is_noticed_before_the_request_is_written) {
  client_world w(17325);
  w.server.full = true;
  w.server.script = {{.bytes = Ok("a")}};
  relay_call call = w.Call("a");
  call.delay_first_send = true;
  for (int i = 0; i < 20; ++i) {
    cr_assert_eq(w.Do(call).fault, fetch_fault::kNotSent);
  }
  cr_assert(w.server.requests.empty());
  w.server.full = false;
  cr_assert_eq(w.Do(call).fault, fetch_fault::kNone);
}

Test(relay_client, reply_to_head_has_no_body) {
  client_world w(17324);
  w.server.script = {
      {.bytes =
           "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: 9\r\n\r\n"},
      {.bytes = Ok("b")}};
  relay_call call = w.Call("a");
  call.no_reply_body = true;
  cr_assert_eq(w.Do(call).fault, fetch_fault::kNone);
  cr_assert_eq(w.Do("b").body, "body");
  cr_assert_eq(w.server.accepted, 1);
}
