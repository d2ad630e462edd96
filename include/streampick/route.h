// How a method of a service is routed. The method option of streampick/route.proto has the same fields.
#pragma once

#include <string>

namespace streampick::rpc {

struct Route {
  std::string method;         // "package.Service/Method"
  std::string request_class;  // a name in the platform's settings
  bool save = false;
  std::string key;    // a template of request fields: "{sheet}/{tile.x}"
  std::string value;  // the value's field in a read's response or a save's request; empty: the whole message
};

}  // namespace streampick::rpc
