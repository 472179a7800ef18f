// The control thread's part of customers' limits: lends this host's parts to
// other hosts, and asks other lenders for this host's traffic thread, which
// holds the borrower. docs/design/quotas.md has the protocol.
//
// All calls happen on the loop's thread. Without customers that have a limit
// the agent sends nothing.

#ifndef TRAY_RELAYD_QUOTA_AGENT_H_
#define TRAY_RELAYD_QUOTA_AGENT_H_

#include <asio.hpp>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "tray/http/fetch.h"
#include "tray/http/serve.h"
#include "tray/quota/borrower.h"
#include "tray/quota/lender.h"
#include "tray/quota/quota.h"
#include "tray/relay/ports.h"
#include "tray/relayd/relay_metrics.h"
#include "tray/text/settings.h"

namespace baobabtray {

// Of the fleet's regions as listed in the settings; -1: not listed.
int RegionIndex(const relay_settings& own, std::string_view data_centre);
int RegionCount(const relay_settings& own);
quota_bounds QuotaBoundsOf(const relay_settings& own);

// What the store's watcher knows of this host's entry.
struct host_entry {
  micros since = 0;        // 0: before this process started
  micros valid_until = 0;  // the store can't let it lapse before; 0: none
  micros view_as_of = 0;
};

struct quota_agent_options {
  settings own;
  std::function<host_entry()> entry;
  // Passes on what came of a question.
  std::function<void(uint64_t question, lender_reply reply)> reply;
};

class quota_agent {
 public:
  // `http` and `counters` must outlive the agent.
  quota_agent(asio::io_context& loop, fetcher* http, relay_metrics* counters,
              quota_agent_options options);

  // Starts to review this host's right to lend, if limits are enforced.
  void Start();
  // Applies updates in the store's order.
  void ApplyUpdates(const std::vector<store_update>& updates);
  // Asks the lender. Its reply comes within kLenderAnswerLimit.
  void Ask(lender_question question);
  // Answers another host's question.
  void HandleQuestion(const http_request& r, const responder& respond);
  // Lends nothing any more.
  void StopLending();

 private:
  void ApplyRoutes(const route_table& table);
  void ApplyHost(const host_update& update);
  // Returns what this host knows of its right to lend, and opens or closes its
  // accounts if that has changed.
  lender_standing ReviewStanding();
  void ReviewLoans();
  bool MayOpenLoans() const;
  quota_answer Answer(const quota_question& question);
  void Finish(const lender_question& question, std::string_view lender,
              absl::StatusOr<quota_answer> answer);
  void LogFailure(const lender_question& question, std::string_view lender,
                  std::string_view problem, int fallback);
  int FallbackFor(const std::string& customer) const;

  fetcher& http_;
  relay_metrics& counters_;
  quota_agent_options options_;
  asio::steady_timer review_timer_;
  quota_owners owners_;
  quota_lender lender_;
  std::map<std::string, quota_limit> limits_;  // by customer; only limited ones
  std::map<std::string, endpoint> addresses_;  // of live hosts
  int64_t version_ = 0;
  int recorded_hosts_ = 0;
  bool stopped_ = false;
  micros entry_lost_at_ = 0;  // when the store reported it
  micros settled_at_ = 0;     // see lender_standing
  micros failure_logged_at_ = 0;
  int failures_not_logged_ = 0;
  bool loans_open_ = false;
  size_t logged_loans_ = 0;
  const uint64_t instance_;
  uint64_t sequence_ = 0;
};

}  // namespace baobabtray

#endif  // TRAY_RELAYD_QUOTA_AGENT_H_
