#include "overload/options.h"

#include <cstdint>

namespace streampick::overload {

namespace {
constexpr std::int64_t kMicrosecondsPerMillisecond = 1'000;
constexpr std::int64_t kDay = 86'400'000;     // ms
constexpr std::int64_t kTenSeconds = 10'000;  // ms
constexpr std::int64_t kKibibyte = 1'024;
constexpr std::int64_t kMebibyte = 1'024 * kKibibyte;
constexpr std::int64_t kTebibyte = kMebibyte * 1'024 * 1'024;

void read_descriptors(options::Table& table, Settings& settings) {
  table.number("clients_floor", settings.client_minimum_share, 0.05, 0.9);
  table.number("servers_floor", settings.upstream_minimum_share, 0.05, 0.9);
  if (settings.client_minimum_share + settings.upstream_minimum_share > 1) {
    table.reject("servers_floor", "with clients_floor it is more than the whole");
  }
}

void read_client_connections(options::Table& table, Settings& settings) {
  table.number("crowd", settings.connection_pressure_share, 0.01, 1);
  table.integer("calm_idle_ms", settings.idle_timeout, 100, kDay, kMicrosecondsPerMillisecond);
  table.integer("crowded_idle_ms", settings.idle_timeout_under_pressure, 100, kDay,
                kMicrosecondsPerMillisecond);
  if (settings.idle_timeout_under_pressure > settings.idle_timeout) {
    table.reject("crowded_idle_ms", "it is longer than calm_idle_ms");
  }
}

void read_load_shedding(options::Table& table, Settings& settings) {
  table.integer("late_ms", settings.target_loop_lag, 0, kTenSeconds, kMicrosecondsPerMillisecond);
  table.number("busy", settings.saturated_cpu, 0.1, 1.5);
  table.strings("spared", settings.protected_classes);
}

void read_cancellation(options::Table& table, Settings& settings) {
  table.integer("drain_wait_ms", settings.max_drain_time, 0, kTenSeconds, kMicrosecondsPerMillisecond);
  table.number("drain_share", settings.max_draining_share, 0, 1);
  table.integer("drain_here", settings.max_draining_per_endpoint, 0, 1'000);
}

void read_response_bodies(options::Table& table, Settings& settings) {
  table.integer("whole_answer_bytes", settings.max_buffered_response, 64 * kKibibyte, kMebibyte);
  table.integer("longest_answer_bytes", settings.max_response, 64 * kKibibyte, kTebibyte);
  if (settings.max_response < settings.max_buffered_response) {
    table.reject("longest_answer_bytes", "it is less than whole_answer_bytes");
  }
}
}  // namespace

Settings read_options(options::Table table) {
  Settings settings;
  read_descriptors(table, settings);
  read_client_connections(table, settings);
  read_load_shedding(table, settings);
  read_cancellation(table, settings);
  read_response_bodies(table, settings);
  table.reject_unknown_keys();
  return settings;
}

}  // namespace streampick::overload
