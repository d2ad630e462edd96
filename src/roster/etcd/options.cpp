#include "roster/etcd/options.h"

namespace streampick::etcd {

Options read_options(options::Table table) {
  Options out;
  out.on = true;
  table.strings("endpoints", out.endpoints);
  if (out.endpoints.empty() || out.endpoints.size() > 16)
    table.reject("endpoints", "expected 1 to 16 addresses");
  for (const std::string& endpoint : out.endpoints)
    if (endpoint.find(':') == std::string::npos || endpoint.find("//") != std::string::npos)
      table.reject("endpoints", "expected host:port, without a scheme, not '" + endpoint + "'");
  table.string("prefix", out.prefix);
  if (out.prefix.empty()) table.reject("prefix", "expected a prefix of 1 to 256 bytes");
  table.boolean("require_leader", out.require_leader);
  table.string("user", out.user);
  table.string("password_file", out.password_file, 4096);
  if (out.user.empty() != out.password_file.empty())
    table.reject("user", "user and password_file go together");
  table.string("ca_file", out.ca_file, 4096);
  table.string("cert_file", out.cert_file, 4096);
  table.string("key_file", out.key_file, 4096);
  if (out.cert_file.empty() != out.key_file.empty())
    table.reject("cert_file", "cert_file and key_file go together");
  if (!out.cert_file.empty() && out.ca_file.empty())
    table.reject("ca_file", "a certificate needs ca_file too");
  table.string("seed_file", out.seed_file, 4096);
  table.integer("seed_most_age_s", out.seed_most_age_ms, 1, 30LL * 24 * 3600, 1000);
  WatcherSettings& watcher = out.watcher;
  watcher.endpoints = out.endpoints.size();
  table.number("least_share", watcher.min_key_share, 0, 1);
  table.integer("page", watcher.page_size, 1, 10'000);
  table.integer("most_keys", watcher.max_keys, 1, 1'000'000);
  table.integer("answer_ms", watcher.response_timeout, 100, 60'000, 1'000);
  table.integer("silence_ms", watcher.progress_request_delay, 100, 60'000, 1'000);
  table.integer("stale_after_ms", watcher.stale_after, 200, 600'000, 1'000);
  table.integer("backoff_most_ms", watcher.max_backoff, 100, 60'000, 1'000);
  if (watcher.stale_after <= watcher.progress_request_delay + watcher.response_timeout)
    table.reject("stale_after_ms", "expected more than silence_ms and answer_ms together");
  table.reject_unknown_keys();
  return out;
}

std::string describe(const Options& options) {
  if (!options.on) return "roster: from the platform's discovery service\n";
  std::string out = "roster: etcd at";
  for (const std::string& endpoint : options.endpoints) out += " " + endpoint;
  out += options.ca_file.empty()     ? ", plain"
         : options.cert_file.empty() ? ", TLS"
                                     : ", TLS with a certificate";
  out += ", prefix " + options.prefix + ", stale after " +
         std::to_string(options.watcher.stale_after / 1000) + " ms";
  out += options.seed_file.empty() ? ", no seed file\n" : ", seed file " + options.seed_file + "\n";
  return out;
}

}  // namespace streampick::etcd
