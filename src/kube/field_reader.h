// Reads an object of a submission field by field and collects its errors.
#pragma once
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "objects.h"

namespace corkmux::kube {

/// Reads the fields of one object. Fields that were never read can be rejected at the end, so that no field
/// that a client sends is silently ignored. The object and the list of causes must outlive the reader.
class FieldReader {
 public:
  /// `path` is the object's path within the submission, used in errors. A value that is not an object is read
  /// as an object without fields, and adds a cause unless it is null.
  FieldReader(const Json& object, std::string path, std::vector<Cause>& causes);

  /// Returns the field's value; null if the field is absent or null.
  const Json* get(const std::string& name);
  /// Returns the field's string; empty if the field is absent or not a string. The latter adds a cause.
  std::string text(const std::string& name);
  /// Returns the field's integer between `minimum` and `maximum`, both included. nullopt if the field is
  /// absent or not such an integer; the latter adds a cause.
  std::optional<int> integer(const std::string& name, int minimum, int maximum);

  /// Adds a cause if the field is present.
  void refuse(const std::string& name, const std::string& why);
  /// Adds a cause for each field that was not read. Null fields, empty objects and empty lists have no
  /// effect, so they are allowed.
  void refuse_rest(const std::string& why);
  void add_invalid(const std::string& name, const std::string& why);
  void add_missing(const std::string& name, const std::string& why);

  /// Returns the field's path; for an empty name the path of the object.
  std::string path_of(const std::string& name) const;
  const Json& object() const { return object_; }

 private:
  const Json& object_;
  std::string path_;
  std::vector<Cause>& causes_;
  std::set<std::string> read_fields_;
};

/// Returns the member of an object; an empty object if there is no such member or `object` is not an object.
const Json& member_or_empty(const Json& object, const char* name);

}  // namespace corkmux::kube
