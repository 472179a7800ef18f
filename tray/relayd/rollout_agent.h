// A host's part in roll-outs on the control thread: it reports to the leader of
// each roll-out, passes the leader's directives to the traffic thread, and
// leads a roll-out if it is its turn (rollout_leader.h decides).
//
// Reports are POST /rollout to the leader's address for other hosts; the reply
// is the directive, or 409 if the host does not lead. Nothing runs without an
// order that has not ended.
//
// Cost while one runs: two reports a second and host, four during the move, of
// about 150 bytes for each route and server, and one write to the store a
// second by the leader.

#ifndef TRAY_RELAYD_ROLLOUT_AGENT_H_
#define TRAY_RELAYD_ROLLOUT_AGENT_H_

#include <asio.hpp>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "tray/http/fetch.h"
#include "tray/http/serve.h"
#include "tray/relay/ports.h"
#include "tray/relayd/relay_metrics.h"
#include "tray/rollout/rollout_leader.h"

namespace baobabtray {

class rollout_agent {
 public:
  // Other parts of the host.
  struct connections {
    // Passes the traffic thread's reports to `done`, on the control thread.
    std::function<void(std::function<void(std::vector<rollout_report>)> done)>
        collect;
    std::function<void(const rollout_directive& directive, micros made_at)>
        direct;
    // Whether the store answers.
    std::function<bool()> in_contact;
  };

  // `http` and `metrics` must outlive the rollout_agent.
  rollout_agent(asio::io_context& loop, directory_store store, fetcher* http,
                registered_host own, const exposure_limits& limits,
                connections host, relay_metrics* metrics);

  // Applies updates of the store, in its order.
  void Apply(const std::vector<store_update>& updates);
  // Answers another host's report.
  void HandleReport(const http_request& r, const responder& respond);
  // Lets another host lead, and leads none from now on.
  void Resign();

 private:
  struct known_server {
    std::string service;
    std::string version;
    bool leaving = false;
  };
  struct rollout {
    rollout_order order;
    bool withdrawn = false;
    micros order_seen_at = 0;
    std::set<std::string> replaced_targets;  // of orders replaced while running
    std::optional<rollout_record> record;
    micros record_changed_at = 0;
    std::optional<rollout_leader> leader;
    rollout_phase logged_phase = rollout_phase::kTrial;
    micros reviewed_at = 0;
    micros may_lead_from = 0;
    micros reported_at = 0;
    bool reporting = false;  // a report is on its way
    rollout_mode mode = rollout_mode::kHold;
  };

  static bool IsRunning(const rollout& r);
  // Targets of earlier orders that were not completed.
  static std::vector<std::string> HeldVersions(const rollout& r);
  void ApplyOrder(const rollout_order_update& f);
  void ApplyRecord(const rollout_record& record);
  void Schedule();
  void Tick();
  void SendReport(rollout* r, rollout_report report, micros made_at);
  void Direct(const rollout_directive& directive, micros made_at);
  void LeadIfDue(rollout* r, micros now);
  void ReviewNow(rollout* r, micros now);
  void Write(const rollout_record& record, bool resigns);
  rollout_fleet FleetOf(const std::string& service) const;
  int RankOf(const std::string& service) const;

  asio::io_context& loop_;
  directory_store store_;
  fetcher& http_;
  const registered_host own_;
  const exposure_limits limits_;
  connections host_;
  relay_metrics& metrics_;
  const int64_t incarnation_;
  asio::steady_timer timer_;
  bool scheduled_ = false;
  bool resigned_ = false;
  std::map<std::string, rollout> rollouts_;  // by service
  std::map<std::string, known_server> servers_;
  std::map<std::string, uint64_t> host_hashes_;  // of live hosts
};

}  // namespace baobabtray

#endif  // TRAY_RELAYD_ROLLOUT_AGENT_H_
