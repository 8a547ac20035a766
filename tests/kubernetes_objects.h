// Builds Kubernetes API submissions for tests.
#pragma once
#include <random>
#include <string>

#include "job_spec.h"
#include "request_body.h"

namespace corkmux {

/// Returns the batch/v1 Job equivalent to the specification, except for id and team, which a Job cannot
/// express.
inline kube::Json kubernetes_job(const JobSpec& spec) {
  using kube::Json;
  auto integer_text = [](double amount) { return std::to_string(static_cast<int>(amount)); };
  auto milli_quantity = [&](double amount) { return integer_text(amount * 1000) + "m"; };
  Json annotations = {{"corkmux.io/class", spec.job_class},
                      {"corkmux.io/gang", spec.kind == JobKind::Gang ? "true" : "false"},
                      {"corkmux.io/one-zone", spec.one_zone ? "true" : "false"},
                      {"corkmux.io/spread", spec.spread ? "true" : "false"},
                      {"corkmux.io/image-gb", milli_quantity(spec.image_gb)},
                      {"corkmux.io/estimate-s", integer_text(spec.estimate_s)},
                      {"corkmux.io/checkpoint-s", integer_text(spec.checkpoint_s)},
                      {"corkmux.io/save-s", integer_text(spec.save_s)}};
  if (spec.deadline_s) annotations["corkmux.io/deadline-s"] = integer_text(*spec.deadline_s);
  Json requests = {{"cpu", milli_quantity(spec.need.cpus)},
                   {"memory", integer_text(spec.need.memory_gb) + "G"}};
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

/// Returns a random job among those that a Kubernetes Job can express.
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
