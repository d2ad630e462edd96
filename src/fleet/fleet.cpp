#include "fleet/fleet.h"

#include <fstream>
#include <iterator>

#include "fleet/hex.h"
#include "shares/fleet_view.h"
#include "shares/wire.h"

namespace streampick::fleet {

using membership::Change;

namespace {

constexpr int kMaxLinesPerSecond = 5;
constexpr std::uint64_t kProgram = 1;  // value of kVersion: raised when routers must tell versions apart
constexpr const char* kChangeTexts[] = {"came",
                                        "is suspected",
                                        "is well after all",
                                        "is unreachable",
                                        "is back",
                                        "has left",
                                        "is forgotten",
                                        "is a name that two processes have",
                                        "takes a new boot",
                                        "was not at work for a while"};

}  // namespace

Fleet::Fleet(boost::asio::io_context& io, engine::TimeSource& time, const Options& options,
             std::uint64_t seed, std::uint32_t constant, Hooks hooks)
    : time_(time),
      options_(options),
      hooks_(std::move(hooks)),
      count_(constant, options.hold),
      second_(io),
      shell_(
          io, time,
          [&] {
            membership::Settings core = options.core;
            core.facts = facts(false);
            return core;
          }(),
          options.udp, seed, [this](const Change& change) { on_change(change); }) {
  each_second();
}

void Fleet::share(const ShareOptions& options, const Tenants& tenants, std::uint64_t seed) {
  hooks_.count_anew();
  const auto view = [this] {
    const std::uint32_t routers = count_.value();
    return SharedLimits::View{leases::living_peers(shell_.protocol()), routers};
  };
  const auto tell = [this](membership::Address to, std::string payload) {
    shell_.send_payload(membership::kShares, to, std::move(payload));
  };
  ShareOptions own = options;
  own.core.max_items = std::max<std::size_t>(1, leases::max_items_in(shell_.protocol().max_payload_size()));
  limits_ = std::make_unique<SharedLimits>(
      time_, own, tenants.names, tenants.all, shell_.protocol().self().instance, seed,
      SharedLimits::Hooks{view, hooks_.asked, hooks_.origin, hooks_.take, tell, hooks_.log});
  shell_.set_payload_handler({[this](const membership::ReceivedPayload& payload) {
                                if (payload.protocol == membership::kShares)
                                  limits_->on_payload(payload.from, payload.bytes);
                              },
                              [this] { limits_->start(); }});
}

void Fleet::set_tenants(const Tenants& tenants) {
  if (!limits_) return;
  hooks_.count_anew();
  limits_->reconfigure(tenants.names, tenants.all);
}

membership::Facts Fleet::facts(bool draining) const {
  return {{membership::kDraining, draining ? 1U : 0U}, {membership::kVersion, kProgram}};
}

void Fleet::draining() { shell_.set_facts(facts(true)); }

void Fleet::leave(bool ends) {
  left_ = true;
  second_.cancel();
  if (limits_) limits_->leave(ends);
  shell_.leave();
}

void Fleet::on_change(const Change& change) {
  if (++lines_this_second_ > kMaxLinesPerSecond) {
    ++suppressed_changes_;
    return;
  }
  std::string line = "fleet: " + change.name + " " + kChangeTexts[static_cast<std::size_t>(change.kind)];
  if (change.address != 0)
    line += " (" + membership::text_of(change.address) + ", boot " + hex(change.instance) + ")";
  hooks_.log(line);
}

void Fleet::each_second() {
  if (suppressed_changes_ > 0) hooks_.log("fleet: " + std::to_string(suppressed_changes_) + " more changes");
  lines_this_second_ = suppressed_changes_ = 0;
  if (const std::string& why = shell_.open_error(); why != was_closed_) {
    if (!why.empty()) hooks_.log("fleet: no socket for the others: " + why);
    was_closed_ = why;
  }
  reload_roster();
  const auto now = time_.now();
  const std::uint32_t routers = count_.see(now, shell_.protocol().summary(now));
  if (options_.count_routers && routers != hooks_.divided_by()) {
    hooks_.log("fleet: totals are divided by " + std::to_string(routers) + " routers");
    hooks_.divide_by(routers);
  }
  second_.expires_after(std::chrono::seconds(1));
  second_.async_wait([this](const boost::system::error_code& cancelled) {
    if (!cancelled) each_second();
  });
}

// The file is read when its modification time has changed, and applied when its text has.
void Fleet::reload_roster() {
  if (options_.roster_file.empty()) return;
  std::error_code error;
  const auto time = std::filesystem::last_write_time(options_.roster_file, error);
  if (error || (roster_ && time == roster_time_)) return;
  roster_time_ = time;
  std::ifstream in(options_.roster_file);
  if (!in) return;
  std::string text{std::istreambuf_iterator<char>(in), {}};
  const bool first = !roster_;  // which was read at the start
  if (roster_ == text) return;
  roster_ = std::move(text);
  if (first) return;
  try {
    std::vector<membership::Address> contacts = parse_roster(*roster_);
    for (const std::string& seed : options_.seeds) contacts.push_back(parse_address(seed));
    hooks_.log("fleet: " + std::to_string(contacts.size()) + " addresses of peers");
    shell_.set_contacts(std::move(contacts));
  } catch (const std::runtime_error& wrong) {
    hooks_.log("fleet: " + options_.roster_file + ": the old addresses stay: " + wrong.what());
  }
}

}  // namespace streampick::fleet
