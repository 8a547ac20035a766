#include "simulated_network.h"

#include <algorithm>
#include <utility>

#include "event_simulator.h"

namespace corkmux::simulation {
namespace {

http::Result connection_refused() { return http::Result::not_sent("connection refused"); }
http::Result connection_closed() { return http::Result::unanswered("the connection was closed"); }

/// Handles answers to copies of requests that a fault made: the original sender must not receive them.
void ignore_answer(http::Result) {}

bool begins_with(const std::string& text, const std::string& start) { return text.rfind(start, 0) == 0; }

}  // namespace

// ---------------------------------------------------------------- faults

void SimulatedNetwork::partition(HostPair between, PartitionMode mode, double until) {
  partitions_.push_back({std::move(between), mode, until});
  if (mode != PartitionMode::Reset) return;
  const auto& separates = partitions_.back().between;
  std::vector<CallId> broken_calls;
  for (const auto& [id, call] : calls_)
    if (separates(*call.from, *call.to) || separates(*call.to, *call.from)) broken_calls.push_back(id);
  for (auto id : broken_calls) finish(id, connection_closed(), 0);
}

void SimulatedNetwork::lose_answers(HostPair between, double share, double until, std::string path) {
  answer_losses_.push_back({std::move(between), share, until, std::move(path)});
}

void SimulatedNetwork::lose_requests(HostPair between, double until) {
  request_losses_.push_back({std::move(between), until});
}

void SimulatedNetwork::slow_down(HostPair between, double factor, double until) {
  slow_links_.push_back({std::move(between), factor, until});
}

std::size_t SimulatedNetwork::deliver_retained(const std::vector<Host*>& hosts, int port) {
  auto copies = std::exchange(retained_, {});
  for (const auto& copy : copies)
    for (Host* host : hosts)
      schedule_delivery(add_call(*copy.from, *host, ignore_answer, ""), simulator_.now(), port, copy.request);
  return copies.size();
}

const SimulatedNetwork::Partition* SimulatedNetwork::find_partition(const Host& from, const Host& to) const {
  const Partition* longest = nullptr;
  for (const auto& partition : partitions_) {
    if (partition.until <= simulator_.now()) continue;
    if (longest && partition.until <= longest->until) continue;
    if (partition.between(from, to)) longest = &partition;
  }
  return longest;
}

bool SimulatedNetwork::connected(const Host& one, const Host& other) const {
  return !find_partition(one, other) && !find_partition(other, one);
}

SimulatedNetwork::PartitionEffect SimulatedNetwork::effect_on_request(const Partition* outbound,
                                                                      const Partition* inbound, bool open) {
  for (const Partition* partition : {outbound, inbound}) {
    if (!partition) continue;
    if (partition->mode == PartitionMode::Refuse) return PartitionEffect::Refused;
    // A new connection attempt fails now; it does not complete when the partition ends.
    if (!open) return PartitionEffect::NotConnected;
    if (partition->mode == PartitionMode::Reset) return PartitionEffect::ConnectionReset;
  }
  return PartitionEffect::None;
}

bool SimulatedNetwork::loses_request(const Host& from, const Host& to) const {
  return std::any_of(request_losses_.begin(), request_losses_.end(), [&](const RequestLoss& loss) {
    return loss.until > simulator_.now() && loss.between(from, to);
  });
}

bool SimulatedNetwork::loses_answer(const Call& call) {
  return std::any_of(answer_losses_.begin(), answer_losses_.end(), [&](const AnswerLoss& loss) {
    return loss.until > simulator_.now() && loss.between(*call.to, *call.from) &&
           begins_with(call.target, loss.path) && simulator_.uniform(0, 1) < loss.share;
  });
}

bool SimulatedNetwork::delay_request(Host& from, Host& to, int port, const http::Request& request) {
  for (const auto& fault : delayed_) {
    if (fault.until <= simulator_.now() || !fault.between(from, to) ||
        !begins_with(request.target, fault.path))
      continue;
    if (simulator_.uniform(0, 1) >= fault.share) continue;
    if (fault.mode == DelayedDelivery::Mode::Retained) {
      if (retained_.size() >= kMaxRetainedRequests) retained_.pop_front();
      retained_.push_back({&from, request});
      continue;
    }
    auto copy = add_call(from, to, ignore_answer, "");
    double delay_s = simulator_.uniform(fault.min_delay_s, fault.max_delay_s);
    schedule_delivery(copy, simulator_.now() + delay_s, port, request);
    if (fault.mode == DelayedDelivery::Mode::Late) return true;
  }
  return false;
}

double SimulatedNetwork::draw_delay(const Host& from, const Host& to) {
  double usual_s = from.zone() == to.zone() ? kDelayInZone : kDelayBetweenZones;
  double delay_s = usual_s * simulator_.uniform(0.7, 1.6);
  if (simulator_.uniform(0, 1) < kRetransmissionShare) delay_s += kRetransmissionDelay;
  for (const auto& link : slow_links_)
    if (link.until > simulator_.now() && (link.between(from, to) || link.between(to, from)))
      delay_s *= link.factor;
  return delay_s;
}

// ---------------------------------------------------------------- requests and answers

SimulatedNetwork::CallId SimulatedNetwork::add_call(Host& from, Host& to, http::Transport::Done done,
                                                    std::string target) {
  auto id = next_call_++;
  calls_.emplace(id, Call{&from, &to, std::move(done), std::move(target)});
  return id;
}

bool SimulatedNetwork::send(Host& from, const std::string& address, http::Request request, bool open,
                            http::Transport::Done done) {
  Host* to = simulator_.find_host(ip_of(address));
  if (!to) return false;
  if (from.role() == HostRole::Controller && to->role() == HostRole::Controller)
    ++peer_requests_[request.target];
  const Partition* outbound = find_partition(from, *to);
  const Partition* inbound = find_partition(*to, from);
  auto effect = effect_on_request(outbound, inbound, open);
  if (effect == PartitionEffect::NotConnected) return false;
  auto call = add_call(from, *to, std::move(done), request.target);
  if (effect != PartitionEffect::None) {
    bool refused = effect == PartitionEffect::Refused;
    finish(call, refused ? connection_refused() : connection_closed(), draw_delay(from, *to));
    return true;
  }
  if (loses_request(from, *to)) return true;
  int port = port_of(address);
  if (delay_request(from, *to, port, request)) return true;
  if (outbound) ++held_back_;
  double leaves_at = outbound ? std::max(simulator_.now(), outbound->until) : simulator_.now();
  schedule_delivery(call, leaves_at + draw_delay(from, *to), port, std::move(request));
  return true;
}

void SimulatedNetwork::schedule_delivery(CallId call, double time, int port, http::Request request) {
  simulator_.schedule_at(time, nullptr, [this, call, port, request = std::move(request)]() mutable {
    deliver(call, port, std::move(request));
  });
}

void SimulatedNetwork::deliver(CallId call, int port, http::Request request) {
  auto found = calls_.find(call);
  if (found == calls_.end()) return;
  Host& to = *found->second.to;
  bool at_its_address = to.alive() && simulator_.find_host(to.ip()) == &to;
  if (!at_its_address && to.powered_off()) return;
  if (!at_its_address || !to.listener(port)) return finish(call, connection_refused(), kDelayInZone);
  simulator_.schedule_at(simulator_.now(), &to,
                         [this, call, port, host = &to, request = std::move(request)]() mutable {
                           accept(call, *host, port, std::move(request));
                         });
}

void SimulatedNetwork::accept(CallId call, Host& host, int port, http::Request request) {
  const auto* listener = host.listener(port);
  if (!listener) return finish(call, connection_refused(), kDelayInZone);
  auto accept = *listener;  // a copy, since the call may stop listening and remove the listener
  accept(std::move(request), [this, call](const http::Response& response) { answer(call, response); });
}

void SimulatedNetwork::answer(CallId id, const http::Response& response) {
  auto found = calls_.find(id);
  if (found == calls_.end()) return;
  const Call& call = found->second;
  if (loses_answer(call)) {
    ++answers_lost_;
    return;
  }
  double leaves_at = simulator_.now();
  if (const Partition* partition = find_partition(*call.to, *call.from)) {
    if (partition->mode != PartitionMode::Hold) return finish(id, connection_closed(), 0);
    leaves_at = partition->until;
  }
  double delay_s = draw_delay(*call.to, *call.from);
  finish(id, http::Result::response(response.status, response.body), leaves_at - simulator_.now() + delay_s);
}

void SimulatedNetwork::finish(CallId id, http::Result result, double after_s) {
  auto call = calls_.extract(id);
  if (!call) return;
  simulator_.schedule_at(simulator_.now() + after_s, call.mapped().from,
                         [done = std::move(call.mapped().done), result = std::move(result)]() mutable {
                           done(std::move(result));
                         });
}

void SimulatedNetwork::host_ended(const Host& host) {
  if (host.powered_off()) return;
  std::vector<CallId> broken_calls;
  for (const auto& [id, call] : calls_)
    if (call.to == &host) broken_calls.push_back(id);
  for (auto id : broken_calls) finish(id, connection_closed(), kDelayInZone);
}

}  // namespace corkmux::simulation
