// Hosts, a store and the servers of one service in a plain loop, for tests of
// roll-outs: what the hosts know of the store differs, reports take time, and
// hosts stop, are paused or cut off.

#ifndef TRAY_TESTING_ROLLOUT_WORLD_H_
#define TRAY_TESTING_ROLLOUT_WORLD_H_

#include <deque>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "tray/rollout/rollout_leader.h"
#include "tray/rollout/version_gate.h"

namespace baobabtray {

// How the servers of the target version answer, given the time since the order,
// the route, the server, and the target's part of the recent requests.
struct target_answer {
  double failed = 0;  // probability
  double slow = 0;    // probability of an answer that takes four times as long
};
using target_behaviour = std::function<target_answer(
    micros since_order, int route, int server, double recent_part)>;

struct rollout_world_options {
  int hosts = 24;
  double requests_per_s = 100;  // to the service
  micros duration = 12 * kSecond;
  double failed_by_both = 0;  // probability of a failure, whatever the version
  uint64_t seed = 1;
};

struct world_host {
  std::string name;
  int rank = 0;
  size_t seen = 0;  // of the store's history
  version_gate gate;
  std::optional<rollout_leader> leader;
  std::optional<rollout_record> record;  // as known
  micros order_seen_at = 0;
  micros record_changed_at = 0;
  micros not_before = 0;  // to lead
  micros store_lag = 0;
  micros next_report_at = 0;
  micros paused_until = 0;
  bool dead = false;
  bool cut_from_hosts = false;
  bool cut_from_store = false;
};

struct rollout_world {
  explicit rollout_world(rollout_world_options options);
  // Runs until the time since the order, or until the record says it ended.
  void RunUntil(micros since_order);
  world_host* Leader();  // of the record in the store; null: none
  void GiveOrder(const std::string& target);

  rollout_world_options options;
  target_behaviour behaviour = [](micros, int, int, double) {
    return target_answer{};
  };
  bool store_away = false;
  int target_servers = 3;
  int other_servers = 3;
  std::mt19937_64 random;
  micros now = 100 * kSecond;
  micros ordered_at = 0;
  std::vector<world_host> hosts;
  rollout_order order;
  std::optional<rollout_record> stored;
  uint64_t revision = 10;
  std::deque<std::pair<micros, rollout_record>> history;  // of the store
  // Results.
  int64_t requests = 0;
  int64_t exposed = 0;
  int64_t exposed_after_order_deadline = 0;
  int64_t bad_answers = 0;
  micros fiftieth_bad_at = 0;
  micros last_exposed_at = 0;
  micros ended_at = 0;
  int64_t to_others_after_completed = 0;  // by hosts in touch

  bool Is(rollout_state state) const {
    return stored && stored->state == state;
  }
  // Whether the requests sent to the target version so far are within the
  // limits for a bad one.
  bool KeepsExposure() const;

 private:
  void Step();
  void Serve(world_host* h);
  void Report(world_host* h);
  void Lead(world_host* h);
  void Write(world_host* h, const rollout_record& record);
  std::deque<micros> recent_target_;
  std::deque<micros> recent_;
  struct pending_answer {
    micros at;
    size_t host;
    std::string route, server;
    bool target;
    gate_answer answer;
    uint64_t order;
  };
  std::deque<pending_answer> pending_;
};

}  // namespace baobabtray

#endif  // TRAY_TESTING_ROLLOUT_WORLD_H_
