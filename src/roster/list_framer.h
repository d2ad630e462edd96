// Splits the byte stream of a watch into its lists. No I/O.
//
// A list is one JSON object. It may be on one line or indented over several, may arrive in fragments of any
// size, and the next list may follow it without a separator. An empty line is a heartbeat. Input that doesn't
// begin with an opening bracket is returned unchanged up to the end of its line, so that the parser rejects
// it.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace streampick::roster {

class ListFramer {
 public:
  explicit ListFramer(std::size_t max_size) : max_size_(max_size) {}

  struct Result {
    std::vector<std::string> lists;
    bool received_line = false;  // a complete list or an empty line
    bool too_long = false;       // a list exceeds the limit; the framer must not be used any more
  };
  Result put(std::string_view bytes);

 private:
  std::size_t max_size_;
  std::string pending_;  // the incomplete list
  int depth_ = 0;        // of brackets; 0 while pending_ is not an object
  bool in_string_ = false, escaped_ = false;
};

}  // namespace streampick::roster
