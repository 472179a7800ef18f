// Active configuration. See config_manager.h.

#include "tray/daemon/config_manager.h"

#include <fmt/format.h>

#include <algorithm>

#include "tray/base/hash.h"
#include "tray/base/log.h"
#include "tray/base/strings.h"

namespace baobabtray {
namespace {

constexpr micros kMinStoreBackoff = 100 * kMillisecond;
constexpr micros kMaxStoreBackoff = 5 * kSecond;
constexpr micros kEditBackoff = 50 * kMillisecond;
constexpr micros kConfirmPeriod = 100 * kMillisecond;

}  // namespace

struct config_manager::pending_edit {
  edit_report report;
  micros started_at = 0;
  micros confirm_deadline = 0;
  micros confirm_timeout = 0;
  std::vector<member> unconfirmed_hosts;
  std::function<void(edit_report)> done;
};

config_manager::config_manager(const control_context& c, membership* members)
    : context_(c), members_(*members) {
  recent_configs_.emplace_back();
}

void config_manager::Start() { ReadStore(); }

bool config_manager::is_watcher() const {
  std::vector<host_hashes> local_hosts;
  uint64_t site_hash = HashOf(members_.self.data_centre);
  for (const member& m : LiveMembers(members_)) {
    if (m.data_centre != members_.self.data_centre) continue;
    local_hosts.push_back({HashOf(m.name), site_hash});
  }
  std::vector<int> ranked =
      OwnersOf(HashOf(kConfigKey), site_hash, local_hosts);
  for (int i = 0; i < std::min<int>(kWatchersPerDataCentre, ranked.size());
       ++i) {
    if (local_hosts[ranked[i]].hash == HashOf(members_.self.name)) return true;
  }
  return false;
}

void config_manager::ReadStore() {
  context_.store.Read(std::string(kConfigKey), [this](store_result result) {
    ApplyStored(result);
    ScheduleStoreRead(result.fault);
  });
}

void config_manager::WatchStore() {
  context_.store.Watch(std::string(kConfigKey), store_revision_,
                       [this](store_result result) {
                         ApplyStored(result);
                         // Check with a read whether the store still responds.
                         if (result.fault == store_fault::kLost)
                           return ReadStore();
                         ScheduleStoreRead(result.fault);
                       });
}

// Schedules the next read or watch of the store.
void config_manager::ScheduleStoreRead(store_fault fault) {
  bool answered = fault == store_fault::kNone || fault == store_fault::kAbsent;
  store_available_ = answered;
  if (!answered) {
    micros delay = std::min(kMinStoreBackoff << std::min(store_failures_++, 10),
                            kMaxStoreBackoff);
    RunAfter(context_, Jittered(context_, delay), [this] { ReadStore(); });
    return;
  }
  store_failures_ = 0;
  if (is_watcher()) return WatchStore();
  // A host without a configuration polls every second. Later, changes arrive
  // through peers and polling is infrequent. The period grows with the number
  // of hosts, so that the load on the store does not.
  micros live = static_cast<micros>(LiveMembers(members_).size());
  micros period =
      kStorePollPeriod * std::max<micros>(1, live / kHostsPerPollPeriod);
  if (current().revision == 0) period = kSecond;
  RunAfter(context_, Jittered(context_, period), [this] { ReadStore(); });
}

void config_manager::ApplyStored(const store_result& result) {
  if (result.fault != store_fault::kNone) return;
  // A stale read must not move the watch to an older revision.
  store_revision_ = std::max(store_revision_, result.revision);
  absl::StatusOr<config> parsed = ParseConfig(result.value);
  if (!parsed.ok()) {
    last_error_ =
        "invalid configuration in the store: " + MessageOf(parsed.status());
    Log(log_level::kError, "stored_config_invalid", {{"reason", last_error_}});
    return;
  }
  Apply(*std::move(parsed), config_source::kStore);
}

bool config_manager::Apply(config next, config_source source) {
  if (next.revision <= current().revision) return false;
  // Most of the cost of an edit is parsing, which is skipped when only the
  // places out of service have changed.
  if (topology_ == nullptr || next.text != current().text) {
    absl::StatusOr<service_topology> parsed = ParseTopology(next.text);
    if (!parsed.ok()) {
      last_error_ = fmt::format("revision {} has an invalid text: {}",
                                next.revision, MessageOf(parsed.status()));
      Log(log_level::kError, "config_invalid", {{"reason", last_error_}});
      return false;
    }
    topology_ = std::make_shared<const service_topology>(*std::move(parsed));
  }
  last_error_.clear();
  std::shared_ptr<const topology_view> view =
      BuildTopologyView(next.revision, topology_, next.out_of_service);
  {
    std::lock_guard lock(context_.state.mutex);
    ApplyView(&context_.state.routing.backends, view,
              context_.state.host_location, SteadyNow());
  }
  context_.state.counters.SetRevision(next.revision);
  Log(log_level::kInfo, "config_activated",
      {{"revision", std::to_string(next.revision)},
       {"source", std::string(NameOf(kConfigSourceNames, source))}});
  source_ = source;
  recent_configs_.push_back(std::move(next));
  if (recent_configs_.size() > kMaxRecentConfigs) recent_configs_.pop_front();
  PushToPeers(recent_configs_[recent_configs_.size() - 2]);
  return true;
}

void config_manager::PushToPeers(const config& base) {
  std::string body = DumpConfigMessage(MakeConfigMessage(current(), &base));
  std::string path =
      "/peer/config?from=" + ToString(members_.self.peer_address);
  for (const member& m :
       PickLiveMembers(members_, kConfigPushFanOut, &context_.random)) {
    SendToPeer(context_, m.peer_address, path, body, [](int, std::string) {});
  }
}

const config* config_manager::FindRecentConfig(int64_t revision) const {
  for (const config& base : recent_configs_) {
    if (base.revision == revision) return &base;
  }
  return nullptr;
}

std::string config_manager::BuildConfigMessage(int64_t base_revision) const {
  return DumpConfigMessage(
      MakeConfigMessage(current(), FindRecentConfig(base_revision)));
}

bool config_manager::OnConfigPush(const endpoint& from,
                                  const std::string& body) {
  absl::StatusOr<config_message> m = ParseConfigMessage(body);
  if (!m.ok()) return false;
  if (m->meta.revision <= current().revision) return true;
  const config* base = FindRecentConfig(m->base_revision);
  std::optional<config> decoded = ApplyConfigMessage(*std::move(m), base);
  if (!decoded) {
    FetchFromPeer(from);
    return true;
  }
  Apply(*std::move(decoded), config_source::kPeer);
  return true;
}

void config_manager::OnPeerRevision(const endpoint& peer, int64_t revision) {
  if (revision > current().revision) FetchFromPeer(peer);
}

void config_manager::FetchFromPeer(const endpoint& peer) {
  if (fetch_in_progress_) return;
  fetch_in_progress_ = true;
  std::string path = fmt::format("/peer/fetch?have={}", current().revision);
  SendToPeer(context_, peer, path, "{}", [this](int status, std::string body) {
    fetch_in_progress_ = false;
    if (status != 200) return;
    absl::StatusOr<config_message> m = ParseConfigMessage(body);
    if (!m.ok()) return;
    const config* base = FindRecentConfig(m->base_revision);
    std::optional<config> decoded = ApplyConfigMessage(*std::move(m), base);
    if (decoded) Apply(*std::move(decoded), config_source::kPeer);
  });
}

// ---- Edits ---------------------------------------------------------------

void config_manager::Edit(edit_request request, micros wait,
                          std::function<void(edit_report)> done) {
  auto pending = std::make_shared<pending_edit>();
  pending->started_at = SteadyNow();
  pending->confirm_timeout = wait;
  pending->done = std::move(done);
  pending->report.operation.request = std::move(request);
  pending->report.operation.deadline = pending->started_at + kEditTimeout;
  AdvanceEdit(pending, StartEdit(&pending->report.operation));
}

void config_manager::AdvanceEdit(std::shared_ptr<pending_edit> pending,
                                 edit_step step) {
  edit_operation* op = &pending->report.operation;
  if (step == edit_step::kDone) {
    if (op->verdict != edit_verdict::kAccepted) {
      pending->report.elapsed = SteadyNow() - pending->started_at;
      return pending->done(std::move(pending->report));
    }
    Apply(op->next, config_source::kEdit);
    StoreHistory();
    pending->unconfirmed_hosts = LiveMembers(members_);
    pending->confirm_deadline = SteadyNow() + pending->confirm_timeout;
    ConfirmOnHosts(pending);
    return;
  }
  auto call_store = [this, pending, step, op] {
    if (step == edit_step::kRead) {
      context_.store.Read(
          std::string(kConfigKey), [this, pending, op](store_result r) {
            AdvanceEdit(pending, OnStoreRead(op, r, SteadyNow()));
          });
    } else {
      context_.store.CompareAndSwap(
          std::string(kConfigKey), op->expected_store_revision, op->next_value,
          [this, pending, op](store_result r) {
            AdvanceEdit(pending, OnStoreSwap(op, r, SteadyNow()));
          });
    }
  };
  // The first read and swap are immediate; later calls back off.
  if (op->attempts < 2) return call_store();
  micros delay = kEditBackoff << std::min(op->attempts - 2, 4);
  RunAfter(context_, Jittered(context_, delay), call_store);
}

// Polls the live hosts until the revision is active on all of them or the wait
// time is over.
void config_manager::ConfirmOnHosts(std::shared_ptr<pending_edit> pending) {
  int64_t revision = pending->report.operation.revision;
  std::erase_if(pending->unconfirmed_hosts, [&](const member& m) {
    if (m.name != members_.self.name) return false;
    pending->report.confirmed.push_back(m.name);
    return true;
  });
  if (pending->unconfirmed_hosts.empty() ||
      SteadyNow() >= pending->confirm_deadline) {
    for (const member& m : pending->unconfirmed_hosts) {
      pending->report.unconfirmed.push_back(m.name);
    }
    pending->report.elapsed = SteadyNow() - pending->started_at;
    pending->done(std::move(pending->report));
    return;
  }
  auto outstanding =
      std::make_shared<size_t>(pending->unconfirmed_hosts.size());
  for (const member& m : std::vector<member>(pending->unconfirmed_hosts)) {
    SendToPeer(context_, m.peer_address, "/peer/revision", "{}",
               [this, pending, m, outstanding, revision](int status,
                                                         std::string body) {
                 if (status == 200 && ParseRevision(body) >= revision) {
                   pending->report.confirmed.push_back(m.name);
                   std::erase_if(pending->unconfirmed_hosts,
                                 [&](const member& other) {
                                   return other.name == m.name;
                                 });
                 }
                 if (--*outstanding > 0) return;
                 if (pending->unconfirmed_hosts.empty())
                   return ConfirmOnHosts(pending);
                 RunAfter(context_, kConfirmPeriod,
                          [this, pending] { ConfirmOnHosts(pending); });
               });
  }
}

// Stores the configuration under its own history key. Best effort, since the
// history only serves operators.
void config_manager::StoreHistory() {
  const config& c = current();
  context_.store.CompareAndSwap(
      std::string(kHistoryPrefix) + std::to_string(c.revision), 0,
      DumpConfig(c), [](store_result) {});
}

void config_manager::History(int64_t revision,
                             std::function<void(std::string)> done) {
  if (const config* recent = FindRecentConfig(revision))
    return done(recent->text);
  context_.store.Read(
      std::string(kHistoryPrefix) + std::to_string(revision),
      [done](store_result result) {
        absl::StatusOr<config> parsed = ParseConfig(result.value);
        bool found = result.fault == store_fault::kNone && parsed.ok();
        done(found ? parsed->text : "");
      });
}

}  // namespace baobabtray
