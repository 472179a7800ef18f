// A seeded world for the query libraries: a few hosts, fake backend servers,
// and events in random order. After every step the promises are checked against
// what the fake servers really did.
//
// A trace is a list of step seeds; each step draws only from its own seed. A
// failing trace can therefore be shortened by leaving steps out.

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

// One fake backend server and what it did.
struct fake_server {
  uint64_t boot = 1;
  micros booted_at = 0;
  bool up = true;
  bool cold = false;
  bool leaving = false;
  int warm_after = 0;
  int in_flight = 0;
  std::vector<uint64_t> versions = {1};
};

// A request that a fake server has received, or a reply on its way back.
struct flight {
  int host = 0;
  uint64_t query = 0;
  uint64_t attempt = 0;
  int server = 0;
  int shard = 0;
  uint64_t version = 0;
  uint64_t boot = 0;  // of the server when it received the request
  bool ran = false;
  bool cancelled = false;
  bool handed_over = false;
};

struct world_stats {
  int queries = 0, complete = 0, partial = 0, not_run = 0, unknown = 0;
  int sends = 0, hedges = 0, restarts = 0, cold_sends = 0;
};

class world {
 public:
  explicit world(uint64_t seed);
  // One random event. Returns "" or the promise that was broken.
  std::string Step(uint64_t step_seed);
  // Lets all queries end. Returns "" or the promise that was broken.
  std::string Finish();
  const world_stats& stats() const { return stats_; }

 private:
  struct host {
    routing_state r;
    std::map<uint64_t, std::unique_ptr<query>> queries;
    bool live = true;
  };

  void StartOne();
  void Deliver();
  void Advance();
  void ChangeServer();
  void TellOne();
  void ChangeConfig();
  void ChangeHosts();
  void Perform(int h, query* q, const query_actions& actions);
  void Receive(int h, query* q, const send_action& s);
  void End(flight f, attempt_end end);
  void Wake(int h, int server);
  void CheckQuery(int h, query* q);
  void CheckAll();
  server_report ReportOf(int server) const;
  void Count(const query& q);
  void Fail(const std::string& what);
  uint64_t Draw(uint64_t bound);

  std::mt19937_64 random_;
  micros now_ = kSecond;
  std::shared_ptr<const service_topology> text_;
  std::vector<place> out_;
  int64_t revision_ = 1;
  std::vector<fake_server> servers_;
  std::vector<host> hosts_;
  std::vector<flight> flights_;
  // (query, service, shard) -> how often it was run
  std::map<std::pair<uint64_t, uint64_t>, int> runs_;
  uint64_t next_query_ = 1;
  uint64_t newest_version_ = 1;
  world_stats stats_;
  std::string broken_;
};

// Runs `steps` steps from `seed`. On failure the shortest trace found is
// printed and the broken promise returned.
std::string RunWorld(uint64_t seed, int steps, world_stats* stats);

}  // namespace baobabtray::testing

#endif  // TRAY_TESTING_QUERY_SIMULATION_H_
