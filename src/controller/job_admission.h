// Decides which new jobs this controller may accept. Owns the flag that ends acceptance on shutdown; reads
// the settings and the catalog of machine types; never reads or writes a job. Shared by all front ends: the
// user API here and the Kubernetes API of `src/kube/`.
#pragma once
#include <cstddef>
#include <optional>
#include <string>

#include "catalog.h"
#include "model.h"
#include "settings.h"
#include "state_client.h"

namespace corkmux {

/// Why a job can never run on this cluster.
struct AdmissionError {
  std::string text;
};

class JobAdmission {
 public:
  JobAdmission(const Settings& settings, const StateClient& state, const Catalog& catalog)
      : settings_(settings), state_(state), catalog_(catalog) {}
  /// No value: the job may be accepted.
  std::optional<AdmissionError> check(const JobSpec& job) const;
  /// Whether the machine types are known; without them no job can be accepted.
  bool types_known() const { return !catalog_.types().empty(); }
  /// Whether the state store has answered within kStateStoreLostAfter.
  bool state_reachable() const;
  /// Bytes that a record may take, both now and once the announced limits apply.
  std::size_t record_size_limit() const { return static_cast<std::size_t>(settings_.next.value_kb * 1024); }
  /// Makes the front ends refuse new requests from now on.
  void close() { closing_ = true; }
  bool closing() const { return closing_; }

 private:
  bool fits_some_type(const JobSpec& job) const;
  const Settings& settings_;
  const StateClient& state_;
  const Catalog& catalog_;
  bool closing_ = false;
};

}  // namespace corkmux
