#include "net/socket_errors.h"

#include <cerrno>

namespace streampick::net {

namespace {
bool is_system_error(const boost::system::error_code& error) {
  return error.category() == boost::system::system_category();
}
}  // namespace

bool is_resource_exhausted(const boost::system::error_code& error) {
  switch (error.value()) {
    case EMFILE:
    case ENFILE:
    case ENOBUFS:
    case ENOMEM:
    case ENOSPC: return is_system_error(error);
    default: return false;
  }
}

bool is_transient(const boost::system::error_code& error) {
  const bool is_momentary = error.value() == EAGAIN || error.value() == EINTR;
  return is_resource_exhausted(error) || (is_momentary && is_system_error(error));
}

bool is_connection_specific(const boost::system::error_code& error) {
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
    case EPROTO: return is_system_error(error);
    default: return false;
  }
}

}  // namespace streampick::net
