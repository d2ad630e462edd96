// Tests of a client's conversation without sockets: order of replies, limits, version changes in a pipeline,
// users.
#include "resp/conversation.h"

#include <gtest/gtest.h>

#include "print.h"

namespace streampick::resp::test {
namespace {

class ConversationTest : public ::testing::Test {
 protected:
  void put(std::string_view bytes) { used = conversation.put(bytes); }
  std::string out() {
    std::string bytes = conversation.take_output();
    conversation.written();
    return bytes;
  }
  static engine::Response served(const std::string& body) {
    engine::Response reply;
    reply.kind = engine::Response::Kind::served;
    reply.answer.body = body;
    return reply;
  }
  FrontRules rules;
  std::size_t used = 0;
  Conversation conversation{rules, 9};
};

TEST_F(ConversationTest, HttpRequest_EndsTheConversationAndIsNotRun) {
  for (const char* bytes : {"POST / HTTP/1.1\r\nSET zz stolen\r\n", "Host: a\r\nSET zz stolen\r\n",
                            "GET / HTTP/1.1\r\nSET zz stolen\r\n", "options * http/1.0\r\nSET zz stolen\r\n",
                            "*1\r\n$4\r\npost\r\nSET zz stolen\r\n"}) {
    Conversation http(rules, 1);
    http.put("PING\r\n" + std::string(bytes));
    EXPECT_TRUE(http.ended() && http.is_http() && http.has_invalid_input()) << bytes;
    EXPECT_TRUE(http.take_requests().empty()) << bytes;
    EXPECT_EQ(http.take_output(), "+PONG\r\n") << bytes;  // earlier commands get their replies
  }
  put("SET k HTTP/1.1\r\nGET post\r\n");
  EXPECT_EQ(conversation.take_requests().size(), 2U);
  EXPECT_FALSE(conversation.ended());
}

TEST_F(ConversationTest, InfoWithSectionNames_ReturnsTheseSections) {
  rules.statistics = [] {
    Statistics statistics;
    statistics.clients = 7;
    statistics.commands = 12;
    return statistics;
  };
  put("INFO REPLICATION\r\n");
  EXPECT_EQ(out(), "$48\r\n# Replication\r\nrole:master\r\nconnected_slaves:0\r\n\r\n");
  put("INFO clients stats\r\n");
  const std::string two = out();
  EXPECT_NE(two.find("# Clients\r\nconnected_clients:7\r\n"), std::string::npos) << two;
  EXPECT_NE(two.find("\r\n\r\n# Stats\r\n"), std::string::npos) << two;
  EXPECT_NE(two.find("total_commands_processed:12\r\n"), std::string::npos) << two;
  EXPECT_EQ(two.find("role:"), std::string::npos) << two;
  put("INFO\r\n");
  const std::string all = out();
  EXPECT_NE(all.find("# Server\r\nserver_name:streampick\r\n"), std::string::npos) << all;
  EXPECT_NE(all.find("role:master"), std::string::npos) << all;
  put("INFO nothing\r\n");
  EXPECT_EQ(out(), "$0\r\n\r\n");
}

TEST_F(ConversationTest, EmptyCommand_GetsNoReply) {
  put("*0\r\n*-1\r\n\r\nPING\r\n*0\r\nECHO x\r\n");
  EXPECT_EQ(out(), "+PONG\r\n$1\r\nx\r\n");
  EXPECT_FALSE(conversation.ended());
}

TEST_F(ConversationTest, AnswersInAnyOrder_RepliesKeepTheOrderOfCommands) {
  put("GET a\r\nGET b\r\nPING\r\nMGET c d\r\n");
  const auto requests = conversation.take_requests();
  ASSERT_EQ(requests.size(), 4U);
  EXPECT_EQ(out(), "");
  conversation.answered(requests[3].tag, served("D"));
  conversation.answered(requests[1].tag, served("B"));
  EXPECT_EQ(out(), "");
  conversation.answered(requests[0].tag, served("A"));
  EXPECT_EQ(out(), "$1\r\nA\r\n$1\r\nB\r\n+PONG\r\n");
  conversation.answered(requests[2].tag, served("C"));
  EXPECT_EQ(out(), "*2\r\n$1\r\nC\r\n$1\r\nD\r\n");
  EXPECT_TRUE(conversation.is_idle());
}

TEST_F(ConversationTest, RepeatedOrUnknownAnswer_IsIgnored) {
  put("GET a\r\nGET b\r\n");
  const auto requests = conversation.take_requests();
  conversation.answered(requests[1].tag, served("B"));
  conversation.answered(requests[1].tag, served("again"));
  conversation.answered(12345U << 16U, served("unknown tag"));
  conversation.answered(requests[0].tag, served("A"));
  conversation.answered(requests[0].tag, served("again"));
  EXPECT_EQ(out(), "$1\r\nA\r\n$1\r\nB\r\n");
  EXPECT_EQ(conversation.open_requests(), 0U);
}

TEST_F(ConversationTest, FullPipeline_StopsReadingAndLosesNoCommand) {
  std::string bytes;
  for (int i = 0; i < 10'000; ++i) bytes += "GET k" + std::to_string(i) + "\r\n";
  std::string_view rest = bytes;
  std::size_t answered = 0, most = 0;
  while (!rest.empty() || conversation.open_requests() > 0) {
    rest.remove_prefix(conversation.put(rest));
    most = std::max(most, conversation.unwritten());
    for (const KeyRequest& request : conversation.take_requests()) {
      EXPECT_EQ(request.part.key, "k" + std::to_string(answered));
      conversation.answered(request.tag, served("v"));
      ++answered;
    }
    EXPECT_FALSE(out().empty());
  }
  EXPECT_EQ(answered, 10'000U);
  EXPECT_LE(most, rules.pipeline);
}

TEST_F(ConversationTest, ClientThatReadsNoReplies_IsNotReadFrom) {
  std::string bytes;
  for (int i = 0; i < 100'000; ++i) bytes += "PING\r\n";
  put(bytes);
  EXPECT_LT(used, bytes.size());
  const std::string first = conversation.take_output();  // its write never completes
  EXPECT_LT(first.size(), 70'000U);
  put(std::string_view(bytes).substr(used));
  EXPECT_FALSE(conversation.wants_more());
}

TEST_F(ConversationTest, Hello_SwitchesTheVersionFromItsOwnReplyOn) {
  put("GET a\r\nHELLO 3\r\nGET b\r\nHELLO 2\r\nGET c\r\n");
  const auto requests = conversation.take_requests();
  ASSERT_EQ(requests.size(), 3U);
  for (std::size_t i = 3; i-- > 0;) {
    engine::Response absent;
    absent.not_found = true;
    conversation.answered(requests[i].tag, std::move(absent));
  }
  const std::string all = out();
  EXPECT_EQ(all.rfind("$-1\r\n%7\r\n", 0), 0U) << all;
  EXPECT_NE(all.find("_\r\n*14\r\n"), std::string::npos) << all;
  EXPECT_EQ(all.substr(all.size() - 5), "$-1\r\n");
}

TEST_F(ConversationTest, InvalidHello_ChangesNothing) {
  put("HELLO 4\r\nHELLO 3 SETNAME\r\nHELLO 3 AUTH a b\r\nHELLO x\r\n");
  const std::string all = out();
  EXPECT_EQ(all.rfind("-NOPROTO", 0), 0U) << all;
  EXPECT_EQ(conversation.version(), Version::resp2);
  EXPECT_FALSE(conversation.ended());
}

TEST_F(ConversationTest, ProtocolError_IsTheLastReply) {
  put("GET a\r\n*1\r\n+GET\r\n");  // a command of the wrong type, whose end is known
  put("*1\r\n$600000000\r\nPING\r\n");
  const auto requests = conversation.take_requests();
  ASSERT_EQ(requests.size(), 1U);
  EXPECT_TRUE(conversation.ended());
  EXPECT_EQ(out(), "");
  conversation.answered(requests[0].tag, served("A"));
  EXPECT_EQ(out(),
            "$1\r\nA\r\n-ERR Protocol error: a command is an array of blobs\r\n"
            "-ERR Protocol error: a blob is too long\r\n");
}

TEST_F(ConversationTest, AbandonedPartialCommand_GetsItsErrorAfterEarlierReplies) {
  put("GET a\r\nPING\r\n*2\r\n$3\r\nGET");
  const auto requests = conversation.take_requests();
  ASSERT_EQ(requests.size(), 1U);
  conversation.abandon_command("too slow");
  conversation.abandon_command("too slow");  // the error is sent once
  EXPECT_TRUE(conversation.ended());
  EXPECT_EQ(out(), "");
  conversation.answered(requests[0].tag, served("v"));
  EXPECT_EQ(out(), "$1\r\nv\r\n+PONG\r\n-ERR Protocol error: too slow\r\n");
  EXPECT_TRUE(conversation.is_idle());
  EXPECT_FALSE(conversation.wants_more());
}

TEST_F(ConversationTest, AbandonBetweenCommands_HasNoEffect) {
  put("PING\r\n");
  conversation.abandon_command("too slow");
  EXPECT_FALSE(conversation.ended());
  EXPECT_EQ(out(), "+PONG\r\n");
}

TEST_F(ConversationTest, DeepNestingOrAMillionElements_GetAnError) {
  for (std::string bytes : {std::string("*1000000\r\n"), [] {
                              std::string deep;
                              for (int i = 0; i < 10'000; ++i) deep += "*1\r\n";
                              return deep;
                            }()}) {
    Conversation other(rules, 1);
    other.put(bytes);
    EXPECT_TRUE(other.ended());
    EXPECT_EQ(other.take_output().rfind("-ERR Protocol error: ", 0), 0U);
  }
}

TEST_F(ConversationTest, Users_MustAuthenticateAndAreLimitedToTheirTenant) {
  rules.users = {{"viewer", "secret", "schools"}};
  Conversation guarded(rules, 1);
  guarded.put("GET a\r\nAUTH viewer wrong\r\nAUTH viewer secret\r\nGET a\r\nROUTE TENANT other GET a\r\n");
  const auto requests = guarded.take_requests();
  ASSERT_EQ(requests.size(), 1U);
  EXPECT_EQ(requests[0].tenant, "schools");
  guarded.answered(requests[0].tag, served("A"));
  EXPECT_EQ(guarded.take_output(),
            "-NOAUTH Authentication required.\r\n-WRONGPASS invalid username-password pair\r\n+OK\r\n"
            "$1\r\nA\r\n-NOPERM this user's requests are not that tenant's\r\n");
  Conversation hello(rules, 2);
  hello.put("HELLO 3\r\nHELLO 3 AUTH viewer secret SETNAME desk\r\nCLIENT GETNAME\r\n");
  const std::string all = hello.take_output();
  EXPECT_EQ(all.rfind("-NOAUTH", 0), 0U);
  EXPECT_EQ(all.substr(all.size() - 10), "$4\r\ndesk\r\n");
}

TEST_F(ConversationTest, ConnectionCommands_AreAnsweredLocally) {
  put("PING hi\r\nECHO x\r\nSELECT 0\r\nSELECT 1\r\nCLIENT ID\r\nCLIENT SETNAME n\r\nCLIENT GETNAME\r\n"
      "CLIENT SETINFO LIB-NAME x\r\nCLIENT NO-EVICT on\r\nCLIENT KILL x\r\nDEADLINE "
      "300\r\nRESET\r\nQUIT\r\nPING\r\n");
  EXPECT_EQ(
      out(),
      "$2\r\nhi\r\n$1\r\nx\r\n+OK\r\n-ERR DB index is out of range\r\n:9\r\n+OK\r\n$1\r\nn\r\n+OK\r\n+OK\r\n"
      "-ERR unknown subcommand or wrong number of arguments for 'client'\r\n+OK\r\n+RESET\r\n+OK\r\n");
  EXPECT_TRUE(conversation.ended());
  EXPECT_FALSE(conversation.has_invalid_input());
}

TEST_F(ConversationTest, Deadline_HoldsForTheConnectionUnlessRouteOverridesIt) {
  put("GET a\r\nDEADLINE 300\r\nGET a\r\nROUTE DEADLINE 50 GET a\r\nDEADLINE 0\r\nGET a\r\n");
  const auto requests = conversation.take_requests();
  ASSERT_EQ(requests.size(), 4U);
  EXPECT_EQ(requests[0].timeout, 0);
  EXPECT_EQ(requests[1].timeout, 300'000);
  EXPECT_EQ(requests[2].timeout, 50'000);
  EXPECT_EQ(requests[3].timeout, 0);
}

TEST_F(ConversationTest, WriteOfSeveralKeys_HasAnIdempotencyKeyForEach) {
  put("ROUTE KEY k DEL a b\r\n");
  const auto requests = conversation.take_requests();
  ASSERT_EQ(requests.size(), 2U);
  EXPECT_NE(requests[0].idempotency_key, requests[1].idempotency_key);
}

}  // namespace
}  // namespace streampick::resp::test
