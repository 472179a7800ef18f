// Listing, watch and announcement. See store_watcher.h.

#include "tray/relayd/store_watcher.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>

#include "tray/base/clock.h"
#include "tray/base/log.h"
#include "tray/base/strings.h"

namespace baobabtray {
namespace {

// A watch that hears nothing is asked again after this. A store that was silent
// for a moment may never answer the watch that waited there, and counts as
// stable five seconds later: all that has changed must be known by then.
constexpr micros kWatchTime = 3500 * kMillisecond;
// The same after a failed call, until one succeeds.
constexpr micros kTroubledWatchTime = 500 * kMillisecond;
// Changes that follow each other within this are read by one call: a tenth of
// the shortest bound on a change.
constexpr micros kBatchTime = 250 * kMillisecond;
constexpr micros kFirstRetry = 100 * kMillisecond;
constexpr micros kMaxRetry = 800 * kMillisecond;
// While nothing is known yet no request can be served: asked more often.
constexpr micros kMaxFirstRetry = 200 * kMillisecond;
constexpr int kMaxDoublings = 3;
// A host that has died counts as live for this long. Shares of connections and
// budgets are too small meanwhile, which harms nobody.
constexpr micros kLeaseTime = 15 * kSecond;
constexpr micros kRenewPeriod = kLeaseTime / 3;

// A question to a hub is answered after this at the latest.
constexpr micros kFeedWait = 1 * kSecond;
// A hub that has not heard from the store for longer is left. With kFeedWait,
// and a call to the store, a change is then known within the shortest bound, 3
// s.
constexpr micros kMaxFeedAge = 1500 * kMillisecond;
// A hub renews its lease this often while it is asked: half of kMaxFeedAge.
constexpr micros kHubRenewPeriod = 750 * kMillisecond;
// How long a host that has left its hub follows the store itself.
constexpr micros kDirectTime = 5 * kSecond;

// The record of the fleet's size follows a raise after this, so that hosts that
// start together cost one write, and a drop only after a common failure would
// have passed.
constexpr micros kRaiseTime = 2 * kSecond;
constexpr micros kLowerTime = 120 * kSecond;

}  // namespace

store_watcher::store_watcher(asio::io_context& loop, directory_store store,
                             fetcher* http, registered_host own,
                             deliver_facts deliver)
    : loop_(loop),
      store_(std::move(store)),
      http_(*http),
      own_(std::move(own)),
      deliver_(std::move(deliver)),
      random_(std::random_device{}()),
      feed_(loop, {.log = [this]() -> const change_log* {
                     return hub_.empty() && failures_ == 0 ? &log_ : nullptr;
                   },
                   .age = [this] { return SteadyNow() - last_contact_; }}) {}

void store_watcher::Start() {
  Load();
  OpenLease();
}

void store_watcher::Leave() {
  leaving_ = true;
  if (lease_ != 0) store_.end_lease(lease_);
}

void store_watcher::After(micros delay, std::function<void()> then) {
  auto timer = std::make_shared<asio::steady_timer>(
      loop_, std::chrono::microseconds(delay));
  timer->async_wait(
      [timer, then = std::move(then)](std::error_code) { then(); });
}

// Doubles with each failure; jitter keeps hosts from calling in step.
micros store_watcher::Backoff(int failures) {
  micros most = revision_ == 0 ? kMaxFirstRetry : kMaxRetry;
  micros delay =
      std::min(most, kFirstRetry << std::min(failures, kMaxDoublings));
  return delay / 2 + static_cast<micros>(random_() % delay);
}

void store_watcher::Contact() {
  last_contact_ = SteadyNow();
  if (failures_ == 0) return;
  Log(log_level::kInfo, "store_regained",
      {{"failures", std::to_string(failures_)},
       {"revision", std::to_string(revision_)}});
  failures_ = 0;
}

void store_watcher::Retry(const std::string& problem,
                          std::function<void()> again) {
  if (failures_ == 0) {
    Log(log_level::kWarning, "store_lost",
        {{"problem", problem}, {"revision", std::to_string(revision_)}});
  }
  ++failures_;
  feed_.Changed();  // followers must not wait for this host
  After(Backoff(failures_ - 1), std::move(again));
}

void store_watcher::Load() {
  listing_.clear();
  listing_revision_ = 0;
  LoadPage("");
}

void store_watcher::LoadPage(const std::string& after) {
  store_.list(after, [this, after](store_read_result page) {
    if (page.status != store_status::kOk) {
      return Retry(page.error_message, [this] { Load(); });
    }
    Contact();
    // Changes made between the pages are watched for from the first page on.
    if (listing_revision_ == 0) listing_revision_ = page.revision;
    std::string last;
    for (stored_item& item : page.items) {
      last = std::max(last, item.key);
      listing_[item.key] = std::move(item);
    }
    if (page.has_more && last > after) return LoadPage(last);
    if (page.has_more) {
      return Retry("a page repeats keys", [this] { Load(); });
    }
    Loaded();
  });
}

void store_watcher::Loaded() {
  std::vector<stored_item> items;
  for (const auto& [key, revision] : known_) {
    if (listing_.contains(key)) continue;
    items.push_back(
        {.key = key, .revision = listing_revision_, .removed = true});
  }
  for (auto& [key, item] : listing_) items.push_back(std::move(item));
  Log(log_level::kInfo, "store_listed",
      {{"revision", std::to_string(listing_revision_)},
       {"items", std::to_string(listing_.size())}});
  listing_.clear();
  if (revision_ == 0) log_.Reset(listing_revision_);
  Learn(std::move(items), listing_revision_);
  Watch();
}

void store_watcher::Watch() {
  micros now = SteadyNow();
  const registered_host* hub = HubOf(hosts_, own_);
  if (hub == nullptr || leaving_ || failures_ > 0 || now < direct_until_) {
    return WatchStore();
  }
  WatchHub(*hub);
}

void store_watcher::WatchHub(const registered_host& hub) {
  SetHub(hub.name);
  RequestChanges(&http_, hub.peer_address, revision_, kFeedWait,
                 [this, name = hub.name](absl::StatusOr<change_batch> batch) {
                   if (absl::IsFailedPrecondition(batch.status())) {
                     // Not a hub yet, or its log is too short: one look at the
                     // store brings both to where they agree.
                     return WatchStore();
                   }
                   if (!batch.ok()) {
                     return LeaveHub(name, MessageOf(batch.status()));
                   }
                   if (batch->age > kMaxFeedAge) {
                     return LeaveHub(name, "it has lost the store");
                   }
                   TakeFeed(name, *std::move(batch));
                 });
}

void store_watcher::TakeFeed(const std::string& hub, change_batch batch) {
  if (!batch.large.empty()) return TakeLarge(hub, std::move(batch));
  last_contact_ = SteadyNow() - batch.age;
  Learn(std::move(batch.items), batch.revision);
  Watch();
}

// Reads a value that the hub left out from the store, then goes on.
void store_watcher::TakeLarge(const std::string& hub, change_batch batch) {
  std::string key = std::move(batch.large.back());
  batch.large.pop_back();
  store_.read(key,
              [this, hub, batch = std::move(batch)](store_read_result got) {
                if (got.status != store_status::kOk)
                  return LeaveHub(hub, got.error_message);
                change_batch rest = batch;
                for (stored_item& item : got.items)
                  rest.items.push_back(std::move(item));
                TakeFeed(hub, std::move(rest));
              });
}

void store_watcher::LeaveHub(const std::string& hub, std::string_view problem) {
  Log(log_level::kInfo, "hub_left",
      {{"hub", hub},
       {"problem", std::string(problem)},
       {"revision", std::to_string(revision_)}});
  direct_until_ = SteadyNow() + kDirectTime;
  WatchStore();
}

// Whom this host follows; "" is the store.
void store_watcher::SetHub(const std::string& hub) {
  if (hub == hub_) return;
  hub_ = hub;
  // The log goes on from here if the store is followed again.
  log_.Reset(revision_);
  feed_.Changed();
  Log(log_level::kInfo, "following",
      {{"hub", hub}, {"revision", std::to_string(revision_)}});
}

void store_watcher::Learn(std::vector<stored_item> items, uint64_t revision) {
  // A listing after lost history shows all that changed since revision_, so
  // followers need none of their own.
  std::vector<stored_item> changes;
  for (const stored_item& item : items) {
    if (item.revision > revision_) changes.push_back(item);
  }
  log_.Append(changes, revision);
  Take(std::move(items));
  revision_ = std::max(revision_, revision);
  feed_.Changed();
}

void store_watcher::WatchStore() {
  SetHub("");
  micros wait = failures_ == 0 ? kWatchTime : kTroubledWatchTime;
  store_.watch(revision_, wait, [this](store_read_result changes) {
    if (changes.status == store_status::kCompacted) {
      Log(log_level::kInfo, "store_history_lost",
          {{"revision", std::to_string(revision_)}});
      return Load();
    }
    if (changes.status != store_status::kOk) {
      return Retry(changes.error_message, [this] { Watch(); });
    }
    Contact();
    bool any = !changes.items.empty();
    Learn(std::move(changes.items), changes.revision);
    if (any) return After(kBatchTime, [this] { Watch(); });
    Watch();
  });
}

void store_watcher::Take(std::vector<stored_item> items) {
  std::vector<store_update> facts;
  for (const stored_item& item : items) {
    auto known = known_.find(item.key);
    if (known != known_.end() && item.revision <= known->second) continue;
    if (item.removed) {
      if (known == known_.end()) continue;
      known_.erase(known);
    } else {
      known_[item.key] = item.revision;
    }
    store_update fact = store_.decode(item);
    if (const auto* none = std::get_if<ignored_item>(&fact)) {
      if (none->malformed) {
        Log(log_level::kWarning, "store_item_ignored",
            {{"reason", none->reason.substr(0, 300)},
             {"revision", std::to_string(item.revision)}});
      }
      continue;
    }
    if (const auto* host = std::get_if<host_update>(&fact)) {
      // Taken away by the store: announced again.
      const std::string& name = host->host.name;
      if (name == own_.name && !host->live && !leaving_) OpenLease();
      if (host->live) {
        hosts_[name] = host->host;
      } else {
        hosts_.erase(name);
      }
    }
    if (const auto* size = std::get_if<fleet_size_update>(&fact)) {
      recorded_hosts_ = size->hosts;
    }
    facts.push_back(std::move(fact));
  }
  ReviewFleet();
  if (!facts.empty()) deliver_(std::move(facts));
}

void store_watcher::ReviewFleet() {
  int live = static_cast<int>(hosts_.size());
  if (reviewing_ || live == recorded_hosts_ || leaving_) return;
  reviewing_ = true;
  micros wait = live > recorded_hosts_ ? kRaiseTime : kLowerTime;
  After(wait, [this, live] {
    reviewing_ = false;
    int now = static_cast<int>(hosts_.size());
    bool mine =
        !hosts_.empty() && hosts_.begin()->first == own_.name && !leaving_;
    bool lowers = now < recorded_hosts_;
    if (now == recorded_hosts_) return;
    // A drop counts only if the number has not changed since it was seen.
    if (!mine || (lowers && now != live)) return ReviewFleet();
    store_.record_fleet_size(now, [this, now](store_status end) {
      Log(log_level::kInfo, "fleet_size_recorded",
          {{"hosts", std::to_string(now)},
           {"end", std::string(NameOf(kStoreStatusNames, end))}});
      if (end != store_status::kOk) ReviewFleet();
    });
  });
}

void store_watcher::OpenLease() {
  if (leaving_) return;
  lease_ = 0;
  store_.open_lease(kLeaseTime, [this](store_status end, uint64_t lease) {
    if (end != store_status::kOk) {
      return After(Backoff(++lease_failures_), [this] { OpenLease(); });
    }
    lease_ = lease;
    Announce();
  });
}

void store_watcher::Announce() {
  uint64_t lease = lease_;
  store_.announce_host(own_, lease, [this, lease](store_status end) {
    if (leaving_ || lease != lease_) return;
    if (end == store_status::kOk) {
      lease_failures_ = 0;
      return After(kRenewPeriod, [this, lease] {
        if (lease == lease_) Renew();
      });
    }
    // The write may have been done; writing it again does no harm.
    After(Backoff(++lease_failures_), [this, lease, end] {
      if (lease != lease_) return;
      if (end == store_status::kNotFound) return OpenLease();
      Announce();
    });
  });
}

void store_watcher::Renew() {
  uint64_t lease = lease_;
  store_.renew_lease(lease, [this, lease](store_status end) {
    if (leaving_ || lease != lease_) return;
    if (end == store_status::kNotFound) return OpenLease();
    bool ok = end == store_status::kOk;
    if (ok && hub_.empty()) last_contact_ = SteadyNow();
    bool asked = hub_.empty() && feed_.IsAsked(SteadyNow());
    micros period = asked ? kHubRenewPeriod : kRenewPeriod;
    micros next = ok ? period : Backoff(++lease_failures_);
    After(next, [this, lease] {
      if (lease == lease_) Renew();
    });
  });
}

}  // namespace baobabtray
