#include "fleet/fleet.h"

#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>

#include "shares/view.h"
#include "shares/wire.h"

namespace streampick::fleet {

using membership::Change;
using membership::Member;
using membership::Record;
using membership::State;
using membership::ViewSummary;
using nlohmann::ordered_json;

namespace {

constexpr int kLinesASecond = 5;
constexpr std::uint64_t kProgram = 1;  // what kVersion says: raised with what routers must know of each other
constexpr const char* kStates[] = {"alive", "suspect", "unreachable", "left"};
constexpr const char* kWords[] = {"came",
                                  "is suspected",
                                  "is well after all",
                                  "is unreachable",
                                  "is back",
                                  "has left",
                                  "is forgotten",
                                  "is a name that two processes have",
                                  "takes a new boot",
                                  "was not at work for a while"};

std::string hex(std::uint64_t value) {
  char out[17];
  std::snprintf(out, sizeof out, "%016llx", static_cast<unsigned long long>(value));
  return out;
}

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
          options.udp, seed, [this](const Change& change) { heard(change); }) {
  each_second();
}

void Fleet::share(const ShareOptions& options, const Tenants& tenants, std::uint64_t seed) {
  hooks_.count_anew();
  const auto view = [this] {
    const std::uint32_t routers = count_.value();
    return Limits::View{shares::living(shell_.protocol()), routers};
  };
  const auto tell = [this](membership::Address to, std::string payload) {
    shell_.send_payload(membership::kShares, to, std::move(payload));
  };
  ShareOptions own = options;
  own.core.items = std::max<std::size_t>(1, shares::items_in(shell_.protocol().max_payload_size()));
  limits_ = std::make_unique<Limits>(
      time_, own, tenants.names, tenants.all, shell_.protocol().self().instance, seed,
      Limits::Hooks{view, hooks_.asked, hooks_.origin, hooks_.take, tell, hooks_.log});
  shell_.set_payload_handler({[this](const membership::ReceivedPayload& payload) {
                                if (payload.protocol == membership::kShares)
                                  limits_->heard(payload.from, payload.bytes);
                              },
                              [this] { limits_->begin(); }});
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

void Fleet::heard(const Change& change) {
  if (++lines_ > kLinesASecond) {
    ++unsaid_;
    return;
  }
  std::string line = "fleet: " + change.name + " " + kWords[static_cast<std::size_t>(change.kind)];
  if (change.address != 0)
    line += " (" + membership::text_of(change.address) + ", boot " + hex(change.instance) + ")";
  hooks_.log(line);
}

void Fleet::each_second() {
  if (unsaid_ > 0) hooks_.log("fleet: " + std::to_string(unsaid_) + " more changes");
  lines_ = unsaid_ = 0;
  if (const std::string& why = shell_.open_error(); why != was_closed_) {
    if (!why.empty()) hooks_.log("fleet: no socket for the others: " + why);
    was_closed_ = why;
  }
  look_at_roster();
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

// Read only when its time has changed; what it says counts when that has.
void Fleet::look_at_roster() {
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

namespace {

ordered_json counted(const ViewSummary& counts, membership::Time now, std::uint32_t routers) {
  ordered_json out;
  out["alive"] = counts.alive;
  out["suspect"] = counts.suspect;
  out["unreachable"] = counts.unreachable;
  out["left"] = counts.left;
  out["least"] = counts.min_live;
  out["most"] = counts.max_live;
  out["seen"] = counts.visible_share;
  out["settled"] = counts.is_settled;
  out["unchanged_ms"] = (now - counts.unchanged_since) / 1'000;
  out["routers"] = routers;
  return out;
}

ordered_json told(const Record& record) {
  ordered_json out;
  out["name"] = record.name;
  out["boot"] = hex(record.instance);
  out["address"] = membership::text_of(record.address);
  out["state"] = kStates[static_cast<std::size_t>(record.state)];
  out["incarnation"] = record.incarnation;
  out["draining"] = membership::fact(record, membership::kDraining) != 0;
  return out;
}

}  // namespace

std::string Fleet::brief() const {
  const auto now = time_.now();
  return counted(shell_.protocol().summary(now), now, hooks_.divided_by()).dump();
}

std::string Fleet::shares() const { return limits_ ? limits_->told() : ""; }

std::string Fleet::view() const {
  const auto now = time_.now();
  const membership::GossipProtocol& core = shell_.protocol();
  const ViewSummary counts = core.summary(now);
  ordered_json out = counted(counts, now, hooks_.divided_by());
  out["digest"] = hex(counts.digest);
  out["health"] = core.local_health();
  out["open"] = shell_.is_open();
  out["self"] = told(core.self());
  out["members"] = ordered_json::array();
  for (const auto& [instance, member] : core.table().members()) {
    ordered_json one = told(member.record);
    one["for_ms"] = (now - member.since) / 1'000;
    out["members"].push_back(std::move(one));
  }
  const membership::ProtocolCounters& figures = core.counters();
  const membership::GossipSocket::Counts& shell = shell_.counts();
  ordered_json& told_figures = out["figures"];
  for (std::size_t kind = 0; kind < membership::kMessageKinds; ++kind) {
    told_figures["sent"][membership::kMessageKindNames[kind]] = shell.sent[kind];
    told_figures["received"][membership::kMessageKindNames[kind]] = shell.received[kind];
  }
  std::uint64_t unreadable = 0;
  for (const std::uint64_t kind : shell.decode_errors) unreadable += kind;
  const std::pair<const char*, std::uint64_t> numbers[] = {{"bytes_sent", shell.bytes_sent},
                                                           {"bytes_received", shell.bytes_received},
                                                           {"longest", shell.longest},
                                                           {"strangers", shell.not_peers},
                                                           {"unreadable", unreadable},
                                                           {"over_budget", shell.over_budget},
                                                           {"not_taken", shell.send_errors},
                                                           {"too_long", shell.too_long},
                                                           {"thrown_away", shell.discarded},
                                                           {"probes", figures.pings},
                                                           {"unanswered", figures.failed_probes},
                                                           {"repairs", figures.anti_entropy_rounds},
                                                           {"refutations", figures.refutations},
                                                           {"declared", figures.declared_unreachable},
                                                           {"stray", figures.unexpected_acks},
                                                           {"other_address", figures.address_mismatches},
                                                           {"no_room", figures.table_full}};
  for (const auto& [name, number] : numbers) told_figures[name] = number;
  return out.dump(-1, ' ', false, ordered_json::error_handler_t::replace);
}

std::string Fleet::summary() const {
  const ViewSummary counts = shell_.protocol().summary(time_.now());
  return " fleet: alive=" + std::to_string(counts.alive) + " suspect=" + std::to_string(counts.suspect) +
         " unreachable=" + std::to_string(counts.unreachable) + " least=" + std::to_string(counts.min_live) +
         " most=" + std::to_string(counts.max_live) + " routers=" + std::to_string(hooks_.divided_by()) +
         (limits_ ? limits_->summary() : "");
}

}  // namespace streampick::fleet
