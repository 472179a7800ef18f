// Tests of a relaying host: how it follows the store, and whole requests over
// loopback against stand-ins of the platform.

#include <criterion/criterion.h>

#include <asio.hpp>
#include <chrono>
#include <string>
#include <thread>

#include "platform/codec.h"
#include "platform/config.h"
#include "platform/store.h"
#include "tray/base/clock.h"
#include "tray/relayd/relay_worker.h"
#include "tray/relayd/store_watcher.h"
#include "tray/standin/platform_server.h"
#include "tray/standin/platform_store.h"

using namespace baobabtray;  // NOLINT: test file
using standin::platform_server;
using standin::platform_store;

namespace {

constexpr char kHost[] = "127.0.0.1";

constexpr char kConfig[] = R"({"version": 1, "routes": [
  {"name": "g", "host": "h", "prefix": "/g/", "kind": "idempotent",
   "timeout_ms": 800, "target_latency_ms": 200, "priority": 1,
   "gather": ["a", "b"], "max_attempts": 2, "top_k": 3,
   "min_part_share": 0.5, "allowed_regions": []},
  {"name": "p", "host": "h", "prefix": "/p/", "kind": "non_idempotent",
   "timeout_ms": 800, "target_latency_ms": 200, "priority": 1,
   "service": "c", "max_attempts": 2, "allowed_regions": []}],
  "services": [
   {"name": "a", "max_connections": 50}, {"name": "b", "max_connections": 50},
   {"name": "c", "max_connections": 50}], "limits": {}})";

// A store_watcher on one loop with the store that it follows.
struct directory_world {
  asio::io_context loop{1};
  platform_store store;
  fetcher http{loop};
  std::vector<store_update> facts;
  store_watcher follower;

  explicit directory_world(uint16_t port)
      : store(loop, kHost, port),
        follower(loop,
                 platform::OpenStore(&http, {kHost, port},
                                     [](std::string_view, store_status) {}),
                 &http, {.name = "me"},
                 [this](std::vector<store_update> batch) {
                   for (store_update& f : batch) facts.push_back(std::move(f));
                 }) {
    store.Listen();
  }

  template <typename Fact>
  int Count() const {
    return static_cast<int>(std::count_if(
        facts.begin(), facts.end(),
        [](const store_update& f) { return std::holds_alternative<Fact>(f); }));
  }

  void Until(const std::function<bool()>& done) {
    for (int i = 0; i < 8000 && !done(); ++i) {
      loop.run_for(std::chrono::milliseconds(1));
    }
    cr_assert(done(), "gave up waiting");
  }
};

std::string EntryOf(const char* service) {
  return std::string(R"({"service":")") + service +
         R"(","address":"127.0.0.1:9","zone":"z","slots":2,"state":"ready",)"
         R"("warmup_left_ms":0,"sequence":1})";
}

settings HostSettings(uint16_t first_port) {
  settings s;
  s.name = "h1";
  s.data_centre = "z";
  s.region = "r";
  s.callers = {kHost, first_port};
  s.relay.ready = {kHost, static_cast<uint16_t>(first_port + 1)};
  s.relay.data_centre_regions = {{"z", "r"}};
  return s;
}

// A worker thread with backend servers, fed by hand in place of a store.
struct worker_world {
  asio::io_context loop{1};
  relay_metrics counters;
  settings own;
  relay_worker worker;
  std::vector<std::unique_ptr<platform_server>> servers;
  std::thread traffic;

  explicit worker_world(uint16_t port)
      : own(HostSettings(port)),
        worker(own, {platform::CallerCodec(), platform::ServerCodec()},
               &counters) {
    cr_assert(worker.Listen().ok());
    std::vector<store_update> facts;
    facts.push_back(
        platform::DecodeItem({.key = "op/config", .value = kConfig}));
    for (const char* service : {"a", "b", "c", "c"}) {
      auto at = static_cast<uint16_t>(port + 2 + servers.size());
      servers.push_back(std::make_unique<platform_server>(
          loop, standin::platform_server_options{
                    .id = "i-" + std::to_string(servers.size()),
                    .service = service,
                    .data_centre = "z",
                    .port = at,
                    .returns_records = *service != 'c'}));
      servers.back()->Listen();
      facts.push_back(platform::DecodeItem(
          {.key = "servers/" + servers.back()->options().id,
           .value = servers.back()->StoreEntry()}));
    }
    worker.PostFacts(std::move(facts));
    traffic = std::thread([this] { worker.Run(); });
  }

  ~worker_world() {
    worker.Stop();
    traffic.join();
  }

  // Sends raw bytes to the host and returns all that comes until `wait` has
  // passed or the host closes.
  std::string Raw(const std::string& bytes, int wait_ms = 300) {
    asio::ip::tcp::socket socket(loop);
    socket.connect({asio::ip::make_address(kHost), own.callers.port});
    asio::write(socket, asio::buffer(bytes));
    std::string answer;
    std::array<char, 4096> buffer;
    std::function<void()> read = [&] {
      socket.async_read_some(asio::buffer(buffer),
                             [&](std::error_code error, size_t size) {
                               if (error) return;
                               answer.append(buffer.data(), size);
                               read();
                             });
    };
    read();
    loop.run_for(std::chrono::milliseconds(wait_ms));
    socket.close();
    loop.run_for(std::chrono::milliseconds(20));
    return answer;
  }

  std::string Get(const std::string& path, const std::string& id) {
    return Raw("GET " + path + " HTTP/1.1\r\nHost: h\r\nRequest-Id: " + id +
               "\r\nDeadline-Remaining: 700\r\n\r\n");
  }

  std::string Post(const std::string& id, const std::string& framing) {
    return Raw("POST /p/x?q=%2e HTTP/1.1\r\nHost: h\r\nRequest-Id: " + id +
               "\r\nDeadline-Remaining: 700\r\n" + framing);
  }

  int Ran(const std::string& id) {
    int times = 0;
    for (const auto& s : servers) {
      auto found = s->execution_counts().find(id);
      if (found != s->execution_counts().end()) times += found->second;
    }
    return times;
  }
};

bool Holds(const std::string& text, const std::string& word) {
  return text.find(word) != std::string::npos;
}

}  // namespace

// ---- Directory -------------------------------------------------------------

Test(store_watcher, lists_then_follows_changes) {
  directory_world w(17401);
  w.store.Put("op/config", kConfig);
  w.store.page_size = 1;
  w.store.Put("servers/i-1", EntryOf("a"));
  w.follower.Start();
  w.Until([&] { return w.Count<server_update>() == 1; });
  cr_assert_eq(w.Count<routes_update>(), 1);
  w.store.Put("servers/i-2", EntryOf("b"));
  w.store.Remove("servers/i-1");
  w.Until([&] { return w.Count<server_removal>() == 1; });
  cr_assert_eq(w.Count<server_update>(), 2);
}

Test(store_watcher, entries_that_went_with_lost_history_are_removed) {
  directory_world w(17402);
  w.store.Put("servers/i-1", EntryOf("a"));
  w.store.Put("servers/i-2", EntryOf("a"));
  w.follower.Start();
  w.Until([&] { return w.Count<server_update>() == 2; });
  w.store.active_fault = platform_store::fault::kReset;
  w.store.Remove("servers/i-1");
  w.store.CompactHistory();
  w.loop.run_for(std::chrono::milliseconds(300));
  cr_assert_not(w.follower.in_contact());
  w.store.active_fault = platform_store::fault::kNone;
  w.Until([&] { return w.Count<server_removal>() == 1; });
  cr_assert(w.follower.in_contact());
}

Test(store_watcher, announcement_that_was_taken_away_is_made_again) {
  directory_world w(17403);
  w.follower.Start();
  w.Until([&] { return w.store.Has("baobabtray/hosts/me"); });
  w.Until([&] { return w.Count<host_update>() == 1; });
  w.store.ExpireLeases();
  cr_assert_not(w.store.Has("baobabtray/hosts/me"));
  w.Until([&] { return w.store.Has("baobabtray/hosts/me"); });
}

Test(store_watcher, fleet_size_outlives_the_leases) {
  directory_world w(17404);
  w.store.Put("baobabtray/hosts/other", "{}");
  w.follower.Start();
  w.Until([&] { return w.store.Has("baobabtray/fleet-size"); });
  w.store.ExpireLeases();
  cr_assert(w.store.Has("baobabtray/fleet-size"));
}

Test(store_watcher, write_whose_answer_is_lost_is_repeated) {
  directory_world w(17405);
  w.store.replies_to_drop = 1;
  w.follower.Start();
  w.Until([&] { return w.store.CallCount("/-/kv-txn") >= 2; });
  cr_assert(w.store.Has("baobabtray/hosts/me"));
}

// A store that falls silent swallows the watch that waits there, and the one
// that is sent after it. Changes made on its return must be in force before it
// counts as stable, five seconds later.
Test(store_watcher,
     change_after_a_silent_outage_is_learned_within_five_seconds) {
  directory_world w(17406);
  w.follower.Start();
  w.Until([&] { return w.Count<host_update>() == 1; });
  w.loop.run_for(std::chrono::milliseconds(500));
  w.store.StallWatches();
  micros back_at = SteadyNow();
  w.store.Put("op/config", kConfig);
  w.Until([&] { return w.Count<routes_update>() == 1; });
  cr_assert_lt(SteadyNow() - back_at, 5 * kSecond);
  // The next call is swallowed too.
  w.store.active_fault = platform_store::fault::kNoResponse;
  w.store.StallWatches();
  w.Until([&] { return !w.follower.in_contact(); });
  w.loop.run_for(std::chrono::milliseconds(500));
  w.store.active_fault = platform_store::fault::kNone;
  back_at = SteadyNow();
  w.store.Put("servers/i-1", EntryOf("a"));
  w.Until([&] { return w.Count<server_update>() == 1; });
  cr_assert_lt(SteadyNow() - back_at, 3 * kSecond);
}

// ---- Whole requests --------------------------------------------------------

Test(worker, merges_the_parts_of_all_shards) {
  worker_world w(17420);
  std::string answer = w.Get("/g/x", "r1");
  cr_assert(Holds(answer, "200 OK"), "%s", answer.c_str());
  cr_assert(Holds(answer, "Missing-Parts: 0"));
  cr_assert(Holds(answer, "seal.i-0.r1, seal.i-1.r1"));
  cr_assert(Holds(answer, "Content-Length: 48"));
}

Test(worker, lost_answer_of_a_post_is_not_sent_again) {
  worker_world w(17430);
  for (auto& s : w.servers) s->response_mode = platform_server::mode::kReset;
  std::string answer = w.Post("r1", "Content-Length: 2\r\n\r\nhi");
  cr_assert(Holds(answer, "502"), "%s", answer.c_str());
  cr_assert_eq(w.Ran("r1"), 1);
}

Test(worker, refused_post_goes_to_another_server) {
  worker_world w(17440);
  w.servers[2]->response_mode = platform_server::mode::kRefuse;
  for (int i = 0; i < 4; ++i) {
    std::string id = "r" + std::to_string(i);
    cr_assert(Holds(w.Post(id, "Content-Length: 2\r\n\r\nhi"), "200 OK"));
    cr_assert_eq(w.Ran(id), 1);
  }
}

Test(worker, target_and_chunked_body_arrive_unchanged) {
  worker_world w(17450);
  w.servers[3]->response_mode = platform_server::mode::kRefuse;
  std::string answer = w.Post(
      "r1", "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n1\r\n!\r\n0\r\n\r\n");
  cr_assert(Holds(answer, "text of i-2"), "%s", answer.c_str());
  cr_assert_eq(w.servers[2]->last_target, "/p/x?q=%2e");
  cr_assert_eq(w.servers[2]->last_body, "hi!");
  cr_assert_eq(w.servers[2]->last_headers["target-instance"], "i-2");
}

Test(worker, answer_to_another_request_is_never_passed_on) {
  worker_world w(17460);
  w.servers[0]->response_mode = platform_server::mode::kWrongId;
  std::string answer = w.Get("/g/x", "r1");
  cr_assert(Holds(answer, "Missing-Parts: 1"), "%s", answer.c_str());
  cr_assert_not(Holds(answer, "seal.i-0"));
}

Test(worker, cut_part_is_left_out) {
  worker_world w(17470);
  w.servers[1]->response_mode = platform_server::mode::kTruncate;
  std::string answer = w.Get("/g/x", "r1");
  cr_assert(Holds(answer, "Missing-Parts: 1"), "%s", answer.c_str());
}

Test(worker, unknown_route_and_malformed_requests_are_answered) {
  worker_world w(17480);
  cr_assert(Holds(w.Get("/q/x", "r1"), "404"));
  cr_assert(Holds(w.Raw("GET /g/x HTTP/1.1\r\nHost: h\r\n\r\n"), "400"));
  // Two lengths, and a length with chunks, must not reach a server.
  w.Post("r2", "Content-Length: 2\r\nContent-Length: 3\r\n\r\nhi!");
  w.Post("r3",
         "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
  w.Post("r4", "Transfer-Encoding: chunked\r\n\r\nzz\r\nhi\r\n");
  w.Raw("GET /g/x HTTP/1.1\r\nHost: h\r\nRequest-Id: r5\r\n", 50);
  for (const char* id : {"r2", "r3", "r4", "r5"}) {
    cr_assert_eq(w.Ran(id), 0, "%s", id);
  }
  cr_assert(Holds(w.Get("/g/x", "r6"), "200 OK"));
}

Test(worker, second_request_in_a_body_is_not_a_request) {
  worker_world w(17490);
  std::string inner =
      "GET /g/x HTTP/1.1\r\nHost: h\r\nRequest-Id: smuggled\r\n\r\n";
  w.Post("r1", "Content-Length: " + std::to_string(inner.size()) + "\r\n\r\n" +
                   inner);
  cr_assert_eq(w.Ran("r1"), 1);
  cr_assert_eq(w.Ran("smuggled"), 0);
}

// The caller leaves while its request runs: the attempt's connection closes.
Test(worker, close_of_the_caller_is_seen_while_its_request_runs) {
  worker_world w(17500);
  for (auto& s : w.servers)
    s->response_mode = platform_server::mode::kNoResponse;
  w.Raw(
      "GET /g/x HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\n"
      "Deadline-Remaining: 700\r\n\r\n",
      50);
  micros left_at = SteadyNow();
  while (w.worker.in_hand() > 0 && SteadyNow() - left_at < kSecond) {
    w.loop.run_for(std::chrono::milliseconds(5));
  }
  cr_assert_lt(SteadyNow() - left_at, 300 * kMillisecond);
}

// All hosts have lost power and come back: callers connect before the store has
// answered for the first time.
Test(worker, request_that_comes_before_the_routes_waits_a_moment) {
  relay_metrics counters;
  settings own = HostSettings(17520);
  relay_worker worker(own, {platform::CallerCodec(), platform::ServerCodec()},
                      &counters);
  cr_assert(worker.Listen().ok());
  std::thread traffic([&] { worker.Run(); });
  asio::io_context loop(1);
  platform_server server(loop, {.id = "i-1",
                                .service = "c",
                                .data_centre = "z",
                                .port = 17525,
                                .returns_records = false});
  server.Listen();
  fetcher http(loop);
  int status = 0;
  http.Start({.to = own.callers,
              .path = "/p/x",
              .headers = {"Host: h", "Request-Id: r1"}},
             [&](fetch_result r) { status = r.status; });
  loop.run_for(std::chrono::milliseconds(100));
  cr_assert_eq(status, 0);
  std::vector<store_update> facts;
  facts.push_back(platform::DecodeItem({.key = "op/config", .value = kConfig}));
  facts.push_back(platform::DecodeItem(
      {.key = "servers/i-1", .value = server.StoreEntry()}));
  worker.PostFacts(std::move(facts));
  for (int i = 0; i < 1000 && status == 0; ++i) {
    loop.run_for(std::chrono::milliseconds(1));
  }
  worker.Stop();
  traffic.join();
  cr_assert_eq(status, 200);
}

Test(worker, host_without_routes_refuses_and_is_not_ready) {
  relay_metrics counters;
  settings own = HostSettings(17510);
  relay_worker worker(own, {platform::CallerCodec(), platform::ServerCodec()},
                      &counters);
  cr_assert(worker.Listen().ok());
  std::thread traffic([&] { worker.Run(); });
  asio::io_context loop(1);
  fetcher http(loop);
  int statuses[2] = {0, 0};
  http.Start({.method = "GET",
              .to = own.callers,
              .path = "/g/x",
              .headers = {"Host: h", "Request-Id: r1"}},
             [&](fetch_result r) { statuses[0] = r.status; });
  http.Start({.method = "GET", .to = own.relay.ready, .path = "/"},
             [&](fetch_result r) { statuses[1] = r.status; });
  for (int i = 0; i < 1000 && (!statuses[0] || !statuses[1]); ++i) {
    loop.run_for(std::chrono::milliseconds(1));
  }
  worker.Stop();
  traffic.join();
  cr_assert_eq(statuses[0], 503);
  cr_assert_eq(statuses[1], 503);
}
