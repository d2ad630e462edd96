// The open calls of one client: translates a call into a request to the engine, and the engine's response
// into the caller's result. It does no I/O and has no thread; its owner drives it, on an event loop or on
// virtual time.
//
// Every call ends exactly once, in finish(): by the engine's response, by cancellation, at its deadline or
// when the client closes. Deadlines are in real time; the engine's time leaves out suspensions (resume.h).
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "engine/downstream.h"
#include "settings/settings.h"
#include "streampick/client.h"

namespace streampick::plugin {

// A call whose arguments are valid.
struct CallRequest {
  bool save = false;
  std::uint32_t request_class = 0, tenant = kNone;
  Time deadline = 0;  // us of real time
  std::shared_ptr<engine::Message> message;
};

struct CheckedCall {
  std::string error;  // one line; empty: the call is valid
  CallRequest request;
};
// Validates a call's arguments before anything is sent. `default_class` is the class of a call that names
// none; kNone: the settings have no suitable class.
CheckedCall check_call(const Settings& settings, bool save, std::uint32_t default_class, std::string_view key,
                       std::string value, const CallOptions& options, Time real_now);

// Translates the engine's response. `late`: the caller's deadline has passed.
Result result_of(engine::Response reply, bool save, bool late);

class Calls final : public engine::Downstream {
 public:
  class OpenCall : public engine::ResponseSink, public std::enable_shared_from_this<OpenCall> {
   public:
    // Called once for each call, from within a function of Calls or of the engine.
    virtual void on_end(Result result) = 0;
    void respond(std::uint64_t tag, engine::Response reply) final;

   private:
    friend class Calls;
    Calls* calls_ = nullptr;
    std::uint64_t number_ = 0;
    RequestId request_ = 0;  // 0: not submitted to the engine
    Time deadline_ = 0;      // us of real time
    bool save_ = false, ended_ = false;
  };

  // `first_id` must differ between clients; `real_now` returns real time in us.
  Calls(const Settings& settings, std::uint64_t first_id, std::function<Time()> real_now);
  // Must be called before the first submit().
  void set_engine(engine::RequestHandler& engine) { engine_ = &engine; }

  void submit(const std::shared_ptr<OpenCall>& call, CallRequest request);
  void cancel(const std::shared_ptr<OpenCall>& call);
  void finish(const std::shared_ptr<OpenCall>& call, Result result);
  // Cancels all open calls, and every call that is submitted later.
  void close();

  struct Counts {
    std::uint64_t served = 0, rejected = 0, failed = 0, cancelled = 0, invalid = 0, not_found = 0;
  };
  const Counts& counts() const { return counts_; }

  void on_drain_started() override {}
  void stop_accepting() override {}
  std::size_t unanswered() const override { return open_calls_.size(); }
  std::size_t open_connections() const override { return open_calls_.size(); }

 private:
  void count(Status status);

  std::vector<bool> keyed_;  // by class
  std::uint64_t last_id_, last_number_ = 0;
  std::function<Time()> real_now_;
  engine::RequestHandler* engine_ = nullptr;
  std::unordered_map<std::uint64_t, std::shared_ptr<OpenCall>> open_calls_;
  Counts counts_;
  bool closing_ = false;
};

}  // namespace streampick::plugin
