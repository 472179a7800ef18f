// Gossip between hosts. A digest tells which hosts are live, which
// configuration revision is active on the sender, and the state of backend
// servers as shown by replies.
//
// Each host starts one exchange with a random peer per kDigestPeriod. The
// number of members and reports in a digest is bounded, so the cost per host
// does not grow with the number of hosts.

#ifndef TRAY_DAEMON_GOSSIP_H_
#define TRAY_DAEMON_GOSSIP_H_

#include <string>
#include <unordered_map>
#include <vector>

#include "tray/daemon/config_manager.h"
#include "tray/daemon/control.h"
#include "tray/members/members.h"
#include "tray/wire/peer_wire.h"

namespace baobabtray {

constexpr micros kHostListPeriod = 10 * kSecond;

class gossip_service {
 public:
  gossip_service(const control_context& c, membership* members,
                 config_manager* manager);

  void Start();
  // Handles a message from a peer. `reply` takes an HTTP status and a body.
  void Handle(const std::string& path, const std::string& body,
              std::function<void(int, std::string)> reply);
  // Notifies some peers that this host is leaving.
  void AnnounceLeaving();

 private:
  // The latest report about one backend server, and how many more times it is
  // to be sent.
  struct sent_report {
    report_stamp stamp;
    reported_state state = reported_state::kReady;
    std::vector<version_report> versions;
    int sends_left = 0;
  };

  void RunRound();
  void SendUrgentUpdates();
  void ExchangeDigests(const endpoint& to);
  digest BuildDigest();
  void ApplyDigest(const digest& d);
  void CollectServerReports();
  void ApplyServerReport(const evidence_item& item);
  void UpdateShareHolders();
  void ReadHostList();

  control_context context_;
  membership& members_;
  config_manager& config_manager_;
  std::unordered_map<std::string, sent_report> sent_reports_;
  std::vector<fleet_host> share_holders_;
  std::vector<endpoint> configured_seeds_;
};

}  // namespace baobabtray

#endif  // TRAY_DAEMON_GOSSIP_H_
