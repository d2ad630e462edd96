// The header-only libraries' own code, compiled once.
#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
