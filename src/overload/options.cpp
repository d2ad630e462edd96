#include "overload/options.h"

namespace streampick::overload {

Settings read_options(options::Table table) {
  Settings out;
  table.number("clients_floor", out.clients_floor, 0.05, 0.9);
  table.number("servers_floor", out.servers_floor, 0.05, 0.9);
  if (out.clients_floor + out.servers_floor > 1)
    table.wrong("servers_floor", "with clients_floor it is more than the whole");
  table.number("crowd", out.crowd, 0.01, 1);
  table.integer("calm_idle_ms", out.calm_idle, 100, 86'400'000, 1000);
  table.integer("crowded_idle_ms", out.crowded_idle, 100, 86'400'000, 1000);
  if (out.crowded_idle > out.calm_idle) table.wrong("crowded_idle_ms", "it is longer than calm_idle_ms");
  table.integer("late_ms", out.late, 0, 10'000, 1000);
  table.number("busy", out.busy, 0.1, 1.5);
  table.texts("spared", out.spared);
  table.integer("drain_wait_ms", out.drain_wait, 0, 10'000, 1000);
  table.number("drain_share", out.drain_share, 0, 1);
  table.integer("drain_here", out.drain_here, 0, 1'000);
  table.integer("whole_answer_bytes", out.whole_answer, 64 * 1024, 1024 * 1024);
  table.integer("longest_answer_bytes", out.longest_answer, 64 * 1024, 1LL << 40);
  if (out.longest_answer < out.whole_answer)
    table.wrong("longest_answer_bytes", "it is less than whole_answer_bytes");
  table.no_others();
  return out;
}

}  // namespace streampick::overload
