#include "plugin/calls.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "engine/keys.h"

namespace streampick::plugin {
namespace {

constexpr std::size_t kLongestKey = 4 * 1024, kLongestValue = 64 * 1024;
constexpr Time kLongestPatience = 60'000'000;  // of a class that tells none

}  // namespace

Checked check_call(const Settings& settings, bool save, std::uint32_t default_class, std::string_view key,
                   std::string value, const CallOptions& options, Time real_now) {
  const Names& names = settings.names;
  const auto& classes = settings.config.classes;
  Checked out;
  Asked& asked = out.asked;
  asked.save = save;
  asked.request_class =
      options.request_class.empty() ? default_class : index_of(names.classes, options.request_class);
  asked.tenant = options.tenant.empty() ? kNone : index_of(names.tenants, options.tenant);
  const std::uint32_t kind = asked.request_class;
  if (kind == kNone) out.wrong = "no class '" + options.request_class + "'";
  if (kind != kNone && !save && classes[kind].effect != Effect::safe)
    out.wrong = "a read of a class that is not safe";
  if (!options.tenant.empty() && asked.tenant == kNone) out.wrong = "no tenant '" + options.tenant + "'";
  if (key.empty() || key.size() > kLongestKey) out.wrong = "a key has 1 to 4096 bytes";
  if (value.size() > kLongestValue) out.wrong = "a value has at most 65536 bytes";
  if (options.idempotency_key.find_first_of("\r\n") != std::string::npos ||
      options.content_type.find_first_of("\r\n") != std::string::npos)
    out.wrong = "a line's end in a header";
  if (options.deadline.count() < 0) out.wrong = "a deadline before the call";
  if (!out.wrong.empty()) return out;
  Time longest = classes[kind].deadline > 0 ? classes[kind].deadline : kLongestPatience;
  if (options.deadline.count() > 0) longest = std::min<Time>(longest, options.deadline.count());
  asked.gives_up = real_now + longest;
  asked.message = std::make_shared<engine::Message>();
  engine::Message& message = *asked.message;
  message.operation = save ? engine::Operation::write : engine::Operation::read;
  message.key = key;
  message.target = "/" + names.classes[kind] + "/" + engine::escape_key(key);
  message.body = std::move(value);
  message.idempotency_key = options.idempotency_key;
  message.content_type = options.content_type;
  return out;
}

Result result_of(engine::Response reply, bool save, bool late) {
  Result out;
  out.may_have_run = save && reply.may_have_run;
  out.retry_after = std::chrono::microseconds(reply.retry_after);
  out.reason = std::move(reply.error_message);
  out.late = reply.late;
  switch (reply.kind) {
    case engine::Response::Kind::served: out.status = Status::served; break;
    case engine::Response::Kind::rejected: out.status = Status::rejected; break;
    case engine::Response::Kind::failed: out.status = Status::failed; break;
  }
  // A RESP server's null is an answer there; a caller asked for a value. What ended otherwise than by that
  // answer was not asked to the end.
  const bool nothing =
      out.status == Status::served && !save && reply.answer.form == engine::Answer::Form::nothing;
  if (nothing || (reply.not_found && !save && out.status == Status::failed && !out.late))
    out.status = Status::not_found;
  // Whatever the loop thinks the time is: what comes when the caller has given up is not in time.
  if (late && (out.status == Status::served || out.status == Status::not_found)) {
    out.status = Status::failed;
    out.late = true;
    out.may_have_run = save;
  }
  out.not_found = out.status == Status::not_found;
  if (out.not_found && out.reason.empty()) out.reason = "no server has such a key";
  if (out.status == Status::served) {
    out.value = std::move(reply.answer.body);
    out.content_type = std::move(reply.answer.content_type);
  }
  return out;
}

Calls::Calls(const Settings& settings, std::uint64_t first_id, std::function<Time()> real_now)
    : keyed_(settings.names.keyed), last_id_(first_id), real_now_(std::move(real_now)) {}

void Calls::submit(const std::shared_ptr<Open>& call, Asked asked) {
  if (call->over_) return;
  if (closing_) return finish(call, {.status = Status::cancelled, .reason = "the client has ended"});
  const Time left = asked.gives_up - real_now_();
  if (left <= 0) return finish(call, {.status = Status::failed, .late = true});
  call->calls_ = this;
  call->number_ = ++last_number_;
  call->save_ = asked.save;
  call->gives_up_ = asked.gives_up;
  engine::IncomingRequest incoming;
  incoming.request_class = asked.request_class;
  incoming.tenant = asked.tenant;
  incoming.has_key = true;
  incoming.key = engine::key_number(engine::escape_key(asked.message->key));
  incoming.remaining = left;
  incoming.tag = call->number_;
  ++last_id_;
  incoming.transaction_id = XXH3_64bits(&last_id_, sizeof last_id_);
  asked.message->transaction_id = engine::hex(incoming.transaction_id);
  if (asked.save && asked.message->idempotency_key.empty() && keyed_.at(asked.request_class))
    asked.message->idempotency_key = asked.message->transaction_id;
  incoming.message = std::move(asked.message);
  open_.emplace(call->number_, call);
  const RequestId id = requests_->on_request(call, std::move(incoming));
  if (id == 0) return finish(call, {.status = Status::failed, .reason = "an id was drawn twice"});
  if (!call->over_) call->request_ = id;
}

void Calls::Open::respond(std::uint64_t, engine::Response reply) {
  if (calls_ == nullptr || over_) return;
  const bool late = calls_->real_now_() > gives_up_;
  calls_->finish(shared_from_this(), result_of(std::move(reply), save_, late));
}

void Calls::finish(const std::shared_ptr<Open>& call, Result result) {
  if (std::exchange(call->over_, true)) return;
  open_.erase(call->number_);
  count(result.status);
  call->ended(std::move(result));
}

void Calls::cancel(const std::shared_ptr<Open>& call) {
  if (call->over_) return;
  const RequestId request = std::exchange(call->request_, 0);
  finish(call, {.status = Status::cancelled});
  if (request != 0) requests_->on_client_cancelled(request);
}

void Calls::close() {
  closing_ = true;
  std::vector<std::shared_ptr<Open>> left;
  for (const auto& [number, call] : open_) left.push_back(call);
  for (const auto& call : left) cancel(call);
}

void Calls::count(Status status) {
  switch (status) {
    case Status::served: ++counts_.served; break;
    case Status::rejected: ++counts_.rejected; break;
    case Status::failed: ++counts_.failed; break;
    case Status::cancelled: ++counts_.cancelled; break;
    case Status::invalid: ++counts_.invalid; break;
    case Status::not_found: ++counts_.not_found; break;
  }
}

}  // namespace streampick::plugin
