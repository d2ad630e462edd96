#include "takeover/override_store.h"

#include <algorithm>
#include <cerrno>
#include <utility>
#include <vector>

namespace streampick::takeover {
namespace {

using control::AdminChange;
using control::AdminOverrides;
using control::ApplyResult;
using storage::FileError;
using storage::FileStep;

bool is_lock_held_by_another(const FileError& error) {
  return error.step == FileStep::lock && error.error_number == EWOULDBLOCK;
}

}  // namespace

OverrideStore::OverrideStore(boost::asio::io_context& io, std::unique_ptr<SharedFolder> folder,
                             SharedFolder::Log log, Listener listener)
    : folder_(std::move(folder)), log_(std::move(log)), listener_(std::move(listener)), retry_timer_(io) {}

OverrideStore::~OverrideStore() {
  if (pending_.empty()) return;
  const auto result =
      folder_->update(current_, [this](AdminOverrides& overrides) { apply_pending(overrides); });
  if (const auto* error = std::get_if<FileError>(&result))
    log_("shared folder: operators' changes are lost at the end of this process: " +
         storage::to_string(*error));
}

void OverrideStore::submit(AdminChange change, Done done) {
  refresh();
  const ApplyResult result = control::apply(change, current_);
  listener_(current_);
  if (folder_ == nullptr || result == ApplyResult::too_many) return done({result, std::nullopt});
  remove_answered_repeats(change);
  pending_.push_back({std::move(change), {result, std::nullopt}, std::move(done)});
  try_to_store();
}

void OverrideStore::refresh() {
  if (folder_ == nullptr) return;
  std::optional<AdminOverrides> changed = folder_->read_if_changed();
  if (!changed) return;
  current_ = std::move(*changed);
  apply_pending(current_);
  listener_(current_);
}

void OverrideStore::try_to_store() {
  auto result = folder_->update(current_, [this](AdminOverrides& overrides) { apply_pending(overrides); });
  if (auto* overrides = std::get_if<AdminOverrides>(&result)) {
    on_stored(std::move(*overrides));
  } else {
    on_failed(std::get<FileError>(result));
  }
}

void OverrideStore::on_stored(AdminOverrides overrides) {
  retry_timer_.cancel();
  is_waiting_for_lock_ = false;
  backoff_ = kFirstBackoff;
  current_ = std::move(overrides);
  listener_(current_);
  if (std::exchange(has_unstored_, false)) log_("shared folder: all operators' changes are now stored");
  const std::list<Pending> stored = std::exchange(pending_, {});
  for (const Pending& entry : stored) {
    if (entry.done) {
      entry.done({entry.outcome.result, std::nullopt});
    } else if (entry.outcome.result == ApplyResult::too_many) {
      log_("shared folder: " + entry.change.endpoint_id +
           " was not disabled: too many cache servers are already disabled");
    }
  }
}

void OverrideStore::on_failed(const FileError& error) {
  const Steady::time_point now = Steady::now();
  for (Pending& entry : pending_) {
    entry.was_tried = true;
    entry.outcome.not_stored = error;
  }
  if (is_lock_held_by_another(error) && !has_unstored_) {
    if (!std::exchange(is_waiting_for_lock_, true)) lock_deadline_ = now + kMaxLockWait;
    if (now < lock_deadline_) return retry_after(kLockRetryInterval);
  }
  is_waiting_for_lock_ = false;
  if (!std::exchange(has_unstored_, true))
    log_("shared folder: operators' changes are in effect in this process but not stored yet: " +
         storage::to_string(error));
  // A held lock needs no longer backoff: an attempt to take it costs little, and its holder is about to
  // release it.
  retry_after(is_lock_held_by_another(error) ? kFirstBackoff : next_backoff());
  answer_waiting_callers();
}

std::chrono::milliseconds OverrideStore::next_backoff() {
  return std::exchange(backoff_, std::min(backoff_ * 2, kMaxBackoff));
}

void OverrideStore::apply_pending(AdminOverrides& overrides) {
  for (Pending& entry : pending_) {
    const ApplyResult result = entry.was_tried ? control::apply_delayed(entry.change, overrides)
                                               : control::apply(entry.change, overrides);
    // The caller is told the change's effect in this process, also when it has no effect on the stored
    // overrides.
    if (result != ApplyResult::no_effect) entry.outcome.result = result;
  }
}

/// A repeated change replaces an equal one that was answered already, so that the pending list stays bounded.
void OverrideStore::remove_answered_repeats(const AdminChange& change) {
  pending_.remove_if([&](const Pending& entry) {
    return !entry.done && entry.change.kind == change.kind && entry.change.endpoint_id == change.endpoint_id;
  });
}

/// Tells the callers that still wait that their changes are not stored yet.
void OverrideStore::answer_waiting_callers() {
  std::vector<std::pair<Done, Outcome>> answers;
  for (Pending& entry : pending_)
    if (entry.done) answers.emplace_back(std::exchange(entry.done, {}), entry.outcome);
  for (const auto& [done, outcome] : answers) done(outcome);
}

void OverrideStore::retry_after(std::chrono::milliseconds wait) {
  retry_timer_.expires_after(wait);
  retry_timer_.async_wait([this](const boost::system::error_code& cancelled) {
    if (cancelled || pending_.empty()) return;
    try_to_store();
  });
}

}  // namespace streampick::takeover
