// The configuration in force. See keeper.h.

#include "tray/daemon/keeper.h"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "tray/base/hash.h"
#include "tray/base/log.h"
#include "tray/base/strings.h"

namespace baobabtray {
namespace {

constexpr micros kFirstStoreBackoff = 100 * kMillisecond;
constexpr micros kMaxStoreBackoff = 5 * kSecond;
constexpr micros kEditBackoff = 50 * kMillisecond;
constexpr micros kConfirmPeriod = 100 * kMillisecond;

}  // namespace

struct config_keeper::waiting_edit {
  edit_report report;
  micros started = 0;
  micros wait_until = 0;
  micros wait = 0;
  std::vector<member> missing;
  std::function<void(edit_report)> done;
};

config_keeper::config_keeper(const control_context& c, membership* members)
    : c_(c), members_(*members) {
  bases_.emplace_back();
}

void config_keeper::Start() { ReadStore(); }

bool config_keeper::is_watcher() const {
  std::vector<host_hashes> local;
  uint64_t here = HashOf(members_.self.data_centre);
  for (const member& m : LiveMembers(members_)) {
    if (m.data_centre != members_.self.data_centre) continue;
    local.push_back({HashOf(m.name), here});
  }
  std::vector<int> ranked = OwnersOf(HashOf(kConfigKey), here, local);
  for (int i = 0; i < std::min<int>(kWatchersPerDataCentre, ranked.size());
       ++i) {
    if (local[ranked[i]].hash == HashOf(members_.self.name)) return true;
  }
  return false;
}

void config_keeper::ReadStore() {
  c_.store.Read(std::string(kConfigKey), [this](store_result result) {
    TakeStored(result);
    Next(result.fault);
  });
}

void config_keeper::WatchStore() {
  c_.store.Watch(std::string(kConfigKey), store_revision_,
                 [this](store_result result) {
                   TakeStored(result);
                   // A watch that fell silent is checked by a read.
                   if (result.fault == store_fault::kLost) return ReadStore();
                   Next(result.fault);
                 });
}

// Decides on the next call to the store.
void config_keeper::Next(store_fault fault) {
  bool answered = fault == store_fault::kNone || fault == store_fault::kAbsent;
  store_answers_ = answered;
  if (!answered) {
    micros delay = std::min(kFirstStoreBackoff << std::min(failures_++, 10),
                            kMaxStoreBackoff);
    After(c_, Jittered(c_, delay), [this] { ReadStore(); });
    return;
  }
  failures_ = 0;
  if (is_watcher()) return WatchStore();
  // A host that has nothing yet asks often; later the peers bring the news.
  // The larger the fleet the rarer, so that the store is not asked more.
  micros live = static_cast<micros>(LiveMembers(members_).size());
  micros period = kSlowReadPeriod * std::max<micros>(1, live / kSlowReaders);
  if (current().revision == 0) period = kSecond;
  After(c_, Jittered(c_, period), [this] { ReadStore(); });
}

void config_keeper::TakeStored(const store_result& result) {
  if (result.fault != store_fault::kNone) return;
  // A lagging read must not make the watch go back.
  store_revision_ = std::max(store_revision_, result.revision);
  absl::StatusOr<config> parsed = ParseConfig(result.value);
  if (!parsed.ok()) {
    problem_ = "the store's value: " + MessageOf(parsed.status());
    Log(log_level::kError, "config_unreadable", {{"reason", problem_}});
    return;
  }
  Adopt(*std::move(parsed), config_source::kStore);
}

bool config_keeper::Adopt(config next, config_source source) {
  if (next.revision <= current().revision) return false;
  // Taking a place out leaves the text as it is, and parsing is what an edit
  // costs.
  if (parsed_ == nullptr || next.text != current().text) {
    absl::StatusOr<service_topology> parsed = ParseTopology(next.text);
    if (!parsed.ok()) {
      problem_ = fmt::format("revision {} is not a valid text: {}",
                             next.revision, MessageOf(parsed.status()));
      Log(log_level::kError, "config_invalid", {{"reason", problem_}});
      return false;
    }
    parsed_ = std::make_shared<const service_topology>(*std::move(parsed));
  }
  problem_.clear();
  std::shared_ptr<const topology_view> v =
      BuildTopologyView(next.revision, parsed_, next.out_of_service);
  {
    std::lock_guard lock(c_.shared.mutex);
    ApplyView(&c_.shared.r.backends, v, c_.shared.here, SteadyNow());
  }
  c_.shared.counters.SetRevision(next.revision);
  Log(log_level::kInfo, "config_in_force",
      {{"revision", std::to_string(next.revision)},
       {"source", std::string(NameOf(kConfigSourceNames, source))}});
  source_ = source;
  bases_.push_back(std::move(next));
  if (bases_.size() > kBasesKept) bases_.pop_front();
  Spread(bases_[bases_.size() - 2]);
  return true;
}

void config_keeper::Spread(const config& base) {
  std::string body = DumpConfigMessage(MakeConfigMessage(current(), &base));
  std::string path =
      "/peer/config?from=" + ToString(members_.self.peer_address);
  for (const member& m : PickLiveMembers(members_, kRumourFanOut, &c_.random)) {
    SendToPeer(c_, m.peer_address, path, body, [](int, std::string) {});
  }
}

const config* config_keeper::BaseOf(int64_t revision) const {
  for (const config& base : bases_) {
    if (base.revision == revision) return &base;
  }
  return nullptr;
}

std::string config_keeper::MessageFor(int64_t have) const {
  return DumpConfigMessage(MakeConfigMessage(current(), BaseOf(have)));
}

bool config_keeper::OnRumour(const endpoint& from, const std::string& body) {
  absl::StatusOr<config_message> m = ParseConfigMessage(body);
  if (!m.ok()) return false;
  if (m->meta.revision <= current().revision) return true;
  const config* base = BaseOf(m->base);
  std::optional<config> opened = ApplyConfigMessage(*std::move(m), base);
  if (!opened) {
    Pull(from);
    return true;
  }
  Adopt(*std::move(opened), config_source::kPeer);
  return true;
}

void config_keeper::OnPeerRevision(const endpoint& peer, int64_t revision) {
  if (revision > current().revision) Pull(peer);
}

void config_keeper::Pull(const endpoint& peer) {
  if (pulling_) return;
  pulling_ = true;
  std::string path = fmt::format("/peer/fetch?have={}", current().revision);
  SendToPeer(c_, peer, path, "{}", [this](int status, std::string body) {
    pulling_ = false;
    if (status != 200) return;
    absl::StatusOr<config_message> m = ParseConfigMessage(body);
    if (!m.ok()) return;
    const config* base = BaseOf(m->base);
    std::optional<config> opened = ApplyConfigMessage(*std::move(m), base);
    if (opened) Adopt(*std::move(opened), config_source::kPeer);
  });
}

// ---- Edits ---------------------------------------------------------------

void config_keeper::Edit(edit wanted, micros wait,
                         std::function<void(edit_report)> done) {
  auto w = std::make_shared<waiting_edit>();
  w->started = SteadyNow();
  w->wait = wait;
  w->done = std::move(done);
  w->report.run.wanted = std::move(wanted);
  w->report.run.deadline = w->started + kEditTime;
  Advance(w, StartEdit(&w->report.run));
}

void config_keeper::Advance(std::shared_ptr<waiting_edit> w, edit_step step) {
  edit_run* run = &w->report.run;
  if (step == edit_step::kDone) {
    if (run->verdict != edit_verdict::kAccepted) {
      w->report.took = SteadyNow() - w->started;
      return w->done(std::move(w->report));
    }
    Adopt(run->next, config_source::kEdit);
    KeepHistory();
    w->missing = LiveMembers(members_);
    w->wait_until = SteadyNow() + w->wait;
    Confirm(w);
    return;
  }
  auto perform = [this, w, step, run] {
    if (step == edit_step::kRead) {
      c_.store.Read(std::string(kConfigKey), [this, w, run](store_result r) {
        Advance(w, OnStoreRead(run, r, SteadyNow()));
      });
    } else {
      c_.store.CompareAndSwap(std::string(kConfigKey), run->base_store,
                              run->next_value, [this, w, run](store_result r) {
                                Advance(w, OnStoreSwap(run, r, SteadyNow()));
                              });
    }
  };
  // The usual read and swap go at once; after trouble there is a pause.
  if (run->attempts < 2) return perform();
  micros delay = kEditBackoff << std::min(run->attempts - 2, 4);
  After(c_, Jittered(c_, delay), perform);
}

// Asks live hosts until all have the revision in force or the time is over.
void config_keeper::Confirm(std::shared_ptr<waiting_edit> w) {
  int64_t wanted = w->report.run.revision;
  std::erase_if(w->missing, [&](const member& m) {
    if (m.name != members_.self.name) return false;
    w->report.confirmed.push_back(m.name);
    return true;
  });
  if (w->missing.empty() || SteadyNow() >= w->wait_until) {
    for (const member& m : w->missing) {
      w->report.unconfirmed.push_back(m.name);
    }
    w->report.took = SteadyNow() - w->started;
    w->done(std::move(w->report));
    return;
  }
  auto open = std::make_shared<size_t>(w->missing.size());
  for (const member& m : std::vector<member>(w->missing)) {
    SendToPeer(c_, m.peer_address, "/peer/revision", "{}",
               [this, w, m, open, wanted](int status, std::string body) {
                 nlohmann::json j = nlohmann::json::parse(body, nullptr, false);
                 if (status == 200 && j.is_object() &&
                     j.value("revision", int64_t{0}) >= wanted) {
                   w->report.confirmed.push_back(m.name);
                   std::erase_if(w->missing, [&](const member& other) {
                     return other.name == m.name;
                   });
                 }
                 if (--*open > 0) return;
                 if (w->missing.empty()) return Confirm(w);
                 After(c_, kConfirmPeriod, [this, w] { Confirm(w); });
               });
  }
}

// Keeps the text under a key of its own. Best effort: the history is for
// people.
void config_keeper::KeepHistory() {
  const config& c = current();
  c_.store.CompareAndSwap(
      std::string(kHistoryPrefix) + std::to_string(c.revision), 0,
      DumpConfig(c), [](store_result) {});
}

void config_keeper::History(int64_t revision,
                            std::function<void(std::string)> done) {
  if (const config* kept = BaseOf(revision)) return done(kept->text);
  c_.store.Read(std::string(kHistoryPrefix) + std::to_string(revision),
                [done](store_result result) {
                  absl::StatusOr<config> parsed = ParseConfig(result.value);
                  bool found =
                      result.fault == store_fault::kNone && parsed.ok();
                  done(found ? parsed->text : "");
                });
}

}  // namespace baobabtray
