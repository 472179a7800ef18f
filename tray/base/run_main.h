// The outermost frame of every program: a library's exception ends it with a
// line on standard error and an exit code rather than an abort.

#ifndef TRAY_BASE_RUN_MAIN_H_
#define TRAY_BASE_RUN_MAIN_H_

#include <exception>
#include <iostream>

namespace baobabtray {

// Returns what `run` returns, or `failure` if it throws.
inline int RunMain(int (*run)(int, char**), int argc, char** argv,
                   int failure) {
  try {
    return run(argc, argv);
  } catch (const std::exception& e) {
    std::cerr << e.what() << "\n";
    return failure;
  }
}

}  // namespace baobabtray

#endif  // TRAY_BASE_RUN_MAIN_H_
