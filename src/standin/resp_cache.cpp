#include "standin/resp_cache.h"

#include <algorithm>
#include <array>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <deque>
#include <utility>

#include "resp/commands.h"
#include "resp/decode.h"
#include "resp/encode.h"

namespace streampick::standin {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using resp::Value;

class RespCache::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(RespCache& owner, tcp::socket socket)
      : owner_(&owner), socket_(std::move(socket)), timer_(socket_.get_executor()) {
    error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    resp::Limits limits;
    limits.blob = limits.bytes = 16 * 1024 * 1024;
    decoder_ = resp::Decoder(limits);
  }

  void read() {
    socket_.async_read_some(asio::buffer(chunk_),
                            [self = shared_from_this()](error_code error, std::size_t got) {
                              if (self->owner_ == nullptr) return;
                              if (error) return self->close();
                              std::string_view bytes(self->chunk_.data(), got);
                              while (!bytes.empty() && !self->decoder_.failed()) {
                                bytes.remove_prefix(self->decoder_.put(bytes));
                                if (self->decoder_.done()) self->waiting_.push_back(self->decoder_.take());
                              }
                              if (self->decoder_.failed()) return self->close();
                              self->go_on();
                              if (self->owner_ != nullptr) self->read();
                            });
  }

  void release() {
    if (!std::exchange(stalled_, false)) return;
    send(std::exchange(held_, {}));
    go_on();
  }
  void push(const std::string& kind) {
    if (version_ == resp::Version::resp3) send(resp_of(pushed(kind)));  // RESP2 has no pushes
  }
  std::size_t unreplied() const { return waiting_.size() + (stalled_ ? 1 : 0); }

  void close() {
    if (owner_ == nullptr) return;
    RespCache& owner = *std::exchange(owner_, nullptr);
    error_code ignored;
    socket_.close(ignored);
    timer_.cancel();
    const auto self = shared_from_this();
    owner.connections_.remove(self);
  }
  void detach() {
    owner_ = nullptr;
    error_code ignored;
    socket_.close(ignored);
    timer_.cancel();
  }

 private:
  static Value pushed(const std::string& kind) {
    Value push = Value::of(resp::Type::push);
    push.items.push_back(Value::blob(kind));
    push.items.push_back(Value::array({}));
    return push;
  }
  std::string resp_of(const Value& value) const {
    std::string out;
    resp::encode(value, version_, out);
    return out;
  }

  void send(const std::string& bytes) {
    if (owner_ == nullptr) return;
    out_ += bytes;
    flush();
  }
  void flush() {
    if (writing_ || owner_ == nullptr) return;
    if (out_.empty()) {
      if (end_after_) close();
      return;
    }
    writing_ = true;
    going_ = std::exchange(out_, {});
    asio::async_write(socket_, asio::buffer(going_),
                      [self = shared_from_this()](error_code error, std::size_t) {
                        self->writing_ = false;
                        if (self->owner_ == nullptr) return;
                        if (error) return self->close();
                        if (self->endless_) self->out_ += std::string(16 * 1024, 'x');
                        self->flush();
                      });
  }
  void close_when_written() {
    end_after_ = true;
    flush();
  }

  void go_on() {
    while (owner_ != nullptr && !stalled_ && !working_ && !end_after_ && !deaf_ && !waiting_.empty()) {
      Value command = std::move(waiting_.front());
      waiting_.pop_front();
      std::vector<std::string> words;
      for (Value& item : command.items) words.push_back(std::move(item.text));
      if (words.empty()) return close();
      const std::string name = resp::upper(words.front());
      if (name == "HELLO" || name == "AUTH") {
        greet(name, words);
        continue;
      }
      if (owner_->options_.work.count() > 0) {
        working_ = true;
        timer_.expires_after(owner_->options_.work);
        timer_.async_wait([self = shared_from_this(), words = std::move(words)](error_code cancelled) {
          if (cancelled || self->owner_ == nullptr) return;
          self->working_ = false;
          self->take(words);
          self->go_on();
        });
        return;
      }
      take(words);
    }
  }

  void greet(const std::string& name, const std::vector<std::string>& words) {
    ++owner_->greetings;
    const std::string& password = owner_->options_.password;
    if (!owner_->options_.greets) {
      send(resp_of(Value::error("ERR max number of clients reached")));
      return close_when_written();
    }
    if (name == "HELLO") {
      if (!owner_->options_.speaks_resp3) return send(resp_of(Value::error("ERR unknown command 'HELLO'")));
      if (!password.empty() && (words.size() < 5 || words[4] != password))
        return send(resp_of(Value::error("WRONGPASS invalid username-password pair")));
      version_ = resp::Version::resp3;
      Value map = Value::of(resp::Type::map);
      map.items.push_back(Value::blob("proto"));
      map.items.push_back(Value::integer(3));
      return send(resp_of(map));
    }
    if (words.back() != password) return send(resp_of(Value::error("WRONGPASS invalid password")));
    send(resp_of(Value::simple("OK")));
  }

  void take(std::vector<std::string> words) {
    ++owner_->commands;
    if (owner_->record_times) owner_->taken.push_back(std::chrono::steady_clock::now());
    std::string id, key;
    if (resp::upper(words.front()) == "ROUTE") {
      std::size_t at = 1;
      for (; at + 1 < words.size(); at += 2) {
        const std::string option = resp::upper(words[at]);
        if (option == "ID")
          id = words[at + 1];
        else if (option == "KEY")
          key = words[at + 1];
        else if (option != "DEADLINE" && option != "TENANT")
          break;
      }
      words.erase(words.begin(), words.begin() + static_cast<std::ptrdiff_t>(at));
    }
    const Fault fault = owner_->script ? owner_->script(words, ++nth_) : Fault{};
    using K = Fault::Kind;
    if (fault.kind == K::close_unseen) return close();
    if (fault.kind == K::error) return send(resp_of(Value::error(fault.text)));
    const std::string reply = execute(words, id, key);
    switch (fault.kind) {
      case K::close: return close();
      case K::close_mid_reply: send(reply.substr(0, reply.size() / 2)); return close_when_written();
      case K::half_close: {
        send(reply);
        deaf_ = true;
        asio::post(socket_.get_executor(), [self = shared_from_this()] {
          error_code ignored;
          if (self->owner_ != nullptr) self->socket_.shutdown(tcp::socket::shutdown_send, ignored);
        });
        return;
      }
      case K::stall:
        held_ = reply;
        stalled_ = true;
        return;
      case K::push_before: return send(resp_of(pushed("invalidate")) + reply);
      case K::push_after: return send(reply + resp_of(pushed("invalidate")));
      case K::push_inside: return send("*2\r\n" + reply + resp_of(pushed("invalidate")) + reply);
      case K::wrong_type: return send(resp_of(Value::of(resp::Type::map)));
      case K::endless_length: endless_ = true; return send("$536870912\r\n" + std::string(16 * 1024, 'x'));
      case K::extra_reply: return send(reply + reply);
      case K::noise: return send("\x01\x02no such protocol\r\n");
      case K::failed_error: return send(resp_of(Value::error(fault.text)));
      default: return send(reply);
    }
  }

  // Executes the command and returns its encoded reply.
  std::string execute(const std::vector<std::string>& words, const std::string& id, const std::string& key) {
    const std::string name = resp::upper(words.front());
    const std::string& object = words.size() > 1 ? words[1] : words.front();
    if (!key.empty()) {
      const auto found = owner_->keyed_.find(key);
      if (found != owner_->keyed_.end()) {
        ++owner_->dropped_repeats;
        return found->second;
      }
    }
    const bool stored_back = name == "SET" && std::find(words.begin() + 3, words.end(), "NX") != words.end();
    if (stored_back)
      ++owner_->stores;
    else
      ++owner_->executions[id.empty() ? name + " " + object : id];
    auto& values = owner_->values;
    const auto held = values.find(object);
    const bool there = held != values.end();
    Value reply = Value::error("ERR unknown command");
    if (name == "GET") {
      reply = there ? Value::blob(held->second) : Value::null();
    } else if (name == "SET") {
      const bool nx = stored_back;
      const bool get = std::find(words.begin() + 3, words.end(), "GET") != words.end();
      const Value old = there ? Value::blob(held->second) : Value::null();
      if (!nx || !there) values[object] = words[2];
      reply = get ? Value::of(old.type, old.text) : nx && there ? Value::null() : Value::simple("OK");
    } else if (name == "EXISTS") {
      reply = Value::integer(there ? 1 : 0);
    } else if (name == "STRLEN") {
      reply = Value::integer(there ? static_cast<std::int64_t>(held->second.size()) : 0);
    } else if (name == "TTL" || name == "PTTL") {
      reply = Value::integer(there ? -1 : -2);
    } else if (name == "DEL" || name == "UNLINK") {
      reply = Value::integer(static_cast<std::int64_t>(values.erase(object)));
    } else if (name == "GETDEL") {
      reply = there ? Value::blob(held->second) : Value::null();
      values.erase(object);
    }
    std::string out = resp_of(reply);
    if (!key.empty()) owner_->keyed_[key] = out;
    return out;
  }

  RespCache* owner_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  std::array<char, 16 * 1024> chunk_{};
  resp::Decoder decoder_;
  resp::Version version_ = resp::Version::resp2;
  std::deque<Value> waiting_;
  std::string out_, going_, held_;
  std::size_t nth_ = 0;
  bool writing_ = false, end_after_ = false, stalled_ = false, working_ = false, deaf_ = false;
  bool endless_ = false;
};

RespCache::RespCache(asio::io_context& io, RespCacheOptions options)
    : io_(io),
      options_(std::move(options)),
      acceptor_(io, {asio::ip::make_address("127.0.0.1"), 0}),
      endpoint_(acceptor_.local_endpoint()) {
  accept();
}

RespCache::~RespCache() {
  for (const auto& connection : connections_) connection->detach();
}

tcp::endpoint RespCache::endpoint() const { return endpoint_; }

std::string RespCache::address() const {
  return endpoint().address().to_string() + ":" + std::to_string(endpoint().port());
}

void RespCache::accept() {
  acceptor_.async_accept([this](error_code error, tcp::socket socket) {
    if (error) return;
    ++accepted;
    connections_.push_back(std::make_shared<Connection>(*this, std::move(socket)));
    connections_.back()->read();
    accept();
  });
}

void RespCache::release() {
  const auto all = connections_;
  for (const auto& connection : all) connection->release();
}

void RespCache::say_draining() { push_to_all("draining"); }

void RespCache::push_to_all(const std::string& kind) {
  const auto all = connections_;
  for (const auto& connection : all) connection->push(kind);
}

void RespCache::close_all() {
  const auto all = connections_;
  for (const auto& connection : all) connection->close();
}

void RespCache::stop_listening() {
  error_code ignored;
  acceptor_.close(ignored);
}

std::size_t RespCache::unreplied() const {
  std::size_t all = 0;
  for (const auto& connection : connections_) all += connection->unreplied();
  return all;
}

}  // namespace streampick::standin
