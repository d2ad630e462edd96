#include "platform/transports.h"

#include "http1/upstream.h"
#include "net/log.h"

namespace streampick::platform {

ServerTransports::ServerTransports(boost::asio::io_context& io, engine::TimeSource& time,
                                   net::UpstreamResources& resources,
                                   [[maybe_unused]] const NodeSettings& settings)
    : io_(io), time_(time), resources_(resources) {}

#ifdef STREAMPICK_WITH_OPTIONS
ServerTransports::ServerTransports(boost::asio::io_context& io, engine::TimeSource& time,
                                   net::UpstreamResources& resources, [[maybe_unused]] NodeSettings& settings,
                                   [[maybe_unused]] const Options& options)
    : io_(io), time_(time), resources_(resources) {
#ifdef STREAMPICK_WITH_RESP
  resp_ = options.resp.servers;
  kinds_ = settings.settings.names.kinds;
  const Config& config = settings.settings.config;
  if (config.cache_aside) origin_kind_ = config.origin_kind;
#endif
  mark_unsafe_classes(options, settings.settings);
}

void ServerTransports::mark_unsafe_classes([[maybe_unused]] const Options& options,
                                           [[maybe_unused]] Settings& settings) {
#ifdef STREAMPICK_WITH_RESP
  if (!resp::repeated_writes_run_twice(options.resp, settings)) return;
  net::log(
      "keyed classes count as unsafe: the servers that execute writes do not receive idempotency keys "
      "(resp.servers.send_ids)");
  for (RequestClass& request_class : settings.config.classes)
    if (request_class.effect == Effect::keyed) request_class.effect = Effect::unsafe;
#endif
}
#endif

std::unique_ptr<engine::Upstream> ServerTransports::make(const std::string& name,
                                                         [[maybe_unused]] std::uint32_t kind) {
#ifdef STREAMPICK_WITH_RESP
  if (resp_ && resp_->speaks_resp(kinds_, kind)) {
    const bool holds_copies = origin_kind_ != kNone && kind != origin_kind_;
    return std::make_unique<resp::RespTransport>(io_, time_, resources_, *outcomes_, resp_->settings,
                                                 resp_counts_, name, holds_copies);
  }
#endif
  return std::make_unique<http1::Upstream>(io_, time_, resources_, *outcomes_, name);
}

std::string ServerTransports::summary() const {
#ifdef STREAMPICK_WITH_RESP
  if (resp_) return " resp servers: " + resp_counts_.summary();
#endif
  return {};
}

}  // namespace streampick::platform
