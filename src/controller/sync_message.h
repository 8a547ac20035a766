// The message that two controllers exchange every kPeerTick, and its form on the wire. The only file that
// knows the fields. Whatever a peer sends, parsing fails at most for the field that is wrong: it then counts
// as not said.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "codec.h"

namespace corkmux {

/// Which controllers take heartbeats for the leader; none: the leader alone takes them.
struct FanInAnnouncement {
  std::uint64_t term = 0;    // of the leader that says so; 0: nobody has said anything
  std::uint64_t number = 0;  // counts the announcements of that term
  std::vector<std::string> labels;
};

/// What either side says of itself.
struct PeerStatus {
  std::string label;
  std::uint64_t incarnation = 0;                 // tells one life of the process from the next
  std::optional<double> state_age;               // s since the state service last served it
  std::string leader;                            // empty: it knows none
  std::uint64_t term = 0;                        // the newest that it knows
  bool takes_batches = false;                    // its version can be a fan-in member
  std::optional<FanInAnnouncement> fanin;        // the newest that it knows
  std::optional<double> dependency_barrier_age;  // s; as an age, since clocks differ
};

/// Up to which of a peer's cancels its asker has heard them.
struct CancelAcknowledgement {
  std::uint64_t incarnation = 0;  // of the peer that numbered them
  std::uint64_t number = 0;       // of the last one heard
};

struct SyncRequest {
  PeerStatus status;
  std::optional<CancelAcknowledgement> acknowledged;  // none: a former version, which does not number them
  std::vector<codec::JobView> views;                  // of the leader
};

struct SyncAnswer {
  PeerStatus status;
  std::vector<std::string> cancels;  // jobs whose cancel the peer accepted and the asker has not heard of
  std::uint64_t last_cancel = 0;     // number of the peer's last one
  bool cancels_lost = false;         // there was no room for some
  bool malformed = false;            // a name among the cancels is no job's
};

std::string pack(const SyncRequest& request);
std::string pack(const SyncAnswer& answer);
/// No value: no such message at all.
std::optional<SyncRequest> parse_sync_request(std::string_view bytes);
std::optional<SyncAnswer> parse_sync_answer(std::string_view bytes);

}  // namespace corkmux
