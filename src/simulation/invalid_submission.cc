#include "invalid_submission.h"

#include <array>

namespace corkmux::simulation {

using codec::Json;

namespace {

constexpr int kMalformed = 400;
constexpr int kCanNeverRun = 422;

// Fields that a submission must have, by their names in the protocol.
constexpr std::array kRequiredFields = {
    "troupe", "crew",    "shape",    "rank",   "parts",    "vcpus",  "accelerators", "memGb",
    "bundle", "imageGb", "together", "spread", "lendable", "guessS", "bookmarkS",    "stashS"};

/// Defects 0 to 5 are each used for 1 of this many numbers, a missing field for the rest.
constexpr int kDefectCycle = 8;

}  // namespace

InvalidSubmission make_invalid_submission(Json valid_job, int number, std::mt19937_64& rng) {
  Json job = std::move(valid_job);
  switch (number % kDefectCycle) {
    case 0:
      job["crew"] = "nobody";
      return {std::move(job), kCanNeverRun};
    case 1:
      job["vcpus"] = 1e6;
      return {std::move(job), kCanNeverRun};
    case 2:
      job["builds"] = Json::array({"none-such"});
      return {std::move(job), kCanNeverRun};
    case 3:
      job["shape"] = "group";
      job["parts"] = 100000;
      return {std::move(job), kCanNeverRun};
    case 4:
      job["shape"] = "group";
      job["parts"] = 2;
      job["together"] = true;
      job["spread"] = true;
      return {std::move(job), kCanNeverRun};
    case 5:
      job["vcpus"] = -1.0;
      return {std::move(job), kMalformed};
    default:
      job.erase(kRequiredFields.at(rng() % kRequiredFields.size()));
      return {std::move(job), kMalformed};
  }
}

}  // namespace corkmux::simulation
