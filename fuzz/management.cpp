// Fuzzes the input of operators and of the previous process: a command line split at any place, and the file
// of overrides. Each must parse to the same result however it is split and stay within its size limits, or be
// rejected with a message of one line.
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <stdexcept>
#include <string>
#include <vector>

#include "cases.h"
#include "control/admin_overrides.h"
#include "management/command.h"

using namespace streampick;

namespace {

void require(bool condition) {
  if (!condition) std::abort();
}

void check_line(std::string_view bytes) {
  using State = management::LineReader::State;
  management::LineReader whole, pieces;
  State expected = whole.append(bytes), state = State::incomplete;
  const std::size_t step = 1 + (bytes.empty() ? 0 : static_cast<unsigned char>(bytes[0]) % 7);
  for (std::size_t at = 0; at < bytes.size() && state == State::incomplete; at += step)
    state = pieces.append(bytes.substr(at, step));
  require(state == expected);
  if (expected == State::incomplete) {
    expected = whole.finish();
    require(pieces.finish() == expected);
  }
  require(whole.line().size() <= management::LineReader::kMaxSize + 2);
  if (expected != State::complete) return;
  require(whole.line() == pieces.line());
  const auto parsed = management::parse_command(whole.line());
  if (const auto* error = std::get_if<management::ParseError>(&parsed))
    require(!error->message.empty() && error->message.find('\n') == std::string::npos);
}

void check_overrides(const std::string& text) {
  try {
    const auto overrides = control::AdminOverrides::parse(text);
    require(overrides.endpoints().size() <= control::AdminOverrides::kMaxEndpoints);
    require(control::AdminOverrides::parse(overrides.serialize()) == overrides);
  } catch (const std::runtime_error& error) {
    require(std::string_view(error.what()).find('\n') == std::string_view::npos);
  }
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string bytes(reinterpret_cast<const char*>(data), size);
  check_line(bytes);
  check_overrides(bytes);
  return 0;
}

#ifndef STREAMPICK_LIBFUZZER
int main(int argc, char** argv) {
  fuzz::Draw next;
  const std::vector<std::string> pieces = {"HEALTH", "DUMP", "OFFLINE ", "ONLINE", " s-1", "\r\n",
                                           "\n",     "\r",   "\t",       "LEAVE",  "JOIN", "x"};
  control::AdminOverrides sample;
  sample.disable("s-1", 1);
  sample.disable("s-2", 2);
  sample.enable("s-2", 3);
  fuzz::each_case(argc, argv, [&](long i) {
    std::string bytes;
    if (i % 2 == 0) {
      for (std::uint64_t n = next() % 12; n > 0; --n) bytes += pieces[next() % pieces.size()];
      if (next() % 50 == 0) bytes.insert(0, std::string(next() % 1'200, 'x'));
    } else {
      bytes = sample.serialize();
      if (next() % 4 == 0) bytes.resize(next() % bytes.size());
    }
    next.spoil(bytes, 3);
    LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
  });
  return 0;
}
#endif
