// Status codes that are none of HTTP, as a server in trouble may send them.

#ifndef TRAY_TESTING_ODD_STATUSES_H_
#define TRAY_TESTING_ODD_STATUSES_H_

namespace baobabtray {

inline constexpr const char* kOddStatuses[] = {
    "000", "001", "099", "101", "600", "999", "20",  "0200", "2000",
    "0",   "+20", "-20", "2x0", "abc", "",    "20.", "200x"};

}  // namespace baobabtray

#endif  // TRAY_TESTING_ODD_STATUSES_H_
