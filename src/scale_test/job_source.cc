#include "job_source.h"

#include <fmt/format.h>

#include <charconv>
#include <random>

namespace corkmux::scale_test {
namespace {

const std::string kPrefix = "run-";

std::mt19937_64 generator(const ScaleTestPlan& plan, int number, unsigned purpose) {
  std::seed_seq seed{static_cast<unsigned>(plan.seed), static_cast<unsigned>(number), purpose};
  return std::mt19937_64(seed);
}

const JobClass& draw_class(const ScaleTestPlan& plan, std::mt19937_64& random) {
  std::vector<double> weights;  // of jobs: a class of large jobs needs few for its share of the tasks
  for (const auto& c : plan.classes) weights.push_back(c.share / c.mean_tasks());
  std::discrete_distribution<std::size_t> draw(weights.begin(), weights.end());
  return plan.classes[draw(random)];
}

}  // namespace

std::string JobSource::name(int number) { return fmt::format("{}{:06}", kPrefix, number); }

std::optional<int> JobSource::number(const std::string& name) {
  if (name.rfind(kPrefix, 0) != 0) return std::nullopt;
  int out = 0;
  auto [end, error] = std::from_chars(name.data() + kPrefix.size(), name.data() + name.size(), out);
  if (error != std::errc() || end != name.data() + name.size() || out < 1) return std::nullopt;
  return out;
}

simulation::SimulatedJob JobSource::job(int number) const {
  auto random = generator(plan_, number, 1);
  const JobClass& c = draw_class(plan_, random);
  simulation::SimulatedJob work;
  JobSpec& spec = work.spec;
  spec.id = name(number);
  spec.job_class = c.name;
  spec.kind = c.kind;
  spec.priority = c.priority;
  spec.tasks = c.tasks[random() % c.tasks.size()];
  spec.team = fmt::format("team-{:03}", 1 + random() % static_cast<unsigned>(plan_.teams));
  spec.image = fmt::format("{}-{}", c.name, random() % static_cast<unsigned>(plan_.images));
  spec.image_gb = plan_.image_gb;
  spec.need = {plan_.task_cpus, c.accelerators, 1};
  spec.one_zone = c.kind == JobKind::Gang;  // members find one another in one process
  std::uniform_real_distribution<double> around(0.85, 1.15);
  if (c.kind == JobKind::Gang)
    work.run_s.assign(1, plan_.run_s * around(random));
  else
    for (int i = 0; i < spec.tasks; ++i) work.run_s.push_back(plan_.run_s * around(random));
  spec.estimate_s = plan_.run_s;
  return work;
}

bool JobSource::cancelled(int number) const {
  auto random = generator(plan_, number, 2);
  return std::uniform_real_distribution<double>(0, 1)(random) < plan_.cancel_share;
}

}  // namespace corkmux::scale_test
