// Compares the membership views that routers return for the management command FLEET.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace streampick::testbed {

struct View {
  std::string name, boot, digest;
  std::map<std::string, std::string> states;  // of the other routers, by boot id
  std::map<std::string, std::string> names;
  std::size_t alive = 0, least = 0, most = 0, routers = 0, unreachable = 0;
  std::uint64_t declared = 0;  // routers that this router has declared unreachable since its start
  std::uint64_t longest = 0;   // size of the longest datagram, in bytes
  bool settled = false;
};

// Parses the answer to FLEET. Throws std::runtime_error if the text is not a view.
View read_view(const std::string& json);
// Sends `line` to the management address "host:port" and returns the whole answer. Returns nothing if the
// answer is not complete within `within`.
std::optional<std::string> call(const std::string& address, const std::string& line,
                                std::chrono::milliseconds within);
// Sends FLEET to the management address "host:port". Returns nothing if there is no answer within `within`,
// or the answer is a refusal.
std::optional<View> ask_view(const std::string& address, std::chrono::milliseconds within);

// A router's share of a fleet-wide limit, as the management command SHARES returns it.
struct SharedPart {
  std::string limit;
  double total = 0, usable = 0, wanted = 0, out = -1;  // `out` -1: not in the answer
  bool home = false, hard = false;                     // home: this router grants the shares of the limit
};
std::vector<SharedPart> read_parts(const std::string& json);
std::optional<std::vector<SharedPart>> ask_parts(const std::string& address,
                                                 std::chrono::milliseconds within);
// Returns one line per limit: what each router may use, the sum and the total. Sets `over` if the sum of a
// hard limit exceeds its total.
std::string parts_side_by_side(
    const std::vector<std::pair<std::string, std::optional<std::vector<SharedPart>>>>& parts, bool& over);

// Returns one line for each difference between the views, and for each view whose alive routers are not
// exactly the given ones. Empty: the views agree.
std::vector<std::string> differences(const std::vector<View>& views);

// Returns one line per router and marks differences.
std::string side_by_side(const std::vector<std::pair<std::string, std::optional<View>>>& views);

}  // namespace streampick::testbed
