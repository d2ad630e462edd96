// The side that RESP clients see: the listener and their connections. What they say is Conversation's.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include "engine/downstream.h"
#include "engine/time.h"
#include "net/listener.h"
#include "net/load_shedder.h"
#include "net/loop_stall_detector.h"
#include "overload/descriptor_budget.h"
#include "resp/conversation.h"
#include "resp/rejections.h"
#include "settings/settings.h"

namespace streampick::resp {

struct FrontSettings {
  boost::asio::ip::tcp::endpoint listen;
  FrontRules rules;
  std::uint32_t read_class = 0, write_class = 0;  // places among the names of classes
  bool write_key = false;           // the write class is keyed: a write without a KEY is given one
  std::size_t most_clients = 64;    // connections
  std::size_t most_requests = 512;  // of all connections, whose answers are not written yet
  Time idle = 300'000'000;          // a connection that asked for nothing this long is closed; 0: never
  std::uint64_t seed = 0;           // of the ids that the front chooses
};

class RespFront final : public engine::Downstream, private net::Listener::Handler {
 public:
  struct Counts {
    std::uint64_t accepted = 0, turned_away = 0, commands = 0, requests = 0, bad = 0;
    std::uint64_t shed = 0;  // refused before anything was made of them, the loop being behind
  };

  // Throws boost::system::system_error when the address can't be listened on.
  RespFront(boost::asio::io_context& io, engine::TimeSource& time, const Names& names,
            engine::RequestHandler& requests, const FrontSettings& settings,
            overload::DescriptorBudget* descriptors = nullptr, net::LoadShedder* load_shedder = nullptr);
  ~RespFront() override;
  RespFront(const RespFront&) = delete;
  RespFront& operator=(const RespFront&) = delete;

  boost::asio::ip::tcp::endpoint address() const { return listener_.address(); }
  void on_drain_started() override;
  void on_drain_ended() override { draining_ = false; }
  // Of new settings; requests that are open keep the classes they were asked under.
  void set_classes(std::uint32_t read, std::uint32_t write, bool write_key) {
    settings_.read_class = read;
    settings_.write_class = write;
    settings_.write_key = write_key;
  }
  void stop_accepting() override;
  void stop_reading() override;
  std::size_t unanswered() const override;
  std::size_t open_connections() const override { return sessions_.size(); }
  const Counts& counts() const { return counts_; }
  std::string summary() const;  // the counts, for the log

 private:
  class Session;
  using Sessions = std::list<std::shared_ptr<Session>>;

  bool can_accept() override { return true; }  // whoever finds none is told so
  bool is_full() const {
    return sessions_.size() >= settings_.most_clients ||
           (descriptors_ != nullptr &&
            !descriptors_->has_capacity(overload::DescriptorBudget::Side::downstream));
  }
  void on_accepted(boost::asio::ip::tcp::socket socket) override;
  void on_resource_exhausted() override { make_room(); }
  bool make_room();
  std::shared_ptr<Session> oldest_lingering(Time min_age) const;
  std::shared_ptr<Session> oldest_resting(Time min_age) const;
  void sweep();
  bool has_room() const { return in_work_ < settings_.most_requests; }
  void in_work(std::size_t before, std::size_t now);
  std::uint64_t next_id();
  Figures figures() const;

  boost::asio::io_context& io_;
  engine::TimeSource& time_;
  const Names& names_;
  engine::RequestHandler& requests_;
  FrontSettings settings_;
  overload::DescriptorBudget* descriptors_;  // shared with other fronts; none: only its own limit holds
  net::LoadShedder* load_shedder_;           // none: nothing is refused for the loop's sake
  net::Listener listener_;
  boost::asio::steady_timer sweep_;
  net::LoopStallDetector stall_detector_;  // ticks with each sweep
  unsigned ticks_ = 0;
  Sessions sessions_;
  Rejections rejections_;
  bool starved_ = false;  // some session waits for room among the requests
  std::vector<char> scratch_;
  std::size_t in_work_ = 0;
  std::uint64_t last_id_ = 0;
  Time started_ = 0;
  std::int64_t last_session_ = 0;
  bool draining_ = false;
  Counts counts_;
};

}  // namespace streampick::resp
