#include "engine/server_starts.h"

#include <algorithm>
#include <utility>

namespace streampick::engine {

void ServerStarts::known_at_start(const EndpointList& list) {
  wall_clock_.observe();
  convert(list, true);
}

void ServerStarts::on_endpoint_list(const EndpointList& list) {
  wall_clock_.observe();
  const bool trust_old_starts = is_catching_up(list) || is_from_another_source(list);
  convert(list, trust_old_starts);
  last_list_ = time_.now();
}

Time ServerStarts::start_of(const std::string& id) const {
  const auto found = starts_.find(id);
  return found == starts_.end() ? 0 : found->second.monotonic;
}

Time ServerStarts::start_at(Time unix_time) {
  wall_clock_.observe();
  return to_monotonic(unix_time);
}

Time ServerStarts::to_monotonic(Time unix_time) const {
  if (unix_time <= 0) return 0;
  return wall_clock_.latest_reading(unix_time).value_or(time_.now());
}

bool ServerStarts::is_new(const ListedEndpoint& listed) const {
  const auto found = starts_.find(listed.id);
  return found == starts_.end() || found->second.unix_time != listed.member.started;
}

// Whether a new start is, by the wall clock, so early that an earlier list would have contained it.
bool ServerStarts::predates_list(const ListedEndpoint& listed) const {
  if (listed.member.started <= 0 || listed.member.phase == Phase::gone) return false;
  return is_new(listed) && to_monotonic(listed.member.started) < last_list_ - kListLag;
}

bool ServerStarts::is_catching_up(const EndpointList& list) {
  const Time now = time_.now();
  if (!first_list_) first_list_ = now;
  const bool is_first_complete_list = list.complete && !had_complete_list_;
  had_complete_list_ = had_complete_list_ || list.complete;
  return is_first_complete_list || (now - *first_list_ <= kCatchUp && now - created_at_ <= kListLag);
}

bool ServerStarts::is_from_another_source(const EndpointList& list) const {
  const auto predating =
      std::count_if(list.members.begin(), list.members.end(),
                    [this](const ListedEndpoint& listed) { return predates_list(listed); });
  return static_cast<std::size_t>(predating) > listed_;
}

void ServerStarts::convert(const EndpointList& list, bool trust_old_starts) {
  if (list.complete)
    for (auto& [id, start] : starts_) set_listed(start, false);
  for (const ListedEndpoint& listed : list.members) {
    if (listed.member.phase == Phase::gone) {
      const auto found = starts_.find(listed.id);
      if (found != starts_.end()) set_listed(found->second, false);
      continue;
    }
    const bool has_new_start = is_new(listed);
    const bool starts_now = !trust_old_starts && predates_list(listed);
    Start& start = starts_[listed.id];
    set_listed(start, true);
    if (!has_new_start) continue;
    start.unix_time = listed.member.started;
    start.monotonic = starts_now ? time_.now() : to_monotonic(listed.member.started);
  }
  remove_departed();
}

void ServerStarts::set_listed(Start& start, bool listed) {
  if (start.listed == listed) return;
  start.listed = listed;
  listed_ += listed ? 1 : -1;
}

void ServerStarts::remove_departed() {
  if (starts_.size() <= listed_ + kMaxDeparted) return;
  std::erase_if(starts_, [](const auto& entry) { return !entry.second.listed; });
}

}  // namespace streampick::engine
