// Tests of shares, windows and latency tracks.

#include <criterion/criterion.h>

#include <random>
#include <string>
#include <vector>

#include "tray/base/hash.h"
#include "tray/fleet/hedge.h"
#include "tray/fleet/latency.h"
#include "tray/fleet/shares.h"
#include "tray/fleet/window.h"

using namespace baobabtray;  // NOLINT: test file

namespace {

std::vector<host_hashes> Hosts(int count) {
  std::vector<host_hashes> hosts;
  for (int i = 0; i < count; ++i) {
    hosts.push_back({HashOf("host-" + std::to_string(i)), HashOf("dc")});
  }
  return hosts;
}

server_report Report(uint64_t boot, uint64_t uptime, reported_state state) {
  return {.stamp = {boot, uptime}, .state = state};
}

// A window that holds `share`, warm after enough clean replies.
server_window WarmWindow(int share, int cold_limit = 1, int rank = 0,
                         int owners = 1) {
  server_window w{.cold_limit = cold_limit};
  SetShare(&w, rank, owners, share, 0, 0);
  for (int i = 0; i < 4 * share + 4; ++i) {
    OnSend(&w);
    OnReply(&w, Report(1, i + 1, reported_state::kReady), 5000, 1);
  }
  return w;
}

}  // namespace

Test(shares, add_up_exactly_for_every_fleet_and_total) {
  for (int hosts = 1; hosts <= 40; ++hosts) {
    for (int total : {1, 2, 3, 7, 22, 31, 88}) {
      std::vector<int> owners =
          OwnersOf(HashOf("s"), HashOf("dc"), Hosts(hosts));
      int sum = 0;
      for (size_t rank = 0; rank < owners.size(); ++rank) {
        sum += ShareOfRank(total, static_cast<int>(rank),
                           static_cast<int>(owners.size()));
      }
      cr_assert_eq(sum, total);
    }
  }
}

Test(shares, move_little_when_a_host_leaves) {
  std::vector<host_hashes> all = Hosts(40);
  std::vector<host_hashes> fewer(all.begin(), all.end() - 1);
  int moved = 0;
  for (int s = 0; s < 200; ++s) {
    uint64_t server = HashOf("server-" + std::to_string(s));
    std::vector<int> before = OwnersOf(server, HashOf("dc"), all);
    std::vector<int> after = OwnersOf(server, HashOf("dc"), fewer);
    for (int owner : after) {
      moved += std::find(before.begin(), before.end(), owner) == before.end();
    }
  }
  // One host of 40 owned an eighth-owner place in a fifth of the servers.
  cr_assert_leq(moved, 200 * kMaxOwners * 2 / 40);
}

Test(shares, prefer_hosts_of_the_servers_data_centre) {
  std::vector<host_hashes> hosts = Hosts(30);
  for (int i = 0; i < 10; ++i) hosts[i].data_centre = HashOf("other");
  for (int owner : OwnersOf(HashOf("s"), HashOf("other"), hosts)) {
    cr_assert_lt(owner, 10);
  }
}

Test(window, raised_share_waits_and_lowered_share_does_not) {
  server_window w = WarmWindow(4);
  SetShare(&w, 0, 1, 6, 1000, kShareSettle);
  cr_assert_eq(AvailableCapacity(w, 1000), 4);
  cr_assert_eq(AvailableCapacity(w, 1000 + kShareSettle), 6);
  SetShare(&w, 0, 2, 3, 2000 + kShareSettle, kShareSettle);
  cr_assert_eq(AvailableCapacity(w, 2000 + kShareSettle), 3);
}

Test(window, new_boot_id_means_cold_until_a_reply_says_ready) {
  server_window w = WarmWindow(8);
  cr_assert_eq(AvailableCapacity(w, 1), 8);
  OnSend(&w);
  OnReply(&w, Report(2, 1, reported_state::kCold), 5000, 2);
  cr_assert_eq(AvailableCapacity(w, 2), 1);
  OnSend(&w);
  cr_assert_eq(AvailableCapacity(w, 2), 0);
  OnReply(&w, Report(2, 2, reported_state::kReady), 5000, 3);
  cr_assert_eq(AvailableCapacity(w, 3), 1, "warming starts at one");
}

Test(window, older_report_never_undoes_a_newer_one) {
  server_window w = WarmWindow(8);
  OnReport(&w, report_source::kPeer, Report(3, 5, reported_state::kCold), 5);
  cr_assert_eq(w.phase, window_phase::kCold);
  OnReport(&w, report_source::kPeer, Report(2, 900, reported_state::kReady), 6);
  OnReport(&w, report_source::kPeer, Report(3, 4, reported_state::kReady), 6);
  cr_assert_eq(w.phase, window_phase::kCold);
  OnReport(&w, report_source::kPeer, Report(3, 6, reported_state::kLeaving), 7);
  OnSend(&w);
  OnReply(&w, Report(3, 5, reported_state::kReady), 5000, 8);
  cr_assert_eq(AvailableCapacity(w, 9), 0,
               "a late reply does not undo leaving");
}

Test(window, health_can_lower_but_not_raise_trust) {
  server_window w = WarmWindow(8, 1, 1, 2);  // no cold share
  OnReport(&w, report_source::kHealth, Report(2, 1, reported_state::kReady), 5);
  cr_assert_eq(w.phase, window_phase::kCold, "a new boot is cold");
  OnReport(&w, report_source::kHealth, Report(2, 9, reported_state::kReady), 6);
  cr_assert_eq(AvailableCapacity(w, 6), 0,
               "health alone never ends a cold phase");
  OnReport(&w, report_source::kPeer, Report(2, 10, reported_state::kReady), 7);
  cr_assert_eq(AvailableCapacity(w, 7), 1);
}

Test(window, host_without_cold_share_sends_nothing_to_a_cold_server) {
  server_window w = WarmWindow(8, 1, 3, 8);
  OnReport(&w, report_source::kPeer, Report(2, 1, reported_state::kCold), 5);
  cr_assert_eq(AvailableCapacity(w, 5 + kSecond), 0);
}

Test(window, refused_connection_holds_back_and_probes_once) {
  server_window w = WarmWindow(8);
  for (int i = 0; i < 3; ++i) OnSend(&w);
  OnFault(&w, connection_fault::kRefused, 100);
  OnFault(&w, connection_fault::kRefused, 100);
  OnFault(&w, connection_fault::kRefused, 100);
  cr_assert_eq(w.backoff, kFirstBackoff, "refused together is one event");
  cr_assert_eq(AvailableCapacity(w, 100 + kFirstBackoff - 1), 0);
  cr_assert_eq(AvailableCapacity(w, 100 + kFirstBackoff), 1);
}

Test(window, silent_connections_do_not_hold_a_server_that_answers) {
  server_window w = WarmWindow(8);
  for (int i = 0; i < 20; ++i) {
    OnSend(&w);
    OnFault(&w, connection_fault::kSilent, i);
    OnSend(&w);
    OnReply(&w, Report(1, 1000 + i, reported_state::kReady), 5000, i);
    cr_assert_neq(w.phase, window_phase::kHeld);
  }
  for (int i = 0; i < kSilentStreak; ++i) {
    OnSend(&w);
    OnFault(&w, connection_fault::kSilent, 1000);
  }
  cr_assert_eq(w.phase, window_phase::kHeld, "a server that never answers");
}

Test(window, shrinks_on_slow_replies_in_a_row_and_regrows) {
  server_window w = WarmWindow(8);
  for (int i = 0; i < kSlowStreak; ++i) {
    OnSend(&w);
    OnReply(&w, Report(1, 500 + i, reported_state::kReady), 100'000, 10);
  }
  cr_assert_eq(AvailableCapacity(w, 10), 4);
  for (int i = 0; i < 100; ++i) {
    OnSend(&w);
    OnReply(&w, Report(1, 600 + i, reported_state::kReady), 5000, 11);
  }
  cr_assert_eq(AvailableCapacity(w, 12), 8);
}

Test(latency, quantiles_ignore_a_slow_twentieth) {
  latency_histogram t;
  std::mt19937_64 random(7);
  for (int i = 0; i < 5000; ++i) {
    RecordLatency(&t, random() % 20 == 0 ? 50'000 : 5'000);
  }
  micros median = MedianOf(t, 0);
  cr_assert_geq(median, 5'000);
  cr_assert_leq(median, 6'250);
  cr_assert_leq(HedgeDelay(hedge_mode::kLastFew, t, 1), 12'500);
}

Test(hedge, budget_bounds_extra_load) {
  budget b{.rate = 0.05, .most = kMaxHedgeTokens};
  int hedges = 0;
  for (int i = 0; i < 10'000; ++i) {
    Earn(&b, 1);
    hedges += SpendHedge(&b, 1);
    hedges += SpendHedge(&b, 2);
  }
  cr_assert_leq(hedges, 500);
  cr_assert_geq(hedges, 450);
}
