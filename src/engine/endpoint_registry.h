/// \file
/// The known servers by ServerId, each with its Upstream.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "engine/endpoint_discovery.h"
#include "engine/endpoint_overrides.h"
#include "engine/server_starts.h"
#include "engine/time.h"
#include "engine/upstream.h"
#include "streampick/router.h"

namespace streampick::engine {

/// A known server. One that left the list stays until its last attempt has ended.
struct Endpoint {
  std::string name;
  std::unique_ptr<Upstream> upstream;  ///< null: the number is free
  std::size_t open_attempts = 0;
  bool listed = false;
  bool is_origin = false;
  Phase listed_phase = Phase::gone;  ///< as listed, without overrides
};

/// An override for Router::on_override().
struct NumberedOverride {
  ServerId server = kNone;
  EndpointOverride value;
};

/// Owns the endpoints and their upstreams, and applies endpoint lists and administrative overrides to them.
///
/// Numbers are reused once an endpoint is removed, so that memory is bounded by the servers known at a time.
/// Single-threaded; does no I/O of its own.
class EndpointRegistry {
 public:
  /// `time` and `upstream_factory` must outlive the registry. `origin_kind`: the kind of the origin in
  /// cache-aside fleets; otherwise kNone.
  EndpointRegistry(TimeSource& time, UpstreamFactory& upstream_factory, std::uint32_t origin_kind)
      : upstream_factory_(upstream_factory), origin_kind_(origin_kind), starts_(time) {}

  struct ListChange {
    Update update = Update::changes;
    std::vector<NumberedOverride> overrides;  ///< for Router::on_override(), before Router::on_members()
    std::vector<Member> members;              ///< as listed, for Router::on_members()
    std::vector<ServerId> departed;           ///< for forget_if_unused(), after Router::on_members()
  };

  /// Applies a complete list or changes that a source has sent. From `now` on no request is sent to draining
  /// or departed servers.
  ListChange apply(const EndpointList& list, Time now);
  /// Applies a list that was known to an earlier process.
  ListChange apply_stored(const StoredEndpointList& stored, Time now);

  /// Sets an override; `value.started` is a Unix time in microseconds. Returns the override to report if the
  /// server has a number; otherwise a list reports it with the server's number.
  std::optional<NumberedOverride> set_override(const std::string& name, EndpointOverride value, Time now);

  /// Returns nullptr if the number is free or unknown.
  Endpoint* find(ServerId id);
  [[nodiscard]] const Endpoint* find(ServerId id) const;

  void attempt_began(ServerId id);
  /// Removes the endpoint if this was its last attempt and it is not listed.
  void on_attempt_ended(ServerId id);
  void forget_if_unused(ServerId id);
  void forget_unused();

  /// Whether the list contains a cache server of this name.
  [[nodiscard]] bool lists_cache(const std::string& name) const;
  [[nodiscard]] bool is_origin(const std::string& name) const;

  struct Counts {
    std::size_t listed = 0;  ///< listed cache servers
    std::size_t down = 0;    ///< of these, disabled by an operator or ejected
  };
  [[nodiscard]] Counts counts(const std::function<bool(ServerId)>& is_ejected) const;

  /// Closes idle connections that were last used at `unused_since` or earlier, at all endpoints.
  void close_idle(Time unused_since);
  /// Closes the connection that has been idle longest at some endpoint. Returns whether there was one.
  bool evict_idle_connection();

  /// Whether some upstream wants cache fills.
  [[nodiscard]] bool any_wants_cache_fills() const { return any_wants_cache_fills_; }
  /// Invalidates `key` at each listed server that wants cache fills.
  void invalidate(const std::string& key);

  /// Number of allocated ServerIds: the most servers that were known at the same time.
  [[nodiscard]] std::size_t size() const { return endpoints_.size(); }

 private:
  ListChange apply_members(Update update, const EndpointList& list, Time now);
  ServerId intern(const ListedEndpoint& listed, ListChange& change);
  Member update_endpoint(ServerId id, const ListedEndpoint& listed, Time now);
  /// Whether new requests may be sent to the endpoint.
  [[nodiscard]] bool is_enabled(const Endpoint& endpoint) const;
  void update_sending(Endpoint& endpoint, Time now);
  /// Sends no request to the endpoint from `now` on; attempts that wait for a connection end as not sent. The
  /// discovery protocol allows a grace period after a server's departure, but the notification may have been
  /// delayed by an unknown part of it.
  void stop_sending(Endpoint& endpoint, Time now);

  UpstreamFactory& upstream_factory_;
  std::uint32_t origin_kind_;
  std::vector<Endpoint> endpoints_;  // by ServerId
  std::vector<ServerId> free_ids_;
  std::unordered_map<std::string, ServerId> ids_;
  EndpointOverrides overrides_;
  ServerStarts starts_;
  bool any_wants_cache_fills_ = false;
};

}  // namespace streampick::engine
