#include "testbed/script.h"

#include <charconv>
#include <fstream>
#include <iterator>
#include <map>
#include <stdexcept>

#include "options/table.h"

namespace streampick::testbed {
namespace {

const std::map<std::string, Step::Do> kActions = {
    {"kill", Step::Do::kill},       {"stop", Step::Do::stop},
    {"continue", Step::Do::go_on},  {"terminate", Step::Do::terminate},
    {"start", Step::Do::start},     {"restart", Step::Do::restart},
    {"cut", Step::Do::cut},         {"heal", Step::Do::heal},
    {"link", Step::Do::link},       {"wait", Step::Do::wait},
    {"stutter", Step::Do::stutter}, {"mark", Step::Do::mark},
    {"upgrade", Step::Do::upgrade}, {"expect", Step::Do::expect},
    {"load", Step::Do::load}};
const std::map<std::string, Step::What> kConditions = {{"settled", Step::What::settled},
                                                       {"sees", Step::What::sees},
                                                       {"never_lost", Step::What::never_lost},
                                                       {"quiet", Step::What::quiet},
                                                       {"answered", Step::What::answered},
                                                       {"routers", Step::What::routers},
                                                       {"counted", Step::What::counted},
                                                       {"least", Step::What::least},
                                                       {"usable", Step::What::usable},
                                                       {"leased", Step::What::leased},
                                                       {"origin_at_most", Step::What::origin_at_most},
                                                       {"origin_at_least", Step::What::origin_at_least}};

template <typename Value>
Value read_choice(options::Table& table, const char* key, const std::map<std::string, Value>& words,
                  Value unless) {
  std::string text;
  if (!table.string(key, text)) return unless;
  const auto found = words.find(text);
  if (found != words.end()) return found->second;
  std::string all;
  for (const auto& [word, value] : words) all += (all.empty() ? "" : ", ") + word;
  table.reject(key, "expected one of " + all + ", not '" + text.substr(0, 40) + "'");
}

Step read_step(options::Table table, const Script& script) {
  Step out;
  out.action = read_choice(table, "do", kActions, Step::Do::wait);
  out.what = read_choice(table, "what", kConditions, Step::What::none);
  const bool links = out.action == Step::Do::cut || out.action == Step::Do::link;
  const auto processes = [&](const char* key, const std::string& text) -> std::vector<std::size_t> {
    if (script.origin_places > 0 && text == "home") return {kHome};
    if (script.origin_places > 0 && text == "others") return {kOthers};
    try {
      return parse_processes(text, script.routers, links ? script.caches : 0);
    } catch (const std::runtime_error& wrong) {
      table.reject(key, wrong.what());
    }
  };
  if (std::string who; table.string("who", who)) out.who = processes("who", who);
  std::vector<std::string> groups;
  table.strings("groups", groups);
  for (const std::string& group : groups) out.groups.push_back(processes("groups", group));
  if (out.action == Step::Do::cut && out.groups.size() < 2)
    table.reject("groups", "a cut is between two groups or more");
  table.boolean("one_way", out.one_way);
  table.number("loss", out.link.loss, 0, 1);
  table.number("twice", out.link.twice, 0, 1);
  table.number("damaged", out.link.damaged, 0, 1);
  table.integer("delay_ms", out.link.delay, 0, 60'000, 1'000);
  table.integer("spread_ms", out.link.spread, 0, 60'000, 1'000);
  table.number("bytes_per_s", out.link.bytes_per_s, 0, 1e9);
  table.string("name", out.name, 32);
  table.number("periods", out.periods, 0, 100'000);
  table.number("number", out.number, 0, 1e9);
  if (out.action == Step::Do::upgrade && !script.doors) table.reject("do", "an upgrade needs doors = true");
  if ((out.what == Step::What::usable || out.what == Step::What::leased) && script.origin_places == 0)
    table.reject("what", "this condition needs origin_places above 0");
  if (out.action == Step::Do::expect && out.what == Step::What::none) table.reject("what", "it is missing");
  if (out.action == Step::Do::wait && out.what == Step::What::none && out.periods == 0)
    table.reject("periods", "a wait is for something, or for a number of periods");
  table.reject_unknown_keys();
  return out;
}

}  // namespace

std::vector<std::size_t> parse_processes(const std::string& text, std::size_t routers, std::size_t caches) {
  std::vector<std::size_t> out;
  const auto wrong = [&] {
    throw std::runtime_error("expected numbers of routers from 0 to " + std::to_string(routers - 1) +
                             ", as 0-4,7" + (caches > 0 ? ", caches as c0-1, or origin" : "") + ", not '" +
                             text.substr(0, 40) + "'");
  };
  for (std::size_t from = 0; from <= text.size();) {
    const std::size_t end = std::min(text.find(',', from), text.size());
    std::string part = text.substr(from, end - from);
    from = end + 1;
    if (caches > 0 && part == "origin") {
      out.push_back(routers + caches);
      continue;
    }
    const bool cache = caches > 0 && part.rfind('c', 0) == 0;
    if (cache) part.erase(0, 1);
    std::size_t first = 0, last = 0;
    const char* stop = part.data() + part.size();
    auto read = std::from_chars(part.data(), stop, first);
    if (read.ec != std::errc{}) wrong();
    last = first;
    if (read.ptr != stop && *read.ptr == '-') read = std::from_chars(read.ptr + 1, stop, last);
    if (read.ec != std::errc{} || read.ptr != stop || last < first || last >= (cache ? caches : routers))
      wrong();
    for (; first <= last; ++first) out.push_back(cache ? routers + first : first);
  }
  return out;
}

Script read_script(const std::string& text, const std::string& file) {
  Script out;
  out.file = file;
  options::Table table = options::Table::parse(text, file);
  table.integer("routers", out.routers, 1, 300);
  table.integer("caches", out.caches, 1, 50);
  table.integer("seed", out.seed, 0, INT64_MAX);
  table.integer("period_ms", out.period_ms, 50, 10'000);
  table.integer("datagram_bytes", out.datagram, 256, 1'200);
  table.integer("unreachable_s", out.unreachable_s, 10, 86'400);
  table.integer("hold_ms", out.hold_ms, 0, 600'000);
  table.boolean("doors", out.doors);
  table.boolean("numbered", out.numbered);
  table.number("requests_per_s", out.requests_per_s, 0, 10'000);
  table.integer("clients", out.clients, 1, 64);
  table.boolean("misses", out.misses);
  table.integer("origin_ms", out.origin_ms, 0, 1'000);
  table.integer("origin_places", out.origin_places, 0, 10'000);
  table.number("floor", out.floor, 0, 1);
  for (options::Table& step : table.tables("step")) out.steps.push_back(read_step(std::move(step), out));
  if (out.steps.empty()) table.reject("step", "a script has one step at least");
  table.reject_unknown_keys();
  return out;
}

Script load_script(const std::string& file) {
  std::ifstream in(file);
  if (!in) throw options::Error(file + ": the file can't be read");
  return read_script({std::istreambuf_iterator<char>(in), {}}, file);
}

}  // namespace streampick::testbed
