/// \file
/// The servers that discovery has named, under small numbers, each with the transport to it.
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

/// A server that is known. One that is off the list stays until its last attempt has ended.
struct Endpoint {
  std::string name;
  std::unique_ptr<Upstream> upstream;  ///< none: the number is free
  std::size_t open_attempts = 0;
  bool listed = false;
  bool is_origin = false;
  Member listed_as = {};  ///< as the list has it, without operators' overrides
};

/// Owns the endpoints and their transports, and applies list updates and operators' overrides to them.
///
/// Numbers are given from 0 on and used again once an endpoint is forgotten: where servers come and go all
/// day under ever new names, nothing grows with them. Single-threaded; does no I/O of its own, times are
/// passed in.
class EndpointRegistry {
 public:
  /// \param time dates the servers' starts; outlives the registry.
  /// \param transports makes the transport of each new endpoint; outlives the registry.
  /// \param origin_kind the kind of the origin in look-aside fleets; kNone elsewhere.
  EndpointRegistry(TimeSource& time, UpstreamFactory& upstream_factory, std::uint32_t origin_kind)
      : upstream_factory_(upstream_factory), origin_kind_(origin_kind), starts_(time) {}

  struct ListChange {
    std::vector<Member> members;     ///< what the module is to be told
    std::vector<ServerId> departed;  ///< to be passed to forget_if_unused() once the module knows
  };

  /// Takes a list or changes of one. Nothing begins from `now` on at servers that drain or are gone.
  ListChange apply(Update update, const EndpointList& list, Time now);

  /// Sets an operator's override; its `started` is a Unix time here. Returns what the module is to be told,
  /// if the server is listed.
  std::optional<Member> set_override(const std::string& name, EndpointOverride value, Time now);

  /// The endpoint of this number; nullptr where the number is free or unknown.
  Endpoint* find(ServerId id);
  [[nodiscard]] const Endpoint* find(ServerId id) const;

  void attempt_began(ServerId id);
  /// Forgets the endpoint if that was its last attempt and it is off the list.
  void on_attempt_ended(ServerId id);
  void forget_if_unused(ServerId id);
  void forget_unused();

  /// Whether a list names it, and it is no origin.
  [[nodiscard]] bool lists_cache(const std::string& name) const;
  [[nodiscard]] bool is_origin(const std::string& name) const;

  struct Counts {
    std::size_t listed = 0;  ///< listed cache servers
    std::size_t down = 0;    ///< of these, disabled by an operator or avoided by the module
  };
  [[nodiscard]] Counts counts(const std::function<bool(ServerId)>& is_avoided) const;

  /// Closes connections that were last used at `unused_since` or before, at all endpoints.
  void close_idle(Time unused_since);
  /// Closes the connection that has been idle for longest at some endpoint. False: there was none.
  bool evict_idle_connection();

  /// Whether some transport has to be given what its server missed.
  [[nodiscard]] bool any_wants_cache_fills() const { return any_wants_cache_fills_; }
  /// Tells each listed server that wants values that its copy of `key` may be old.
  void invalidate(const std::string& key);

  /// The most that were known at a time.
  [[nodiscard]] std::size_t size() const { return endpoints_.size(); }

 private:
  ServerId intern(const ListedEndpoint& listed);
  Member update_endpoint(ServerId id, const ListedEndpoint& listed, Time now);
  /// Nothing begins there from `now` on, and what waits for its connection goes elsewhere. The rules allow a
  /// grace from when the news was told; how long ago that was nobody knows here, since a watch may have been
  /// silent.
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
