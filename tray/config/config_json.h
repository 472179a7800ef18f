// JSON encodings that the stored configuration and the admin API share.

#ifndef TRAY_CONFIG_CONFIG_JSON_H_
#define TRAY_CONFIG_CONFIG_JSON_H_

#include <nlohmann/json.hpp>

#include "tray/config/config.h"

namespace baobabtray {

nlohmann::json ToJson(const edit_record& e);
nlohmann::json ToJson(const std::vector<place>& places);

}  // namespace baobabtray

#endif  // TRAY_CONFIG_CONFIG_JSON_H_
