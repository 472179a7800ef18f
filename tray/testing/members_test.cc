// Tests of gossip membership: many hosts that exchange digests under a
// simulated clock.

#include "tray/members/members.h"

#include <criterion/criterion.h>

#include <map>
#include <set>
#include <string>
#include <vector>

using namespace baobabtray;  // NOLINT: test file

namespace {

// A fleet in one process. Hosts in different partitions do not reach each
// other.
struct fleet_of_hosts {
  std::vector<membership> hosts;
  std::vector<bool> up;
  std::vector<int> partition;
  std::mt19937_64 random{5};
  micros now = 0;
  int messages = 0;

  explicit fleet_of_hosts(int count) : up(count, true), partition(count, 0) {
    for (int i = 0; i < count; ++i) {
      membership m;
      m.self = {.name = "h" + std::to_string(i),
                .data_centre = "d",
                .peer_address = {"127.0.0.1", static_cast<uint16_t>(1000 + i)},
                .incarnation = 1};
      m.seeds = {{"127.0.0.1", 1000}, {"127.0.0.1", 1001}};
      hosts.push_back(m);
    }
  }

  void Exchange(int from, int to) {
    ++messages;
    bool reachable = up[to] && partition[from] == partition[to];
    if (!reachable) {
      OnNoReply(&hosts[from], hosts[to].self.name, now);
      return;
    }
    std::vector<member> sent = TakePendingChanges(&hosts[from]);
    std::vector<member> received = TakePendingChanges(&hosts[to]);
    OnContact(&hosts[to], hosts[from].self, now);
    OnContact(&hosts[from], hosts[to].self, now);
    for (const member& m : sent) MergeMember(&hosts[to], m, now);
    for (const member& m : received) MergeMember(&hosts[from], m, now);
  }

  void Round() {
    now += kDigestPeriod;
    for (size_t i = 0; i < hosts.size(); ++i) {
      if (!up[i]) continue;
      ExpireMembers(&hosts[i], now);
      auto peer = PickPeer(hosts[i], &random);
      if (peer) Exchange(static_cast<int>(i), peer->port - 1000);
    }
  }

  // Returns true if every running host sees exactly `expected` live hosts.
  bool AllSee(size_t expected) const {
    for (size_t i = 0; i < hosts.size(); ++i) {
      if (up[i] && LiveMembers(hosts[i]).size() != expected) return false;
    }
    return true;
  }

  // Returns the number of rounds until AllSee, or `max_rounds`.
  int RoundsUntilAllSee(size_t expected, int max_rounds) {
    for (int i = 0; i < max_rounds; ++i) {
      if (AllSee(expected)) return i;
      Round();
    }
    return max_rounds;
  }
};

}  // namespace

Test(members, discover_each_other_from_two_seeds) {
  for (int count : {2, 8, 32, 64}) {
    fleet_of_hosts f(count);
    cr_assert_lt(f.RoundsUntilAllSee(count, 60), 60, "%d hosts", count);
  }
}

Test(members, all_hosts_detect_a_dead_host) {
  fleet_of_hosts f(32);
  f.RoundsUntilAllSee(32, 60);
  f.up[9] = false;
  cr_assert_lt(f.RoundsUntilAllSee(31, 60), 60);
}

Test(members, restarted_host_with_the_same_name_is_live_again) {
  fleet_of_hosts f(8);
  f.RoundsUntilAllSee(8, 60);
  f.up[3] = false;
  f.RoundsUntilAllSee(7, 60);
  membership restarted;
  restarted.self = f.hosts[3].self;
  restarted.self.incarnation = 99;
  restarted.seeds = f.hosts[3].seeds;
  f.hosts[3] = restarted;
  f.up[3] = true;
  cr_assert_lt(f.RoundsUntilAllSee(8, 60), 60);
}

Test(members, false_suspicion_is_refuted) {
  fleet_of_hosts f(8);
  f.RoundsUntilAllSee(8, 60);
  OnNoReply(&f.hosts[0], "h5", f.now);
  for (int i = 0; i < 40; ++i) f.Round();
  cr_assert(f.AllSee(8));
}

Test(members, network_partition_heals) {
  fleet_of_hosts f(12);
  f.RoundsUntilAllSee(12, 60);
  for (int i = 6; i < 12; ++i) f.partition[i] = 1;
  cr_assert_lt(f.RoundsUntilAllSee(6, 80), 80);
  for (int i = 6; i < 12; ++i) f.partition[i] = 0;
  cr_assert_lt(f.RoundsUntilAllSee(12, 200), 200);
}

Test(members, shares_are_retained_after_a_host_dies) {
  fleet_of_hosts f(3);
  f.RoundsUntilAllSee(3, 60);
  OnNoReply(&f.hosts[0], "h1", f.now);
  f.now += kSuspectTimeout + 1;
  ExpireMembers(&f.hosts[0], f.now);
  cr_assert_eq(LiveMembers(f.hosts[0]).size(), 2u);
  cr_assert_eq(ShareHolders(f.hosts[0], f.now).size(), 3u);
  cr_assert_eq(ShareHolders(f.hosts[0], f.now + kShareRetention).size(), 2u);
}

Test(members, messages_per_host_and_round_are_constant) {
  for (int count : {8, 64}) {
    fleet_of_hosts f(count);
    f.RoundsUntilAllSee(count, 60);
    f.messages = 0;
    for (int i = 0; i < 10; ++i) f.Round();
    cr_assert_eq(f.messages, 10 * count);
    for (membership& m : f.hosts) {
      cr_assert_leq(TakePendingChanges(&m).size(),
                    (size_t)kMaxChangesPerDigest);
    }
  }
}
