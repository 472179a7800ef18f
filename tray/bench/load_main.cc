// Load on a running tier, and the judge of its answers.
//
//   load --targets IP:PORT,... --service NAME --rate N --seconds N [...]
//   load --direct TEXT --service NAME ...   fan out without the tier
//
// Sends queries at a steady rate (open loop) or from a fixed number of callers
// (closed loop), checks every answer for being whole, unmixed and truly
// covered, and prints one JSON object of counts and latencies.

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

// Answers later than the deadline by more than this count as late: the time on
// the way and in this process's own queue.
constexpr micros kLateSlack = 20 * kMillisecond;
// How often the balancer looks at a host.
constexpr micros kBalancerPeriod = 300 * kMillisecond;

micros Now() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

struct options {
  std::vector<endpoint> targets;
  std::string service;
  std::string priority;
  double rate = 0;  // queries a second; 0: closed loop
  int callers = 1;  // closed loop
  double seconds = 5;
  int64_t deadline_ms = 0;
  bool non_idempotent = false;
  bool doubled = false;  // every request goes to two targets
  bool balance =
      false;  // stands for the balancer: only to hosts that are ready
  int connections = 64;
  std::string log_file;  // outcome of every request
  std::string direct_text;
  uint64_t seed = 1;
  uint64_t limit = 0;  // requests in all; 0: no limit
};

// Everything that was seen.
struct tally {
  uint64_t sent = 0;
  std::map<std::string, uint64_t> outcomes;
  std::vector<micros> latencies;  // of complete and partial answers
  uint64_t shards_total = 0;
  uint64_t shards_answered = 0;
  std::map<std::string, uint64_t> missing;
  uint64_t wrong = 0;  // mixed, foreign or falsely covered answers
  uint64_t late = 0;   // beyond the deadline
  uint64_t late_first_second = 0;
  uint64_t cut = 0;  // no whole answer came
  std::string first_wrong;
};

// What is wrong with an answer to `payload`, or "".
std::string WrongWith(const json& answer, const std::string& echo) {
  const json& coverage = answer.at("coverage");
  const json& results = answer.at("results");
  size_t answered = coverage.at("answered"), total = coverage.at("total");
  if (results.size() != answered) return "answered is not the results' number";
  if (answered + coverage.at("missing").size() != total) {
    return "total is not answered and missing";
  }
  std::set<std::pair<std::string, int>> seen;
  for (const json& r : results) {
    const json& body = r.at("result");
    if (body.at("echo") != echo) return "another request's result";
    if (body.at("version") != answer.at("index_version"))
      return "mixed versions";
    if (body.at("service") != r.at("service") ||
        body.at("shard") != r.at("shard")) {
      return "result of another shard";
    }
    if (!seen.emplace(r.at("service").get<std::string>(),
                      r.at("shard").get<int>())
             .second) {
      return "a shard twice";
    }
  }
  bool complete = answer.at("outcome") == "complete";
  if (complete != (answered == total)) return "outcome against coverage";
  return "";
}

class generator {
 public:
  generator(asio::io_context& loop, const options& o)
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
    if (options_.balance) AskReady();
    begin_ = Now();
    end_ = begin_ + static_cast<micros>(options_.seconds * kSecond);
    next_at_ = begin_;
    if (options_.rate > 0) {
      Pace();
    } else {
      for (int i = 0; i < options_.callers; ++i) SendOne();
    }
  }

  const tally& seen() const { return tally_; }

 private:
  bool Over() const {
    return Now() >= end_ ||
           (options_.limit > 0 && tally_.sent >= options_.limit);
  }

  void Pace() {
    while (next_at_ <= Now() && !Over()) {
      SendOne();
      double gap =
          std::exponential_distribution<double>(options_.rate)(random_);
      next_at_ += static_cast<micros>(gap * kSecond);
    }
    if (Over()) return;
    timer_.expires_at(std::chrono::steady_clock::time_point(
        std::chrono::microseconds(next_at_)));
    timer_.async_wait([this](std::error_code) { Pace(); });
  }

  void SendOne() {
    if (Over()) return;
    uint64_t n = ++tally_.sent;
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
    auto text = std::make_shared<std::string>(body.dump());
    int copies = options_.doubled ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) Post(NextTarget(), text, payload);
  }

  const endpoint& NextTarget() {
    for (size_t i = 0; i < ready_.size(); ++i) {
      turn_ = (turn_ + 1) % ready_.size();
      if (ready_[turn_]) break;
    }
    return options_.targets[turn_];
  }

  // A platform's balancer reads /ready, which lies two ports above the
  // callers'.
  void AskReady() {
    for (size_t i = 0; i < options_.targets.size(); ++i) {
      endpoint admin = options_.targets[i];
      admin.port += 2;
      http_.Start({.method = "GET",
                   .to = admin,
                   .path = "/ready",
                   .timeout = kBalancerPeriod},
                  [this, i](fetch_result r) { ready_[i] = r.status == 200; });
    }
    ready_timer_.expires_after(std::chrono::microseconds(kBalancerPeriod));
    ready_timer_.async_wait([this](std::error_code) { AskReady(); });
  }

  void Post(const endpoint& to, std::shared_ptr<const std::string> body,
            const std::string& payload) {
    micros start = Now();
    http_.Start({.to = to,
                 .path = "/v1/query",
                 .body = std::move(body),
                 .timeout = 60 * kSecond},
                [this, start, payload](fetch_result reply) {
                  Take(start, payload, std::move(reply));
                  if (options_.rate == 0) SendOne();
                });
  }

  void Take(micros start, const std::string& payload, fetch_result reply) {
    micros latency = Now() - start;
    if (reply.fault != fetch_fault::kNone) {
      ++tally_.cut;
      Count(payload, "cut");
      return;
    }
    if (options_.deadline_ms > 0 &&
        latency > options_.deadline_ms * kMillisecond + kLateSlack) {
      ++tally_.late;
      if (start - begin_ < kSecond) ++tally_.late_first_second;
    }
    json answer = json::parse(reply.body, nullptr, false);
    if (answer.is_discarded()) {
      ++tally_.wrong;
      return;
    }
    std::string outcome = answer.value("outcome", "none");
    if (!HeaderOf(reply, "X-Duplicate").empty()) outcome = "duplicate";
    Count(payload, outcome);
    if (!answer.contains("coverage")) return;
    tally_.latencies.push_back(latency);
    tally_.shards_total += answer["coverage"].value("total", 0);
    tally_.shards_answered += answer["coverage"].value("answered", 0);
    for (const json& m : answer["coverage"]["missing"]) {
      ++tally_.missing[m.value("reason", "")];
    }
    std::string wrong = WrongWith(answer, fmt::format("{:x}", HashOf(payload)));
    if (wrong.empty()) return;
    ++tally_.wrong;
    if (tally_.first_wrong.empty()) tally_.first_wrong = wrong;
  }

  void Count(const std::string& payload, const std::string& outcome) {
    ++tally_.outcomes[outcome];
    if (log_.is_open()) log_ << payload << "\t" << outcome << "\n";
  }

  fetcher http_;
  const options& options_;
  asio::steady_timer timer_;
  asio::steady_timer ready_timer_;
  std::vector<bool> ready_;
  size_t turn_ = 0;
  std::mt19937_64 random_;
  std::ofstream log_;
  micros begin_ = 0;
  micros end_ = 0;
  micros next_at_ = 0;
  tally tally_;
};

// The same fan-out straight to the backend servers, one query after the other:
// what the tier's added latency is measured against.
class direct_caller {
 public:
  direct_caller(asio::io_context& loop, const options& o)
      : http_(loop), options_(o), text_(LoadText(o.direct_text)) {
    view_ = BuildTopologyView(1, text_, {});
    const service* s = FindService(*text_, o.service);
    plan_ = view_->plans[s - text_->services.data()];
  }

  void Run() {
    end_ = Now() + static_cast<micros>(options_.seconds * kSecond);
    SendOne();
  }

  const tally& seen() const { return tally_; }

 private:
  static std::shared_ptr<const service_topology> LoadText(
      const std::string& file) {
    std::ifstream in(file);
    std::stringstream yaml;
    yaml << in.rdbuf();
    return std::make_shared<const service_topology>(*ParseTopology(yaml.str()));
  }

  void SendOne() {
    if (Now() >= end_) return;
    ++tally_.sent;
    start_ = Now();
    open_ = plan_.size();
    auto payload = std::make_shared<std::string>(R"({"n":1,"seed":1})");
    for (int group : plan_) {
      const shard_group& g = view_->groups[group];
      const backend_server& b =
          text_->servers[g.servers[tally_.sent % g.servers.size()]];
      fetch_request r{.to = b.address,
                      .path = "/query",
                      .body = payload,
                      .timeout = kSecond,
                      .attempt_id = fmt::format("d-{}-{}", tally_.sent, group)};
      r.headers = ToHeaders({.service = text_->services[g.service].name,
                             .shard = g.shard,
                             .version = 1,
                             .deadline = kSecond});
      http_.Start(std::move(r), [this](fetch_result reply) {
        if (reply.status != 200) ++tally_.cut;
        if (--open_ > 0) return;
        tally_.latencies.push_back(Now() - start_);
        SendOne();
      });
    }
  }

  fetcher http_;
  const options& options_;
  std::shared_ptr<const service_topology> text_;
  std::shared_ptr<const topology_view> view_;
  std::vector<int> plan_;
  size_t open_ = 0;
  micros start_ = 0;
  micros end_ = 0;
  tally tally_;
};

double Percentile(const std::vector<micros>& sorted, double q) {
  if (sorted.empty()) return 0;
  size_t at = std::min(sorted.size() - 1, size_t(q * sorted.size()));
  return sorted[at] / 1000.0;
}

json Summary(const tally& t, double seconds) {
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
          {"wrong", t.wrong},
          {"first_wrong", t.first_wrong},
          {"late", t.late},
          {"late_first_second", t.late_first_second},
          {"cut", t.cut}};
}

options Parse(int argc, char** argv) {
  TCLAP::CmdLine cmd("Load on a tier", ' ', BAOBABTRAY_VERSION);
  using word = TCLAP::ValueArg<std::string>;
  using number = TCLAP::ValueArg<double>;
  word targets("", "targets", "callers' addresses", false, "", "LIST", cmd);
  word service("", "service", "service to query", true, "", "NAME", cmd);
  word rank("", "priority", "priority", false, "", "NAME", cmd);
  word log("", "log", "file for every outcome", false, "", "FILE", cmd);
  word direct("", "direct", "fan out without the tier", false, "", "FILE", cmd);
  number rate("", "rate", "queries a second", false, 0, "N", cmd);
  number seconds("", "seconds", "length", false, 5, "N", cmd);
  number callers("", "callers", "callers of a closed loop", false, 1, "N", cmd);
  number deadline("", "deadline-ms", "deadline", false, 0, "N", cmd);
  number connections("", "connections", "per target", false, 64, "N", cmd);
  number seed("", "seed", "of payloads and arrivals", false, 1, "N", cmd);
  number limit("", "limit", "requests in all", false, 0, "N", cmd);
  TCLAP::SwitchArg once("", "non-idempotent", "with keys", cmd);
  TCLAP::SwitchArg balance("", "balance", "only to ready hosts", cmd);
  TCLAP::SwitchArg doubled("", "doubled", "each to two targets", cmd);
  cmd.parse(argc, argv);
  options o{.service = service.getValue(),
            .priority = rank.getValue(),
            .rate = rate.getValue(),
            .callers = static_cast<int>(callers.getValue()),
            .seconds = seconds.getValue(),
            .deadline_ms = static_cast<int64_t>(deadline.getValue()),
            .non_idempotent = once.getValue(),
            .doubled = doubled.getValue(),
            .balance = balance.getValue(),
            .connections = static_cast<int>(connections.getValue()),
            .log_file = log.getValue(),
            .direct_text = direct.getValue(),
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
  // Ends a run whose last answers do not come; the fetcher's own event loop
  // never runs dry.
  micros hard_end =
      Now() + static_cast<micros>(o.seconds * kSecond) + 70 * kSecond;
  auto run = [&](auto& caller, auto idle) {
    caller.Run();
    micros start = Now();
    while (Now() < hard_end && !idle()) {
      loop.run_for(std::chrono::milliseconds(20));
    }
    fmt::print("{}\n", Summary(caller.seen(), (Now() - start) * 1e-6).dump());
  };
  auto over = [&, end = Now() + static_cast<micros>(o.seconds * kSecond)] {
    return Now() > end;
  };
  if (!o.direct_text.empty()) {
    direct_caller caller(loop, o);
    run(caller, over);
    return 0;
  }
  generator caller(loop, o);
  run(caller, [&] {
    const tally& t = caller.seen();
    uint64_t ended = 0;
    for (const auto& [outcome, count] : t.outcomes) ended += count;
    uint64_t wanted = t.sent * (o.doubled ? 2 : 1);
    bool reached = o.limit > 0 && t.sent >= o.limit;
    return (over() || reached) && ended >= wanted;
  });
  return 0;
}

}  // namespace baobabtray::bench

int main(int argc, char** argv) {
  return baobabtray::RunMain(baobabtray::bench::RunProgram, argc, argv, 1);
}
