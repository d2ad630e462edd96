/// \file
/// Fixture for one engine on manually advanced time: two cache servers, an origin, and a class of each
/// effect.
#pragma once

#include <gtest/gtest.h>

#include "engine/engine_fakes.h"

namespace streampick::test {

inline constexpr Time kMs = 1'000, kSecond = 1'000'000;
enum Class : std::uint32_t { kRead, kSave, kPay };

class EngineTest : public ::testing::Test {
 protected:
  EngineTest() { build(); }

  void build(const std::function<void(Config&)>& adjust = {}) {
    build_on(fleet, list(1, true, {{"c-1", Phase::ready}, {"c-2", Phase::ready}}, true), adjust);
  }
  void build_on(engine::UpstreamFactory& transports, const engine::EndpointList& known,
                const std::function<void(Config&)>& adjust = {}) {
    engine::EngineSettings settings;
    Config& config = settings.config;
    config.cache_aside = true;
    config.origin_kind = 1;
    config.max_attempts = 3;
    config.can_cancel = config.can_hedge = true;
    config.max_retry_after = 2 * kSecond;
    config.answer_slack = 20 * kMs;
    config.classes = {{2 * kSecond, 8 * kSecond, 1, Effect::safe, Group::all, 0},
                      {2 * kSecond, 8 * kSecond, 1, Effect::keyed, Group::all, 5 * kSecond},
                      {2 * kSecond, 8 * kSecond, 1, Effect::unsafe, Group::all, 0}};
    if (adjust) adjust(config);
    settings.seed = 7;
    engine = std::make_unique<engine::Engine>(time, settings, transports,
                                              [this](std::string_view text) { log.emplace_back(text); });
    engine->add(downstream);
    engine->start(discovery, known);
  }

  static engine::EndpointList list(std::uint64_t revision, bool complete,
                                   const std::vector<std::pair<std::string, Phase>>& caches,
                                   bool origin = false) {
    engine::EndpointList out;
    out.revision = revision;
    out.complete = complete;
    const auto add = [&](const std::string& id, Phase phase, std::uint32_t kind) {
      engine::ListedEndpoint listed{id, "127.0.0.1:1", {}};
      listed.member.identity = std::hash<std::string>{}(id);
      listed.member.kind = kind;
      listed.member.phase = phase;
      out.members.push_back(listed);
    };
    for (const auto& [id, phase] : caches) add(id, phase, 0);
    if (origin) add("origin", Phase::ready, 1);
    return out;
  }

  RequestId ask(Class request_class, std::uint64_t tag = 0, Time remaining = 8 * kSecond,
                std::uint64_t key = 77) {
    engine::IncomingRequest incoming;
    incoming.message = std::make_shared<engine::Message>();
    incoming.message->operation = request_class == kRead ? engine::Operation::read : engine::Operation::write;
    incoming.message->key = std::to_string(key);
    incoming.request_class = request_class;
    incoming.transaction_id = ++transaction_id;
    incoming.key = key;
    incoming.has_key = true;
    incoming.remaining = remaining;
    incoming.tag = tag;
    return engine->on_request(sink, std::move(incoming));
  }
  /// A write whose body is streamed.
  std::pair<RequestId, std::shared_ptr<engine::BodyStream>> start_upload(Class request_class,
                                                                         Time remaining) {
    engine::IncomingRequest incoming;
    const auto message = std::make_shared<engine::Message>();
    message->operation = engine::Operation::write;
    message->upload = std::make_shared<engine::BodyStream>(std::nullopt, 1024);
    incoming.message = message;
    incoming.request_class = request_class;
    incoming.transaction_id = ++transaction_id;
    incoming.remaining = remaining;
    return {engine->on_request(sink, std::move(incoming)), message->upload};
  }
  void end(std::size_t sent, Outcome outcome, const std::string& body = "v") {
    engine::Answer answer;
    answer.body = body;
    engine->on_attempt_ended(fleet.sent.at(sent).attempt, outcome, std::move(answer));
  }
  std::size_t responses() const { return sink->responses.size(); }
  const engine::Response& response(std::size_t i = 0) const { return sink->responses.at(i).second; }

  ManualTime time;
  Fleet fleet{time};
  FakeDiscovery discovery;
  FakeDownstream downstream;
  std::vector<std::string> log;
  std::shared_ptr<RecordingSink> sink = std::make_shared<RecordingSink>();
  std::uint64_t transaction_id = 0;
  std::unique_ptr<engine::Engine> engine;
};

}  // namespace streampick::test
