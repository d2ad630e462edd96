// Tests of a server's pipeline without sockets: matching of replies to attempts, and which attempts may have
// run when the connection ends.
#include "resp/pipeline.h"

#include <gtest/gtest.h>

namespace streampick::resp::test {
namespace {

using engine::AttemptId;
using engine::Operation;

class PipelineTest : public ::testing::Test {
 protected:
  PipelineTest() { greet(); }
  void greet() {
    write();
    pipe.put("%1\r\n+proto\r\n:3\r\n");
    ASSERT_EQ(pipe.state(), Pipeline::State::ready);
  }
  std::size_t write(std::size_t most = SIZE_MAX) {
    const std::size_t bytes = std::min(most, pipe.output().size());
    pipe.written(bytes);
    return bytes;
  }
  std::size_t read(RequestId id, const std::string& key = "k") { return send(id, Operation::read, key); }
  std::size_t save(RequestId id) { return send(id, Operation::write, "k"); }
  std::size_t send(RequestId id, Operation operation, const std::string& key) {
    auto message = std::make_shared<engine::Message>();
    message->operation = operation;
    message->key = key;
    message->body = "v";
    const std::size_t before = pipe.output().size();
    pipe.send({id, 0}, *message, 1'000'000);
    return pipe.output().size() - before;
  }
  // The results since the last call, as "id outcome body".
  std::vector<std::string> ended() {
    std::vector<std::string> out;
    for (const AttemptResult& end : pipe.take_ended())
      out.push_back(std::to_string(end.attempt.request) + " " + name(end.outcome) +
                    (end.answer.body.empty() ? "" : " " + end.answer.body));
    return out;
  }
  static std::string name(Outcome outcome) {
    switch (outcome) {
      case Outcome::served: return "served";
      case Outcome::miss: return "miss";
      case Outcome::overloaded: return "overloaded";
      case Outcome::reset: return "reset";
      case Outcome::connect_failed: return "connect_failed";
      case Outcome::not_sent: return "not_sent";
      case Outcome::malformed: return "malformed";
      case Outcome::invalid_request: return "invalid_request";
      case Outcome::error: return "error";
      default: return "other";
    }
  }
  using Lines = std::vector<std::string>;
  ServerRules rules;
  Pipeline pipe{rules, true};
};

TEST_F(PipelineTest, Replies_AreMatchedByOrder) {
  read(1);
  read(2);
  save(3);
  write();
  pipe.put("$1\r\na\r\n_\r\n");
  EXPECT_EQ(ended(), (Lines{"1 served a", "2 miss"}));
  pipe.put("+OK\r\n");
  EXPECT_EQ(ended(), Lines{"3 served"});
  EXPECT_EQ(pipe.in_flight(), 0U);
}

TEST_F(PipelineTest, CloseBetweenReplies_ReportsWhichAttemptsMayHaveRun) {
  read(1);
  save(2);
  const std::size_t third = save(3);
  save(4);
  write(pipe.output().size() - third -
        1);  // without the last byte of the third command and the fourth command
  pipe.put("$1\r\na\r\n");
  pipe.end();
  EXPECT_EQ(ended(), (Lines{"1 served a", "2 reset", "3 connect_failed", "4 connect_failed"}));
  EXPECT_TRUE(pipe.finished());
}

TEST_F(PipelineTest, CloseBeforeTheLastByte_ReportsThatNothingRan) {
  const std::size_t length = save(1);
  write(length - 1);
  pipe.end();
  EXPECT_EQ(ended(), Lines{"1 connect_failed"});
  pipe = Pipeline(rules, true);
  greet();
  write(save(1));
  pipe.end();
  EXPECT_EQ(ended(), Lines{"1 reset"});
}

TEST_F(PipelineTest, LateReplyToACancelledRead_IsIgnored) {
  read(1);
  read(2);
  write();
  pipe.cancel({1, 0});
  read(3);
  write();
  EXPECT_EQ(pipe.awaited_replies(), 2U);
  pipe.put("$4\r\nlate\r\n$3\r\ntwo\r\n$5\r\nthree\r\n");
  EXPECT_EQ(ended(), (Lines{"2 served two", "3 served three"}));
  EXPECT_EQ(pipe.take_ignored_replies(), 1U);
  EXPECT_TRUE(pipe.usable());
}

TEST_F(PipelineTest, CancelBeforeTheFirstByte_CommandIsNotWritten) {
  const std::size_t first = read(1, "first");
  read(2, "second");
  read(3, "third");
  write(first);
  EXPECT_FALSE(pipe.cancel_unsent({1, 0}));  // its bytes are written, so nothing changes
  EXPECT_TRUE(pipe.cancel_unsent({2, 0}));
  EXPECT_FALSE(pipe.cancel_unsent({2, 0}));
  EXPECT_EQ(pipe.output().find("second"), std::string_view::npos);
  EXPECT_NE(pipe.output().find("third"), std::string_view::npos);
  write();
  pipe.put("$1\r\na\r\n$1\r\nc\r\n");
  EXPECT_EQ(ended(), (Lines{"1 served a", "3 served c"}));
}

TEST_F(PipelineTest, CancelOfAPartlyWrittenCommand_KeepsEarlierCommands) {
  const std::size_t first = read(1), second = save(2);
  save(3);
  write(first + second / 2);
  EXPECT_FALSE(pipe.cancel_unsent({2, 0}));
  pipe.cancel({2, 0});
  EXPECT_TRUE(pipe.output().empty());  // no further byte of a cancelled command is written
  EXPECT_EQ(ended(), Lines{"3 connect_failed"});
  EXPECT_FALSE(pipe.usable());
  EXPECT_FALSE(pipe.finished());  // the first attempt may still be answered
  pipe.put("$1\r\na\r\n");
  EXPECT_EQ(ended(), Lines{"1 served a"});
  EXPECT_TRUE(pipe.finished());
}

TEST_F(PipelineTest, Drain_DropsCommandsWithoutAWrittenByte) {
  const std::size_t first = read(1), second = read(2);
  read(3);
  write(first + second / 2);
  pipe.drop_unsent();
  EXPECT_EQ(ended(), Lines{"3 not_sent"});
  write();
  pipe.put("$1\r\na\r\n$1\r\nb\r\n");
  EXPECT_EQ(ended(), (Lines{"1 served a", "2 served b"}));
}

TEST_F(PipelineTest, PushesAtAnyPosition_AreSeparatedFromReplies) {
  const std::string push = ">2\r\n+invalidate\r\n*1\r\n$1\r\nk\r\n";
  read(1);
  read(2);
  write();
  pipe.put(push + "$1\r\na\r\n" + push + push + "$1\r\nb\r\n" + push);
  EXPECT_EQ(ended(), (Lines{"1 served a", "2 served b"}));
  EXPECT_EQ(pipe.pushes(), 4U);
  EXPECT_TRUE(pipe.usable());
}

TEST_F(PipelineTest, ReplyWithoutACommand_EndsTheConnection) {
  pipe.put("+OK\r\n");
  EXPECT_EQ(pipe.state(), Pipeline::State::broken);
  EXPECT_EQ(pipe.error(), "a reply without a request");
}

TEST_F(PipelineTest, ReplyBeforeACommandIsWritten_EndsTheConnection) {
  const std::size_t length = save(1);
  write(length - 1);
  pipe.put("+OK\r\n");
  EXPECT_EQ(ended(), Lines{"1 connect_failed"});  // its last byte was not written
  EXPECT_EQ(pipe.state(), Pipeline::State::broken);
}

TEST_F(PipelineTest, UnreadableReply_IsMalformedAndLaterAttemptsMayHaveRun) {
  save(1);
  save(2);
  write();
  pipe.put("$536870912\r\n");
  EXPECT_EQ(ended(), (Lines{"1 malformed", "2 reset"}));
}

TEST_F(PipelineTest, ReplyOfTheWrongType_IsMalformedAndTheOrderIsKept) {
  read(1);
  save(2);
  read(3);
  write();
  pipe.put("%0\r\n$3\r\nold\r\n$1\r\nc\r\n");
  EXPECT_EQ(ended(), (Lines{"1 malformed", "2 malformed", "3 served c"}));
  EXPECT_TRUE(pipe.usable());
}

TEST_F(PipelineTest, ErrorReplies_AreClassifiedByTheirFirstWord) {
  const std::vector<std::pair<const char*, Outcome>> table = {
      {"LOADING x", Outcome::overloaded},
      {"BUSY x", Outcome::overloaded},
      {"MOVED 1 a:1", Outcome::overloaded},
      {"READONLY x", Outcome::overloaded},
      {"OOM x", Outcome::overloaded},
      {"NOAUTH x", Outcome::overloaded},
      {"DRAINING x", Outcome::overloaded},
      {"MASTERDOWN x", Outcome::overloaded},
      {"CLUSTERDOWN x", Outcome::overloaded},
      {"WRONGTYPE x", Outcome::invalid_request},
      {"ERR syntax", Outcome::invalid_request},
      {"ERR max number of clients reached", Outcome::overloaded},
      {"IOERR x", Outcome::error},
      {"", Outcome::error},
      {"BUSYx", Outcome::error}};
  for (const auto& [text, outcome] : table) EXPECT_EQ(outcome_of_error(text), outcome) << text;
}

TEST_F(PipelineTest, ServerWithoutResp3_IsUsedWithResp2) {
  pipe = Pipeline(rules, true);
  write();
  pipe.put("-ERR unknown command 'HELLO'\r\n");
  EXPECT_TRUE(pipe.usable());
  EXPECT_EQ(pipe.version(), Version::resp2);
  read(1);
  write();
  pipe.put("$-1\r\n");
  EXPECT_EQ(ended(), Lines{"1 miss"});
}

TEST_F(PipelineTest, Password_IsSentInBothGreetings) {
  rules.password = "p";
  Pipeline old(rules, true);
  EXPECT_EQ(old.output(), "*5\r\n$5\r\nHELLO\r\n$1\r\n3\r\n$4\r\nAUTH\r\n$7\r\ndefault\r\n$1\r\np\r\n");
  old.written(old.output().size());
  old.put("-NOPROTO x\r\n");
  EXPECT_FALSE(old.usable());
  EXPECT_EQ(old.output(), "*2\r\n$4\r\nAUTH\r\n$1\r\np\r\n");
  old.written(old.output().size());
  old.put("+OK\r\n");
  EXPECT_TRUE(old.usable());
  Pipeline refused(rules, true);
  refused.written(refused.output().size());
  refused.put("-WRONGPASS x\r\n");
  EXPECT_EQ(refused.state(), Pipeline::State::broken);
}

TEST_F(PipelineTest, ServerThatSupportsRoute_ReceivesIdsKeysAndDeadlines) {
  rules.send_ids = true;
  auto message = std::make_shared<engine::Message>();
  message->operation = Operation::write;
  message->key = "k";
  message->body = "v";
  message->transaction_id = "0011223344556677";
  message->idempotency_key = "i";
  pipe.send({1, 0}, *message, 1'500'000);
  EXPECT_EQ(pipe.output(),
            "*10\r\n$5\r\nROUTE\r\n$2\r\nID\r\n$16\r\n0011223344556677\r\n$8\r\nDEADLINE\r\n$4\r\n1500\r\n"
            "$3\r\nKEY\r\n$1\r\ni\r\n$3\r\nSET\r\n$1\r\nk\r\n$1\r\nv\r\n");
}

TEST_F(PipelineTest, NullReply_IsAMissOnlyFromACache) {
  Pipeline source(rules, false);
  source.written(source.output().size());
  source.put("%0\r\n");
  auto message = std::make_shared<engine::Message>();
  message->key = "k";
  source.send({1, 0}, *message, 1'000'000);
  source.written(source.output().size());
  source.put("_\r\n");
  const auto all = source.take_ended();
  ASSERT_EQ(all.size(), 1U);
  EXPECT_EQ(all[0].outcome, Outcome::served);
  EXPECT_EQ(all[0].answer.form, engine::Answer::Form::nothing);
}

}  // namespace
}  // namespace streampick::resp::test
