// The stored configuration as JSON. See config.h.

#include "tray/config/config.h"

#include <nlohmann/json.hpp>

#include "tray/config/config_json.h"

namespace baobabtray {
namespace {

using nlohmann::json;

edit_record EditFromJson(const json& j) {
  edit_record e;
  j.at("revision").get_to(e.revision);
  j.at("id").get_to(e.id);
  j.at("by").get_to(e.author);
  e.kind = ValueOf(kEditKindNames, j.at("kind").get<std::string>())
               .value_or(edit_kind::kApply);
  j.at("detail").get_to(e.detail);
  j.at("at_ms").get_to(e.at_ms);
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
  json j = json::parse(text, nullptr, false);
  config c;
  try {
    j.at("revision").get_to(c.revision);
    j.at("text").get_to(c.text);
    for (const json& p : j.at("out")) {
      auto kind = ValueOf(kPlaceKindNames, p.at("kind").get<std::string>());
      if (!kind) return absl::DataLossError("unknown kind of place");
      c.out_of_service.push_back({*kind, p.at("name")});
    }
    for (const json& e : j.at("recent"))
      c.recent_edits.push_back(EditFromJson(e));
  } catch (const json::exception&) {
    return absl::DataLossError("the value is not a configuration");
  }
  if (c.revision <= 0)
    return absl::DataLossError("the revision is not positive");
  return c;
}

const edit_record* FindEdit(const config& c, std::string_view id) {
  for (const edit_record& e : c.recent_edits) {
    if (e.id == id) return &e;
  }
  return nullptr;
}

}  // namespace baobabtray
