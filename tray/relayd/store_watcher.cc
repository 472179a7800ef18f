// Listing, watches, hub polling and the host's own entry in the store.

#include "tray/relayd/store_watcher.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>

#include "tray/base/clock.h"
#include "tray/base/log.h"
#include "tray/base/strings.h"

namespace baobabtray {
namespace {

// Changes within this interval are read by one call. It is a tenth of the
// shortest time limit for a change to take effect.
constexpr micros kBatchInterval = 250 * kMillisecond;
constexpr micros kMinRetryDelay = 100 * kMillisecond;
constexpr micros kMaxRetryDelay = 800 * kMillisecond;
// Shorter until the first listing: without it no request can be served.
constexpr micros kMaxInitialRetryDelay = 200 * kMillisecond;
constexpr int kMaxBackoffDoublings = 3;
// A dead host counts as live until its lease expires. Until then the other
// hosts' shares of connections and budgets are too small, which is harmless,
// and a dead hub is tried and avoided a few times.
constexpr micros kLeaseTtl = 30 * kSecond;
constexpr micros kLeaseRenewInterval = kLeaseTtl / 3;

// A host whose listing takes longer is registered without it.
constexpr micros kMaxEntryDelay = 1 * kSecond;
constexpr micros kEntryDelayStep = 10 * kMillisecond;

// Time limit of a poll with large values: several megabytes over a link of
// 20 Mbit/s.
constexpr micros kLargePollLimit = 2 * kSecond;
// Delay between a host's first listing and its first watch. Hosts that start
// together have announced themselves by then, and all are read by one call.
constexpr micros kFirstWatchDelay = 400 * kMillisecond;

// Delays before the recorded fleet size follows the number of live hosts. The
// raise delay lets hosts that start together cost one write. The lower delay
// outlasts a failure of many hosts at once.
constexpr micros kFleetSizeRaiseDelay = 2 * kSecond;
constexpr micros kFleetSizeLowerDelay = 120 * kSecond;
// After a rise of the store's era all hosts register themselves within this
// time, so that their writes do not arrive at the same moment.
constexpr micros kReannounceSpread = 500 * kMillisecond;
constexpr micros kReregisterTime = kRewriteTime / 2;

constexpr char kOutdatedAnswer[] = "the answer is of an earlier era";

}  // namespace

store_watcher::store_watcher(asio::io_context& loop, directory_store store,
                             fetcher* http, registered_host own,
                             micros change_limit, deliver_updates deliver)
    : loop_(loop),
      store_(std::move(store)),
      http_(*http),
      own_(std::move(own)),
      deliver_(std::move(deliver)),
      random_(std::random_device{}()),
      source_{.timing = TimingFor(change_limit)},
      change_feed_(loop, {.log = [this]() -> const change_log* {
                            return revision_ != 0 ? &log_ : nullptr;
                          },
                          .as_of = [this] { return source_.as_of; },
                          .era = [this] { return era_; }}) {
  if (store_.observe_era)
    store_.observe_era([this](uint64_t era) { ObserveEra(era); });
}

void store_watcher::Start() {
  StartListing();
  OpenLease();
}

void store_watcher::Deregister() {
  leaving_ = true;
  if (lease_ != 0) store_.end_lease(lease_);
}

void store_watcher::RunAfter(micros delay, std::function<void()> callback) {
  auto timer = std::make_shared<asio::steady_timer>(
      loop_, std::chrono::microseconds(delay));
  timer->async_wait(
      [timer, callback = std::move(callback)](std::error_code) { callback(); });
}

// Exponential backoff. The jitter keeps hosts from retrying in step.
micros store_watcher::Backoff(int failures) {
  micros limit = revision_ == 0 ? kMaxInitialRetryDelay : kMaxRetryDelay;
  micros delay = std::min(
      limit, kMinRetryDelay << std::min(failures, kMaxBackoffDoublings));
  return delay / 2 + static_cast<micros>(random_() % delay);
}

void store_watcher::OnStoreAnswered(micros as_of, micros prompt_as_of) {
  OnStoreAnswer(&source_, as_of, prompt_as_of);
  if (failures_ == 0) return;
  Log(log_level::kInfo, "store_reachable",
      {{"failures", std::to_string(failures_)},
       {"revision", std::to_string(revision_)}});
  failures_ = 0;
}

// Lists the store again if nothing is known yet. Otherwise a hub may know.
void store_watcher::RetryAfterFailure(const std::string& problem,
                                      micros asked_at) {
  if (failures_ == 0) {
    Log(log_level::kWarning, "store_unreachable",
        {{"problem", problem}, {"revision", std::to_string(revision_)}});
  }
  ++failures_;
  OnStoreFailure(&source_, own_, asked_at, SteadyNow());
  RunAfter(Backoff(failures_ - 1), InChain([this] {
             if (revision_ == 0) return StartListing();
             Watch();
           }));
}

// An answer that states no era says nothing about it.
void store_watcher::ObserveEra(uint64_t era) {
  if (era <= era_) return;
  // The first era is none that has risen, unless something is known already.
  bool rises = era_ != 0 || revision_ != 0 || lease_ != 0 || !listing_.empty();
  if (rises) {
    Log(log_level::kWarning, "store_went_back",
        {{"era", std::to_string(era)},
         {"before", std::to_string(era_)},
         {"revision", std::to_string(revision_)}});
  }
  era_ = era;
  if (rises) StartEra();
}

void store_watcher::StartEra() {
  ++chain_;
  new_era_ = true;
  revision_ = 0;
  known_.BeginEra();
  for (const auto& listener : era_listeners_) listener(era_);
  // Followers turn to the store.
  change_feed_.NotifyAdvanced();
  StartListing();
  auto delay = static_cast<micros>(random_() % kReannounceSpread);
  uint64_t request = ++lease_request_;
  lease_ = 0;
  // The other hosts hold the lost entry for kRewriteTime. Until a part of that
  // has passed, it counts as written without a gap.
  reregister_until_ = SteadyNow() + kReregisterTime;
  entry_valid_until_ = std::min(entry_valid_until_, reregister_until_);
  RunAfter(delay, [this, request] {
    if (request == lease_request_) OpenLease();
  });
}

void store_watcher::StartListing() {
  listing_.clear();
  listing_revision_ = 0;
  listing_started_at_ = SteadyNow();
  ListPage("");
}

void store_watcher::ListPage(const std::string& after) {
  store_.list(
      after, InChain([this, after](store_read_result page) {
        if (IsOutdated(page)) {
          return RetryAfterFailure(kOutdatedAnswer, listing_started_at_);
        }
        if (page.status != store_status::kOk) {
          return RetryAfterFailure(page.error_message, listing_started_at_);
        }
        // The watch starts at the first page's revision, so that changes made
        // between the pages are not missed.
        if (listing_revision_ == 0) listing_revision_ = page.revision;
        std::string last;
        for (stored_item& item : page.items) {
          last = std::max(last, item.key);
          listing_[item.key] = std::move(item);
        }
        if (page.has_more && last > after) return ListPage(last);
        if (page.has_more) {
          return RetryAfterFailure("a listing page has no new keys",
                                   listing_started_at_);
        }
        FinishListing();
      }));
}

void store_watcher::FinishListing() {
  std::vector<stored_item> items;
  micros made_after = ChangesMadeAfter(source_, SteadyNow());
  if (new_era_) {
    items = ReconcileEra();
    // Whatever differs may be as old as the copy.
    made_after = 0;
  } else {
    items = known_.Missing(listing_, listing_revision_);
    for (auto& [key, item] : listing_) items.push_back(std::move(item));
  }
  Log(log_level::kInfo, "store_listed",
      {{"revision", std::to_string(listing_revision_)},
       {"items", std::to_string(listing_.size())}});
  listing_.clear();
  bool first = revision_ == 0;
  if (first) {
    log_.Reset(listing_revision_);
    entry_predates_start_ =
        lists_before_entry_ && !announce_sent_ &&
        std::any_of(items.begin(), items.end(), [&](const stored_item& item) {
          store_update update = store_.decode(item);
          const auto* host = std::get_if<host_update>(&update);
          return host != nullptr && host->live && host->host.name == own_.name;
        });
  }
  OnStoreAnswered(listing_started_at_, 0);
  ApplyChanges(std::move(items), listing_revision_, made_after);
  if (first) return RunAfter(kFirstWatchDelay, InChain([this] { Watch(); }));
  Watch();
}

std::vector<stored_item> store_watcher::ReconcileEra() {
  new_era_ = false;
  // Servers that are missing are used until they have had time to register
  // again (RemoveServer), so they need not be held.
  era_changes changes = known_.Reconcile(
      listing_, listing_revision_, SteadyNow(),
      [this](const stored_item& removal) {
        return std::holds_alternative<server_removal>(store_.decode(removal));
      });
  // Recorded again by ReviewFleetSize.
  if (!listing_.contains(fleet_size_key_)) recorded_hosts_ = 0;
  Log(log_level::kInfo, "store_era_listed",
      {{"era", std::to_string(era_)},
       {"changed", std::to_string(changes.items.size())},
       {"held", std::to_string(changes.held)}});
  if (changes.held > 0) {
    RunAfter(kRewriteTime, InChain([this] { DeliverHeld(); }));
  }
  return std::move(changes.items);
}

void store_watcher::DeliverHeld() { DeliverItems(known_.TakeHeld(), 0); }

void store_watcher::Watch() {
  std::string followed = source_.choice.hub;
  source_step step =
      leaving_ ? source_step{.wait = kWatchTimeout,
                             .limit = kWatchTimeout + kStoreAnswerLimit}
               : NextStep(&source_, hosts_, own_, SteadyNow());
  if (source_.choice.hub != followed) {
    Log(log_level::kInfo, "watch_source_changed",
        {{"hub", source_.choice.hub},
         {"revision", std::to_string(revision_)},
         {"age_ms", AgeMs()}});
  }
  if (step.hub == nullptr) return WatchStore(step);
  PollHub(step, false);
}

void store_watcher::PollHub(const source_step& step, bool send_large) {
  micros asked_at = SteadyNow();
  RequestChanges(&http_, step.hub->peer_address,
                 {.after = revision_,
                  .wait = step.wait,
                  .limit = step.limit,
                  .send_large = send_large,
                  .era = era_},
                 InChain([this, asked_at, name = step.hub->name](
                             absl::StatusOr<change_batch> got) {
                   if (absl::IsFailedPrecondition(got.status())) {
                     // One answer of the store takes this host beyond the
                     // start of the hub's log.
                     return WatchStore({.limit = kStoreAnswerLimit});
                   }
                   if (got.ok() && got->era != era_) {
                     got = absl::UnavailableError(kOutdatedAnswer);
                   }
                   if (!got.ok()) {
                     OnHubFailure(&source_, name, SteadyNow());
                     LogAbandonedHub(name, MessageOf(got.status()));
                     return Watch();
                   }
                   micros as_of = std::min(asked_at + got->as_of, SteadyNow());
                   Log(log_level::kDebug, "hub_answered",
                       {{"hub", name},
                        {"hub_revision", std::to_string(got->revision)},
                        {"hub_age_ms",
                         std::to_string((SteadyNow() - as_of) / kMillisecond)},
                        {"revision", std::to_string(revision_)},
                        {"age_ms", AgeMs()}});
                   HandleBatch(name, as_of, *std::move(got));
                 }));
}

void store_watcher::HandleBatch(const std::string& hub, micros as_of,
                                change_batch batch) {
  if (!batch.large.empty())
    return FetchLargeValues(hub, as_of, std::move(batch));
  micros made_after = ChangesMadeAfter(source_, SteadyNow());
  bool keep = OnHubAnswer(&source_, hub, as_of, SteadyNow());
  ApplyChanges(std::move(batch.items), batch.revision, made_after);
  if (!keep) LogAbandonedHub(hub, "the hub has lost contact with the store");
  Watch();
}

// Reads from the store, one after the other, the values that the hub omitted,
// then processes the whole batch.
void store_watcher::FetchLargeValues(const std::string& hub, micros as_of,
                                     change_batch batch) {
  std::string key = std::move(batch.large.back());
  batch.large.pop_back();
  store_.read(key, InChain([this, hub, as_of,
                            batch = std::move(batch)](store_read_result got) {
                if (got.status != store_status::kOk || IsOutdated(got))
                  return PollLargeValues(hub);
                change_batch rest = batch;
                for (stored_item& item : got.items)
                  rest.items.push_back(std::move(item));
                HandleBatch(hub, as_of, std::move(rest));
              }));
}

// The store does not answer this host, but the hub has the values.
void store_watcher::PollLargeValues(const std::string& hub) {
  auto host = hosts_.find(hub);
  if (host == hosts_.end()) return Watch();
  PollHub({.hub = &host->second, .limit = kLargePollLimit}, true);
}

void store_watcher::LogAbandonedHub(const std::string& hub,
                                    std::string_view problem) const {
  Log(log_level::kInfo, "hub_abandoned",
      {{"hub", hub},
       {"problem", std::string(problem)},
       {"revision", std::to_string(revision_)},
       {"age_ms", AgeMs()}});
}

std::string store_watcher::AgeMs() const {
  return std::to_string((SteadyNow() - source_.as_of) / kMillisecond);
}

void store_watcher::ApplyChanges(std::vector<stored_item> items,
                                 uint64_t revision, micros made_after) {
  // A listing after lost history includes all changes since revision_, so
  // followers need no listing of their own.
  std::vector<stored_item> changes;
  for (const stored_item& item : items) {
    if (item.revision > revision_) changes.push_back(item);
  }
  log_.Append(changes, revision);
  if (known_as_of_) known_as_of_(source_.as_of);
  DeliverItems(std::move(items), made_after);
  revision_ = std::max(revision_, revision);
  change_feed_.NotifyAdvanced();
}

void store_watcher::WatchStore(const source_step& step) {
  micros asked_at = SteadyNow();
  store_.watch(
      revision_, step.wait, step.limit,
      InChain([this, asked_at, wait = step.wait](store_read_result changes) {
        if (IsOutdated(changes)) {
          return RetryAfterFailure(kOutdatedAnswer, asked_at);
        }
        if (changes.status == store_status::kCompacted) {
          Log(log_level::kInfo, "store_history_lost",
              {{"revision", std::to_string(revision_)}});
          return StartListing();
        }
        if (changes.status != store_status::kOk) {
          return RetryAfterFailure(changes.error_message, asked_at);
        }
        bool any = !changes.items.empty();
        micros now = SteadyNow();
        micros made_after = StoreChangesMadeAfter(source_, asked_at, wait, now);
        OnStoreAnswered(ProvenTime(asked_at, wait, any, now),
                        PromptTime(asked_at, wait, now));
        ApplyChanges(std::move(changes.items), changes.revision, made_after);
        if (any) return RunAfter(kBatchInterval, InChain([this] { Watch(); }));
        Watch();
      }));
}

void store_watcher::DeliverItems(std::vector<stored_item> items,
                                 micros made_after) {
  std::vector<store_update> updates;
  micros now = SteadyNow();
  for (const stored_item& item : items) {
    if (!known_.Accept(item, now)) continue;
    store_update update = store_.decode(item);
    if (const auto* none = std::get_if<ignored_item>(&update)) {
      if (none->malformed) {
        Log(log_level::kWarning, "store_item_ignored",
            {{"reason", none->reason.substr(0, 300)},
             {"revision", std::to_string(item.revision)}});
      }
      continue;
    }
    if (const auto* host = std::get_if<host_update>(&update)) {
      // The store has removed this host's entry, which needs a new lease.
      const std::string& name = host->host.name;
      if (name == own_.name && !host->live && !leaving_) OpenLease();
      if (host->live) {
        hosts_[name] = host->host;
      } else {
        hosts_.erase(name);
      }
    }
    if (auto* server = std::get_if<server_update>(&update)) {
      server->made_after = made_after;
    }
    if (auto* removal = std::get_if<server_removal>(&update)) {
      removal->made_after = made_after;
    }
    if (const auto* size = std::get_if<fleet_size_update>(&update)) {
      recorded_hosts_ = size->hosts;
      fleet_size_key_ = item.key;
    }
    updates.push_back(std::move(update));
  }
  ReviewFleetSize();
  if (!updates.empty()) deliver_(std::move(updates));
}

void store_watcher::ReviewFleetSize() {
  int live = static_cast<int>(hosts_.size());
  if (review_pending_ || live == recorded_hosts_ || leaving_) return;
  review_pending_ = true;
  micros wait =
      live > recorded_hosts_ ? kFleetSizeRaiseDelay : kFleetSizeLowerDelay;
  RunAfter(wait, [this, live] {
    review_pending_ = false;
    int now = static_cast<int>(hosts_.size());
    bool responsible =
        !hosts_.empty() && hosts_.begin()->first == own_.name && !leaving_;
    bool lowers = now < recorded_hosts_;
    if (now == recorded_hosts_) return;
    // Lowers only to the number seen when the delay began.
    if (!responsible || (lowers && now != live)) return ReviewFleetSize();
    store_.record_fleet_size(now, [this, now](store_status end) {
      Log(log_level::kInfo, "fleet_size_recorded",
          {{"hosts", std::to_string(now)},
           {"end", std::string(NameOf(kStoreStatusNames, end))}});
      if (end != store_status::kOk) ReviewFleetSize();
    });
  });
}

void store_watcher::OpenLease() {
  if (leaving_) return;
  lease_ = 0;
  if (SteadyNow() >= reregister_until_) entry_valid_until_ = 0;
  uint64_t request = ++lease_request_;
  micros asked_at = SteadyNow();
  store_.open_lease(kLeaseTtl, [this, request, asked_at, era = era_](
                                   store_status end, uint64_t lease) {
    bool unused = leaving_ || request != lease_request_;
    if (end != store_status::kOk) {
      if (unused) return;
      return RunAfter(Backoff(++lease_failures_), [this, request] {
        if (request == lease_request_) OpenLease();
      });
    }
    if (unused) {
      // After the store came back older, the id may be another host's.
      if (era == era_) store_.end_lease(lease);
      return;
    }
    lease_ = lease;
    lease_valid_until_ = asked_at + kLeaseTtl;
    Announce();
  });
}

void store_watcher::Announce() {
  uint64_t lease = lease_;
  if (lists_before_entry_ && revision_ == 0) {
    micros now = SteadyNow();
    if (entry_delayed_since_ == 0) entry_delayed_since_ = now;
    if (now - entry_delayed_since_ < kMaxEntryDelay) {
      return RunAfter(kEntryDelayStep, [this, lease] {
        if (lease == lease_ && !leaving_) Announce();
      });
    }
  }
  announce_sent_ = true;
  store_.announce_host(own_, lease, [this, lease](store_status end) {
    if (leaving_ || lease != lease_) return;
    if (end == store_status::kOk) {
      entry_valid_until_ = lease_valid_until_;
      bool kept = SteadyNow() < reregister_until_ && entry_written_at_ != 0;
      reregister_until_ = 0;
      if (!kept) {
        entry_written_at_ = SteadyNow();
        ++entries_written_;
      }
      lease_failures_ = 0;
      return ScheduleRenewal(kLeaseRenewInterval);
    }
    // The failed write may have taken effect. Repeating it is harmless.
    RunAfter(Backoff(++lease_failures_), [this, lease, end] {
      if (lease != lease_) return;
      if (end == store_status::kNotFound) return OpenLease();
      Announce();
    });
  });
}

void store_watcher::ScheduleRenewal(micros delay) {
  RunAfter(delay, [this, lease = lease_] {
    if (lease == lease_) RenewLease();
  });
}

void store_watcher::HandleChangeRequest(const http_request& r,
                                        const responder& respond) {
  change_feed_.Handle(r, respond);
}

void store_watcher::RenewLease() {
  uint64_t lease = lease_;
  micros asked_at = SteadyNow();
  store_.renew_lease(lease, [this, lease, asked_at](store_status end) {
    if (leaving_ || lease != lease_) return;
    if (end == store_status::kNotFound) return OpenLease();
    bool ok = end == store_status::kOk;
    if (ok) {
      lease_valid_until_ = asked_at + kLeaseTtl;
      entry_valid_until_ = lease_valid_until_;
    }
    ScheduleRenewal(ok ? kLeaseRenewInterval : Backoff(++lease_failures_));
  });
}

}  // namespace baobabtray
