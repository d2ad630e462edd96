// Tests of ListFramer.
#include "roster/list_framer.h"

#include <gtest/gtest.h>

namespace streampick::roster {
namespace {

using Lists = std::vector<std::string>;
constexpr std::size_t kLongest = 64;

Lists lists(std::string_view bytes, std::size_t piece) {
  ListFramer framer(kLongest);
  Lists out;
  for (; !bytes.empty(); bytes.remove_prefix(std::min(piece, bytes.size())))
    for (std::string& one : framer.put(bytes.substr(0, piece)).lists) out.push_back(std::move(one));
  return out;
}

TEST(ListFramer, FragmentedOrIndentedLists_AreReturnedUnchanged) {
  const std::vector<std::pair<std::string, Lists>> cases = {
      {"{\"a\":1}\n", {"{\"a\":1}"}},
      {"\n\n  {\"a\":[{},{}]}\n\n{}\n", {"{\"a\":[{},{}]}", "{}"}},
      {"{\n  \"a\": [\n 1\n ]\n}\r\n{\"b\":2}\n", {"{\n  \"a\": [\n 1\n ]\n}", "{\"b\":2}"}},
      {"{}{}", {"{}", "{}"}},
      {"{\"}\":\"{\\\"}\\\\\"}\n", {"{\"}\":\"{\\\"}\\\\\"}"}},
      {"nonsense\n{}\n", {"nonsense", "{}"}},
      {"\"{\" }\n{}\n", {"\"{\" }", "{}"}},
      {"}\n{}\n", {"}", "{}"}},
      {"{\"a\":", {}},
  };
  for (const auto& [bytes, found] : cases)
    for (const std::size_t piece : {std::size_t{1}, std::size_t{2}, std::size_t{3}, std::size_t{100}})
      EXPECT_EQ(lists(bytes, piece), found) << bytes << " in pieces of " << piece;
}

TEST(ListFramer, PartialList_IsNotReportedAsReceivedLine) {
  ListFramer framer(kLongest);
  EXPECT_FALSE(framer.put("  ").received_line);
  EXPECT_TRUE(framer.put("\n").received_line);
  EXPECT_FALSE(framer.put("{\"a\":\n").received_line);
  EXPECT_FALSE(framer.put("\n\n").received_line);  // empty line within a list
  EXPECT_TRUE(framer.put("1}").received_line);
}

TEST(ListFramer, ListAboveTheSizeLimit_IsReported) {
  for (const std::string begin : {"{\"a\":\"", "{", "x"}) {
    ListFramer framer(kLongest);
    EXPECT_FALSE(framer.put(begin + std::string(kLongest - begin.size(), 'x')).too_long);
    EXPECT_TRUE(framer.put("x").too_long);
  }
}

TEST(ListFramer, MismatchedBrackets_AreReturnedAtTheirEnd) {
  // The parser rejects the text; the framer only finds its end.
  EXPECT_EQ(lists("{]\n{}\n", 1), (Lists{"{]", "{}"}));
}

}  // namespace
}  // namespace streampick::roster
