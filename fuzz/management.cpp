// What operators and the process before us may say: a line in any pieces, and the file of overrides. Either
// is read the same in one piece and in many, within its bounds, or turned down in one line of words.
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <stdexcept>
#include <string>
#include <vector>

#include "cases.h"
#include "control/overrides.h"
#include "management/line.h"

using namespace streampick;

namespace {

void require(bool holds) {
  if (!holds) std::abort();
}

void read_line(std::string_view bytes) {
  using State = management::LineReader::State;
  management::LineReader whole, pieces;
  State at_once = whole.put(bytes), state = State::open;
  const std::size_t step = 1 + (bytes.empty() ? 0 : static_cast<unsigned char>(bytes[0]) % 7);
  for (std::size_t at = 0; at < bytes.size() && state == State::open; at += step)
    state = pieces.put(bytes.substr(at, step));
  require(state == at_once);
  if (at_once == State::open) {
    at_once = whole.end();
    require(pieces.end() == at_once);
  }
  require(whole.line().size() <= management::LineReader::kLongest + 2);
  if (at_once != State::whole) return;
  require(whole.line() == pieces.line());
  const auto read = management::parse_call(whole.line());
  if (const auto* mistake = std::get_if<management::Mistake>(&read))
    require(!mistake->why.empty() && mistake->why.find('\n') == std::string::npos);
}

void read_overrides(const std::string& text) {
  try {
    const auto read = control::Overrides::parse(text);
    require(read.servers().size() <= control::Overrides::kMostServers);
    require(control::Overrides::parse(read.text()) == read);
  } catch (const std::runtime_error& error) {
    require(std::string_view(error.what()).find('\n') == std::string_view::npos);
  }
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string bytes(reinterpret_cast<const char*>(data), size);
  read_line(bytes);
  read_overrides(bytes);
  return 0;
}

#ifndef STREAMPICK_LIBFUZZER
int main(int argc, char** argv) {
  fuzz::Draw next;
  const std::vector<std::string> pieces = {"HEALTH", "DUMP", "OFFLINE ", "ONLINE", " s-1", "\r\n",
                                           "\n",     "\r",   "\t",       "LEAVE",  "JOIN", "x"};
  control::Overrides sample;
  sample.leave_out("s-1", 1);
  sample.leave_out("s-2", 2);
  sample.call_back("s-2", 3);
  fuzz::each_case(argc, argv, [&](long i) {
    std::string bytes;
    if (i % 2 == 0) {
      for (std::uint64_t n = next() % 12; n > 0; --n) bytes += pieces[next() % pieces.size()];
      if (next() % 50 == 0) bytes.insert(0, std::string(next() % 1'200, 'x'));
    } else {
      bytes = sample.text();
      if (next() % 4 == 0) bytes.resize(next() % bytes.size());
    }
    next.spoil(bytes, 3);
    LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
  });
  return 0;
}
#endif
