#include "grpc/route_table.h"

#include <utility>

#include "streampick/route.pb.h"

namespace streampick::rpc {

using google::protobuf::Descriptor;
using google::protobuf::FieldDescriptor;
using google::protobuf::Message;
using google::protobuf::MethodDescriptor;

namespace {

const FieldDescriptor* value_field(const std::string& name, const Descriptor& in) {
  if (name.empty()) return nullptr;
  const FieldDescriptor* const field = in.FindFieldByName(name);
  if (field == nullptr) throw RouteError("value: " + in.full_name() + " has no field '" + name + "'");
  if (field->is_repeated() || field->cpp_type() != FieldDescriptor::CPPTYPE_STRING)
    throw RouteError("value: the field '" + name + "' is neither bytes nor a string");
  return field;
}

const Message& prototype(const Descriptor& type) {
  const Message* const out = google::protobuf::MessageFactory::generated_factory()->GetPrototype(&type);
  if (out == nullptr) throw RouteError(type.full_name() + " is not a message type of this program");
  return *out;
}

std::string path_of(const MethodDescriptor& method) {
  return "/" + method.service()->full_name() + "/" + method.name();
}

}  // namespace

CompiledRoute::CompiledRoute(const Route& route, const MethodDescriptor& method)
    : class_(route.request_class),
      save_(route.save),
      key_(route.key, *method.input_type()),
      value_(value_field(route.value, route.save ? *method.input_type() : *method.output_type())),
      request_type_(&prototype(*method.input_type())) {
  if (method.client_streaming() || method.server_streaming())
    throw RouteError("a streaming method can't be routed");
}

bool CompiledRoute::read(const Message& request, const std::string& serialized, KeyValue& out,
                         std::string& error) const {
  if (!key_.key(request, out.key, error)) return false;
  if (!save_) return true;
  if (value_ == nullptr) {
    out.value = serialized;
  } else {
    out.value = request.GetReflection()->GetString(request, value_);
  }
  return true;
}

bool CompiledRoute::fill(std::string value, google::protobuf::MessageLite& response) const {
  if (save_) return true;  // the server's answer to a save is not a message of the application
  if (value_ == nullptr) return response.ParseFromString(value);
  auto* const message = dynamic_cast<Message*>(&response);
  if (message == nullptr || message->GetDescriptor() != value_->containing_type()) return false;
  message->GetReflection()->SetString(message, value_, std::move(value));
  return true;
}

RouteTable::RouteTable(const std::vector<Route>& routes, const std::vector<std::string>& services,
                       const google::protobuf::DescriptorPool& pool, const Classes& classes) {
  for (const Route& route : routes) {
    std::string name = route.method;
    if (const std::size_t slash = name.find('/'); slash != std::string::npos) name[slash] = '.';
    const MethodDescriptor* const method = pool.FindMethodByName(name);
    if (method == nullptr) throw RouteError("route '" + route.method + "': this program has no such method");
    if (routes_.contains(path_of(*method)))
      throw RouteError("route '" + route.method + "': the method has two routes");
    add(route, *method, classes);
  }
  for (const std::string& name : services) {
    const auto* const service = pool.FindServiceByName(name);
    if (service == nullptr) throw RouteError("service '" + name + "': this program has no such service");
    bool has_routes = false;
    for (int i = 0; i < service->method_count(); ++i) {
      const MethodDescriptor& method = *service->method(i);
      if (routes_.contains(path_of(method))) {
        has_routes = true;
        continue;
      }
      if (!method.options().HasExtension(streampick::route)) continue;
      const streampick::Route& option = method.options().GetExtension(streampick::route);
      Route route;
      route.method = name + "/" + method.name();
      route.save = option.kind_case() == streampick::Route::kSave;
      route.request_class = route.save ? option.save() : option.read();
      route.key = option.key();
      route.value = option.value();
      add(route, method, classes);
      has_routes = true;
    }
    if (!has_routes)
      throw RouteError("service '" + name + "': none of its methods has the option streampick.route");
  }
  if (routes_.empty()) throw RouteError("neither routes nor services are given");
}

void RouteTable::add(const Route& route, const MethodDescriptor& method, const Classes& classes) {
  const std::string where = "route '" + route.method + "': ";
  const std::optional<bool> safe = classes(route.request_class);
  if (!safe) throw RouteError(where + "the settings have no class '" + route.request_class + "'");
  if (!route.save && !*safe)
    throw RouteError(where + "a read, but the class '" + route.request_class + "' is not safe");
  if (route.save && *safe)
    throw RouteError(where + "a save, but the class '" + route.request_class + "' is for reads");
  try {
    routes_.emplace(path_of(method), CompiledRoute(route, method));
  } catch (const RouteError& error) {
    throw RouteError(where + error.what());
  }
}

const CompiledRoute* RouteTable::find(std::string_view path) const {
  const auto found = routes_.find(path);
  return found == routes_.end() ? nullptr : &found->second;
}

}  // namespace streampick::rpc
