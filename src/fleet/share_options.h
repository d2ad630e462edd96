// The options file's section [shares].
#pragma once

#include <string>
#include <vector>

#include "fleet/options.h"
#include "shares/settings.h"
#include "streampick/router.h"

namespace streampick::fleet {

struct ShareOptions {
  bool on = false;
  leases::Settings core;  // own address, voters, the count of routers and limits come with resolve()
  std::vector<std::string> voters;
  std::int64_t origin_places = 0;  // 0: not shared
  bool quotas = true;              // whether tenants' quotas are shared
};

// Both throw options::Error. `file`: the options file's name. `fleet` is resolved.
ShareOptions read_share_options(options::Table table);
void resolve(ShareOptions& options, const Options& fleet, const platform::NodeSettings& settings,
             const std::string& file);
// Whether what a router sends to the origin under these settings has ended within the time that homes reckon
// with. Throws options::Error: it has not.
void check_work(const ShareOptions& options, const platform::NodeSettings& settings, const std::string& file);
std::string describe(const ShareOptions& options);

// What is shared where the platform's settings have these tenants.
std::vector<leases::Limit> limits_of(const ShareOptions& options, const std::vector<std::string>& names,
                                     const std::vector<Tenant>& tenants);
inline constexpr const char* kOriginPlaces = "origin places";
std::string quota_of(const std::string& tenant);
leases::LimitId limit_id(const std::string& name);

}  // namespace streampick::fleet
