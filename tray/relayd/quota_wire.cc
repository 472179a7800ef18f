// JSON of quota questions and answers.

#include "tray/relayd/quota_wire.h"

#include <exception>
#include <nlohmann/json.hpp>

#include "tray/base/json.h"

namespace baobabtray {
namespace {

using nlohmann::json;

constexpr int kMaxCount = 1'000'000;
constexpr size_t kMaxReturnedTicks = 1'000;
// Integers up to here are exact in every JSON reader.
constexpr int64_t kMaxExact = 1LL << 53;

json ParseObject(std::string_view text) {
  json root = ParseJson(text);
  if (!root.is_object()) ThrowInvalidField("the message", "an object");
  return root;
}

}  // namespace

std::string EncodeQuotaQuestion(const quota_question& question) {
  json root = {{"host", question.host},         {"instance", question.instance},
               {"sequence", question.sequence}, {"customer", question.customer},
               {"part", question.part},         {"wanted", question.wanted}};
  if (!question.returned.empty()) {
    json& rows = root["returned"] = json::array();
    for (const auto& [tick, count] : question.returned) {
      rows.push_back({tick, count});
    }
  }
  // Names may hold any bytes.
  return root.dump(-1, ' ', false, json::error_handler_t::replace);
}

absl::StatusOr<quota_question> DecodeQuotaQuestion(std::string_view text) {
  try {
    json root = ParseObject(text);
    quota_question question{
        .host = StringOf(root.at("host"), "host"),
        .instance =
            IntegerOf<uint64_t>(root.at("instance"), "instance", 0, kMaxExact),
        .sequence =
            IntegerOf<uint64_t>(root.at("sequence"), "sequence", 0, kMaxExact),
        .customer = StringOf(root.at("customer"), "customer"),
        .part = IntegerOf<int>(root.at("part"), "part", 0, kQuotaLenders - 1),
        .wanted = IntegerOf<int>(root.at("wanted"), "wanted", 0, kMaxCount)};
    const json* rows = FindField(root, "returned");
    if (rows == nullptr) return question;
    if (ArrayOf(*rows, "returned").size() > kMaxReturnedTicks) {
      ThrowInvalidField("returned", "shorter");
    }
    for (const json& row : *rows) {
      if (ArrayOf(row, "returned").size() != 2) {
        ThrowInvalidField("returned", "pairs");
      }
      auto tick = IntegerOf<int64_t>(row[0], "tick", 0, kMaxExact);
      question.returned[tick] = IntegerOf<int>(row[1], "count", 0, kMaxCount);
    }
    return question;
  } catch (const std::exception& e) {
    return absl::InvalidArgumentError(e.what());
  }
}

std::string EncodeQuotaAnswer(const quota_answer& answer) {
  return json{{"lends", answer.lends},
              {"granted", answer.granted},
              {"tick", answer.tick},
              {"room_ms", answer.room_in / kMillisecond}}
      .dump();
}

absl::StatusOr<quota_answer> DecodeQuotaAnswer(std::string_view text) {
  try {
    json root = ParseObject(text);
    return quota_answer{
        .lends = BoolOf(root.at("lends"), "lends"),
        .granted = IntegerOf<int>(root.at("granted"), "granted", 0, kMaxCount),
        .tick = IntegerOf<int64_t>(root.at("tick"), "tick", 0, kMaxExact),
        .room_in = kMillisecond * IntegerOf<int64_t>(root.at("room_ms"),
                                                     "room_ms", 0, 600'000)};
  } catch (const std::exception& e) {
    return absl::InvalidArgumentError(e.what());
  }
}

}  // namespace baobabtray
