// Tests of changes that hosts of a data centre pass to each other. Part of the
// test program of the relaying host's library.

#include "tray/relayd/change_feed.h"

#include <criterion/criterion.h>

#include <asio.hpp>
#include <chrono>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "platform/store.h"
#include "tray/base/clock.h"
#include "tray/relayd/store_watcher.h"
#include "tray/standin/platform_store.h"

using namespace baobabtray;  // NOLINT: test file
using standin::platform_store;

namespace {

constexpr char kHost[] = "127.0.0.1";

stored_item Item(const std::string& key, uint64_t revision,
                 const std::string& value = "v") {
  return {.key = key, .value = value, .revision = revision};
}

std::vector<std::string> KeysOf(const std::vector<stored_item>& items) {
  std::vector<std::string> keys;
  for (const stored_item& i : items) keys.push_back(i.key);
  return keys;
}

// Four hosts of one data centre on one loop, with the store that they follow.
struct hosts_world {
  struct one_host {
    std::vector<store_update> facts;
    std::unique_ptr<fetcher> http;
    std::unique_ptr<store_watcher> follower;
    std::unique_ptr<http_server> peers;
    registered_host own;
    bool cut_from_store = false;  // no answer of the store arrives
    bool silent = false;          // to other hosts

    // A call's end, if it arrives.
    template <typename... Args>
    std::function<void(Args...)> Arriving(std::function<void(Args...)> done) {
      return [this, done](Args... args) {
        if (!cut_from_store) done(std::move(args)...);
      };
    }

    bool Knows(const std::string& id) const {
      bool known = false;
      for (const store_update& f : facts) {
        if (auto* s = std::get_if<server_update>(&f)) {
          known |= s->server.id == id;
        }
        if (auto* g = std::get_if<server_removal>(&f)) known &= g->id != id;
      }
      return known;
    }
  };

  asio::io_context loop{1};
  platform_store store;
  std::vector<std::unique_ptr<one_host>> hosts;
  int watches = 0;

  explicit hosts_world(uint16_t port) : store(loop, kHost, port) {
    store.Listen();
    for (int i = 0; i < 4; ++i) Add(port, i);
  }

  void Add(uint16_t port, int i) {
    auto h = std::make_unique<one_host>();
    one_host* at = h.get();
    h->own = {.name = "h" + std::to_string(i),
              .data_centre = "z",
              .peer_address = {kHost, static_cast<uint16_t>(port + 1 + i)}};
    h->http = std::make_unique<fetcher>(loop);
    directory_store calls =
        platform::OpenStore(h->http.get(), {kHost, port},
                            [this](std::string_view call, store_status) {
                              watches += call == "watch";
                            });
    calls.watch = [at, watch = calls.watch](uint64_t revision, micros wait,
                                            auto done) {
      watch(revision, wait, at->Arriving(done));
    };
    calls.renew_lease = [at, renew = calls.renew_lease](uint64_t lease,
                                                        auto done) {
      renew(lease, at->Arriving(done));
    };
    h->follower = std::make_unique<store_watcher>(
        loop, std::move(calls), h->http.get(), h->own,
        [at](std::vector<store_update> batch) {
          for (store_update& f : batch) at->facts.push_back(std::move(f));
        });
    auto peers = http_server::Start(
        loop, {.listen = h->own.peer_address},
        [at](const http_request& r, const responder& respond) {
          if (!at->silent) at->follower->HandleChangeRequest(r, respond);
        });
    cr_assert(peers.ok());
    h->peers = *std::move(peers);
    h->follower->Start();
    hosts.push_back(std::move(h));
  }

  void For(int ms) { loop.run_for(std::chrono::milliseconds(ms)); }

  void Until(const std::function<bool()>& done, int most_ms = 8000) {
    for (int i = 0; i < most_ms && !done(); ++i) For(1);
    cr_assert(done(), "gave up waiting");
  }

  // Waits until three hosts follow the fourth, and returns that one.
  one_host* Settle() {
    one_host* hub = nullptr;
    Until([&] {
      std::set<std::string> followed;
      int direct = 0;
      for (const auto& h : hosts) {
        if (h->follower->hub().empty())
          ++direct, hub = h.get();
        else
          followed.insert(h->follower->hub());
      }
      return direct == 1 && followed.size() == 1;
    });
    return hub;
  }

  bool AllKnow(const std::string& id) const {
    for (const auto& h : hosts) {
      if (!h->Knows(id)) return false;
    }
    return true;
  }

  void UpsertServer(const std::string& id) {
    store.Put("servers/" + id,
              R"({"service":"s","address":"127.0.0.1:9","zone":"z","slots":2,)"
              R"("state":"ready","warmup_left_ms":0,"sequence":1})");
  }
};

}  // namespace

// ---- The log ---------------------------------------------------------------

Test(change_log, gives_the_newest_of_each_key) {
  change_log log;
  cr_assert_not(log.Since(0).has_value(), "nothing is known yet");
  log.Reset(10);
  log.Append({Item("a", 11), Item("b", 12), Item("a", 13, "w")}, 14);
  cr_assert_eq(log.revision(), 14u);
  auto all = log.Since(10);
  cr_assert(all.has_value());
  cr_assert(KeysOf(*all) == (std::vector<std::string>{"b", "a"}));
  cr_assert_eq(all->back().value, "w");
  cr_assert_eq(log.Since(12)->size(), 1u);
  cr_assert(log.Since(14)->empty());
}

Test(change_log, says_so_if_it_does_not_reach_back) {
  change_log log;
  log.Reset(10);
  cr_assert_not(log.Since(9).has_value());
  std::string large(1 << 20, 'x');
  for (uint64_t i = 0; i < 8; ++i) {
    log.Append({Item("k" + std::to_string(i), 11 + i, large)}, 11 + i);
  }
  cr_assert_not(log.Since(10).has_value(), "the oldest were dropped");
  cr_assert_eq(log.Since(17)->size(), 1u);
}

Test(change_log, hosts_agree_on_their_hub) {
  std::map<std::string, registered_host> live;
  for (int i = 0; i < 100; ++i) {
    std::string name = "h" + std::to_string(i);
    live[name] = {
        .name = name, .data_centre = "z", .peer_address = {"10.0.0.1", 1}};
  }
  live["far"] = {
      .name = "far", .data_centre = "y", .peer_address = {"10.0.0.1", 1}};
  std::map<std::string, int> followers;
  int hubs = 0;
  for (const auto& [name, entry] : live) {
    const registered_host* hub = HubOf(live, entry);
    if (name == "far") {
      cr_assert_null(hub, "alone in its data centre");
    } else if (hub == nullptr) {
      ++hubs;
    } else {
      cr_assert_null(HubOf(live, *hub));
      ++followers[hub->name];
    }
  }
  cr_assert_eq(hubs, 4);
  cr_assert_eq(followers.size(), 4u);
  // Small data centres, and hosts that say no address, have none.
  live.clear();
  for (const char* name : {"a", "b", "c"}) {
    live[name] = {
        .name = name, .data_centre = "z", .peer_address = {"10.0.0.1", 1}};
  }
  live["d"] = {.name = "d", .data_centre = "z"};
  cr_assert_null(HubOf(live, live["a"]));
}

// ---- Messages --------------------------------------------------------------

Test(feed, batch_survives_its_encoding) {
  change_batch batch{.items = {Item("a", 1, std::string("\0\xff", 2)),
                               Item("big", 2, std::string(70'000, 'x')),
                               {.key = "gone", .revision = 3, .removed = true}},
                     .revision = 4,
                     .age = 1500 * kMillisecond};
  auto got = DecodeChanges(EncodeChanges(batch));
  cr_assert(got.ok());
  cr_assert_eq(got->revision, 4u);
  cr_assert_eq(got->age, batch.age);
  cr_assert_eq(got->items.size(), 2u);
  cr_assert_eq(got->items[0].value, batch.items[0].value);
  cr_assert(got->items[1].removed);
  cr_assert(got->large == std::vector<std::string>{"big"});
}

Test(feed, malformed_batches_are_refused) {
  for (const char* text :
       {"", "[]", "{}", R"({"revision":1,"age_ms":0,"items":[{}]})",
        R"({"revision":"x","age_ms":0,"items":[]})",
        R"({"revision":1,"age_ms":0,"items":[{"key":"a","revision":1,)"
        R"("value":"%"}]})"}) {
    cr_assert_not(DecodeChanges(text).ok(), "%s", text);
  }
}

// ---- Hosts -----------------------------------------------------------------

Test(feed, one_host_watches_the_store_for_its_data_centre) {
  hosts_world w(17501);
  w.Settle();
  w.For(500);
  w.watches = 0;
  w.UpsertServer("i-1");
  w.Until([&] { return w.AllKnow("i-1"); }, 1000);
  w.store.Put("op/config", std::string(70'000, ' '));  // large: read by key
  w.store.Remove("servers/i-1");
  w.Until(
      [&] {
        bool gone = true;
        for (const auto& h : w.hosts) gone &= !h->Knows("i-1");
        return gone;
      },
      1500);
  w.For(2000);
  // Four hosts that watch by themselves would have made three times as many.
  cr_assert_leq(w.watches, 5);
}

// How long the hosts other than the hub take to learn of a new server.
micros TimeToLearn(hosts_world* w, const hosts_world::one_host* hub) {
  micros start = SteadyNow();
  w->UpsertServer("i-1");
  w->Until([&] {
    for (const auto& h : w->hosts) {
      if (h.get() != hub && !h->Knows("i-1")) return false;
    }
    return true;
  });
  return SteadyNow() - start;
}

// Pattern: the hub is killed, frozen, or cut from the others.
Test(feed, followers_of_a_silent_hub_go_to_the_store) {
  hosts_world w(17511);
  auto* hub = w.Settle();
  hub->silent = true;
  cr_assert_lt(TimeToLearn(&w, hub), 3 * kSecond);
}

// Pattern: one host is partitioned from the store, the others are not. A change
// must be known within 3 s, the shortest bound on one.
Test(feed, followers_of_a_hub_without_the_store_go_to_the_store) {
  hosts_world w(17521);
  auto* hub = w.Settle();
  hub->cut_from_store = true;
  cr_assert_lt(TimeToLearn(&w, hub), 3 * kSecond);
}

// Pattern: the store drops its history while hosts follow a hub. The hub alone
// lists the store again.
Test(feed, lost_history_is_read_anew_by_the_hub) {
  hosts_world w(17531);
  w.Settle();
  w.UpsertServer("i-1");
  w.Until([&] { return w.AllKnow("i-1"); });
  w.For(1100);
  int listings = w.store.CallCount("/-/kv-range");
  w.store.active_fault = platform_store::fault::kReset;
  w.store.Remove("servers/i-1");
  w.store.CompactHistory();
  w.For(300);
  w.store.active_fault = platform_store::fault::kNone;
  w.Until([&] {
    for (const auto& h : w.hosts) {
      if (h->Knows("i-1")) return false;
    }
    return true;
  });
  // The hub's failed call sends followers to the store for one look, where they
  // may find their history gone as well.
  cr_assert_leq(w.store.CallCount("/-/kv-range") - listings, 4);
}

// Pattern: the store drops its history and is never away.
Test(feed, dropped_history_costs_one_listing) {
  hosts_world w(17551);
  w.Settle();
  w.For(1100);
  int listings = w.store.CallCount("/-/kv-range");
  w.UpsertServer("i-1");
  w.store.CompactHistory();
  w.Until([&] { return w.AllKnow("i-1"); });
  w.For(1500);
  cr_assert_leq(w.store.CallCount("/-/kv-range") - listings, 1);
}

Test(feed, wrong_questions_get_a_clear_answer) {
  hosts_world w(17541);
  w.Settle();
  auto ask = [&](const std::string& path) {
    int status = 0;
    w.hosts[0]->http->Start({.method = "GET",
                             .to = w.hosts[0]->own.peer_address,
                             .path = path,
                             .timeout = kSecond},
                            [&](const fetch_result& r) { status = r.status; });
    w.Until([&] { return status != 0; });
    return status;
  };
  cr_assert_eq(ask("/changes?after=x&wait_ms=0"), 400);
  cr_assert_eq(ask("/changes?after=1&wait_ms=-1"), 400);
  cr_assert_eq(ask("/other"), 404);
}
