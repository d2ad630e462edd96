#include "roster/list_framer.h"

#include <utility>

namespace streampick::roster {

ListFramer::Result ListFramer::put(std::string_view bytes) {
  Result out;
  const auto finish = [&] {
    out.lists.push_back(std::exchange(pending_, {}));
    out.received_line = true;
  };
  for (const char c : bytes) {
    const bool is_whitespace = c == ' ' || c == '\t' || c == '\r' || c == '\n';
    if (pending_.empty() && is_whitespace) {
      out.received_line = out.received_line || c == '\n';
      continue;
    }
    if (depth_ == 0 && c == '\n') {
      finish();  // the line is not an object
      continue;
    }
    const bool in_object = depth_ > 0 || pending_.empty();
    pending_ += c;
    if (pending_.size() > max_size_) {
      out.too_long = true;
      return out;
    }
    if (!in_object) continue;
    if (in_string_) {
      if (escaped_) {
        escaped_ = false;
      } else if (c == '\\') {
        escaped_ = true;
      } else if (c == '"') {
        in_string_ = false;
      }
    } else if (c == '"') {
      in_string_ = depth_ > 0;
    } else if (c == '{' || c == '[') {
      ++depth_;
    } else if ((c == '}' || c == ']') && depth_ > 0 && --depth_ == 0) {
      finish();
    }
  }
  return out;
}

}  // namespace streampick::roster
