// The way of a body in parts, without sockets.
#include "engine/body_stream.h"

#include <gtest/gtest.h>

#include <random>

namespace streampick::node {
namespace {

TEST(BodyStream, FullBuffer_PausesTheWriterUntilTheReaderReads) {
  engine::BodyStream stream(10, 4);
  int rooms = 0;
  stream.on_writable = [&] { ++rooms; };
  EXPECT_TRUE(stream.write("abc"));
  EXPECT_FALSE(stream.write("de"));
  EXPECT_EQ(rooms, 0);
  std::string out;
  ASSERT_TRUE(stream.read(out));
  EXPECT_EQ(out, "abcde");
  EXPECT_EQ(rooms, 1);
  EXPECT_FALSE(stream.read(out));
  EXPECT_EQ(rooms, 1);
}

TEST(BodyStream, CompleteBody_ShowsItsEndOnlyAfterAllBytesWereRead) {
  engine::BodyStream stream(3, 16);
  stream.write("abc");
  stream.end(engine::BodyStream::State::complete);
  EXPECT_EQ(stream.state(), engine::BodyStream::State::open);
  std::string out;
  ASSERT_TRUE(stream.read(out));
  EXPECT_EQ(stream.state(), engine::BodyStream::State::complete);
}

TEST(BodyStream, BodyShorterThanAnnounced_IsTruncated) {
  engine::BodyStream stream(4, 16);
  stream.write("abc");
  stream.end(engine::BodyStream::State::complete);
  EXPECT_EQ(stream.state(), engine::BodyStream::State::truncated);
  std::string out;
  EXPECT_FALSE(stream.read(out));  // nothing more is passed on
}

TEST(BodyStream, ClosedReader_NotifiesTheWriterOnce) {
  const auto stream = std::make_shared<engine::BodyStream>(9, 16);
  int gone = 0;
  stream->on_reader_closed = [&] { ++gone; };
  {
    engine::BodyReader reader(stream);
    engine::BodyReader other = std::move(reader);
    EXPECT_FALSE(reader);
    stream->write("abc");
  }
  EXPECT_EQ(gone, 1);
  EXPECT_FALSE(stream->write("def"));
  stream->end(engine::BodyStream::State::complete);
  EXPECT_EQ(gone, 1);
}

// Whatever the order of parts and takes: the same bytes, never more than the bound and one part in between,
// and each stop of the writer followed by one call.
TEST(BodyStream, RandomOrderOfWritesAndReads_DeliversAllBytesInOrder) {
  for (unsigned seed = 1; seed <= 300; ++seed) {
    std::mt19937 random(seed);
    std::string sent, got, part;
    const std::size_t most = 1 + random() % 50, length = random() % 500;
    for (std::size_t i = 0; i < length; ++i) sent += static_cast<char>(random());
    engine::BodyStream stream(length, most);
    bool stopped = false;
    std::size_t at = 0, longest = 0;
    stream.on_writable = [&] { stopped = false; };
    while (stream.state() == engine::BodyStream::State::open) {
      if (!stopped && random() % 2 == 0) {
        const std::size_t size = std::min<std::size_t>(1 + random() % 20, length - at);
        longest = std::max(longest, size);
        if (size > 0) stopped = !stream.write(std::string_view(sent).substr(at, size));
        at += size;
        if (at == length) stream.end(engine::BodyStream::State::complete);
      } else if (stream.read(part)) {
        ASSERT_LE(part.size(), most + longest) << seed;
        got += part;
      }
    }
    ASSERT_EQ(got, sent) << seed;
    ASSERT_EQ(stream.state(), engine::BodyStream::State::complete) << seed;
  }
}

}  // namespace
}  // namespace streampick::node
