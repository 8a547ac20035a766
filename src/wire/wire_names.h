// The wire names of the protocol. Each constant is named by the term that the rest of the code uses.
#pragma once

namespace corkmux::codec::names {

// --- jobs ---
inline constexpr const char* kJobId = "ref";
inline constexpr const char* kJobClass = "troupe";
inline constexpr const char* kTeam = "crew";
inline constexpr const char* kJobKind = "shape";
inline constexpr const char* kPriority = "rank";
inline constexpr const char* kTaskCount = "parts";
inline constexpr const char* kCpus = "vcpus";
inline constexpr const char* kGpus = "accelerators";
inline constexpr const char* kMemoryGb = "memGb";
inline constexpr const char* kImage = "bundle";
inline constexpr const char* kImageGb = "imageGb";
inline constexpr const char* kMachineTypes = "builds";
inline constexpr const char* kZone = "room";
inline constexpr const char* kOneZone = "together";
inline constexpr const char* kSpread = "spread";
inline constexpr const char* kSpot = "lendable";
inline constexpr const char* kEstimate = "guessS";
inline constexpr const char* kCheckpoint = "bookmarkS";
inline constexpr const char* kSaveTime = "stashS";
inline constexpr const char* kDeadline = "dueS";
inline constexpr const char* kDependencies = "awaits";
inline constexpr const char* kPhase = "phase";
inline constexpr const char* kDone = "done";
inline constexpr const char* kRunning = "running";
inline constexpr const char* kReason = "reason";
inline constexpr const char* kError = "error";

// --- workers ---
inline constexpr const char* kMachine = "host";
inline constexpr const char* kAddress = "address";
inline constexpr const char* kMachineType = "build";
inline constexpr const char* kWorkerEpoch = "watch";
inline constexpr const char* kSequence = "tick";
inline constexpr const char* kFencingToken = "baton";
inline constexpr const char* kNotice = "warningS";
inline constexpr const char* kTaskStatuses = "parts";
inline constexpr const char* kTask = "part";
inline constexpr const char* kAttempt = "try";
inline constexpr const char* kExitReason = "cause";
inline constexpr const char* kSaved = "kept";
inline constexpr const char* kCommands = "orders";
inline constexpr const char* kOperation = "verb";
inline constexpr const char* kStart = "launch";
inline constexpr const char* kStop = "halt";
inline constexpr const char* kForget = "clear";
inline constexpr const char* kGrace = "mercyS";
inline constexpr const char* kRedirectTarget = "herald";

// --- cloud ---
inline constexpr const char* kTypeName = "label";
inline constexpr const char* kCacheGb = "cacheGb";
inline constexpr const char* kFetchRate = "pullGbPerS";
inline constexpr const char* kPrice = "rate";
inline constexpr const char* kSpotPrice = "spotPrice";
inline constexpr const char* kBootTime = "readyS";
inline constexpr const char* kZones = "rooms";
inline constexpr const char* kRequestId = "ask";
inline constexpr const char* kCount = "howMany";
inline constexpr const char* kMachines = "hosts";
inline constexpr const char* kMachineName = "ref";
inline constexpr const char* kAge = "ageS";
inline constexpr const char* kTruncated = "truncated";
inline constexpr const char* kNoCapacity = "no capacity";
inline constexpr const char* kBooting = "starting";
inline constexpr const char* kFailedMachine = "failed";

// --- state store ---
inline constexpr const char* kKey = "k";
inline constexpr const char* kValue = "value";
inline constexpr const char* kRevision = "stamp";
inline constexpr const char* kStoreRevision = "epoch";
inline constexpr const char* kLeaseId = "tenure";
inline constexpr const char* kLeaseDuration = "lifeMs";
inline constexpr const char* kConditions = "if";
inline constexpr const char* kWrites = "writes";
inline constexpr const char* kWrite = "write";
inline constexpr const char* kRemove = "remove";
inline constexpr const char* kPairs = "pairs";
inline constexpr const char* kEvents = "log";
inline constexpr const char* kFailedKeys = "failed";

}  // namespace corkmux::codec::names
