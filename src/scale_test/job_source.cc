#include "job_source.h"

#include <fmt/format.h>

#include <charconv>
#include <random>

namespace corkmux::scale_test {
namespace {

const std::string kPrefix = "run-";

/// The use of a random generator: each has its own seed, so that the draws of one use do not shift those of
/// another.
enum class Purpose : unsigned { Description = 1, Cancellation = 2 };

std::mt19937_64 generator(const ScaleTestPlan& plan, int number, Purpose purpose) {
  std::seed_seq seed{static_cast<unsigned>(plan.seed), static_cast<unsigned>(number),
                     static_cast<unsigned>(purpose)};
  return std::mt19937_64(seed);
}

const JobClass& draw_class(const ScaleTestPlan& plan, std::mt19937_64& random) {
  // Relative numbers of jobs: a class of large jobs needs few jobs to start its share of the tasks.
  std::vector<double> weights;
  for (const auto& job_class : plan.classes) weights.push_back(job_class.share / job_class.mean_tasks());
  std::discrete_distribution<std::size_t> draw(weights.begin(), weights.end());
  return plan.classes[draw(random)];
}

JobSpec draw_spec(const ScaleTestPlan& plan, int number, std::mt19937_64& random) {
  const JobClass& job_class = draw_class(plan, random);
  JobSpec spec;
  spec.id = JobSource::name(number);
  spec.job_class = job_class.name;
  spec.kind = job_class.kind;
  spec.priority = job_class.priority;
  spec.tasks = job_class.tasks[random() % job_class.tasks.size()];
  spec.team = fmt::format("team-{:03}", 1 + random() % static_cast<unsigned>(plan.teams));
  spec.image = fmt::format("{}-{}", job_class.name, random() % static_cast<unsigned>(plan.images));
  spec.image_gb = plan.image_gb;
  spec.need = {plan.task_cpus, job_class.accelerators, 1};
  // The members of a gang must share the process of one zone.
  spec.one_zone = job_class.kind == JobKind::Gang;
  spec.estimate_s = plan.run_s;
  return spec;
}

}  // namespace

std::string JobSource::name(int number) { return fmt::format("{}{:06}", kPrefix, number); }

std::optional<int> JobSource::number(const std::string& name) {
  if (name.rfind(kPrefix, 0) != 0) return std::nullopt;
  int number = 0;
  const char* end_of_name = name.data() + name.size();
  auto [end, error] = std::from_chars(name.data() + kPrefix.size(), end_of_name, number);
  if (error != std::errc() || end != end_of_name || number < 1) return std::nullopt;
  return number;
}

simulation::SimulatedJob JobSource::job(int number) const {
  auto random = generator(plan_, number, Purpose::Description);
  simulation::SimulatedJob work;
  work.spec = draw_spec(plan_, number, random);
  std::uniform_real_distribution<double> spread(1 - kRunSpread, 1 + kRunSpread);
  int runs = work.spec.kind == JobKind::Gang ? 1 : work.spec.tasks;
  for (int i = 0; i < runs; ++i) work.run_s.push_back(plan_.run_s * spread(random));
  return work;
}

bool JobSource::cancelled(int number) const {
  auto random = generator(plan_, number, Purpose::Cancellation);
  return std::uniform_real_distribution<double>(0, 1)(random) < plan_.cancel_share;
}

}  // namespace corkmux::scale_test
