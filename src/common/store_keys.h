// The keys under which controllers keep their state in the state service.
#pragma once
#include <string>

namespace corkmux {

inline const std::string kLeaderKey = "leader", kTermKey = "term";
inline const std::string kDependencyBarrierKey =
    "settled";                                   // until when all that needs a cancelled job has its end
inline const std::string kJobs = "a/";           // unfinished jobs, by id
inline const std::string kTaskRecordsV1 = "s/";  // their tasks in the first form: s/<job>/<n>
inline const std::string kTaskRecordsV2 = "t/";  // their tasks in the second form: t/<job>/<first task>
inline const std::string kRecordFormats = "v/";  // what form each controller reads and writes: v/<controller>
inline const std::string kFinals = "f/";         // how finished jobs ended, kept for good
inline const std::string kStoreRelayPrefix = "m/";  // mail between controllers: m/<to>/<from>/<slot>
inline const std::string kLeaseProxyPrefix = "k/";  // workers that a keeper answers, by controller
inline const std::string kKubeObjects =
    "n/";  // what was submitted as Kubernetes objects: n/<namespace>/<kind>/<name>

}  // namespace corkmux
