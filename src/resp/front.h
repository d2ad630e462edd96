// The RESP front: the listener and the connections of RESP clients. Conversation handles the protocol.
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
  std::uint32_t read_class = 0, write_class = 0;  // indices into the names of request classes
  bool write_key = false;         // the write class is keyed: a write without a KEY gets a generated one
  std::size_t most_clients = 64;  // limit of connections
  std::size_t most_requests =
      512;  // limit over all connections of requests whose replies are not written yet
  Time idle =
      300'000'000;  // microseconds from the last received bytes until an idle connection is closed; 0: never
  std::uint64_t seed = 0;  // of the transaction ids that the front generates
};

class RespFront final : public engine::Downstream, private net::Listener::Handler {
 public:
  struct Counts {
    std::uint64_t accepted = 0, turned_away = 0, commands = 0, requests = 0, bad = 0;
    std::uint64_t shed = 0;  // requests rejected early because the event loop is overloaded
  };

  // Throws boost::system::system_error if it can't listen on the address.
  RespFront(boost::asio::io_context& io, engine::TimeSource& time, const Names& names,
            engine::RequestHandler& requests, const FrontSettings& settings,
            overload::DescriptorBudget* descriptors = nullptr, net::LoadShedder* load_shedder = nullptr);
  ~RespFront() override;
  RespFront(const RespFront&) = delete;
  RespFront& operator=(const RespFront&) = delete;

  boost::asio::ip::tcp::endpoint address() const { return listener_.address(); }
  void on_drain_started() override;
  void on_drain_ended() override { draining_ = false; }
  // Applies new settings. Open requests keep the request classes that they started with.
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
  std::string summary() const;  // the counts as text for the log

 private:
  class Session;
  using Sessions = std::list<std::shared_ptr<Session>>;

  bool can_accept() override { return true; }  // a client in excess receives an error, so it must be accepted
  bool is_full() const {
    return sessions_.size() >= settings_.most_clients ||
           (descriptors_ != nullptr &&
            !descriptors_->has_capacity(overload::DescriptorBudget::Side::downstream));
  }
  void on_accepted(boost::asio::ip::tcp::socket socket) override;
  void on_resource_exhausted() override { close_one_connection(); }
  bool close_one_connection();
  std::shared_ptr<Session> oldest_lingering(Time min_age) const;
  std::shared_ptr<Session> oldest_idle(Time min_age) const;
  void on_tick();
  bool has_capacity() const { return unwritten_requests_ < settings_.most_requests; }
  void update_unwritten(std::size_t before, std::size_t now);
  std::uint64_t next_id();
  Statistics statistics() const;

  boost::asio::io_context& io_;
  engine::TimeSource& time_;
  const Names& names_;
  engine::RequestHandler& requests_;
  FrontSettings settings_;
  overload::DescriptorBudget*
      descriptors_;                 // shared with other fronts; nullptr: only most_clients limits connections
  net::LoadShedder* load_shedder_;  // nullptr: no request is rejected early
  net::Listener listener_;
  boost::asio::steady_timer tick_timer_;
  net::LoopStallDetector stall_detector_;  // ticks with each sweep
  unsigned ticks_ = 0;
  Sessions sessions_;
  Rejections rejections_;
  bool waiting_for_capacity_ = false;  // a session waits until fewer requests are unanswered
  std::vector<char> read_buffer_;
  std::size_t unwritten_requests_ = 0;
  std::uint64_t last_id_ = 0;
  Time started_ = 0;
  std::int64_t last_session_ = 0;
  bool draining_ = false;
  Counts counts_;
};

}  // namespace streampick::resp
