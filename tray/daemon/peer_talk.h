// Exchanges digests with other hosts: who is live, which configuration revision
// is in force where, and what replies have shown of backend servers.
//
// One exchange per kDigestPeriod, started by this host, with one peer; others
// start theirs with this host at the same mean rate. Digests are bounded in
// members and reports, so the cost per host does not grow with the fleet.

#ifndef TRAY_DAEMON_PEER_TALK_H_
#define TRAY_DAEMON_PEER_TALK_H_

#include <string>
#include <unordered_map>
#include <vector>

#include "tray/daemon/control.h"
#include "tray/daemon/keeper.h"
#include "tray/members/members.h"
#include "tray/wire/peer_wire.h"

namespace baobabtray {

constexpr micros kHostListPeriod = 10 * kSecond;

class peer_talk {
 public:
  peer_talk(const control_context& c, membership* members,
            config_keeper* keeper);

  void Start();
  // Handles a message of a peer; `reply` takes an HTTP status and a body.
  void Handle(const std::string& path, const std::string& body,
              std::function<void(int, std::string)> reply);
  // Tells some peers that this host is leaving.
  void AnnounceLeaving();

 private:
  // What was last passed on about one backend server.
  struct told_report {
    report_stamp stamp;
    reported_state state = reported_state::kReady;
    std::vector<version_report> versions;
    int sends_left = 0;
  };

  void Round();
  void TellNews();
  void Exchange(const endpoint& to);
  digest MakeDigest();
  void TakeDigest(const digest& d);
  void CollectEvidence();
  void TakeEvidence(const evidence_item& item);
  void UpdateHosts();
  void ReadHostList();

  control_context c_;
  membership& members_;
  config_keeper& keeper_;
  std::unordered_map<std::string, told_report> told_;
  std::vector<fleet_host> holders_;
  std::vector<endpoint> own_seeds_;
};

}  // namespace baobabtray

#endif  // TRAY_DAEMON_PEER_TALK_H_
