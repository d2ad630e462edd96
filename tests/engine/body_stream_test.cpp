// Flow control and end states of BodyStream.
#include "engine/body_stream.h"

#include <gtest/gtest.h>

#include <random>

namespace streampick::node {
namespace {

TEST(BodyStream, FullBuffer_PausesTheWriterUntilTheReaderReads) {
  engine::BodyStream stream(10, 4);
  int writable_calls = 0;
  stream.on_writable = [&] { ++writable_calls; };
  EXPECT_TRUE(stream.write("abc"));
  EXPECT_FALSE(stream.write("de"));
  EXPECT_EQ(writable_calls, 0);
  std::string out;
  ASSERT_TRUE(stream.read(out));
  EXPECT_EQ(out, "abcde");
  EXPECT_EQ(writable_calls, 1);
  EXPECT_FALSE(stream.read(out));
  EXPECT_EQ(writable_calls, 1);
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
  EXPECT_FALSE(stream.read(out));  // buffered bytes are discarded
}

TEST(BodyStream, ClosedReader_NotifiesTheWriterOnce) {
  const auto stream = std::make_shared<engine::BodyStream>(9, 16);
  int closed_calls = 0;
  stream->on_reader_closed = [&] { ++closed_calls; };
  {
    engine::BodyReader reader(stream);
    engine::BodyReader other = std::move(reader);
    EXPECT_FALSE(reader);
    stream->write("abc");
  }
  EXPECT_EQ(closed_calls, 1);
  EXPECT_FALSE(stream->write("def"));
  stream->end(engine::BodyStream::State::complete);
  EXPECT_EQ(closed_calls, 1);
}

// In any order of writes and reads, the reader gets the bytes that were written, the buffer never holds more
// than its capacity and one write, and a paused writer is always resumed.
TEST(BodyStream, RandomOrderOfWritesAndReads_DeliversAllBytesInOrder) {
  for (unsigned seed = 1; seed <= 300; ++seed) {
    std::mt19937 random(seed);
    std::string sent, received, read_bytes;
    const std::size_t capacity = 1 + random() % 50, length = random() % 500;
    for (std::size_t i = 0; i < length; ++i) sent += static_cast<char>(random());
    engine::BodyStream stream(length, capacity);
    bool is_paused = false;
    std::size_t position = 0, longest_write = 0;
    stream.on_writable = [&] { is_paused = false; };
    while (stream.state() == engine::BodyStream::State::open) {
      if (!is_paused && random() % 2 == 0) {
        const std::size_t size = std::min<std::size_t>(1 + random() % 20, length - position);
        longest_write = std::max(longest_write, size);
        if (size > 0) is_paused = !stream.write(std::string_view(sent).substr(position, size));
        position += size;
        if (position == length) stream.end(engine::BodyStream::State::complete);
      } else if (stream.read(read_bytes)) {
        ASSERT_LE(read_bytes.size(), capacity + longest_write) << seed;
        received += read_bytes;
      }
    }
    ASSERT_EQ(received, sent) << seed;
    ASSERT_EQ(stream.state(), engine::BodyStream::State::complete) << seed;
  }
}

/// Guards against bytes that leave the account when they move: buffered first part, stream, part that is
/// being sent.
TEST(BodyStream, BytesInAnyPlace_AreReservedUntilTheReaderIsDone) {
  const auto reserved = std::make_shared<std::size_t>(0);
  constexpr std::size_t kFirstPart = 1'000, kMinimum = 100;
  auto stream = std::make_unique<engine::BodyStream>(
      std::nullopt, 64, engine::MemoryReservation(reserved, kFirstPart), kMinimum);
  std::string bytes(kFirstPart, 'x');
  stream->write_moved(std::move(bytes));
  EXPECT_EQ(*reserved, kFirstPart);
  std::string part;
  ASSERT_TRUE(stream->read(part));
  EXPECT_EQ(*reserved, kFirstPart);  // the reader is sending it
  stream->write(std::string(500, 'y'));
  EXPECT_EQ(*reserved, kFirstPart + 500);
  ASSERT_TRUE(stream->read(part));
  EXPECT_EQ(*reserved, 500U);
  stream->end(engine::BodyStream::State::complete);
  EXPECT_EQ(*reserved, 500U);
  EXPECT_FALSE(stream->read(part));
  EXPECT_EQ(*reserved, kMinimum);
  stream->close_reader();
  EXPECT_EQ(*reserved, 0U);
}

}  // namespace
}  // namespace streampick::node
