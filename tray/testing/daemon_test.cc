// End-to-end tests of a traffic thread: callers' requests over HTTP, against
// stand-in backend servers and an in-memory store.

#include <criterion/criterion.h>

#include <asio.hpp>
#include <chrono>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

#include "tray/base/strings.h"
#include "tray/daemon/daemon_state.h"
#include "tray/daemon/traffic.h"
#include "tray/http/fetch.h"
#include "tray/standin/backend.h"
#include "tray/standin/test_http_server.h"

using namespace baobabtray;  // NOLINT: test file
using nlohmann::json;

namespace {

constexpr char kText[] = R"(
regions: [r]
data_centres: [{name: d, region: r}]
services:
  - name: s
    shards: 2
    connections: 16
    policy: {deadline_ms: 2000}
    backend_servers:
      - {name: a, data_centre: d, address: "127.0.0.1:17201", shards: [0]}
      - {name: b, data_centre: d, address: "127.0.0.1:17202", shards: [1]}
)";

// An in-memory store with compare-and-swap that can be taken down.
struct in_memory_store {
  std::map<std::string, std::pair<uint64_t, std::string>> keys;
  std::atomic<bool> down{false};

  void Handle(std::shared_ptr<standin::test_http_connection> c,
              const standin::test_http_request& r) {
    if (down) return c->Reset();
    auto& [revision, value] = keys[r.path];
    if (r.method == "PUT") {
      if (ParseNumber<uint64_t>(r.QueryParameter("if_revision")) != revision) {
        return c->Reply(409, {{"X-Revision", std::to_string(revision)}}, "");
      }
      ++revision;
      value = r.body;
    }
    if (revision == 0) return c->Reply(404, {}, "");
    c->Reply(200, {{"X-Revision", std::to_string(revision)}}, value);
  }
};

// A traffic thread with its backend servers and store, in this process.
class traffic_fixture {
  // Declared first, since all other members use them until destruction.
  asio::io_context standin_loop_{1};
  asio::io_context client_loop_{1};

 public:
  traffic_fixture()
      : store_server_(standin_loop_, "127.0.0.1", 17203,
                      [this](auto c, const auto& r) { store.Handle(c, r); }),
        http_(client_loop_) {
    auto t = std::make_shared<const service_topology>(*ParseTopology(kText));
    for (int i = 0; i < 2; ++i) {
      servers.push_back(
          std::make_unique<standin::backend>(standin_loop_, *t, i, i + 1));
      servers.back()->behaviour.service_us = 500;
      servers.back()->Start(false);
    }
    store_server_.Listen();
    state_.local_settings.name = "me";
    state_.local_settings.callers = {"127.0.0.1", 17204};
    state_.local_settings.peers = {"127.0.0.1", 17205};
    state_.local_settings.store = {"127.0.0.1", 17203};
    state_.id_prefix = "test";
    state_.on_health = [](std::string, std::string) {};
    state_.routing.backends.share_raise_delay = 0;
    ApplyView(&state_.routing.backends, BuildTopologyView(1, t, {}), {"d", "r"},
              0);
    ApplyHosts(&state_.routing.backends, {{"me", "d", {}}}, "me", 0);
    for (int i = 0; i < 2; ++i) {
      state_.routing.backends.servers[i].versions = {{1, 2, {i}}};
    }
    worker_ = std::make_unique<traffic_worker>(&state_, 0);
    state_.workers = {worker_.get()};
    cr_assert(worker_->Listen().ok());
    threads_.emplace_back([this] { worker_->Run(); });
    threads_.emplace_back([this] { standin_loop_.run(); });
  }

  ~traffic_fixture() {
    worker_->Stop();
    standin_loop_.stop();
    for (std::thread& t : threads_) t.join();
  }

  // Runs `change` on the stand-ins' thread and waits for its completion.
  template <typename Change>
  void RunOnStandinThread(Change change) {
    std::atomic<bool> done{false};
    asio::post(standin_loop_, [&] {
      change();
      done = true;
    });
    while (!done) std::this_thread::yield();
  }

  json Query(const json& body, int* status = nullptr) {
    json answer;
    bool done = false;
    http_.Start({.to = state_.local_settings.callers,
                 .path = "/v1/query",
                 .body = std::make_shared<std::string>(body.dump()),
                 .timeout = 20 * kSecond},
                [&](fetch_result r) {
                  answer = json::parse(r.body, nullptr, false);
                  if (status != nullptr) *status = r.status;
                  done = true;
                });
    for (int i = 0; i < 5000 && !done; ++i) {
      client_loop_.run_for(std::chrono::milliseconds(5));
    }
    cr_assert(done, "no answer");
    return answer;
  }

  in_memory_store store;
  std::vector<std::unique_ptr<standin::backend>> servers;

 private:
  standin::test_http_server store_server_;
  fetcher http_;
  daemon_state state_;
  std::unique_ptr<traffic_worker> worker_;
  std::vector<std::thread> threads_;
};

json NonIdempotentRequest(const std::string& key) {
  return {
      {"service", "s"}, {"idempotent", false}, {"key", key}, {"payload", key}};
}

}  // namespace

Test(traffic, returns_complete_answers_and_lists_missing_shards) {
  traffic_fixture fixture;
  json answer = fixture.Query({{"service", "s"}, {"payload", {1, 2}}});
  cr_assert_eq(answer["outcome"], "complete");
  cr_assert_eq(answer["results"].size(), 2u);
  fixture.RunOnStandinThread([&] { fixture.servers[1]->Kill(); });
  answer = fixture.Query({{"service", "s"}, {"deadline_ms", 300}});
  cr_assert_eq(answer["outcome"], "partial");
  cr_assert_eq(answer["coverage"]["missing"][0]["shard"], 1);
}

Test(traffic, rejects_unknown_services_and_malformed_requests) {
  traffic_fixture fixture;
  int status = 0;
  cr_assert_eq(fixture.Query({{"service", "nobody"}}, &status)["error"]["code"],
               "unknown_service");
  cr_assert_eq(status, 404);
  fixture.Query({{"service", 5}}, &status);
  cr_assert_eq(status, 400);
}

Test(claims, a_duplicate_request_gets_the_recorded_answer) {
  traffic_fixture fixture;
  json first = fixture.Query(NonIdempotentRequest("k"));
  cr_assert_eq(first["outcome"], "complete");
  json second;
  for (int i = 0; i < 50; ++i) {  // until the outcome is recorded
    second = fixture.Query(NonIdempotentRequest("k"));
    if (second.contains("results")) break;
    cr_assert_eq(second["error"]["code"], "in_progress");
  }
  cr_assert_eq(second, first);
  fixture.RunOnStandinThread([&] {
    for (auto& s : fixture.servers) cr_assert_eq(s->StatsJson()["ran"], 1);
  });
}

Test(claims, a_request_is_not_run_if_the_store_is_unreachable) {
  traffic_fixture fixture;
  fixture.store.down = true;
  json body = NonIdempotentRequest("k");
  body["deadline_ms"] = 300;
  int status = 0;
  json answer = fixture.Query(body, &status);
  cr_assert_eq(answer["outcome"], "not_run");
  cr_assert_eq(status, 503);
  fixture.RunOnStandinThread([&] {
    for (auto& s : fixture.servers) cr_assert_eq(s->StatsJson()["ran"], 0);
  });
  fixture.store.down = false;
  cr_assert_eq(fixture.Query(NonIdempotentRequest("other"))["outcome"],
               "complete");
}

Test(claims, a_request_that_was_not_run_can_be_sent_again) {
  traffic_fixture fixture;
  fixture.RunOnStandinThread([&] {
    for (auto& s : fixture.servers) s->behaviour.shed = 1;
  });
  json body = NonIdempotentRequest("k");
  body["deadline_ms"] = 200;
  cr_assert_eq(fixture.Query(body)["outcome"], "not_run");
  fixture.RunOnStandinThread([&] {
    for (auto& s : fixture.servers) s->behaviour.shed = 0;
  });
  json again;
  for (int i = 0; i < 200; ++i) {  // until the claim is released
    again = fixture.Query(NonIdempotentRequest("k"));
    if (again["outcome"] == "complete") break;
  }
  cr_assert_eq(again["outcome"], "complete");
}
