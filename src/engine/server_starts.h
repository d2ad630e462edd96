/// \file
/// Start times of servers on the monotonic scale on which their slow start is measured. Endpoint lists
/// contain starts as Unix times, and the wall clock may step, before and during the run. No I/O.
///
/// Assuming too late a start costs an unnecessary slow start; assuming too early a start may overload the
/// server. On the condition that all machines' wall clocks agree:
///
///   - A start is converted once, when a pair of server and listed start is first seen. Later steps of the
///     clock do not move it, and a server that is listed again with the same start keeps it.
///   - The result is the latest time at which the wall clock may have read the listed start
///     (WallClockHistory). If the clock has never read it, the server counts as starting now.
///   - A server that is new in a list has started since the list before it; kListLag is allowed for delayed
///     lists. An earlier start, as after a step of the clock before this process began, is not trusted: the
///     server counts as starting now.
///   - A new process has no list to compare with. It trusts the wall clock for the list known at its start,
///     for updates that catch up with that list, and for the first complete list. It also trusts the wall
///     clock for a list in which more servers have such an earlier start than servers are known, since such a
///     list comes from another source.
///   - A listed start of 0 means long ago.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>

#include "engine/endpoint_discovery.h"
#include "engine/time.h"
#include "engine/wall_clock_history.h"

namespace streampick::engine {

class ServerStarts {
 public:
  /// Maximum time from a server's start until a list contains it, in microseconds: 6 s for the notification,
  /// the rest for an outage of discovery.
  static constexpr Time kListLag = 30'000'000;
  /// Time after the first list, in microseconds, during which a further list may still report servers that
  /// the first one lacked.
  static constexpr Time kCatchUp = 1'000'000;
  /// Maximum number of departed servers whose starts are kept.
  static constexpr std::size_t kMaxDeparted = 4'096;

  /// `time` must outlive this object.
  explicit ServerStarts(TimeSource& time)
      : time_(time), wall_clock_(time), created_at_(time.now()), last_list_(created_at_) {}

  /// Converts the starts in the list known at the process's start.
  void known_at_start(const EndpointList& list);
  /// Converts new starts in a list from discovery.
  void on_endpoint_list(const EndpointList& list);
  /// The start of a listed server on the scale of TimeSource::now(); 0: long ago.
  Time start_of(const std::string& id) const;
  /// Converts a Unix time that this machine, or the process before this one, read from the wall clock.
  Time start_at(Time unix_time);

 private:
  struct Start {
    Time unix_time = 0;  // as listed
    Time monotonic = 0;  // on now()'s scale
    bool listed = false;
  };

  bool is_new(const ListedEndpoint& listed) const;
  Time to_monotonic(Time unix_time) const;
  bool predates_list(const ListedEndpoint& listed) const;
  bool is_catching_up(const EndpointList& list);
  bool is_from_another_source(const EndpointList& list) const;
  void convert(const EndpointList& list, bool trust_old_starts);
  void set_listed(Start& start, bool listed);
  void remove_departed();

  TimeSource& time_;
  WallClockHistory wall_clock_;
  std::unordered_map<std::string, Start> starts_;
  std::size_t listed_ = 0;
  Time created_at_, last_list_;
  std::optional<Time> first_list_;  // from discovery
  bool had_complete_list_ = false;
};

}  // namespace streampick::engine
