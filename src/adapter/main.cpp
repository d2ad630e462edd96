// Adapter process: runs one Router per instance of the text protocol on standard input and output. Translates
// server names, ids and timers; all decisions are made by the Routers.
#include <unistd.h>

#include <algorithm>
#include <cstring>
#include <exception>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "adapter/wire.h"
#include "streampick/router.h"

namespace {

using namespace streampick;

// Reads standard input line by line. The line returned by next() is valid until the next call.
class LineReader {
 public:
  bool next(std::string_view& line) {
    for (;;) {
      const std::size_t end = buffer_.find('\n', scanned_);
      if (end != std::string::npos) {
        line = std::string_view(buffer_).substr(begin_, end - begin_);
        begin_ = scanned_ = end + 1;
        ++number_;
        return true;
      }
      buffer_.erase(0, begin_);
      begin_ = 0;
      scanned_ = buffer_.size();
      buffer_.resize(scanned_ + kChunk);
      const ssize_t bytes_read = ::read(STDIN_FILENO, buffer_.data() + scanned_, kChunk);
      buffer_.resize(scanned_ + static_cast<std::size_t>(std::max<ssize_t>(bytes_read, 0)));
      if (bytes_read <= 0) return false;
    }
  }
  // Number of the current line, from 1.
  std::size_t number() const { return number_; }

 private:
  static constexpr std::size_t kChunk = 1 << 16;  // bytes per read
  std::string buffer_;
  std::size_t begin_ = 0, scanned_ = 0, number_ = 0;
};

struct Output {
  std::string text;
  std::int64_t instance = -1;  // the instance that the last lines of `text` belong to; -1: none
};

struct NameHash {
  using is_transparent = void;
  std::size_t operator()(std::string_view name) const { return wire::hash_name(name); }
};

// One Router, and the mapping between its server ids and the server names of the protocol.
class Instance final : public ActionSink {
 public:
  Instance(std::int64_t number, Output& output) : number_(number), output_(output) {}

  void init(Time now, wire::Fields& fields) {
    wire::Settings settings = wire::parse_init(fields);
    names_ = std::move(settings.names);
    router_.emplace(std::move(settings.config), settings.seed, now, *this);
  }

  Router& router(const wire::Fields& fields) {
    if (!router_) fields.reject("message", "event received before init");
    return *router_;
  }
  const wire::Names& names() const { return names_; }

  // The id for a server name, which is assigned at its first use.
  ServerId intern(std::string_view server) {
    const auto found = ids_.find(server);
    if (found != ids_.end()) return found->second;
    const auto id = static_cast<ServerId>(servers_.size());
    servers_.emplace_back(server);
    ids_.emplace(servers_.back(), id);
    return id;
  }
  // The id for a server name; rejects the line if the name has not occurred in a member list.
  ServerId lookup(const wire::Fields& fields, std::string_view server) const {
    const auto found = ids_.find(server);
    if (found == ids_.end()) fields.reject("Server", server);
    return found->second;
  }

  void timer_fired(Time now) {
    if (now >= timer_at_) timer_at_ = kNever;
  }
  // Requests a timer if the Router's next wake-up is earlier than the pending timer. A timer that has been
  // replaced is not cancelled and causes a wake-up without effect.
  void request_timer(Time now) {
    if (!router_) return;
    const Time next = router_->next_wakeup();
    if (next >= timer_at_) return;
    timer_at_ = std::max(next, now + 1);
    wire::write_defer(lines(), std::min<Time>(timer_at_ - now, kMaxTimer), "wake");
  }

  void send(RequestId request, ServerId server, Time timeout) override {
    wire::write_hand_off(lines(), request, servers_[server], timeout);
  }
  void cancel(RequestId request, std::uint32_t attempt) override {
    wire::write_recall(lines(), request, attempt);
  }
  void reject(RequestId request, Time retry_after) override {
    wire::write_refuse(lines(), request, retry_after);
  }
  void fail(RequestId request) override { wire::write_end_failed(lines(), request); }
  void close_idle(ServerId server) override { wire::write_disconnect(lines(), servers_[server]); }
  void poll_discovery() override { wire::write_follow(lines()); }

 private:
  static constexpr Time kMaxTimer = Time{3600} * 1'000'000;  // one hour, in microseconds

  // The output, to which the lines of this instance may be appended.
  std::string& lines() {
    if (output_.instance != number_) {
      wire::write_for(output_.text, number_);
      output_.instance = number_;
    }
    return output_.text;
  }

  std::int64_t number_;
  Output& output_;
  std::optional<Router> router_;
  wire::Names names_;
  std::vector<std::string> servers_;
  std::unordered_map<std::string, ServerId, NameHash, std::equal_to<>> ids_;
  Time timer_at_ = kNever;
};

// Dispatches the events on standard input to the instances.
class Host {
 public:
  void run() {
    std::string_view line;
    while (reader_.next(line)) {
      wire::Fields fields(line, reader_.number());
      handle(wire::parse_event(fields), fields);
    }
  }

 private:
  // The instance that the last `on` event named.
  Instance& current(const wire::Fields& fields) {
    const auto found = instances_.find(number_);
    if (found == instances_.end()) fields.reject("RouterId", std::to_string(number_));
    return *found->second;
  }

  void handle(wire::Event event, wire::Fields& fields) {
    switch (event) {
      case wire::Event::turn: now_ = fields.integer("clock"); return;
      case wire::Event::on:
        number_ = fields.integer("RouterId");
        if (batch_instances_.empty() || batch_instances_.back() != number_)
          batch_instances_.push_back(number_);
        return;
      case wire::Event::init:
        instances_[number_] = std::make_unique<Instance>(number_, output_);
        current(fields).init(now_, fields);
        return;
      case wire::Event::exit: instances_.erase(number_); return;
      case wire::Event::members: members(fields); return;
      case wire::Event::inbound: {
        Instance& self = current(fields);
        self.router(fields).on_request(now_, wire::parse_inbound(fields, self.names()));
        return;
      }
      case wire::Event::streaming: {
        const RequestId request = fields.hex("RequestId");
        const auto attempt = static_cast<std::uint32_t>(fields.integer("RoundNo"));
        current(fields).router(fields).on_stream_started(now_, request, attempt);
        return;
      }
      case wire::Event::report_back: {
        Instance& self = current(fields);
        wire::ResultLine line = wire::parse_report_back(fields);
        line.result.server = self.lookup(fields, line.server);
        self.router(fields).on_result(now_, line.result);
        return;
      }
      case wire::Event::withdrawn:
        current(fields).router(fields).on_cancelled(now_, fields.hex("RequestId"));
        return;
      case wire::Event::timeout_fired: {
        Instance& self = current(fields);
        self.timer_fired(now_);
        self.router(fields).on_wakeup(now_);
        return;
      }
      case wire::Event::check_result:  // ignored: the adapter sends no probes and no data to peers
      case wire::Event::peer_data: return;
      case wire::Event::over_to_you: end_batch(); return;
    }
  }

  void members(wire::Fields& fields) {
    Instance& self = current(fields);
    const wire::MembersHead head = wire::parse_members(fields);
    members_.clear();
    for (std::int64_t i = 0; i < head.entries; ++i) {
      std::string_view line;
      if (!reader_.next(line)) fields.reject("Entries", "input ended inside the member list");
      wire::Fields entry(line, reader_.number());
      wire::MemberLine parsed = wire::parse_member(entry, self.names());
      parsed.member.id = self.intern(parsed.server);
      members_.push_back(parsed.member);
    }
    Router& router = self.router(fields);
    router.on_discovery(now_, head.discovery);
    if (head.update) router.on_members(now_, *head.update, members_);
  }

  // Ends the batch: writes the timers, the actions and the acknowledgement to standard output.
  void end_batch() {
    for (const std::int64_t number : batch_instances_)
      if (const auto found = instances_.find(number); found != instances_.end())
        found->second->request_timer(now_);
    batch_instances_.clear();
    wire::write_ack(output_.text);
    for (std::string_view rest = output_.text; !rest.empty();) {
      const ssize_t bytes_written = ::write(STDOUT_FILENO, rest.data(), rest.size());
      if (bytes_written <= 0) throw std::runtime_error("cannot write to standard output");
      rest.remove_prefix(static_cast<std::size_t>(bytes_written));
    }
    output_.text.clear();
    output_.instance = -1;
  }

  LineReader reader_;
  Output output_;
  std::map<std::int64_t, std::unique_ptr<Instance>> instances_;
  std::vector<std::int64_t> batch_instances_;  // instances that the current batch named
  std::vector<Member> members_;
  std::int64_t number_ = -1;  // of the current instance
  Time now_ = 0;
};

}  // namespace

int main() {
  try {
    Host().run();
  } catch (const std::exception& error) {
    std::cerr << "streampick_adapter: " << error.what() << '\n';
    return 1;
  }
  return 0;
}
