// Digest exchange. See gossip.h.

#include "tray/daemon/gossip.h"

#include <fmt/format.h>

#include <algorithm>
#include <bit>

#include "tray/base/log.h"
#include "tray/base/strings.h"
#include "tray/http/serve.h"

namespace baobabtray {
namespace {

constexpr int kLeaveNoticeFanOut = 4;
constexpr int kUrgentUpdateFanOut = 7;
constexpr micros kUrgentUpdateCheckPeriod = 50 * kMillisecond;

// Returns the state of a server as shown by replies, or nothing if unknown.
std::optional<reported_state> ReportableState(const server_window& w) {
  if (w.stamp.boot == 0) return std::nullopt;
  switch (w.phase) {
    case window_phase::kWarm:
    case window_phase::kWarming:
      return reported_state::kReady;
    case window_phase::kCold:
    case window_phase::kHeld:  // if it was restarted it returns cold
      return reported_state::kCold;
    case window_phase::kLeaving:
      return reported_state::kLeaving;
  }
  return std::nullopt;
}

}  // namespace

gossip_service::gossip_service(const control_context& c, membership* members,
                               config_manager* manager)
    : context_(c),
      members_(*members),
      config_manager_(*manager),
      configured_seeds_(members->seeds) {}

void gossip_service::Start() {
  UpdateShareHolders();
  ReadHostList();
  for (const endpoint& seed : members_.seeds) {
    if (seed != members_.self.peer_address) ExchangeDigests(seed);
  }
  RunRound();
  SendUrgentUpdates();
}

void gossip_service::RunRound() {
  ExpireMembers(&members_, SteadyNow());
  UpdateShareHolders();
  if (auto to = PickPeer(members_, &context_.random)) ExchangeDigests(*to);
  RunAfter(context_, Jittered(context_, kDigestPeriod), [this] { RunRound(); });
}

// Reports at once that a server turned cold or stopped responding, since other
// hosts may send requests to it until they know.
void gossip_service::SendUrgentUpdates() {
  if (context_.state.urgent_update_pending.exchange(false)) {
    for (const member& m :
         PickLiveMembers(members_, kUrgentUpdateFanOut, &context_.random)) {
      ExchangeDigests(m.peer_address);
    }
  }
  RunAfter(context_, kUrgentUpdateCheckPeriod, [this] { SendUrgentUpdates(); });
}

void gossip_service::ExchangeDigests(const endpoint& to) {
  SendToPeer(context_, to, "/peer/digest", DumpDigest(BuildDigest()),
             [this, to](int status, std::string body) {
               absl::StatusOr<digest> d = ParseDigest(body);
               if (status == 200 && d.ok()) return ApplyDigest(*d);
               if (status != 0) return;
               for (const auto& [name, k] : members_.others) {
                 if (k.info.peer_address != to) continue;
                 OnNoReply(&members_, name, SteadyNow());
                 break;
               }
             });
}

digest gossip_service::BuildDigest() {
  CollectServerReports();
  digest d{.from = members_.self,
           .revision = config_manager_.current().revision};
  d.changes = TakePendingChanges(&members_);
  for (auto& [server, report] : sent_reports_) {
    if (report.sends_left <= 0) continue;
    --report.sends_left;
    d.evidence.push_back({.server = server,
                          .stamp = report.stamp,
                          .state = report.state,
                          .versions = report.versions});
    if (d.evidence.size() >= kMaxEvidencePerDigest) break;
  }
  return d;
}

void gossip_service::ApplyDigest(const digest& d) {
  micros now = SteadyNow();
  OnContact(&members_, d.from, now);
  for (const member& m : d.changes) MergeMember(&members_, m, now);
  for (const evidence_item& item : d.evidence) ApplyServerReport(item);
  UpdateShareHolders();
  config_manager_.OnPeerRevision(d.from.peer_address, d.revision);
}

// Queues reports on the backend servers that changed since their last report.
void gossip_service::CollectServerReports() {
  // Both sides of an exchange send reports, so this many sends reach all hosts
  // with a margin.
  int sends = std::bit_width(members_.others.size() + 1) + 1;
  std::lock_guard lock(context_.state.mutex);
  const fleet& f = context_.state.routing.backends;
  if (f.current_view == nullptr) return;
  for (size_t i = 0; i < f.servers.size(); ++i) {
    const server_state& s = f.servers[i];
    std::optional<reported_state> state = ReportableState(s.window);
    if (!state) continue;
    sent_report& report =
        sent_reports_[f.current_view->topology->servers[i].name];
    bool unchanged = report.stamp.boot == s.window.stamp.boot &&
                     report.state == *state && report.versions == s.versions;
    if (unchanged) continue;
    report = {.stamp = s.window.stamp,
              .state = *state,
              .versions = s.versions,
              .sends_left = sends};
  }
}

void gossip_service::ApplyServerReport(const evidence_item& item) {
  micros now = SteadyNow();
  std::lock_guard lock(context_.state.mutex);
  fleet& f = context_.state.routing.backends;
  if (f.current_view == nullptr) return;
  auto found = f.current_view->topology->server_by_name.find(item.server);
  if (found == f.current_view->topology->server_by_name.end()) return;
  server_state& s = f.servers[found->second];
  server_report report{
      .stamp = item.stamp, .state = item.state, .cold_limit = item.cold_limit};
  window_phase before = s.window.phase;
  OnReport(&s.window, report_source::kPeer, report, now);
  if (before != s.window.phase && !IsWarmOrWarming(s.window))
    context_.state.urgent_update_pending = true;
  if (item.stamp > s.versions_stamp && !item.versions.empty()) {
    s.versions = item.versions;
    s.versions_stamp = item.stamp;
  }
}

// Applies a change of the set of hosts that hold shares.
void gossip_service::UpdateShareHolders() {
  micros now = SteadyNow();
  std::vector<fleet_host> holders = ShareHolders(members_, now);
  context_.state.counters.SetLiveHosts(
      static_cast<int>(LiveMembers(members_).size()));
  if (holders == share_holders_) return;
  share_holders_ = holders;
  Log(log_level::kInfo, "hosts_changed",
      {{"hosts", std::to_string(holders.size())}});
  std::lock_guard lock(context_.state.mutex);
  ApplyHosts(&context_.state.routing.backends, std::move(holders),
             members_.self.name, now);
}

// Only the hosts that watch the store read the host list. The others learn of
// new hosts from digests, unless they know of no other host.
void gossip_service::ReadHostList() {
  bool alone = LiveMembers(members_).size() < 2;
  if (!alone && !config_manager_.is_watcher()) {
    RunAfter(context_, Jittered(context_, kHostListPeriod),
             [this] { ReadHostList(); });
    return;
  }
  context_.store.ListHosts([this](std::vector<listed_host> hosts) {
    if (!hosts.empty()) {
      members_.seeds = configured_seeds_;
      for (const listed_host& h : hosts) {
        if (!h.leaving) members_.seeds.push_back(h.peers);
      }
    }
    RunAfter(context_, Jittered(context_, kHostListPeriod),
             [this] { ReadHostList(); });
  });
}

void gossip_service::AnnounceLeaving() {
  members_.self.status = member_status::kLeaving;
  UpdateShareHolders();
  for (const member& m :
       PickLiveMembers(members_, kLeaveNoticeFanOut, &context_.random)) {
    ExchangeDigests(m.peer_address);
  }
}

void gossip_service::Handle(const std::string& path, const std::string& body,
                            std::function<void(int, std::string)> reply) {
  http_request request;
  size_t query_start = path.find('?');
  request.path = path.substr(0, query_start);
  if (query_start != std::string::npos)
    request.query = path.substr(query_start + 1);
  if (request.path == "/peer/digest") {
    absl::StatusOr<digest> d = ParseDigest(body);
    if (!d.ok()) {
      Log(log_level::kWarning, "peer_message_rejected",
          {{"path", path}, {"reason", MessageOf(d.status())}});
      return reply(400, "{}");
    }
    // Respond before applying: the changes received need not be sent back.
    reply(200, DumpDigest(BuildDigest()));
    ApplyDigest(*d);
  } else if (request.path == "/peer/config") {
    auto from = ParseEndpoint(QueryParameter(request, "from"));
    bool accepted = from.ok() && config_manager_.OnConfigPush(*from, body);
    reply(accepted ? 200 : 400, "{}");
  } else if (request.path == "/peer/fetch") {
    auto have = ParseNumber<int64_t>(QueryParameter(request, "have"));
    if (config_manager_.current().revision == 0) return reply(404, "{}");
    reply(200, config_manager_.BuildConfigMessage(have.value_or(0)));
  } else if (request.path == "/peer/revision") {
    reply(200, fmt::format(R"({{"revision":{}}})",
                           config_manager_.current().revision));
  } else {
    reply(404, "{}");
  }
}

}  // namespace baobabtray
