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

class LoadGenerator {
 public:
  LoadGenerator(const OpenLoad& load, OpenResult& out)
      : load_(load), out_(out), random_(load.seed), arrival_timer_(io_) {}
  void run() {
    start_ = Steady::now();
    end_ = start_ + in(load_.seconds);
    next_arrival_ = start_;
    send_due_requests();
    // No client waits longer than this after the last arrival.
    asio::steady_timer last(io_, end_ + in(load_.client_timeout + 2.5));
    last.async_wait([this](error_code) { io_.stop(); });
    io_.run();
  }

 private:
  struct PendingRequest {
    Steady::time_point arrived_at;
    std::uint64_t key = 0;
    bool save = false, is_retry = false;
  };
  struct Connection : std::enable_shared_from_this<Connection> {
    explicit Connection(LoadGenerator& generator)
        : owner(generator), socket(generator.io_), timeout_timer(generator.io_) {}
    LoadGenerator& owner;
    tcp::socket socket;
    asio::steady_timer timeout_timer;
    std::array<char, 16384> chunk{};
    std::string in, out;
    PendingRequest request;
    Steady::time_point sent_at;
    std::uint64_t generation = 0;
    bool busy = false, closed = false;

    void close() {
      if (std::exchange(closed, true)) return;
      error_code ignored;
      socket.close(ignored);
      timeout_timer.cancel();
      --owner.open_;
    }
    void begin(const PendingRequest& pending, bool connected) {
      request = pending;
      sent_at = Steady::now();
      busy = true;
      const std::uint64_t this_generation = ++generation;
      timeout_timer.expires_at(request.arrived_at + to_duration(owner.load_.client_timeout));
      timeout_timer.async_wait([self = shared_from_this(), this_generation](error_code cancelled) {
        if (cancelled || this_generation != self->generation || !self->busy) return;
        ++self->owner.out_.timed_out;
        self->close();
      });
      if (connected) return write();
      socket.async_connect({asio::ip::make_address("127.0.0.1"), owner.load_.port},
                           [self = shared_from_this()](error_code error) {
                             if (self->closed) return;
                             if (error) return self->on_ended(0);
                             self->socket.set_option(tcp::no_delay(true), error);
                             self->read();
                             self->write();
                           });
    }
    static Steady::duration to_duration(double s) { return LoadGenerator::in(s); }
    void write() {
      const double left = std::chrono::duration<double>(
                              request.arrived_at + to_duration(owner.load_.client_timeout) - Steady::now())
                              .count();
      std::array<char, 17> key{};
      std::snprintf(key.data(), key.size(), "%016llx", static_cast<unsigned long long>(request.key));
      out = standin::request_text({.request_class = request.save ? "annotation-save" : "tile-read",
                                   .key = key.data(),
                                   .id = 0x100000 + ++owner.last_transaction_id_,
                                   .remaining = std::max(left, 0.001),
                                   .save = request.save,
                                   .value = request.save ? "mark" : ""});
      asio::async_write(socket, asio::buffer(out),
                        [self = shared_from_this()](error_code error, std::size_t) {
                          if (error && !self->closed) self->on_ended(0);
                        });
    }
    void read() {
      socket.async_read_some(asio::buffer(chunk),
                             [self = shared_from_this()](error_code error, std::size_t bytes_read) {
                               if (self->closed) return;
                               if (error) return self->on_ended(0);
                               self->in.append(self->chunk.data(), bytes_read);
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
      double retry_after = 0;
      if (const std::size_t told = in.find("Retry-After: "); told < head)
        retry_after = std::atof(in.c_str() + told + 13);
      const bool closes = in.find("Connection: close") < head;
      in.erase(0, head + 4 + length);
      on_ended(status, retry_after, closes);
    }
    // `status` is 0 if the connection ended without a response.
    void on_ended(int status, double retry_after = 0, bool closes = true) {
      LoadGenerator& generator = owner;
      const auto self = shared_from_this();
      if (std::exchange(busy, false)) generator.on_response(request, status, retry_after, sent_at);
      timeout_timer.cancel();
      if (closes || status == 0 || generator.chance(generator.load_.closing_share)) {
        close();
      } else {
        generator.idle_.push_back(self);
      }
      generator.dispatch_queued();
    }
  };

  static Steady::duration in(double seconds) {
    return std::chrono::duration_cast<Steady::duration>(std::chrono::duration<double>(seconds));
  }
  bool chance(double share) { return share > 0 && std::uniform_real_distribution<>(0, 1)(random_) < share; }

  void send_due_requests() {
    // Sends all requests that are due: a delay of the generator must not lower the load.
    while (next_arrival_ <= Steady::now() && next_arrival_ < end_) {
      ++out_.asked;
      const bool save = chance(load_.saves);
      if (save) ++out_.saves;
      const std::uint64_t a = random_() % load_.keys, b = random_() % load_.keys;
      dispatch({next_arrival_, std::min(a, b) * 0x9e3779b97f4a7c15U, save, false});
      next_arrival_ += in(std::exponential_distribution<>(load_.rate)(random_));
    }
    if (next_arrival_ >= end_) return;
    arrival_timer_.expires_at(next_arrival_);
    arrival_timer_.async_wait([this](error_code cancelled) {
      if (!cancelled) send_due_requests();
    });
  }
  void dispatch(const PendingRequest& request) {
    while (!idle_.empty()) {
      const auto connection = idle_.back();
      idle_.pop_back();
      if (!connection->closed) return connection->begin(request, true);
    }
    if (open_ >= load_.max_connections) {
      queue_.push_back(request);
      return;
    }
    ++open_;
    ++out_.opened;
    std::make_shared<Connection>(*this)->begin(request, false);
  }
  void dispatch_queued() {
    while (!queue_.empty()) {
      const PendingRequest request = queue_.front();
      if (Steady::now() >= request.arrived_at + in(load_.client_timeout)) {
        queue_.pop_front();
        ++out_.unsent;
        continue;
      }
      if (idle_.empty() && open_ >= load_.max_connections) return;
      queue_.pop_front();
      dispatch(request);
    }
  }
  void on_response(const PendingRequest& request, int status, double retry_after,
                   Steady::time_point sent_at) {
    const double took = std::chrono::duration<double>(Steady::now() - request.arrived_at).count();
    if (status == 200) {
      out_.latencies.push_back(took);
      out_.connection_waits.push_back(std::chrono::duration<double>(sent_at - request.arrived_at).count());
      ++(took <= load_.latency_objective ? out_.good : out_.late);
      if (request.save && took <= load_.latency_objective) ++out_.saves_good;
      return;
    }
    if (status != 503 && status != 429) {
      ++out_.failed;
      return;
    }
    ++out_.rejected;
    out_.rejection_durations.push_back(std::chrono::duration<double>(Steady::now() - sent_at).count());
    if (request.is_retry || retry_after <= 0 || !chance(load_.retry_share)) return;
    const auto timer = std::make_shared<asio::steady_timer>(io_, in(retry_after));
    timer->async_wait([this, request, timer](error_code cancelled) {
      if (cancelled || Steady::now() >= end_) return;
      dispatch({Steady::now(), request.key, request.save, true});
    });
  }

  const OpenLoad& load_;
  OpenResult& out_;
  std::mt19937_64 random_;
  asio::io_context io_{1};
  asio::steady_timer arrival_timer_;
  Steady::time_point start_, end_, next_arrival_;
  std::size_t open_ = 0;
  std::uint64_t last_transaction_id_ = (std::random_device{}() & 0xffffffU) * 0x1000000ULL;
  std::vector<std::shared_ptr<Connection>> idle_;
  std::deque<PendingRequest> queue_;
};

}  // namespace

double OpenResult::quantile(std::vector<double>& values, double share) {
  if (values.empty()) return 0;
  const auto index =
      std::min(values.size() - 1, static_cast<std::size_t>(share * static_cast<double>(values.size())));
  std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(index), values.end());
  return values[index];
}

OpenResult run_open_load(const OpenLoad& load) {
  OpenResult out;
  LoadGenerator(load, out).run();
  return out;
}

}  // namespace streampick::bench
