#include "engine/class_table.h"

#include <algorithm>
#include <utility>

namespace streampick::engine {
namespace {

// Name of a class number that the current settings do not use. A class name in a request cannot contain a
// line feed, so no request matches it.
const std::string kUnnamed = "\n";

bool is_first_of_its_name(const std::vector<std::string>& names, std::size_t index) {
  return std::find(names.begin(), names.end(), names[index]) - names.begin() ==
         static_cast<std::ptrdiff_t>(index);
}

}  // namespace

ClassTable::ClassTable(std::vector<RequestClass> rules, std::vector<std::string> names)
    : rules_(std::move(rules)), names_(std::move(names)), open_requests_(rules_.size(), 0) {
  names_.resize(rules_.size(), kUnnamed);
}

void ClassTable::change(const std::vector<RequestClass>& rules, const std::vector<std::string>& names) {
  const std::vector<std::string> former_names = std::exchange(names_, std::vector(names_.size(), kUnnamed));
  const auto former_number = [&](const std::string& name) {
    return static_cast<std::size_t>(std::find(former_names.begin(), former_names.end(), name) -
                                    former_names.begin());
  };
  // Unchanged classes keep their numbers first; after that, changed classes take free numbers.
  std::vector<std::size_t> changed;
  for (std::size_t i = 0; i < rules.size() && i < names.size(); ++i) {
    if (!is_first_of_its_name(names, i)) continue;
    const std::size_t number = former_number(names[i]);
    const bool existed = number < former_names.size();
    RequestClass candidate = rules[i];
    if (existed) candidate.similar_class = rules_[number].similar_class;
    if (existed && candidate == rules_[number]) {
      names_[number] = names[i];
    } else {
      changed.push_back(i);
    }
  }
  for (const std::size_t i : changed) {
    RequestClass next = rules[i];
    // The usual latency under the former rules is the starting point under the new ones.
    const std::size_t former = former_number(names[i]);
    if (former < former_names.size()) next.similar_class = static_cast<std::uint32_t>(former);
    set(free_number(), next, names[i]);
  }
}

std::size_t ClassTable::free_number() const {
  std::size_t number = 0;
  while (number < rules_.size() && (names_[number] != kUnnamed || open_requests_[number] > 0)) ++number;
  return number;
}

void ClassTable::set(std::size_t number, const RequestClass& rules, const std::string& name) {
  if (number == rules_.size()) {
    rules_.emplace_back();
    names_.emplace_back();
    open_requests_.push_back(0);
  }
  rules_[number] = rules;
  names_[number] = name;
}

Time ClassTable::longest_deadline() const {
  const bool any_named =
      std::any_of(names_.begin(), names_.end(), [](const auto& name) { return name != kUnnamed; });
  Time longest = 0;
  for (std::size_t i = 0; i < rules_.size(); ++i) {
    if (any_named && names_[i] == kUnnamed && open_requests_[i] == 0) continue;
    longest = std::max(longest, rules_[i].deadline > 0 ? rules_[i].deadline : kNever);
  }
  return longest;
}

}  // namespace streampick::engine
