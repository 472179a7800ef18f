// Tests of a traffic thread with stand-in backend servers and a small store: a
// caller's request over HTTP to its answer.

#include <criterion/criterion.h>

#include <asio.hpp>
#include <chrono>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

#include "tray/base/strings.h"
#include "tray/daemon/engine.h"
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

// A store with compare-and-swap that can be down.
struct tiny_store {
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

// A daemon's traffic thread with everything around it, in this process.
class running_tier {
  // Declared first: everything below uses them until its end.
  asio::io_context outside_{1};
  asio::io_context inside_{1};

 public:
  running_tier()
      : store_server_(outside_, "127.0.0.1", 17203,
                      [this](auto c, const auto& r) { store.Handle(c, r); }),
        http_(inside_) {
    auto t = std::make_shared<const service_topology>(*ParseTopology(kText));
    for (int i = 0; i < 2; ++i) {
      servers.push_back(
          std::make_unique<standin::backend>(outside_, *t, i, i + 1));
      servers.back()->behaviour.service_us = 500;
      servers.back()->Start(false);
    }
    store_server_.Listen();
    shared_.own.name = "me";
    shared_.own.callers = {"127.0.0.1", 17204};
    shared_.own.peers = {"127.0.0.1", 17205};
    shared_.own.store = {"127.0.0.1", 17203};
    shared_.id_prefix = "test";
    shared_.on_health = [](std::string, std::string) {};
    shared_.r.backends.share_raise_delay = 0;
    ApplyView(&shared_.r.backends, BuildTopologyView(1, t, {}), {"d", "r"}, 0);
    ApplyHosts(&shared_.r.backends, {{"me", "d", {}}}, "me", 0);
    for (int i = 0; i < 2; ++i) {
      shared_.r.backends.servers[i].versions = {{1, 2, {i}}};
    }
    worker_ = std::make_unique<traffic_worker>(&shared_, 0);
    shared_.workers = {worker_.get()};
    cr_assert(worker_->Listen().ok());
    threads_.emplace_back([this] { worker_->Run(); });
    threads_.emplace_back([this] { outside_.run(); });
  }

  ~running_tier() {
    worker_->Stop();
    outside_.stop();
    for (std::thread& t : threads_) t.join();
  }

  // Runs `change` on the thread of the stand-ins, and waits for it.
  template <typename Change>
  void Outside(Change change) {
    std::atomic<bool> done{false};
    asio::post(outside_, [&] {
      change();
      done = true;
    });
    while (!done) std::this_thread::yield();
  }

  json Query(const json& body, int* status = nullptr) {
    json answer;
    bool done = false;
    http_.Start({.to = shared_.own.callers,
                 .path = "/v1/query",
                 .body = std::make_shared<std::string>(body.dump()),
                 .timeout = 20 * kSecond},
                [&](fetch_result r) {
                  answer = json::parse(r.body, nullptr, false);
                  if (status != nullptr) *status = r.status;
                  done = true;
                });
    for (int i = 0; i < 5000 && !done; ++i) {
      inside_.run_for(std::chrono::milliseconds(5));
    }
    cr_assert(done, "no answer");
    return answer;
  }

  tiny_store store;
  std::vector<std::unique_ptr<standin::backend>> servers;

 private:
  standin::test_http_server store_server_;
  fetcher http_;
  engine shared_;
  std::unique_ptr<traffic_worker> worker_;
  std::vector<std::thread> threads_;
};

json Once(const std::string& key) {
  return {
      {"service", "s"}, {"idempotent", false}, {"key", key}, {"payload", key}};
}

}  // namespace

Test(traffic, answers_whole_and_says_what_is_missing) {
  running_tier tier;
  json answer = tier.Query({{"service", "s"}, {"payload", {1, 2}}});
  cr_assert_eq(answer["outcome"], "complete");
  cr_assert_eq(answer["results"].size(), 2u);
  tier.Outside([&] { tier.servers[1]->Kill(); });
  answer = tier.Query({{"service", "s"}, {"deadline_ms", 300}});
  cr_assert_eq(answer["outcome"], "partial");
  cr_assert_eq(answer["coverage"]["missing"][0]["shard"], 1);
}

Test(traffic, refuses_what_it_does_not_know) {
  running_tier tier;
  int status = 0;
  cr_assert_eq(tier.Query({{"service", "nobody"}}, &status)["error"]["code"],
               "unknown_service");
  cr_assert_eq(status, 404);
  tier.Query({{"service", 5}}, &status);
  cr_assert_eq(status, 400);
}

Test(claims, a_second_request_with_the_key_gets_the_first_ones_answer) {
  running_tier tier;
  json first = tier.Query(Once("k"));
  cr_assert_eq(first["outcome"], "complete");
  json second;
  for (int i = 0; i < 50; ++i) {  // until the outcome is recorded
    second = tier.Query(Once("k"));
    if (second.contains("results")) break;
    cr_assert_eq(second["error"]["code"], "in_progress");
  }
  cr_assert_eq(second, first);
  tier.Outside([&] {
    for (auto& s : tier.servers) cr_assert_eq(s->StatsJson()["ran"], 1);
  });
}

Test(claims, without_the_store_nothing_is_run_and_it_says_so) {
  running_tier tier;
  tier.store.down = true;
  json body = Once("k");
  body["deadline_ms"] = 300;
  int status = 0;
  json answer = tier.Query(body, &status);
  cr_assert_eq(answer["outcome"], "not_run");
  cr_assert_eq(status, 503);
  tier.Outside([&] {
    for (auto& s : tier.servers) cr_assert_eq(s->StatsJson()["ran"], 0);
  });
  tier.store.down = false;
  cr_assert_eq(tier.Query(Once("other"))["outcome"], "complete");
}

Test(claims, a_request_refused_as_not_run_may_be_sent_again) {
  running_tier tier;
  tier.Outside([&] {
    for (auto& s : tier.servers) s->behaviour.shed = 1;
  });
  json body = Once("k");
  body["deadline_ms"] = 200;
  cr_assert_eq(tier.Query(body)["outcome"], "not_run");
  tier.Outside([&] {
    for (auto& s : tier.servers) s->behaviour.shed = 0;
  });
  json again;
  for (int i = 0; i < 200; ++i) {  // until the claim is released
    again = tier.Query(Once("k"));
    if (again["outcome"] == "complete") break;
  }
  cr_assert_eq(again["outcome"], "complete");
}
