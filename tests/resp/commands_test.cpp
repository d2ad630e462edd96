// Tests of the command table: the parts of each command, and the replies to answers and errors of the engine.
#include "resp/commands.h"

#include <gtest/gtest.h>

#include "print.h"

namespace streampick::resp::test {
namespace {

Value command(const std::vector<std::string>& words) {
  std::vector<Value> items;
  for (const std::string& word : words) items.push_back(Value::blob(word));
  return Value::array(std::move(items));
}
ParsedCommand parsed(const std::vector<std::string>& words, TableSettings settings = {}) {
  return parse_command(command(words), settings);
}
TableSettings other_protocols() {
  TableSettings out;
  out.any_protocol_only = true;
  return out;
}

TEST(RespCommands, ReadsAndWrites_BecomeOnePartPerKey) {
  const ParsedCommand get = parsed({"get", "k"});
  ASSERT_EQ(get.parts.size(), 1U);
  EXPECT_EQ(get.parts[0].operation, Operation::read);
  EXPECT_EQ(get.parts[0].key, "k");
  EXPECT_TRUE(get.parts[0].words.empty());
  const ParsedCommand mget = parsed({"MGET", "a", "b", "a"});
  ASSERT_EQ(mget.parts.size(), 3U);
  EXPECT_EQ(mget.parts[2].key, "a");
  const ParsedCommand set = parsed({"SET", "k", "value"});
  EXPECT_EQ(set.parts.at(0).operation, Operation::write);
  EXPECT_EQ(set.parts.at(0).body, "value");
  const ParsedCommand del = parsed({"DEL", "a", "b"});
  ASSERT_EQ(del.parts.size(), 2U);
  EXPECT_EQ(del.parts[1].words, (std::vector<std::string>{"DEL", "b"}));
  EXPECT_EQ(del.parts[1].operation, Operation::other_write);
  EXPECT_EQ(parsed({"TTL", "k"}).parts.at(0).operation, Operation::other_read);
  EXPECT_EQ(parsed({"EXISTS", "k"}).parts.at(0).operation, Operation::read);
}

TEST(RespCommands, UnsupportedCommand_GetsASpecificError) {
  TableSettings cache_aside;
  cache_aside.cache_aside = true;
  const std::vector<std::tuple<std::vector<std::string>, TableSettings, std::string>> cases = {
      {{"SET", "k", "v", "EX", "10"}, cache_aside, "ERR an expiry can't be kept"},
      {{"SET", "k", "v", "KEEPTTL"}, cache_aside, "ERR an expiry can't be kept"},
      {{"SET", "k", "v", "NX", "XX"}, {}, "ERR syntax error"},
      {{"SET", "k", "v", "EX"}, {}, "ERR syntax error"},
      {{"SET", "k", "v", "EX", "0"}, {}, "ERR invalid expire"},
      {{"SET", "k", "v", "EX", "1", "PX", "1"}, {}, "ERR syntax error"},
      {{"SET", "k", "v", "WHEN"}, {}, "ERR syntax error"},
      {{"SET", "k", "v", "NX"}, other_protocols(), "ERR the options of SET need servers that speak RESP"},
      {{"SET", "k", "v", "EX", "5"},
       other_protocols(),
       "ERR the options of SET need servers that speak RESP"},
      {{"DEL", "k"}, other_protocols(), "ERR DEL needs servers that speak RESP"},
      {{"GET"}, {}, "ERR wrong number of arguments for 'GET'"},
      {{"GET", "a", "b"}, {}, "ERR wrong number of arguments for 'GET'"},
      {{"GET", ""}, {}, "ERR a key must have"},
      {{"GET", std::string(513, 'k')}, {}, "ERR a key must have"},
      {{"SUBSCRIBE", "c"}, {}, "ERR unknown command 'SUBSCRIBE'"},
      {{"MULTI"}, {}, "ERR unknown command"},
      {{"bad\r\nname"}, {}, "ERR unknown command 'bad??name'"},
      {{"ROUTE", "ID", "xyz", "GET", "k"}, {}, "ERR ID must be"},
      {{"ROUTE", "ID", "00112233445566zz", "GET", "k"}, {}, "ERR ID must be"},
      {{"ROUTE", "DEADLINE", "0", "GET", "k"}, {}, "ERR DEADLINE must be"},
      {{"ROUTE", "DEADLINE", "-5", "GET", "k"}, {}, "ERR DEADLINE must be"},
      {{"ROUTE", "KEY", "a b", "SET", "k", "v"}, {}, "ERR KEY must be"},
      {{"ROUTE", "KEY", "a", "ROUTE", "KEY", "b"}, {}, "ERR ROUTE within ROUTE"},
      {{"ROUTE", "ID", "0011223344556677", "MGET", "a", "b"}, {}, "ERR ID names one request"},
  };
  for (const auto& [words, settings, error] : cases) {
    const ParsedCommand out = parsed(words, settings);
    EXPECT_EQ(out.error.rfind(error, 0), 0U) << words[0] << ": " << out.error;
    EXPECT_TRUE(out.parts.empty());
  }
  std::vector<std::string> many(300, "k");
  many[0] = "MGET";
  EXPECT_EQ(parsed(many).error, "ERR over 256 keys in one command");
}

TEST(RespCommands, RouteAndAttributes_SetTheSameOptions) {
  const ParsedCommand route = parsed(
      {"ROUTE", "ID", "0011223344556677", "DEADLINE", "250", "KEY", "i-1", "TENANT", "t", "SET", "k", "v"});
  EXPECT_EQ(route.error, "");
  EXPECT_EQ(route.options.id, "0011223344556677");
  EXPECT_EQ(route.options.deadline, 250'000);
  EXPECT_EQ(route.options.idempotency_key, "i-1");
  EXPECT_EQ(route.options.tenant, "t");
  EXPECT_EQ(route.parts.at(0).body, "v");
  Value with = command({"SET", "k", "v"});
  with.attributes = std::make_unique<std::vector<Value>>();
  for (const char* text : {"key", "i-1", "unknown", "x", "tenant", "t"})
    with.attributes->push_back(Value::blob(text));
  with.attributes->push_back(Value::blob("deadline"));
  with.attributes->push_back(Value::integer(250));
  const ParsedCommand attributed = parse_command(std::move(with), {});
  EXPECT_EQ(attributed.options.idempotency_key, "i-1");
  EXPECT_EQ(attributed.options.deadline, 250'000);
  EXPECT_EQ(attributed.options.tenant, "t");
}

TEST(RespCommands, MissingKey_GetsTheReplyOfItsCommand) {
  const auto absent = [](const char* name) {
    engine::Response reply;
    reply.not_found = true;
    return reply_to_part(*find_command(name), std::move(reply));
  };
  EXPECT_TRUE(absent("GET").is_null());
  EXPECT_EQ(absent("EXISTS"), Value::integer(0));
  EXPECT_EQ(absent("TTL"), Value::integer(-2));
  EXPECT_TRUE(absent("SET").is_error());  // a missing value is no answer to a write
}

TEST(RespCommands, RejectedAndFailedRequests_GetDifferentErrors) {
  const Command& get = *find_command("GET");
  const Command& set = *find_command("SET");
  EXPECT_EQ(reply_to_part(set, {.kind = engine::Response::Kind::rejected, .retry_after = 249'001}).text,
            "TRYAGAIN refused, nothing ran; come back in 250 ms");
  EXPECT_EQ(reply_to_part(set, {.late = true, .may_have_run = true}).text,
            "TIMEOUT no answer in time; it may have run");
  EXPECT_EQ(reply_to_part(set, {}).text, "UNAVAILABLE failed; nothing ran");
  // A repeat is safe only with the same KEY, by which servers recognize it.
  const engine::Response::Kind refused = engine::Response::Kind::rejected;
  EXPECT_EQ(reply_to_part(set, {.kind = refused, .may_have_run = true}, true).text,
            "TRYAGAIN refused, it may have run: repeat it with its KEY");
  EXPECT_EQ(reply_to_part(set, {.kind = refused, .may_have_run = true}).text,
            "UNAVAILABLE failed; it may have run");
  EXPECT_EQ(reply_to_part(get, {.kind = refused, .may_have_run = true}).text, "TRYAGAIN refused");
  EXPECT_EQ(reply_to_part(get, {.may_have_run = true}).text, "UNAVAILABLE failed");
  EXPECT_EQ(reply_to_part(get, {.error_message = "WRONGTYPE not a string"}).text, "WRONGTYPE not a string");
}

TEST(RespCommands, RepliesToParts_AreCombinedAndErrorsReported) {
  std::vector<Value> parts;
  parts.push_back(Value::blob("a"));
  parts.push_back(Value::error("TIMEOUT x"));
  const Value list = combine(*find_command("MGET"), std::move(parts));
  EXPECT_EQ(list.items.at(0).text, "a");
  EXPECT_TRUE(list.items.at(1).is_error());
  std::vector<Value> sums;
  for (int i = 0; i < 3; ++i) sums.push_back(Value::integer(1));
  EXPECT_EQ(combine(*find_command("DEL"), std::move(sums)), Value::integer(3));
  std::vector<Value> some;
  some.push_back(Value::integer(1));
  some.push_back(Value::error("TIMEOUT x"));
  EXPECT_EQ(combine(*find_command("DEL"), std::move(some)).text, "TIMEOUT x (1 of 2 keys)");
}

TEST(RespCommands, CommandQueries_AreAnsweredFromTheTable) {
  const std::vector<std::string> count = {"COMMAND", "COUNT"}, docs = {"COMMAND", "DOCS", "get"},
                                 info = {"COMMAND", "INFO", "mget", "nope"}, all = {"COMMAND"};
  EXPECT_EQ(describe(count).number, static_cast<std::int64_t>(commands().size()));
  EXPECT_EQ(describe(docs).items.at(0).text, "get");
  EXPECT_EQ(describe(info).items.at(0).items.at(4), Value::integer(-1));
  EXPECT_TRUE(describe(info).items.at(1).is_null());
  EXPECT_EQ(describe(all).items.size(), commands().size());
}

}  // namespace
}  // namespace streampick::resp::test
