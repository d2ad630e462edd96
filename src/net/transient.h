/// Which failures of a system call may pass by themselves.
#pragma once

#include <boost/system/error_code.hpp>
#include <cerrno>

namespace streampick::net {

/// Whether descriptors, buffers or memory ran out: an ended connection may free what is missing.
inline bool is_shortage(const boost::system::error_code& error) {
  switch (error.value()) {
    case EMFILE:
    case ENFILE:
    case ENOBUFS:
    case ENOMEM:
    case ENOSPC: return error.category() == boost::system::system_category();
    default: return false;
  }
}

/// Whether the same call may succeed a moment later. All else, such as an address in use or a missing
/// permission, needs somebody to change something.
inline bool is_transient(const boost::system::error_code& error) {
  const bool is_momentary = error.value() == EAGAIN || error.value() == EINTR;
  return is_shortage(error) || (is_momentary && error.category() == boost::system::system_category());
}

/// Whether accept() failed for a reason that the next connection in the queue does not share: it was
/// interrupted, or this connection had failed already. accept(2) passes such network errors on.
inline bool is_of_one_connection(const boost::system::error_code& error) {
  if (error.category() != boost::system::system_category()) return false;
  switch (error.value()) {
    case ECONNABORTED:
    case EHOSTDOWN:
    case EINTR:
    case EHOSTUNREACH:
    case ENETDOWN:
    case ENETUNREACH:
    case ENONET:
    case ENOPROTOOPT:
    case EOPNOTSUPP:
    case EPERM:
    case EPROTO: return true;
    default: return false;
  }
}

}  // namespace streampick::net
