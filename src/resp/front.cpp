#include "resp/front.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "net/tcp.h"
#include "resp/front_session.h"

namespace streampick::resp {

using net::error_code;
using net::tcp;
namespace asio = boost::asio;

namespace {

constexpr std::size_t kReadBufferBytes = 16 * 1024;
constexpr Time kMs = 1'000, kSecond = 1'000 * kMs;
constexpr Time kMinIdle = kSecond, kMinLinger = 50 * kMs;  // before a connection may be closed for a new one
constexpr unsigned kTicksBetweenChecks = 6;                // about 250 ms

}  // namespace

RespFront::RespFront(asio::io_context& io, engine::TimeSource& time, const Names& names,
                     engine::RequestHandler& requests, const FrontSettings& settings,
                     overload::DescriptorBudget* descriptors, net::LoadShedder* load_shedder)
    : io_(io),
      time_(time),
      names_(names),
      requests_(requests),
      settings_(settings),
      descriptors_(descriptors),
      load_shedder_(load_shedder),
      listener_(io, settings.listen, *this),
      tick_timer_(io),
      read_buffer_(kReadBufferBytes),
      last_id_(settings.seed),
      started_(time.now()) {
  settings_.rules.statistics = [this] { return statistics(); };
  listener_.resume();
  on_tick();
}

RespFront::~RespFront() {
  for (const auto& session : sessions_) session->detach();
}

// Generates an id that is unlikely to equal another id of this or any other router: the hash of a counter
// that starts at a seed.
std::uint64_t RespFront::next_id() {
  ++last_id_;
  return XXH3_64bits(&last_id_, sizeof last_id_);
}

void RespFront::on_accepted(tcp::socket socket) {
  if (is_full() && !close_one_connection()) {
    ++counts_.turned_away;
    return rejections_.reject(std::move(socket), time_.now());
  }
  ++counts_.accepted;
  if (descriptors_ != nullptr) descriptors_->reserve(overload::DescriptorBudget::Side::downstream);
  const auto session = std::make_shared<Session>(*this, std::move(socket), ++last_session_);
  session->set_position(sessions_.insert(sessions_.end(), session));
  session->process();
}

std::shared_ptr<RespFront::Session> RespFront::oldest_lingering(Time min_age) const {
  std::shared_ptr<Session> oldest;
  for (const auto& session : sessions_) {
    if (!session->lingering() || time_.now() - session->since() < min_age) continue;
    if (!oldest || session->since() < oldest->since()) oldest = session;
  }
  return oldest;
}

std::shared_ptr<RespFront::Session> RespFront::oldest_idle(Time min_age) const {
  std::shared_ptr<Session> oldest;
  for (const auto& session : sessions_) {
    if (session->lingering() || time_.now() - session->since() < min_age) continue;
    if (oldest && oldest->since() <= session->since()) continue;
    if (session->is_idle()) oldest = session;
  }
  return oldest;
}

// Closes one connection for a new one: first one that has lingered for a while, then the one that has been
// idle for longest. A connection that has just begun to linger is the last choice: if the client sends more
// bytes at that time, the close resets the connection and the client may lose its last reply.
bool RespFront::close_one_connection() {
  std::shared_ptr<Session> candidate = oldest_lingering(kMinLinger);
  if (!candidate) candidate = oldest_idle(kMinIdle);
  if (!candidate) candidate = oldest_lingering(0);
  if (!candidate) return false;
  candidate->close();
  return true;
}

void RespFront::update_unwritten(std::size_t before, std::size_t now) {
  unwritten_requests_ = unwritten_requests_ + now - before;
  if (now >= before || !has_capacity() || !std::exchange(waiting_for_capacity_, false)) return;
  for (const auto& session : sessions_)
    if (session->is_waiting_for_capacity()) asio::post(io_, [session] { session->on_capacity(); });
}

void RespFront::on_drain_started() {
  draining_ = true;
  const Sessions all = sessions_;
  for (const auto& session : all) session->process();
}

void RespFront::stop_accepting() { listener_.stop(); }

void RespFront::stop_reading() {
  const Sessions all = sessions_;
  for (const auto& session : all) session->stop_reading();
}

// Includes, for a short time, connections whose last reply may still be in transit.
std::size_t RespFront::unanswered() const {
  const auto is_idle = std::count_if(sessions_.begin(), sessions_.end(), [](const auto& session) {
    return !session->lingering() && session->is_idle();
  });
  return rejections_.open() + sessions_.size() - static_cast<std::size_t>(is_idle);
}

Statistics RespFront::statistics() const {
  Statistics out;
  out.uptime_seconds = static_cast<std::uint64_t>((time_.now() - started_) / kSecond);
  out.port = address().port();
  out.clients = sessions_.size();
  out.most_clients = settings_.most_clients;
  out.unwritten_requests = unwritten_requests_;
  out.accepted = counts_.accepted;
  out.turned_away = counts_.turned_away;
  out.commands = counts_.commands;
  out.requests = counts_.requests;
  out.bad = counts_.bad;
  return out;
}

std::string RespFront::summary() const {
  return "clients=" + std::to_string(open_connections()) + " accepted=" + std::to_string(counts_.accepted) +
         " commands=" + std::to_string(counts_.commands) + " requests=" + std::to_string(counts_.requests) +
         " bad=" + std::to_string(counts_.bad) + " turned_away=" + std::to_string(counts_.turned_away) +
         " shed=" + std::to_string(counts_.shed);
}

void RespFront::on_tick() {
  if (++ticks_ % kTicksBetweenChecks == 0) {
    const Time now = time_.now();
    const Sessions all = sessions_;
    for (const auto& session : all) session->check(now);
    rejections_.close_overdue(now);
  }
  stall_detector_.on_tick();
  tick_timer_.expires_at(stall_detector_.next_tick());
  tick_timer_.async_wait([this](error_code cancelled) {
    if (!cancelled) on_tick();
  });
}

}  // namespace streampick::resp
