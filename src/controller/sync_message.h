// The messages that two controllers exchange every kPeerTick, and their wire format. No other file refers to
// the wire fields. A malformed field never fails the whole message: it counts as absent.
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
  std::uint64_t term = 0;    // of the leader that announced it; 0: no announcement yet
  std::uint64_t number = 0;  // counts the announcements of that term
  std::vector<std::string> labels;
};

/// State that the sender of either message reports about itself.
struct PeerStatus {
  std::string label;
  std::uint64_t incarnation = 0;                 // differs between runs of the process
  std::optional<double> state_age;               // s since the state store last answered it
  std::string leader;                            // label; empty: no leader is known
  std::uint64_t term = 0;                        // the newest known
  bool takes_batches = false;                    // whether its version can be a fan-in member
  std::optional<FanInAnnouncement> fanin;        // the newest received
  std::optional<double> dependency_barrier_age;  // s; an age, since steady clocks differ between machines
};

/// The last of the answering peer's cancels that the sender of the request has received.
struct CancelAcknowledgement {
  std::uint64_t incarnation = 0;  // of the peer that numbered them
  std::uint64_t number = 0;       // of the last one received
};

struct SyncRequest {
  PeerStatus status;
  std::optional<CancelAcknowledgement> acknowledged;  // no value: a former version without cancel numbers
  std::vector<codec::JobView> views;                  // of jobs, sent by the leader
};

struct SyncAnswer {
  PeerStatus status;
  std::vector<std::string> cancels;  // jobs whose cancel the peer accepted and the requester has not received
  std::uint64_t last_cancel = 0;     // number of the peer's last cancel
  bool cancels_lost = false;         // some were dropped for lack of capacity
  bool malformed = false;            // an entry among the cancels is not a valid job id
};

std::string pack(const SyncRequest& request);
std::string pack(const SyncAnswer& answer);
/// No value: the bytes are not a MessagePack map.
std::optional<SyncRequest> parse_sync_request(std::string_view bytes);
std::optional<SyncAnswer> parse_sync_answer(std::string_view bytes);

}  // namespace corkmux
