// The records of an election: the current leader (kLeaderKey) and the last claimed term (kTermKey).
#pragma once
#include <cstdint>
#include <optional>
#include <string>

#include "codec.h"

namespace corkmux {

/// The current leader. The record is bound to the leader lease.
struct LeaderRecord {
  std::string label;  // of the controller
  std::uint64_t term = 0;
};

/// The stored form.
codec::Json to_json(const LeaderRecord& leader);
/// Parses the stored form; missing fields stay empty.
LeaderRecord parse_leader_record(const codec::Json& record);

/// The stored form of the last claimed term.
codec::Json term_record_to_json(std::uint64_t term);
/// Parses the stored form; nullopt if it is unreadable: a term that is guessed could be one that was used.
std::optional<std::uint64_t> parse_term_record(const codec::Json& record);

}  // namespace corkmux
