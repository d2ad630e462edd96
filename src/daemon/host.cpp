#include "daemon/host.h"

#include <algorithm>
#include <random>
#include <utility>

#include "net/log.h"

namespace streampick::daemon {

namespace {

constexpr std::chrono::seconds kSummaryInterval{10};
// Measured from the start. Without a list from discovery by then, the router serves with the list that its
// configuration holds.
constexpr std::chrono::seconds kInitialListTimeout{3};

}  // namespace

#ifdef STREAMPICK_WITH_ETCD
void Host::start_etcd_roster(const etcd::Options& options, std::uint64_t seed) {
  etcd_ = std::make_unique<etcd::EtcdRoster>(
      io_, names_, options, seed, sources_->secondary(),
      [this](const engine::StoredEndpointList& stored) { return sources_->use_stored(stored); },
      [](std::string_view text) { net::log(text); });
}
#endif

Host::Host(BaseTag, boost::asio::io_context& io, net::Clock& clock, const platform::NodeSettings& settings)
    : io_(io),
      clock_(clock),
      accepted_(settings),
      names_(settings.settings.names),
      ready_timer_(io),
      summary_timer_(io) {}

Host::Host(boost::asio::io_context& io, net::Clock& clock, const platform::NodeSettings& settings)
    : Host(BaseTag{}, io, clock, settings) {
  transports_ = std::make_unique<platform::ServerTransports>(io_, clock_, resources_, settings);
  start(settings);
}

#ifdef STREAMPICK_WITH_OPTIONS
Host::Host(boost::asio::io_context& io, net::Clock& clock, const platform::NodeSettings& settings,
           const platform::Options& options)
    : Host(BaseTag{}, io, clock, settings) {
  platform::NodeSettings resolved = settings;
  options_ = options;
  transports_ = std::make_unique<platform::ServerTransports>(io_, clock_, resources_, resolved, options);
#ifdef STREAMPICK_WITH_ETCD
  start(resolved, options.etcd.on);
  if (options.etcd.on) start_etcd_roster(options.etcd, resolved.settings.seed);
#else
  if (options.etcd.on)
    throw options::Error(options.file + ": roster.etcd: not in this build (STREAMPICK_ETCD)");
  start(resolved);
#endif
#ifdef STREAMPICK_WITH_FLEET
  if (options.fleet.on) {
    fleet_ = std::make_unique<fleet::Fleet>(
        io_, clock_, options.fleet, resolved.settings.seed ^ std::random_device{}(), resolved.settings.config.routers,
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
  fleet_->start_shared_limits(options.shares, {names_.tenants, engine_->tenants()},
                              resolved.settings.seed ^ std::random_device{}());
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

void Host::start(const platform::NodeSettings& settings, [[maybe_unused]] bool has_second_source) {
  descriptors_ = overload::DescriptorBudget(platform::descriptor_limits(settings));
  resources_.connections.share_descriptors(descriptors_);
  set_memory_limits(settings.memory_mb);
  resources_.streaming.max_buffered_body = settings.overload.max_buffered_response;
  resources_.streaming.max_body = settings.overload.max_response;
  resources_.streaming.max_buffering_time = settings.overload.max_buffering_time;
  resources_.cancellation = overload::CancellationPolicy(settings.overload);
  resources_.connect_timeout = settings.settings.config.connect_timeout;
  resources_.evict_idle_connection = [this] {
    if (engine_->evict_idle_connection()) return;
    // Client connections hold descriptors beyond their guaranteed minimum: evicting one frees a descriptor
    // for an upstream connection.
    if (http_ && descriptors_.exceeds_minimum(overload::DescriptorBudget::Side::downstream))
      http_->evict_connection();
  };
  const Settings& router = settings.settings;
  engine_ = std::make_unique<engine::Engine>(
      clock_, engine::EngineSettings{router.config, router.seed, {}, names_.classes}, *transports_,
      [](std::string_view text) { net::log(text); });
  transports_->set_observer(*engine_);
  platform_lists_.next = engine_.get();
#ifdef STREAMPICK_WITH_ETCD
  if (has_second_source) {
    sources_ = std::make_unique<roster::Sources>(*engine_, settings.known);
    platform_lists_.next = &sources_->platform();
  }
#endif
  // takes_over: another process of this router serves on the socket that this one was given.
  const bool polls_discovery = router.config.polls_discovery, takes_over = settings.passed_socket >= 0;
  discovery_ = std::make_unique<discovery::Discovery>(io_, names_, settings.discovery,
                                                      takes_over ? 0 : settings.known.revision,
                                                      !polls_discovery, router.seed, platform_lists_);
  engine_->start(*discovery_, settings.known);
  load_shedder_ = std::make_unique<net::LoadShedder>(io_, settings.overload, router.config, settings.cores,
                                                     protected_classes());
  http_ = std::make_unique<http1::Server>(io_, clock_, names_, *engine_, settings.listen, descriptors_,
                                          settings.overload, *load_shedder_, resources_.body_memory,
                                          settings.passed_socket);
  engine_->add(*http_);
  operators_ =
      std::make_unique<Operators>(io_, clock_, *engine_, resources_, takes_over ? settings.shared_folder : "",
                                  [this](bool is_only_process) { set_resource_limits(is_only_process); });
  operators_->set_listening_check([this] { return http_->listens(); });
  if (settings.management) operators_->listen(*settings.management);
  // While another process of this router serves, connections stay in the shared listen queue until that
  // process accepts them or this one is ready.
  if (!takes_over) http_->start_accepting();
  if (!takes_over && engine_->endpoint_counts().listed > 0) ready();
  ready_timer_.expires_after(kInitialListTimeout);
  ready_timer_.async_wait([this](const boost::system::error_code& cancelled) {
    if (!cancelled && engine_->endpoint_counts().listed > 0) ready();
  });
  if (!polls_discovery) discovery_->watch();
  schedule_summary();
}

// A process that takes over asks for the list from revision 0, so the first message that arrives holds the
// whole list.
void Host::PlatformListObserver::on_endpoint_list(const engine::EndpointList& list) {
  next->on_endpoint_list(list);
  host.ready();
}

void Host::ready() {
  if (std::exchange(ready_, true)) return;
  ready_timer_.cancel();
  operators_->ready();
  http_->start_accepting();
}

// The servers towards clients are destroyed before the engine, so that their connections report nothing to an
// engine that is gone.
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

// The fleet's other routers learn of the drain before it begins. Once all requests have been answered, this
// router leaves the fleet.
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

// The rest is for the program itself, its connections' fixed part and what the allocator can't return.
void Host::set_memory_limits(std::size_t memory_mb) {
  constexpr std::size_t kBytesPerMb = std::size_t{1024} * 1024;
  resources_.body_memory.set_limit(memory_mb * kBytesPerMb / 4);
  resources_.body_memory.short_messages.set_limit(memory_mb * kBytesPerMb / 8);
}

// During a takeover two processes of one router share its limits: each may use half, and closes idle
// connections above that.
void Host::set_resource_limits(bool is_only_process) {
  set_memory_limits(is_only_process ? accepted_.memory_mb : accepted_.memory_mb / 2);
  descriptors_.set_halved(!is_only_process);
  for (std::size_t over = descriptors_.excess(); over > 0; --over)
    if (!engine_->evict_idle_connection() && !http_->evict_connection()) return;
}

std::vector<bool> Host::protected_classes() const {
  const std::vector<std::string>& listed = accepted_.overload.protected_classes;
  std::vector<bool> out;
  for (const std::string& name : names_.classes)
    out.push_back(std::find(listed.begin(), listed.end(), name) != listed.end());
  return out;
}

bool Host::reload(const std::string& path) {
  return reload([&] { return platform::load_settings(path, accepted_); });
}

bool Host::reload(const platform::NodeSettings& next) {
  return reload([&] { return next; });
}

bool Host::reload(const std::function<platform::NodeSettings()>& load) {
  bool applied = false;
  try {
    apply_settings(load());
    applied = true;
    net::log("reload: the new configuration is in use");
  } catch (const std::exception& error) {
    net::log(std::string("reload failed, the previous settings stay in use: ") + error.what());
  }
  operators_->record_reload(applied);
  return applied;
}

// Everything that may throw comes before the first change.
void Host::apply_settings(const platform::NodeSettings& next) {
  platform::NodeSettings resolved = next;
#ifdef STREAMPICK_WITH_OPTIONS
  std::optional<platform::Options> options = options_;
  if (options) {
    platform::resolve(*options, resolved);
    platform::ServerTransports::mark_unsafe_classes(*options, resolved.settings);
  }
#endif
  const Names& names = resolved.settings.names;
  if (names.zones != names_.zones || names.kinds != names_.kinds || resolved.listen != accepted_.listen)
    net::log("reload: changes of zones, kinds and the listen address take effect at the next start");
#ifdef STREAMPICK_WITH_FLEET
  const std::uint32_t configured_routers = resolved.settings.config.routers;
  const bool leaves_fleet = fleet_ && !resolved.settings.peer_messages_allowed;
  if (fleet_ && options) fleet::check_max_work_duration(options->shares, resolved, options->file);
  if (fleet_ && !leaves_fleet) resolved.settings.config.routers = fleet_->routers_with(configured_routers);
#endif
  engine_->reconfigure(resolved.settings.config, names.classes);
#ifdef STREAMPICK_WITH_FLEET
  if (fleet_) fleet_->set_configured_routers(configured_routers);
  if (leaves_fleet) {
    net::log(
        "fleet: the new settings forbid messages between routers; this router leaves the fleet until its "
        "next "
        "start");
    fleet_->leave(false);
  }
#endif
  names_.classes = engine_->classes().names();
  names_.tenants = names.tenants;
#ifdef STREAMPICK_WITH_FLEET
  if (fleet_) fleet_->set_tenants({names_.tenants, engine_->tenants()});
#endif
  names_.keyed.clear();
  for (const std::string& name : names_.classes) {
    const std::uint32_t place = index_of(names.classes, name);
    names_.keyed.push_back(place != kNone && names.keyed[place]);
  }
  Config config = resolved.settings.config;
  config.classes = engine_->classes().rules();
  load_shedder_->update(config, protected_classes());
  resources_.connect_timeout = config.connect_timeout;
#ifdef STREAMPICK_WITH_RESP
  if (resp_ && options && options->resp.front) {
    const resp::FrontSettings& front = options->resp.front->settings;
    resp_->set_classes(index_of(names_.classes, names.classes[front.read_class]),
                       index_of(names_.classes, names.classes[front.write_class]), front.write_key);
  }
#endif
  accepted_.text = next.text;
  discovery_->set_address(next.discovery);
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

void Host::schedule_summary() {
  summary_timer_.expires_after(kSummaryInterval);
  summary_timer_.async_wait([this](const boost::system::error_code& cancelled) {
    if (cancelled) return;
    std::string text = summary();
    if (text != last_summary_) net::log(text);
    last_summary_ = std::move(text);
    schedule_summary();
  });
}

}  // namespace streampick::daemon
