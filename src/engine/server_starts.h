// The one place that says when a server started, on the monotonic scale on which its slow start is counted.
// Lists tell starts as Unix time, and the wall clock may step, before and during the run. No I/O.
//
// A server that is taken for colder than it is costs a slow start; one that is taken for warmer may be
// overloaded. So, with all machines reading one wall clock:
//
//   - A start is dated once, when the pair of server and told start is first seen, and stays: no later step
//     moves it. A server that goes and is listed again with the same start keeps its date.
//   - It is the latest moment at which the wall clock may have read what is told (wall_clock_history.h).
//   Where
//     the clock has never read it yet, the server counts as starting now, and is cold for no longer than any
//     other by the monotonic clock.
//   - What is new in a list has started since the list before it, with kListLag for news that is late. An
//     older start, as after a step before this process began, is not believed: the server starts now.
//   - A process that begins has seen nothing before: of the list known at its start, of what catches it up
//   and
//     of the first whole list the wall clock is all there is. The same holds where a list brings more such
//     servers than are known: then the source of lists is another one.
//   - No start told (0) means long ago.
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
  /// How far a list may lag: the 6 s that news may take, and a discovery that was down.
  static constexpr Time kListLag = 30'000'000;
  /// From the first list on, what follows still catches up with what was before the process.
  static constexpr Time kCatchUp = 1'000'000;
  /// Servers that have gone are remembered up to this number beside those that are listed.
  static constexpr std::size_t kMaxGone = 4'096;

  /// `time` outlives it.
  explicit ServerStarts(TimeSource& time)
      : time_(time), wall_clock_(time), began_(time.now()), last_list_(began_) {}

  /// Dates the servers of the list known at the start.
  void known_at_start(const EndpointList& list);
  /// Dates what is new in a list from the source.
  void on_endpoint_list(const EndpointList& list);
  /// When a server that was listed started, on now()'s scale; 0: long ago.
  Time start_of(const std::string& id) const;
  /// A start at a Unix time that this machine, or the process before this one, read from the wall clock.
  Time start_at(Time unix_time);

 private:
  struct Start {
    Time told = 0;   // Unix time
    Time dated = 0;  // on now()'s scale
    bool listed = false;
  };

  bool is_new(const ListedEndpoint& listed) const;
  Time date(Time told) const;
  bool is_late(const ListedEndpoint& listed) const;
  bool catches_up(const EndpointList& list);
  bool from_another_source(const EndpointList& list) const;
  void take(const EndpointList& list, bool believed);
  void set_listed(Start& start, bool listed);
  void forget_gone();

  TimeSource& time_;
  WallClockHistory wall_clock_;
  std::unordered_map<std::string, Start> starts_;
  std::size_t listed_ = 0;
  Time began_, last_list_;
  std::optional<Time> first_list_;  // from the source
  bool had_whole_list_ = false;
};

}  // namespace streampick::engine
