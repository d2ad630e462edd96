#include "resp/front.h"

#include <poll.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <boost/asio/post.hpp>
#include <charconv>
#include <unordered_map>
#include <utility>

#include "engine/keys.h"
#include "net/log.h"
#include "net/tcp.h"

namespace streampick::resp {

using asio::buffer;
using net::error_code;
using net::log;
using net::tcp;
namespace asio = boost::asio;

namespace {

constexpr std::size_t kScratch = 16 * 1024, kMostDiscarded = 1024 * 1024;
constexpr Time kMs = 1'000, kSecond = 1'000 * kMs;
constexpr Time kStuck = 10 * kSecond;  // a client that takes nothing of its answers this long is closed
// A client that stops within a command is owed its error within 3 s. A long command may come at 64 kB a
// second, as a body may over HTTP.
constexpr Time kWholeCommand = 2'300 * kMs;
constexpr Time kPerKilobyte = 18 * kMs;
constexpr Time kFirstBytes = 500 * kMs;  // to a new connection, whose first command may be on its way
constexpr Time kLinger = kSecond;
constexpr Time kMinRest = kSecond, kMinLinger = 50 * kMs;  // before a connection gives its place to another
constexpr Time kAnyPatience = 86'400 * kSecond;            // cut to the class's
constexpr int kRounds = 16;
constexpr unsigned kTicksBetweenChecks = 6;  // about a quarter of a second

}  // namespace

class RespFront::Session final : public engine::ResponseSink, public std::enable_shared_from_this<Session> {
 public:
  Session(RespFront& owner, tcp::socket socket, std::int64_t id)
      : owner_(&owner),
        socket_(std::move(socket)),
        conversation_(owner.settings_.rules, id),
        since_(owner.time_.now()) {
    error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    socket_.non_blocking(true, ignored);
  }
  void placed(Sessions::iterator place) { place_ = place; }

  void respond(std::uint64_t tag, engine::Response reply) override {
    if (owner_ == nullptr) return;
    open_.erase(tag);
    conversation_.answered(tag, std::move(reply));
    go_on_soon();
  }

  // What was read just now, the loop having waited for it without a delay, has no old end behind it.
  bool client_gone() override {
    if (owner_ == nullptr) return true;
    if (prompt_ && !owner_->stall_detector_.was_stalled()) return false;
    return hung_up();
  }

  // Reads and answers as far as it goes. Not from within a call of the engine.
  void go_on() {
    if (owner_ == nullptr) return;
    // Others want their turn too: a client that sends without end is gone on with in the next one.
    for (int rounds = 0; rounds < kRounds; ++rounds) {
      feed();
      if (owner_ == nullptr) return;
      write();
      if (owner_ == nullptr) return;
      if (!pending_.empty()) {
        if (conversation_.wants_more() && owner_->has_room()) continue;
        return settle();
      }
      // While the socket is waited on there is nothing to read, or we are about to be told.
      if (waiting_ || !may_read()) return settle();
      const bool more = read();
      if (owner_ == nullptr) return;
      write();
      if (owner_ == nullptr) return;
      if (!more) return settle();
    }
    go_on_soon();
  }

  void there_is_room() {
    starved_ = false;
    go_on();
  }

  void close() {
    if (owner_ == nullptr) return;
    RespFront& owner = *std::exchange(owner_, nullptr);
    error_code ignored;
    socket_.close(ignored);
    owner.in_work(counted_, 0);
    counted_ = 0;
    const auto self = shared_from_this();
    owner.sessions_.erase(place_);
    if (owner.descriptors_ != nullptr)
      owner.descriptors_->release(overload::DescriptorBudget::Side::downstream);
    const auto open = std::exchange(open_, {});
    for (const auto& [tag, request] : open) owner.requests_.on_client_cancelled(request);
  }
  void detach() {
    owner_ = nullptr;
    error_code ignored;
    socket_.close(ignored);
  }

  bool quiet() const {
    return pending_.empty() && conversation_.at_rest() && !conversation_.half_asked() && !writing_;
  }
  /// Nothing of its client's is unanswered, also of what it may have on its way to a new connection.
  bool resting() const { return quiet() && !unread() && !awaits_first_command(); }
  bool unread() const {
    error_code ignored;
    return socket_.available(ignored) > 0;
  }
  bool lingering() const { return lingering_; }
  bool starved() const { return starved_; }
  Time since() const { return since_; }

  // What has come by now was taken, also what the kernel still holds: it is answered, and then the connection
  // ends. Nothing that comes later is read.
  void stop_reading() {
    if (stopping_) return;
    error_code ignored;
    stopping_ = true;
    to_read_ = socket_.available(ignored);
    go_on();
  }

  void check(Time now) {
    if (lingering_) {
      if (now - since_ > kLinger) close();
      return;
    }
    if (writing_ && now - write_since_ > kStuck) return close();
    // With bytes unread nothing waits on the socket: whether the client is still there must be asked.
    if (!waiting_ && hung_up()) return close();
    if (command_overdue(now)) return abandon_command("the command did not come whole in time");
    const Time idle = owner_->settings_.idle;
    if (idle > 0 && now - since_ > idle && resting()) return leave();
    if (owner_->draining_) settle();
  }

 private:
  bool awaits_first_command() const {
    return conversation_.commands() == 0 && owner_->time_.now() - since_ < kFirstBytes;
  }

  // A command has begun to come and does not come on, or not fast enough.
  bool command_overdue(Time now) const {
    if (!conversation_.half_asked() || conversation_.over()) return false;
    if (!pending_.empty() || unread()) return false;  // what it waits for is ours to read
    if (now - since_ > kWholeCommand) return true;
    return now - half_since_ > kWholeCommand + static_cast<Time>(half_bytes_ / 1'000) * kPerKilobyte;
  }

  void abandon_command(const std::string& error) {
    conversation_.abandon_command(error);
    go_on();
  }

  // Notes when the command that is coming in began. `used` bytes were read, which ended `commands` of them.
  void follow_command(std::size_t used, std::uint64_t commands) {
    since_ = owner_->time_.now();
    if (commands > 0 || half_since_ == 0) {
      half_since_ = since_;
      half_bytes_ = 0;
    }
    half_bytes_ += used;
    if (!conversation_.half_asked()) half_since_ = 0;
  }

  bool hung_up() {
    pollfd ask{socket_.native_handle(), POLLRDHUP, 0};
    return ::poll(&ask, 1, 0) > 0 && (ask.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
  }

  bool may_read() const {
    return !lingering_ && !(stopping_ && to_read_ == 0) && conversation_.wants_more() && owner_->has_room();
  }

  void go_on_soon() {
    if (std::exchange(posted_, true)) return;
    asio::post(socket_.get_executor(), [self = shared_from_this()] {
      self->posted_ = false;
      self->go_on();
    });
  }

  // An answer to one may let the next be asked.
  void submit_all() {
    for (auto asks = conversation_.take_asks(); !asks.empty(); asks = conversation_.take_asks())
      for (Ask& ask : asks) submit(std::move(ask));
    count();
  }

  void feed() {
    submit_all();
    pending_.erase(0, consume(pending_));
    if (conversation_.over()) pending_.clear();
    if (pending_.empty() && pending_.capacity() > 64) std::string().swap(pending_);
  }

  // How much of what came could be taken now.
  std::size_t consume(std::string_view bytes) {
    std::size_t used = 0;
    while (used < bytes.size() && conversation_.wants_more() && owner_->has_room()) {
      const std::uint64_t before = conversation_.commands();
      const std::size_t took = conversation_.put(bytes.substr(used));
      const std::uint64_t commands = conversation_.commands() - before;
      used += took;
      owner_->counts_.commands += commands;
      follow_command(took, commands);
      submit_all();
    }
    return used;
  }

  void submit(Ask ask) {
    const FrontSettings& settings = owner_->settings_;
    const bool write = is_write(ask.part.operation);
    const std::uint32_t kind = write ? settings.write_class : settings.read_class;
    const Time patience = ask.patience > 0 ? ask.patience : kAnyPatience;
    if (owner_->load_shedder_ != nullptr &&
        owner_->load_shedder_->should_reject(kind, patience, owner_->last_id_ + ask.tag)) {
      ++owner_->counts_.shed;
      owner_->requests_.on_rejected_unread(kind);
      const Time after = owner_->load_shedder_->retry_after(owner_->last_id_ + ask.tag);
      return conversation_.answered(ask.tag,
                                    {.kind = engine::Response::Kind::rejected, .retry_after = after});
    }
    engine::IncomingRequest incoming;
    incoming.tag = ask.tag;
    incoming.request_class = kind;
    incoming.tenant = ask.tenant.empty() ? kNone : index_of(owner_->names_.tenants, ask.tenant);
    incoming.remaining = patience;
    incoming.has_key = true;
    const std::string escaped = engine::escape_key(ask.part.key);
    incoming.key = engine::key_number(escaped);
    incoming.message = std::make_shared<engine::Message>();
    engine::Message& message = *incoming.message;
    message.operation = ask.part.operation;
    message.target = "/" + owner_->names_.classes[kind] + "/" + escaped;
    message.key = std::move(ask.part.key);
    message.body = std::move(ask.part.body);
    message.words = std::move(ask.part.words);
    message.idempotency_key = std::move(ask.idempotency_key);
    if (ask.id.empty()) {
      incoming.transaction_id = owner_->next_id();
      message.transaction_id = engine::hex(incoming.transaction_id);
    } else {
      std::from_chars(ask.id.data(), ask.id.data() + ask.id.size(), incoming.transaction_id, 16);
      message.transaction_id = std::move(ask.id);
    }
    // With it our own repeats are told from other writes; the client's own repeat is another write.
    if (write && settings.write_key && message.idempotency_key.empty())
      message.idempotency_key = message.transaction_id;
    ++owner_->counts_.requests;
    open_.emplace(ask.tag, 0);
    const RequestId id = owner_->requests_.on_request(shared_from_this(), std::move(incoming));
    if (id == 0) {
      open_.erase(ask.tag);
      conversation_.id_is_open(ask.tag);
    } else if (const auto found = open_.find(ask.tag); found != open_.end()) {
      found->second = id;  // not answered within the call
    }
  }

  void count() {
    const std::size_t now = conversation_.unwritten();
    owner_->in_work(std::exchange(counted_, now), now);
  }

  // Returns whether there may be more to do at once.
  bool read() {
    error_code error;
    auto& scratch = owner_->scratch_;
    const std::size_t most = stopping_ ? std::min(to_read_, scratch.size()) : scratch.size();
    const std::size_t got = socket_.read_some(buffer(scratch.data(), most), error);
    if (error == asio::error::would_block) return false;
    if (error) {
      close();  // who ends the connection has gone away: what is open for him is withdrawn
      return false;
    }
    if (stopping_) to_read_ -= got;
    if (owner_->load_shedder_ != nullptr) owner_->load_shedder_->on_client_activity();
    // Most often all of it is used at once: a connection that waits holds no buffer.
    const std::string_view bytes(scratch.data(), got);
    const std::size_t used = consume(bytes);
    if (!conversation_.over()) pending_ = bytes.substr(used);
    return got == most || !pending_.empty();  // else there was no more
  }

  void write() {
    while (owner_ != nullptr && !writing_ && conversation_.has_output()) {
      out_ = conversation_.take_output();
      written_ = 0;
      write_since_ = owner_->time_.now();
      push();
    }
  }

  void push() {
    while (written_ < out_.size()) {
      error_code error;
      written_ += socket_.write_some(buffer(out_.data() + written_, out_.size() - written_), error);
      if (error == asio::error::would_block) {
        writing_ = true;
        socket_.async_wait(tcp::socket::wait_write, [self = shared_from_this()](error_code failed) {
          if (failed || self->owner_ == nullptr) return;
          self->writing_ = false;
          self->write_since_ = self->owner_->time_.now();
          self->push();
          self->go_on();
        });
        return;
      }
      if (error) return close();
    }
    std::string().swap(out_);
    conversation_.written();
    count();
  }

  // Waits for what comes next, or ends what is over.
  void settle() {
    if (owner_ == nullptr) return;
    if (lingering_) return wait();
    if (!owner_->has_room()) starved_ = owner_->starved_ = true;
    if (read_to_the_end() && conversation_.half_asked() && !conversation_.over())
      return abandon_command("the router ends, and the command is not whole");
    const bool answered = conversation_.at_rest() && !writing_ && pending_.empty();
    if (answered && (conversation_.over() || read_to_the_end() || (owner_->draining_ && resting())))
      return leave();
    wait();
  }

  bool read_to_the_end() const { return stopping_ && to_read_ == 0 && pending_.empty(); }

  // The one way in which we end a connection whose client is there. A close with unread bytes would reset it
  // and could take the last replies with it: it is ended for writing, and what still comes is read and
  // dropped, within bounds. None of that is run, so that its client may send it again elsewhere.
  void leave() {
    if (conversation_.lost()) ++owner_->counts_.bad;
    if (conversation_.foreign()) log("RESP: a client spoke HTTP; its connection is ended, nothing of it ran");
    lingering_ = true;
    since_ = owner_->time_.now();
    error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    wait();
  }

  void wait() {
    if (owner_ == nullptr || waiting_) return;
    // Also while nothing more is read, to notice a client that goes away: but then what it has sent would
    // wake us without end.
    if (!lingering_ && (!may_read() || !pending_.empty()) && unread()) return;
    waiting_ = true;
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code failed) {
      self->waiting_ = false;
      if (failed || self->owner_ == nullptr) return;
      self->readable();
    });
  }

  void readable() {
    if (lingering_) {
      error_code error;
      const std::size_t got = socket_.read_some(buffer(owner_->scratch_), error);
      discarded_ += got;
      if ((error && error != asio::error::would_block) || discarded_ > kMostDiscarded) return close();
      return wait();
    }
    if (!may_read() && !unread()) {
      // The end, most likely: looking tells.
      char byte = 0;
      error_code error;
      socket_.receive(buffer(&byte, 1), tcp::socket::message_peek, error);
      if (error && error != asio::error::would_block) return close();
    }
    prompt_ = true;
    go_on();
    prompt_ = false;
  }

  RespFront* owner_;  // none once it is closed
  tcp::socket socket_;
  Conversation conversation_;
  std::string pending_;  // read and not used yet
  std::string out_;
  std::size_t written_ = 0, counted_ = 0, discarded_ = 0;
  std::size_t to_read_ = 0;                            // once it is to stop reading
  std::unordered_map<std::uint64_t, RequestId> open_;  // by tag
  Time since_;                                         // bytes came last, or lingering began
  Time write_since_ = 0;
  Time half_since_ = 0;         // the first byte of a command that is not whole; 0: none
  std::size_t half_bytes_ = 0;  // of that command
  Sessions::iterator place_;
  bool waiting_ = false, writing_ = false, posted_ = false, starved_ = false, stopping_ = false;
  bool lingering_ = false;
  bool prompt_ = false;  // what the loop has waited for is being read and handled
};

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
      sweep_(io),
      scratch_(kScratch),
      last_id_(settings.seed),
      started_(time.now()) {
  settings_.rules.figures = [this] { return figures(); };
  listener_.resume();
  sweep();
}

RespFront::~RespFront() {
  for (const auto& session : sessions_) session->detach();
}

// Ids that no other router's are likely to equal, nor another of ours: a hash of a counter from a seed on.
std::uint64_t RespFront::next_id() {
  ++last_id_;
  return XXH3_64bits(&last_id_, sizeof last_id_);
}

void RespFront::on_accepted(tcp::socket socket) {
  if (is_full() && !make_room()) {
    ++counts_.turned_away;
    return rejections_.reject(std::move(socket), time_.now());
  }
  ++counts_.accepted;
  if (descriptors_ != nullptr) descriptors_->reserve(overload::DescriptorBudget::Side::downstream);
  const auto session = std::make_shared<Session>(*this, std::move(socket), ++last_session_);
  session->placed(sessions_.insert(sessions_.end(), session));
  session->go_on();
}

std::shared_ptr<RespFront::Session> RespFront::oldest_lingering(Time min_age) const {
  std::shared_ptr<Session> oldest;
  for (const auto& session : sessions_) {
    if (!session->lingering() || time_.now() - session->since() < min_age) continue;
    if (!oldest || session->since() < oldest->since()) oldest = session;
  }
  return oldest;
}

std::shared_ptr<RespFront::Session> RespFront::oldest_resting(Time min_age) const {
  std::shared_ptr<Session> oldest;
  for (const auto& session : sessions_) {
    if (session->lingering() || time_.now() - session->since() < min_age) continue;
    if (oldest && oldest->since() <= session->since()) continue;
    if (session->resting()) oldest = session;
  }
  return oldest;
}

// Whoever has had its last reply for a while gives way, then whoever has asked for nothing for longest. A
// client whose end has only just begun goes last: closed at once, it might lose its reply with bytes that
// cross the close.
bool RespFront::make_room() {
  std::shared_ptr<Session> spared = oldest_lingering(kMinLinger);
  if (!spared) spared = oldest_resting(kMinRest);
  if (!spared) spared = oldest_lingering(0);
  if (!spared) return false;
  spared->close();
  return true;
}

void RespFront::in_work(std::size_t before, std::size_t now) {
  in_work_ = in_work_ + now - before;
  if (now >= before || !has_room() || !std::exchange(starved_, false)) return;
  for (const auto& session : sessions_)
    if (session->starved()) asio::post(io_, [session] { session->there_is_room(); });
}

void RespFront::on_drain_started() {
  draining_ = true;
  const Sessions all = sessions_;
  for (const auto& session : all) session->go_on();
}

void RespFront::stop_accepting() { listener_.stop(); }

void RespFront::stop_reading() {
  const Sessions all = sessions_;
  for (const auto& session : all) session->stop_reading();
}

// Also those whose last reply may still be on its way, for a short time.
std::size_t RespFront::unanswered() const {
  const auto resting = std::count_if(sessions_.begin(), sessions_.end(), [](const auto& session) {
    return !session->lingering() && session->resting();
  });
  return rejections_.open() + sessions_.size() - static_cast<std::size_t>(resting);
}

Figures RespFront::figures() const {
  Figures out;
  out.uptime_seconds = static_cast<std::uint64_t>((time_.now() - started_) / kSecond);
  out.port = address().port();
  out.clients = sessions_.size();
  out.most_clients = settings_.most_clients;
  out.in_work = in_work_;
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

void RespFront::sweep() {
  if (++ticks_ % kTicksBetweenChecks == 0) {
    const Time now = time_.now();
    const Sessions all = sessions_;
    for (const auto& session : all) session->check(now);
    rejections_.close_overdue(now);
  }
  stall_detector_.on_tick();
  sweep_.expires_at(stall_detector_.next_tick());
  sweep_.async_wait([this](error_code cancelled) {
    if (!cancelled) sweep();
  });
}

}  // namespace streampick::resp
