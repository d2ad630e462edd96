#include "engine/open_request.h"

#include <algorithm>

namespace streampick::engine {
namespace {

constexpr Time kMillisecond = 1'000;
constexpr Time kMaxAnswerMargin = 20 * kMillisecond;
constexpr Time kMaxGuardMargin = 8 * kMillisecond;

}  // namespace

bool OpenRequest::has_live_attempt() const {
  return std::any_of(attempts.begin(), attempts.end(),
                     [](const AttemptRecord& attempt) { return attempt.live; });
}

void OpenRequest::set_deadline(Time client_timeout_at) {
  deadline = client_timeout_at - answer_margin(client_timeout);
  guard_at = client_timeout_at - std::min(kMaxGuardMargin, client_timeout / 25);
}

Time answer_margin(Time client_timeout) { return std::min(kMaxAnswerMargin, client_timeout / 10); }

bool certainly_never_ran(Outcome outcome) {
  switch (outcome) {
    case Outcome::overloaded:
    case Outcome::connect_failed:
    case Outcome::not_sent:
    case Outcome::miss: return true;
    default: return false;
  }
}

Time latest_start_of_last_attempt(const OpenRequest& request, const RequestClass& rules) {
  if (rules.effect == Effect::safe) return kNever;
  Time latest = kNever;
  for (std::size_t i = 0; i + 1 < request.attempts.size(); ++i) {
    const AttemptRecord& earlier = request.attempts[i];
    if (earlier.never_ran) continue;
    if (rules.effect == Effect::unsafe) return earlier.sent;
    latest = std::min(latest, earlier.sent + rules.idempotency_window * 9 / 10);
  }
  return latest;
}

}  // namespace streampick::engine
