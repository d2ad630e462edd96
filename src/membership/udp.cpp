#include "membership/udp.h"

#include <algorithm>
#include <utility>

namespace streampick::membership {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {
constexpr std::chrono::milliseconds kTryAgain{100};
constexpr int kAtATime = 64;  // datagrams, before others on the loop have their turn
constexpr int kMostThrownAway = 10'000;
// What a peer's machine said of a datagram of ours is an error of one call. A longer row of them is the
// system's, and lasts: the socket stays readable, and to read on at once would only spin.
constexpr int kMaxReadErrors = 16;
constexpr std::chrono::milliseconds kReadAgain{20};
}  // namespace

UdpShell::UdpShell(asio::io_context& io, engine::TimeSource& time, Settings core, UdpSettings settings,
                   std::uint64_t seed, Report report)
    : io_(io),
      time_(time),
      core_(std::move(core), seed, time.now()),
      settings_(std::move(settings)),
      report_(std::move(report)),
      budget_(settings_.budget),
      guests_(settings_.guests),
      socket_(io),
      retry_(io),
      timer_(time.timer([this] { read(); })) {
  for (std::uint32_t number = 0; number < settings_.peers.size(); ++number)
    numbers_.emplace(settings_.peers[number], number);
  begin();
}

UdpShell::~UdpShell() { *alive_ = false; }

void UdpShell::begin() {
  error_code error;
  socket_.open(udp::v4(), error);
  if (!error) socket_.non_blocking(true, error);
  if (!error) socket_.bind(settings_.listen, error);
  if (!error) {
    why_closed_.clear();
    core_.begin(time_.now());
    heard_by_.opened();
    wait();
    return read();
  }
  why_closed_ = error.message();
  error_code ignored;
  socket_.close(ignored);
  retry_.expires_after(kTryAgain);
  retry_.async_wait([this](error_code cancelled) {
    if (!cancelled && !over_) begin();
  });
}

void UdpShell::wait() {
  socket_.async_wait(udp::socket::wait_read, [this, alive = std::weak_ptr<bool>(alive_)](error_code error) {
    if (const auto still = alive.lock(); !still || !*still || error) return;
    read();
    if (!socket_.is_open()) return;
    if (read_errors_ < kMaxReadErrors) return wait();
    wait_later();
  });
}

void UdpShell::wait_later() {
  retry_.expires_after(kReadAgain);
  retry_.async_wait([this](error_code cancelled) {
    if (!cancelled && socket_.is_open()) wait();
  });
}

void UdpShell::read() {
  if (!socket_.is_open()) return;
  const Time now = time_.now();
  udp::endpoint sender;
  error_code error;
  if (core_.overslept(now)) {
    int errors = 0;
    for (int i = 0; i < kMostThrownAway && errors < kMaxReadErrors; ++i) {
      socket_.receive_from(asio::buffer(buffer_), sender, 0, error);
      if (error == asio::error::would_block) break;
      if (error) {
        ++errors;
      } else {
        ++counts_.thrown_away;
      }
    }
  }
  read_errors_ = 0;
  for (int i = 0; i < kAtATime && read_errors_ < kMaxReadErrors; ++i) {
    const std::size_t got = socket_.receive_from(asio::buffer(buffer_), sender, 0, error);
    if (error == asio::error::would_block) break;
    if (error) {
      ++read_errors_;
      continue;
    }
    counts_.bytes_received += got;
    const Address address = from(sender);
    if (address == 0) {
      ++counts_.strangers;
      continue;
    }
    const auto message = decode({buffer_.data(), got}, settings_.fleet);
    if (const auto* unreadable = std::get_if<Unreadable>(&message)) {
      ++counts_.unreadable[static_cast<std::size_t>(*unreadable)];
      continue;
    }
    const Message& it = std::get<Message>(message);
    ++counts_.received[static_cast<std::size_t>(it.kind)];
    core_.receive(now, address, it);
  }
  if (now >= core_.next()) core_.tick(now);
  after();
}

void UdpShell::after() {
  const Time now = time_.now();
  handing_ = true;  // what guests say to it goes out below
  for (const Guest& guest : core_.take_guests()) heard_by_.heard(guest);
  handing_ = false;
  for (const Send& send : core_.take_sends()) {
    const auto endpoint = to(send.to);
    if (!endpoint || !socket_.is_open()) continue;
    const std::string datagram = encode(send.message, settings_.fleet);
    if (datagram.size() > core_.settings().datagram) {
      ++counts_.too_long;
      continue;
    }
    Budget& budget = send.message.kind == Message::Kind::guest ? guests_ : budget_;
    if (!budget.take(now, send.message.kind, datagram.size())) {
      ++counts_.over_budget;
      continue;
    }
    error_code error;
    socket_.send_to(asio::buffer(datagram), *endpoint, 0, error);
    if (error) {
      ++counts_.not_taken;
      continue;
    }
    ++counts_.sent[static_cast<std::size_t>(send.message.kind)];
    counts_.bytes_sent += datagram.size();
    counts_.longest = std::max<std::uint64_t>(counts_.longest, datagram.size());
  }
  for (const Change& change : core_.take_changes()) report_(change);
  if (const Time next = core_.next(); next != kNever) timer_->set(std::max(next, now));
}

void UdpShell::set_guests(Guests guests) {
  heard_by_ = std::move(guests);
  if (socket_.is_open()) heard_by_.opened();
}

void UdpShell::tell_for(std::uint32_t guest, Address to, std::string payload) {
  core_.tell_for(guest, time_.now(), to, std::move(payload));
  if (!handing_ && socket_.is_open()) after();
}

void UdpShell::say(Facts facts) {
  core_.say(time_.now(), std::move(facts));
  after();
}

void UdpShell::set_contacts(std::vector<Address> contacts) { core_.set_contacts(std::move(contacts)); }

void UdpShell::leave() {
  if (std::exchange(over_, true)) return;
  core_.leave(time_.now());
  after();
  retry_.cancel();
  timer_->cancel();
  error_code ignored;
  socket_.close(ignored);
}

bool UdpShell::is_peer(Address address) const {
  if (!settings_.listed_only) return true;
  const std::vector<Address>& contacts = core_.settings().contacts;
  return std::find(contacts.begin(), contacts.end(), address) != contacts.end();
}

Address UdpShell::from(const udp::endpoint& endpoint) const {
  if (!settings_.peers.empty()) {
    const auto found = numbers_.find(endpoint);
    return found == numbers_.end() ? 0 : numbered(found->second);
  }
  const Address address = address_of(endpoint);
  return address != 0 && is_peer(address) ? address : 0;
}

std::optional<udp::endpoint> UdpShell::to(Address address) const {
  if (!settings_.peers.empty()) {
    if (!is_numbered(address) || address > settings_.peers.size()) return std::nullopt;
    return settings_.peers[address - 1];
  }
  if (is_numbered(address) || !is_peer(address)) return std::nullopt;
  return udp::endpoint(asio::ip::address_v4(static_cast<std::uint32_t>(address >> 16U)),
                       static_cast<std::uint16_t>(address & 0xffffU));
}

}  // namespace streampick::membership
