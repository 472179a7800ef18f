// Text deltas. See delta.h.

#include "tray/config/delta.h"

#include <algorithm>

#include "tray/base/hash.h"

namespace baobabtray {

text_delta DiffTexts(std::string_view from, std::string_view to) {
  size_t max_common = std::min(from.size(), to.size());
  auto prefix_end =
      std::mismatch(from.begin(), from.begin() + max_common, to.begin());
  size_t prefix = prefix_end.first - from.begin();
  size_t max_suffix = max_common - prefix;
  auto suffix_end =
      std::mismatch(from.rbegin(), from.rbegin() + max_suffix, to.rbegin());
  size_t suffix = suffix_end.first - from.rbegin();
  return {.base_fingerprint = FingerprintOf(from),
          .result_fingerprint = FingerprintOf(to),
          .prefix_bytes = prefix,
          .suffix_bytes = suffix,
          .replacement =
              std::string(to.substr(prefix, to.size() - prefix - suffix))};
}

std::optional<std::string> ApplyDelta(std::string_view base,
                                      const text_delta& delta) {
  if (delta.prefix_bytes > base.size() ||
      delta.suffix_bytes > base.size() - delta.prefix_bytes) {
    return std::nullopt;
  }
  if (FingerprintOf(base) != delta.base_fingerprint) return std::nullopt;
  std::string result(base.substr(0, delta.prefix_bytes));
  result += delta.replacement;
  result += base.substr(base.size() - delta.suffix_bytes);
  if (FingerprintOf(result) != delta.result_fingerprint) return std::nullopt;
  return result;
}

}  // namespace baobabtray
