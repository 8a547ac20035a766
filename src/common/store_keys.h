// The keys under which controllers keep their state in the state store. The spelling is stored data and never
// changes. Defined here and not in src/state_store because the scheduler, which does not depend on the
// store's client, encodes its task records under these keys.
#pragma once
#include <string>

namespace corkmux {

inline const std::string kLeaderKey = "leader";
inline const std::string kTermKey = "term";
/// The time up to which all dependents of cancelled jobs have their end stored.
inline const std::string kDependencyBarrierKey = "settled";
/// Unfinished jobs: a/<job>
inline const std::string kJobs = "a/";
/// Tasks of unfinished jobs in RecordFormat V1: s/<job>/<n>
inline const std::string kTaskRecordsV1 = "s/";
/// Tasks of unfinished jobs in RecordFormat V2: t/<job>/<first task>
inline const std::string kTaskRecordsV2 = "t/";
/// The record formats that each controller reads and writes: v/<controller>
inline const std::string kRecordFormats = "v/";
/// The outcomes of finished jobs, kept permanently: f/<job>
inline const std::string kFinals = "f/";
/// Messages relayed between controllers: m/<to>/<from>/<slot>
inline const std::string kStoreRelayPrefix = "m/";
/// Workers whose leases a controller renews by proxy: k/<controller>
inline const std::string kLeaseProxyPrefix = "k/";
/// Submitted Kubernetes objects: n/<namespace>/<kind>/<name>
inline const std::string kKubeObjects = "n/";

}  // namespace corkmux
