// What the mains have in common: how an error ends a program.
#pragma once
#include <exception>
#include <iostream>

namespace corkmux {

/// Runs `body` and returns its exit status. An exception that leaves it is written to standard error, after
/// the program's name, and the status is `error_status`.
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
