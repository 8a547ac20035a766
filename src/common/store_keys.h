// The keys under which controllers keep their state in the state store. The spelling is stored data and never
// changes. Stands below src/state_store since the scheduler, which knows nothing of the store's client,
// encodes its task records under these keys.
#pragma once
#include <string>

namespace corkmux {

inline const std::string kLeaderKey = "leader";
inline const std::string kTermKey = "term";
/// Until when all dependents of cancelled jobs have their end.
inline const std::string kDependencyBarrierKey = "settled";
/// Unfinished jobs: a/<job>
inline const std::string kJobs = "a/";
/// Their tasks in RecordFormat V1: s/<job>/<n>
inline const std::string kTaskRecordsV1 = "s/";
/// Their tasks in RecordFormat V2: t/<job>/<first task>
inline const std::string kTaskRecordsV2 = "t/";
/// The record formats that each controller reads and writes: v/<controller>
inline const std::string kRecordFormats = "v/";
/// How finished jobs ended, kept for good: f/<job>
inline const std::string kFinals = "f/";
/// Messages relayed between controllers: m/<to>/<from>/<slot>
inline const std::string kStoreRelayPrefix = "m/";
/// Workers whose leases a controller renews by proxy: k/<controller>
inline const std::string kLeaseProxyPrefix = "k/";
/// What was submitted as Kubernetes objects: n/<namespace>/<kind>/<name>
inline const std::string kKubeObjects = "n/";

}  // namespace corkmux
