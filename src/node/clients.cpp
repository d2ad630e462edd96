#include "clients.h"

#include <algorithm>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <cmath>
#include <optional>
#include <utility>
#include <variant>

#include "log.h"
#include "protocol.h"

namespace streampick::node {

namespace {

constexpr std::size_t kMostAhead = kLongestBody + kLongestHeader;  // read while a request is in work
constexpr Time kSecond = 1'000'000;
constexpr Time kLongestWait = 3600 * kSecond;
constexpr Time kStuck = 30 * kSecond, kIdle = 300 * kSecond, kLinger = 2 * kSecond;

std::optional<std::uint64_t> parse_hex(std::string_view text) {
  std::uint64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, 16);
  if (text.size() != 16 || error != std::errc{} || end != text.data() + text.size()) return std::nullopt;
  return value;
}

std::string_view view(beast::string_view text) { return {text.data(), text.size()}; }

using Message = http::request<http::string_body>;

Reply problem(unsigned status, std::string_view why) {
  return {status, "text/plain", std::string(why) + "\n", 0};
}

// What the message asks for, or the answer that says what is wrong with it.
std::variant<Incoming, Reply> read_request(Message& message, const Names& names) {
  const std::string_view target = view(message.target());
  const std::string_view path = target.substr(0, target.find('?'));
  if (path.empty() || path.front() != '/') return problem(404, "no such path");
  const std::size_t slash = path.find('/', 1);
  const std::string_view first = path.substr(1, slash == std::string_view::npos ? slash : slash - 1);
  const std::string_view key = slash == std::string_view::npos ? "" : path.substr(path.rfind('/') + 1);
  Incoming out;
  out.request_class = index_of(names.classes, first);

  const std::string_view lane = view(message["X-Lane"]);
  if (lane.empty()) {
    if (out.request_class == kNone) return problem(404, "no such path");
    return problem(400, "no X-Lane");
  }
  if (index_of(names.classes, lane) == kNone) return problem(400, "unknown class in X-Lane");
  if (out.request_class == kNone) return problem(404, "no such path");
  if (first != lane) return problem(400, "X-Lane and path differ");
  const bool write = message.method() == http::verb::put;
  if (!write && message.method() != http::verb::get) return problem(405, "GET and PUT only");

  const std::string_view txn = view(message["X-Txn"]);
  if (!parse_hex(txn)) return problem(400, "X-Txn must be 16 hex digits");
  const auto remaining = to_number(view(message["X-Remaining"]));
  if (!remaining || !std::isfinite(*remaining) || *remaining < 0)
    return problem(400, "X-Remaining must be a number of seconds");
  out.remaining = static_cast<Time>(std::min(*remaining * 1e6, static_cast<double>(kLongestWait)));

  out.has_key = !key.empty();
  if (out.has_key) out.key = parse_hex(key).value_or(hash_name(key));
  out.tenant = index_of(names.tenants, view(message["X-Org"]));
  // A hint that can't be read is no hint.
  if (const auto hint = to_number(view(message["X-Estimate"])); hint && *hint > 0 && *hint < 1e12)
    out.cost_hint = static_cast<Time>(*hint);

  out.forward = std::make_shared<Forward>();
  out.forward->method = message.method();
  out.forward->target = target;
  out.forward->txn = txn;
  out.forward->idempotency_key = view(message["Idempotency-Key"]);
  out.forward->content_type = view(message[http::field::content_type]);
  out.forward->body = std::move(message.body());
  return out;
}

}  // namespace

// One read is outstanding at all times, so that a client that goes away is noticed while its request
// is in work; what it sends ahead waits in the buffer.
class Clients::Session final : public Client, public std::enable_shared_from_this<Session> {
 public:
  Session(Clients& owner, tcp::socket socket)
      : owner_(&owner), socket_(std::move(socket)), since_(owner.clock_.now()) {
    error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    next_message();
  }

  void read() {
    if (reading_ || owner_ == nullptr || buffer_.size() > kMostAhead) return;
    reading_ = true;
    socket_.async_read_some(buffer_.prepare(kReadChunk),
                            [self = shared_from_this()](error_code error, std::size_t got) {
                              self->reading_ = false;
                              self->received(error, got);
                            });
  }

  void reply(Reply reply) override {
    if (owner_ == nullptr || state_ != State::asked) return;
    answer(std::move(reply));
  }

  bool idle() const { return state_ == State::reading && !parser_->got_some() && buffer_.size() == 0; }
  // A request that has begun to come in counts: its last byte may be here already.
  bool unanswered() const { return state_ != State::lingering && !idle(); }
  Time since() const { return since_; }

  void sweep(Time now) {
    const Time age = now - since_;
    if (state_ == State::asked) return;
    if (age > (state_ == State::lingering ? kLinger : idle() ? kIdle : kStuck)) close();
  }

  // Between requests: what crosses it is sent once more by the client, on a new connection.
  void close_if_idle() {
    error_code ignored;
    if (idle() && socket_.available(ignored) == 0) close();
  }

  void close() {
    if (owner_ == nullptr) return;
    Clients& owner = *std::exchange(owner_, nullptr);
    error_code ignored;
    socket_.close(ignored);
    const RequestId gone = state_ == State::asked ? std::exchange(request_, 0) : 0;
    if (gone != 0) owner.requests_.client_gone(gone);
    owner.closed(shared_from_this());
  }
  void detach() {
    owner_ = nullptr;
    error_code ignored;
    socket_.close(ignored);
  }

 private:
  enum class State : std::uint8_t { reading, asked, writing, lingering };

  void next_message() {
    parser_.emplace();
    parser_->body_limit(kLongestBody);
    parser_->header_limit(kLongestHeader);
    parser_->eager(true);
    state_ = State::reading;
  }

  void received(error_code error, std::size_t got) {
    if (owner_ == nullptr) return;
    if (error) return close();
    buffer_.commit(got);
    if (state_ == State::lingering) buffer_.consume(buffer_.size());
    if (state_ == State::reading) parse();
    read();
  }

  void parse() {
    if (buffer_.size() > 0 && !parser_->got_some()) since_ = owner_->clock_.now();
    while (buffer_.size() > 0 && !parser_->is_done()) {
      error_code failed;
      buffer_.consume(parser_->put(buffer_.data(), failed));
      if (failed == http::error::need_more) break;
      if (failed) {
        last_ = true;
        if (failed == http::error::body_limit) return answer(problem(413, "the body is over 64 KiB"));
        return answer(problem(400, failed.message()));
      }
    }
    if (parser_->is_done()) {
      asked();
    } else if (parser_->is_header_done() && !told_to_go_on_ &&
               beast::iequals(parser_->get()[http::field::expect], "100-continue")) {
      told_to_go_on_ = true;
      static constexpr std::string_view go_on = "HTTP/1.1 100 Continue\r\n\r\n";
      error_code ignored;
      socket_.write_some(asio::buffer(go_on), ignored);
    }
  }

  void asked() {
    told_to_go_on_ = false;
    Message message = parser_->release();
    version_ = message.version();
    last_ = !message.keep_alive();
    if (message.target() == "/up") {
      if (message.method() != http::verb::get) return answer(problem(405, "GET only"));
      return answer({owner_->draining_ ? 503U : 200U, "text/plain", "", 0});
    }
    auto read = read_request(message, owner_->names_);
    if (Reply* wrong = std::get_if<Reply>(&read)) return answer(std::move(*wrong));
    state_ = State::asked;
    request_ = owner_->requests_.client_asked(shared_from_this(), std::get<Incoming>(std::move(read)));
  }

  void answer(Reply reply) {
    state_ = State::writing;
    request_ = 0;
    since_ = owner_->clock_.now();
    last_ = last_ || owner_->draining_;
    response_ = {static_cast<http::status>(reply.status), version_};
    if (!reply.content_type.empty()) response_.set(http::field::content_type, reply.content_type);
    if (reply.retry_after > 0) response_.set(http::field::retry_after, seconds(reply.retry_after));
    if (reply.status == 405) response_.set(http::field::allow, "GET, PUT");
    response_.body() = std::move(reply.body);
    response_.keep_alive(!last_);
    response_.prepare_payload();
    http::async_write(socket_, response_,
                      [self = shared_from_this()](error_code error, std::size_t) { self->written(error); });
  }

  void written(error_code error) {
    if (owner_ == nullptr) return;
    if (error) return close();
    since_ = owner_->clock_.now();
    if (last_) {
      // A close with unread bytes would reset the connection and could take the answer with it: the
      // client is given the time to end it first.
      state_ = State::lingering;
      buffer_.consume(buffer_.size());
      error_code ignored;
      socket_.shutdown(tcp::socket::shutdown_send, ignored);
      return read();
    }
    next_message();
    if (buffer_.size() > 0) parse();
    if (owner_ == nullptr) return;
    read();
  }

  Clients* owner_;  // none once it is closed
  tcp::socket socket_;
  beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::string_body>> parser_;
  http::response<http::string_body> response_;
  RequestId request_ = 0;
  Time since_;  // the last change of state
  State state_ = State::reading;
  unsigned version_ = 11;
  bool reading_ = false, last_ = false, told_to_go_on_ = false;
};

Clients::Clients(asio::io_context& io, Clock& clock, const Names& names, Requests& requests,
                 const tcp::endpoint& listen, std::size_t most_open)
    : io_(io),
      clock_(clock),
      names_(names),
      requests_(requests),
      acceptor_(io, listen, /*reuse_addr=*/true),
      pause_(io),
      most_open_(most_open) {
  acceptor_.non_blocking(true);
  accept();
}

Clients::~Clients() {
  for (const auto& session : sessions_) session->detach();
}

tcp::endpoint Clients::address() const { return acceptor_.local_endpoint(); }

void Clients::accept() {
  if (accepting_ || !acceptor_.is_open()) return;
  // At the limit the next ones wait in the listener's queue until a connection ends.
  if (sessions_.size() >= most_open_ && !close_idle_one()) return;
  accepting_ = true;
  acceptor_.async_accept([this](error_code error, tcp::socket socket) {
    if (error == asio::error::operation_aborted) return;
    accepting_ = false;
    accepted(error, std::move(socket));
  });
}

void Clients::accepted(const error_code& error, tcp::socket socket) {
  if (!error) {
    const auto session = std::make_shared<Session>(*this, std::move(socket));
    sessions_.insert(session);
    session->read();
    return accept();
  }
  if (error == asio::error::connection_aborted) return accept();
  // Out of descriptors: the listener stays readable, and to try again at once would only spin.
  log("accept: " + error.message());
  close_idle_one();
  pause_.expires_after(std::chrono::milliseconds(50));
  pause_.async_wait([this](error_code cancelled) {
    if (!cancelled) accept();
  });
}

bool Clients::close_idle_one() {
  std::shared_ptr<Session> oldest;
  for (const auto& session : sessions_)
    if (session->idle() && (!oldest || session->since() < oldest->since())) oldest = session;
  if (oldest) oldest->close();
  return oldest != nullptr;
}

void Clients::closed(const std::shared_ptr<Session>& session) {
  sessions_.erase(session);
  if (sessions_.size() + 1 == most_open_) accept();
}

void Clients::drain() {
  draining_ = true;
  const auto all = sessions_;
  for (const auto& session : all) session->close_if_idle();
}

void Clients::stop_accepting() {
  // What the kernel has accepted counts as ours: the queue is emptied before the listener closes.
  error_code error;
  while (acceptor_.is_open() && sessions_.size() < most_open_) {
    tcp::socket socket(io_);
    acceptor_.accept(socket, error);
    if (error) break;
    const auto session = std::make_shared<Session>(*this, std::move(socket));
    sessions_.insert(session);
    session->read();
  }
  acceptor_.close(error);
  pause_.cancel();
}

void Clients::sweep() {
  const auto all = sessions_;
  for (const auto& session : all) session->sweep(clock_.now());
  accept();
}

std::size_t Clients::unanswered() const {
  return static_cast<std::size_t>(std::count_if(sessions_.begin(), sessions_.end(),
                                                [](const auto& session) { return session->unanswered(); }));
}

}  // namespace streampick::node
