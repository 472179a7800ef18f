// The traffic thread of a relaying host: callers' requests, their attempts at
// backend servers, and the routing state.
//
// One thread owns all of this, so no locks are needed. The control thread posts
// the decoded store items to it, and reads back only counters and dumps.

#ifndef TRAY_RELAYD_RELAY_WORKER_H_
#define TRAY_RELAYD_RELAY_WORKER_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "tray/http/byte_account.h"
#include "tray/quota/borrower.h"
#include "tray/relay/ports.h"
#include "tray/relayd/relay_metrics.h"
#include "tray/text/settings.h"

namespace baobabtray {

struct relay_codecs {
  caller_codec callers;
  server_codec servers;
};

class relay_worker {
 public:
  relay_worker(const settings& own, const relay_codecs& codecs,
               relay_metrics* counters);
  ~relay_worker();

  // Opens the listeners for callers and for readiness checks.
  absl::Status Listen();
  // Receives questions to lenders on the traffic thread. Each is answered by
  // PostQuotaReply. To be set before Run.
  void SetLenderQuestions(std::function<void(lender_question)> ask);
  // Runs the traffic thread's loop until Stop is called.
  void Run();

  // The following may be called from any thread.

  void Stop();
  void PostUpdates(std::vector<store_update> updates);
  // The updates posted next complete all changes that the store made before
  // `as_of` (steady clock). To be called whenever that is known anew, also
  // without updates: requests that need a key are refused if it is too old.
  void PostKnownAsOf(micros as_of);
  void PostQuotaReply(uint64_t question, lender_reply reply);
  // Makes readiness checks fail and asks callers to close their connections.
  // All requests are answered by `answer_by`: those that arrive too late for
  // that are rejected, and those still open then are answered as timed out.
  void StartDraining(micros answer_by);
  void StopAccepting();
  // Passes reports on the roll-outs that run to `done`, which runs on the
  // traffic thread.
  void PostRolloutReports(
      std::function<void(std::vector<rollout_report>)> done);
  void PostRolloutDirective(const rollout_directive& directive, micros made_at);
  // Requests without a written answer, and when the latest request arrived.
  int unanswered() const;
  // Of the bytes that the process holds for callers.
  const byte_account_ref& account() const;
  // The same for the host's other listeners.
  const byte_account_ref& control_account() const;
  micros last_request_time() const;
  // Passes the state as JSON to `done`, which runs on the traffic thread.
  void PostDump(std::function<void(std::string json)> done);

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace baobabtray

#endif  // TRAY_RELAYD_RELAY_WORKER_H_
