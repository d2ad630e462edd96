/// \file
/// Maps request classes to numbers that stay valid while the settings change. No I/O.
///
/// A class that does not change keeps its number; one whose rules change gets another number under the same
/// name. A request keeps the rules that it arrived under, so a number is reused only once no settings name it
/// and no request of it is open.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "streampick/router.h"

namespace streampick::engine {

class ClassTable {
 public:
  /// `names` may be shorter than `rules`: the classes beyond it have no name.
  ClassTable(std::vector<RequestClass> rules, std::vector<std::string> names);

  void request_opened(std::uint32_t number) { ++open_requests_.at(number); }
  void request_closed(std::uint32_t number) { --open_requests_.at(number); }

  /// Applies the classes of new settings. If two classes have the same name, the first one counts, as in
  /// look-ups by name.
  void change(const std::vector<RequestClass>& rules, const std::vector<std::string>& names);

  /// The rules by class number, including numbers that the current settings do not use.
  [[nodiscard]] const std::vector<RequestClass>& rules() const { return rules_; }
  /// The names by class number. A number without a class has a name that no request can contain.
  [[nodiscard]] const std::vector<std::string>& names() const { return names_; }
  [[nodiscard]] std::size_t open_requests(std::uint32_t number) const { return open_requests_.at(number); }
  /// The longest deadline, in microseconds, of the classes that are named or have open requests; kNever if
  /// one of them has no deadline.
  [[nodiscard]] Time longest_deadline() const;

 private:
  [[nodiscard]] std::size_t free_number() const;
  void set(std::size_t number, const RequestClass& rules, const std::string& name);

  std::vector<RequestClass> rules_;
  std::vector<std::string> names_;
  std::vector<std::size_t> open_requests_;
};

}  // namespace streampick::engine
