#include "grpc/options.h"

#include <algorithm>
#include <utility>

namespace streampick::rpc {

namespace {

// Reads a metadata key. HTTP/2 needs lower case; keys of binary metadata are not accepted.
void metadata_name(options::Table& table, const char* key, std::optional<std::string>& out) {
  std::string name;
  if (!table.string(key, name, 64)) return;
  const bool fits = std::all_of(name.begin(), name.end(), [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
  });
  if (!fits) table.reject(key, "a metadata key may contain only lower-case letters, digits, -, _ and .");
  if (name.ends_with("-bin")) table.reject(key, "binary metadata (-bin) is not supported");
  out = std::move(name);
}

Route read_route(options::Table table) {
  Route out;
  if (!table.string("method", out.method)) table.reject("", "a route needs a method");
  const std::size_t slash = out.method.find('/');
  if (slash == std::string::npos || slash == 0 || slash + 1 == out.method.size())
    table.reject("method", "the format is package.Service/Method");
  std::string save;
  const bool reads = table.string("read", out.request_class), saves = table.string("save", save);
  if (reads == saves) table.reject("", "a route needs either read or save, with a request class");
  if (saves) out.request_class = std::move(save);
  out.save = saves;
  if (!table.string("key", out.key, 1024)) table.reject("", "a route needs a key");
  table.string("value", out.value);
  table.reject_unknown_keys();
  return out;
}

}  // namespace

Options read_options(options::Table table) {
  Options out;
  metadata_name(table, "tenant_metadata", out.tenant_metadata);
  metadata_name(table, "idempotency_metadata", out.idempotency_metadata);
  for (options::Table& route : table.tables("route")) {
    out.routes.push_back(read_route(std::move(route)));
    const std::string& method = out.routes.back().method;
    const auto same = [&](const Route& one) { return one.method == method; };
    if (std::count_if(out.routes.begin(), out.routes.end(), same) > 1)
      table.reject("route", method + " has two routes");
  }
  table.reject_unknown_keys();
  return out;
}

}  // namespace streampick::rpc
