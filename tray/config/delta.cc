// Differences between texts. See delta.h.

#include "tray/config/delta.h"

#include <algorithm>

#include "tray/base/hash.h"

namespace baobabtray {

text_delta DiffTexts(std::string_view from, std::string_view to) {
  size_t most = std::min(from.size(), to.size());
  auto begin = std::mismatch(from.begin(), from.begin() + most, to.begin());
  size_t prefix = begin.first - from.begin();
  size_t left = most - prefix;
  auto end = std::mismatch(from.rbegin(), from.rbegin() + left, to.rbegin());
  size_t suffix = end.first - from.rbegin();
  return {.base_fingerprint = FingerprintOf(from),
          .result_fingerprint = FingerprintOf(to),
          .prefix_bytes = prefix,
          .suffix_bytes = suffix,
          .replacement =
              std::string(to.substr(prefix, to.size() - prefix - suffix))};
}

std::optional<std::string> ApplyDelta(std::string_view base,
                                      const text_delta& delta) {
  if (delta.prefix_bytes + delta.suffix_bytes > base.size())
    return std::nullopt;
  if (FingerprintOf(base) != delta.base_fingerprint) return std::nullopt;
  std::string result(base.substr(0, delta.prefix_bytes));
  result += delta.replacement;
  result += base.substr(base.size() - delta.suffix_bytes);
  if (FingerprintOf(result) != delta.result_fingerprint) return std::nullopt;
  return result;
}

}  // namespace baobabtray
