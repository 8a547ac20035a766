// The folder of a run's settings files and logs, under the system's folder for temporary files. The
// destructor removes the folder and its content, unless keep() was called.
#pragma once
#include <filesystem>
#include <string>

namespace corkmux::scale_test {

class RunFolder {
 public:
  /// Makes a new folder. Throws std::runtime_error on failure.
  RunFolder();
  ~RunFolder();
  RunFolder(const RunFolder&) = delete;
  RunFolder& operator=(const RunFolder&) = delete;

  /// The path of a file in the folder.
  std::string file(const std::string& name) const { return path_ / name; }
  /// Writes a file into the folder. Throws std::runtime_error on failure.
  void write(const std::string& name, const std::string& text) const;
  /// Leaves the folder in place, so that the cause of a failure can be found in its logs.
  void keep() { kept_ = true; }
  std::string path() const { return path_; }

 private:
  std::filesystem::path path_;
  bool kept_ = false;
};

}  // namespace corkmux::scale_test
