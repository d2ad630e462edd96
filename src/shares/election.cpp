#include "shares/election.h"

#include <algorithm>

#include "shares/safety_rules.h"

namespace streampick::leases {

void Election::start(Time now, Epoch epoch) {
  *this = Election();
  epoch_ = epoch;
  started_ = now;
}

std::uint32_t Election::next_request(Time now) {
  ++last_sequence_;
  requests_[last_sequence_ % kPendingRequests] = {.sequence = last_sequence_, .sent = now};
  return last_sequence_;
}

Time Election::majority_end(std::size_t quorum) const {
  std::vector<Time> ends;
  for (const auto& [voter, end] : vote_ends_) ends.push_back(end);
  std::sort(ends.begin(), ends.end(), std::greater<>());
  return ends[quorum - 1];
}

bool Election::record_vote(const Settings& settings, Time now, Address voter, std::uint32_t sequence,
                           Time duration) {
  const SafetyRules& rules = *settings.safety_rules;
  const VoteRequest& request = requests_[sequence % kPendingRequests];
  const bool answers_request = request.sequence == sequence && sequence != 0;
  if (!is_running() || !answers_request || has_expired(now)) return false;
  const std::vector<Address>& voters = settings.voters;
  if (std::find(voters.begin(), voters.end(), voter) == voters.end()) return false;
  // The voter measures the vote's duration from the request's arrival. Measured from when the request was
  // sent, the vote ends here no later than at the voter.
  Time& vote_end = vote_ends_[voter];
  const Time promised = std::min(duration, settings.term);
  vote_end = std::max(vote_end, rules.expiry(request.sent, promised, settings.max_clock_drift));
  const std::size_t quorum = rules.quorum(voters.size());
  if (vote_ends_.size() < quorum) return false;
  const Time end = majority_end(quorum);
  if (end <= now || end <= term_end_) return false;
  const bool won = !is_elected();
  term_end_ = end;
  if (won) {
    const Time wait = rules.wait_before_granting(settings.max_work_duration, settings.max_clock_drift);
    grants_from_ = now + wait;
  }
  return won;
}

}  // namespace streampick::leases
