// Top-level exception handler of every program: an exception from a library is
// reported on standard error and as an exit code instead of aborting.

#ifndef TRAY_BASE_RUN_MAIN_H_
#define TRAY_BASE_RUN_MAIN_H_

#include <exception>
#include <iostream>

namespace baobabtray {

// Returns the result of `run`, or `failure` if it throws.
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
