// What operators have said against what the list and the module would have it: cache servers left out by
// hand, and clients sent away. No I/O; for one thread.
//
//   - A server left out stays out until it is called back, whatever lists say meanwhile, and over an upgrade.
//   - It is restarted while out: called back, it counts as started at that moment, until a list tells of a
//     later start.
//   - Each call may come twice; one call back undoes both.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "streampick/router.h"

namespace streampick::control {

class Overrides {
 public:
  struct Entry {
    bool out = false;
    Time since = 0;  // when it was left out, or called back
    friend bool operator==(const Entry&, const Entry&) = default;
  };
  static constexpr std::size_t kMostServers = 1'024, kLongestId = 256, kLongestText = 1024 * 1024;
  static constexpr Time kRemember = 900'000'000;  // us that a call back is remembered for

  // False: too many are left out already.
  bool leave_out(const std::string& id, Time now);
  // False: it was not out.
  bool call_back(const std::string& id, Time now);
  bool out(const std::string& id) const;
  // Returns whether it changes anything.
  bool send_clients_away(bool away);
  bool clients_away() const { return away_; }
  const std::map<std::string, Entry>& servers() const { return servers_; }
  // What no longer matters goes.
  void forget_old(Time now);

  // As text, for the process that comes next, and back. parse() throws std::runtime_error with one line that
  // says what is wrong.
  std::string text() const;
  static Overrides parse(const std::string& text);
  friend bool operator==(const Overrides&, const Overrides&) = default;

 private:
  std::map<std::string, Entry> servers_;
  bool away_ = false;
};

}  // namespace streampick::control
