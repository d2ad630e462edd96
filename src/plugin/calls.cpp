#include "plugin/calls.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "engine/keys.h"

namespace streampick::plugin {
namespace {

constexpr std::size_t kMaxKeyBytes = 4 * 1024, kMaxValueBytes = 64 * 1024;
constexpr Time kDefaultDeadline = 60'000'000;  // us; for a class without a deadline

}  // namespace

CheckedCall check_call(const Settings& settings, bool save, std::uint32_t default_class, std::string_view key,
                       std::string value, const CallOptions& options, Time real_now) {
  const Names& names = settings.names;
  const auto& classes = settings.config.classes;
  CheckedCall out;
  CallRequest& request = out.request;
  request.save = save;
  request.request_class =
      options.request_class.empty() ? default_class : index_of(names.classes, options.request_class);
  request.tenant = options.tenant.empty() ? kNone : index_of(names.tenants, options.tenant);
  const std::uint32_t class_index = request.request_class;
  if (class_index == kNone) out.error = "the settings have no class '" + options.request_class + "'";
  if (class_index != kNone && !save && classes[class_index].effect != Effect::safe)
    out.error = "a read needs a safe class";
  if (!options.tenant.empty() && request.tenant == kNone)
    out.error = "the settings have no tenant '" + options.tenant + "'";
  if (key.empty() || key.size() > kMaxKeyBytes) out.error = "the key's length must be 1 to 4096 bytes";
  if (value.size() > kMaxValueBytes) out.error = "the value is longer than 65536 bytes";
  if (options.idempotency_key.find_first_of("\r\n") != std::string::npos ||
      options.content_type.find_first_of("\r\n") != std::string::npos)
    out.error = "idempotency_key or content_type contains a line break";
  if (options.deadline.count() < 0) out.error = "the deadline is negative";
  if (!out.error.empty()) return out;
  Time time_limit = classes[class_index].deadline > 0 ? classes[class_index].deadline : kDefaultDeadline;
  if (options.deadline.count() > 0) time_limit = std::min<Time>(time_limit, options.deadline.count());
  request.deadline = real_now + time_limit;
  request.message = std::make_shared<engine::Message>();
  engine::Message& message = *request.message;
  message.operation = save ? engine::Operation::write : engine::Operation::read;
  message.key = key;
  message.target = "/" + names.classes[class_index] + "/" + engine::escape_key(key);
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
  // A RESP server's null is a served response to the engine, but means to the caller that the key does not
  // exist. A request that ended in another way than by a server's answer leaves that open.
  const bool null_answer =
      out.status == Status::served && !save && reply.answer.form == engine::Answer::Form::nothing;
  if (null_answer || (reply.not_found && !save && out.status == Status::failed && !out.late))
    out.status = Status::not_found;
  // The caller's deadline counts, even if the engine's time, which leaves out suspensions, is before it.
  if (late && (out.status == Status::served || out.status == Status::not_found)) {
    out.status = Status::failed;
    out.late = true;
    out.may_have_run = save;
  }
  out.not_found = out.status == Status::not_found;
  if (out.not_found && out.reason.empty()) out.reason = "no server has this key";
  if (out.status == Status::served) {
    out.value = std::move(reply.answer.body);
    out.content_type = std::move(reply.answer.content_type);
  }
  return out;
}

Calls::Calls(const Settings& settings, std::uint64_t first_id, std::function<Time()> real_now)
    : keyed_(settings.names.keyed), last_id_(first_id), real_now_(std::move(real_now)) {}

void Calls::submit(const std::shared_ptr<OpenCall>& call, CallRequest request) {
  if (call->ended_) return;
  if (closing_) return finish(call, {.status = Status::cancelled, .reason = "the client is closed"});
  const Time left = request.deadline - real_now_();
  if (left <= 0) return finish(call, {.status = Status::failed, .late = true});
  call->calls_ = this;
  call->number_ = ++last_number_;
  call->save_ = request.save;
  call->deadline_ = request.deadline;
  engine::IncomingRequest incoming;
  incoming.request_class = request.request_class;
  incoming.tenant = request.tenant;
  incoming.has_key = true;
  incoming.key = engine::key_number(engine::escape_key(request.message->key));
  incoming.remaining = left;
  incoming.tag = call->number_;
  ++last_id_;
  incoming.transaction_id = XXH3_64bits(&last_id_, sizeof last_id_);
  request.message->transaction_id = engine::hex(incoming.transaction_id);
  if (request.save && request.message->idempotency_key.empty() && keyed_.at(request.request_class))
    request.message->idempotency_key = request.message->transaction_id;
  incoming.message = std::move(request.message);
  open_calls_.emplace(call->number_, call);
  const RequestId id = engine_->on_request(call, std::move(incoming));
  if (id == 0)
    return finish(call,
                  {.status = Status::failed, .reason = "the generated transaction id is already in use"});
  if (!call->ended_) call->request_ = id;
}

void Calls::OpenCall::respond(std::uint64_t, engine::Response reply) {
  if (calls_ == nullptr || ended_) return;
  const bool late = calls_->real_now_() > deadline_;
  calls_->finish(shared_from_this(), result_of(std::move(reply), save_, late));
}

void Calls::finish(const std::shared_ptr<OpenCall>& call, Result result) {
  if (std::exchange(call->ended_, true)) return;
  open_calls_.erase(call->number_);
  count(result.status);
  call->on_end(std::move(result));
}

void Calls::cancel(const std::shared_ptr<OpenCall>& call) {
  if (call->ended_) return;
  const RequestId request = std::exchange(call->request_, 0);
  finish(call, {.status = Status::cancelled});
  if (request != 0) engine_->on_client_cancelled(request);
}

void Calls::close() {
  closing_ = true;
  std::vector<std::shared_ptr<OpenCall>> remaining;
  for (const auto& [number, call] : open_calls_) remaining.push_back(call);
  for (const auto& call : remaining) cancel(call);
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
