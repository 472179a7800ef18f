// Load generator for running hosts, which also validates their responses.
//
//   load --targets IP:PORT,... --service NAME --rate N --seconds N [...]
//   load --direct FILE --service NAME ...   query the backend servers directly
//
// Sends queries with Poisson arrivals (open loop) or from a fixed number of
// callers (closed loop), checks every response for consistency, and prints one
// JSON object of counts and latencies.

#include <curl/curl.h>
#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include <algorithm>
#include <asio.hpp>
#include <chrono>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <sstream>

#include "tray/base/hash.h"
#include "tray/base/run_main.h"
#include "tray/base/strings.h"
#include "tray/http/fetch.h"
#include "tray/text/topology_view.h"
#include "tray/wire/backend_wire.h"

namespace baobabtray::bench {
namespace {

using nlohmann::json;

// A response is late if it exceeds the deadline by more than this, which allows
// for the time on the network and in this process's queue.
constexpr micros kLateTolerance = 20 * kMillisecond;
constexpr micros kReadinessPollPeriod = 300 * kMillisecond;

micros Now() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

struct options {
  std::vector<endpoint> targets;
  std::string service;
  std::string priority;
  double rate = 0;  // queries per second; 0: closed loop
  int callers = 1;  // of the closed loop
  double seconds = 5;
  int64_t deadline_ms = 0;
  bool non_idempotent = false;
  bool send_twice = false;  // sends every request to two targets
  bool ready_only = false;  // sends only to ready hosts
  int connections = 64;
  std::string log_file;  // gets a line per response: payload, outcome
  std::string direct_topology;
  uint64_t seed = 1;
  uint64_t limit = 0;  // number of requests; 0: unlimited
};

struct load_stats {
  uint64_t sent = 0;
  std::map<std::string, uint64_t> outcomes;
  std::vector<micros> latencies;  // of responses with a coverage
  uint64_t shards_total = 0;
  uint64_t shards_answered = 0;
  std::map<std::string, uint64_t> missing;
  uint64_t invalid = 0;  // failed ValidationError, or not JSON
  uint64_t late = 0;
  uint64_t late_first_second = 0;
  uint64_t unanswered = 0;  // no complete response, or an error if --direct
  std::string first_error;
};

// Checks that the results of a response are of this request, of one index
// version and one per shard, and agree with the reported coverage. `echo` is
// the hash of the request's payload. Returns a description of the first error,
// or "".
std::string ValidationError(const json& response, const std::string& echo) {
  const json& coverage = response.at("coverage");
  const json& results = response.at("results");
  size_t answered = coverage.at("answered"), total = coverage.at("total");
  if (results.size() != answered)
    return "coverage.answered differs from the number of results";
  if (answered + coverage.at("missing").size() != total) {
    return "coverage.total differs from answered plus missing";
  }
  std::set<std::pair<std::string, int>> seen_shards;
  for (const json& r : results) {
    const json& body = r.at("result");
    if (body.at("echo") != echo) return "result of another request";
    if (body.at("version") != response.at("index_version"))
      return "results of different index versions";
    if (body.at("service") != r.at("service") ||
        body.at("shard") != r.at("shard")) {
      return "result of another shard";
    }
    if (!seen_shards
             .emplace(r.at("service").get<std::string>(),
                      r.at("shard").get<int>())
             .second) {
      return "duplicate result of a shard";
    }
  }
  bool complete = response.at("outcome") == "complete";
  if (complete != (answered == total)) return "outcome contradicts coverage";
  return "";
}

class load_generator {
 public:
  load_generator(asio::io_context& loop, const options& o)
      : http_(loop),
        options_(o),
        timer_(loop),
        ready_timer_(loop),
        random_(o.seed) {
    for (const endpoint& t : o.targets) {
      http_.SetMaxConnections(t, o.connections);
    }
    if (!o.log_file.empty()) log_.open(o.log_file);
  }

  void Run() {
    ready_.assign(options_.targets.size(), true);
    if (options_.ready_only) PollReadiness();
    begin_ = Now();
    end_ = begin_ + static_cast<micros>(options_.seconds * kSecond);
    next_send_at_ = begin_;
    if (options_.rate > 0) {
      SendDue();
    } else {
      for (int i = 0; i < options_.callers; ++i) SendQuery();
    }
  }

  const load_stats& stats() const { return stats_; }

 private:
  bool SendingDone() const {
    return Now() >= end_ ||
           (options_.limit > 0 && stats_.sent >= options_.limit);
  }

  // Sends all queries that are due and schedules the next one.
  void SendDue() {
    while (next_send_at_ <= Now() && !SendingDone()) {
      SendQuery();
      double interval =
          std::exponential_distribution<double>(options_.rate)(random_);
      next_send_at_ += static_cast<micros>(interval * kSecond);
    }
    if (SendingDone()) return;
    timer_.expires_at(std::chrono::steady_clock::time_point(
        std::chrono::microseconds(next_send_at_)));
    timer_.async_wait([this](std::error_code) { SendDue(); });
  }

  void SendQuery() {
    if (SendingDone()) return;
    uint64_t n = ++stats_.sent;
    std::string payload =
        fmt::format(R"({{"n":{},"seed":{}}})", n, options_.seed);
    json body = {{"service", options_.service},
                 {"payload", json::parse(payload)}};
    if (options_.deadline_ms > 0) body["deadline_ms"] = options_.deadline_ms;
    if (!options_.priority.empty()) body["priority"] = options_.priority;
    if (options_.non_idempotent) {
      body["idempotent"] = false;
      body["key"] = fmt::format("key-{}-{}", options_.seed, n);
    }
    auto request_body = std::make_shared<std::string>(body.dump());
    int copies = options_.send_twice ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy)
      Post(NextTarget(), request_body, payload);
  }

  // Round robin over the ready targets; the last one again if none is ready.
  const endpoint& NextTarget() {
    for (size_t i = 0; i < ready_.size(); ++i) {
      last_target_ = (last_target_ + 1) % ready_.size();
      if (ready_[last_target_]) break;
    }
    return options_.targets[last_target_];
  }

  // Polls /ready on the admin ports, as a load balancer does. The admin port is
  // two above the callers' port.
  void PollReadiness() {
    for (size_t i = 0; i < options_.targets.size(); ++i) {
      endpoint admin = options_.targets[i];
      admin.port += 2;
      http_.Start({.method = "GET",
                   .to = admin,
                   .path = "/ready",
                   .timeout = kReadinessPollPeriod},
                  [this, i](fetch_result r) { ready_[i] = r.status == 200; });
    }
    ready_timer_.expires_after(std::chrono::microseconds(kReadinessPollPeriod));
    ready_timer_.async_wait([this](std::error_code) { PollReadiness(); });
  }

  void Post(const endpoint& to, std::shared_ptr<const std::string> body,
            const std::string& payload) {
    micros start = Now();
    http_.Start({.to = to,
                 .path = "/v1/query",
                 .body = std::move(body),
                 .timeout = 60 * kSecond},
                [this, start, payload](fetch_result reply) {
                  HandleResponse(start, payload, std::move(reply));
                  if (options_.rate == 0) SendQuery();
                });
  }

  void HandleResponse(micros start, const std::string& payload,
                      fetch_result reply) {
    micros latency = Now() - start;
    if (reply.fault != fetch_fault::kNone) {
      ++stats_.unanswered;
      CountOutcome(payload, "cut");
      return;
    }
    if (options_.deadline_ms > 0 &&
        latency > options_.deadline_ms * kMillisecond + kLateTolerance) {
      ++stats_.late;
      if (start - begin_ < kSecond) ++stats_.late_first_second;
    }
    json response = json::parse(reply.body, nullptr, false);
    if (response.is_discarded()) {
      ++stats_.invalid;
      return;
    }
    std::string outcome = response.value("outcome", "none");
    if (!HeaderOf(reply, "X-Duplicate").empty()) outcome = "duplicate";
    CountOutcome(payload, outcome);
    if (!response.contains("coverage")) return;
    stats_.latencies.push_back(latency);
    stats_.shards_total += response["coverage"].value("total", 0);
    stats_.shards_answered += response["coverage"].value("answered", 0);
    for (const json& m : response["coverage"]["missing"]) {
      ++stats_.missing[m.value("reason", "")];
    }
    std::string error =
        ValidationError(response, fmt::format("{:x}", HashOf(payload)));
    if (error.empty()) return;
    ++stats_.invalid;
    if (stats_.first_error.empty()) stats_.first_error = error;
  }

  void CountOutcome(const std::string& payload, const std::string& outcome) {
    ++stats_.outcomes[outcome];
    if (log_.is_open()) log_ << payload << "\t" << outcome << "\n";
  }

  fetcher http_;
  const options& options_;
  asio::steady_timer timer_;
  asio::steady_timer ready_timer_;
  std::vector<bool> ready_;
  size_t last_target_ = 0;
  std::mt19937_64 random_;
  std::ofstream log_;
  micros begin_ = 0;
  micros end_ = 0;
  micros next_send_at_ = 0;
  load_stats stats_;
};

// Sends the calls of a query directly to the backend servers, one query after
// the other. This is the baseline for the latency that hosts add.
class direct_caller {
 public:
  direct_caller(asio::io_context& loop, const options& o)
      : http_(loop), options_(o), topology_(LoadTopology(o.direct_topology)) {
    view_ = BuildTopologyView(1, topology_, {});
    const service* s = FindService(*topology_, o.service);
    plan_ = view_->plans[s - topology_->services.data()];
  }

  void Run() {
    end_ = Now() + static_cast<micros>(options_.seconds * kSecond);
    SendQuery();
  }

  const load_stats& stats() const { return stats_; }

 private:
  static std::shared_ptr<const service_topology> LoadTopology(
      const std::string& file) {
    std::ifstream in(file);
    std::stringstream yaml;
    yaml << in.rdbuf();
    return std::make_shared<const service_topology>(*ParseTopology(yaml.str()));
  }

  void SendQuery() {
    if (Now() >= end_) return;
    ++stats_.sent;
    query_start_ = Now();
    pending_ = plan_.size();
    auto payload = std::make_shared<std::string>(R"({"n":1,"seed":1})");
    for (int group : plan_) {
      const shard_group& g = view_->groups[group];
      const backend_server& b =
          topology_->servers[g.servers[stats_.sent % g.servers.size()]];
      fetch_request r{.to = b.address,
                      .path = "/query",
                      .body = payload,
                      .timeout = kSecond,
                      .attempt_id = fmt::format("d-{}-{}", stats_.sent, group)};
      r.headers = ToHeaders({.service = topology_->services[g.service].name,
                             .shard = g.shard,
                             .version = 1,
                             .deadline = kSecond});
      http_.Start(std::move(r), [this](fetch_result reply) {
        if (reply.status != 200) ++stats_.unanswered;
        if (--pending_ > 0) return;
        stats_.latencies.push_back(Now() - query_start_);
        SendQuery();
      });
    }
  }

  fetcher http_;
  const options& options_;
  std::shared_ptr<const service_topology> topology_;
  std::shared_ptr<const topology_view> view_;
  std::vector<int> plan_;
  size_t pending_ = 0;
  micros query_start_ = 0;
  micros end_ = 0;
  load_stats stats_;
};

double Percentile(const std::vector<micros>& sorted, double q) {
  if (sorted.empty()) return 0;
  size_t index = std::min(sorted.size() - 1, size_t(q * sorted.size()));
  return sorted[index] / 1000.0;
}

// The JSON output. Its names are read by tools/scenarios.py.
json Summary(const load_stats& t, double seconds) {
  std::vector<micros> sorted = t.latencies;
  std::sort(sorted.begin(), sorted.end());
  return {{"sent", t.sent},
          {"seconds", seconds},
          {"outcomes", t.outcomes},
          {"p50_ms", Percentile(sorted, 0.5)},
          {"p90_ms", Percentile(sorted, 0.9)},
          {"p99_ms", Percentile(sorted, 0.99)},
          {"max_ms", Percentile(sorted, 1.0)},
          {"shards_total", t.shards_total},
          {"shards_answered", t.shards_answered},
          {"missing", t.missing},
          {"wrong", t.invalid},
          {"first_wrong", t.first_error},
          {"late", t.late},
          {"late_first_second", t.late_first_second},
          {"cut", t.unanswered}};
}

options Parse(int argc, char** argv) {
  TCLAP::CmdLine cmd("Load generator for running hosts", ' ',
                     BAOBABTRAY_VERSION);
  using string_arg = TCLAP::ValueArg<std::string>;
  using number_arg = TCLAP::ValueArg<double>;
  string_arg targets("", "targets", "callers' addresses of hosts", false, "",
                     "LIST", cmd);
  string_arg service("", "service", "service to query", true, "", "NAME", cmd);
  string_arg priority("", "priority", "priority", false, "", "NAME", cmd);
  string_arg log("", "log", "file for the outcome of every request", false, "",
                 "FILE", cmd);
  string_arg direct("", "direct",
                    "topology file; query its backend servers directly", false,
                    "", "FILE", cmd);
  number_arg rate("", "rate", "queries per second; 0: closed loop", false, 0,
                  "N", cmd);
  number_arg seconds("", "seconds", "duration", false, 5, "N", cmd);
  number_arg callers("", "callers", "callers of the closed loop", false, 1, "N",
                     cmd);
  number_arg deadline("", "deadline-ms", "deadline of a query", false, 0, "N",
                      cmd);
  number_arg connections("", "connections", "connections per target", false, 64,
                         "N", cmd);
  number_arg seed("", "seed", "seed of payloads and arrivals", false, 1, "N",
                  cmd);
  number_arg limit("", "limit", "number of requests; 0: unlimited", false, 0,
                   "N", cmd);
  TCLAP::SwitchArg non_idempotent("", "non-idempotent",
                                  "non-idempotent requests with keys", cmd);
  TCLAP::SwitchArg ready_only("", "balance", "send only to ready hosts", cmd);
  TCLAP::SwitchArg send_twice("", "doubled",
                              "send every request to two targets", cmd);
  cmd.parse(argc, argv);
  options o{.service = service.getValue(),
            .priority = priority.getValue(),
            .rate = rate.getValue(),
            .callers = static_cast<int>(callers.getValue()),
            .seconds = seconds.getValue(),
            .deadline_ms = static_cast<int64_t>(deadline.getValue()),
            .non_idempotent = non_idempotent.getValue(),
            .send_twice = send_twice.getValue(),
            .ready_only = ready_only.getValue(),
            .connections = static_cast<int>(connections.getValue()),
            .log_file = log.getValue(),
            .direct_topology = direct.getValue(),
            .seed = static_cast<uint64_t>(seed.getValue()),
            .limit = static_cast<uint64_t>(limit.getValue())};
  std::stringstream list(targets.getValue());
  for (std::string item; std::getline(list, item, ',');) {
    o.targets.push_back(*ParseEndpoint(item));
  }
  return o;
}

}  // namespace

int RunProgram(int argc, char** argv) {
  options o = Parse(argc, argv);
  asio::io_context loop(1);
  // Bounds the wait for outstanding responses. The event loop does not end by
  // itself, because the fetcher always has pending work.
  micros give_up_at =
      Now() + static_cast<micros>(o.seconds * kSecond) + 70 * kSecond;
  auto run = [&](auto& caller, auto done) {
    caller.Run();
    micros start = Now();
    while (Now() < give_up_at && !done()) {
      loop.run_for(std::chrono::milliseconds(20));
    }
    fmt::print("{}\n", Summary(caller.stats(), (Now() - start) * 1e-6).dump());
  };
  auto time_over = [&, end = Now() + static_cast<micros>(o.seconds * kSecond)] {
    return Now() > end;
  };
  if (!o.direct_topology.empty()) {
    direct_caller caller(loop, o);
    run(caller, time_over);
    return 0;
  }
  load_generator caller(loop, o);
  run(caller, [&] {
    const load_stats& t = caller.stats();
    uint64_t finished = 0;
    for (const auto& [outcome, count] : t.outcomes) finished += count;
    uint64_t expected = t.sent * (o.send_twice ? 2 : 1);
    bool reached = o.limit > 0 && t.sent >= o.limit;
    return (time_over() || reached) && finished >= expected;
  });
  return 0;
}

}  // namespace baobabtray::bench

int main(int argc, char** argv) {
  return baobabtray::RunMain(baobabtray::bench::RunProgram, argc, argv, 1);
}
