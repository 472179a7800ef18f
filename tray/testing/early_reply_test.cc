// Tests of both clients against servers that answer a request before they have
// read its body, keep the connection and read on later. Linked into http_test.

#include <criterion/criterion.h>

#include <array>
#include <asio.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "tray/http/fetch.h"
#include "tray/http/relay_client.h"

using namespace baobabtray;  // NOLINT: test file
using asio::ip::tcp;

namespace {

constexpr char kHost[] = "127.0.0.1";
// More than the socket buffers of both ends hold, so that a part of the body
// is written only after the server reads on.
constexpr size_t kLongBody = 8'000'000;
// Delay between an early reply and reading the body.
constexpr auto kReadPause = std::chrono::milliseconds(100);
constexpr auto kStep = std::chrono::milliseconds(1);

// A body whose every part tells which request it belongs to.
std::string BodyOf(const std::string& id, size_t size) {
  std::string body;
  body.reserve(size + id.size() + 2);
  while (body.size() < size) body += "<" + id + ">";
  body.resize(size);
  return body;
}

// Value of a header in the head of a request, or "" if absent.
std::string HeaderIn(const std::string& head, const std::string& name) {
  size_t at = head.find("\r\n" + name + ": ");
  if (at == std::string::npos) return "";
  at += name.size() + 4;
  return head.substr(at, head.find("\r\n", at) - at);
}

// Replies to requests with a body before it reads the body.
class early_server {
 public:
  early_server(asio::io_context& loop, uint16_t port, std::string id_header)
      : loop_(loop),
        acceptor_(loop),
        id_header_(std::move(id_header)),
        port_(port) {
    acceptor_.open(tcp::v4());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.set_option(asio::socket_base::receive_buffer_size(4096));
    acceptor_.bind({asio::ip::make_address(kHost), port_});
    acceptor_.listen();
    Accept();
  }

  std::string early_status = "503 Service Unavailable";
  bool reads_on = true;
  bool closes = false;  // instead of reading on
  int accepted = 0;
  int early_replies = 0;
  int open = 0;
  std::map<std::string, std::string> bodies;  // by request id
  std::vector<std::string> wrong;             // heads that are no request

 private:
  struct connection {
    explicit connection(tcp::socket s)
        : socket(std::move(s)), pause(socket.get_executor()) {}
    tcp::socket socket;
    asio::steady_timer pause;
    std::string bytes;
  };
  using connection_ref = std::shared_ptr<connection>;

  void Accept() {
    acceptor_.async_accept([this](std::error_code error, tcp::socket s) {
      if (error) return;
      ++accepted;
      ++open;
      ReadHead(std::make_shared<connection>(std::move(s)));
      Accept();
    });
  }

  void ReadHead(const connection_ref& c) {
    asio::async_read_until(c->socket, asio::dynamic_buffer(c->bytes),
                           "\r\n\r\n",
                           [this, c](std::error_code error, size_t n) {
                             if (error) return End(c);
                             std::string head = c->bytes.substr(0, n);
                             c->bytes.erase(0, n);
                             OnHead(c, head);
                           });
  }

  void OnHead(const connection_ref& c, const std::string& head) {
    std::string id = HeaderIn(head, id_header_);
    size_t line_end = head.find("\r\n");
    if (id.empty() ||
        head.substr(0, line_end).find(" HTTP/1.1") == std::string::npos) {
      wrong.push_back(head.substr(0, 80));
      return End(c);
    }
    std::string length = HeaderIn(head, "Content-Length");
    size_t size = length.empty() ? 0 : std::stoul(length);
    if (size < kLongBody) return ReadBody(c, id, size, true);
    ++early_replies;
    Reply(c, early_status, id);
    c->pause.expires_after(kReadPause);
    c->pause.async_wait([this, c, id, size](std::error_code error) {
      if (error || closes) return End(c);
      if (reads_on) ReadBody(c, id, size, false);
    });
  }

  void ReadBody(const connection_ref& c, const std::string& id, size_t size,
                bool reply) {
    size_t missing = size - std::min(size, c->bytes.size());
    asio::async_read(c->socket, asio::dynamic_buffer(c->bytes),
                     asio::transfer_exactly(missing),
                     [this, c, id, size, reply](std::error_code error, size_t) {
                       if (error) return End(c);
                       bodies[id] = c->bytes.substr(0, size);
                       c->bytes.erase(0, size);
                       if (reply) Reply(c, "200 OK", id);
                       ReadHead(c);
                     });
  }

  void Reply(const connection_ref& c, const std::string& status,
             const std::string& id) {
    std::error_code ignored;
    asio::write(c->socket,
                asio::buffer("HTTP/1.1 " + status + "\r\n" + id_header_ + ": " +
                             id + "\r\nContent-Length: 0\r\n\r\n"),
                ignored);
  }

  void End(const connection_ref& c) {
    std::error_code ignored;
    c->socket.close(ignored);
    --open;
  }

  asio::io_context& loop_;
  tcp::acceptor acceptor_;
  const std::string id_header_;
  const uint16_t port_;
};

// A relay_client and a server on one loop.
struct relay_fixture {
  asio::io_context loop{1};
  early_server server;
  relay_client client{loop};
  const endpoint to;
  std::map<std::string, fetch_result> results;  // by request id

  explicit relay_fixture(uint16_t port)
      : server(loop, port, "Request-Id"), to{kHost, port} {}

  uint64_t Start(const std::string& id, size_t body_size,
                 micros timeout = 5 * kSecond) {
    relay_call call = {
        .to = to,
        .head = std::make_shared<std::string>("PUT /x HTTP/1.1\r\nHost: h\r\n"),
        .attempt_headers = "Request-Id: " + id + "\r\n",
        .id = id,
        .id_header = "Request-Id",
        .timeout = timeout};
    if (body_size > 0) {
      call.attempt_headers +=
          "Content-Length: " + std::to_string(body_size) + "\r\n";
      call.body = std::make_shared<std::string>(BodyOf(id, body_size));
    }
    return client.Start(std::move(call), [this, id](fetch_result r) {
      results[id] = std::move(r);
    });
  }

  void RunUntil(const std::function<bool()>& done) {
    for (int i = 0; i < 20'000 && !done(); ++i) loop.run_for(kStep);
    cr_assert(done(), "timed out waiting");
  }
  void WaitFor(const std::string& id) {
    RunUntil([&] { return results.contains(id); });
  }
  void RunFor(std::chrono::milliseconds time) { loop.run_for(time); }

  void ExpectBody(const std::string& id, size_t size) {
    cr_expect(server.bodies[id] == BodyOf(id, size), "body of %s: %zu bytes",
              id.c_str(), server.bodies[id].size());
  }
  void ExpectNothingWrong() {
    for (const std::string& w : server.wrong)
      cr_expect_fail("bytes that are no request: %s", w.c_str());
  }
};

}  // namespace

// Guards against a connection that goes back to its pool while the rest of a
// request is still being written: the next request was mixed into the body.
Test(early_reply, next_request_is_not_mixed_into_the_rest_of_a_body) {
  relay_fixture w(17701);
  w.Start("long", kLongBody);
  w.WaitFor("long");
  cr_assert_eq(w.results["long"].status, 503);
  cr_assert_eq(w.server.bodies.count("long"), 0u, "the reply was not early");
  for (const char* id : {"b", "c", "d"}) w.Start(id, 100);
  for (const char* id : {"b", "c", "d"}) {
    w.WaitFor(id);
    cr_expect_eq(w.results[id].status, 200, "%s", id);
    w.ExpectBody(id, 100);
  }
  w.RunUntil([&] { return w.server.bodies.contains("long"); });
  w.ExpectBody("long", kLongBody);
  w.ExpectNothingWrong();
}

// Closing each such connection would cost a new one per early reply.
Test(early_reply, connection_is_reused_once_the_body_is_written) {
  relay_fixture w(17702);
  for (const char* id : {"a", "b", "c"}) {
    w.Start(id, kLongBody);
    w.WaitFor(id);
    w.RunUntil([&] { return w.server.bodies.contains(id); });
    w.RunFor(std::chrono::milliseconds(10));
    w.ExpectBody(id, kLongBody);
  }
  cr_assert_eq(w.server.accepted, 1);
  w.ExpectNothingWrong();
}

// A rejected request must not keep others waiting for a connection.
Test(early_reply, rejected_body_gives_way_to_a_waiting_request) {
  relay_fixture w(17703);
  w.client.SetMaxConnections(w.to, 1);
  w.server.reads_on = false;
  w.Start("long", kLongBody);
  w.Start("waiting", 100);
  w.WaitFor("waiting");
  cr_expect_eq(w.results["long"].status, 503);
  cr_expect_eq(w.results["waiting"].status, 200);
  w.Start("long2", kLongBody);
  w.WaitFor("long2");
  w.Start("later", 100);
  w.WaitFor("later");
  cr_expect_eq(w.results["later"].status, 200);
  cr_expect_eq(w.server.accepted, 3);
  cr_expect_eq(w.client.OpenConnections(w.to), 1);
  w.ExpectNothingWrong();
}

// A server that has accepted a request may still need the rest of its body.
Test(early_reply, accepted_body_is_written_before_a_waiting_request) {
  relay_fixture w(17704);
  w.client.SetMaxConnections(w.to, 1);
  w.server.early_status = "200 OK";
  w.Start("long", kLongBody);
  w.Start("waiting", 100);
  w.WaitFor("waiting");
  cr_expect_eq(w.results["waiting"].status, 200);
  w.ExpectBody("long", kLongBody);
  cr_expect_eq(w.server.accepted, 1);
  w.ExpectNothingWrong();
}

Test(early_reply, body_that_is_never_read_holds_its_connection_until_deadline) {
  relay_fixture w(17705);
  w.server.reads_on = false;
  w.server.early_status = "200 OK";
  w.Start("long", kLongBody, 300 * kMillisecond);
  w.WaitFor("long");
  cr_expect_eq(w.results["long"].status, 200);
  cr_expect_eq(w.client.OpenConnections(w.to), 1);
  w.RunFor(std::chrono::milliseconds(450));
  cr_expect_eq(w.client.OpenConnections(w.to), 0);
}

Test(early_reply, server_that_closes_instead_of_reading_on_is_asked_again) {
  relay_fixture w(17706);
  w.server.closes = true;
  w.Start("long", kLongBody);
  w.WaitFor("long");
  w.RunUntil([&] { return w.client.OpenConnections(w.to) == 0; });
  w.Start("b", 100);
  w.WaitFor("b");
  cr_expect_eq(w.results["b"].status, 200);
  cr_expect_eq(w.server.accepted, 2);
}

// Random lengths, limits, cancellations and statuses. What a server has read
// whole is what was sent, and no bytes are taken for a request that are none.
Test(early_reply, servers_receive_requests_unchanged_in_any_order_of_events) {
  for (unsigned seed = 1; seed <= 12; ++seed) {
    relay_fixture w(static_cast<uint16_t>(17710 + seed));
    std::mt19937 random(seed);
    w.client.SetMaxConnections(w.to, 1 + static_cast<int>(random() % 4));
    std::map<std::string, size_t> sizes;
    std::map<std::string, uint64_t> started;
    for (int i = 0; i < 40; ++i) {
      std::string id = std::to_string(seed) + "." + std::to_string(i);
      sizes[id] =
          random() % 4 == 0 ? kLongBody + random() % 1000 : random() % 20'000;
      w.server.early_status = random() % 2 == 0 ? "503 Busy" : "200 OK";
      started[id] = w.Start(id, sizes[id]);
      if (random() % 8 == 0) {
        auto it = started.begin();
        std::advance(it, random() % started.size());
        w.client.Cancel(it->second);
        w.results.try_emplace(it->first);
      }
      w.RunFor(std::chrono::milliseconds(random() % 15));
    }
    w.RunUntil([&] { return w.results.size() == sizes.size(); });
    cr_expect_eq(w.client.in_flight(), 0u);
    for (const auto& [id, body] : w.server.bodies) {
      cr_expect(body == BodyOf(id, sizes[id]), "seed %u, body of %s", seed,
                id.c_str());
    }
    w.ExpectNothingWrong();
  }
}

// The same of libcurl's client, which /v1/query and the hubs' feed use.
Test(early_reply, fetcher_does_not_mix_the_next_request_into_a_body) {
  for (const char* status : {"503 Service Unavailable", "200 OK"}) {
    asio::io_context loop{1};
    early_server server(loop, status[0] == '5' ? 17730 : 17731, "X-Attempt-Id");
    server.early_status = status;
    fetcher client(loop);
    endpoint to{kHost, static_cast<uint16_t>(status[0] == '5' ? 17730 : 17731)};
    std::map<std::string, int> statuses;
    auto start = [&](const std::string& id, size_t size) {
      client.Start({.to = to,
                    .body = std::make_shared<std::string>(BodyOf(id, size)),
                    .timeout = 5 * kSecond,
                    .attempt_id = id},
                   [&statuses, id](const fetch_result& r) {
                     statuses[id] =
                         r.fault == fetch_fault::kNone ? r.status : 0;
                   });
    };
    for (int round = 0; round < 3; ++round) {
      std::string n = std::to_string(round);
      start("long" + n, kLongBody);
      for (int i = 0; i < 20'000 && server.early_replies <= round; ++i)
        loop.run_for(kStep);
      for (const char* id : {"b", "c", "d"}) start(id + n, 100);
      for (int i = 0; i < 10'000 && statuses.size() < 4u * (round + 1); ++i)
        loop.run_for(kStep);
      for (const char* id : {"b", "c", "d"})
        cr_expect_eq(statuses[id + n], 200, "%s %s", status, id);
    }
    for (const auto& [id, body] : server.bodies) {
      size_t size = id.starts_with("long") ? kLongBody : 100;
      cr_expect(body == BodyOf(id, size), "%s, body of %s", status, id.c_str());
    }
    cr_expect(server.wrong.empty(), "%s: bytes that are no request", status);
  }
}
