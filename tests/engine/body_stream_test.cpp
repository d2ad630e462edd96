// The way of a body in parts, without sockets.
#include "engine/body_stream.h"

#include <gtest/gtest.h>

#include <random>

namespace streampick::node {
namespace {

TEST(BodyStream, AFastWriterIsStoppedAndCalledAgainOnceThereIsRoom) {
  BodyStream stream(10, 4);
  int rooms = 0;
  stream.room = [&] { ++rooms; };
  EXPECT_TRUE(stream.put("abc"));
  EXPECT_FALSE(stream.put("de"));
  EXPECT_EQ(rooms, 0);
  std::string out;
  ASSERT_TRUE(stream.take(out));
  EXPECT_EQ(out, "abcde");
  EXPECT_EQ(rooms, 1);
  EXPECT_FALSE(stream.take(out));
  EXPECT_EQ(rooms, 1);
}

TEST(BodyStream, ItsEndShowsOnceAllOfItWasTaken) {
  BodyStream stream(3, 16);
  stream.put("abc");
  stream.end(BodyStream::State::whole);
  EXPECT_EQ(stream.state(), BodyStream::State::open);
  std::string out;
  ASSERT_TRUE(stream.take(out));
  EXPECT_EQ(stream.state(), BodyStream::State::whole);
}

TEST(BodyStream, AnEndShortOfTheLengthIsACutWhateverTheWriterSays) {
  BodyStream stream(4, 16);
  stream.put("abc");
  stream.end(BodyStream::State::whole);
  EXPECT_EQ(stream.state(), BodyStream::State::cut);
  std::string out;
  EXPECT_FALSE(stream.take(out));  // nothing more is passed on
}

TEST(BodyStream, AReaderThatGoesStopsTheWriterOnce) {
  const auto stream = std::make_shared<BodyStream>(9, 16);
  int gone = 0;
  stream->unwanted = [&] { ++gone; };
  {
    BodyReader reader(stream);
    BodyReader other = std::move(reader);
    EXPECT_FALSE(reader);
    stream->put("abc");
  }
  EXPECT_EQ(gone, 1);
  EXPECT_FALSE(stream->put("def"));
  stream->end(BodyStream::State::whole);
  EXPECT_EQ(gone, 1);
}

// Whatever the order of parts and takes: the same bytes, never more than the bound and one part in between,
// and each stop of the writer followed by one call.
TEST(BodyStream, ManyOrders) {
  for (unsigned seed = 1; seed <= 300; ++seed) {
    std::mt19937 random(seed);
    std::string sent, got, part;
    const std::size_t most = 1 + random() % 50, length = random() % 500;
    for (std::size_t i = 0; i < length; ++i) sent += static_cast<char>(random());
    BodyStream stream(length, most);
    bool stopped = false;
    std::size_t at = 0, longest = 0;
    stream.room = [&] { stopped = false; };
    while (stream.state() == BodyStream::State::open) {
      if (!stopped && random() % 2 == 0) {
        const std::size_t size = std::min<std::size_t>(1 + random() % 20, length - at);
        longest = std::max(longest, size);
        if (size > 0) stopped = !stream.put(std::string_view(sent).substr(at, size));
        at += size;
        if (at == length) stream.end(BodyStream::State::whole);
      } else if (stream.take(part)) {
        ASSERT_LE(part.size(), most + longest) << seed;
        got += part;
      }
    }
    ASSERT_EQ(got, sent) << seed;
    ASSERT_EQ(stream.state(), BodyStream::State::whole) << seed;
  }
}

}  // namespace
}  // namespace streampick::node
