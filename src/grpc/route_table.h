// The routes of a channel, by method. They are compiled against the program's types once, when the channel is
// opened. No I/O.
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

  struct KeyValue {
    std::string key, value;  // value: of a save
  };
  // Reads the key and value of a request; `serialized` is the request in wire format. Returns false and sets
  // `error` if the request lacks a field of the key.
  bool read(const google::protobuf::Message& request, const std::string& serialized, KeyValue& out,
            std::string& error) const;
  // Stores a server's answer in a response of the method's type. Returns false if it cannot be parsed.
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
  // Returns whether a class is safe; nothing if there is no such class.
  using Classes = std::function<std::optional<bool>(const std::string& name)>;

  // `routes` take precedence over the method options of `services`. Throws RouteError.
  RouteTable(const std::vector<Route>& routes, const std::vector<std::string>& services,
             const google::protobuf::DescriptorPool& pool, const Classes& classes);

  // `path`: as in gRPC, "/package.Service/Method". Returns null if the method has no route.
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
