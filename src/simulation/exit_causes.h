// Causes of a task's end, as spelled in the protocol and in simulation reports.
#pragma once

namespace corkmux::simulation::exit_cause {

// Causes that a worker reports to its controller.
inline constexpr const char* kDone = "done";
inline constexpr const char* kError = "error";
inline constexpr const char* kHalted = "halted";
inline constexpr const char* kAlone = "alone";            // the gang's other members did not join in time
inline constexpr const char* kMemberGone = "mates_gone";  // another member of the gang has ended
inline constexpr const char* kUnknown = "unknown";        // no such job or task
inline constexpr const char* kBusy = "busy";              // another attempt of the task is on the machine
inline constexpr const char* kNoCapacity = "no_room";     // the machine's free resources do not suffice

// Causes that only observers receive.
inline constexpr const char* kLeaseExpired = "lease";
inline constexpr const char* kMemberHung = "mate_hung";
inline constexpr const char* kSaveFailed = "save_failed";

}  // namespace corkmux::simulation::exit_cause
