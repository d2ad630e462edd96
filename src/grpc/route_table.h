// Which method goes how: routes compiled against the program's types, once, when a channel is opened. No I/O.
#pragma once

#include <google/protobuf/descriptor.h>
#include <google/protobuf/message.h>

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "grpc/key_template.h"
#include "streampick/route.h"

namespace streampick::rpc {

class CompiledRoute {
 public:
  // Throws RouteError.
  CompiledRoute(const Route& route, const google::protobuf::MethodDescriptor& method);

  bool save() const { return save_; }
  const std::string& request_class() const { return class_; }
  const google::protobuf::Message& request_type() const { return *request_type_; }

  struct Asked {
    std::string key, value;  // the value is a save's
  };
  // Of a request of its type; `serialized` is the same on the wire. Returns false, and why.
  bool read(const google::protobuf::Message& request, const std::string& serialized, Asked& out,
            std::string& why) const;
  // Puts what a server answered into a response of the method's type. Returns false where it does not fit.
  bool fill(std::string value, google::protobuf::MessageLite& response) const;

 private:
  std::string class_;
  bool save_;
  KeyTemplate key_;
  const google::protobuf::FieldDescriptor* value_ = nullptr;  // null: the whole message
  const google::protobuf::Message* request_type_;
};

class RouteTable {
 public:
  // Whether a class is safe; nothing: there is none of that name.
  using Classes = std::function<std::optional<bool>(const std::string& name)>;

  // `routes` come before what the options of `services`' methods say. Throws RouteError.
  RouteTable(const std::vector<Route>& routes, const std::vector<std::string>& services,
             const google::protobuf::DescriptorPool& pool, const Classes& classes);

  // `path`: as gRPC has it, "/package.Service/Method". Null: no route.
  const CompiledRoute* find(std::string_view path) const;
  std::size_t size() const { return routes_.size(); }

 private:
  void add(const Route& route, const google::protobuf::MethodDescriptor& method, const Classes& classes);
  struct Hash {
    using is_transparent = void;
    std::size_t operator()(std::string_view text) const { return std::hash<std::string_view>{}(text); }
  };
  std::unordered_map<std::string, CompiledRoute, Hash, std::equal_to<>> routes_;
};

}  // namespace streampick::rpc
