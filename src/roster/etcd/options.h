// Reads the table [roster.etcd] of the operator's options file.
#pragma once

#include <string>
#include <vector>

#include "options/table.h"
#include "roster/etcd/watcher.h"

namespace streampick::etcd {

struct Options {
  bool on = false;
  std::vector<std::string> endpoints;  // "host:port", where host is an IP address or a name
  std::string prefix = "/streampick/servers/";
  bool require_leader = true;
  std::string user, password_file;
  std::string ca_file, cert_file, key_file;  // ca_file set: TLS
  std::string seed_file;
  long long seed_most_age_ms = 24LL * 3600 * 1000;
  WatcherSettings watcher;
};

// Throws options::Error.
Options read_options(options::Table table);
std::string describe(const Options& options);

}  // namespace streampick::etcd
