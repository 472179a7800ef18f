// Keeps the configuration in force on this host.
//
// Revisions only go up. A new one comes from the store (a watch on a few hosts
// per data centre, a slow read on the others), from a peer's rumour, or from a
// digest that names a higher revision. Whatever its source it is checked, put
// in force, and passed on to kRumourFanOut random peers as a difference.
//
// Operators' edits go through edit.h against the store.

#ifndef TRAY_DAEMON_KEEPER_H_
#define TRAY_DAEMON_KEEPER_H_

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

constexpr int kRumourFanOut = 4;
constexpr int kWatchersPerDataCentre = 2;
constexpr micros kSlowReadPeriod = 30 * kSecond;
constexpr micros kSlowReaders = 16;  // hosts from which on the period grows
constexpr size_t kBasesKept = 8;     // older configurations, for differences

// Where the configuration in force came from.
enum class config_source { kNone, kStore, kPeer, kEdit };
constexpr name_table<config_source, 4> kConfigSourceNames = {{
    {config_source::kNone, "none"},
    {config_source::kStore, "store"},
    {config_source::kPeer, "peer"},
    {config_source::kEdit, "edit"},
}};

// The end of an edit.
struct edit_report {
  edit_run run;
  std::vector<std::string> confirmed;    // hosts that have it in force
  std::vector<std::string> unconfirmed;  // live hosts that have not said so
  micros took = 0;
};

class config_keeper {
 public:
  config_keeper(const control_context& c, membership* members);

  void Start();

  const config& current() const { return bases_.back(); }
  config_source source() const { return source_; }
  const std::string& problem() const { return problem_; }
  bool store_answers() const { return store_answers_; }
  bool is_watcher() const;

  // Makes an edit, then waits up to `wait` until all live hosts have it.
  void Edit(edit wanted, micros wait, std::function<void(edit_report)> done);
  // The whole text of an older revision, or "".
  void History(int64_t revision, std::function<void(std::string)> done);

  // A peer has `revision` in force.
  void OnPeerRevision(const endpoint& peer, int64_t revision);
  // A rumour. Returns false if it can't be opened; the whole is then asked for.
  bool OnRumour(const endpoint& from, const std::string& body);
  // The configuration for a peer that has `have`.
  std::string MessageFor(int64_t have) const;

 private:
  struct waiting_edit;
  void ReadStore();
  void WatchStore();
  void Next(store_fault fault);
  void TakeStored(const store_result& result);
  bool Adopt(config next, config_source source);
  void Spread(const config& base);
  void Pull(const endpoint& peer);
  void Advance(std::shared_ptr<waiting_edit> w, edit_step step);
  void Confirm(std::shared_ptr<waiting_edit> w);
  void KeepHistory();
  const config* BaseOf(int64_t revision) const;

  control_context c_;
  membership& members_;
  std::deque<config> bases_;  // the last is in force; never empty
  std::shared_ptr<const service_topology>
      parsed_;  // of the configuration in force
  config_source source_ = config_source::kNone;
  std::string problem_;
  uint64_t store_revision_ = 0;
  bool store_answers_ = false;
  int failures_ = 0;
  bool pulling_ = false;
};

}  // namespace baobabtray

#endif  // TRAY_DAEMON_KEEPER_H_
