// The connections to one server: attempts go out on them, outcomes come back. One request at a time
// on each connection; a connection is dear to the server, so it is kept and used again.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <unordered_set>
#include <utility>
#include <vector>

#include "engine/time.h"
#include "engine/upstream.h"
#include "net/upstream_resources.h"

namespace streampick::http1 {

class Upstream final : public engine::Upstream {
 public:
  Upstream(boost::asio::io_context& io, engine::TimeSource& clock, net::UpstreamResources& resources,
           engine::AttemptObserver& outcomes, std::string name);
  ~Upstream() override;
  Upstream(const Upstream&) = delete;
  Upstream& operator=(const Upstream&) = delete;

  void set_address(const std::string& address) override;
  void send(engine::AttemptId attempt, std::shared_ptr<const engine::Message> message, Time expires,
            Time begin_by) override;
  void stop_sending_at(Time at) override;
  bool cancel_unsent(engine::AttemptId attempt) override;
  // Drains the attempt's connection if the rules allow it, and closes it otherwise.
  void cancel(engine::AttemptId attempt, engine::CancelReason reason) override;
  void close_idle(Time unused_since) override;
  bool close_oldest_idle() override;
  bool has_streaming_response() const override { return !passing_.empty(); }

 private:
  class Connection;
  using Link = std::shared_ptr<Connection>;
  struct Job {
    engine::AttemptId attempt;
    std::shared_ptr<const engine::Message> message;
    Time expires = 0, begin_by = kNever;
  };

  void dial();
  void dial_for_those_who_wait();
  void end_those_who_wait(Outcome outcome);
  bool may_begin(Job& job);
  void start(const Link& link, Job job);
  Link take_idle(const Job& job);
  void came_free(const Link& link);
  void serve_those_who_wait();
  void dial_failed(const Link& link);
  void drop(const Link& link);
  void close_silent_as(const Connection& silent);
  void stop_draining(const Link& link);
  void answered_after(Time took);
  void end(engine::AttemptId attempt, Outcome outcome, engine::Answer answer = {});
  void end_soon(engine::AttemptId attempt, Outcome outcome);

  boost::asio::io_context& io_;
  engine::TimeSource& clock_;
  net::UpstreamResources& resources_;
  engine::AttemptObserver& outcomes_;
  std::string name_, address_text_;
  boost::asio::ip::tcp::endpoint address_;
  std::vector<Link> idle_;  // the most recently used last
  std::unordered_set<Link> busy_, dialling_;
  std::unordered_set<Link> draining_;  // the answer on its way is nobody's; then they are used again
  std::unordered_set<Link> passing_;   // an answer that comes in parts is on its way through
  double usual_ = 0;                   // us from a request to its answer here, of late; 0: none came yet
  std::deque<Job> waiting_;            // for a connection
  boost::asio::steady_timer settled_;  // due when one that has just answered may be used again
  std::shared_ptr<bool> alive_;        // posted handlers hold it weakly
};

}  // namespace streampick::http1
