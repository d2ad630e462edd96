#include "engine/message_pool.h"

#include <gtest/gtest.h>

namespace streampick::node {
namespace {

TEST(MessagePool, ReleasedMessage_IsReusedEmpty) {
  engine::MessagePool pool;
  auto one = pool.acquire();
  const engine::Message* const first = one.get();
  one->operation = engine::Operation::write;
  one->target = "/save/1";
  one->idempotency_key = "k";
  one->words = {"SET"};
  one->accepts_streaming = true;
  one.reset();
  const auto two = pool.acquire();
  EXPECT_EQ(two.get(), first);
  EXPECT_EQ(two->operation, engine::Operation::read);
  EXPECT_TRUE(two->target.empty() && two->idempotency_key.empty() && two->words.empty());
  EXPECT_FALSE(two->accepts_streaming);
}

TEST(MessagePool, LargeCapacity_IsNotKept) {
  engine::MessagePool pool;
  auto one = pool.acquire();
  one->body.assign(60'000, 'x');
  one.reset();
  EXPECT_LT(pool.acquire()->body.capacity(), 1'000U);
}

TEST(MessagePool, Message_MayOutliveItsPool) {
  std::shared_ptr<engine::Message> last;
  {
    engine::MessagePool pool;
    last = pool.acquire();
    last->key = "still here, though the pool has gone";
  }
  EXPECT_EQ(last->key.size(), 36U);
  last.reset();
}

}  // namespace
}  // namespace streampick::node
