// Delta between two texts: the bytes between their common prefix and suffix.
//
// Operators usually change a few adjacent lines at a time. For such edits this
// is as small as a general diff, and it is computed in linear time and memory.
// Edits that are far apart give a larger delta, at worst the complete new text.
// The fingerprints of both texts are checked, so a delta is never applied to
// the wrong base.

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
  size_t prefix_bytes = 0;         // length of the common prefix
  size_t suffix_bytes = 0;         // length of the common suffix
  // Bytes of the new text between the prefix and the suffix.
  std::string replacement;
};

text_delta DiffTexts(std::string_view from, std::string_view to);

// Returns the new text, or nothing if the fingerprint of `base` or of the
// result does not match.
std::optional<std::string> ApplyDelta(std::string_view base,
                                      const text_delta& delta);

}  // namespace baobabtray

#endif  // TRAY_CONFIG_DELTA_H_
