#include "fanin_membership.h"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace corkmux {

FanInMembership::FanInMembership(const Settings& settings, ChangedCallback changed)
    : controllers_{settings.label}, changed_(std::move(changed)) {
  for (const auto& peer : settings.peers) controllers_.insert(peer.label);
}

void FanInMembership::announce(std::uint64_t term, std::vector<std::string> members) {
  bool own_term = newest_.term == term;
  if (own_term && newest_.labels == members) return;
  newest_ = {term, own_term ? newest_.number + 1 : 1, std::move(members)};
  changed_(newest_.labels);
}

void FanInMembership::receive_announcement(const FanInAnnouncement& announcement) {
  if (std::tie(announcement.term, announcement.number) <= std::tie(newest_.term, newest_.number)) return;
  newest_ = {announcement.term, announcement.number, {}};
  std::copy_if(announcement.labels.begin(), announcement.labels.end(), std::back_inserter(newest_.labels),
               [this](const std::string& label) { return controllers_.contains(label); });
  changed_(newest_.labels);
}

std::optional<FanInAnnouncement> FanInMembership::newest() const {
  if (!newest_.term) return std::nullopt;
  return newest_;
}

}  // namespace corkmux
