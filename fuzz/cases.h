// Generates the cases of the fuzz targets when they run without libFuzzer. The cases are the same in every
// run.
#pragma once

#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <string>

namespace streampick::fuzz {

class Draw {
 public:
  std::uint64_t operator()() {
    state_ = state_ * 6364136223846793005U + 1442695040888963407U;
    return state_ >> 33U;
  }
  // Overwrites up to `most` bytes with random values.
  void spoil(std::string& bytes, std::uint64_t most) {
    for (std::uint64_t n = (*this)() % (most + 1); n > 0 && !bytes.empty(); --n)
      bytes[(*this)() % bytes.size()] = static_cast<char>((*this)());
  }

 private:
  std::uint64_t state_ = 20261201;
};

// Calls `one` for each case; the command line gives the number of cases, 20,000 by default.
template <typename One>
long each_case(int argc, char** argv, One one) {
  const long cases = argc > 1 ? std::atol(argv[1]) : 20'000;
  for (long i = 0; i < cases; ++i) one(i);
  std::printf("%ld cases\n", cases);
  return cases;
}

}  // namespace streampick::fuzz
