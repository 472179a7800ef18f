// Digest exchange. See peer_talk.h.

#include "tray/daemon/peer_talk.h"

#include <fmt/format.h>

#include <algorithm>
#include <bit>

#include "tray/base/log.h"
#include "tray/base/strings.h"
#include "tray/http/serve.h"

namespace baobabtray {
namespace {

constexpr int kLeavingNotices = 4;
constexpr int kNewsFanOut = 7;
constexpr micros kNewsPeriod = 50 * kMillisecond;

// What replies have shown of a server, or nothing worth passing on.
std::optional<reported_state> KnownState(const server_window& w) {
  if (w.stamp.boot == 0) return std::nullopt;
  switch (w.phase) {
    case window_phase::kWarm:
    case window_phase::kWarming:
      return reported_state::kReady;
    case window_phase::kCold:
    case window_phase::kHeld:  // it will come back cold, if it was restarted
      return reported_state::kCold;
    case window_phase::kLeaving:
      return reported_state::kLeaving;
  }
  return std::nullopt;
}

}  // namespace

peer_talk::peer_talk(const control_context& c, membership* members,
                     config_keeper* keeper)
    : c_(c), members_(*members), keeper_(*keeper), own_seeds_(members->seeds) {}

void peer_talk::Start() {
  UpdateHosts();
  ReadHostList();
  for (const endpoint& seed : members_.seeds) {
    if (seed != members_.self.peer_address) Exchange(seed);
  }
  Round();
  TellNews();
}

void peer_talk::Round() {
  ExpireMembers(&members_, SteadyNow());
  UpdateHosts();
  if (auto to = PickPeer(members_, &c_.random)) Exchange(*to);
  After(c_, Jittered(c_, kDigestPeriod), [this] { Round(); });
}

// A server that turned cold or went away is told of at once: until the others
// know they may send to it.
void peer_talk::TellNews() {
  if (c_.shared.news.exchange(false)) {
    for (const member& m : PickLiveMembers(members_, kNewsFanOut, &c_.random)) {
      Exchange(m.peer_address);
    }
  }
  After(c_, kNewsPeriod, [this] { TellNews(); });
}

void peer_talk::Exchange(const endpoint& to) {
  SendToPeer(c_, to, "/peer/digest", DumpDigest(MakeDigest()),
             [this, to](int status, std::string body) {
               absl::StatusOr<digest> d = ParseDigest(body);
               if (status == 200 && d.ok()) return TakeDigest(*d);
               if (status != 0) return;
               for (const auto& [name, k] : members_.others) {
                 if (k.info.peer_address != to) continue;
                 OnNoReply(&members_, name, SteadyNow());
                 break;
               }
             });
}

digest peer_talk::MakeDigest() {
  CollectEvidence();
  digest d{.from = members_.self, .revision = keeper_.current().revision};
  d.changes = TakePendingChanges(&members_);
  for (auto& [server, told] : told_) {
    if (told.sends_left <= 0) continue;
    --told.sends_left;
    d.evidence.push_back({.server = server,
                          .stamp = told.stamp,
                          .state = told.state,
                          .versions = told.versions});
    if (d.evidence.size() >= kMaxEvidencePerDigest) break;
  }
  return d;
}

void peer_talk::TakeDigest(const digest& d) {
  micros now = SteadyNow();
  OnContact(&members_, d.from, now);
  for (const member& m : d.changes) MergeMember(&members_, m, now);
  for (const evidence_item& item : d.evidence) TakeEvidence(item);
  UpdateHosts();
  keeper_.OnPeerRevision(d.from.peer_address, d.revision);
}

// Finds what has changed about backend servers since it was last passed on.
void peer_talk::CollectEvidence() {
  // Both sides of an exchange tell, so this reaches all hosts with a margin.
  int sends = std::bit_width(members_.others.size() + 1) + 1;
  std::lock_guard lock(c_.shared.mutex);
  const fleet& f = c_.shared.r.backends;
  if (f.current_view == nullptr) return;
  for (size_t i = 0; i < f.servers.size(); ++i) {
    const server_state& s = f.servers[i];
    std::optional<reported_state> state = KnownState(s.window);
    if (!state) continue;
    told_report& told = told_[f.current_view->topology->servers[i].name];
    bool same = told.stamp.boot == s.window.stamp.boot &&
                told.state == *state && told.versions == s.versions;
    if (same) continue;
    told = {.stamp = s.window.stamp,
            .state = *state,
            .versions = s.versions,
            .sends_left = sends};
  }
}

void peer_talk::TakeEvidence(const evidence_item& item) {
  micros now = SteadyNow();
  std::lock_guard lock(c_.shared.mutex);
  fleet& f = c_.shared.r.backends;
  if (f.current_view == nullptr) return;
  auto found = f.current_view->topology->server_by_name.find(item.server);
  if (found == f.current_view->topology->server_by_name.end()) return;
  server_state& s = f.servers[found->second];
  server_report report{
      .stamp = item.stamp, .state = item.state, .cold_limit = item.cold_limit};
  window_phase before = s.window.phase;
  OnReport(&s.window, report_source::kPeer, report, now);
  if (before != s.window.phase && !IsWarmOrWarming(s.window))
    c_.shared.news = true;
  if (item.stamp > s.versions_stamp && !item.versions.empty()) {
    s.versions = item.versions;
    s.versions_stamp = item.stamp;
  }
}

// Puts a changed set of share holders in force.
void peer_talk::UpdateHosts() {
  micros now = SteadyNow();
  std::vector<fleet_host> holders = ShareHolders(members_, now);
  c_.shared.counters.SetLiveHosts(
      static_cast<int>(LiveMembers(members_).size()));
  if (holders == holders_) return;
  holders_ = holders;
  Log(log_level::kInfo, "hosts_changed",
      {{"hosts", std::to_string(holders.size())}});
  std::lock_guard lock(c_.shared.mutex);
  ApplyHosts(&c_.shared.r.backends, std::move(holders), members_.self.name,
             now);
}

// The watchers read the list; the others hear of new hosts by digests, unless
// they know nobody.
void peer_talk::ReadHostList() {
  bool alone = LiveMembers(members_).size() < 2;
  if (!alone && !keeper_.is_watcher()) {
    After(c_, Jittered(c_, kHostListPeriod), [this] { ReadHostList(); });
    return;
  }
  c_.store.ListHosts([this](std::vector<listed_host> hosts) {
    if (!hosts.empty()) {
      members_.seeds = own_seeds_;
      for (const listed_host& h : hosts) {
        if (!h.leaving) members_.seeds.push_back(h.peers);
      }
    }
    After(c_, Jittered(c_, kHostListPeriod), [this] { ReadHostList(); });
  });
}

void peer_talk::AnnounceLeaving() {
  members_.self.status = member_status::kLeaving;
  UpdateHosts();
  for (const member& m :
       PickLiveMembers(members_, kLeavingNotices, &c_.random)) {
    Exchange(m.peer_address);
  }
}

void peer_talk::Handle(const std::string& path, const std::string& body,
                       std::function<void(int, std::string)> reply) {
  http_request request;
  size_t question = path.find('?');
  request.path = path.substr(0, question);
  if (question != std::string::npos) request.query = path.substr(question + 1);
  if (request.path == "/peer/digest") {
    absl::StatusOr<digest> d = ParseDigest(body);
    if (!d.ok()) {
      Log(log_level::kWarning, "peer_refused",
          {{"path", path}, {"reason", MessageOf(d.status())}});
      return reply(400, "{}");
    }
    // Answer first: the changes just received need not go back.
    reply(200, DumpDigest(MakeDigest()));
    TakeDigest(*d);
  } else if (request.path == "/peer/config") {
    auto from = ParseEndpoint(QueryParameter(request, "from"));
    bool taken = from.ok() && keeper_.OnRumour(*from, body);
    reply(taken ? 200 : 400, "{}");
  } else if (request.path == "/peer/fetch") {
    auto have = ParseNumber<int64_t>(QueryParameter(request, "have"));
    if (keeper_.current().revision == 0) return reply(404, "{}");
    reply(200, keeper_.MessageFor(have.value_or(0)));
  } else if (request.path == "/peer/revision") {
    reply(200, fmt::format(R"({{"revision":{}}})", keeper_.current().revision));
  } else {
    reply(404, "{}");
  }
}

}  // namespace baobabtray
