#include "http1/request_validation.h"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <utility>

#include "http1/client_limits.h"

namespace streampick::http1 {
namespace {

constexpr std::size_t kTransactionIdDigits = 16;
// Cost hints of at least this, in microseconds, are ignored.
constexpr double kMaxCostHint = 1e12;

std::optional<std::uint64_t> parse_hex(std::string_view text) {
  std::uint64_t value = 0;
  const char* const end = text.data() + text.size();
  const auto [parsed_end, error] = std::from_chars(text.data(), end, value, 16);
  if (text.size() != kTransactionIdDigits || error != std::errc{} || parsed_end != end) {
    return std::nullopt;
  }
  return value;
}

bool is_host_character(char character) {
  constexpr std::string_view kPunctuation = "-._~%!$&'()*+,;=:[]";
  const bool is_digit = character >= '0' && character <= '9';
  const bool is_lower = character >= 'a' && character <= 'z';
  const bool is_upper = character >= 'A' && character <= 'Z';
  return is_digit || is_lower || is_upper || kPunctuation.find(character) != std::string_view::npos;
}

// RFC 9112, section 3.2: an HTTP/1.1 request has exactly one Host, which may be empty. With two, or with
// none, two HTTP implementations could route the request to two different servers.
bool has_valid_host(const RequestHead& head) {
  if (head.host.count == 0) {
    return head.version < 11;
  }
  return head.host.count == 1 &&
         std::all_of(head.host.value.begin(), head.host.value.end(), is_host_character);
}

// Whether a header that may occur only once is repeated, as a header or as a trailer.
bool repeats_header(const RequestHead& head) {
  return std::max({head.transaction_id.count, head.lane.count, head.remaining.count, head.org.count,
                   head.estimate.count, head.idempotency_key.count}) > 1;
}

// The parts of a path that the router uses: the request class, and the key, which is the last segment.
struct PathParts {
  std::string_view request_class;
  std::string_view key;
};

PathParts split_path(std::string_view path) {
  const bool has_key = path.find('/', 1) != std::string_view::npos;
  return {.request_class = first_segment(path), .key = has_key ? path.substr(path.rfind('/') + 1) : ""};
}

std::optional<RequestError> check_class(const RequestHead& head, std::string_view class_in_path,
                                        std::uint32_t request_class, const Names& names) {
  const std::string_view lane = head.lane.value;
  if (lane.empty()) {
    return request_class == kNone ? RequestError::unknown_path : RequestError::missing_class;
  }
  if (index_of(names.classes, lane) == kNone) {
    return RequestError::unknown_class;
  }
  if (request_class == kNone) {
    return RequestError::unknown_path;
  }
  if (class_in_path != lane) {
    return RequestError::class_mismatch;
  }
  return std::nullopt;
}

std::optional<RequestError> check_method(const RequestHead& head, std::uint32_t request_class,
                                         const Names& names) {
  const bool is_write = head.method == http::verb::put;
  if (!is_write && head.method != http::verb::get) {
    return RequestError::method_not_allowed;
  }
  // Without an idempotency key a repeated write could not be told from a new one.
  if (is_write && names.keyed.at(request_class) && head.idempotency_key.value.empty()) {
    return RequestError::missing_idempotency_key;
  }
  if (repeats_header(head)) {
    return RequestError::repeated_header;
  }
  return std::nullopt;
}

void fill_message(engine::Message& message, const RequestHead& head, std::string_view target,
                  std::string_view key, std::string& body) {
  const bool is_write = head.method == http::verb::put;
  message.operation = is_write ? engine::Operation::write : engine::Operation::read;
  message.target = target;
  message.key = key;
  message.transaction_id = head.transaction_id.value;
  message.idempotency_key = head.idempotency_key.value;
  message.content_type = head.content_type.value;
  message.body = std::move(body);
  message.accepts_streaming = true;
}

// The cost hint in microseconds; 0 if it is absent or invalid, as hints are optional.
Time cost_hint(std::string_view text) {
  const auto hint = to_number(text);
  return hint && *hint > 0 && *hint < kMaxCostHint ? static_cast<Time>(*hint) : 0;
}

}  // namespace

std::string_view origin_form(std::string_view target) {
  constexpr std::string_view kScheme = "http://";
  const bool is_absolute =
      target.size() > kScheme.size() && beast::iequals(target.substr(0, kScheme.size()), kScheme);
  if (!is_absolute) {
    return target;
  }
  const std::size_t path = target.find_first_of("/?", kScheme.size());
  if (path == kScheme.size()) {
    return target;  // no host
  }
  if (path == std::string_view::npos) {
    return "/";
  }
  return target[path] == '/' ? target.substr(path) : target;
}

std::string_view first_segment(std::string_view path) {
  const std::size_t slash = path.find('/', 1);
  return path.substr(1, slash == std::string_view::npos ? slash : slash - 1);
}

std::optional<Time> parse_remaining(std::string_view text) {
  if (text.empty() || text.find_first_not_of("0123456789.") != std::string_view::npos) {
    return std::nullopt;
  }
  const auto seconds = to_number(text);
  if (!seconds) {
    return std::nullopt;
  }
  const double microseconds = *seconds * static_cast<double>(kSecond);
  if (!(microseconds <= static_cast<double>(kMaxRemaining))) {
    return std::nullopt;
  }
  return static_cast<Time>(microseconds);
}

std::variant<engine::IncomingRequest, RequestError> validate_request(const RequestHead& head,
                                                                     std::string& body, const Names& names,
                                                                     engine::MessagePool& messages) {
  if (!has_valid_host(head)) {
    return RequestError::invalid_host;
  }
  const std::string_view target = origin_form(head.target);
  const std::string_view path = target.substr(0, target.find('?'));
  if (path.empty() || path.front() != '/') {
    return RequestError::unknown_path;
  }
  const PathParts parts = split_path(path);

  engine::IncomingRequest request;
  request.request_class = index_of(names.classes, parts.request_class);
  if (const auto error = check_class(head, parts.request_class, request.request_class, names)) {
    return *error;
  }
  if (const auto error = check_method(head, request.request_class, names)) {
    return *error;
  }
  const auto transaction_id = parse_hex(head.transaction_id.value);
  if (!transaction_id) {
    return RequestError::invalid_transaction_id;
  }
  const auto remaining = parse_remaining(head.remaining.value);
  if (!remaining) {
    return RequestError::invalid_remaining;
  }

  request.transaction_id = *transaction_id;
  request.remaining = *remaining;
  request.has_key = !parts.key.empty();
  if (request.has_key) {
    request.key = parse_hex(parts.key).value_or(hash_name(parts.key));
  }
  request.tenant = index_of(names.tenants, head.org.value);
  request.cost_hint = cost_hint(head.estimate.value);
  request.message = messages.acquire();
  fill_message(*request.message, head, target, parts.key, body);
  return request;
}

}  // namespace streampick::http1
