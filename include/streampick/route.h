// How a method of a service is routed; streampick/route.proto says the same behind the method itself.
#pragma once

#include <string>

namespace streampick::rpc {

struct Route {
  std::string method;         // "package.Service/Method"
  std::string request_class;  // as the platform's settings name it
  bool save = false;
  std::string key;    // of fields of the request: "{sheet}/{tile.x}"
  std::string value;  // the field with the value: of a read's response, of a save's request; empty: all of it
};

}  // namespace streampick::rpc
