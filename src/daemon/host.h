// Puts the router together: the engine on asio's clock, the fronts, the transports and the roster that the
// settings ask for.
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
  // Throws boost::system::system_error when an address can't be listened on.
  Host(boost::asio::io_context& io, net::Clock& clock, const platform::NodeSettings& settings);
#ifdef STREAMPICK_WITH_OPTIONS
  // `options` are resolved.
  Host(boost::asio::io_context& io, net::Clock& clock, const platform::NodeSettings& settings,
       const platform::Options& options);
#endif
#ifdef STREAMPICK_WITH_RESP
  const resp::RespFront* resp() const { return resp_.get(); }
  const resp::ServerCounts& resp_servers() const { return transports_->resp(); }
#endif
  ~Host();

  // Goes on accepting for a little, finishes what was taken, then calls `done`.
  void drain(std::function<void()> done);
  // Takes what a running router can take from a new configuration: the address of discovery, classes,
  // tenants, attempts and what the decisions may do. One that can't be used is logged and turned down whole;
  // returns whether it was taken.
  bool reload(const std::string& path);
  bool reload(const platform::NodeSettings& next);
  boost::asio::ip::tcp::endpoint address() const { return http_->address(); }
  Operators& operators() { return *operators_; }
  const engine::Counters& counts() const { return engine_->counts(); }
  std::size_t servers() const { return engine_->servers(); }  // the most that were known at a time
  net::UpstreamResources& upstream_resources() { return resources_; }
  const net::LoadShedder& load_shedder() const { return *load_shedder_; }
  const overload::DescriptorBudget& descriptors() const { return descriptors_; }
  std::string summary() const;

 private:
  struct Bare {};
  Host(Bare, boost::asio::io_context& io, net::Clock& clock, const platform::NodeSettings& settings);
  // Hears the platform's lists first: the first of them makes the router ready.
  struct Lists final : engine::EndpointListObserver {
    explicit Lists(Host& owner) : host(owner) {}
    void on_endpoint_list(const engine::EndpointList& list) override;
    void on_discovery_failed() override { to->on_discovery_failed(); }
    Host& host;
    engine::EndpointListObserver* to = nullptr;
  };
  bool reload(const std::function<platform::NodeSettings()>& load);
  void take(const platform::NodeSettings& next);
  void share(bool alone);
  std::vector<bool> spared() const;
  // `two_sources`: the platform's lists are one of two.
  void begin(const platform::NodeSettings& settings, bool two_sources = false);
  void ready();
  void every_ten_seconds();

  boost::asio::io_context& io_;
  net::Clock& clock_;
  platform::NodeSettings accepted_;  // the configuration in use
  Names names_;                      // classes by the engine's numbers
#ifdef STREAMPICK_WITH_OPTIONS
  std::optional<platform::Options> options_;
#endif
  overload::DescriptorBudget descriptors_;
  net::UpstreamResources resources_;
  std::unique_ptr<platform::ServerTransports> transports_;  // the engine has it
  std::unique_ptr<engine::Engine> engine_;
  std::unique_ptr<discovery::Discovery> discovery_;
  std::unique_ptr<net::LoadShedder> load_shedder_;
  std::unique_ptr<http1::Server> http_;
  std::unique_ptr<Operators> operators_;
  Lists lists_{*this};
  bool ready_ = false;
  boost::asio::steady_timer ready_timer_;
#ifdef STREAMPICK_WITH_RESP
  std::unique_ptr<resp::RespFront> resp_;
#endif
#ifdef STREAMPICK_WITH_ETCD
  void learn_from(const etcd::Options& options, std::uint64_t seed);
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
