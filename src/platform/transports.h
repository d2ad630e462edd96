// Creates the upstream transports that the settings select, for the daemon and for the client library.
#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>

#include "engine/time.h"
#include "engine/upstream.h"
#include "net/upstream_resources.h"
#include "platform/node_settings.h"
#ifdef STREAMPICK_WITH_OPTIONS
#include "platform/options.h"
#endif

namespace streampick::platform {

class ServerTransports final : public engine::UpstreamFactory {
 public:
  // `io`, `time` and `resources` must outlive this object. Call set_observer() before the first make().
  ServerTransports(boost::asio::io_context& io, engine::TimeSource& time, net::UpstreamResources& resources,
                   const NodeSettings& settings);
#ifdef STREAMPICK_WITH_OPTIONS
  // `options` must be resolved. Applies mark_unsafe_classes() to `settings`.
  ServerTransports(boost::asio::io_context& io, engine::TimeSource& time, net::UpstreamResources& resources,
                   NodeSettings& settings, const Options& options);
  // Marks keyed classes as unsafe where their servers would run a retry a second time.
  static void mark_unsafe_classes(const Options& options, Settings& settings);
#endif
  void set_observer(engine::AttemptObserver& outcomes) { outcomes_ = &outcomes; }
  std::unique_ptr<engine::Upstream> make(const std::string& name, std::uint32_t kind) override;
  std::string summary() const;  // for the log; may be empty
#ifdef STREAMPICK_WITH_RESP
  const resp::ServerCounts& resp() const { return resp_counts_; }
#endif

 private:
  boost::asio::io_context& io_;
  engine::TimeSource& time_;
  net::UpstreamResources& resources_;
  engine::AttemptObserver* outcomes_ = nullptr;
#ifdef STREAMPICK_WITH_RESP
  std::vector<std::string> kinds_;
  std::optional<resp::ServerOptions> resp_;
  std::uint32_t origin_kind_ = kNone;
  resp::ServerCounts resp_counts_;
#endif
};

}  // namespace streampick::platform
