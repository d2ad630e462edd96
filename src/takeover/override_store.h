/// The operators' overrides in effect in this process, and their storage in the folder that it shares with
/// the process that replaces it.
///
/// A change takes effect in this process at submit(), whatever happens to the file. It is stored immediately
/// if possible. While another process holds the lock, the store retries on a timer for up to kMaxLockWait and
/// delays the answer. A change that is not stored by then, or whose write failed, stays pending: its caller
/// is told so, and the store retries with backoff until the change is stored.
///
/// Used only on the event loop's thread.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string_view>

#include "control/admin_change.h"
#include "control/admin_overrides.h"
#include "storage/durable_file.h"
#include "takeover/shared_folder.h"

namespace streampick::takeover {

class OverrideStore {
 public:
  /// The result of a change.
  struct Outcome {
    control::ApplyResult result = control::ApplyResult::no_effect;
    std::optional<storage::FileError> not_stored;  ///< why the change is still pending
  };
  using Done = std::function<void(const Outcome&)>;
  using Listener = std::function<void(const control::AdminOverrides&)>;

  /// CommandServer waits 1 s for an answer: this leaves time for an event loop that is delayed.
  static constexpr std::chrono::milliseconds kMaxLockWait{300};
  static constexpr std::chrono::milliseconds kLockRetryInterval{5};
  static constexpr std::chrono::milliseconds kFirstBackoff{100};
  static constexpr std::chrono::milliseconds kMaxBackoff{5'000};

  /// `folder`: null when nothing is shared. `listener` is called with the overrides each time they may have
  /// changed.
  OverrideStore(boost::asio::io_context& io, std::unique_ptr<SharedFolder> folder, SharedFolder::Log log,
                Listener listener);
  /// Tries once more to store pending changes.
  ~OverrideStore();
  OverrideStore(const OverrideStore&) = delete;
  OverrideStore& operator=(const OverrideStore&) = delete;

  /// Applies a change, then stores it. `done` is called once, within kMaxLockWait and often before this
  /// returns; it is not called if this object is destroyed first.
  void submit(control::AdminChange change, Done done);
  /// Reads what the other process has stored.
  void refresh();
  [[nodiscard]] const control::AdminOverrides& current() const { return current_; }
  /// The number of changes that are not stored.
  [[nodiscard]] std::size_t pending() const { return pending_.size(); }

 private:
  using Steady = std::chrono::steady_clock;
  struct Pending {
    control::AdminChange change;
    Outcome outcome;
    Done done;               ///< empty after it was called
    bool was_tried = false;  ///< an attempt to store it has failed
  };
  void try_to_store();
  void on_stored(control::AdminOverrides overrides);
  void on_failed(const storage::FileError& error);
  void apply_pending(control::AdminOverrides& overrides);
  void remove_answered_repeats(const control::AdminChange& change);
  void answer_waiting_callers();
  std::chrono::milliseconds next_backoff();
  void retry_after(std::chrono::milliseconds wait);

  std::unique_ptr<SharedFolder> folder_;
  SharedFolder::Log log_;
  Listener listener_;
  control::AdminOverrides current_;
  std::list<Pending> pending_;  ///< in the order of submission
  boost::asio::steady_timer retry_timer_;
  Steady::time_point lock_deadline_;  ///< valid while is_waiting_for_lock_
  bool is_waiting_for_lock_ = false;
  bool has_unstored_ = false;  ///< some changes were answered before they were stored
  std::chrono::milliseconds backoff_ = kFirstBackoff;
};

}  // namespace streampick::takeover
