#include "membership/gossip_socket.h"

#include <algorithm>
#include <chrono>
#include <string_view>
#include <utility>

namespace streampick::membership {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr std::chrono::milliseconds kOpenRetryInterval{100};
constexpr std::size_t kBufferSize = 2'048;
constexpr int kDatagramsPerTurn = 64;
constexpr int kMaxDiscarded = 10'000;
// A read fails once for each ICMP error that a peer's host returned. A longer series of errors comes from the
// local system and persists: the socket stays readable, and reading again at once would spin.
constexpr int kMaxReadErrors = 16;
constexpr std::chrono::milliseconds kReadRetryInterval{20};

}  // namespace

GossipSocket::GossipSocket(asio::io_context& io, engine::TimeSource& time, Settings protocol,
                           SocketSettings settings, std::uint64_t seed, OnChange on_change)
    : io_(io),
      time_(time),
      protocol_(std::move(protocol), seed, time.now()),
      settings_(std::move(settings)),
      on_change_(std::move(on_change)),
      budget_(settings_.budget),
      payload_budget_(settings_.payload_budget),
      socket_(io),
      retry_(io),
      timer_(time.timer([this] { on_wakeup(); })),
      buffer_(kBufferSize) {
  for (std::uint32_t number = 0; number < settings_.peers.size(); ++number) {
    peer_numbers_.emplace(settings_.peers[number], number);
  }
  open();
}

GossipSocket::~GossipSocket() { *alive_ = false; }

void GossipSocket::open() {
  error_code error;
  socket_.open(udp::v4(), error);
  if (!error) {
    socket_.non_blocking(true, error);
  }
  if (!error) {
    socket_.bind(settings_.listen, error);
  }
  if (!error) {
    open_error_.clear();
    protocol_.start(time_.now());
    payload_handler_.on_open();
    wait_readable();
    on_wakeup();
    return;
  }
  open_error_ = error.message();
  error_code ignored;
  socket_.close(ignored);
  retry_.expires_after(kOpenRetryInterval);
  retry_.async_wait([this](error_code cancelled) {
    if (!cancelled && !has_left_) {
      open();
    }
  });
}

void GossipSocket::wait_readable() {
  socket_.async_wait(udp::socket::wait_read, [this, alive = std::weak_ptr<bool>(alive_)](error_code error) {
    const auto still_alive = alive.lock();
    if (!still_alive || !*still_alive || error) {
      return;
    }
    on_wakeup();
    if (!socket_.is_open()) {
      return;
    }
    if (read_errors_ < kMaxReadErrors) {
      wait_readable();
    } else {
      wait_after_errors();
    }
  });
}

void GossipSocket::wait_after_errors() {
  retry_.expires_after(kReadRetryInterval);
  retry_.async_wait([this](error_code cancelled) {
    if (!cancelled && socket_.is_open()) {
      wait_readable();
    }
  });
}

void GossipSocket::on_wakeup() {
  if (!socket_.is_open()) {
    return;
  }
  const Time now = time_.now();
  if (protocol_.must_restart(now)) {
    discard_waiting();
  }
  receive_waiting(now);
  if (now >= protocol_.next_wakeup()) {
    protocol_.tick(now);
  }
  flush();
}

void GossipSocket::discard_waiting() {
  udp::endpoint sender;
  int errors = 0;
  for (int i = 0; i < kMaxDiscarded && errors < kMaxReadErrors; ++i) {
    error_code error;
    socket_.receive_from(asio::buffer(buffer_), sender, 0, error);
    if (error == asio::error::would_block) {
      return;
    }
    if (error) {
      ++errors;
    } else {
      ++counts_.discarded;
    }
  }
}

void GossipSocket::receive_waiting(Time now) {
  udp::endpoint sender;
  read_errors_ = 0;
  for (int i = 0; i < kDatagramsPerTurn && read_errors_ < kMaxReadErrors; ++i) {
    error_code error;
    const std::size_t size = socket_.receive_from(asio::buffer(buffer_), sender, 0, error);
    if (error == asio::error::would_block) {
      return;
    }
    if (error) {
      ++read_errors_;
      continue;
    }
    handle_datagram({buffer_.data(), size}, sender, now);
  }
}

void GossipSocket::handle_datagram(std::string_view datagram, const udp::endpoint& sender, Time now) {
  counts_.bytes_received += datagram.size();
  const Address address = peer_address(sender);
  if (address == 0) {
    ++counts_.not_peers;
    return;
  }
  const std::variant<Message, DecodeError> decoded = decode(datagram, settings_.fleet);
  if (const auto* error = std::get_if<DecodeError>(&decoded)) {
    ++counts_.decode_errors[static_cast<std::size_t>(*error)];
    return;
  }
  const auto& message = std::get<Message>(decoded);
  ++counts_.received[static_cast<std::size_t>(message.kind())];
  protocol_.receive(now, address, message);
}

// Passes payloads and changes to their handlers, and sends the messages that the protocol queued.
void GossipSocket::flush() {
  const Time now = time_.now();
  is_dispatching_payloads_ = true;  // payloads that the handler sends are sent below
  for (const ReceivedPayload& payload : protocol_.take_payloads()) {
    payload_handler_.on_payload(payload);
  }
  is_dispatching_payloads_ = false;
  for (const OutgoingMessage& outgoing : protocol_.take_outgoing()) {
    send(outgoing, now);
  }
  for (const Change& change : protocol_.take_changes()) {
    on_change_(change);
  }
  const Time next = protocol_.next_wakeup();
  if (next != kNever) {
    timer_->set(std::max(next, now));
  }
}

void GossipSocket::send(const OutgoingMessage& outgoing, Time now) {
  const std::optional<udp::endpoint> endpoint = peer_endpoint(outgoing.to);
  if (!endpoint || !socket_.is_open()) {
    return;
  }
  const std::string datagram = encode(outgoing.message, settings_.fleet);
  if (datagram.size() > protocol_.settings().max_datagram_size) {
    ++counts_.too_long;
    return;
  }
  const MessageKind kind = outgoing.message.kind();
  SendBudget& budget = kind == MessageKind::payload ? payload_budget_ : budget_;
  if (!budget.try_take(now, kind, datagram.size())) {
    ++counts_.over_budget;
    return;
  }
  error_code error;
  socket_.send_to(asio::buffer(datagram), *endpoint, 0, error);
  if (error) {
    ++counts_.send_errors;
    return;
  }
  ++counts_.sent[static_cast<std::size_t>(kind)];
  counts_.bytes_sent += datagram.size();
  counts_.longest = std::max<std::uint64_t>(counts_.longest, datagram.size());
}

void GossipSocket::set_payload_handler(PayloadHandler handler) {
  payload_handler_ = std::move(handler);
  if (socket_.is_open()) {
    payload_handler_.on_open();
  }
}

void GossipSocket::send_payload(std::uint32_t protocol, Address to, std::string bytes) {
  protocol_.send_payload(protocol, time_.now(), to, std::move(bytes));
  if (!is_dispatching_payloads_ && socket_.is_open()) {
    flush();
  }
}

void GossipSocket::set_facts(Facts facts) {
  protocol_.set_facts(time_.now(), std::move(facts));
  flush();
}

void GossipSocket::set_contacts(std::vector<Address> contacts) {
  protocol_.set_contacts(std::move(contacts));
}

void GossipSocket::leave() {
  if (std::exchange(has_left_, true)) {
    return;
  }
  protocol_.leave(time_.now());
  flush();
  retry_.cancel();
  timer_->cancel();
  error_code ignored;
  socket_.close(ignored);
}

bool GossipSocket::is_peer(Address address) const {
  if (!settings_.contacts_only) {
    return true;
  }
  const std::vector<Address>& contacts = protocol_.settings().contacts;
  return std::find(contacts.begin(), contacts.end(), address) != contacts.end();
}

Address GossipSocket::peer_address(const udp::endpoint& endpoint) const {
  if (!settings_.peers.empty()) {
    const auto found = peer_numbers_.find(endpoint);
    return found == peer_numbers_.end() ? 0 : numbered(found->second);
  }
  const Address address = address_of(endpoint);
  return address != 0 && is_peer(address) ? address : 0;
}

std::optional<udp::endpoint> GossipSocket::peer_endpoint(Address address) const {
  if (!settings_.peers.empty()) {
    if (!is_numbered(address) || address > settings_.peers.size()) {
      return std::nullopt;
    }
    return settings_.peers[address - 1];
  }
  if (is_numbered(address) || !is_peer(address)) {
    return std::nullopt;
  }
  return endpoint_of(address);
}

}  // namespace streampick::membership
