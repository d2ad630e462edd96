#include "daemon/host.h"

#include <algorithm>
#include <utility>

#include "http1/transport.h"
#include "net/log.h"

namespace streampick::node {

namespace {

constexpr std::size_t kOtherDescriptors = 32;  // standard streams, listener, discovery, the event loop's
constexpr std::size_t kLeastDescriptors = 64;
constexpr std::chrono::seconds kSummaryEvery{10};

}  // namespace

Host::Host(boost::asio::io_context& io, Clock& clock, const NodeSettings& settings)
    : io_(io), clock_(clock), names_(settings.settings.names), summary_timer_(io) {
  // Half for clients, half for servers: a request needs one of either, and now and then a copy.
  const std::size_t sockets = std::max(settings.sockets, kLeastDescriptors);
  const std::size_t each = (sockets - kOtherDescriptors) / 2;
  links_.most_connections = each;
  links_.most_large = settings.memory_mb * (1024 * 1024 / 4);
  links_.dial_time_out = settings.settings.config.dial_time_out;
  links_.free_a_connection = [this] { engine_->free_a_connection(); };
  const Settings& told = settings.settings;
  engine_ =
      std::make_unique<Engine>(clock_, EngineSettings{told.config, told.seed, told.drain_grace},
                               static_cast<Transports&>(*this), [](std::string_view text) { log(text); });
  const bool must_ask = told.config.must_ask;
  discovery_ = std::make_unique<Discovery>(io_, names_, settings.discovery, settings.known.revision,
                                           !must_ask, told.seed, *engine_);
  engine_->start(*discovery_, settings.known);
  http_ = std::make_unique<Clients>(io_, clock_, names_, *engine_, settings.listen, each);
  engine_->add(*http_);
  if (!must_ask) discovery_->watch();
  every_ten_seconds();
}

// Fronts go first: what their connections would tell has nobody to hear it.
Host::~Host() {
  http_.reset();
  discovery_.reset();
  engine_.reset();
}

std::unique_ptr<Transport> Host::make(const std::string& name, std::uint32_t) {
  return std::make_unique<Upstream>(io_, clock_, links_, *engine_, name);
}

void Host::reload(const NodeSettings& settings) {
  log("configuration read again");
  discovery_->move_to(settings.discovery);
}

std::string Host::summary() const {
  return engine_->summary(" dials=" + std::to_string(links_.dials) + " open=" +
                          std::to_string(links_.connections) + " clients=" + std::to_string(http_->open()));
}

void Host::every_ten_seconds() {
  summary_timer_.expires_after(kSummaryEvery);
  summary_timer_.async_wait([this](const boost::system::error_code& cancelled) {
    if (cancelled) return;
    std::string text = summary();
    if (text != last_summary_) log(text);
    last_summary_ = std::move(text);
    every_ten_seconds();
  });
}

}  // namespace streampick::node
