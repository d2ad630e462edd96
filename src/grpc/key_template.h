// A key made of a request's fields: "{sheet}/{tile.x}". Compiled once against the request's type; after that
// it can only fail for what a request lacks. No I/O.
#pragma once

#include <google/protobuf/descriptor.h>
#include <google/protobuf/message.h>

#include <bitset>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace streampick::rpc {

// Of what can never work; one line.
class RouteError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

class KeyTemplate {
 public:
  // Throws RouteError. Fields are named by their path, "a.b"; each but the last is a message, the last a
  // whole number, bool, enum, string or bytes; none is repeated. Two fields need something between them, or
  // two requests could have one key.
  KeyTemplate(std::string_view text, const google::protobuf::Descriptor& request);

  // Returns false, and why, for a request that lacks a field: an empty string, or a message that is not set.
  // `request` is of the type it was compiled for. What a field shares with the text between the fields is
  // escaped as %XX, so that different fields never make one key.
  bool key(const google::protobuf::Message& request, std::string& out, std::string& why) const;

 private:
  using Path = std::vector<const google::protobuf::FieldDescriptor*>;
  struct Piece {
    std::string text;  // stands for itself where `path` is empty
    Path path = {};
  };
  Path find(const std::string& name, const google::protobuf::Descriptor& request) const;
  bool append(const Path& path, const google::protobuf::Message& request, std::string& out) const;
  void escape(std::string_view text, std::string& out) const;

  std::vector<Piece> pieces_;
  std::bitset<256> escaped_;
};

}  // namespace streampick::rpc
