#include "options/table.h"

#define TOML_HEADER_ONLY 1
#define TOML_ENABLE_FORMATTERS 0
#include <toml++/toml.h>

#include <algorithm>
#include <charconv>
#include <set>

namespace streampick::options {
namespace {

std::string one_line(std::string text) {
  std::replace(text.begin(), text.end(), '\n', ' ');
  return text;
}

std::string to_text(double value) {
  char out[32];
  return {out, std::to_chars(out, out + sizeof out, value).ptr};
}

}  // namespace

struct Table::Impl {
  std::shared_ptr<const toml::table> root;  // keeps `table` alive
  const toml::table* table = nullptr;
  std::string path, file;
  std::set<std::string> read_keys;

  const toml::node* find(std::string_view key) {
    read_keys.emplace(key);
    return table->get(key);
  }
  std::unique_ptr<Impl> inner(const toml::table& child, std::string child_path) const {
    return std::make_unique<Impl>(Impl{root, &child, std::move(child_path), file, {}});
  }
};

Table::Table(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}
Table::Table(Table&&) noexcept = default;
Table::~Table() = default;

Table Table::parse(const std::string& text, const std::string& file) {
  try {
    auto root = std::make_shared<const toml::table>(toml::parse(std::string_view(text)));
    const toml::table& table = *root;
    return Table(std::make_unique<Impl>(Impl{std::move(root), &table, "", file, {}}));
  } catch (const toml::parse_error& error) {
    throw Error(file + ":" + std::to_string(error.source().begin.line) + ": " +
                one_line(std::string(error.description())));
  }
}

void Table::reject(std::string_view key, const std::string& why) const {
  const toml::node* node = key.empty() ? nullptr : impl_->table->get(key);
  const auto line = node != nullptr ? node->source().begin.line : impl_->table->source().begin.line;
  std::string full_path = impl_->path;
  if (!key.empty()) full_path += (full_path.empty() ? "" : ".") + std::string(key);
  throw Error(impl_->file + ":" + std::to_string(line) + ": " + full_path + ": " + why);
}

std::optional<std::int64_t> Table::integer(std::string_view key, std::int64_t least, std::int64_t most) {
  const toml::node* node = impl_->find(key);
  if (node == nullptr) return std::nullopt;
  const auto value = node->value_exact<std::int64_t>();
  if (!value || *value < least || *value > most)
    reject(key, "expected a whole number from " + std::to_string(least) + " to " + std::to_string(most));
  return value;
}

void Table::number(std::string_view key, double& out, double least, double most) {
  const toml::node* node = impl_->find(key);
  if (node == nullptr) return;
  const auto value = node->value<double>();
  if (!node->is_number() || !value || !(*value >= least && *value <= most))
    reject(key, "expected a number from " + to_text(least) + " to " + to_text(most));
  out = *value;
}

void Table::boolean(std::string_view key, bool& out) {
  const toml::node* node = impl_->find(key);
  if (node == nullptr) return;
  const auto value = node->value_exact<bool>();
  if (!value) reject(key, "expected true or false");
  out = *value;
}

bool Table::string(std::string_view key, std::string& out, std::size_t most) {
  const toml::node* node = impl_->find(key);
  if (node == nullptr) return false;
  const auto value = node->value_exact<std::string>();
  if (!value || value->size() > most)
    reject(key, "expected a text of at most " + std::to_string(most) + " bytes");
  out = *value;
  return true;
}

void Table::strings(std::string_view key, std::vector<std::string>& out) {
  const toml::node* node = impl_->find(key);
  if (node == nullptr) return;
  const toml::array* all = node->as_array();
  if (all == nullptr) reject(key, "expected a list of texts");
  for (const toml::node& item : *all) {
    const auto value = item.value_exact<std::string>();
    if (!value) reject(key, "expected a list of texts");
    out.push_back(*value);
  }
}

std::optional<Table> Table::table(std::string_view key) {
  const toml::node* node = impl_->find(key);
  if (node == nullptr) return std::nullopt;
  if (!node->is_table()) reject(key, "expected a table");
  const std::string path = impl_->path.empty() ? std::string(key) : impl_->path + "." + std::string(key);
  return Table(impl_->inner(*node->as_table(), path));
}

std::vector<Table> Table::tables(std::string_view key) {
  std::vector<Table> out;
  const toml::node* node = impl_->find(key);
  if (node == nullptr) return out;
  const toml::array* all = node->as_array();
  if (all == nullptr) reject(key, "expected tables");
  const std::string path = impl_->path.empty() ? std::string(key) : impl_->path + "." + std::string(key);
  for (const toml::node& item : *all) {
    if (!item.is_table()) reject(key, "expected tables");
    out.push_back(Table(impl_->inner(*item.as_table(), path + "[" + std::to_string(out.size()) + "]")));
  }
  return out;
}

void Table::reject_unknown_keys() const {
  for (const auto& [key, node] : *impl_->table)
    if (!impl_->read_keys.contains(std::string(key.str()))) reject(key.str(), "there is no such key");
}

}  // namespace streampick::options
