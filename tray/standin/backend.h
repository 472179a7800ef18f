// A stand-in for one backend server, with the faults of the brief and a ledger.
//
// It works on `slots` requests at once and queues the rest, caps connections,
// makes a new connection pay its cost, starts cold, drains, sheds, honours
// deadlines and cancellation, holds several index versions, and on request
// misbehaves. The ledger records what was really run, and is the evidence that
// checks compare with what callers were told.

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
#include "tray/standin/wire.h"
#include "tray/text/topology.h"

namespace baobabtray::standin {

// What a backend server does, changed through the control endpoint. Fractions
// are of requests.
struct backend_behaviour {
  int service_us = 2000;
  double straggle = 0;  // fraction that is slower
  double straggle_factor = 10;
  double shed = 0;           // fraction refused, saying "not run"
  double fail = 0;           // fraction failed after running, 500
  double reset = 0;          // fraction reset before or after running
  double cut = 0;            // fraction of replies cut short, after running
  double silent = 0;         // fraction of requests that silence a connection
  double crossed = 0;        // fraction of replies with another id
  double mixed = 0;          // fraction of replies from another version
  double doubled = 0;        // fraction of replies sent twice
  int warm_after = 20;       // clean requests that end a cold start
  int cold_factor = 5;       // how much slower while cold
  int health_lag_ms = 0;     // health reports are this old
  bool health_lies = false;  // health always says ready
  bool draining = false;
};

// What happened. Times are of the stand-in's steady clock.
struct backend_ledger {
  uint64_t received = 0;
  uint64_t ran = 0;
  uint64_t refused = 0;  // said not run
  uint64_t expired = 0;  // dropped: deadline passed while queued
  uint64_t cancelled = 0;
  int most_in_flight = 0;
  int most_cold = 0;         // in flight while cold
  uint64_t cold_excess = 0;  // arrivals beyond the cold limit
  // Of those, from hosts that a reply had shown it to before.
  uint64_t cold_excess_after_reply = 0;
  std::unordered_map<std::string, uint64_t> cold_excess_by_host;
  micros last_new_work = 0;
  // Non-idempotent requests run, as SHARD#BODY.
  std::unordered_map<std::string, int> runs;
};

class backend {
 public:
  backend(asio::io_context& loop, const service_topology& t, int server,
          uint64_t seed);

  void Start(bool cold);
  void Kill();
  void Restart(bool cold);
  // Turns cold in place, as when a cache is lost, without a new boot id.
  void TurnCold();
  // Silences this part of the open connections.
  void SilenceConnections(double part);
  void AddVersion(uint64_t version, int total);
  void RemoveVersion(uint64_t version);

  nlohmann::json Ledger() const;
  void ClearLedger();

  backend_behaviour behaviour;
  const std::string& name() const { return server_.name; }
  const std::string& service_name() const { return service_name_; }
  const std::string& data_centre_name() const { return data_centre_name_; }
  const backend_ledger& ledger() const { return ledger_; }

 private:
  struct job {
    std::shared_ptr<wire_connection> connection;
    std::string attempt;
    std::string body;
    uint64_t version = 0;
    int shard = 0;
    bool idempotent = true;
    micros expires = 0;
    bool cancelled = false;
    asio::steady_timer timer;
    explicit job(asio::io_context& loop) : timer(loop) {}
  };

  void Handle(std::shared_ptr<wire_connection> c, const wire_request& r);
  void HandleQuery(std::shared_ptr<wire_connection> c, const wire_request& r);
  void HandleHealth(const std::shared_ptr<wire_connection>& c);
  void Admit(const std::shared_ptr<job>& j);
  void CountCold(const std::string& attempt);
  void ShowState(const std::string& attempt);
  void RunNext();
  void Work(const std::shared_ptr<job>& j);
  void Done(const std::shared_ptr<job>& j);
  void Drop(const std::shared_ptr<job>& j);
  void Refuse(const std::shared_ptr<job>& j, int status, std::string_view why);
  wire_headers Stamp(const std::string& attempt, uint64_t version) const;
  std::string StateName() const;
  bool Chance(double fraction);
  uint64_t UptimeMs() const;
  nlohmann::json HealthNow() const;

  asio::io_context& loop_;
  const backend_server server_;
  std::string service_name_;
  std::string data_centre_name_;
  wire_server wire_;
  std::mt19937_64 random_;
  std::map<uint64_t, version_report> versions_;
  uint64_t boot_ = 0;
  micros booted_at_ = 0;
  bool cold_ = false;
  // When a reply first told a host that this server is cold, by host.
  std::unordered_map<std::string, micros> cold_shown_;
  int clean_ = 0;
  int working_ = 0;
  int in_flight_ = 0;
  std::deque<std::shared_ptr<job>> queue_;
  std::vector<std::pair<micros, nlohmann::json>> health_history_;
  backend_ledger ledger_;
};

}  // namespace baobabtray::standin

#endif  // TRAY_STANDIN_BACKEND_H_
