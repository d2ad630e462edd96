#include "grpc/routed_call.h"

#include <grpcpp/support/byte_buffer.h>
#include <grpcpp/support/proto_buffer_reader.h>

#include <mutex>
#include <optional>
#include <utility>
#include <vector>

#include "grpc/answer.h"

namespace streampick::rpc {

using grpc::experimental::InterceptionHookPoints;
using grpc::experimental::InterceptorBatchMethods;

namespace {

std::string bytes_of(const grpc::ByteBuffer& buffer) {
  std::vector<grpc::Slice> slices;
  std::string out;
  if (!buffer.Dump(&slices).ok()) return out;
  for (const grpc::Slice& slice : slices)
    out.append(reinterpret_cast<const char*>(slice.begin()), slice.size());
  return out;
}

std::string metadata_value(const std::multimap<std::string, std::string>& metadata, const std::string& name) {
  if (name.empty()) return {};
  const auto found = metadata.find(name);
  return found == metadata.end() ? std::string{} : found->second;
}

}  // namespace

// Connects the call's result, which arrives on one of the client's threads, with the batches that wait for
// it. It outlives the call if an application destroys its context early.
struct RoutedCall::State {
  std::mutex mutex;
  std::optional<Answer> answer;
  std::vector<InterceptorBatchMethods*> waiting;
  Call call;
  bool cancelled = false, started = false;

  void set_answer(Answer result, const CompiledRoute* route) {
    std::unique_lock lock(mutex);
    if (answer) return;
    answer = std::move(result);
    const auto batches = std::exchange(waiting, {});
    lock.unlock();
    // The last batch may end the call, which destroys this State unless something else owns it.
    for (InterceptorBatchMethods* batch : batches) fill(batch, *route);
  }
  void receive(InterceptorBatchMethods* batch, const CompiledRoute& route) {
    {
      const std::lock_guard lock(mutex);
      if (!answer) return waiting.push_back(batch);
    }
    fill(batch, route);
  }
  void fill(InterceptorBatchMethods* batch, const CompiledRoute& route) {
    if (batch->QueryInterceptionHookPoint(InterceptionHookPoints::PRE_RECV_MESSAGE)) {
      auto* const response = static_cast<google::protobuf::MessageLite*>(batch->GetRecvMessage());
      if (answer->status.ok() && response != nullptr && !route.fill(std::move(answer->value), *response))
        answer->status = {grpc::StatusCode::INTERNAL,
                          "the value that was read cannot be parsed as the response message"};
      if (!answer->status.ok()) batch->FailHijackedRecvMessage();
    }
    if (batch->QueryInterceptionHookPoint(InterceptionHookPoints::PRE_RECV_STATUS)) {
      *batch->GetRecvStatus() = answer->status;
      if (auto* const trailing = batch->GetRecvTrailingMetadata())
        for (const auto& [name, value] : answer->trailing) trailing->emplace(name, value);
    }
    batch->Proceed();
  }
  bool is_cancelled() {
    const std::lock_guard lock(mutex);
    return cancelled;
  }
  void cancel() {
    std::unique_lock lock(mutex);
    if (answer) return;
    cancelled = true;
    const Call handle = call;
    lock.unlock();
    handle.cancel();
  }
};

RoutedCall::RoutedCall(Client& client, const CompiledRoute& route, const MetadataNames& names,
                       const CallClock& clock, grpc::ClientContext* context)
    : client_(client),
      route_(route),
      names_(names),
      clock_(clock),
      context_(context),
      state_(std::make_shared<State>()) {}

RoutedCall::~RoutedCall() { state_->cancel(); }

void RoutedCall::Intercept(InterceptorBatchMethods* batch) {
  using Point = InterceptionHookPoints;
  if (batch->QueryInterceptionHookPoint(Point::PRE_SEND_CANCEL)) return state_->cancel();
  const bool first = batch->QueryInterceptionHookPoint(Point::PRE_SEND_INITIAL_METADATA);
  if (first) {
    if (const auto* const metadata = batch->GetSendInitialMetadata()) {
      options_.tenant = metadata_value(*metadata, names_.tenant);
      options_.idempotency_key = metadata_value(*metadata, names_.idempotency);
    }
  }
  if (batch->QueryInterceptionHookPoint(Point::PRE_SEND_MESSAGE)) begin(batch->GetSerializedSendMessage());
  // The next batch may run on another thread and end the call before this function returns.
  if (first) return batch->Hijack();
  if (batch->QueryInterceptionHookPoint(Point::PRE_RECV_MESSAGE) ||
      batch->QueryInterceptionHookPoint(Point::PRE_RECV_STATUS)) {
    const auto state = state_;
    return state->receive(batch, route_);
  }
  batch->Proceed();
}

void RoutedCall::begin(const grpc::ByteBuffer* message) {
  if (std::exchange(state_->started, true)) return;
  const auto fail = [&](grpc::StatusCode code, const std::string& error) {
    state_->set_answer({{code, error}, {}, {}}, &route_);
  };
  if (state_->is_cancelled()) return fail(grpc::StatusCode::CANCELLED, "cancelled before the call was sent");
  const std::string serialized = message == nullptr ? std::string{} : bytes_of(*message);
  const std::unique_ptr<google::protobuf::Message> request(route_.request_type().New());
  if (!request->ParseFromString(serialized))
    return fail(grpc::StatusCode::INTERNAL, "the request cannot be parsed as the method's request message");
  CompiledRoute::KeyValue input;
  std::string error;
  if (!route_.read(*request, serialized, input, error))
    return fail(grpc::StatusCode::INVALID_ARGUMENT, error);
  const CallDeadline deadline(context_->deadline(), clock_);
  if (const auto left = deadline.left()) {
    if (left->count() <= 0)
      return fail(grpc::StatusCode::DEADLINE_EXCEEDED, "the deadline passed before the call was sent");
    options_.deadline = *left;
  }
  options_.request_class = route_.request_class();
  // The callback may run after this object is destroyed: it shares the state, and the route outlives the
  // call.
  const auto on_result = [state = state_, route = &route_, deadline](Result result) {
    const bool cancelled = state->is_cancelled();
    state->set_answer(answer_of(std::move(result), cancelled, deadline.is_over()), route);
  };
  Call call = route_.save() ? client_.put(input.key, std::move(input.value), options_, on_result)
                            : client_.get(input.key, options_, on_result);
  std::unique_lock lock(state_->mutex);
  state_->call = call;
  const bool cancelled = state_->cancelled;
  lock.unlock();
  if (cancelled) call.cancel();
}

void UnroutedCall::Intercept(InterceptorBatchMethods* batch) {
  using Point = InterceptionHookPoints;
  if (batch->QueryInterceptionHookPoint(Point::PRE_SEND_CANCEL)) return;
  if (batch->QueryInterceptionHookPoint(Point::PRE_SEND_MESSAGE) &&
      !batch->QueryInterceptionHookPoint(Point::PRE_SEND_INITIAL_METADATA))
    batch->FailHijackedSendMessage();
  if (batch->QueryInterceptionHookPoint(Point::PRE_RECV_MESSAGE)) batch->FailHijackedRecvMessage();
  if (batch->QueryInterceptionHookPoint(Point::PRE_RECV_STATUS))
    *batch->GetRecvStatus() = {grpc::StatusCode::UNIMPLEMENTED, "no route for method " + method_};
  if (batch->QueryInterceptionHookPoint(Point::PRE_SEND_INITIAL_METADATA)) return batch->Hijack();
  batch->Proceed();
}

}  // namespace streampick::rpc
