// Maintains the active configuration of this host.
//
// Revisions never decrease. A new revision arrives from the store (a few hosts
// per data centre watch the key, the others poll it at a long period), is
// pushed by a peer, or is fetched from a peer whose digest names a higher
// revision. In all cases it is validated, activated, and pushed as a delta to
// kConfigPushFanOut random peers.
//
// Operators' edits are applied to the store by edit.h.

#ifndef TRAY_DAEMON_CONFIG_MANAGER_H_
#define TRAY_DAEMON_CONFIG_MANAGER_H_

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "tray/config/edit.h"
#include "tray/daemon/control.h"
#include "tray/members/members.h"
#include "tray/wire/peer_wire.h"

namespace baobabtray {

constexpr int kConfigPushFanOut = 4;
constexpr int kWatchersPerDataCentre = 2;
constexpr micros kStorePollPeriod = 30 * kSecond;
// The poll period is multiplied by the number of live hosts divided by this.
constexpr micros kHostsPerPollPeriod = 16;
// Number of recent configurations kept as bases for deltas.
constexpr size_t kMaxRecentConfigs = 8;

// Where the active configuration came from.
enum class config_source { kNone, kStore, kPeer, kEdit };
constexpr name_table<config_source, 4> kConfigSourceNames = {{
    {config_source::kNone, "none"},
    {config_source::kStore, "store"},
    {config_source::kPeer, "peer"},
    {config_source::kEdit, "edit"},
}};

// Result of an edit.
struct edit_report {
  edit_operation operation;
  std::vector<std::string> confirmed;    // hosts where the edit is active
  std::vector<std::string> unconfirmed;  // the other live hosts
  micros elapsed = 0;
};

class config_manager {
 public:
  config_manager(const control_context& c, membership* members);

  void Start();

  const config& current() const { return recent_configs_.back(); }
  config_source source() const { return source_; }
  const std::string& last_error() const { return last_error_; }
  bool store_available() const { return store_available_; }
  bool is_watcher() const;

  // Applies an edit, then waits up to `wait` for all live hosts to activate it.
  void Edit(edit_request request, micros wait,
            std::function<void(edit_report)> done);
  // Passes the text of an earlier revision to `done`, or "" if not available.
  void History(int64_t revision, std::function<void(std::string)> done);

  // Called when a peer reports its active revision.
  void OnPeerRevision(const endpoint& peer, int64_t revision);
  // Handles a configuration pushed by a peer. If its delta can't be applied,
  // the configuration is fetched from the peer. Returns false if it is
  // malformed.
  bool OnConfigPush(const endpoint& from, const std::string& body);
  // Encodes the active configuration for a peer that has
  // `base_revision`.
  std::string BuildConfigMessage(int64_t base_revision) const;

 private:
  struct pending_edit;
  void ReadStore();
  void WatchStore();
  void ScheduleStoreRead(store_fault fault);
  void ApplyStored(const store_result& result);
  bool Apply(config next, config_source source);
  void PushToPeers(const config& base);
  void FetchFromPeer(const endpoint& peer);
  void AdvanceEdit(std::shared_ptr<pending_edit> pending, edit_step step);
  void ConfirmOnHosts(std::shared_ptr<pending_edit> pending);
  void StoreHistory();
  const config* FindRecentConfig(int64_t revision) const;

  control_context context_;
  membership& members_;
  // Oldest first; the last is active. Never empty.
  std::deque<config> recent_configs_;
  // Topology of the active configuration.
  std::shared_ptr<const service_topology> topology_;
  config_source source_ = config_source::kNone;
  std::string last_error_;
  uint64_t store_revision_ = 0;
  bool store_available_ = false;
  int store_failures_ = 0;
  bool fetch_in_progress_ = false;
};

}  // namespace baobabtray

#endif  // TRAY_DAEMON_CONFIG_MANAGER_H_
