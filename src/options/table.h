// One table of the operator's options file (TOML), read by the subsystem that it belongs to. Every mistake is
// an Error of one line that names the file, the line and the key; so is a key that nobody asked for.
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
  // The whole of a file's text; `file` is its name, for mistakes. Throws Error when it is no TOML.
  static Table parse(const std::string& text, const std::string& file);

  Table(Table&&) noexcept;
  ~Table();

  // A whole number of `least` to `most`, times `unit`. What the file does not name stays as it was.
  template <typename Integer>
  void integer(std::string_view key, Integer& out, std::int64_t least, std::int64_t most,
               std::int64_t unit = 1) {
    if (const auto value = whole(key, least, most)) out = static_cast<Integer>(*value * unit);
  }
  // A number, with decimals or without, of `least` to `most`.
  void number(std::string_view key, double& out, double least, double most);
  void yes(std::string_view key, bool& out);
  // Returns whether the file names it.
  bool text(std::string_view key, std::string& out, std::size_t most = 256);
  void texts(std::string_view key, std::vector<std::string>& out);
  std::optional<Table> table(std::string_view key);
  std::vector<Table> tables(std::string_view key);
  // A key that nothing reads would be taken for set when it is not.
  void no_others() const;
  // Throws the mistake; an empty key: of the table itself.
  [[noreturn]] void wrong(std::string_view key, const std::string& why) const;

 private:
  struct Impl;
  explicit Table(std::unique_ptr<Impl> impl);
  std::optional<std::int64_t> whole(std::string_view key, std::int64_t least, std::int64_t most);
  std::unique_ptr<Impl> impl_;
};

}  // namespace streampick::options
