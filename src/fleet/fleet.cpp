#include "fleet/fleet.h"

#include <fstream>
#include <iterator>

#include "fleet/hex.h"
#include "shares/fleet_view.h"
#include "shares/wire.h"

namespace streampick::fleet {

using membership::Change;

namespace {

constexpr int kMaxLogLinesPerSecond = 5;  // for changes of the view
// Value of the fact kVersion. Increase it when routers have to distinguish program versions.
constexpr std::uint64_t kVersionValue = 1;
// By Change::Kind.
constexpr const char* kChangeTexts[] = {
    "has joined",         "is suspected", "is no longer suspected",    "is unreachable",
    "is reachable again", "has left",     "was removed from the view", "is the name of two processes",
    "has a new boot",     "was suspended"};

}  // namespace

Fleet::Fleet(boost::asio::io_context& io, engine::TimeSource& time, const Options& options,
             std::uint64_t seed, std::uint32_t configured_routers, Hooks hooks)
    : time_(time),
      options_(options),
      hooks_(std::move(hooks)),
      count_(configured_routers, options.hold),
      second_timer_(io),
      socket_(
          io, time,
          [&] {
            membership::Settings core = options.core;
            core.facts = facts(false);
            return core;
          }(),
          options.udp, seed, [this](const Change& change) { on_change(change); }) {
  each_second();
}

void Fleet::start_shared_limits(const ShareOptions& options, const Tenants& tenants, std::uint64_t seed) {
  hooks_.reset_request_counts();
  const auto view = [this] {
    const std::uint32_t routers = count_.value();
    return SharedLimits::View{leases::living_peers(socket_.protocol()), routers};
  };
  const auto send = [this](membership::Address to, std::string payload) {
    socket_.send_payload(membership::kShares, to, std::move(payload));
  };
  ShareOptions sized = options;
  sized.core.max_items =
      std::max<std::size_t>(1, leases::max_items_in(socket_.protocol().max_payload_size()));
  limits_ = std::make_unique<SharedLimits>(
      time_, sized, tenants.names, tenants.all, socket_.protocol().self().instance, seed,
      SharedLimits::Hooks{view, hooks_.request_counts, hooks_.origin_work, hooks_.apply_allowances, send,
                          hooks_.log});
  socket_.set_payload_handler({[this](const membership::ReceivedPayload& payload) {
                                 if (payload.protocol == membership::kShares)
                                   limits_->on_payload(payload.from, payload.bytes);
                               },
                               [this] { limits_->start(); }});
}

void Fleet::set_tenants(const Tenants& tenants) {
  if (!limits_) return;
  hooks_.reset_request_counts();
  limits_->reconfigure(tenants.names, tenants.all);
}

membership::Facts Fleet::facts(bool draining) const {
  return {{membership::kDraining, draining ? 1U : 0U}, {membership::kVersion, kVersionValue}};
}

void Fleet::draining() { socket_.set_facts(facts(true)); }

void Fleet::leave(bool ends) {
  left_ = true;
  second_timer_.cancel();
  if (limits_) limits_->leave(ends);
  socket_.leave();
}

void Fleet::on_change(const Change& change) {
  if (++lines_this_second_ > kMaxLogLinesPerSecond) {
    ++suppressed_changes_;
    return;
  }
  std::string line = "fleet: " + change.name + " " + kChangeTexts[static_cast<std::size_t>(change.kind)];
  if (change.address != 0)
    line += " (" + membership::text_of(change.address) + ", boot " + hex(change.instance) + ")";
  hooks_.log(line);
}

void Fleet::each_second() {
  if (suppressed_changes_ > 0)
    hooks_.log("fleet: " + std::to_string(suppressed_changes_) + " more changes not logged");
  lines_this_second_ = suppressed_changes_ = 0;
  if (const std::string& error = socket_.open_error(); error != last_open_error_) {
    if (!error.empty()) hooks_.log("fleet: cannot open the gossip socket: " + error);
    last_open_error_ = error;
  }
  reload_roster();
  const auto now = time_.now();
  const std::uint32_t routers = count_.observe(now, socket_.protocol().summary(now));
  if (options_.count_routers && routers != hooks_.divisor()) {
    hooks_.log("fleet: limits for the whole fleet are now divided by " + std::to_string(routers) +
               " routers");
    hooks_.set_divisor(routers);
  }
  second_timer_.expires_after(std::chrono::seconds(1));
  second_timer_.async_wait([this](const boost::system::error_code& cancelled) {
    if (!cancelled) each_second();
  });
}

// Reads the file when its modification time has changed, and applies it when its text has changed.
void Fleet::reload_roster() {
  if (options_.roster_file.empty()) return;
  std::error_code error;
  const auto time = std::filesystem::last_write_time(options_.roster_file, error);
  if (error || (roster_ && time == roster_time_)) return;
  roster_time_ = time;
  std::ifstream in(options_.roster_file);
  if (!in) return;
  std::string text{std::istreambuf_iterator<char>(in), {}};
  const bool first = !roster_;  // resolve() has already applied the initial text
  if (roster_ == text) return;
  roster_ = std::move(text);
  if (first) return;
  try {
    std::vector<membership::Address> contacts = parse_roster(*roster_);
    for (const std::string& seed : options_.seeds) contacts.push_back(parse_address(seed));
    hooks_.log("fleet: " + std::to_string(contacts.size()) + " peer addresses loaded");
    socket_.set_contacts(std::move(contacts));
  } catch (const std::runtime_error& problem) {
    hooks_.log("fleet: " + options_.roster_file + ": keeping the previous addresses: " + problem.what());
  }
}

}  // namespace streampick::fleet
