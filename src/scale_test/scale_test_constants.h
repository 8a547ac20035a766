// Constants of the scale run, each with unit and reason. What a run's file says is not here.
#pragma once
#include <cstddef>

namespace corkmux::scale_test {

inline constexpr int kSocketsPerWorker = 3;      // its listener, its heartbeats and the controllers' commands
inline constexpr int kSpareSockets = 200;        // of each process: files, pipes, users and services
inline constexpr int kMostProcesses = 200;       // started by one run
inline constexpr double kMostMemoryShare = 0.5;  // of the machine's memory, all processes together
inline constexpr double kWorkerBytes = 120e3;  // of memory a hollow worker is planned with; 1,444 took 26 MB
inline constexpr double kControllerBytes = 80e6;  // of memory a controller is planned with
inline constexpr double kOwnBytes = 400e6;        // of memory for users, checker and state service

inline constexpr double kEventsEvery = 0.05;       // s between a machine host's batches of events
inline constexpr double kEventsTimeout = 5;        // s; the collector is on the same machine
inline constexpr std::size_t kEventsAtOnce = 400;  // of one batch; some 100 bytes each, 64 KiB at most
inline constexpr std::size_t kBootsAtOnce = 200;   // machines of one answer to a host
inline constexpr double kCountsEvery = 0.5;        // s between the state service's counts
inline constexpr double kProgressEvery = 5;        // s between lines of progress
inline constexpr double kSampleEvery = 0.5;        // s between readings of what processes use
inline constexpr double kUpPatience = 60;          // s until hosts, controllers and workers are there
inline constexpr double kTrafficPatience = 0.5;    // s a controller has to log what it was asked for
inline constexpr double kPauseWindow = 20;         // s after a fault in which a pause is put down to it
inline constexpr double kRestartDelay = 3;         // s until a controller that was ended is back
inline constexpr double kRollEvery = 10;           // s between controllers that are restarted in turn
inline constexpr double kRackBack = 20;            // s until a restarted rack's machines are back
inline constexpr double kUrgentWithin = 1.2;       // s from submission to running, the operators' aim
inline constexpr double kMostUse = 0.9;            // of the processors that the running tasks may take
inline constexpr double kQuotaSlack = 3;           // times a team's fair share that is its limit
inline constexpr double kServed = 0.5;             // of a class or team, below which a run has failed

// Bins of the histograms of times: logarithmic from a millisecond to the longest wait, 100 per factor of ten.
inline constexpr double kLeastTime = 0.001, kMostTime = 1000;  // s
inline constexpr int kTimeBins = 600;

}  // namespace corkmux::scale_test
