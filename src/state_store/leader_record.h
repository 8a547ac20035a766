// The records of an election: who leads (kLeaderKey) and the last term taken (kTermKey).
#pragma once
#include <cstdint>
#include <string>

#include "codec.h"

namespace corkmux {

/// Who leads. The record is bound to the leader's lease.
struct LeaderRecord {
  std::string label;  // of the controller
  std::uint64_t term = 0;
};

/// The stored form.
codec::Json to_json(const LeaderRecord& leader);
/// Reads the stored form; what is missing stays empty.
LeaderRecord parse_leader_record(const codec::Json& record);

/// The stored form of the last term taken.
codec::Json term_record_to_json(std::uint64_t term);
/// Reads it; 0 if it says nothing.
std::uint64_t parse_term_record(const codec::Json& record);

}  // namespace corkmux
