// Messages between a borrower and a lender of quota (tray/quota/quota.h), as
// JSON over the peers' HTTP interface: POST /quota.
//
// Decoders read strictly: a message with an odd field is an error as a whole.

#ifndef TRAY_RELAYD_QUOTA_WIRE_H_
#define TRAY_RELAYD_QUOTA_WIRE_H_

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "tray/quota/quota.h"

namespace baobabtray {

constexpr std::string_view kQuotaPath = "/quota";

std::string EncodeQuotaQuestion(const quota_question& question);
absl::StatusOr<quota_question> DecodeQuotaQuestion(std::string_view text);
std::string EncodeQuotaAnswer(const quota_answer& answer);
absl::StatusOr<quota_answer> DecodeQuotaAnswer(std::string_view text);

}  // namespace baobabtray

#endif  // TRAY_RELAYD_QUOTA_WIRE_H_
