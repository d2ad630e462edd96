/// \file
/// From a parsed request head to the engine's request, or to the error that is wrong with it. No I/O.
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

/// The path and query of a request target: of the absolute form http://host/path, all from the path on. Any
/// other form is returned as it is.
std::string_view origin_form(std::string_view target);

/// The first segment of a path, which names the request class. `path` begins with a slash.
std::string_view first_segment(std::string_view path);

/// X-Remaining: seconds with decimals, at most kMaxRemaining; no sign and no exponent.
std::optional<Time> parse_remaining(std::string_view text);

/// Checks the head of a complete request, or of one whose body follows, in the order in which errors are
/// reported. Moves `body` into the message only if the request is valid.
std::variant<engine::IncomingRequest, RequestError> validate_request(const RequestHead& head,
                                                                     std::string& body, const Names& names,
                                                                     engine::MessagePool& messages);

}  // namespace streampick::http1
