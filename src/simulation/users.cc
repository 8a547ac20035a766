#include "users.h"

#include <algorithm>

#include "codec.h"
#include "simulation_constants.h"

namespace corkmux::simulation {
namespace {
std::string phase_in(const http::Result& r) {
  auto body = codec::unpack(r.body);
  return body && body->is_object() ? body->value("phase", "") : "";
}
}  // namespace

Balancer::Balancer(Loop& loop, const std::map<std::string, std::string>& controllers)
    : loop_(loop), rng_(fresh_seed()), probes_(loop) {
  for (const auto& [label, address] : controllers) {
    auto node = std::make_unique<Node>();
    node->client = std::make_unique<http::Client>(loop_, address, 4000, 4000);
    nodes_.push_back(std::move(node));
  }
  probes_.every(kReadyEvery, [this] {
    for (auto& n : nodes_) probe(*n);
  });
}

void Balancer::probe(Node& node) {
  node.client->request("GET", "/ready", "", kReadyWait, [&node](http::Result r) {
    double now = steady_now();
    bool ok = r.status == 200;
    node.good = ok ? node.good + 1 : 0;
    node.bad = ok ? 0 : node.bad + 1;
    if (node.healthy && node.bad >= 2) {
      node.removals = now - node.removed_at < 120 ? node.removals + 1 : 0;
      node.removed_at = now;
      node.healthy = false;
      node.not_before = now + std::min(kReadyPauseMost, kReadyPause * (1 << std::min(node.removals, 5)));
    } else if (!node.healthy && now >= node.not_before && node.good >= (node.ever ? 2 : 1)) {
      node.healthy = node.ever = true;
    }
  });
}

Balancer::Node* Balancer::pick(std::vector<Node*>& tried) {
  std::vector<Node*> can;
  double now = steady_now();
  for (auto& n : nodes_)
    if (n->healthy && now >= n->skip_until && std::find(tried.begin(), tried.end(), n.get()) == tried.end())
      can.push_back(n.get());
  return can.empty() ? nullptr : can[rng_() % can.size()];
}

void Balancer::request(const char* method, const std::string& target, std::string body, double timeout_s,
                       Done done) {
  attempt(method, target, std::move(body), timeout_s, std::move(done), {});
}

void Balancer::request_at(std::size_t node, const char* method, const std::string& target, std::string body,
                          double timeout_s, Done done) {
  nodes_[node]->client->request(method, target, std::move(body), timeout_s, std::move(done));
}

void Balancer::attempt(const char* method, std::string target, std::string body, double timeout_s, Done done,
                       std::vector<Node*> tried) {
  Node* node = tried.size() < 3 ? pick(tried) : nullptr;
  if (!node) {
    loop_.post([done = std::move(done)] { done({0, "", false, "no controller takes connections"}); });
    return;
  }
  tried.push_back(node);
  node->client->request(
      method, target, body, timeout_s, [=, this, done = std::move(done)](http::Result r) mutable {
        bool refused = !r.sent && r.status == 0;
        node->refused = refused ? node->refused + 1 : 0;
        if (node->refused >= 3) node->skip_until = steady_now() + kRefusedPause;
        if (!refused) return done(std::move(r));
        attempt(method, std::move(target), std::move(body), timeout_s, std::move(done), tried);
      });
}

Users::Users(Loop& loop, const std::map<std::string, std::string>& controllers, UserObserver& observer,
             JobRegistry& registry, std::function<double()> now)
    : loop_(loop),
      balancer_(loop, controllers),
      observer_(observer),
      registry_(registry),
      now_(std::move(now)),
      rng_(fresh_seed()) {}

void Users::after(double s, std::function<void()> fn) { loop_.call_later(s, std::move(fn)); }

void Users::submit(SimulatedJob work, std::optional<double> cancel_after_s) {
  auto id = work.spec.id;
  observer_.submitted(work.spec);
  registry_.add(std::move(work));
  try_submit(id, steady_now() + kSubmitGiveUp);
  if (cancel_after_s) after(*cancel_after_s, [this, id] { request_cancel(id); });
}

std::string Users::submission(const std::string& id) const {
  return codec::pack(codec::job_to_wire(registry_.find(id)->spec));
}

void Users::try_submit(const std::string& id, double until) {
  balancer_.request("POST", "/work", submission(id), kSubmitWait,
                    [this, id, until, asked = now_()](http::Result r) {
                      observer_.answered_submission(id, r.status, phase_in(r), asked);
                      if (r.status == 400 || r.status == 422) return;
                      if (r.status == 200 || r.status == 201) {
                        if (r.status == 201) unfinished_.push_back(id);
                        read_concurrently(id);
                        if (steady_now() < concurrent_reads_until_ && rng_() % 12 == 0) cancel_soon({id});
                        return poll_after(kPollEvery, id);
                      }
                      if (steady_now() + kAgain < until)
                        return after(kAgain, [this, id, until] { try_submit(id, until); });
                      observer_.gave_up(id);
                    });
}

void Users::poll(const std::string& id) {
  balancer_.request("GET", "/work/" + id, "", kPollWait, [this, id, asked = now_()](http::Result r) {
    auto phase = phase_in(r);
    observer_.answered_poll(id, r.status, phase, asked);
    double again = std::uniform_real_distribution<double>(0.9, 1.1)(rng_) * kPollEvery;
    bool over = r.status == 200 && (phase == "done" || phase == "cancelled");
    if (over && phase == "done") finished_.push_back(id);
    if (over) std::erase(unfinished_, id);
    // Some come back much later, with a question or with the same submission.
    if (over && rng_() % 8 == 0)
      return after(10 * again, [this, id] { rng_() % 2 ? poll(id) : try_submit(id, 0); });
    if (!over) poll_after(again, id);
  });
}

void Users::poll_after(double s, const std::string& id) {
  next_poll_[id] = loop_.call_later(s / poll_factor_, [this, id] {
    next_poll_.erase(id);
    poll(id);
  });
}

void Users::scale_poll_rate(double factor) {
  poll_factor_ = factor;
  // Those that wait longer now than they would ask again at once, a little apart.
  for (auto& [id, timer] : std::map<std::string, std::uint64_t>(next_poll_)) {
    loop_.cancel(timer);
    poll_after(std::uniform_real_distribution<double>(0, kPollEvery)(rng_), id);
  }
}

void Users::cancel(const std::string& id) {
  balancer_.request("POST", "/work/" + id + "/withdraw", "", kSubmitWait,
                    [this, id, asked = now_()](http::Result r) {
                      observer_.answered_cancel(id, r.status, phase_in(r), asked);
                      if (r.status == 200) read_concurrently(id);
                      if (r.status != 200) after(kAgain, [this, id] { cancel(id); });
                    });
}

void Users::request_cancel(const std::string& id) {
  observer_.asks_to_cancel(id);
  cancel(id);
}

void Users::cancel_soon(const std::vector<std::string>& jobs) {
  for (const auto& id : jobs)
    after(std::uniform_real_distribution<double>(0, kCancelWindow)(rng_), [this, id] { request_cancel(id); });
}

void Users::job_ended(const std::string& id) {
  read_concurrently(id);
  bool cancelled = std::uniform_real_distribution<double>(0, 1)(rng_) < cancel_end_share_;
  if (steady_now() < cancel_end_until_ && cancelled) request_cancel(id);
}

/// No controller may answer older than another has answered before: each is asked, some more than once.
void Users::read_concurrently(const std::string& id) {
  if (steady_now() >= concurrent_reads_until_) return;
  std::uniform_real_distribution<double> soon(0, kConcurrentReadWindow);
  for (std::size_t node = 0; node < balancer_.nodes(); ++node)
    for (int i = 0; i < kConcurrentReadsPerController; ++i)
      after(soon(rng_), [this, id, node] {
        balancer_.request_at(node, "GET", "/work/" + id, "", kPollWait,
                             [this, id, asked = now_()](http::Result r) {
                               observer_.answered_concurrent_read(id, r.status, phase_in(r), asked);
                             });
      });
  after(soon(rng_), [this, id, node = rng_() % balancer_.nodes()] {
    balancer_.request_at(node, "POST", "/work", submission(id), kSubmitWait,
                         [this, id, asked = now_()](http::Result r) {
                           observer_.answered_submission(id, r.status, phase_in(r), asked);
                         });
  });
}

void Users::send_invalid_requests_until(double time) {
  bool begins = steady_now() >= invalid_until_;
  invalid_until_ = time;
  if (begins) invalid_request();
}

void Users::invalid_request() {
  if (steady_now() >= invalid_until_) return;
  after(kInvalidRequestInterval, [this] { invalid_request(); });
  auto any = [this](const std::vector<std::string>& of) { return of[rng_() % of.size()]; };
  auto kind = rng_() % 4;
  if (kind == 0 && !unfinished_.empty()) return try_submit(any(unfinished_), 0);
  if (kind == 1 && !finished_.empty()) {
    auto id = any(finished_);
    return balancer_.request("POST", "/work/" + id + "/withdraw", "", kSubmitWait,
                             [this, id, asked = now_()](http::Result r) {
                               observer_.answered_concurrent_read(id, r.status, phase_in(r), asked);
                             });
  }
  invalid_submission();
}

/// A job that lacks a field, has an impossible one, or can never run.
void Users::invalid_submission() {
  if (registry_.jobs().empty()) return;
  auto job = codec::job_to_wire(registry_.jobs().begin()->second.spec);
  auto id = "run-8" + std::to_string(100000 + ++invalid_jobs_);
  job["ref"] = id;
  int status = 400;
  switch (invalid_jobs_ % 8) {
    case 0:
      status = 422, job["crew"] = "nobody";
      break;
    case 1:
      status = 422, job["vcpus"] = 1e6;
      break;
    case 2:
      status = 422, job["builds"] = codec::Json::array({"none-such"});
      break;
    case 3:
      status = 422, job["shape"] = "group", job["parts"] = 100000;
      break;
    case 4:
      status = 422, job["shape"] = "group", job["parts"] = 2, job["together"] = job["spread"] = true;
      break;
    case 5:
      job["vcpus"] = -1.0;
      break;
    default: {
      static const char* fields[] = {"troupe",       "crew",   "shape",     "rank",    "parts",    "vcpus",
                                     "accelerators", "memGb",  "bundle",    "imageGb", "together", "spread",
                                     "lendable",     "guessS", "bookmarkS", "stashS"};
      job.erase(fields[rng_() % std::size(fields)]);
    }
  }
  balancer_.request("POST", "/work", codec::pack(job), kSubmitWait,
                    [this, id, status](http::Result r) { observer_.answered_invalid(id, r.status, status); });
}

void Users::poll_once(const std::string& job) {
  balancer_.request("GET", "/work/" + job, "", kPollWait, [this, job, asked = now_()](http::Result r) {
    observer_.answered_poll(job, r.status, phase_in(r), asked);
  });
}

}  // namespace corkmux::simulation
