// JSON encoding of the stored configuration. See config.h.

#include "tray/config/config.h"

#include <nlohmann/json.hpp>

#include "tray/base/json.h"
#include "tray/config/config_json.h"

namespace baobabtray {
namespace {

using nlohmann::json;

edit_record EditFromJson(const json& j) {
  edit_record e;
  e.revision = IntegerOf<int64_t>(j.at("revision"), "revision");
  e.id = StringOf(j.at("id"), "id");
  e.author = StringOf(j.at("by"), "by");
  e.kind = ValueOf(kEditKindNames, StringOf(j.at("kind"), "kind"))
               .value_or(edit_kind::kApply);
  e.detail = StringOf(j.at("detail"), "detail");
  e.at_ms = IntegerOf<int64_t>(j.at("at_ms"), "at_ms");
  return e;
}

}  // namespace

nlohmann::json ToJson(const edit_record& e) {
  return {{"revision", e.revision}, {"id", e.id},
          {"by", e.author},         {"kind", NameOf(kEditKindNames, e.kind)},
          {"detail", e.detail},     {"at_ms", e.at_ms}};
}

nlohmann::json ToJson(const std::vector<place>& places) {
  json list = json::array();
  for (const place& p : places) {
    list.push_back(
        {{"kind", NameOf(kPlaceKindNames, p.kind)}, {"name", p.name}});
  }
  return list;
}

std::string DumpConfig(const config& c) {
  json recent = json::array();
  for (const edit_record& e : c.recent_edits) recent.push_back(ToJson(e));
  return json{{"revision", c.revision},
              {"out", ToJson(c.out_of_service)},
              {"recent", recent},
              {"text", c.text}}
      .dump();
}

absl::StatusOr<config> ParseConfig(std::string_view text) {
  json j = ParseJson(text);
  config c;
  try {
    c.revision = IntegerOf<int64_t>(j.at("revision"), "revision");
    c.text = StringOf(j.at("text"), "text");
    for (const json& p : ArrayOf(j.at("out"), "out")) {
      auto kind = ValueOf(kPlaceKindNames, StringOf(p.at("kind"), "kind"));
      if (!kind)
        return absl::DataLossError("stored configuration: unknown place kind");
      c.out_of_service.push_back({*kind, StringOf(p.at("name"), "name")});
    }
    for (const json& e : ArrayOf(j.at("recent"), "recent"))
      c.recent_edits.push_back(EditFromJson(e));
  } catch (const std::exception&) {
    return absl::DataLossError(
        "stored configuration: malformed JSON or missing field");
  }
  if (c.revision <= 0)
    return absl::DataLossError(
        "stored configuration: revision is not positive");
  return c;
}

const edit_record* FindRecentEdit(const config& c, std::string_view id) {
  for (const edit_record& e : c.recent_edits) {
    if (e.id == id) return &e;
  }
  return nullptr;
}

}  // namespace baobabtray
