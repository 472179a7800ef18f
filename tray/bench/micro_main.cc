// Micro-benchmarks of routing and configuration functions. tools/bench.py
// checks ratios of times within one run, so that the time of a function does
// not grow disproportionately to its input.

#include <benchmark/benchmark.h>
#include <fmt/format.h>

#include <string>

#include "tray/base/hash.h"
#include "tray/config/delta.h"
#include "tray/members/members.h"
#include "tray/query/query.h"

namespace baobabtray::bench {
namespace {

constexpr micros kNow = 10 * kSecond;

// A front service that depends on `services` services of one shard with
// `replicas` servers each.
std::string TopologyYaml(int services, int replicas) {
  std::string yaml =
      "regions: [r]\ndata_centres: [{name: d, region: r}]\nservices:\n"
      "  - name: front\n    depends_on: [";
  for (int i = 0; i < services; ++i) {
    yaml += fmt::format("{}s{}", i == 0 ? "" : ", ", i);
  }
  yaml += "]\n";
  for (int i = 0; i < services; ++i) {
    yaml += fmt::format(
        "  - name: s{}\n    shards: 1\n    connections: 64\n"
        "    backend_servers:\n",
        i);
    for (int k = 0; k < replicas; ++k) {
      yaml += fmt::format(
          "      - {{name: s{}-{}, data_centre: d, address: "
          "\"10.{}.{}.{}:1\"}}\n",
          i, k, i / 250, i % 250, k + 1);
    }
  }
  return yaml;
}

// Routing state of a single host whose servers are warm and hold version 1.
routing_state WarmRoutingState(int services, int replicas) {
  routing_state r;
  auto t = std::make_shared<const service_topology>(
      *ParseTopology(TopologyYaml(services, replicas)));
  ApplyView(&r.backends, BuildTopologyView(1, t, {}), {"d", "r"}, 0);
  ApplyHosts(&r.backends, {{"me", "d", {}}}, "me", 0);
  for (server_state& s : r.backends.servers) {
    s.versions = {{1, 1, {0}}};
    s.mean_latency = 5000;
    s.mean_latency_at = kNow;
    for (uint64_t i = 1; i < 80; ++i) {
      OnSend(&s.window);
      OnReply(&s.window, {.stamp = {1, i}}, 5000, kNow);
    }
  }
  return r;
}

void PickSnapshotOf(benchmark::State& state) {
  routing_state r = WarmRoutingState(static_cast<int>(state.range(0)), 3);
  std::vector<int> services =
      ReachableServices(*r.backends.current_view->topology, 0);
  for (auto _ : state) {
    benchmark::DoNotOptimize(PickSnapshot(r.backends, services));
  }
}
BENCHMARK(PickSnapshotOf)->Arg(10)->Arg(54);

void StartQueryOf(benchmark::State& state) {
  routing_state r = WarmRoutingState(static_cast<int>(state.range(0)), 3);
  for (auto _ : state) {
    query q;
    q.spec = {.service = 0, .start = kNow, .deadline = kNow + kSecond};
    query_actions actions;
    StartQuery(&r, &q, kNow, &actions);
    AbortQuery(&r, &q, kNow, &actions);
  }
}
BENCHMARK(StartQueryOf)->Arg(10)->Arg(54);

void ChooseAmong(benchmark::State& state) {
  routing_state r = WarmRoutingState(1, static_cast<int>(state.range(0)));
  uint64_t random = 1;
  for (auto _ : state) {
    benchmark::DoNotOptimize(ChooseReplica(
        r.backends, choice_mode::kLeastWait,
        {.service = 1, .version = 1, .now = kNow, .random = ++random}));
  }
}
BENCHMARK(ChooseAmong)->Arg(3)->Arg(40);

void UpdateWindow(benchmark::State& state) {
  routing_state r = WarmRoutingState(1, 1);
  server_window* w = &r.backends.servers[0].window;
  uint64_t uptime = 100;
  for (auto _ : state) {
    OnSend(w);
    OnReply(w, {.stamp = {1, ++uptime}}, 5000, kNow);
  }
}
BENCHMARK(UpdateWindow);

void MergeDigest(benchmark::State& state) {
  membership members{.self = {.name = "me"}};
  std::vector<member> changes;
  for (int i = 0; i < state.range(0); ++i) {
    member m{.name = fmt::format("host-{}", i), .incarnation = 1};
    MergeMember(&members, m, 0);
    if (i < kMaxChangesPerDigest) changes.push_back(m);
  }
  for (auto _ : state) {
    for (member& m : changes) {
      ++m.incarnation;
      MergeMember(&members, m, kNow);
    }
  }
}
BENCHMARK(MergeDigest)->Arg(32)->Arg(740);

void FingerprintText(benchmark::State& state) {
  std::string text = TopologyYaml(1567, 3);
  for (auto _ : state) benchmark::DoNotOptimize(FingerprintOf(text));
}
BENCHMARK(FingerprintText);

void ApplyDeltaToText(benchmark::State& state) {
  std::string old_text = TopologyYaml(1567, 3), new_text = old_text;
  new_text.replace(new_text.size() / 2, 5, "slots");
  text_delta d = DiffTexts(old_text, new_text);
  for (auto _ : state) benchmark::DoNotOptimize(ApplyDelta(old_text, d));
}
BENCHMARK(ApplyDeltaToText);

void ParseWholeText(benchmark::State& state) {
  std::string yaml = TopologyYaml(static_cast<int>(state.range(0)), 3);
  for (auto _ : state) benchmark::DoNotOptimize(ParseTopology(yaml));
}
BENCHMARK(ParseWholeText)->Arg(50)->Arg(500)->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace baobabtray::bench

BENCHMARK_MAIN();
