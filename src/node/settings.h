// What the platform tells this router, read once at the start.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "../settings.h"

namespace streampick::node {

// One entry of discovery's list.
struct Listed {
  std::string id;
  boost::asio::ip::tcp::endpoint address;
  Member member;  // its id is the host's to fill in
};
struct MemberList {
  std::uint64_t revision = 0;
  bool complete = false;
  std::vector<Listed> members;
};

struct NodeSettings {
  Settings settings;
  std::string name;
  boost::asio::ip::tcp::endpoint listen, discovery;
  std::size_t sockets = 0;  // file descriptors this process may hold
  std::size_t memory_mb = 0;
  MemberList known;
};

// Both throw std::runtime_error with one line that says what is wrong.
NodeSettings load_settings(const std::string& path);
NodeSettings parse_settings(const std::string& json);

// Throws std::runtime_error.
MemberList parse_members(const nlohmann::json& json, const Names& names);
MemberList parse_members(const std::string& json, const Names& names);

}  // namespace streampick::node
