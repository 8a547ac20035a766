// Why tasks end, as PROTOCOL and reports spell it.
#pragma once

namespace corkmux::simulation::exit_cause {

// What a worker tells its controller.
inline constexpr const char* kDone = "done";
inline constexpr const char* kError = "error";
inline constexpr const char* kHalted = "halted";
inline constexpr const char* kAlone = "alone";           // the gang's other members never came
inline constexpr const char* kMatesGone = "mates_gone";  // another member of the gang has ended
inline constexpr const char* kUnknown = "unknown";       // there is no such task
inline constexpr const char* kBusy = "busy";             // another attempt of it is there
inline constexpr const char* kNoRoom = "no_room";

// What only observers are told.
inline constexpr const char* kLeaseExpired = "lease";
inline constexpr const char* kMateHung = "mate_hung";
inline constexpr const char* kSaveFailed = "save_failed";

}  // namespace corkmux::simulation::exit_cause
