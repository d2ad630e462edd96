// Fuzzes the RESP decoder: it must neither crash nor exceed its limits on any input, and must read the same
// values whether it gets the input at once or byte by byte. Built with libFuzzer (STREAMPICK_FUZZ, clang) or
// with `main` below, which generates cases from a fixed seed; the tests run the latter.
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <string_view>
#include <vector>

#include "cases.h"
#include "resp/conversation.h"
#include "resp/decode.h"
#include "resp/encode.h"
#include "resp/pipeline.h"

namespace {

using namespace streampick::resp;

void require(bool holds, const char* what) {
  if (holds) return;
  std::fprintf(stderr, "resp_decode: %s\n", what);
  std::abort();
}

struct Read {
  std::vector<std::string> values;
  std::string error;
  std::uint64_t pushes = 0;
  friend bool operator==(const Read&, const Read&) = default;
};

Read read_all(std::string_view bytes, std::size_t step, const Limits& limits) {
  Decoder decoder(limits);
  Read out;
  while (!bytes.empty() && !decoder.failed()) {
    std::string_view part = bytes.substr(0, step);
    bytes.remove_prefix(part.size());
    while (!part.empty() && !decoder.failed()) {
      const std::size_t used = decoder.put(part);
      require(used <= part.size(), "consumed more bytes than given");
      require(used > 0 || decoder.done() || decoder.failed(), "no progress");
      part.remove_prefix(used);
      if (!decoder.done()) continue;
      std::string again;
      encode(decoder.take(), Version::resp3, again);
      require(again.size() <= limits.bytes * 2 + limits.items * 32 + 1024, "a value exceeds the limits");
      out.values.push_back(std::move(again));
    }
  }
  out.error = decoder.error();
  out.pushes = decoder.pushes();
  return out;
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  Limits limits;
  limits.blob = 512;
  limits.bytes = 1024;
  limits.items = 64;
  limits.line = 128;
  limits.depth = 4;
  for (const bool commands : {false, true}) {
    limits.inline_commands = limits.commands_only = commands;
    require(read_all(bytes, bytes.size() + 1, limits) == read_all(bytes, 1, limits),
            "splitting the input changed the result");
  }
  // A value must stay the same when it is encoded and decoded again.
  limits.inline_commands = limits.commands_only = false;
  for (const std::string& value : read_all(bytes, bytes.size() + 1, limits).values) {
    const Read again = read_all(value, value.size(), Limits{});
    require(again.values.size() == 1 && again.values.front() == value, "a round trip changed a value");
  }
  // The input as a client's bytes to a conversation, and as a server's bytes to a pipeline with pending
  // attempts.
  FrontRules rules;
  Conversation talk(rules, 1);
  talk.put(bytes);
  for (const Ask& ask : talk.take_asks()) talk.answered(ask.tag, {});
  talk.take_output();
  talk.written();
  ServerRules servers;
  Pipeline pipe(servers, true);
  pipe.written(pipe.output().size());
  pipe.put("%0\r\n");
  for (std::uint64_t i = 1; i <= 3; ++i) {
    pipe.send({i, 0}, streampick::engine::Message{}, 1'000'000);
    pipe.written(pipe.output().size());
  }
  pipe.put(bytes);
  pipe.end();
  require(pipe.take_ended().size() == 3, "an attempt has no outcome or more than one");
  return 0;
}

#ifndef STREAMPICK_LIBFUZZER
int main(int argc, char** argv) {
  streampick::fuzz::Draw next;
  // Parts of the grammar, so that a large share of the generated inputs is valid.
  const std::vector<std::string> pieces = {"*1\r\n",
                                           "*2\r\n",
                                           "*3\r\n",
                                           "*0\r\n",
                                           "*-1\r\n",
                                           "*?\r\n",
                                           "%1\r\n",
                                           "~1\r\n",
                                           ">1\r\n",
                                           "|1\r\n",
                                           ".\r\n",
                                           "_\r\n",
                                           "#t\r\n",
                                           ":1\r\n",
                                           ":-7\r\n",
                                           ",1.5\r\n",
                                           ",inf\r\n",
                                           "+OK\r\n",
                                           "-ERR\r\n",
                                           "$3\r\nGET\r\n",
                                           "$1\r\nk\r\n",
                                           "$0\r\n\r\n",
                                           "$-1\r\n",
                                           "$?\r\n",
                                           ";2\r\nab\r\n",
                                           ";0\r\n",
                                           "!3\r\nERR\r\n",
                                           "=5\r\ntxt:a\r\n",
                                           "(12345678901234567890\r\n",
                                           "$3\r\nSET\r\n",
                                           "PING\r\n",
                                           "$5\r\nHELLO\r\n",
                                           "\r\n",
                                           "\r",
                                           "\n",
                                           "$",
                                           "*",
                                           "9",
                                           "-",
                                           "$536870912\r\n",
                                           "GET \"a\r\n"};
  streampick::fuzz::each_case(argc, argv, [&]([[maybe_unused]] long i) {
    std::string bytes;
    for (std::uint64_t n = next() % 24; n > 0; --n) bytes += pieces[next() % pieces.size()];
    next.spoil(bytes, 3);
    LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
  });
  return 0;
}
#endif
