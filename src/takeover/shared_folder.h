// What two processes of one router share while one replaces the other: a file with what operators said, in a
// folder that both see. Whoever changes it holds a lock, writes aside and renames, so that a reader finds the
// old text or the new one. A file that is damaged or not ours is told of once and counts as none.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "control/overrides.h"

namespace streampick::takeover {

class SharedFolder {
 public:
  using Log = std::function<void(std::string_view)>;
  SharedFolder(std::string folder, Log log);

  // What stands there, if that has changed since it was last read or written here.
  std::optional<control::Overrides> news();
  // Reads, changes and writes, with nobody between. Returns what stands there now. Where the folder can't be
  // written, the change is made to `otherwise`, and the log says that it is not shared.
  control::Overrides change(const control::Overrides& otherwise,
                            const std::function<void(control::Overrides&)>& what);

 private:
  std::optional<control::Overrides> read();
  bool write(const std::string& text);
  void complain(const std::string& what);

  std::string path_, lock_path_;
  Log log_;
  std::string seen_;  // inode, size and time of the file as last read or written; empty: there was none
  std::string complaint_;
};

}  // namespace streampick::takeover
