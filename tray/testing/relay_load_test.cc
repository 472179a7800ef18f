// Tests of the relay's decisions under heavy load, on the load model. Each test
// is named after the pattern of load that it plays.

#include <criterion/criterion.h>

#include "tray/relay/overload.h"
#include "tray/testing/relay_load_model.h"

using namespace baobabtray;  // NOLINT: test file

namespace {

// Sum over the seconds [first, last).
load_model_second Sum(const load_model_result& r, int first, int last) {
  load_model_second sum;
  for (int i = first; i < last; ++i) {
    const load_model_second& s = r.seconds[i];
    sum.requests += s.requests;
    sum.on_time += s.on_time;
    sum.rejected += s.rejected;
    sum.unserved += s.unserved;
    sum.failed += s.failed;
  }
  return sum;
}

double Share(int part, int all) { return static_cast<double>(part) / all; }

load_model_options Burst(double factor, uint64_t seed) {
  return {
      .seed = seed,
      .hosts = 66,
      .shards = 36,
      .requests_per_s = 160,
      .duration = 14 * kSecond,
      .bursts = {{.start = 4 * kSecond, .end = 9 * kSecond, .factor = factor}},
      .min_coverage = 0.95};
}

}  // namespace

// Hedges and callers' retries would keep queues full after the burst has ended.
Test(load, burst_beyond_capacity_does_not_outlast_itself) {
  for (uint64_t seed : {1, 2, 3}) {
    load_model_result r = RunLoadModel(Burst(3, seed));
    load_model_second burst = Sum(r, 4, 9);
    load_model_second after = Sum(r, 10, 13);
    cr_expect(Share(burst.on_time, burst.requests) >= 0.5,
              "seed %lu: %d of %d on time in the burst", seed, burst.on_time,
              burst.requests);
    load_model_second all = Sum(r, 0, 14);
    cr_expect(Share(all.failed, all.requests) <= 0.01,
              "seed %lu: %d of %d failed", seed, all.failed, all.requests);
    cr_expect(Share(after.on_time, after.requests) >= 0.95,
              "seed %lu: %d of %d on time after the burst", seed, after.on_time,
              after.requests);
  }
}

Test(load, burst_within_capacity_is_served) {
  load_model_result r = RunLoadModel(Burst(1.7, 1));
  load_model_second burst = Sum(r, 4, 9);
  cr_expect(Share(burst.rejected, burst.requests) <= 0.02, "%d of %d rejected",
            burst.rejected, burst.requests);
  cr_expect(Share(burst.on_time, burst.requests) >= 0.95, "%d of %d on time",
            burst.on_time, burst.requests);
}

// A server with few slots queues at a utilization at which others do not.
Test(load, servers_with_few_slots_are_not_taken_for_overloaded) {
  for (int slots : {1, 2, 8}) {
    load_model_options options = Burst(1, 1);
    options.slots = slots;
    // 55% of the slots of three servers of each shard, without extra requests.
    options.requests_per_s =
        0.55 * 3 * slots * kSecond / static_cast<double>(options.work * 1.06);
    options.pause = 0;
    options.duration = 6 * kSecond;
    load_model_result r = RunLoadModel(options);
    load_model_second all = Sum(r, 1, 6);
    cr_expect(Share(all.rejected, all.requests) <= 0.02,
              "%d slots: %d of %d rejected", slots, all.rejected, all.requests);
  }
}

Test(load, less_urgent_requests_are_rejected_first_but_not_all) {
  load_model_result r = RunLoadModel(Burst(3, 1));
  double urgent = Share(r.urgent.rejected, r.urgent.requests);
  double less = Share(r.less_urgent.rejected, r.less_urgent.requests);
  cr_expect(urgent < less, "%f of urgent requests, %f of others", urgent, less);
  cr_expect(Share(r.less_urgent.unserved, r.less_urgent.requests) < 0.5);
}

Test(load, queues_are_forgotten_without_new_reports) {
  load_estimate e;
  RecordReportedLoad(&e, {.running = 4, .waiting = 24}, 4, 10 * kSecond);
  cr_expect(RejectedFraction(LoadPerSlot(e, 10 * kSecond), 2) > 0.5);
  cr_expect(RejectedFraction(LoadPerSlot(e, 12 * kSecond), 2) == 0);
}
