/// \file
/// Validates a parsed request head and makes the engine's request from it, or returns the first error. No
/// I/O.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "engine/downstream.h"
#include "engine/message_pool.h"
#include "http1/reader.h"
#include "http1/request_error.h"
#include "settings/settings.h"

namespace streampick::http1 {

/// The path and query of a request target: of the absolute form http://host/path, the part that begins with
/// the path. Any other form is returned unchanged.
std::string_view origin_form(std::string_view target);

/// The first segment of a path, which names the request class. `path` begins with a slash.
std::string_view first_segment(std::string_view path);

/// Parses X-Remaining: seconds with decimals, at most kMaxRemaining, without a sign or exponent. Returns
/// microseconds.
std::optional<Time> parse_remaining(std::string_view text);

/// Checks the head of a request whose body is complete or still follows. Where a request has several errors,
/// the first check that fails decides which one is reported. Moves `body` into the message only if the
/// request is valid.
std::variant<engine::IncomingRequest, RequestError> validate_request(const RequestHead& head,
                                                                     std::string& body, const Names& names,
                                                                     engine::MessagePool& messages);

}  // namespace streampick::http1
