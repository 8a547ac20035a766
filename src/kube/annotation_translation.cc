#include "annotation_translation.h"

#include <optional>
#include <set>

#include "field_reader.h"
#include "quantity.h"

namespace corkmux::kube {
namespace {

constexpr double kMaxAmount = 1e12;  // largest value of an annotation, in the annotation's unit
constexpr const char* kDefaultClass = "kubernetes";

/// Reads the values of annotations with the project's prefix.
class AnnotationReader {
 public:
  AnnotationReader(const Json& annotations, std::vector<Cause>& causes)
      : fields_(annotations, "metadata.annotations", causes), causes_(causes) {}

  std::string text(const char* name) { return fields_.text(std::string(kCorkmuxPrefix) + name); }

  /// Returns the amount; nullopt if the annotation is absent or not an amount. The latter adds a cause.
  std::optional<double> amount(const char* name) {
    const std::string value = text(name);
    if (value.empty()) return std::nullopt;
    auto parsed = parse_quantity(value);
    if (parsed && *parsed <= kMaxAmount) return parsed;
    add_invalid(name, "not a number from 0 on");
    return std::nullopt;
  }

  bool flag(const char* name) {
    const std::string value = text(name);
    if (!value.empty() && value != "true" && value != "false") add_invalid(name, "neither true nor false");
    return value == "true";
  }

  void add_invalid(const char* name, const std::string& why) {
    fields_.add_invalid(std::string(kCorkmuxPrefix) + name, why);
  }

  /// Adds a cause for each annotation with the project's prefix that the project does not define.
  void refuse_unknown() {
    static const std::set<std::string> kKnown{"class",        "gang",     "one-zone",
                                              "spread",       "image-gb", "estimate-s",
                                              "checkpoint-s", "save-s",   "deadline-s"};
    const std::string prefix = kCorkmuxPrefix;
    for (const auto& [name, value] : fields_.object().items()) {
      if (name.rfind(prefix, 0) != 0 || kKnown.contains(name.substr(prefix.size()))) continue;
      causes_.push_back({"metadata.annotations", name + ": not known", kNotSupported});
    }
  }

 private:
  FieldReader fields_;
  std::vector<Cause>& causes_;
};

}  // namespace

void read_annotations(const Json& object, JobTranslation& translation) {
  AnnotationReader annotations(member_or_empty(member_or_empty(object, "metadata"), "annotations"),
                               translation.causes);
  JobSpec& job = translation.job;
  job.job_class = annotations.text("class");
  if (job.job_class.empty()) job.job_class = kDefaultClass;
  if (annotations.flag("gang")) job.kind = JobKind::Gang;
  job.one_zone = annotations.flag("one-zone");
  job.spread = annotations.flag("spread");
  job.image_gb = annotations.amount("image-gb").value_or(job.image_gb);
  job.estimate_s = annotations.amount("estimate-s").value_or(job.estimate_s);
  job.checkpoint_s = annotations.amount("checkpoint-s").value_or(job.checkpoint_s);
  job.save_s = annotations.amount("save-s").value_or(job.save_s);
  if (auto deadline = annotations.amount("deadline-s")) job.deadline_s = deadline;
  if (job.one_zone && job.spread) annotations.add_invalid("spread", "cannot be kept together with one-zone");
  annotations.refuse_unknown();
}

}  // namespace corkmux::kube
