// The difference between two texts, as what stands between their common first
// and last lines.
//
// Operators change a few neighbouring lines at a time, for which this is as
// small as a general difference and needs no search: time and memory are
// linear. Edits far apart make it larger, at worst the whole new text.
// Fingerprints of both sides are checked, so a delta is never applied to the
// wrong base.

#ifndef TRAY_CONFIG_DELTA_H_
#define TRAY_CONFIG_DELTA_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace baobabtray {

struct text_delta {
  std::string base_fingerprint;    // FingerprintOf(old text)
  std::string result_fingerprint;  // FingerprintOf(new text)
  size_t prefix_bytes = 0;         // bytes kept at the start
  size_t suffix_bytes = 0;         // bytes kept at the end
  std::string replacement;         // what stands between
};

text_delta DiffTexts(std::string_view from, std::string_view to);

// The new text, or nothing if `base` or the result is not the one meant.
std::optional<std::string> ApplyDelta(std::string_view base,
                                      const text_delta& delta);

}  // namespace baobabtray

#endif  // TRAY_CONFIG_DELTA_H_
