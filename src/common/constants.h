// Every constant of the controller, with its unit and the reason for its value.
// What depends on a deployment comes from the platform's settings or the catalog, never from here.
#pragma once
#include <cstddef>
#include <cstdint>

namespace corkmux::constants {

// --- clocks ---
/// Share by which two steady clocks may differ; PROTOCOL promises 0.0005, doubled because two clocks take
/// part.
inline constexpr double kClockDrift = 0.001;
/// s added to every time-out that proves something: timer steps, scheduling of this process.
inline constexpr double kProofMargin = 0.5;

// --- HTTP ---
inline constexpr std::size_t kMaxHeaderBytes = 16 * 1024;  // bytes; no caller of ours needs 2 KiB
inline constexpr std::size_t kMaxRequestBody = 64 * 1024;  // bytes; PROTOCOL's limit for requests
inline constexpr std::size_t kMaxResponseBody =
    8 * 1024 * 1024;                                  // bytes; a watch has no limit, our memory has
inline constexpr std::size_t kReadChunk = 16 * 1024;  // bytes read per wake-up
inline constexpr int kListenBacklog = 4096;    // connections; after all ended, workers and users at once
inline constexpr int kReservedSockets = 160;   // sockets kept for workers' orders, peers, state and cloud
inline constexpr double kIdleConnection = 75;  // s; users poll each 5 s, workers report each few seconds

// --- state service ---
inline constexpr double kLeaderLeaseDuration = 3.0;        // s; how long a dead leader blocks its successor
inline constexpr double kLeaderLeaseRenewInterval = 0.75;  // s; three tries within one life
inline constexpr double kElectionPollInterval = 0.25;  // s between looks while nobody leads and we could not
inline constexpr double kElectionRetryInterval = 0.3;  // s after a try that the state service did not take
inline constexpr double kStateTimeout = 2.0;           // s; answers take 10 ms, now and then some 100 ms
inline constexpr double kReadTimeout = 1.5;            // s; below the 2 s a user waits for a query
inline constexpr double kWatchWait = 20.0;             // s; long polls are cheap, dead ones must be noticed
inline constexpr double kWatchSlack = 5.0;             // s beyond the wait before a watch counts as lost
inline constexpr double kJobsWait =
    1.0;  // s a watch of the jobs waits; how old the leader's knowledge of cancels may be without any change
inline constexpr int kStateConnections = 6;       // sockets; each request takes some milliseconds
inline constexpr double kLeaderWriteShare = 0.7;  // of write_rps; the rest is for submissions and cancels
inline constexpr double kLeaderTick = 0.25;  // s between the leader's looks at leases, silence and displays
inline constexpr double kRevisionReadPause =
    0.01;  // s after a read of stamps or of a job's record before the next write
inline constexpr int kLostWatchLimit =
    3;  // in a row without an answer: what they would bring may be too large to take
inline constexpr double kRetryPause = 0.15;  // s before a refused state request is tried again
inline constexpr double kSubmitTime = 3.0;   // s a submission may take us; its user waits 5 s
inline constexpr int kSubmitTries = 2;       // tries of a submission refused by the rate limit
inline constexpr double kRestWait = 1.0;     // s that ends of tasks may wait for changes that launches need
inline constexpr int kRecordFormat = 2;      // of the records that this version writes, see docs/design.md
inline constexpr int kTasksPerRecord = 256;  // tasks; a record that grows too large is split anyway
inline constexpr std::size_t kSmallestRecord = 256;       // bytes; one task with long names still fits
inline constexpr double kRecordFormatPollInterval = 1.0;  // s between looks whether all controllers are new
inline constexpr int kMaxTransactionsInFlight =
    3;                                   // transactions of the leader; each takes some milliseconds
inline constexpr int kOutcomeReads = 4;  // awaited jobs looked up at the same time, of state.rps
inline constexpr int kListPage = 100;    // items a page; keeps one answer far below 512 KiB

// --- questions about unfinished jobs ---
inline constexpr double kReadRateShare =
    0.5;  // of the state service's rate, of all controllers together: the rest is for what changes things
inline constexpr double kReadBurst = 0.5;     // s of that share that may come at once
inline constexpr double kReadDeadline = 1.2;  // s a question may wait; its user waits 2 s in all
inline constexpr double kReadBatchTimeout =
    0.3;  // s until a look's answer counts as lost and its jobs are in the next one; answers take 10 ms
inline constexpr double kReadBatchTimeoutFactor =
    4;                                              // as long as looks have taken of late, where that is more
inline constexpr double kReadBatchSmoothing = 0.3;  // weight of the newest look in that
inline constexpr int kSingleReadsInFlight = 4;      // jobs read at the same time
inline constexpr int kBatchMissesBeforeRead =
    3;  // comparisons that proved nothing until a job is read by itself
inline constexpr double kReadPumpInterval =
    0.002;                                   // s at least between looks at what waits; timers are no finer
inline constexpr int kMostConditions = 200;  // in one transaction; with the longest names 48 of its 64 KiB
inline constexpr double kKnownRevisionsMemoryShare = 0.02;  // of our memory for stamps of unfinished jobs
inline constexpr double kKnownRevisionBytes =
    200;  // of memory for one of them: name, stamp, two table entries

// --- standing still and ending ---
inline constexpr double kStallThreshold =
    2.0;  // s between two ticks; eight times the usual, longer than any pass
inline constexpr double kResignTime =
    1.0;                                 // s a leader that ends waits for what is in flight; answers take ms
inline constexpr double kEndTime = 4.0;  // s an orderly end takes at most; two requests to the state service
inline constexpr double kSuccessorTime =
    1.5;                                     // s an end waits for a successor to be known; elections take ms
inline constexpr double kEndLook = 0.05;     // s between looks whether everything is settled
inline constexpr double kResignLook = 0.02;  // s between looks whether it is

// --- what the log says of services that do not answer ---
inline constexpr double kOutagePatience =
    2.0;                                     // s until a service that has answered before is said to be away
inline constexpr double kOutageAgain = 5.0;  // s until it is said again; doubled each time
inline constexpr double kOutageAgainMost = 300.0;  // s; a line in five minutes is not lost in a day's log

// --- workers ---
inline constexpr double kCommandTimeout = 3.0;  // s; a machine answers within milliseconds or hangs
inline constexpr double kSilentReports = 2.6;   // report intervals without a word: place nothing there
inline constexpr double kDeadReports = 3.6;     // report intervals without a word: give the machine back
inline constexpr double kMaxSilentShare =
    0.4;                                     // of a zone's machines; above, the network is to blame, not them
inline constexpr double kRelayWindow = 8.0;  // s; a worker back within it could not reach the leader
inline constexpr double kKnownJob = 2.0;     // s a keeper trusts what it read of a job
inline constexpr double kLeaseProxyPollInterval =
    1.5;  // s between the leader's looks at them while a machine is silent
inline constexpr double kLeaseProxyBatchDelay =
    0.25;                                 // s; workers beyond a cut come in a burst, a write names many
inline constexpr double kJobReads = 0.4;  // s between a keeper's reads of all jobs; a few pages each
inline constexpr double kRecordShare =
    0.8;  // of value_kb that a list in one record may take; the rest is its frame
inline constexpr double kRelayTime = 30.0;      // s a worker is served through us before it is sent on again
inline constexpr double kUnheardReports = 1.5;  // report intervals in which no worker at all spoke: cut off
inline constexpr int kUnheardMachines = 3;      // machines up that make such a silence telling
inline constexpr double kCancelReserve = 3.0;   // s kept for a stop command to take effect

// --- placement (DESIGN's figures; docs/design.md says which were measured) ---
inline constexpr double kTau = 1.0;     // paper III-D: temperature of the zone draw
inline constexpr double kGamma = 0.5;   // weight of heat against slack
inline constexpr int kSampleSize = 12;  // fitting machines looked at per pick; DESIGN starts at 8
inline constexpr int kBucketsExamined =
    64;  // kinds of room looked at per pool of machines; bounds a decision
inline constexpr double kScoreNoise = 0.05;  // standard deviation of the pick's jitter, in units of utility
inline constexpr double kSlopeSmoothing = 0.3;       // weight of the newest slope of slack and heat
inline constexpr double kReservationTimeout = 30.0;  // s beyond the fetch until an unconfirmed start lapses
inline constexpr double kFetchWeight = 0.5;          // utility lost per second of image fetch
inline constexpr int kBidsPerCycle = 96;             // bids per pass; bounds the time of one turn
inline constexpr double kSchedulingInterval = 0.05;  // s between passes; lets events gather
inline constexpr double kGuaranteeBoost = 64.0;      // weight factor for work within its team's guarantee

// Work without need of accelerators takes such a machine only while this share of all accelerators stays
// free.
// What an accelerator machine costs in utility for work that needs none; about one second of image fetch.
inline constexpr double kAcceleratorPenalty = 0.3;
inline constexpr double kAcceleratorReserve = 0.25;

// Gangs that become due gather their places.
inline constexpr double kDueShare = 0.8;  // of the time to its last start aim, after which a job is due
inline constexpr double kHeldPatience =
    75.0;  // s that a job waits while room under its team's limit is kept for more urgent work: the operators
           // count one as left waiting after 90 s, and it still has to be placed
// The operators' mark: half of a class's largest jobs begin within four minutes, whatever flows past them.
inline constexpr double kBeginWithin = 240.0;  // s
inline constexpr double kBeginShare =
    0.5;  // of it, after which an array of which nothing has begun goes first
inline constexpr int kBeginTasks =
    20;  // that it has at least: its first task is then a twentieth of it at most, so that
         // a flood of small ones is still served one after the other
inline constexpr double kFreeingWindow =
    10.0;  // s over which the rate is taken at which a zone's places become free
inline constexpr double kZoneHoldLimit =
    5.0;  // s; what is kept idle meanwhile costs more than the gang's wait beyond

// --- a floor for every class and team (docs/balance.md) ---
inline constexpr double kDeficitFrom =
    450.0;  // s until its end that work takes, waiting included, until it counts as in arrears: the operators
            // count by days of some ten minutes, and what ends within three quarters of one is served
inline constexpr double kDeficitFull = 600.0;  // s; by then all shelves
inline constexpr std::size_t kReservationGroupsRemembered =
    1000;  // classes or teams remembered as served; users name classes
inline constexpr double kReservationUsageCap =
    0.2;  // of the fleet; whoever uses more has its floor: all shelves and a third
inline constexpr double kStarvedAfter =
    120.0;  // s in which nothing at all of a class or team runs while some of it waits: one shelf
inline constexpr double kServiceWindow = 600.0;  // s; such a day, over which what was served counts
inline constexpr double kServedShareTarget =
    0.65;  // of what came; the operators' mark is half, the rest is for luck
inline constexpr double kReservationInterval = 1.0;  // s between looks
inline constexpr double kReservationRise =
    30.0;  // s until all shelves are kept; a burst's first seconds pass
inline constexpr double kReservationFall =
    60.0;  // s until none is; slower than it comes, so that it does not flap
inline constexpr double kReservationTierShare = 0.08;  // of the machines on one shelf, about
inline constexpr int kReservationTiers = 2;  // some 15% of the machines at most; each makes pools of its own
inline constexpr double kDefaultJobEstimate =
    60.0;  // s; work without one counts as so long for those behind it

// --- preemption ---
inline constexpr double kClaimAfter =
    0.25;  // of the guarantee's aim that a job waits before it claims its places
inline constexpr int kPreemptorsPerCycle = 4;  // jobs that may stop others in one pass; bounds its time
inline constexpr double kCheckpointWorth =
    2.0;  // saves are asked for when half a checkpoint costs more than this many
inline constexpr std::size_t kPreemptionCandidatesExamined =
    512;  // machines or tasks looked at for one job that may stop others; bounds a decision
inline constexpr double kFreshStart = 30.0;  // s; PROTOCOL counts a start only if it is left alone that long
inline constexpr double kResumeTime =
    1.0;  // s a leader that stood still waits for the state service to confirm it; answers take ms
inline constexpr double kNominationTime = 8.0;  // s a machine is kept for the job that work was stopped for

// --- sick machines and bad jobs ---
inline constexpr double kFaultyWeight = 1.5;  // two jobs that failed nowhere else, with half a one to spare
inline constexpr double kFaultyDelay = 10.0;  // s that a machine's failures are weighed before it is given
                                              // up; jobs are tried elsewhere meanwhile
inline constexpr std::size_t kFailedJobsRemembered =
    8;  // of a machine that are remembered; two or three decide
inline constexpr int kFailingJobMachines =
    3;                                       // machines a job failed on before it is held to be its own fault
inline constexpr double kCordonTime = 60.0;  // s a machine with one error is avoided
inline constexpr double kErrorBackoff = 2.0;      // s, doubled per failure of a job
inline constexpr double kErrorBackoffMax = 60.0;  // s

// --- fleet ---
inline constexpr double kBootLate = 3.0;    // times the catalog's boot time before a boot counts as dead
inline constexpr double kBootGrace = 15.0;  // s beyond that

// Machines stay through the pauses between jobs, since a returned one loses its images. Once no job has been
// there for several of the usual gaps, though, more waiting is more likely to cost than to spare a boot.
inline constexpr double kIdleGaps = 4.0;  // usual gaps; under steady arrivals one in fifty pauses is longer
inline constexpr double kIdleMinimum =
    30.0;  // s; half of the minute that every rental costs at least (PROTOCOL)
inline constexpr double kGapSmoothing = 0.2;  // weight of the newest gap; about the last five jobs count
inline constexpr double kFreshArrival = 5.0;  // s; a job older than that when we first see it was loaded

inline constexpr double kNoCapacityPause = 20.0;  // s before a refused type and zone is asked again
inline constexpr int kRentsAtOnce = 3;            // requests; the cloud's rate also carries lists and returns
inline constexpr double kFleetTick = 1.0;         // s
inline constexpr double kListEvery = 8.0;         // s between machine lists
inline constexpr double kCloudTimeout = 4.0;      // s
inline constexpr double kCatalogEvery = 300.0;    // s; prices move, types hardly
inline constexpr std::size_t kMaxDelete = 100;    // names; PROTOCOL
inline constexpr int kMaxScaleOut = 50;           // machines; PROTOCOL

// --- memory bounds ---
inline constexpr std::size_t kFinalCache = 4000;     // finished jobs remembered (about 100 bytes each)
inline constexpr std::size_t kSummaryCache = 4000;   // job summaries kept by followers
inline constexpr std::size_t kReturnedNames = 2000;  // returned machines remembered; lists lag by seconds
inline constexpr double kParkedHeartbeatMemoryShare = 0.03;  // of our memory for reports that wait for a load
inline constexpr double kParkedHeartbeatBytes = 1000;        // of memory for one of them, with some tasks
inline constexpr int kMaxTasks = 100000;                     // PROTOCOL
inline constexpr std::size_t kMaxText = 200;  // bytes of any name we accept; a state key's limit
inline constexpr int kMaxDepth = 32;          // levels of a MessagePack body; PROTOCOL's deepest has about 6
inline constexpr std::size_t kMaxTypes = 64;  // machine types a job may name

// --- peers ---
inline constexpr double kPeerTick = 1.0;     // s between summaries
inline constexpr double kPeerTimeout = 1.0;  // s
inline constexpr std::size_t kPeerConnections =
    256;                                        // a controller takes; each of twenty others opens some six
inline constexpr double kRefusedTold = 10;      // s between lines of the log about messages that are refused
inline constexpr std::size_t kBatchQueue = 64;  // batches that wait for one peer's connections
inline constexpr std::size_t kToldCancels = 500;  // in one list to a peer of a former version; about 6 KB
// Cancels of the last cancel_s. Each took two changes of the state service, so 20 changes a second and 57 s
// make some 600, 180 and 52 s some 4,700; as many again may have been asked about, whenever they were
// cancelled.
inline constexpr double kCancelMemory = 0.02;  // of our memory for the own ones, and as much for the peers'
inline constexpr double kCancelBytes = 150;    // of memory for one of them
inline constexpr double kBarrierWriteShare =
    0.125;  // of cancel_s between records of how far dependents of cancelled jobs are ended
inline constexpr double kBarrierReadInterval =
    1.0;                                      // s between looks at that record, while no peer has said it
inline constexpr double kRelayTimeout = 2.5;  // s; the worker waits 4 s
inline constexpr double kPeerLost = 3.0;      // s without an answer: reports are not relayed there
// --- workers served by all controllers ---
/// Sockets the leader holds a worker it serves itself: one for its reports, one for its orders.
inline constexpr int kSocketsPerWorker = 2;
/// Of the leader's sockets: with more than the first share needed for workers all controllers serve them,
/// below the second the leader alone does. Between them nothing changes, so a fleet that breathes moves
/// nobody.
inline constexpr double kFanInAbove = 0.5, kFanInBelow = 0.35;
inline constexpr double kChangeBatchDelay = 0.01;  // s that news and outcomes wait for company on their way
inline constexpr double kDeltaBatchDelay = 0.15;   // s for reports without news; their workers wait 4 s
inline constexpr int kBatchesInFlight = 2;         // to the leader; one more than it needs to be kept busy
inline constexpr std::size_t kBatchBytes = 48 * 1024;     // of one batch; a request may have 64 KiB
inline constexpr std::size_t kForwardBytes = 4 << 20;     // of reports that wait for the leader, all together
inline constexpr std::size_t kDeliveriesInFlight = 4000;  // orders on their way to workers
inline constexpr double kForwardedCommandSlack =
    1;                                         // s beyond kCommandTimeout until their outcome is not awaited
inline constexpr double kForwardTime = 2.5;    // s a report waits for a leader that takes it; its worker 4 s
inline constexpr double kForwardSweep = 0.25;  // s between looks at what has waited too long
inline constexpr double kConfirmedTime = 120;  // s a report that did not change is remembered
inline constexpr double kCommandConnectionScarceIdle = 5;  // s an order connection idles when there are many
/// Of a controller's sockets that connections for orders may take while they idle.
inline constexpr double kCommandConnectionShare = 0.25;
inline constexpr double kServedShare = 0.35;  // of a controller's sockets for workers' reports
/// Workers that a controller sends to another one for balance, a second: so many at least, or that share of
/// those it serves.
inline constexpr double kMovesPerSecond = 40, kMovesShare = 0.05;
inline constexpr double kForgetEvery = 10;  // s between looks at what is remembered of machines that are gone
inline constexpr double kFanInSettleTime =
    2.5;  // s until all controllers have heard who serves; they greet each 1 s
inline constexpr double kWorkerConnectionSweepInterval = 5;  // s between looks at workers that came once
inline constexpr double kWorkerConnectionMemory = 120;       // s a worker that came is remembered
inline constexpr double kFanInInterval = 0.5;                // s between looks at who serves

// --- mail through the state service ---
inline constexpr double kRelayWriteShare =
    0.1;  // of write_rps that one box may take; two or three are in use at a time
inline constexpr double kRelayBatchDelay =
    0.5;  // s at most that mail waits for company; a worker waits 4 s in all
inline constexpr double kStoreRelayTimeout = 3.0;         // s; the worker whose report it carries waits 4 s
inline constexpr double kStoreRelaySweepInterval = 0.25;  // s between looks for overdue mail
inline constexpr int kStoreRelaySlots = 8;  // records a box writes in turn, so that none is read overwritten
inline constexpr std::size_t kStoreRelayPendingLimit =
    1000;  // reports on their way; three a machine of a large zone

inline constexpr double kStateProbe = 0.7;  // s without an answer before a read asks whether it is there
inline constexpr double kStateLost = 2.5;   // s without the state service while a peer has it: not ready
inline constexpr double kStateSilent =
    12.0;  // s without it and without any peer: not ready. Longer than most outages, during which all would
           // go; far below the 75 s after which a job without an answer counts as forgotten
// --- Kubernetes-style clients ---
inline constexpr int kKubeConnections = 600;       // sockets for them, of those that users have otherwise
inline constexpr int kKubeShare = 4;               // at most one in so many of these
inline constexpr double kKubeWatchWait = 0.5;      // s; a watch hears of a change at most so much late
inline constexpr std::size_t kKubeHistory = 2000;  // changes kept for watches that are taken up again
inline constexpr std::size_t kKubeHistoryBytes = 4 << 20;  // of them together
inline constexpr std::size_t kKubeUnsent = 64 << 10;  // bytes on the way to one watcher; the rest waits there
inline constexpr double kKubePump = 0.02;             // s until those that were behind are sent more
inline constexpr double kKubeBookmark = 15;           // s between bookmarks
inline constexpr double kKubeWatchLife = 1800;        // s of a watch at most; clients take it up again
inline constexpr int kKubeDepth = 64;          // levels of a body; the API's own objects have some twelve
inline constexpr int kKubeValues = 20000;      // values of a body once aliases are written out
inline constexpr std::size_t kKubePage = 500;  // objects in one answer to a list, whatever is asked for
inline constexpr int kKubeReads = 8;           // reads of the state service under way for one list
inline constexpr int kKubeScan = 5000;         // objects looked at for one answer to a list with a selector
inline constexpr double kKubeRetry = 10;       // s until an address that could not be had is tried again
inline constexpr std::size_t kTokenLeast = 16, kTokenMost = 256;  // bytes of a secret
inline constexpr int kKubeTries = 3;                              // of a write that met a change
inline constexpr double kKubeMostAmount = 1e12;                   // of an annotation, in its unit

inline constexpr int kRetryAfter = 1;  // s told to callers; the shortest they respect

/// Terms are counted in the state service; below each, the leader numbers tokens and attempts itself.
inline constexpr int kTermShift = 20;  // bits; 2^20 tokens a term, 2^44 terms

}  // namespace corkmux::constants
