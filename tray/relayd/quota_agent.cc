// Questions to lenders and answers to borrowers.

#include "tray/relayd/quota_agent.h"

#include <algorithm>
#include <chrono>
#include <random>
#include <set>
#include <utility>

#include "tray/base/clock.h"
#include "tray/base/log.h"
#include "tray/base/strings.h"
#include "tray/relayd/quota_wire.h"

namespace baobabtray {
namespace {

constexpr micros kReviewInterval = 500 * kMillisecond;
// While all hosts restart, most questions fail.
constexpr micros kFailureLogInterval = 1 * kSecond;
// Exact in JSON.
constexpr uint64_t kInstanceMask = (1ULL << 53) - 1;

uint64_t NewInstance() {
  std::random_device random;
  return ((static_cast<uint64_t>(random()) << 32) | random()) & kInstanceMask;
}

std::vector<std::string> Regions(const relay_settings& own) {
  std::set<std::string> regions;
  for (const data_centre_region& at : own.data_centre_regions) {
    regions.insert(at.region);
  }
  return {regions.begin(), regions.end()};
}

}  // namespace

int RegionCount(const relay_settings& own) {
  return std::max(1, static_cast<int>(Regions(own).size()));
}

int RegionIndex(const relay_settings& own, std::string_view data_centre) {
  std::vector<std::string> regions = Regions(own);
  for (const data_centre_region& at : own.data_centre_regions) {
    if (at.data_centre != data_centre) continue;
    return static_cast<int>(
        std::find(regions.begin(), regions.end(), at.region) - regions.begin());
  }
  return -1;
}

quota_bounds QuotaBoundsOf(const relay_settings& own) {
  return {.window = own.quota_window,
          .overage = own.quota_overage,
          .slack = own.quota_slack};
}

quota_agent::quota_agent(asio::io_context& loop, fetcher* http,
                         relay_metrics* counters, quota_agent_options options)
    : http_(*http),
      counters_(*counters),
      options_(std::move(options)),
      review_timer_(loop),
      owners_{.regions = RegionCount(options_.own.relay)},
      lender_{.bounds = QuotaBoundsOf(options_.own.relay)},
      instance_(NewInstance()) {}

void quota_agent::Start() {
  if (lender_.bounds.window == 0) return;
  review_timer_.expires_after(std::chrono::microseconds(kReviewInterval));
  review_timer_.async_wait([this](std::error_code error) {
    if (error) return;
    ReviewStanding();
    Start();
  });
}

void quota_agent::ApplyUpdates(const std::vector<store_update>& updates) {
  if (lender_.bounds.window == 0) return;
  bool changed = false;
  for (const store_update& update : updates) {
    if (const auto* routes = std::get_if<routes_update>(&update)) {
      ApplyRoutes(*routes->table);
      changed = true;
    } else if (const auto* host = std::get_if<host_update>(&update)) {
      ApplyHost(*host);
      changed = true;
    } else if (const auto* size = std::get_if<fleet_size_update>(&update)) {
      recorded_hosts_ = size->hosts;
    }
  }
  if (!changed) return;
  ReviewStanding();
  ReviewLoans();
}

void quota_agent::ApplyRoutes(const route_table& table) {
  if (table.version <= version_) return;
  version_ = table.version;
  limits_.clear();
  std::vector<std::string> names;
  for (const customer_config& customer : table.customers) {
    if (customer.max_rate <= 0) continue;
    limits_[customer.name] = {.rate = customer.max_rate,
                              .burst = customer.max_burst};
    names.push_back(customer.name);
  }
  SetQuotaCustomers(&owners_, names);
}

void quota_agent::ApplyHost(const host_update& update) {
  const std::string& name = update.host.name;
  if (!update.live) {
    RemoveQuotaHost(&owners_, name);
    addresses_.erase(name);
    if (name == options_.own.name) entry_lost_at_ = SteadyNow();
    return;
  }
  UpsertQuotaHost(&owners_, name,
                  RegionIndex(options_.own.relay, update.host.data_centre));
  addresses_[name] = update.host.peer_address;
}

lender_standing quota_agent::ReviewStanding() {
  host_entry entry = options_.entry();
  micros since = std::max(entry.since, entry_lost_at_);
  // An entry that was there already needs no time to become known.
  micros settled_at = since == 0 ? 1 : since + kMaxLenderViewAge;
  if (entry.valid_until == 0) settled_at = 0;
  bool changed = settled_at != settled_at_;
  settled_at_ = settled_at;
  if (changed || MayOpenLoans() != loans_open_) ReviewLoans();
  return {.entry_valid_until = entry.valid_until,
          .view_as_of = entry.view_as_of,
          .settled_at = settled_at};
}

bool quota_agent::MayOpenLoans() const {
  return !stopped_ && settled_at_ != 0 && SteadyNow() >= settled_at_;
}

// Opens and closes accounts by the present members and limits.
void quota_agent::ReviewLoans() {
  micros now = SteadyNow();
  bool were_open = loans_open_;
  loans_open_ = MayOpenLoans();
  bool waited = settled_at_ >= kMaxLenderViewAge;  // else the entry was there
  OpenLoans(&lender_,
            loans_open_ ? limits_ : std::map<std::string, quota_limit>(),
            owners_, options_.own.name, !were_open && waited, now);
  size_t loans = lender_.accounts.size();
  if (loans == logged_loans_) return;
  logged_loans_ = loans;
  counters_.SetQuotaParts(static_cast<int>(loans));
  Log(log_level::kInfo, "quota_parts_lent",
      {{"parts", std::to_string(loans)},
       {"hosts", std::to_string(owners_.hosts.size())},
       {"version", std::to_string(version_)}});
}

void quota_agent::StopLending() {
  stopped_ = true;
  ReviewLoans();
}

quota_answer quota_agent::Answer(const quota_question& question) {
  micros now = SteadyNow();
  bool may_lend = MayLend(ReviewStanding(), now);
  if (stopped_ || !may_lend) return {};
  quota_answer answer = AnswerQuestion(&lender_, question, now);
  counters_.CountQuotaCredits(question.wanted, answer.granted);
  return answer;
}

void quota_agent::HandleQuestion(const http_request& r,
                                 const responder& respond) {
  absl::StatusOr<quota_question> question = DecodeQuotaQuestion(r.body);
  if (!question.ok()) {
    Log(log_level::kWarning, "quota_question_malformed",
        {{"reason", MessageOf(question.status()).substr(0, 300)}});
    return respond({.status = 400, .body = R"({"error":"malformed"})"});
  }
  respond({.body = EncodeQuotaAnswer(Answer(*question))});
}

void quota_agent::Ask(lender_question question) {
  quota_question message{.host = options_.own.name,
                         .instance = instance_,
                         .sequence = ++sequence_,
                         .customer = question.customer,
                         .part = question.part,
                         .wanted = question.wanted,
                         .returned = std::move(question.returned)};
  std::string lender(QuotaLender(owners_, question.customer, question.part));
  if (lender == options_.own.name) {
    return Finish(question, lender, Answer(message));
  }
  auto address = addresses_.find(lender);
  if (address == addresses_.end() || address->second.port == 0) {
    return Finish(question, lender, absl::UnavailableError("no lender"));
  }
  http_.Start(
      {.to = address->second,
       .path = std::string(kQuotaPath),
       .body = std::make_shared<std::string>(EncodeQuotaQuestion(message)),
       .timeout = kLenderAnswerLimit,
       .connect_timeout = kLenderAnswerLimit,
       .avoid_silent = true},
      [this, question = std::move(question), lender](const fetch_result& r) {
        if (r.fault != fetch_fault::kNone || r.status != 200) {
          return Finish(
              question, lender,
              absl::UnavailableError(
                  r.fault == fetch_fault::kNone
                      ? std::to_string(r.status)
                      : std::string(NameOf(kFetchFaultNames, r.fault))));
        }
        Finish(question, lender, DecodeQuotaAnswer(r.body));
      });
}

void quota_agent::Finish(const lender_question& question,
                         std::string_view lender,
                         absl::StatusOr<quota_answer> answer) {
  lender_reply reply;
  if (answer.ok()) reply.answer = *answer;
  bool lends = answer.ok() && answer->lends;
  counters_.CountQuotaQuestion(!answer.ok() ? quota_question_end::kNoAnswer
                               : answer->lends
                                   ? quota_question_end::kAnswered
                                   : quota_question_end::kNotLending);
  if (!lends) {
    reply.fallback = FallbackFor(question.customer);
    LogFailure(question, lender,
               answer.ok() ? "does not lend" : MessageOf(answer.status()),
               reply.fallback);
  }
  options_.reply(question.number, reply);
}

void quota_agent::LogFailure(const lender_question& question,
                             std::string_view lender, std::string_view problem,
                             int fallback) {
  micros now = SteadyNow();
  if (failure_logged_at_ != 0 &&
      now - failure_logged_at_ < kFailureLogInterval) {
    ++failures_not_logged_;
    return;
  }
  failure_logged_at_ = now;
  Log(log_level::kInfo, "quota_lender_unavailable",
      {{"customer", question.customer},
       {"part", std::to_string(question.part)},
       {"lender", std::string(lender)},
       {"problem", std::string(problem.substr(0, 200))},
       {"fallback", std::to_string(fallback)},
       {"not_logged", std::to_string(std::exchange(failures_not_logged_, 0))}});
}

// Hosts on record that are not seen count, and rank first.
int quota_agent::FallbackFor(const std::string& customer) const {
  auto limit = limits_.find(customer);
  if (limit == limits_.end()) return 0;
  int live = static_cast<int>(owners_.hosts.size());
  int unseen = std::max(recorded_hosts_ - live, 0);
  return FallbackOf(FallbackTotal(limit->second, lender_.bounds),
                    unseen + FallbackRank(owners_, customer, options_.own.name),
                    live + unseen);
}

}  // namespace baobabtray
