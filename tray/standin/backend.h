// A stand-in for one backend server with fault injection and statistics.
//
// It runs up to `slots` requests concurrently and queues the rest, limits the
// number of connections, delays the first request of a connection by the
// connection cost, starts cold, drains, sheds load, honours deadlines and
// cancellation, and holds several index versions. The statistics record which
// requests were executed, so that checks can compare them with the responses
// that callers received.

#ifndef TRAY_STANDIN_BACKEND_H_
#define TRAY_STANDIN_BACKEND_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "tray/fleet/server_report.h"
#include "tray/standin/test_http_server.h"
#include "tray/text/topology.h"

namespace baobabtray::standin {

// Behaviour and injected faults, set through the control endpoint under the
// names of the fields. Fractions are of requests.
struct backend_behaviour {
  int service_us = 2000;
  double straggle = 0;  // fraction slower by straggle_factor
  double straggle_factor = 10;
  double shed = 0;      // fraction refused with X-Not-Run: shed
  double fail = 0;      // fraction answered with status 500 after execution
  double reset = 0;     // fraction reset, half before and half after execution
  double cut = 0;       // fraction of responses truncated, after execution
  double silent = 0;    // fraction after which the connection stops responding
  double crossed = 0;   // fraction of responses with a wrong attempt id
  double mixed = 0;     // fraction of responses with a wrong index version
  double doubled = 0;   // fraction of responses sent twice
  int warm_after = 20;  // executed requests that end a cold start
  int cold_factor = 5;  // slowdown while cold
  int health_lag_ms = 0;     // age of the health reports
  bool health_lies = false;  // the health report always says ready
  bool draining = false;
};

// Served as JSON by GET /ledger. Times are of the steady clock.
struct backend_stats {
  uint64_t received = 0;
  uint64_t ran = 0;
  uint64_t refused = 0;  // answered with X-Not-Run
  uint64_t expired = 0;  // refused: deadline passed while queued
  uint64_t cancelled = 0;
  int max_in_flight = 0;
  int max_in_flight_cold = 0;
  uint64_t cold_excess = 0;  // requests received beyond the cold limit
  // Of those, the ones from hosts to which a response had already reported the
  // state "cold".
  uint64_t cold_excess_after_reply = 0;
  std::unordered_map<std::string, uint64_t> cold_excess_by_host;
  micros last_request_at = 0;
  // Execution counts of non-idempotent requests, by SHARD#BODY.
  std::unordered_map<std::string, int> runs;
};

class backend {
 public:
  backend(asio::io_context& loop, const service_topology& t, int server,
          uint64_t seed);

  void Start(bool cold);
  void Kill();
  void Restart(bool cold);
  // Makes the server cold without a new boot id, as when a cache is lost.
  void TurnCold();
  // Stops responding on this fraction of the open connections.
  void StopRespondingOn(double fraction);
  void AddVersion(uint64_t version, int total);
  void RemoveVersion(uint64_t version);

  nlohmann::json StatsJson() const;
  void ClearStats();

  backend_behaviour behaviour;
  const std::string& name() const { return server_.name; }
  const std::string& service_name() const { return service_name_; }
  const std::string& data_centre_name() const { return data_centre_name_; }
  const backend_stats& stats() const { return stats_; }

 private:
  struct request_job {
    std::shared_ptr<test_http_connection> connection;
    std::string attempt_id;
    std::string body;
    uint64_t version = 0;
    int shard = 0;
    bool idempotent = true;
    micros deadline = 0;
    bool done = false;  // answered, refused, cancelled or never to be answered
    asio::steady_timer timer;
    explicit request_job(asio::io_context& loop) : timer(loop) {}
  };

  void Handle(std::shared_ptr<test_http_connection> c,
              const test_http_request& r);
  void HandleQuery(std::shared_ptr<test_http_connection> c,
                   const test_http_request& r);
  void HandleHealth(const std::shared_ptr<test_http_connection>& c);
  void Admit(const std::shared_ptr<request_job>& j);
  void CountColdRequest(const std::string& attempt_id);
  void RecordStateReported(const std::string& attempt_id);
  void RunQueued();
  void Execute(const std::shared_ptr<request_job>& j);
  void Finish(const std::shared_ptr<request_job>& j);
  void Cancel(const std::shared_ptr<request_job>& j);
  void Refuse(const std::shared_ptr<request_job>& j, int status,
              std::string_view reason);
  test_http_headers ResponseHeaders(const std::string& attempt_id,
                                    uint64_t version) const;
  std::string StateName() const;
  // True with this probability.
  bool Bernoulli(double probability);
  uint64_t UptimeMs() const;
  nlohmann::json HealthReport() const;

  asio::io_context& loop_;
  const backend_server server_;
  std::string service_name_;
  std::string data_centre_name_;
  test_http_server http_;
  std::mt19937_64 random_;
  std::map<uint64_t, version_report> versions_;
  uint64_t boot_id_ = 0;
  micros booted_at_ = 0;
  bool cold_ = false;
  // When a response first reported the state "cold" to a host, by host.
  std::unordered_map<std::string, micros> cold_reported_at_;
  int clean_requests_ = 0;  // executed since cold_ was set or last cold excess
  int running_ = 0;
  int in_flight_ = 0;  // received and neither answered nor cancelled
  std::deque<std::shared_ptr<request_job>> queue_;
  std::vector<std::pair<micros, nlohmann::json>> health_history_;
  backend_stats stats_;
};

}  // namespace baobabtray::standin

#endif  // TRAY_STANDIN_BACKEND_H_
