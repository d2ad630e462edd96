#include "open_load.h"

#include <algorithm>
#include <array>
#include <boost/asio.hpp>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <memory>
#include <random>
#include <string>

#include "standin/http_client.h"

namespace streampick::bench {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using Steady = std::chrono::steady_clock;

class Crowd {
 public:
  Crowd(const OpenLoad& load, OpenResult& out) : load_(load), out_(out), random_(load.seed), next_(io_) {}
  void run() {
    start_ = Steady::now();
    end_ = start_ + in(load_.seconds);
    at_ = start_;
    arrive();
    // Nobody waits for longer than this behind the last arrival.
    asio::steady_timer last(io_, end_ + in(load_.patience + 2.5));
    last.async_wait([this](error_code) { io_.stop(); });
    io_.run();
  }

 private:
  struct Ask {
    Steady::time_point came;
    std::uint64_t key = 0;
    bool save = false, again = false;
  };
  struct Link : std::enable_shared_from_this<Link> {
    explicit Link(Crowd& owner) : owner(owner), socket(owner.io_), patience(owner.io_) {}
    Crowd& owner;
    tcp::socket socket;
    asio::steady_timer patience;
    std::array<char, 16384> chunk{};
    std::string in, out;
    Ask ask;
    Steady::time_point begun;
    std::uint64_t turn = 0;
    bool busy = false, closed = false;

    void close() {
      if (std::exchange(closed, true)) return;
      error_code ignored;
      socket.close(ignored);
      patience.cancel();
      --owner.open_;
    }
    void begin(const Ask& asked, bool connected) {
      ask = asked;
      begun = Steady::now();
      busy = true;
      const std::uint64_t mine = ++turn;
      patience.expires_at(ask.came + in_(owner.load_.patience));
      patience.async_wait([self = shared_from_this(), mine](error_code cancelled) {
        if (cancelled || mine != self->turn || !self->busy) return;
        ++self->owner.out_.given_up;
        self->close();
      });
      if (connected) return write();
      socket.async_connect({asio::ip::make_address("127.0.0.1"), owner.load_.port},
                           [self = shared_from_this()](error_code error) {
                             if (self->closed) return;
                             if (error) return self->ended(0);
                             self->socket.set_option(tcp::no_delay(true), error);
                             self->read();
                             self->write();
                           });
    }
    static Steady::duration in_(double s) { return Crowd::in(s); }
    void write() {
      const double left =
          std::chrono::duration<double>(ask.came + in_(owner.load_.patience) - Steady::now()).count();
      std::array<char, 17> key{};
      std::snprintf(key.data(), key.size(), "%016llx", static_cast<unsigned long long>(ask.key));
      out = standin::request_text({.request_class = ask.save ? "annotation-save" : "tile-read",
                                   .key = key.data(),
                                   .id = 0x100000 + ++owner.last_id_,
                                   .remaining = std::max(left, 0.001),
                                   .save = ask.save,
                                   .value = ask.save ? "mark" : ""});
      asio::async_write(socket, asio::buffer(out),
                        [self = shared_from_this()](error_code error, std::size_t) {
                          if (error && !self->closed) self->ended(0);
                        });
    }
    void read() {
      socket.async_read_some(asio::buffer(chunk),
                             [self = shared_from_this()](error_code error, std::size_t got) {
                               if (self->closed) return;
                               if (error) return self->ended(0);
                               self->in.append(self->chunk.data(), got);
                               self->parse();
                               if (!self->closed) self->read();
                             });
    }
    void parse() {
      const std::size_t head = in.find("\r\n\r\n");
      if (head == std::string::npos) return;
      const std::size_t at = in.find("Content-Length: ");
      const std::size_t length = at < head ? std::strtoul(in.c_str() + at + 16, nullptr, 10) : 0;
      if (in.size() < head + 4 + length) return;
      const int status = std::atoi(in.c_str() + 9);
      double after = 0;
      if (const std::size_t told = in.find("Retry-After: "); told < head)
        after = std::atof(in.c_str() + told + 13);
      const bool closes = in.find("Connection: close") < head;
      in.erase(0, head + 4 + length);
      ended(status, after, closes);
    }
    // 0: the connection ended instead of an answer.
    void ended(int status, double after = 0, bool closes = true) {
      Crowd& crowd = owner;
      const auto self = shared_from_this();
      if (std::exchange(busy, false)) crowd.answered(ask, status, after, begun);
      patience.cancel();
      if (closes || status == 0 || crowd.chance(crowd.load_.once)) {
        close();
      } else {
        crowd.idle_.push_back(self);
      }
      crowd.serve_waiting();
    }
  };

  static Steady::duration in(double seconds) {
    return std::chrono::duration_cast<Steady::duration>(std::chrono::duration<double>(seconds));
  }
  bool chance(double share) { return share > 0 && std::uniform_real_distribution<>(0, 1)(random_) < share; }

  void arrive() {
    // All that is due by now: a client that is late itself must not thin the crowd out.
    while (at_ <= Steady::now() && at_ < end_) {
      ++out_.asked;
      const bool save = chance(load_.saves);
      if (save) ++out_.saves;
      const std::uint64_t a = random_() % load_.keys, b = random_() % load_.keys;
      put({at_, std::min(a, b) * 0x9e3779b97f4a7c15U, save, false});
      at_ += in(std::exponential_distribution<>(load_.rate)(random_));
    }
    if (at_ >= end_) return;
    next_.expires_at(at_);
    next_.async_wait([this](error_code cancelled) {
      if (!cancelled) arrive();
    });
  }
  void put(const Ask& ask) {
    while (!idle_.empty()) {
      const auto link = idle_.back();
      idle_.pop_back();
      if (!link->closed) return link->begin(ask, true);
    }
    if (open_ >= load_.most_connections) {
      waiting_.push_back(ask);
      return;
    }
    ++open_;
    ++out_.opened;
    std::make_shared<Link>(*this)->begin(ask, false);
  }
  void serve_waiting() {
    while (!waiting_.empty()) {
      const Ask ask = waiting_.front();
      if (Steady::now() >= ask.came + in(load_.patience)) {
        waiting_.pop_front();
        ++out_.unsent;
        continue;
      }
      if (idle_.empty() && open_ >= load_.most_connections) return;
      waiting_.pop_front();
      put(ask);
    }
  }
  void answered(const Ask& ask, int status, double after, Steady::time_point begun) {
    const double took = std::chrono::duration<double>(Steady::now() - ask.came).count();
    if (status == 200) {
      out_.took.push_back(took);
      out_.waited.push_back(std::chrono::duration<double>(begun - ask.came).count());
      ++(took <= load_.aim ? out_.good : out_.late);
      if (ask.save && took <= load_.aim) ++out_.saves_good;
      return;
    }
    if (status != 503 && status != 429) {
      ++out_.failed;
      return;
    }
    ++out_.refused;
    out_.turned.push_back(std::chrono::duration<double>(Steady::now() - begun).count());
    if (ask.again || after <= 0 || !chance(load_.returns)) return;
    const auto timer = std::make_shared<asio::steady_timer>(io_, in(after));
    timer->async_wait([this, ask, timer](error_code cancelled) {
      if (cancelled || Steady::now() >= end_) return;
      put({Steady::now(), ask.key, ask.save, true});
    });
  }

  const OpenLoad& load_;
  OpenResult& out_;
  std::mt19937_64 random_;
  asio::io_context io_{1};
  asio::steady_timer next_;
  Steady::time_point start_, end_, at_;
  std::size_t open_ = 0;
  std::uint64_t last_id_ = (std::random_device{}() & 0xffffffU) * 0x1000000ULL;
  std::vector<std::shared_ptr<Link>> idle_;
  std::deque<Ask> waiting_;
};

}  // namespace

double OpenResult::quantile(std::vector<double>& took, double share) {
  if (took.empty()) return 0;
  const auto at =
      std::min(took.size() - 1, static_cast<std::size_t>(share * static_cast<double>(took.size())));
  std::nth_element(took.begin(), took.begin() + static_cast<std::ptrdiff_t>(at), took.end());
  return took[at];
}

OpenResult run_open_load(const OpenLoad& load) {
  OpenResult out;
  Crowd(load, out).run();
  return out;
}

}  // namespace streampick::bench
