// Errors in the options file's sections [fleet] and [shares] that show only when the sections are checked
// against the platform's settings.
#pragma once

#include <string>
#include <utility>

#include "options/table.h"

namespace streampick::fleet {

/// what() is one line: "FILE: KEY: PROBLEM".
class ConfigurationError : public options::Error {
 public:
  /// `key`: path of the wrong key, such as "fleet.listen", or a section's name if no single key is wrong.
  ConfigurationError(const std::string& file, std::string key, const std::string& problem)
      : Error(file + ": " + key + ": " + problem), key_(std::move(key)) {}
  const std::string& key() const { return key_; }

 private:
  std::string key_;
};

}  // namespace streampick::fleet
