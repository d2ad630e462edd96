#include "daemon/host.h"

#include <algorithm>
#include <random>
#include <utility>

#include "net/log.h"

namespace streampick::daemon {

namespace {

constexpr std::chrono::seconds kSummaryEvery{10};
// Without a list from discovery the one that was known before the start has to do.
constexpr std::chrono::seconds kReadyAtLast{3};

}  // namespace

#ifdef STREAMPICK_WITH_ETCD
void Host::learn_from(const etcd::Options& options, std::uint64_t seed) {
  etcd_ = std::make_unique<etcd::EtcdRoster>(
      io_, names_, options, seed, sources_->second(), [this] { return sources_->told() == 0; },
      [](std::string_view text) { net::log(text); });
}
#endif

Host::Host(Bare, boost::asio::io_context& io, net::Clock& clock, const platform::NodeSettings& settings)
    : io_(io),
      clock_(clock),
      accepted_(settings),
      names_(settings.settings.names),
      ready_timer_(io),
      summary_timer_(io) {}

Host::Host(boost::asio::io_context& io, net::Clock& clock, const platform::NodeSettings& settings)
    : Host(Bare{}, io, clock, settings) {
  transports_ = std::make_unique<platform::ServerTransports>(io_, clock_, resources_, settings);
  begin(settings);
}

#ifdef STREAMPICK_WITH_OPTIONS
Host::Host(boost::asio::io_context& io, net::Clock& clock, const platform::NodeSettings& settings,
           const platform::Options& options)
    : Host(Bare{}, io, clock, settings) {
  platform::NodeSettings own = settings;
  options_ = options;
  transports_ = std::make_unique<platform::ServerTransports>(io_, clock_, resources_, own, options);
#ifdef STREAMPICK_WITH_ETCD
  begin(own, options.etcd.on);
  if (options.etcd.on) learn_from(options.etcd, own.settings.seed);
#else
  if (options.etcd.on)
    throw options::Error(options.file + ": roster.etcd: not in this build (STREAMPICK_ETCD)");
  begin(own);
#endif
#ifdef STREAMPICK_WITH_FLEET
  if (options.fleet.on) {
    fleet_ = std::make_unique<fleet::Fleet>(
        io_, clock_, options.fleet, own.settings.seed ^ std::random_device{}(), own.settings.config.routers,
        fleet::Fleet::Hooks{[this](std::uint32_t routers) {
      engine_->set_routers(routers); },
                            [this] {
      return engine_->routers(); }, [](std::string_view text) {
      net::log(text); },
                            [this] {
      engine_->count_by_tenant(); },
                            [this]() -> const auto& { return engine_->requests_by_tenant();
  }
  , [this] { return engine_->origin_work(); },
      [this](Shares shares) { engine_->set_shares(std::move(shares)); }
});
if (options.shares.on)
  fleet_->share(options.shares, {names_.tenants, engine_->tenants()},
                own.settings.seed ^ std::random_device{}());
operators_->set_fleet({[this] { return fleet_->view(); }, [this] { return fleet_->brief(); },
                       [this] { return fleet_->shares(); }});
}
#endif
#ifdef STREAMPICK_WITH_RESP
if (!options.resp.front) return;
resp_ = std::make_unique<resp::RespFront>(io_, clock_, names_, *engine_, options.resp.front->settings,
                                          &descriptors_, load_shedder_.get());
engine_->add(*resp_);
#endif
}
#endif

void Host::begin(const platform::NodeSettings& settings, [[maybe_unused]] bool two_sources) {
  descriptors_ = overload::DescriptorBudget(platform::descriptor_limits(settings));
  resources_.connections.share_descriptors(descriptors_);
  resources_.body_memory.set_limit(settings.memory_mb * (1024 * 1024 / 4));
  resources_.streaming.max_buffered_body = settings.overload.max_buffered_response;
  resources_.streaming.max_body = settings.overload.max_response;
  resources_.streaming.max_buffering_time = settings.overload.max_buffering_time;
  resources_.cancellation = overload::CancellationPolicy(settings.overload);
  resources_.connect_timeout = settings.settings.config.connect_timeout;
  resources_.evict_idle_connection = [this] {
    if (engine_->evict_idle_connection()) return;
    // Clients hold what servers would have had: one that can be spared gives way.
    if (http_ && descriptors_.exceeds_minimum(overload::DescriptorBudget::Side::downstream))
      http_->evict_connection();
  };
  const Settings& told = settings.settings;
  engine_ = std::make_unique<engine::Engine>(
      clock_, engine::EngineSettings{told.config, told.seed, {}, names_.classes}, *transports_,
      [](std::string_view text) { net::log(text); });
  transports_->report_to(*engine_);
  lists_.to = engine_.get();
#ifdef STREAMPICK_WITH_ETCD
  if (two_sources) {
    sources_ = std::make_unique<roster::Sources>(*engine_);
    lists_.to = &sources_->platform();
  }
#endif
  const bool polls_discovery = told.config.polls_discovery, passed = settings.passed_socket >= 0;
  discovery_ = std::make_unique<discovery::Discovery>(io_, names_, settings.discovery,
                                                      passed ? 0 : settings.known.revision, !polls_discovery,
                                                      told.seed, lists_);
  engine_->start(*discovery_, settings.known);
  load_shedder_ =
      std::make_unique<net::LoadShedder>(io_, settings.overload, told.config, settings.cores, spared());
  http_ = std::make_unique<http1::Server>(io_, clock_, names_, *engine_, settings.listen, descriptors_,
                                          settings.overload, *load_shedder_, resources_.body_memory,
                                          settings.passed_socket);
  engine_->add(*http_);
  operators_ = std::make_unique<Operators>(io_, clock_, *engine_, resources_, passed ? settings.scratch : "",
                                           [this](bool alone) { share(alone); });
  operators_->set_listens([this] { return http_->listens(); });
  if (settings.management) operators_->listen(*settings.management);
  // Beside a process that serves, requests wait at the door until this one can serve them as well.
  if (!passed) http_->start_accepting();
  if (!passed && engine_->endpoint_counts().listed > 0) ready();
  ready_timer_.expires_after(kReadyAtLast);
  ready_timer_.async_wait([this](const boost::system::error_code& cancelled) {
    if (!cancelled && engine_->endpoint_counts().listed > 0) ready();
  });
  if (!polls_discovery) discovery_->watch();
  every_ten_seconds();
}

// Beside a process that serves, the whole list is asked for: any first line of it will do.
void Host::Lists::on_endpoint_list(const engine::EndpointList& list) {
  to->on_endpoint_list(list);
  host.ready();
}

void Host::ready() {
  if (std::exchange(ready_, true)) return;
  ready_timer_.cancel();
  operators_->ready();
  http_->start_accepting();
}

// Fronts go first: what their connections would tell has nobody to hear it.
Host::~Host() {
#ifdef STREAMPICK_WITH_RESP
  resp_.reset();
#endif
  operators_.reset();
#ifdef STREAMPICK_WITH_FLEET
  fleet_.reset();
#endif
  http_.reset();
#ifdef STREAMPICK_WITH_ETCD
  etcd_.reset();
#endif
  discovery_.reset();
  engine_.reset();
}

// Others hear of it first; when all is answered this router leaves them.
void Host::drain(std::function<void()> done) {
#ifdef STREAMPICK_WITH_FLEET
  if (fleet_) {
    fleet_->draining();
    done = [this, done = std::move(done)] {
      fleet_->leave(true);
      done();
    };
  }
#endif
  engine_->shut_down(std::move(done));
}

// Two processes of one router may hold together what one may: each has half, and gives back what rests.
void Host::share(bool alone) {
  const std::size_t whole = accepted_.memory_mb * (1024 * 1024 / 4);
  resources_.body_memory.set_limit(alone ? whole : whole / 2);
  descriptors_.set_halved(!alone);
  for (std::size_t over = descriptors_.excess(); over > 0; --over)
    if (!engine_->evict_idle_connection() && !http_->evict_connection()) return;
}

std::vector<bool> Host::spared() const {
  const std::vector<std::string>& named = accepted_.overload.protected_classes;
  std::vector<bool> out;
  for (const std::string& name : names_.classes)
    out.push_back(std::find(named.begin(), named.end(), name) != named.end());
  return out;
}

bool Host::reload(const std::string& path) {
  return reload([&] { return platform::load_settings(path, accepted_); });
}

bool Host::reload(const platform::NodeSettings& next) {
  return reload([&] { return next; });
}

bool Host::reload(const std::function<platform::NodeSettings()>& load) {
  bool taken = false;
  try {
    take(load());
    taken = true;
    net::log("configuration read again");
  } catch (const std::exception& wrong) {
    net::log(std::string("reload: the old settings stay: ") + wrong.what());
  }
  operators_->reconfigured(taken);
  return taken;
}

// All that may throw comes before the first change.
void Host::take(const platform::NodeSettings& next) {
  platform::NodeSettings own = next;
#ifdef STREAMPICK_WITH_OPTIONS
  std::optional<platform::Options> options = options_;
  if (options) {
    platform::resolve(*options, own);
    platform::ServerTransports::as_servers_have_it(*options, own.settings);
  }
#endif
  const Names& told = own.settings.names;
  if (told.zones != names_.zones || told.kinds != names_.kinds || own.listen != accepted_.listen)
    net::log("reload: zones, kinds and the address of clients are taken at the next start");
#ifdef STREAMPICK_WITH_FLEET
  const std::uint32_t constant = own.settings.config.routers;
  const bool silenced = fleet_ && !own.settings.may_talk;
  if (fleet_ && options) fleet::check_work(options->shares, own, options->file);
  if (fleet_ && !silenced) own.settings.config.routers = fleet_->routers_with(constant);
#endif
  engine_->reconfigure(own.settings.config, told.classes);
#ifdef STREAMPICK_WITH_FLEET
  if (fleet_) fleet_->set_constant(constant);
  if (silenced) {
    net::log("fleet: the settings forbid talk between routers now; this one left until its next start");
    fleet_->leave(false);
  }
#endif
  names_.classes = engine_->classes().names();
  names_.tenants = told.tenants;
#ifdef STREAMPICK_WITH_FLEET
  if (fleet_) fleet_->set_tenants({names_.tenants, engine_->tenants()});
#endif
  names_.keyed.clear();
  for (const std::string& name : names_.classes) {
    const std::uint32_t place = index_of(told.classes, name);
    names_.keyed.push_back(place != kNone && told.keyed[place]);
  }
  Config config = own.settings.config;
  config.classes = engine_->classes().rules();
  load_shedder_->update(config, spared());
  resources_.connect_timeout = config.connect_timeout;
#ifdef STREAMPICK_WITH_RESP
  if (resp_ && options && options->resp.front) {
    const resp::FrontSettings& front = options->resp.front->settings;
    resp_->set_classes(index_of(names_.classes, told.classes[front.read_class]),
                       index_of(names_.classes, told.classes[front.write_class]), front.write_key);
  }
#endif
  accepted_.text = next.text;
  discovery_->move_to(next.discovery);
}

std::string Host::summary() const {
  std::string out = engine_->summary(" dials=" + std::to_string(resources_.connect_attempts) +
                                     " open=" + std::to_string(resources_.connections.open()) +
                                     " drained=" + std::to_string(resources_.drains.started) +
                                     " reused=" + std::to_string(resources_.drains.reused) +
                                     " streams=" + std::to_string(resources_.streams.started) + " cut=" +
                                     std::to_string(resources_.streams.truncated) + " " + http_->summary());
  out += " late_us=" + std::to_string(load_shedder_->controller().mean_lag()) +
         " behind=" + std::to_string(load_shedder_->controller().overloaded_windows());
#ifdef STREAMPICK_WITH_RESP
  if (resp_) out += " resp: " + resp_->summary();
#endif
#ifdef STREAMPICK_WITH_ETCD
  if (etcd_) out += etcd_->summary();
#endif
#ifdef STREAMPICK_WITH_FLEET
  if (fleet_) out += fleet_->summary();
#endif
  return out + transports_->summary();
}

void Host::every_ten_seconds() {
  summary_timer_.expires_after(kSummaryEvery);
  summary_timer_.async_wait([this](const boost::system::error_code& cancelled) {
    if (cancelled) return;
    std::string text = summary();
    if (text != last_summary_) net::log(text);
    last_summary_ = std::move(text);
    every_ten_seconds();
  });
}

}  // namespace streampick::daemon
