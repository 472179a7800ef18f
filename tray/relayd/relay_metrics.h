// Prometheus metrics of a relaying host. Thread-safe.

#ifndef TRAY_RELAYD_RELAY_METRICS_H_
#define TRAY_RELAYD_RELAY_METRICS_H_

#include <memory>
#include <string>
#include <string_view>

#include "tray/base/enum_names.h"
#include "tray/http/serve.h"
#include "tray/quota/borrower.h"
#include "tray/relay/ports.h"

namespace baobabtray {

// How a question to a lender of quota ended.
enum class quota_question_end { kAnswered, kNotLending, kNoAnswer };
constexpr name_table<quota_question_end, 3> kQuotaQuestionEndNames = {{
    {quota_question_end::kAnswered, "answered"},
    {quota_question_end::kNotLending, "not_lending"},
    {quota_question_end::kNoAnswer, "no_answer"},
}};

class relay_metrics {
 public:
  relay_metrics();
  ~relay_metrics();

  // Counts under the label kind="gather" if `gathers`, else kind="single".
  void CountRequest(bool is_sharded, relay_outcome outcome, micros latency);
  void CountLocalReply(local_reply answer);
  void CountAttempt(bool extra, relay_attempt_outcome end);
  void CountServerEvent(server_event event);
  // A request was sent to a server of this rank (PickServer).
  void CountChoice(int rank);
  void CountSlowdown(double slowdown);  // reported in a reply
  void CountClientFault(client_fault fault);
  void SetClientBytes(size_t bytes);
  void CountStoreCall(std::string_view call, store_status end);
  void CountQuotaResult(quota_result result);
  void CountQuotaQuestion(quota_question_end end);
  // As a lender.
  void CountQuotaCredits(int wanted, int granted);
  void SetQuotaParts(int parts);
  void SetRoutes(int64_t version, int routes);
  // `errors`: customers and keys of the configuration that were left out.
  void SetCustomers(int customers, int errors);
  // A request refused since the host's knowledge of keys is too old.
  void CountStaleKeys();
  // Rises when the store comes back from an older copy.
  void SetStoreEra(uint64_t era);
  void SetServers(int servers, int hosts);
  // Of the service's latest roll-out.
  void SetRolloutState(const std::string& service, rollout_state state);
  // Requests of this host since the order, and those to the target version.
  void SetRolloutRequests(const std::string& service, int64_t requests,
                          int64_t exposed);
  void SetInFlight(int requests);
  void SetConnectionsOpened(uint64_t opened);

  std::string Render() const;

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace baobabtray

#endif  // TRAY_RELAYD_RELAY_METRICS_H_
