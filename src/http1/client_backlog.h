/// \file
/// Tells whether a client is still sending an upload, or whether what arrives has been in its kernel since
/// the upload was paused. No I/O and no clock; times are in microseconds.
#pragma once

#include <algorithm>

#include "streampick/router.h"

namespace streampick::http1 {

/// While an upload is paused, the client can write on into its kernel's send buffer, unseen. That backlog
/// arrives at the network's speed once the socket is read again. So after a pause the socket must first have
/// been empty for a while, in sum, before bytes that arrive count as being sent then.
class ClientBacklog {
 public:
  /// The upload goes on after a pause. A short pause lets only a short backlog build up.
  void on_resumed(Time pause) { needed_ = std::min(kMaxNeeded, needed_ + pause); }
  /// The socket was empty for this long while it was read.
  void on_empty_socket(Time length) {
    // Within a longer time bytes may have arrived that a busy event loop did not read.
    needed_ = std::max<Time>(0, needed_ - std::min(length, kMaxCounted));
  }
  [[nodiscard]] bool is_drained() const { return needed_ == 0; }

 private:
  static constexpr Time kMaxNeeded = 200'000;
  static constexpr Time kMaxCounted = 20'000;

  Time needed_ = 0;  ///< for how much longer the socket must be empty
};

}  // namespace streampick::http1
