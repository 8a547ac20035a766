// The folder of a run's settings files and logs, under the system's folder for temporary files. Removed with
// all that is in it when this object ends, unless it is kept.
#pragma once
#include <filesystem>
#include <string>

namespace corkmux::scale_test {

class RunFolder {
 public:
  /// Makes a new folder. Throws std::runtime_error if it cannot.
  RunFolder();
  ~RunFolder();
  RunFolder(const RunFolder&) = delete;
  RunFolder& operator=(const RunFolder&) = delete;

  /// The path of a file in it.
  std::string file(const std::string& name) const { return path_ / name; }
  /// Throws std::runtime_error if the file cannot be written.
  void write(const std::string& name, const std::string& text) const;
  /// The folder stays, for whoever looks for the cause of a failure.
  void keep() { kept_ = true; }
  std::string path() const { return path_; }

 private:
  std::filesystem::path path_;
  bool kept_ = false;
};

}  // namespace corkmux::scale_test
