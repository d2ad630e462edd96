// Compiles the implementation of Boost.Asio and Boost.Beast once, instead of in every including file.
#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
