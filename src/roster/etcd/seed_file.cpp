#include "roster/etcd/seed_file.h"

#include <algorithm>
#include <utility>

namespace streampick::etcd {

SeedFile::SeedFile(std::string path, Log log, storage::FileCalls& calls)
    : path_(std::move(path)), log_(std::move(log)), calls_(calls) {
  if (!path_.empty()) storage::remove_stale_temporaries(path_, calls_);
}

std::optional<engine::StoredEndpointList> SeedFile::load(const Names& names, long long unix_ms,
                                                         std::chrono::milliseconds max_age) {
  if (path_.empty()) return std::nullopt;
  const auto content = storage::read_file(path_, kMaxSeedSize, calls_);
  if (const auto* error = std::get_if<storage::FileError>(&content)) {
    log_("etcd: the seed file is not used: " + storage::to_string(*error));
    return std::nullopt;
  }
  auto seed = decode_seed(std::get<std::string>(content), names, unix_ms, max_age);
  if (const auto* error = std::get_if<SeedError>(&seed)) {
    log_("etcd: " + path_ + " is not used: " + error->message);
    return std::nullopt;
  }
  return std::get<engine::StoredEndpointList>(std::move(seed));
}

void SeedFile::store(Time now, const engine::EndpointList& list, const Names& names, long long unix_ms) {
  if (path_.empty()) return;
  if (const auto error = storage::replace_file(path_, encode_seed(list, names, unix_ms), calls_))
    return failed(*error, now);
  has_changed_ = false;
  next_write_ = now + kWriteInterval;
  backoff_ = kWriteInterval;
  last_problem_.clear();
}

void SeedFile::failed(const storage::FileError& error, Time now) {
  has_changed_ = true;
  next_write_ = now + backoff_;
  backoff_ = std::min(backoff_ * 2, kMaxBackoff);
  std::string problem = storage::to_string(error);
  if (problem == last_problem_) return;
  log_("etcd: writing the seed file failed, to be retried: " + problem);
  last_problem_ = std::move(problem);
}

}  // namespace streampick::etcd
