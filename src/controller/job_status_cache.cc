#include "job_status_cache.h"

#include "controller_constants.h"
#include "scheduler_constants.h"

namespace corkmux {

void JobStatusCache::update(const codec::JobView& view) {
  // The leader publishes these two phases only after they are stored, so they are final and may be cached as
  // such.
  if (view.phase == job_phase::kDone || view.phase == job_phase::kCancelled)
    return cache_end(view.id, {view.phase, view.done});
  if (ended(view.id)) return;
  if (views_.insert_or_assign(view.id, view).second) view_order_.push_back(view.id);
  while (view_order_.size() > constants::kMaxCachedJobViews) {
    views_.erase(view_order_.front());
    view_order_.pop_front();
  }
}

void JobStatusCache::cache_end(const std::string& job, const JobEnd& end) {
  if (!ends_.emplace(job, end).second) return;
  views_.erase(job);
  callbacks_.ended(job);
  end_order_.push_back(job);
  if (end_order_.size() > constants::kFinishedJobsCached) {
    ends_.erase(end_order_.front());
    end_order_.pop_front();
  }
}

/// `cancel_s` runs from the moment at which a user gets the answer that the job is cancelled. The leader's
/// watch of the jobs may lose its answers, so the leader is also notified through the callback; this covers a
/// cancel whose write had its answer lost, too.
void JobStatusCache::note_cancelled(const std::string& job) {
  if (ended(job)) return;
  cache_end(job, {job_phase::kCancelled, 0});
  callbacks_.cancelled(job);
}

void JobStatusCache::note_accepted(const std::string& job) {
  if (accepted_.size() >= constants::kFinishedJobsCached) accepted_.clear();
  accepted_.insert(job);
}

codec::JobView JobStatusCache::display(const std::string& job, const std::string& phase) const {
  codec::JobView out{job, phase, 0, 0, ""};
  if (auto end = ends_.find(job); end != ends_.end() && phase == end->second.phase) {
    out.done = phase == job_phase::kDone ? end->second.tasks_done : 0;
    return out;
  }
  if (auto view = views_.find(job); view != views_.end() && phase == job_phase::kQueued) {
    out = view->second;
    if (out.phase != job_phase::kRunning) out.phase = job_phase::kQueued;
  }
  return out;
}

}  // namespace corkmux
