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
  leases::Settings core;  // resolve() sets the own address, the voters, the number of routers and the limits
  std::vector<std::string> voters;
  std::int64_t origin_places = 0;  // 0: not shared
  bool quotas = true;              // whether tenants' quotas are shared
};

/// Reads the section. Throws options::Error.
ShareOptions read_share_options(options::Table table);
/// Fills in what depends on the platform's settings. `fleet` must be resolved already. `file`: name of the
/// options file, for error messages. Throws options::Error.
void resolve(ShareOptions& options, const Options& fleet, const platform::NodeSettings& settings,
             const std::string& file);
/// Checks that every request sent to the origin under these settings ends within max_work_duration, for which
/// granters wait. Throws options::Error if a request class has a longer deadline.
void check_max_work_duration(const ShareOptions& options, const platform::NodeSettings& settings,
                             const std::string& file);
/// One line for --check.
std::string describe(const ShareOptions& options);

/// The limits that are shared if the platform's settings have these tenants.
std::vector<leases::Limit> limits_of(const ShareOptions& options, const std::vector<std::string>& names,
                                     const std::vector<Tenant>& tenants);
inline constexpr const char* kOriginPlaces = "origin places";
/// Name of the limit that shares the tenant's quota.
std::string quota_limit_name(const std::string& tenant);
leases::LimitId limit_id(const std::string& name);

}  // namespace streampick::fleet
