// Error handling shared by the main functions.
#pragma once
#include <exception>
#include <iostream>

namespace corkmux {

/// Runs `body` and returns its exit status. If `body` throws, writes the program's name and the error
/// to standard error and returns `error_status`.
template <typename Body>
int run_program(const char* name, int error_status, Body body) {
  try {
    return body();
  } catch (const std::exception& error) {
    std::cerr << name << ": " << error.what() << "\n";
    return error_status;
  }
}

}  // namespace corkmux
