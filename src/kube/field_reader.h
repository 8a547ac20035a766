// Reads an object of a submission field by field and collects what is wrong with it.
#pragma once
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "objects.h"

namespace corkmux::kube {

/// A reader of one object. Fields that nobody has asked for can be refused at the end, so that nothing a
/// client sends is disregarded in silence. The object and the list of causes have to outlive the reader.
class FieldReader {
 public:
  /// `path`: of the object within the submission, as errors name it. Anything but an object counts as one
  /// without fields, and as wrong unless it is null.
  FieldReader(const Json& object, std::string path, std::vector<Cause>& causes);

  /// The field's value; null: it is not given.
  const Json* get(const std::string& name);
  /// The field's text; empty if it is not given or not a text.
  std::string text(const std::string& name);
  /// The field's whole number from `least` to `most`; nullopt: it is not given or not such a number.
  std::optional<int> whole_number(const std::string& name, int least, int most);

  /// Refuses the field if it is given.
  void refuse(const std::string& name, const std::string& why);
  /// Refuses all fields that were not asked for. Empty objects and lists mean nothing, so they may stay.
  void refuse_rest(const std::string& why);
  void add_invalid(const std::string& name, const std::string& why);
  void add_missing(const std::string& name, const std::string& why);

  /// The field's path; with an empty name the object's own.
  std::string path_of(const std::string& name) const;
  const Json& object() const { return object_; }

 private:
  const Json& object_;
  std::string path_;
  std::vector<Cause>& causes_;
  std::set<std::string> read_fields_;
};

/// The member of an object; an empty object if there is none or `object` is none itself.
const Json& member_or_empty(const Json& object, const char* name);

}  // namespace corkmux::kube
