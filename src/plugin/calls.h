// The calls of one client, from begin to end: what of a caller's request reaches the engine, and what the
// engine's answer is to the caller. No I/O and no thread: it is driven by whoever owns it, on an event loop
// or on virtual time.
//
// A call ends in one place, finish(), and once: by the engine's answer, its cancel, its time or the end of
// all. Deadlines are in real time; the engine's own time may leave pauses out (resume.h).
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

// What a caller asks for, once it is found to be well formed.
struct Asked {
  bool save = false;
  std::uint32_t request_class = 0, tenant = kNone;
  Time gives_up = 0;  // real us
  std::shared_ptr<engine::Message> message;
};

// Finds fault with a call before anything of it is sent: `wrong` says it in one line. `default_class` is the
// class of calls that name none; kNone: the settings have none that fits.
struct Checked {
  std::string wrong;
  Asked asked;
};
Checked check_call(const Settings& settings, bool save, std::uint32_t default_class, std::string_view key,
                   std::string value, const CallOptions& options, Time real_now);

// The engine's answer in the caller's words. `late`: the caller's time is up.
Result result_of(engine::Response reply, bool save, bool late);

class Calls final : public engine::Downstream {
 public:
  class Open : public engine::ResponseSink, public std::enable_shared_from_this<Open> {
   public:
    // Once for each call, from within a function of Calls or of the engine.
    virtual void ended(Result result) = 0;
    void respond(std::uint64_t tag, engine::Response reply) final;

   private:
    friend class Calls;
    Calls* calls_ = nullptr;
    std::uint64_t number_ = 0;
    RequestId request_ = 0;  // 0: not with the engine
    Time gives_up_ = 0;
    bool save_ = false, over_ = false;
  };

  // `first_id` differs between clients; `real_now` tells real us.
  Calls(const Settings& settings, std::uint64_t first_id, std::function<Time()> real_now);
  // The engine; before the first submit().
  void ask_from(engine::RequestHandler& requests) { requests_ = &requests; }

  void submit(const std::shared_ptr<Open>& call, Asked asked);
  void cancel(const std::shared_ptr<Open>& call);
  void finish(const std::shared_ptr<Open>& call, Result result);
  // Ends all as withdrawn, and whatever is submitted later.
  void close();

  struct Counts {
    std::uint64_t served = 0, rejected = 0, failed = 0, cancelled = 0, invalid = 0, not_found = 0;
  };
  const Counts& counts() const { return counts_; }

  void on_drain_started() override {}
  void stop_accepting() override {}
  std::size_t unanswered() const override { return open_.size(); }
  std::size_t open_connections() const override { return open_.size(); }

 private:
  void count(Status status);

  std::vector<bool> keyed_;  // by class
  std::uint64_t last_id_, last_number_ = 0;
  std::function<Time()> real_now_;
  engine::RequestHandler* requests_ = nullptr;
  std::unordered_map<std::uint64_t, std::shared_ptr<Open>> open_;
  Counts counts_;
  bool closing_ = false;
};

}  // namespace streampick::plugin
