/// \file
/// Classifies errors of socket calls: transient ones, and ones that concern a single connection only.
#pragma once

#include <boost/system/error_code.hpp>

namespace streampick::net {

/// Whether descriptors, buffers or memory ran out: closing a connection may free what is missing.
[[nodiscard]] bool is_resource_exhausted(const boost::system::error_code& error);

/// Whether the same call may succeed a moment later. All other errors, such as an address in use or a missing
/// permission, need an operator to change something.
[[nodiscard]] bool is_transient(const boost::system::error_code& error);

/// Whether accept() failed for a reason that the next connection in the queue does not share: it was
/// interrupted, or this connection had failed already. Linux reports such pending network errors by
/// accept(2).
[[nodiscard]] bool is_connection_specific(const boost::system::error_code& error);

}  // namespace streampick::net
