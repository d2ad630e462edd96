#include "membership/change_log.h"

namespace streampick::membership {
namespace {

constexpr std::size_t kMaxChanges = 256;

}  // namespace

void ChangeLog::add(Change::Kind kind, const Record& subject) {
  ++total_;
  if (changes_.size() >= kMaxChanges) {
    changes_.pop_front();
    ++dropped_;
  }
  changes_.push_back(
      {.kind = kind, .name = subject.name, .instance = subject.instance, .address = subject.address});
}

std::vector<Change> ChangeLog::take() {
  std::vector<Change> taken(changes_.begin(), changes_.end());
  changes_.clear();
  return taken;
}

}  // namespace streampick::membership
