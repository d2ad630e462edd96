#include "streampick/router.h"

#include <utility>

#include "policy/router_impl.h"

namespace streampick {

Router::Router(Config config, std::uint64_t seed, Time now, ActionSink& sink)
    : impl_(std::make_unique<Impl>(std::move(config), seed, now, sink)) {}

Router::~Router() = default;

Router::Router(Router&&) noexcept = default;

void Router::on_config(Time /*now*/, Config config) { impl_->configure(std::move(config)); }

void Router::on_members(Time now, Update update, std::span<const Member> members) {
  impl_->on_members(now, update, members);
}

void Router::on_discovery(Time now, DiscoveryStatus status) { impl_->on_discovery(now, status); }

void Router::on_override(Time now, ServerId server, const EndpointOverride& value) {
  impl_->on_override(now, server, value);
}

void Router::on_request(Time now, const Request& request) { impl_->on_request(now, request); }

void Router::on_deadline_extended(Time /*now*/, RequestId request, Time deadline) {
  impl_->on_deadline_extended(request, deadline);
}

void Router::on_stream_started(Time /*now*/, RequestId request, std::uint32_t /*attempt*/) {
  impl_->on_stream_started(request);
}

void Router::on_result(Time now, const AttemptResult& result) { impl_->on_result(now, result); }

void Router::on_cancelled(Time now, RequestId request) { impl_->on_cancelled(now, request); }

void Router::on_wakeup(Time now) { impl_->on_wakeup(now); }

void Router::on_shares(Time now, Shares shares) { impl_->on_shares(now, std::move(shares)); }

bool Router::is_ejected(ServerId server) const { return impl_->is_ejected(server); }

OriginWork Router::origin_work() const { return impl_->origin_work(); }

Time Router::next_wakeup() const { return impl_->next_wakeup(); }

}  // namespace streampick
