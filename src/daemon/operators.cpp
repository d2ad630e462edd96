#include "daemon/operators.h"

#include <utility>

#include "net/log.h"

namespace streampick::daemon {

using control::AdminChange;
using control::AdminOverrides;
using control::ApplyResult;
using management::Command;
using Outcome = takeover::OverrideStore::Outcome;

namespace {

constexpr std::chrono::milliseconds kPollInterval{200};
constexpr const char* kEndOfReport = "\n--\n";

/// Null without a folder: nothing is shared.
std::unique_ptr<takeover::SharedFolder> open_folder(const std::string& folder) {
  if (folder.empty()) return nullptr;
  return std::make_unique<takeover::SharedFolder>(folder, net::log);
}

/// The answer to a change that this process has applied.
std::string acknowledge(const std::string& text, const Outcome& outcome) {
  if (!outcome.not_stored) return "ACK " + text + "\n";
  return "ACK " + text + "; not stored yet, tried again: " + storage::to_string(*outcome.not_stored) + "\n";
}

std::string unknown_endpoint(const std::string& id) { return "NAK no cache server has the id " + id + "\n"; }

}  // namespace

Operators::Operators(boost::asio::io_context& io, net::Clock& clock, engine::Engine& engine,
                     net::UpstreamResources& resources, const std::string& folder,
                     std::function<void(bool is_only_process)> on_presence)
    : io_(io),
      clock_(clock),
      engine_(engine),
      resources_(resources),
      store_(io, open_folder(folder), net::log, [this](const AdminOverrides& next) { apply(next); }),
      on_presence_(std::move(on_presence)),
      poll_timer_(io) {
  if (folder.empty()) return;
  presence_.emplace(folder);
  poll_shared_state();
}

void Operators::listen(const boost::asio::ip::tcp::endpoint& address) {
  server_ = std::make_unique<management::CommandServer>(
      io_, address, [this](const Command& command, const Respond& respond) { answer(command, respond); });
}

std::optional<boost::asio::ip::tcp::endpoint> Operators::address() const {
  if (!server_) return std::nullopt;
  return server_->address();
}

void Operators::poll_shared_state() {
  store_.refresh();
  on_presence_(presence_->is_only_process());
  poll_timer_.expires_after(kPollInterval);
  poll_timer_.async_wait([this](const boost::system::error_code& cancelled) {
    if (!cancelled) poll_shared_state();
  });
}

/// Passes the overrides that differ from the applied ones to the engine.
void Operators::apply(const AdminOverrides& next) {
  const AdminOverrides before = std::exchange(applied_, next);
  note_first_seen(before);
  for (const auto& [id, endpoint] : applied_.endpoints()) {
    const auto found = before.endpoints().find(id);
    if (found != before.endpoints().end() && found->second == endpoint) continue;
    net::log("cache server " + id +
             (endpoint.is_disabled ? " was disabled by an operator" : " was enabled by an operator"));
    engine_.set_override(id, endpoint.is_disabled, endpoint.is_disabled ? 0 : endpoint.changed_at);
  }
  for (const auto& [id, endpoint] : before.endpoints())
    if (!applied_.endpoints().contains(id)) engine_.set_override(id, false, 0);
  if (before.is_draining() != applied_.is_draining())
    net::log(applied_.is_draining() ? "an operator started a drain of the clients"
                                    : "an operator ended the drain of the clients");
  engine_.set_draining(applied_.is_draining());
}

void Operators::note_first_seen(const AdminOverrides& before) {
  std::erase_if(first_seen_, [this](const auto& item) { return !applied_.endpoints().contains(item.first); });
  for (const auto& [id, endpoint] : applied_.endpoints()) {
    const auto found = before.endpoints().find(id);
    if (found == before.endpoints().end() || found->second != endpoint) first_seen_[id] = clock_.now();
  }
}

AdminOverrides::Endpoints Operators::past_retention() const {
  AdminOverrides::Endpoints unchanged;
  const Time now = clock_.now();
  for (const auto& [id, endpoint] : applied_.endpoints())
    if (now - first_seen_.at(id) > AdminOverrides::kRetention) unchanged.emplace(id, endpoint);
  return unchanged;
}

void Operators::disable(const std::string& id, const Respond& respond) {
  if (engine_.is_origin(id))
    return respond("NAK " + id + " is the origin, without which nothing is answered\n");
  if (!engine_.lists_cache(id) && !applied_.is_disabled(id)) return respond(unknown_endpoint(id));
  store_.submit({AdminChange::Kind::disable_endpoint, id, clock_.wall_time(), past_retention()},
                [id, respond](const Outcome& outcome) {
                  if (outcome.result == ApplyResult::too_many)
                    return respond("NAK too many cache servers are left out\n");
                  respond(acknowledge(id + " is left out", outcome));
                });
}

void Operators::enable(const std::string& id, const Respond& respond) {
  const bool is_listed = engine_.lists_cache(id) && !engine_.is_origin(id);
  if (!is_listed && !applied_.is_disabled(id)) return respond(unknown_endpoint(id));
  store_.submit({AdminChange::Kind::enable_endpoint, id, clock_.wall_time()},
                [id, is_listed, respond](const Outcome& outcome) {
                  if (outcome.result == ApplyResult::applied)
                    return respond(acknowledge(id + " is used again", outcome));
                  if (!is_listed) return respond(unknown_endpoint(id));
                  respond(acknowledge(id + " was not left out", outcome));
                });
}

void Operators::set_draining(bool draining, const Respond& respond) {
  const auto kind = draining ? AdminChange::Kind::start_drain : AdminChange::Kind::end_drain;
  store_.submit({kind, {}, clock_.wall_time()}, [draining, respond](const Outcome& outcome) {
    respond(acknowledge(draining ? "clients are sent away" : "clients are taken", outcome));
  });
}

std::string Operators::health() const {
  if (!is_ready_) return "NAK no list of cache servers yet\n";
  has_listened_ = has_listened_ || is_listening_();
  if (!has_listened_) return "NAK the address of clients can't be opened yet\n";
  return "ACK serving\n";
}

management::Metrics Operators::dump() const {
  management::Metrics metrics;
  metrics.classes = engine_.metrics().classes();
  metrics.inflight = engine_.metrics().in_flight();
  metrics.backend_calls = resources_.requests_sent;
  const engine::EndpointRegistry::Counts counts = engine_.endpoint_counts();
  metrics.hosts_listed = counts.listed;
  metrics.hosts_down = counts.down;
  metrics.reconfig_ok = reconfig_ok_;
  metrics.reconfig_failed = reconfig_failed_;
  if (fleet_reports_.summary) metrics.fleet = fleet_reports_.summary();
  return metrics;
}

void Operators::answer(const Command& command, const Respond& respond) {
  switch (command.kind) {
    case Command::Kind::offline: return disable(command.endpoint_id, respond);
    case Command::Kind::online: return enable(command.endpoint_id, respond);
    case Command::Kind::leave: return set_draining(true, respond);
    case Command::Kind::join: return set_draining(false, respond);
    default: return respond(answer(command));
  }
}

std::string Operators::answer(const Command& command) const {
  switch (command.kind) {
    case Command::Kind::health: return health();
    case Command::Kind::dump: return management::to_json(dump()) + kEndOfReport;
    case Command::Kind::fleet:
      if (!fleet_reports_.view) return "NAK this router keeps no view of its fleet\n";
      return fleet_reports_.view() + kEndOfReport;
    case Command::Kind::shares: {
      const std::string report = fleet_reports_.shares ? fleet_reports_.shares() : "";
      return report.empty() ? "NAK this router shares no limits\n" : report + kEndOfReport;
    }
    default: return "NAK\n";
  }
}

}  // namespace streampick::daemon
