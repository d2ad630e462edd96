/// \file
/// Changes the membership view: merges records of other members, starts and ends suspicions, and expires
/// records. Changes are disseminated and reported.
#pragma once

#include "membership/protocol_context.h"

namespace streampick::membership {

class ViewUpdates {
 public:
  explicit ViewUpdates(ProtocolContext& context) : context_(context) {}

  /// Merges a record of another instance that `sender` sent. Returns whether it shows that an unreachable
  /// member is alive again.
  bool merge(const Record& record, InstanceId sender, Time now);
  /// To be called when a probe of this process failed: suspects the member, or confirms its suspicion.
  void suspect(InstanceId member, Time now);
  /// Declares members unreachable whose suspicions have timed out.
  void end_suspicions(Time now);
  void remove_expired(Time now);

 private:
  void confirm(const Record& record, InstanceId sender);
  void dispute(const Record& record);
  void on_applied(const Record& current, State previous, bool is_new, InstanceId sender, Time now);
  void on_suspected(const Record& current, bool is_new, InstanceId sender, Time now);
  void declare_unreachable(InstanceId member, Time now);
  void report(Change::Kind kind, const Record& subject) { context_.changes.add(kind, subject); }

  ProtocolContext& context_;
};

}  // namespace streampick::membership
