#include "http1/front.h"

#include <poll.h>

#include <algorithm>
#include <array>
#include <boost/asio/post.hpp>
#include <charconv>
#include <optional>
#include <utility>
#include <variant>
#include <vector>

#include "http1/protocol.h"
#include "http1/reader.h"
#include "net/log.h"

namespace streampick::http1 {

namespace {

// Read while a request is in work: this much, and more where there is memory for it.
constexpr std::size_t kMostAhead = kLongestHeader, kMostAheadKept = kLongestHeader + kLongestBody;
constexpr std::size_t kChunk = 4 * 1024, kMostDiscarded = 1024 * 1024;
constexpr Time kMs = 1'000, kSecond = 1'000 * kMs;
constexpr Time kLongestWait = 86'400 * kSecond;
// A connection that has not sent its first whole request this long after it was accepted, or a later one
// this long after its first byte, is owed an end within 3 s.
constexpr Time kWholeRequest = 2'300 * kMs;
// A body may come at 64 kB a second: so much time it is given beyond that, and then a little. A client that
// stops in the midst of one has used that up at once: it is owed its end as early as one that stops in a
// head.
constexpr Time kPerKilobyte = 18 * kMs;
constexpr Time kStalledBody = kWholeRequest;
constexpr Time kStuck = 10 * kSecond, kLinger = kSecond;
constexpr Time kYoung = 50 * kMs;        // its first request may still be on its way
constexpr Time kFirstBytes = 500 * kMs;  // ... and no longer than this, once we are to end

std::optional<std::uint64_t> parse_hex(std::string_view text) {
  std::uint64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, 16);
  if (text.size() != 16 || error != std::errc{} || end != text.data() + text.size()) return std::nullopt;
  return value;
}

// Seconds with decimals, as the protocol has it: no sign, exponent or name of a number.
std::optional<Time> parse_seconds(std::string_view text) {
  if (text.empty() || text.find_first_not_of("0123456789.") != std::string_view::npos) return std::nullopt;
  const auto value = to_number(text);
  // More than a day is nobody's patience, but a number that went wrong.
  if (!value || !(*value * 1e6 <= static_cast<double>(kLongestWait))) return std::nullopt;
  return static_cast<Time>(*value * 1e6);
}

// A reply as it goes out.
struct Response {
  unsigned status = 200;
  std::string content_type, body;
  Time retry_after = 0;  // 0: no advice
  engine::MemoryReservation reservation = {};
  engine::BodyReader stream = {};  // the body, where it comes in parts
  engine::RequestMetrics::InFlight in_flight = {};
};

Response response_for(engine::Response reply) {
  Response out;
  switch (reply.kind) {
    case engine::Response::Kind::served:
      out = {200, std::move(reply.answer.content_type), std::move(reply.answer.body),
             0,   std::move(reply.answer.memory),       std::move(reply.answer.stream)};
      break;
    case engine::Response::Kind::rejected:
      out = {503, "text/plain", "refused; it is safe to try again\n", reply.retry_after, {}};
      break;
    case engine::Response::Kind::failed:
      out = {reply.late ? 504U : 502U, "text/plain", "failed\n", 0, {}};
      break;
  }
  out.in_flight = std::move(reply.in_flight);
  return out;
}

Response problem(unsigned status, std::string_view why) {
  return {status, "text/plain", std::string(why) + "\n", 0, {}};
}

// A header that says two things says nothing; trailers count too.
bool says_twice(const RequestHead& head) {
  return std::max({head.transaction_id.times, head.lane.times, head.remaining.times, head.org.times,
                   head.estimate.times, head.idempotency_key.times}) > 1;
}

// What the message asks for, or the answer that says what is wrong with it.
std::variant<engine::IncomingRequest, Response> read_request(const RequestHead& head, std::string& body,
                                                             const Names& names,
                                                             engine::MessagePool& messages) {
  if (!host_is_plain(head.version, head.host.times, head.host.value))
    return problem(400, "one Host, and no other");
  const std::string_view target = origin_form(head.target);
  const std::string_view path = target.substr(0, target.find('?'));
  if (path.empty() || path.front() != '/') return problem(404, "no such path");
  const std::size_t slash = path.find('/', 1);
  const std::string_view first = path.substr(1, slash == std::string_view::npos ? slash : slash - 1);
  const std::string_view key = slash == std::string_view::npos ? "" : path.substr(path.rfind('/') + 1);
  engine::IncomingRequest out;
  out.request_class = index_of(names.classes, first);

  const std::string_view lane = head.lane.value;
  if (lane.empty()) {
    if (out.request_class == kNone) return problem(404, "no such path");
    return problem(400, "no X-Lane");
  }
  if (index_of(names.classes, lane) == kNone) return problem(400, "unknown class in X-Lane");
  if (out.request_class == kNone) return problem(404, "no such path");
  if (first != lane) return problem(400, "X-Lane and path differ");
  const bool write = head.method == http::verb::put;
  if (!write && head.method != http::verb::get) return problem(405, "GET and PUT only");

  // Without its key the repeats of a keyed write can't be told from new ones, and nobody could retry it.
  if (write && names.keyed.at(out.request_class) && head.idempotency_key.value.empty())
    return problem(400, "no Idempotency-Key");
  if (says_twice(head)) return problem(400, "a header stands there twice");
  const auto id = parse_hex(head.transaction_id.value);
  if (!id) return problem(400, "X-Txn must be 16 hex digits");
  out.transaction_id = *id;
  const auto remaining = parse_seconds(head.remaining.value);
  if (!remaining) return problem(400, "X-Remaining must be a number of seconds");
  out.remaining = *remaining;

  out.has_key = !key.empty();
  if (out.has_key) out.key = parse_hex(key).value_or(hash_name(key));
  out.tenant = index_of(names.tenants, head.org.value);
  // A hint that can't be read is no hint.
  if (const auto hint = to_number(head.estimate.value); hint && *hint > 0 && *hint < 1e12)
    out.cost_hint = static_cast<Time>(*hint);

  out.message = messages.acquire();
  out.message->operation = write ? engine::Operation::write : engine::Operation::read;
  out.message->target = target;
  out.message->key = key;
  out.message->transaction_id = head.transaction_id.value;
  out.message->idempotency_key = head.idempotency_key.value;
  out.message->content_type = head.content_type.value;
  out.message->body = std::move(body);
  out.message->accepts_streaming = true;
  return out;
}

std::string_view reason(unsigned status) {
  const auto text = http::obsolete_reason(static_cast<http::status>(status));
  return {text.data(), text.size()};
}

}  // namespace

// Its socket is read at all times, so that a client that goes away is noticed while its request is in work;
// what it sends ahead waits in the buffer. The loop's own read is registered once and costs no system call
// but the read itself; what fills the chunk is followed by another at once.
class Clients::Session final : public engine::ResponseSink, public std::enable_shared_from_this<Session> {
 public:
  Session(Clients& owner, net::tcp::socket socket)
      : owner_(&owner), socket_(std::move(socket)), since_(owner.clock_.now()) {
    net::error_code ignored;
    socket_.set_option(net::tcp::no_delay(true), ignored);
    socket_.non_blocking(true, ignored);
    next_message();
  }
  void placed(Queue::iterator place) { place_ = place; }

  // The first request is most often there already.
  void begin() {
    net::error_code error;
    const std::size_t got = socket_.read_some(asio::buffer(chunk_), error);
    if (error && error != asio::error::would_block) return close();
    if (!error) received(got);
    wait();
  }

  void respond(std::uint64_t, engine::Response reply) override {
    if (owner_ == nullptr || (state_ != State::asked && state_ != State::uploading)) return;
    if (state_ == State::uploading) last_ = true;  // the rest of its body is still to come
    answer(response_for(std::move(reply)));
  }

  // What was read just now, the loop having waited for it without a delay, has no old end behind it.
  bool client_gone() override {
    if (owner_ == nullptr) return true;
    if (prompt_ && !owner_->stall_detector_.was_stalled()) return false;
    return ended_by_client();
  }

  Time since() const { return since_; }
  bool unread() const {
    net::error_code ignored;
    return socket_.available(ignored) > 0;
  }
  // Its client has ended the connection, and we are not reading, so that nothing tells: what it sent ahead or
  // its body stands in the way.
  bool gone_unseen() {
    if (waiting_ || (state_ != State::asked && state_ != State::uploading)) return false;
    return ended_by_client();
  }
  bool silent() const { return ahead_.empty() && !parser_->got_some(); }

  // It has stood still for too long. What has come by now and is not read yet was sent in time.
  // Returns whether it is ended.
  bool expire() {
    if (owner_ == nullptr) return false;
    if (is_receiving() && unread()) return false;
    const bool half_asked = state_ == State::begun || state_ == State::receiving ||
                            state_ == State::uploading || (state_ == State::fresh && !silent());
    if (half_asked) {
      give_upload_up();
      last_ = true;
      answer(problem(408, "the request did not come in time"));
    } else if (state_ == State::idle || state_ == State::fresh) {
      leave();
    } else {
      close();
    }
    return true;
  }

  // Its body comes more slowly than a client of ours may send, or does not come on at all.
  bool too_slow(Time now) const {
    if (held_) return false;
    if (now - last_body_bytes_ > kStalledBody) return true;
    return now - since_ > kWholeRequest + static_cast<Time>(body_got_ / 1'000) * kPerKilobyte;
  }

  // Between requests: what crosses it is sent once more by the client, on a new connection.
  void leave_if_idle() {
    if ((state_ == State::idle || state_ == State::fresh) && silent() && !unread()) leave();
  }
  /// Whether a request may have come that is not read yet: between requests, with bytes in the socket.
  bool has_unread_request() const { return state_ == State::idle && unread(); }

  void close() {
    if (owner_ == nullptr) return;
    Clients& owner = *std::exchange(owner_, nullptr);
    net::error_code ignored;
    socket_.close(ignored);
    reservation_ = {};
    in_flight_ = {};
    stream_.reset();
    end_upload(engine::BodyStream::State::truncated);
    const RequestId gone =
        state_ == State::asked || state_ == State::uploading ? std::exchange(request_, 0) : 0;
    const auto self = shared_from_this();
    owner.closed(place_, state_);
    if (gone == 0) return;
    ++owner.counts_.left;
    owner.requests_.on_client_cancelled(gone);
  }
  void detach() {
    owner_ = nullptr;
    stream_.reset();
    end_upload(engine::BodyStream::State::truncated);
    net::error_code ignored;
    socket_.close(ignored);
  }

 private:
  /// A FIN or RST has come, whatever bytes stand unread before it.
  bool ended_by_client() {
    pollfd look{socket_.native_handle(), POLLRDHUP, 0};
    return ::poll(&look, 1, 0) > 0 && (look.revents & (POLLRDHUP | POLLERR | POLLHUP)) != 0;
  }

  void enter(State state) {
    Queue& to = owner_->queue(state);
    to.splice(to.end(), owner_->queue(state_), place_);
    state_ = state;
    since_ = owner_->clock_.now();
  }

  // Between requests or within one, so that the socket is being read.
  bool is_receiving() const {
    switch (state_) {
      case State::fresh:
      case State::idle:
      case State::begun:
      case State::receiving: return true;
      case State::uploading: return !held_;
      default: return false;
    }
  }

  void next_message() {
    parser_.emplace(head_, in_body_, kLongestUpload);
    told_to_go_on_ = checked_ = weighed_ = false;
    body_got_ = 0;
    in_lease_ = {};
  }

  void wait() {
    if (owner_ == nullptr || waiting_) return;
    const bool in_work = state_ == State::asked || state_ == State::writing;
    if (in_work && discarded_ > kMostDiscarded) return;  // again once it is answered
    if (state_ == State::uploading && held_) return;     // again once there is room
    waiting_ = true;
    socket_.async_read_some(asio::buffer(chunk_),
                            [self = shared_from_this()](net::error_code error, std::size_t got) {
                              self->waiting_ = false;
                              if (self->owner_ == nullptr) return;
                              if (error) return self->close();
                              self->prompt_ = true;
                              self->received(got);
                              self->prompt_ = false;
                              self->wait();
                            });
  }

  // From the chunk. A message is parsed where it came; only what is left of it waits in a buffer.
  void received(std::size_t got) {
    if (state_ == State::lingering) {
      // A body of any size may still be on its way; what nobody reads is not worth much time.
      discarded_ += got;
      if (discarded_ > (upload_ended_ ? kLongestUpload : kMostDiscarded)) close();
      return;
    }
    owner_->load_shedder_.on_client_activity();
    const std::string_view bytes(chunk_.data(), got);
    if (state_ == State::uploading) {
      ahead_ += bytes;
      upload_more();
    } else if (state_ == State::asked || state_ == State::writing) {
      keep_ahead(bytes);
    } else if (ahead_.empty()) {
      ahead_ = bytes.substr(parse(bytes));
      if (state_ == State::uploading) upload_more();
    } else {
      ahead_ += bytes;
      parse_ahead();
    }
  }

  // What comes while a request is in work waits for its turn. A client that sends without end is read on, so
  // that its going is noticed, but what it sends is not kept, and its connection ends behind the last request
  // that is.
  void keep_ahead(std::string_view bytes) {
    // What is left of a body that nobody wants any more is no request.
    if (upload_ended_) return;
    const std::size_t all = ahead_.size() + bytes.size();
    if (!flooded_ && all > kMostAhead && !ahead_lease_ && all <= kMostAheadKept)
      if (auto reservation = owner_->body_memory_.reserve(kMostAheadKept))
        ahead_lease_ = std::move(*reservation);
    flooded_ = flooded_ || all > (ahead_lease_ ? kMostAheadKept : kMostAhead);
    if (flooded_) {
      discarded_ += bytes.size();
    } else {
      ahead_ += bytes;
      more_ = true;
    }
  }

  void parse_ahead() {
    ahead_.erase(0, parse(ahead_));
    if (state_ == State::uploading) upload_more();
    if (ahead_.size() <= kMostAhead) ahead_lease_ = {};
    if (ahead_.empty() && ahead_.capacity() > 64) std::string().swap(ahead_);
  }

  // Returns how much of it was used; what follows a whole message is not.
  std::size_t parse(std::string_view bytes) {
    // A first request's time counts from when its connection was accepted, however slowly it drips in.
    if (state_ == State::idle && !bytes.empty()) enter(State::begun);
    net::error_code failed;
    const std::size_t used = parser_->read(bytes, failed);
    more_ = used < bytes.size();
    if (failed) {
      last_ = true;
      if (failed == http::error::body_limit) {
        answer(problem(413, "the body is over 32 MiB"));
      } else {
        answer(problem(400, failed.message()));
      }
      return used;
    }
    if (parser_->is_header_done() && !std::exchange(checked_, true) && !head_.framing.plain(head_.version)) {
      last_ = true;
      answer(problem(400, "where the message ends is in doubt"));
      return used;
    }
    if (parser_->is_header_done() && !std::exchange(weighed_, true) && shed()) return used;
    if (parser_->is_header_done()) {
      count_body(used);
      if (!parser_->is_done() && (state_ == State::begun || state_ == State::fresh))
        go_over(State::receiving);
    }
    if (parser_->is_done()) {
      if (!may_keep()) return no_memory(), used;
      asked();
    } else if (parser_->is_header_done() && !may_keep()) {
      go_on();
      upload();
    } else {
      go_on();
    }
    return used;
  }

  void count_body(std::size_t bytes) {
    body_got_ += bytes;
    last_body_bytes_ = owner_->clock_.now();
  }

  // The time that a message has runs on from its first byte.
  void go_over(State state) {
    const Time began = since_;
    enter(state);
    since_ = began;
  }

  // Whether the body is kept until it is whole, and there is memory for that.
  bool may_keep() {
    const auto length = parser_->content_length();
    const std::uint64_t least = std::max<std::uint64_t>(length.value_or(0), in_body_.size());
    if (least <= kLongestBody || in_lease_) return least <= kMostKept;
    if (least > kMostKept) return false;
    auto reservation = owner_->body_memory_.reserve(length ? static_cast<std::size_t>(*length) : kMostKept);
    if (reservation) in_lease_ = std::move(*reservation);
    return static_cast<bool>(in_lease_);
  }
  void no_memory() {
    last_ = last_ || !parser_->is_done() || !parser_->keep_alive();
    upload_ended_ = !parser_->is_done();
    const std::uint32_t request_class = index_of(owner_->names_.classes, head_.lane.value);
    if (request_class != kNone) owner_->requests_.on_rejected_unread(request_class);
    answer({503,
            "text/plain",
            "refused, no memory for the body now; it is safe to try again\n",
            owner_->load_shedder_.retry_after(hash_name(head_.transaction_id.value)),
            {},
            {}});
  }
  void go_on() {
    if (parser_->is_header_done() && !told_to_go_on_ && beast::iequals(head_.expect.value, "100-continue")) {
      told_to_go_on_ = true;
      static constexpr std::string_view go_on = "HTTP/1.1 100 Continue\r\n\r\n";
      net::error_code ignored;
      socket_.write_some(asio::buffer(go_on), ignored);
    }
  }

  // A long body: it is asked for now, and its body goes on as it comes.
  void upload() {
    if (head_.method != http::verb::put) return wrong(problem(413, "the body is over 64 KiB"));
    auto reservation = owner_->body_memory_.reserve(kPartsWaiting);
    if (!reservation) return no_memory();
    std::string none;
    auto read = read_request(head_, none, owner_->names_, owner_->messages_);
    if (Response* problem_found = std::get_if<Response>(&read)) return wrong(std::move(*problem_found));
    in_lease_ = std::move(*reservation);
    const auto length = parser_->content_length();
    upload_ = std::make_shared<engine::BodyStream>(
        length ? std::optional<std::uint64_t>(*length) : std::nullopt, kPartsWaiting);
    const auto post = [weak = weak_from_this()](void (Session::*what)()) {
      if (const auto self = weak.lock())
        asio::post(self->socket_.get_executor(), [self, what] {
          if (self->owner_ != nullptr) (self.get()->*what)();
        });
    };
    upload_->on_writable = [post] { post(&Session::there_is_room); };
    last_ = !parser_->keep_alive();
    go_over(State::uploading);
    auto incoming = std::get<engine::IncomingRequest>(std::move(read));
    incoming.message->upload = upload_;
    pass_body_on();
    const RequestId request = owner_->requests_.on_request(shared_from_this(), std::move(incoming));
    if (request == 0) {
      end_upload(engine::BodyStream::State::truncated);
      return wrong(problem(409, "a request with this X-Txn is open"));
    }
    if (state_ == State::uploading) request_ = request;
  }
  void pass_body_on() {
    held_ = !upload_->write(in_body_);
    in_body_.clear();
  }
  void upload_more() {
    net::error_code failed;
    const std::size_t used = parser_->read(ahead_, failed);
    ahead_.erase(0, used);
    count_body(used);
    if (!failed && ahead_.size() > kMostAhead) failed = http::error::header_limit;  // a line without end
    if (failed) {
      give_upload_up();
      last_ = true;
      const bool too_long = failed == http::error::body_limit;
      return answer(problem(too_long ? 413 : 400, too_long ? "the body is over 32 MiB" : failed.message()));
    }
    pass_body_on();
    if (!parser_->is_done()) return;
    end_upload(engine::BodyStream::State::complete);
    enter(State::asked);
    owner_->requests_.on_body_complete(request_);
  }
  void there_is_room() {
    if (state_ != State::uploading || !held_) return;
    held_ = false;
    since_ = owner_->clock_.now();  // the wait was not its client's
    last_body_bytes_ = since_;
    wait();
  }
  void end_upload(engine::BodyStream::State how) {
    if (!upload_) return;
    const auto upload = std::exchange(upload_, nullptr);
    upload->on_writable = nullptr;
    held_ = false;
    upload->end(how);
  }
  // It will never be whole: what the server has of it is no request.
  void give_upload_up() {
    if (state_ != State::uploading) return;
    const RequestId gone = std::exchange(request_, 0);
    end_upload(engine::BodyStream::State::truncated);
    upload_ended_ = true;
    if (gone != 0) owner_->requests_.on_client_cancelled(gone);
  }

  // Turned away while the loop is behind: before a body is read, and before anything is made of the head.
  // What can't be read of it is left to those who say what is wrong with it.
  bool shed() {
    if (owner_->load_shedder_.admits_all()) return false;
    const std::string_view target = origin_form(head_.target);
    if (target.empty() || target.front() != '/') return false;
    const std::string_view first = target.substr(1, target.find('/', 1) - 1);
    const auto remaining = parse_seconds(head_.remaining.value);
    const std::uint32_t request_class = index_of(owner_->names_.classes, first);
    if (!remaining || request_class == kNone) return false;
    const std::uint64_t id = hash_name(head_.transaction_id.value);
    if (!owner_->load_shedder_.should_reject(request_class, *remaining, id)) return false;
    ++owner_->counts_.shed;
    owner_->requests_.on_rejected_unread(request_class);
    // A body that is still to come would have to be read first.
    last_ = !parser_->is_done() || !parser_->keep_alive();
    answer({503,
            "text/plain",
            "refused, the router is behind; it is safe to try again\n",
            owner_->load_shedder_.retry_after(id),
            {},
            {}});
    return true;
  }

  void asked() {
    last_ = !parser_->keep_alive();
    const bool large = in_body_.size() > kLongestBody;
    // The platform's question needs no Host: what it asks with is not written down.
    if (origin_form(head_.target) == "/up") {
      if (head_.method != http::verb::get) return wrong(problem(405, "GET only"));
      return answer({owner_->draining_ ? 503U : 200U, "text/plain", "", 0, {}});
    }
    auto read = read_request(head_, in_body_, owner_->names_, owner_->messages_);
    if (Response* problem_found = std::get_if<Response>(&read)) return wrong(std::move(*problem_found));
    if (large && head_.method != http::verb::put) return wrong(problem(413, "the body is over 64 KiB"));
    if (large) std::get<engine::IncomingRequest>(read).message->memory = std::move(in_lease_);
    enter(State::asked);
    // It may be answered within the call, before its id is known here.
    const RequestId request =
        owner_->requests_.on_request(shared_from_this(), std::get<engine::IncomingRequest>(std::move(read)));
    if (request == 0) return wrong(problem(409, "a request with this X-Txn is open"));
    if (state_ == State::asked) request_ = request;
  }

  // Whoever sends nonsense once mostly goes on: what it has sent behind is not looked at.
  void wrong(Response reply) {
    last_ = true;
    answer(std::move(reply));
  }

  void answer(Response reply) {
    if (reply.status >= 400 && reply.status < 500) ++owner_->counts_.unread;
    if (upload_) {
      end_upload(engine::BodyStream::State::truncated);
      upload_ended_ = true;
    }
    in_lease_ = {};
    enter(State::writing);
    request_ = 0;
    decide_whether_last();
    in_flight_ = std::move(reply.in_flight);
    stream_ = std::move(reply.stream);
    in_chunks_ = stream_ && !stream_->length() && head_.version != 10;
    // Where nothing else marks the end of a body, the connection's does.
    if (stream_ && !stream_->length() && head_.version == 10) last_ = true;
    out_head_ = head_.version == 10 ? "HTTP/1.0 " : "HTTP/1.1 ";
    append_number(out_head_, reply.status);
    out_head_.append(" ").append(reason(reply.status));
    if (!reply.content_type.empty()) out_head_.append("\r\nContent-Type: ").append(reply.content_type);
    if (reply.retry_after > 0) append_seconds(out_head_.append("\r\nRetry-After: "), reply.retry_after);
    if (reply.status == 405) out_head_ += "\r\nAllow: GET, PUT";
    if (last_ && head_.version != 10) out_head_ += "\r\nConnection: close";
    if (!last_ && head_.version == 10) out_head_ += "\r\nConnection: keep-alive";
    if (in_chunks_) {
      out_head_ += "\r\nTransfer-Encoding: chunked";
    } else if (!stream_) {
      append_number(out_head_.append("\r\nContent-Length: "), reply.body.size());
    } else if (stream_->length()) {
      append_number(out_head_.append("\r\nContent-Length: "), *stream_->length());
    }
    out_head_ += "\r\n\r\n";
    out_body_ = std::move(reply.body);
    reservation_ = std::move(reply.reservation);
    written_ = 0;
    if (stream_)
      stream_->on_readable = [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (self && self->owner_ != nullptr && std::exchange(self->part_wanted_, false)) self->push();
      };
    push();
  }

  // Whether the connection ends behind this answer. What has come behind its request is ours too, also if it
  // is not read yet, and is answered first.
  void decide_whether_last() {
    last_ = last_ || (flooded_ && !more_);
    if (last_) return;
    const bool spare_it = !owner_->keep_alive_.keeps_open(++answers_, owner_->held());
    if (!owner_->draining_ && !spare_it) return;
    if (more_ || unread()) return;
    last_ = true;
    if (!owner_->draining_) ++owner_->counts_.once;
  }

  // Writes what the socket takes; waits only when it takes no more.
  void push() {
    for (;;) {
      while (owner_ != nullptr && written_ < out_head_.size() + out_body_.size()) {
        net::error_code error;
        written_ += write_rest(socket_, out_head_, out_body_, written_, error);
        if (error == asio::error::would_block) {
          socket_.async_wait(net::tcp::socket::wait_write,
                             [self = shared_from_this()](net::error_code failed) {
                               if (self->owner_ == nullptr) return;
                               if (failed) return self->close();
                               self->push();
                             });
          return;
        }
        if (error) return end_soon();
      }
      if (owner_ == nullptr || !stream_) break;
      if (!next_part()) return;
    }
    // Not from within the call that gave the answer: the next request may stand in the buffer.
    if (last_ || !ahead_.empty() || !waiting_) {
      asio::post(socket_.get_executor(), [self = shared_from_this()] { self->written(); });
    } else {
      written();
    }
  }

  // Puts the next part of the body, or what marks its end, to be written. False: nothing is there yet, or
  // nothing more will be.
  bool next_part() {
    out_head_.clear();
    written_ = 0;
    if (stream_->read(out_body_)) {
      enter(State::writing);  // it moves
      if (!in_chunks_) return true;
      std::array<char, 20> size{};
      out_head_.assign(size.data(),
                       std::to_chars(size.data(), size.data() + size.size(), out_body_.size(), 16).ptr);
      out_head_ += "\r\n";
      out_body_ += "\r\n";
      return true;
    }
    switch (stream_->state()) {
      case engine::BodyStream::State::open: part_wanted_ = true; return false;
      case engine::BodyStream::State::complete:
        stream_.reset();
        if (in_chunks_) out_head_ = "0\r\n\r\n";
        return true;
      case engine::BodyStream::State::truncated: break;
    }
    in_flight_.set_result(engine::RequestMetrics::Result::failed);
    // The client must see that it is not whole, also where the end of the connection is the body's: by a
    // reset.
    net::error_code ignored;
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    end_soon();
    return false;
  }

  // A client that has gone: what is told of it must not come from within the engine's call.
  void end_soon() {
    asio::post(socket_.get_executor(), [self = shared_from_this()] { self->close(); });
  }

  void written() {
    if (owner_ == nullptr) return;
    std::string().swap(out_body_);
    reservation_ = {};
    in_flight_ = {};
    if (last_) return leave();
    next_message();
    enter(State::idle);
    if (!ahead_.empty()) parse_ahead();
    if (flooded_ && state_ != State::asked && state_ != State::writing) return end_flood();
    wait();
  }

  // Behind bytes that were dropped no request can be read; those that came whole before them are answered.
  void end_flood() {
    if (state_ == State::idle) return leave();
    give_upload_up();
    wrong(problem(400, "more was sent ahead than is kept"));
  }

  // The one way in which we end a connection that could be used again. A close with unread bytes would reset
  // it, and could take the last answer with it: it is ended for writing, and what still comes is read and
  // dropped, within bounds, until the client has ended it too. None of that is ever parsed, so that no
  // request is sent on that its client will send again elsewhere.
  void leave() {
    enter(State::lingering);
    std::string().swap(ahead_);
    ahead_lease_ = {};
    discarded_ = 0;
    net::error_code ignored;
    socket_.shutdown(net::tcp::socket::shutdown_send, ignored);
    wait();
  }

  Clients* owner_;  // none once it is closed
  net::tcp::socket socket_;
  std::string ahead_;                      // came, and is not parsed yet
  engine::MemoryReservation ahead_lease_;  // where that is much
  RequestHead head_;
  std::string in_body_, out_head_, out_body_;
  std::optional<RequestReader> parser_;
  engine::MemoryReservation reservation_;  // of the answer's body
  engine::RequestMetrics::InFlight in_flight_;
  engine::MemoryReservation in_lease_;          // of a long body that comes
  std::shared_ptr<engine::BodyStream> upload_;  // where it goes, if it goes on as it comes
  std::size_t body_got_ = 0;                    // bytes of the message since its head was read
  Time last_body_bytes_ = 0;                    // when the last of them came
  engine::BodyReader stream_;                   // the rest of it, where it comes in parts
  RequestId request_ = 0;
  Time since_;  // the last change of state
  std::size_t discarded_ = 0, written_ = 0, answers_ = 0;
  Queue::iterator place_;
  State state_ = State::fresh;
  bool waiting_ = false, last_ = false, told_to_go_on_ = false, checked_ = false, weighed_ = false;
  bool in_chunks_ = false, part_wanted_ = false, held_ = false, upload_ended_ = false, flooded_ = false;
  bool more_ = false;    // something has come behind the request in hand
  bool prompt_ = false;  // bytes are handled that the loop waited for and has just read
  std::array<char, kChunk> chunk_;
};

Clients::Clients(asio::io_context& io, net::Clock& clock, const Names& names,
                 engine::RequestHandler& requests, const net::tcp::endpoint& listen,
                 overload::DescriptorBudget& descriptors, const overload::Settings& limits,
                 net::LoadShedder& load_shedder, net::MemoryBudget& body_memory, int passed)
    : clock_(clock),
      names_(names),
      requests_(requests),
      listener_(passed < 0 ? net::Listener(io, listen, *this) : net::Listener(io, passed, listen, *this)),
      sweep_(io),
      descriptors_(descriptors),
      keep_alive_(descriptors.total(), limits),
      load_shedder_(load_shedder),
      body_memory_(body_memory) {
  sweep();
}

Clients::~Clients() {
  for (const Queue& all : queues_)
    for (const auto& session : all) session->detach();
}

void Clients::on_accepted(net::tcp::socket socket) {
  const auto session = std::make_shared<Session>(*this, std::move(socket));
  ++counts_.accepted;
  ++open_;
  descriptors_.reserve(kSide);
  Queue& fresh = queue(State::fresh);
  session->placed(fresh.insert(fresh.end(), session));
  session->begin();
}

// Connections that say nothing come by hundreds and must not push out clients that ask: what has its
// answer goes first, then what never asked, oldest first. While some of those are too young to tell, the
// next ones wait; only when there are none does a client between two requests have to go.
bool Clients::spare_one() {
  const auto end_first = [this](State state) {
    for (const auto& session : queue(state)) {
      if (session->unread()) continue;
      ++counts_.spared;
      session->close();
      return true;
    }
    return false;
  };
  const Time now = clock_.now();
  // Closed at once, one might lose its answer with bytes that cross it.
  const auto end_lingering = [&](Time age) {
    const Queue& lingering = queue(State::lingering);
    if (lingering.empty() || now - lingering.front()->since() < age) return false;
    ++counts_.spared;
    const auto session = lingering.front();
    session->close();
    return true;
  };
  if (end_lingering(kYoung)) return true;
  const Queue& fresh = queue(State::fresh);
  const Queue& idle = queue(State::idle);
  if (!fresh.empty() && now - fresh.front()->since() >= kYoung && end_first(State::fresh)) return true;
  // A few young ones must not stop a crowd that asks once and stays: what has been idle for long gives way.
  if (!idle.empty() && now - idle.front()->since() >= kSecond && end_first(State::idle)) return true;
  if (end_lingering(0)) return true;
  if (fresh.size() * 4 > descriptors_.capacity(kSide)) return false;
  return end_first(State::idle) || end_first(State::begun);
}

void Clients::closed(Queue::iterator place, State state) {
  queue(state).erase(place);
  --open_;
  descriptors_.release(kSide);
  listener_.resume();
}

std::size_t Clients::held() const {
  std::size_t out = 0;
  for (const State state :
       {State::idle, State::begun, State::receiving, State::uploading, State::asked, State::writing})
    out += queue(state).size();
  return out;
}

bool Clients::can_accept() {
  if (!is_full() || spare_one()) return true;
  ++counts_.waited;
  return false;
}

std::string Clients::summary() const {
  return "clients=" + std::to_string(open_) + " accepted=" + std::to_string(counts_.accepted) +
         " spared=" + std::to_string(counts_.spared) + " expired=" + std::to_string(counts_.expired) +
         " waited=" + std::to_string(counts_.waited) + " unread=" + std::to_string(counts_.unread) +
         " once=" + std::to_string(counts_.once) + " shed=" + std::to_string(counts_.shed) +
         " left=" + std::to_string(counts_.left);
}

void Clients::on_drain_started() {
  draining_ = true;
  if (!gentle_) leave_idle();
}

// Who takes over serves at the same door. A request that crosses the close of its connection would have to
// come again: each connection is let ask once more, and is ended behind the answer.
void Clients::on_shutdown_started() {
  if (!listener_.is_shared()) return;
  listener_.stop();
  gentle_ = true;
}

void Clients::on_drain_ended() { draining_ = false; }

// All that stand between requests. One that has just come is about to ask: were it ended unanswered, its
// client would have to count it as refused.
void Clients::leave_idle() {
  const Time now = clock_.now();
  for (const auto& [state, least] : {std::pair(State::fresh, kFirstBytes), std::pair(State::idle, Time{0})}) {
    const Queue all = queue(state);
    for (const auto& session : all)
      if (now - session->since() >= least) session->leave_if_idle();
  }
}

void Clients::stop_accepting() {
  listener_.stop();
  gentle_ = false;
}

void Clients::sweep() {
  const Time now = clock_.now();
  const std::array<std::pair<State, Time>, 5> limits = {{{State::fresh, kWholeRequest},
                                                         {State::begun, kWholeRequest},
                                                         {State::idle, keep_alive_.idle_timeout(held())},
                                                         {State::writing, kStuck},
                                                         {State::lingering, kLinger}}};
  std::vector<std::shared_ptr<Session>> overdue;
  for (const auto& [state, longest] : limits)
    for (const auto& session : queue(state)) {
      if (now - session->since() <= longest) break;
      overdue.push_back(session);
    }
  for (const State state : {State::receiving, State::uploading})
    for (const auto& session : queue(state))
      if (session->too_slow(now)) overdue.push_back(session);
  for (const auto& session : overdue)
    if (session->expire()) ++counts_.expired;
  std::vector<std::shared_ptr<Session>> gone;
  for (const State state : {State::asked, State::uploading})
    for (const auto& session : queue(state))
      if (session->gone_unseen()) gone.push_back(session);
  for (const auto& session : gone) session->close();
  // Connections go on coming for a little, and some say nothing.
  if (draining_ && !gentle_) leave_idle();
  stall_detector_.on_tick();
  sweep_.expires_at(stall_detector_.next_tick());
  sweep_.async_wait([this](net::error_code cancelled) {
    if (!cancelled) sweep();
  });
}

// Also those that have just come, and those whose last answer may still be on its way: both for a short time.
// A request that stands unread on a resting connection is taken too.
std::size_t Clients::unanswered() const {
  const Queue& idle = queue(State::idle);
  const auto unread = std::count_if(idle.begin(), idle.end(),
                                    [](const auto& session) { return session->has_unread_request(); });
  return queue(State::fresh).size() + queue(State::lingering).size() + held() - idle.size() +
         static_cast<std::size_t>(unread);
}

}  // namespace streampick::http1
