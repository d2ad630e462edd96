// A minimal host of the decision module: it routes one read.
#include <iostream>
#include <vector>

#include "streampick/router.h"

class PrintingHost final : public streampick::ActionSink {
 public:
  void send(streampick::RequestId request, streampick::ServerId server, streampick::Time) override {
    std::cout << "send request " << request << " to server " << server << '\n';
  }
  void cancel(streampick::RequestId request, std::uint32_t attempt) override {
    std::cout << "cancel attempt " << attempt << " of request " << request << '\n';
  }
  void reject(streampick::RequestId request, streampick::Time) override {
    std::cout << "reject request " << request << '\n';
  }
  void fail(streampick::RequestId request) override { std::cout << "fail request " << request << '\n'; }
  void poll_discovery() override {}
};

int main() {
  streampick::Config config;
  config.classes.push_back(
      {.latency_objective = 800'000, .deadline = 4'000'000, .effect = streampick::Effect::safe});
  PrintingHost host;
  streampick::Time now = 1'000'000;
  streampick::Router router(config, 42, now, host);

  std::vector<streampick::Member> members(2);
  for (streampick::ServerId id = 0; id < members.size(); ++id) {
    members[id].id = id;
    members[id].identity = 1000 + id;
  }
  router.on_members(now, streampick::Update::full, members);

  streampick::Request request;
  request.id = 7;
  request.key = 0x91f03b7c55d20a64;
  request.has_key = true;
  request.deadline = now + 4'000'000;
  router.on_request(now, request);  // prints: send request 7 to server ...
}
