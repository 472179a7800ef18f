// Tests of route tables: checks and matching.

#include "tray/routes/routes.h"

#include <criterion/criterion.h>

#include <string>

#include "tray/base/strings.h"

using namespace baobabtray;  // NOLINT: test file

namespace {

route_config Single(const std::string& host, const std::string& prefix) {
  return {.name = host + prefix,
          .host = host,
          .prefix = prefix,
          .time_limit = kSecond,
          .target_latency = 100 * kMillisecond,
          .targets = {{.service = "s"}}};
}

route_config Gather(int shards, double coverage) {
  route_config r = Single("h", "/g/");
  r.targets.clear();
  for (int i = 0; i < shards; ++i) r.shards.push_back("s" + std::to_string(i));
  r.top_records = 5;
  r.min_coverage = coverage;
  return r;
}

std::string ProblemOf(const route_config& r) {
  route_table t{.version = 1, .routes = {r}};
  absl::Status s = ValidateAndIndexRoutes(&t);
  return s.ok() ? "" : MessageOf(s);
}

}  // namespace

Test(routes, longest_prefix_of_the_host_wins) {
  route_table t{.routes = {Single("a", "/"), Single("a", "/x/"),
                           Single("a", "/x/y/"), Single("b", "/x/")}};
  cr_assert(ValidateAndIndexRoutes(&t).ok());
  cr_assert_eq(MatchRoute(t, "a", "/x/y/z"), &t.routes[2]);
  cr_assert_eq(MatchRoute(t, "a", "/x/yz"), &t.routes[1]);
  cr_assert_eq(MatchRoute(t, "a", "/q"), &t.routes[0]);
  cr_assert_eq(MatchRoute(t, "b", "/x/y/z"), &t.routes[3]);
  cr_assert_null(MatchRoute(t, "b", "/q"));
  cr_assert_null(MatchRoute(t, "c", "/x/"));
}

Test(routes, wrong_routes_refuse_the_table) {
  cr_assert_eq(ProblemOf(Single("a", "/x/")), "");
  cr_assert_neq(ProblemOf(Single("a", "x/")), "");
  cr_assert_neq(ProblemOf(Single("a", "/x")), "");
  route_config r = Single("a", "/");
  r.max_servers = 0;
  cr_assert_neq(ProblemOf(r), "");
  r = Single("a", "/");
  r.targets[0].weight = 0;
  cr_assert_neq(ProblemOf(r), "");
  r = Gather(2, 1);
  r.kind = request_kind::kNonIdempotent;
  cr_assert_neq(ProblemOf(r), "");
  r = Gather(2, 1);
  r.shards[1] = r.shards[0];
  cr_assert_neq(ProblemOf(r), "");
  r = Gather(2, 1.5);
  cr_assert_neq(ProblemOf(r), "");
  route_table twice{.routes = {Single("a", "/x/"), Single("a", "/x/")}};
  cr_assert_not(ValidateAndIndexRoutes(&twice).ok());
}

Test(routes, least_parts_are_rounded_up) {
  cr_assert_eq(MinParts(Gather(10, 0.89)), 9);
  cr_assert_eq(MinParts(Gather(10, 0.9)), 9);
  cr_assert_eq(MinParts(Gather(15, 0.89)), 14);
  cr_assert_eq(MinParts(Gather(10, 0.75)), 8);
  cr_assert_eq(MinParts(Gather(10, 0)), 1);
  cr_assert_eq(MinParts(Gather(3, 1)), 3);
}
