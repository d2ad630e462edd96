#include <algorithm>
#include <cstring>
#include <memory>
#include <new>
#include <string>

#include "streampick/client.h"
#include "streampick/streampick.h"

struct streampick_client {
  explicit streampick_client(const streampick::ClientSettings& settings) : client(settings) {}
  streampick::Client client;
};
struct streampick_call {
  streampick::Call call;
};

namespace {

std::string string_or_empty(const char* from) { return from == nullptr ? std::string() : std::string(from); }

streampick::CallOptions call_options(const streampick_options* options) {
  streampick::CallOptions out;
  if (options == nullptr) return out;
  out.request_class = string_or_empty(options->request_class);
  out.tenant = string_or_empty(options->tenant);
  out.idempotency_key = string_or_empty(options->idempotency_key);
  out.content_type = string_or_empty(options->content_type);
  out.deadline = std::chrono::microseconds(options->deadline_us);
  return out;
}

streampick::Client::Callback cpp_callback(streampick_callback callback, void* user) {
  return [callback, user](const streampick::Result& result) {
    if (callback == nullptr) return;
    const streampick_result out{static_cast<streampick_status>(result.status),
                                result.value.data(),
                                result.value.size(),
                                result.content_type.c_str(),
                                result.reason.c_str(),
                                result.retry_after.count(),
                                result.late ? 1 : 0,
                                result.not_found ? 1 : 0,
                                result.may_have_run ? 1 : 0};
    callback(&out, user);
  };
}

// A caller in C cannot handle exceptions.
template <class Begin>
streampick_call* begin(Begin call) {
  try {
    auto out = std::make_unique<streampick_call>();
    out->call = call();
    return out.release();
  } catch (...) {
    return nullptr;
  }
}

}  // namespace

streampick_client* streampick_open(const char* config, char* error, size_t error_size) {
  std::string message;
  try {
    streampick::ClientSettings settings;
    settings.config = string_or_empty(config);
    return new streampick_client(settings);
  } catch (const std::exception& exception) {
    message = exception.what();
  }
  if (error != nullptr && error_size > 0) {
    const std::size_t size = std::min(message.size(), error_size - 1);
    std::memcpy(error, message.data(), size);
    error[size] = '\0';
  }
  return nullptr;
}

void streampick_close(streampick_client* client) { delete client; }

streampick_call* streampick_get(streampick_client* client, const char* key, const streampick_options* options,
                                streampick_callback callback, void* user) {
  return begin([&] {
    return client->client.get(string_or_empty(key), call_options(options), cpp_callback(callback, user));
  });
}

streampick_call* streampick_put(streampick_client* client, const char* key, const char* value,
                                size_t value_size, const streampick_options* options,
                                streampick_callback callback, void* user) {
  return begin([&] {
    std::string copy = value == nullptr ? std::string() : std::string(value, value_size);
    return client->client.put(string_or_empty(key), std::move(copy), call_options(options),
                              cpp_callback(callback, user));
  });
}

void streampick_cancel(streampick_call* call) {
  if (call != nullptr) call->call.cancel();
}
void streampick_release(streampick_call* call) { delete call; }

int streampick_drain(streampick_client* client, int64_t timeout_us) {
  return client->client.drain(std::chrono::microseconds(timeout_us)) ? 1 : 0;
}
