// Measures the throughput of the decoder and the encoder, and for comparison of a copy of the same bytes and
// of the reader of hiredis.
//   bench_resp_codec --benchmark_min_time=1
#include <benchmark/benchmark.h>
#include <hiredis/hiredis.h>

#include <cstring>
#include <string>
#include <vector>

#include "resp/decode.h"
#include "resp/encode.h"

namespace {

using namespace streampick::resp;

// About 256 KB of replies to GET with values of `size` bytes.
std::string replies(std::size_t size) {
  std::string out;
  while (out.size() < 256 * 1024) encode(Value::blob(std::string(size, 'x')), Version::resp2, out);
  return out;
}

void copy(benchmark::State& state) {
  const std::string bytes = replies(static_cast<std::size_t>(state.range(0)));
  std::string to(bytes.size(), '\0');
  for (auto _ : state) {
    std::memcpy(to.data(), bytes.data(), bytes.size());
    benchmark::DoNotOptimize(to.data());
    benchmark::ClobberMemory();
  }
  state.SetBytesProcessed(static_cast<std::int64_t>(state.iterations() * bytes.size()));
}

void decode(benchmark::State& state) {
  const std::string bytes = replies(static_cast<std::size_t>(state.range(0)));
  Decoder decoder;
  for (auto _ : state) {
    std::string_view rest = bytes;
    while (!rest.empty()) {
      rest.remove_prefix(decoder.put(rest));
      if (decoder.done()) benchmark::DoNotOptimize(decoder.take());
    }
  }
  state.SetBytesProcessed(static_cast<std::int64_t>(state.iterations() * bytes.size()));
}

void hiredis(benchmark::State& state) {
  const std::string bytes = replies(static_cast<std::size_t>(state.range(0)));
  redisReader* reader = redisReaderCreate();
  for (auto _ : state) {
    // Feeds 16 KB at a time, as the reads of hiredis do.
    for (std::size_t at = 0; at < bytes.size(); at += 16 * 1024) {
      redisReaderFeed(reader, bytes.data() + at, std::min<std::size_t>(16 * 1024, bytes.size() - at));
      for (void* reply = nullptr;;) {
        redisReaderGetReply(reader, &reply);
        if (reply == nullptr) break;
        freeReplyObject(reply);
      }
    }
  }
  redisReaderFree(reader);
  state.SetBytesProcessed(static_cast<std::int64_t>(state.iterations() * bytes.size()));
}

void encode_replies(benchmark::State& state) {
  const Value value = Value::blob(std::string(static_cast<std::size_t>(state.range(0)), 'x'));
  std::string out;
  std::int64_t bytes = 0;
  for (auto _ : state) {
    out.clear();
    for (int i = 0; i < 64; ++i) encode(value, Version::resp3, out);
    benchmark::DoNotOptimize(out.data());
    bytes += static_cast<std::int64_t>(out.size());
  }
  state.SetBytesProcessed(bytes);
}

BENCHMARK(copy)->Arg(16)->Arg(1024)->Arg(16384);
BENCHMARK(decode)->Arg(16)->Arg(1024)->Arg(16384);
BENCHMARK(hiredis)->Arg(16)->Arg(1024)->Arg(16384);
BENCHMARK(encode_replies)->Arg(16)->Arg(1024)->Arg(16384);

}  // namespace

BENCHMARK_MAIN();
