// A template that builds a key from a request's fields: "{sheet}/{tile.x}". It is compiled once against the
// request's type; after that it fails only for a request that lacks a field. No I/O.
#pragma once

#include <google/protobuf/descriptor.h>
#include <google/protobuf/message.h>

#include <bitset>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace streampick::rpc {

// An invalid route. what() is one line.
class RouteError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

class KeyTemplate {
 public:
  // Throws RouteError. A field is given by its path, "a.b": all parts but the last are messages, the last is
  // an integer, bool, enum, string or bytes, and none is repeated. Text must separate two fields, or
  // different requests could have the same key.
  KeyTemplate(std::string_view text, const google::protobuf::Descriptor& request);

  // Returns false and sets `error` for a request that lacks a field: the field is an empty string, or a
  // message on its path is not set. `request` must be of the type that the template was compiled for.
  // Characters of a field that also occur in the template's text are escaped as %XX, so that different fields
  // never give the same key.
  bool key(const google::protobuf::Message& request, std::string& out, std::string& error) const;

 private:
  using Path = std::vector<const google::protobuf::FieldDescriptor*>;
  struct Piece {
    std::string text;  // literal text if `path` is empty, else the field's name
    Path path = {};
  };
  Path resolve(const std::string& name, const google::protobuf::Descriptor& request) const;
  bool append(const Path& path, const google::protobuf::Message& request, std::string& out) const;
  void escape(std::string_view text, std::string& out) const;

  std::vector<Piece> pieces_;
  std::bitset<256> escaped_;
};

}  // namespace streampick::rpc
