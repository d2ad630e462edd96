// One table of the operator's options file (TOML), read by the subsystem that it belongs to. An invalid value
// or an unknown key is an Error with a message of one line that names the file, the line and the key.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace streampick::options {

class Error : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

class Table {
 public:
  // Parses the text of a whole file; `file` is its name, for error messages. Throws Error when the text is
  // not TOML.
  static Table parse(const std::string& text, const std::string& file);

  Table(Table&&) noexcept;
  ~Table();

  // Reads an integer from `least` to `most` and multiplies it by `unit`. This and the functions below leave
  // `out` unchanged when the file does not contain the key.
  template <typename Integer>
  void integer(std::string_view key, Integer& out, std::int64_t least, std::int64_t most,
               std::int64_t unit = 1) {
    if (const auto value = integer(key, least, most)) out = static_cast<Integer>(*value * unit);
  }
  // Reads an integer or a floating-point number from `least` to `most`.
  void number(std::string_view key, double& out, double least, double most);
  void boolean(std::string_view key, bool& out);
  // Reads a string of at most `most` bytes. Returns whether the file contains the key.
  bool string(std::string_view key, std::string& out, std::size_t most = 256);
  void strings(std::string_view key, std::vector<std::string>& out);
  std::optional<Table> table(std::string_view key);
  std::vector<Table> tables(std::string_view key);
  // Throws for a key that no function has read: an operator would believe that it has an effect.
  void reject_unknown_keys() const;
  // Throws an Error about the key, or about the table itself when the key is empty.
  [[noreturn]] void reject(std::string_view key, const std::string& why) const;

 private:
  struct Impl;
  explicit Table(std::unique_ptr<Impl> impl);
  std::optional<std::int64_t> integer(std::string_view key, std::int64_t least, std::int64_t most);
  std::unique_ptr<Impl> impl_;
};

}  // namespace streampick::options
