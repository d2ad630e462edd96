#include "grpc/key_template.h"

#include <utility>

namespace streampick::rpc {

using google::protobuf::Descriptor;
using google::protobuf::FieldDescriptor;
using google::protobuf::Message;

namespace {
constexpr std::size_t kMaxLength = 1024, kMaxPieces = 64;
}

KeyTemplate::KeyTemplate(std::string_view text, const Descriptor& request) {
  const auto error = [&](const std::string& reason) -> RouteError {
    return RouteError("key \"" + std::string(text.substr(0, 80)) + "\": " + reason);
  };
  if (text.size() > kMaxLength) throw error("it is longer than 1024 characters");
  escaped_.set('%');
  bool has_fields = false;
  for (std::size_t at = 0; at < text.size();) {
    if (pieces_.size() == kMaxPieces) throw error("it has more than 64 pieces");
    const std::size_t open = text.find('{', at);
    if (open != at) {
      const std::string_view plain = text.substr(at, open == std::string_view::npos ? open : open - at);
      if (plain.find('}') != std::string_view::npos) throw error("a } has no matching {");
      for (const char c : plain) escaped_.set(static_cast<unsigned char>(c));
      pieces_.push_back({std::string(plain)});
      at += plain.size();
      continue;
    }
    const std::size_t close = text.find('}', open);
    if (close == std::string_view::npos) throw error("a { is not closed");
    if (!pieces_.empty() && !pieces_.back().path.empty()) throw error("two fields need text between them");
    const std::string name(text.substr(open + 1, close - open - 1));
    try {
      pieces_.push_back({name, resolve(name, request)});
    } catch (const RouteError& cause) {
      throw error(cause.what());
    }
    has_fields = true;
    at = close + 1;
  }
  if (!has_fields) throw error("it contains no field, so all requests would have the same key");
}

KeyTemplate::Path KeyTemplate::resolve(const std::string& name, const Descriptor& request) const {
  Path out;
  const Descriptor* in = &request;
  for (std::size_t at = 0;;) {
    const std::size_t dot = name.find('.', at);
    const std::string part = name.substr(at, dot == std::string::npos ? dot : dot - at);
    const FieldDescriptor* const field = in->FindFieldByName(part);
    if (field == nullptr) throw RouteError(in->full_name() + " has no field '" + part + "'");
    if (field->is_repeated()) throw RouteError("the field '" + part + "' is repeated");
    out.push_back(field);
    const bool message = field->cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE;
    if (dot == std::string::npos) {
      const bool number = field->cpp_type() == FieldDescriptor::CPPTYPE_FLOAT ||
                          field->cpp_type() == FieldDescriptor::CPPTYPE_DOUBLE;
      if (message || number)
        throw RouteError("the field '" + name + "' is not an integer, bool, enum, string or bytes");
      return out;
    }
    if (!message) throw RouteError("the field '" + part + "' is not a message");
    in = field->message_type();
    at = dot + 1;
  }
}

void KeyTemplate::escape(std::string_view text, std::string& out) const {
  constexpr std::string_view kDigits = "0123456789ABCDEF";
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (!escaped_.test(byte)) {
      out += c;
      continue;
    }
    out += '%';
    out += kDigits[byte >> 4U];
    out += kDigits[byte & 15U];
  }
}

bool KeyTemplate::append(const Path& path, const Message& request, std::string& out) const {
  const Message* in = &request;
  for (std::size_t i = 0; i + 1 < path.size(); ++i) {
    if (!in->GetReflection()->HasField(*in, path[i])) return false;
    in = &in->GetReflection()->GetMessage(*in, path[i]);
  }
  const google::protobuf::Reflection& of = *in->GetReflection();
  const FieldDescriptor* const field = path.back();
  switch (field->cpp_type()) {
    case FieldDescriptor::CPPTYPE_INT32: out += std::to_string(of.GetInt32(*in, field)); return true;
    case FieldDescriptor::CPPTYPE_INT64: out += std::to_string(of.GetInt64(*in, field)); return true;
    case FieldDescriptor::CPPTYPE_UINT32: out += std::to_string(of.GetUInt32(*in, field)); return true;
    case FieldDescriptor::CPPTYPE_UINT64: out += std::to_string(of.GetUInt64(*in, field)); return true;
    case FieldDescriptor::CPPTYPE_BOOL: out += of.GetBool(*in, field) ? "1" : "0"; return true;
    case FieldDescriptor::CPPTYPE_ENUM: out += std::to_string(of.GetEnumValue(*in, field)); return true;
    default: {  // a string or bytes: resolve() accepts no other type
      std::string scratch;
      const std::string& text = of.GetStringReference(*in, field, &scratch);
      escape(text, out);
      return !text.empty();
    }
  }
}

bool KeyTemplate::key(const Message& request, std::string& out, std::string& error) const {
  out.clear();
  for (const Piece& piece : pieces_) {
    if (piece.path.empty()) {
      out += piece.text;
    } else if (!append(piece.path, request, out)) {
      error = "the field '" + piece.text + "' is needed for the key but is empty";
      return false;
    }
  }
  return true;
}

}  // namespace streampick::rpc
