// Which servers there are: lists and changes of them, from whatever source.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "streampick/router.h"

namespace streampick::node {

struct Listed {
  std::string id;
  std::string address;  // "host:port", known to be readable
  Member member;        // its id is the engine's to fill in
};
struct MemberList {
  std::uint64_t revision = 0;
  bool complete = false;
  std::vector<Listed> members;
};

class ListReader {
 public:
  virtual ~ListReader() = default;
  virtual void list_came(const MemberList& list) = 0;
  virtual void list_failed() = 0;  // the source ended, or could not be had; the old list holds
};

class Roster {
 public:
  virtual ~Roster() = default;
  virtual void watch() = 0;
};

}  // namespace streampick::node
