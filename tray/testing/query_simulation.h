// Randomized simulation of the query libraries: a few hosts, fake backend
// servers, and events in random order. After every step the invariants are
// checked against what the fake servers actually ran.
//
// A trace is a list of step seeds, and each step draws random numbers only from
// its own seed. A failing trace can therefore be minimized by removing steps.

#ifndef TRAY_TESTING_QUERY_SIMULATION_H_
#define TRAY_TESTING_QUERY_SIMULATION_H_

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "tray/query/query.h"

namespace baobabtray::testing {

// A fake backend server.
struct fake_server {
  uint64_t boot = 1;
  micros booted_at = 0;
  bool up = true;
  bool cold = false;
  bool leaving = false;
  int requests_run_cold = 0;
  int in_flight = 0;
  std::vector<uint64_t> versions = {1};
};

// A request on its way to a fake server, or its reply on the way back.
struct request_in_flight {
  int host = 0;
  uint64_t query = 0;
  uint64_t attempt = 0;
  int server = 0;
  int shard = 0;
  uint64_t version = 0;
  uint64_t boot = 0;  // of the server when it received the request
  bool ran = false;
  bool cancelled = false;
  bool forwarded = false;
};

struct simulation_stats {
  int queries = 0, complete = 0, partial = 0, not_run = 0, unknown = 0;
  int sends = 0, hedges = 0, restarts = 0, cold_sends = 0;
};

class query_simulator {
 public:
  explicit query_simulator(uint64_t seed);
  // Runs one random event. Returns "" or the invariant that was violated.
  std::string Step(uint64_t step_seed);
  // Runs until all queries end. Returns "" or the invariant that was violated.
  std::string Finish();
  const simulation_stats& stats() const { return stats_; }

 private:
  struct host {
    routing_state r;
    std::map<uint64_t, std::unique_ptr<query>> queries;
    bool live = true;
  };

  void StartRandomQuery();
  void CompleteRandomRequest();
  void AdvanceTime();
  void ChangeRandomServer();
  void DeliverReport();
  void ChangeOutOfService();
  void ChangeHosts();
  void ApplyActions(int h, query* q, const query_actions& actions);
  void CheckAndSend(int h, query* q, const send_action& s);
  void End(request_in_flight f, attempt_end end);
  void WakeWaiters(int h, int server);
  void CheckQuery(int h, query* q);
  void CheckAll();
  server_report ReportOf(int server) const;
  void Count(const query& q);
  void Fail(const std::string& what);
  uint64_t Draw(uint64_t bound);

  std::mt19937_64 random_;
  micros now_ = kSecond;
  std::shared_ptr<const service_topology> topology_;
  std::vector<place> out_of_service_;
  int64_t revision_ = 1;
  std::vector<fake_server> servers_;
  std::vector<host> hosts_;
  std::vector<request_in_flight> requests_in_flight_;
  // (query id, shard key) -> number of runs
  std::map<std::pair<uint64_t, uint64_t>, int> runs_;
  uint64_t next_query_ = 1;
  uint64_t newest_version_ = 1;
  simulation_stats stats_;
  std::string violation_;
};

// Runs `steps` steps from `seed`. On failure prints a minimized trace to stderr
// and returns the violated invariant.
std::string RunSimulation(uint64_t seed, int steps, simulation_stats* stats);

}  // namespace baobabtray::testing

#endif  // TRAY_TESTING_QUERY_SIMULATION_H_
