// Submissions of the Kubernetes API for tests.
#pragma once
#include <random>
#include <string>

#include "job_spec.h"
#include "request_body.h"

namespace corkmux {

/// The batch/v1 Job that says what the specification says, but for what no Job can say (id, team).
inline kube::Json kubernetes_job(const JobSpec& spec) {
  using kube::Json;
  auto whole = [](double amount) { return std::to_string(static_cast<int>(amount)); };
  auto thousandths = [&](double amount) { return whole(amount * 1000) + "m"; };
  Json annotations = {{"corkmux.io/class", spec.job_class},
                      {"corkmux.io/gang", spec.kind == JobKind::Gang ? "true" : "false"},
                      {"corkmux.io/one-zone", spec.one_zone ? "true" : "false"},
                      {"corkmux.io/spread", spec.spread ? "true" : "false"},
                      {"corkmux.io/image-gb", thousandths(spec.image_gb)},
                      {"corkmux.io/estimate-s", whole(spec.estimate_s)},
                      {"corkmux.io/checkpoint-s", whole(spec.checkpoint_s)},
                      {"corkmux.io/save-s", whole(spec.save_s)}};
  if (spec.deadline_s) annotations["corkmux.io/deadline-s"] = whole(*spec.deadline_s);
  Json requests = {{"cpu", thousandths(spec.need.cpus)}, {"memory", whole(spec.need.memory_gb) + "G"}};
  if (spec.need.gpus > 0) requests["corkmux.io/accelerator"] = static_cast<int>(spec.need.gpus);
  static const char* const kPriorities[] = {"low", "normal", "high", "production"};
  Json container = {{"name", "main"}, {"image", spec.image}, {"resources", {{"requests", requests}}}};
  Json pod = {{"restartPolicy", "Never"},
              {"priorityClassName", kPriorities[static_cast<int>(spec.priority)]},
              {"containers", {container}}};
  if (spec.zone) pod["nodeSelector"]["topology.kubernetes.io/zone"] = *spec.zone;
  if (spec.types) pod["nodeSelector"]["node.kubernetes.io/instance-type"] = spec.types->front();
  if (spec.spot) pod["tolerations"] = {{{"key", "corkmux.io/spot"}, {"operator", "Exists"}}};
  return {
      {"apiVersion", "batch/v1"},
      {"kind", "Job"},
      {"metadata", {{"name", "x"}, {"annotations", annotations}}},
      {"spec", {{"completions", spec.tasks}, {"parallelism", spec.tasks}, {"template", {{"spec", pod}}}}}};
}

/// Any job that a Kubernetes Job can say.
inline JobSpec random_job(std::mt19937& rng) {
  auto below = [&](int limit) { return static_cast<int>(rng() % static_cast<unsigned>(limit)); };
  JobSpec spec;
  spec.job_class = "c" + std::to_string(below(5));
  spec.image = "i" + std::to_string(below(5));
  spec.kind = below(2) ? JobKind::Gang : JobKind::Array;
  spec.priority = static_cast<Priority>(below(4));
  spec.tasks = 1 + below(100);
  spec.need.cpus = 0.5 + below(16);
  spec.need.gpus = below(3);
  spec.need.memory_gb = below(60);
  spec.image_gb = below(100) / 4.0;
  spec.estimate_s = below(1000);
  spec.checkpoint_s = below(50);
  spec.save_s = below(9);
  if (below(2)) spec.zone = "a";
  if (below(2)) spec.types = std::vector<std::string>{"plain"};
  if (below(2)) spec.deadline_s = below(5000);
  spec.one_zone = below(2);
  spec.spread = !spec.one_zone && below(2);
  spec.spot = below(2);
  return spec;
}

}  // namespace corkmux
