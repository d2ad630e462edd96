/// Digests of a module's observable results: proof that a change of its code changed none of its decisions.
#pragma once

#include <gtest/gtest.h>

#include <array>
#include <cstdint>
#include <cstdio>
#include <string>
#include <string_view>
#include <type_traits>

namespace streampick::test {

/// Collects results as lines of text and hashes them with 64-bit FNV-1a. The text is kept for the message of
/// a failed comparison. Equal on every platform with IEEE 754 doubles: numbers are written in full.
class Digest {
 public:
  /// Appends one line: the values, separated by spaces. Doubles are written with all their digits.
  template <typename... Values>
  void add(std::string_view name, const Values&... values) {
    text_ += name;
    (append(values), ...);
    text_ += '\n';
  }

  const std::string& text() const { return text_; }
  std::string hash() const {
    constexpr std::uint64_t kOffsetBasis = 0xcbf29ce484222325U;
    constexpr std::uint64_t kPrime = 0x100000001b3U;
    std::uint64_t hash = kOffsetBasis;
    for (const char byte : text_) {
      hash ^= static_cast<unsigned char>(byte);
      hash *= kPrime;
    }
    std::array<char, 17> hex{};
    std::snprintf(hex.data(), hex.size(), "%016llx", static_cast<unsigned long long>(hash));
    return hex.data();
  }

 private:
  template <typename Value>
  void append(const Value& value) {
    text_ += ' ';
    if constexpr (std::is_floating_point_v<Value>) {
      std::array<char, 32> digits{};
      std::snprintf(digits.data(), digits.size(), "%.17g", static_cast<double>(value));
      text_ += digits.data();
    } else if constexpr (std::is_arithmetic_v<Value>) {
      text_ += std::to_string(value);
    } else {
      text_ += value;
    }
  }

  std::string text_;
};

/// Compares the digest with the hash that was recorded before the code changed; prints all results otherwise.
inline ::testing::AssertionResult has_hash(const Digest& digest, const std::string& recorded) {
  if (digest.hash() == recorded) return ::testing::AssertionSuccess();
  return ::testing::AssertionFailure()
         << "digest " << digest.hash() << ", recorded " << recorded << "; the results were:\n"
         << digest.text();
}

}  // namespace streampick::test
