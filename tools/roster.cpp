// Registers a server in etcd, or lists the registered servers:
//
//   streampick_roster register --endpoint 127.0.0.1:2379 --id s-1 --address 10.1.0.18:3000 --zone a
//       --kind cache
//   streampick_roster list --endpoint 127.0.0.1:2379
//
// `register` keeps running and keeps the entry's lease alive. On SIGTERM or SIGINT it marks the entry as
// draining for --drain-s seconds, then removes it and exits with 0. A second signal removes the entry at
// once.
#include <grpcpp/grpcpp.h>

#include <CLI/CLI.hpp>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <ctime>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "roster/etcd/registration.h"
#include "roster/etcd/registry.h"
#include "streampick/etcd/rpc.grpc.pb.h"

namespace {

using namespace streampick;
namespace pb = etcdserverpb;
using std::chrono::microseconds;

constexpr std::chrono::seconds kCallTimeout{1};
constexpr int kUsageError = 2, kFailed = 1;

Time now_us() {
  return std::chrono::duration_cast<microseconds>(std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

struct Entry {
  std::string endpoint = "127.0.0.1:2379", prefix = "/streampick/servers/";
  std::string id, address, zone, kind;
  unsigned cell = 0;
  double size = 1;
  long long ttl_s = 5, drain_s = 2;

  std::string key() const { return prefix + id; }
  std::string value(bool draining, long long up_since_ms) const {
    return nlohmann::json{{"id", id},         {"host_port", address},
                          {"locality", zone}, {"flavor", kind},
                          {"cell", cell},     {"phase", draining ? "terminating" : "in_service"},
                          {"size", size},     {"up_since_ms", up_since_ms}}
        .dump();
  }
};

std::shared_ptr<grpc::Channel> channel_to(const std::string& endpoint) {
  grpc::ChannelArguments arguments;
  arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
  arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, 1'000);
  return grpc::CreateCustomChannel(endpoint, grpc::InsecureChannelCredentials(), arguments);
}

// Carries out the registration's requests, one call at a time.
class Publisher final : public etcd::RegistrationActions {
 public:
  explicit Publisher(const Entry& entry)
      : entry_(entry),
        channel_(channel_to(entry.endpoint)),
        kv_(pb::KV::NewStub(channel_)),
        lease_(pb::Lease::NewStub(channel_)),
        registration_({.ttl_s = entry.ttl_s}, *this),
        up_since_ms_(std::chrono::duration_cast<std::chrono::milliseconds>(
                         std::chrono::system_clock::now().time_since_epoch())
                         .count()) {}

  int run(const sigset_t& signals) {
    registration_.start(now_us());
    Time end_at = kNever;
    auto reported_state = registration_.state();
    while (registration_.state() != etcd::Registration::State::ended) {
      while (next_call_) std::exchange(next_call_, nullptr)();
      if (registration_.state() != reported_state &&
          registration_.state() == etcd::Registration::State::registered)
        std::printf("%s\n", registration_.draining() ? "draining" : "registered"), std::fflush(stdout);
      reported_state = registration_.state();
      if (next_call_ || reported_state == etcd::Registration::State::ended) continue;
      const Time until = std::min(registration_.next_time(), end_at);
      const Time time_left = std::max<Time>(0, std::min<Time>(until - now_us(), 1'000'000));
      const timespec wait{time_left / 1'000'000, time_left % 1'000'000 * 1'000};
      if (sigtimedwait(&signals, nullptr, &wait) > 0) {
        const bool first = end_at == kNever;
        end_at = first ? now_us() + entry_.drain_s * 1'000'000 : now_us();
        registration_.drain(now_us());
      }
      if (now_us() >= end_at) registration_.end(now_us());
      registration_.on_time(now_us());
    }
    return 0;
  }

  void grant(long long ttl_s) override {
    next_call_ = [this, ttl_s] {
      pb::LeaseGrantRequest request;
      request.set_ttl(ttl_s);
      pb::LeaseGrantResponse reply;
      if (call([&](auto& context) { return lease_->LeaseGrant(&context, request, &reply); }))
        registration_.granted(now_us(), reply.id());
    };
  }
  void put(std::int64_t lease, bool draining) override {
    next_call_ = [this, lease, draining] {
      pb::PutRequest request;
      request.set_key(entry_.key());
      request.set_value(entry_.value(draining, up_since_ms_));
      request.set_lease(lease);
      pb::PutResponse reply;
      if (call([&](auto& context) { return kv_->Put(&context, request, &reply); }))
        registration_.was_put(now_us());
    };
  }
  void keep_alive(std::int64_t lease) override {
    next_call_ = [this, lease] {
      pb::LeaseKeepAliveResponse reply;
      if (call([&](grpc::ClientContext& context) {
            const auto stream = lease_->LeaseKeepAlive(&context);
            pb::LeaseKeepAliveRequest request;
            request.set_id(lease);
            const bool has_reply = stream->Write(request) && stream->Read(&reply);
            stream->WritesDone();
            const grpc::Status status = stream->Finish();
            return has_reply || !status.ok() ? status
                                             : grpc::Status(grpc::StatusCode::UNAVAILABLE, "no answer");
          }))
        registration_.kept(now_us(), reply.ttl());
    };
  }
  void revoke(std::int64_t lease) override {
    next_call_ = [this, lease] {
      pb::LeaseRevokeRequest request;
      request.set_id(lease);
      pb::LeaseRevokeResponse reply;
      if (call([&](auto& context) { return lease_->LeaseRevoke(&context, request, &reply); }))
        registration_.revoked();
    };
  }

 private:
  template <class Rpc>
  bool call(Rpc rpc) {
    grpc::ClientContext context;
    context.set_deadline(std::chrono::system_clock::now() + kCallTimeout);
    const grpc::Status status = rpc(context);
    if (status.ok()) return true;
    std::fprintf(stderr, "streampick_roster: %s\n", status.error_message().c_str());
    registration_.failed(now_us());
    return false;
  }

  Entry entry_;
  std::shared_ptr<grpc::Channel> channel_;
  std::unique_ptr<pb::KV::Stub> kv_;
  std::unique_ptr<pb::Lease::Stub> lease_;
  etcd::Registration registration_;
  long long up_since_ms_;
  std::function<void()> next_call_;
};

int list(const Entry& entry) {
  const auto kv = pb::KV::NewStub(channel_to(entry.endpoint));
  Names names;  // empty: any zone and kind is valid
  etcd::Registry registry(names);
  etcd::Publication listing;
  listing.complete = true;
  std::string end = entry.prefix;
  end.back() = static_cast<char>(end.back() + 1);
  std::string from = entry.prefix;
  for (bool more = true; more;) {
    grpc::ClientContext context;
    context.set_deadline(std::chrono::system_clock::now() + 5 * kCallTimeout);
    pb::RangeRequest request;
    request.set_key(from);
    request.set_range_end(end);
    request.set_limit(1'000);
    request.set_revision(listing.revision);
    pb::RangeResponse reply;
    const grpc::Status status = kv->Range(&context, request, &reply);
    if (!status.ok()) {
      std::fprintf(stderr, "streampick_roster: %s\n", status.error_message().c_str());
      return kFailed;
    }
    if (listing.revision == 0) listing.revision = reply.header().revision();
    for (const auto& one : reply.kvs())
      listing.puts.push_back({one.key(), one.value(), one.create_revision(), one.mod_revision()});
    more = reply.more() && reply.kvs_size() > 0;
    if (more) from = reply.kvs(reply.kvs_size() - 1).key() + '\0';
  }
  registry.apply(listing);
  std::printf("revision %lld, %zu servers, %zu keys ignored\n", static_cast<long long>(listing.revision),
              registry.members(), registry.quarantined());
  for (const engine::ListedEndpoint& one : registry.list().members)
    std::printf("%-24s %-21s %s\n", one.id.c_str(), one.address.c_str(),
                one.member.phase == Phase::draining ? "draining" : "ready");
  for (const auto& fault : registry.take_faults())
    std::printf("%s has an invalid value, which is ignored: %s\n", fault.key.c_str(), fault.reason.c_str());
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  Entry entry;
  CLI::App app("Registers a server in etcd for routers that read their roster there, or lists the servers.",
               "streampick_roster");
  app.require_subcommand(1);
  app.add_option("--endpoint", entry.endpoint, "etcd's address")->capture_default_str();
  app.add_option("--prefix", entry.prefix, "prefix of the keys")->capture_default_str();
  app.fallthrough();
  CLI::App* const register_command =
      app.add_subcommand("register", "keep an entry alive; SIGTERM drains and removes it");
  register_command->add_option("--id", entry.id, "the server's name")->required();
  register_command->add_option("--address", entry.address, "HOST:PORT that routers connect to")->required();
  register_command->add_option("--zone", entry.zone);
  register_command->add_option("--kind", entry.kind);
  register_command->add_option("--cell", entry.cell);
  register_command->add_option("--size", entry.size)->check(CLI::PositiveNumber);
  register_command->add_option("--ttl-s", entry.ttl_s, "time to live of the lease, in seconds")
      ->check(CLI::Range(1, 3'600))
      ->capture_default_str();
  register_command->add_option("--drain-s", entry.drain_s, "seconds from draining to removal")
      ->check(CLI::Range(0, 3'600));
  CLI::App* const list_command =
      app.add_subcommand("list", "list the servers as routers read them from the keys");
  try {
    app.parse(argc, argv);
  } catch (const CLI::Success& success) {
    return app.exit(success);
  } catch (const CLI::ParseError& error) {
    std::fprintf(stderr, "streampick_roster: %s\n", error.what());
    return kUsageError;
  }
  if (entry.prefix.empty()) {
    std::fprintf(stderr, "streampick_roster: --prefix must not be empty\n");
    return kUsageError;
  }
  if (list_command->parsed()) return list(entry);
  // run() waits for these signals. They are blocked before gRPC starts its threads, which inherit the mask.
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigprocmask(SIG_BLOCK, &signals, nullptr);
  return Publisher(entry).run(signals);
}
