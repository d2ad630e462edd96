// The router process: the engine on asio's clock, with the client-facing servers, the upstream transports and
// the sources of endpoint lists that the settings enable.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "daemon/operators.h"
#include "engine/engine.h"
#include "http1/server.h"
#include "net/clock.h"
#include "net/upstream_resources.h"
#include "platform/node_settings.h"
#include "platform/transports.h"
#include "roster/discovery.h"
#ifdef STREAMPICK_WITH_OPTIONS
#include "platform/options.h"
#endif
#ifdef STREAMPICK_WITH_FLEET
#include "fleet/fleet.h"
#endif
#ifdef STREAMPICK_WITH_ETCD
#include "roster/etcd/client.h"
#include "roster/sources.h"
#endif

namespace streampick::daemon {

class Host final {
 public:
  // Throws boost::system::system_error when the router cannot listen on an address.
  Host(boost::asio::io_context& io, net::Clock& clock, const platform::NodeSettings& settings);
#ifdef STREAMPICK_WITH_OPTIONS
  // `options` must have been through platform::resolve().
  Host(boost::asio::io_context& io, net::Clock& clock, const platform::NodeSettings& settings,
       const platform::Options& options);
#endif
#ifdef STREAMPICK_WITH_RESP
  const resp::RespFront* resp() const { return resp_.get(); }
  const resp::ServerCounts& resp_servers() const { return transports_->resp(); }
#endif
  ~Host();

  // Shuts down: accepts connections for a short time, completes the open requests, then calls `done`.
  void drain(std::function<void()> done);
  // Applies those parts of a new configuration that can change while the router runs: the address of
  // discovery, request classes, tenants, and limits on attempts and on what the decision module may do. An
  // invalid configuration is logged and rejected as a whole. Returns whether it was applied.
  bool reload(const std::string& path);
  bool reload(const platform::NodeSettings& next);
  boost::asio::ip::tcp::endpoint address() const { return http_->address(); }
  Operators& operators() { return *operators_; }
  const engine::Counters& counts() const { return engine_->counts(); }
  std::size_t max_endpoints() const { return engine_->servers(); }  // the highest number known at one time
  net::UpstreamResources& upstream_resources() { return resources_; }
  const net::LoadShedder& load_shedder() const { return *load_shedder_; }
  const overload::DescriptorBudget& descriptors() const { return descriptors_; }
  std::string summary() const;

 private:
  struct BaseTag {};
  // The part that both public constructors share.
  Host(BaseTag, boost::asio::io_context& io, net::Clock& clock, const platform::NodeSettings& settings);
  // Receives the platform's endpoint lists and passes them on. The first list makes the router ready.
  struct PlatformListObserver final : engine::EndpointListObserver {
    explicit PlatformListObserver(Host& owner) : host(owner) {}
    void on_endpoint_list(const engine::EndpointList& list) override;
    void on_discovery_failed() override { next->on_discovery_failed(); }
    Host& host;
    engine::EndpointListObserver* next = nullptr;
  };
  bool reload(const std::function<platform::NodeSettings()>& load);
  // Throws, without any change, when `next` is invalid.
  void apply_settings(const platform::NodeSettings& next);
  void set_resource_limits(bool is_only_process);
  void set_memory_limits(std::size_t memory_mb);
  std::vector<bool> protected_classes() const;
  // `has_second_source`: endpoint lists come from etcd besides the platform.
  void start(const platform::NodeSettings& settings, bool has_second_source = false);
  void ready();
  void schedule_summary();

  boost::asio::io_context& io_;
  net::Clock& clock_;
  platform::NodeSettings accepted_;  // the configuration in use
  Names names_;                      // classes in the order of the engine's indices
#ifdef STREAMPICK_WITH_OPTIONS
  std::optional<platform::Options> options_;
#endif
  overload::DescriptorBudget descriptors_;
  net::UpstreamResources resources_;
  std::unique_ptr<platform::ServerTransports> transports_;  // used by the engine
  std::unique_ptr<engine::Engine> engine_;
  std::unique_ptr<discovery::Discovery> discovery_;
  std::unique_ptr<net::LoadShedder> load_shedder_;
  std::unique_ptr<http1::Server> http_;
  std::unique_ptr<Operators> operators_;
  PlatformListObserver platform_lists_{*this};
  bool ready_ = false;
  boost::asio::steady_timer ready_timer_;
#ifdef STREAMPICK_WITH_RESP
  std::unique_ptr<resp::RespFront> resp_;
#endif
#ifdef STREAMPICK_WITH_ETCD
  void start_etcd_roster(const etcd::Options& options, std::uint64_t seed);
  std::unique_ptr<roster::Sources> sources_;
  std::unique_ptr<etcd::EtcdRoster> etcd_;
#endif
#ifdef STREAMPICK_WITH_FLEET
  std::unique_ptr<fleet::Fleet> fleet_;
#endif
  boost::asio::steady_timer summary_timer_;
  std::string last_summary_;
};

}  // namespace streampick::daemon
