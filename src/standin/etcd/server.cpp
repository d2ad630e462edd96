#include "standin/etcd/server.h"

#include <grpcpp/grpcpp.h>

#include <map>
#include <thread>

#include "streampick/etcd/rpc.grpc.pb.h"

namespace streampick::standin {

namespace pb = etcdserverpb;
using grpc::Status;
using grpc::StatusCode;

struct EtcdServer::Services {
  explicit Services(EtcdServer& of, const Tls& tls)
      : owner(of), kv(*this), watch(*this), lease(*this), auth(*this) {
    grpc::ServerBuilder builder;
    std::shared_ptr<grpc::ServerCredentials> credentials = grpc::InsecureServerCredentials();
    if (!tls.certificate.empty()) {
      grpc::SslServerCredentialsOptions options(
          tls.client_ca.empty() ? GRPC_SSL_DONT_REQUEST_CLIENT_CERTIFICATE
                                : GRPC_SSL_REQUEST_AND_REQUIRE_CLIENT_CERTIFICATE_AND_VERIFY);
      options.pem_root_certs = tls.client_ca;
      options.pem_key_cert_pairs.push_back({tls.key, tls.certificate});
      credentials = grpc::SslServerCredentials(options);
    }
    builder.AddListeningPort("127.0.0.1:" + std::to_string(of.port_), credentials, &of.port_);
    builder.RegisterService(&kv);
    builder.RegisterService(&watch);
    builder.RegisterService(&lease);
    builder.RegisterService(&auth);
    builder.SetMaxReceiveMessageSize(64 * 1024 * 1024);
    server = builder.BuildAndStart();
  }

  // Requires that the cluster's mutex is held.
  void head(pb::ResponseHeader& header, std::int64_t revision) const {
    header.set_cluster_id(owner.faults_.cluster_id != 0 ? owner.faults_.cluster_id
                                                        : owner.cluster_->history.cluster_id);
    header.set_member_id(1);
    header.set_revision(revision);
    header.set_raft_term(2);
  }
  // Ends expired leases and deletes their keys.
  void expire() {
    const auto now = std::chrono::steady_clock::now();
    for (auto it = leases.begin(); it != leases.end();) {
      if (it->second.until > now) {
        ++it;
        continue;
      }
      owner.cluster_->history.end_lease(it->first);
      it = leases.erase(it);
      owner.cluster_->changed.notify_all();
    }
  }
  // Applies the faults of every call: returns an error, or waits until the server is no longer silent.
  Status met(grpc::ServerContext& context, std::unique_lock<std::mutex>& lock) {
    expire();
    if (owner.faults_.unavailable) return {StatusCode::UNAVAILABLE, "etcdserver: no leader"};
    while (owner.faults_.silent && !owner.ended_) {
      if (context.IsCancelled()) return {StatusCode::CANCELLED, ""};
      owner.cluster_->changed.wait_for(lock, std::chrono::milliseconds(20));
    }
    if (owner.faults_.password.empty()) return Status::OK;
    const auto& metadata = context.client_metadata();
    const auto found = metadata.find("token");
    const std::string token =
        found == metadata.end() ? "" : std::string(found->second.data(), found->second.size());
    const auto known = tokens.find(token);
    if (known == tokens.end()) return {StatusCode::UNAUTHENTICATED, "etcdserver: invalid auth token"};
    if (known->second > 0 && --known->second == 0) tokens.erase(known);
    return Status::OK;
  }

  struct Kv final : pb::KV::Service {
    explicit Kv(Services& of) : all(of) {}
    Status Range(grpc::ServerContext* context, const pb::RangeRequest* request,
                 pb::RangeResponse* reply) override {
      std::unique_lock lock(all.owner.cluster_->mutex);
      ++all.owner.ranges;
      if (request->revision() == 0) all.owner.asked_.push_back(std::chrono::steady_clock::now());
      if (Status status = all.met(*context, lock); !status.ok()) return status;
      const EtcdHistory& history = all.owner.cluster_->history;
      const std::int64_t newest = std::max(history.compacted(), history.revision() - all.owner.faults_.lag);
      const std::int64_t at = request->revision() > 0 ? request->revision() : newest;
      if (at < history.compacted())
        return {StatusCode::OUT_OF_RANGE, "etcdserver: mvcc: required revision has been compacted"};
      if (at > history.revision())
        return {StatusCode::OUT_OF_RANGE, "etcdserver: mvcc: required revision is a future revision"};
      const auto state = at == history.revision() ? history.now() : history.state(at);
      std::int64_t count = 0;
      for (auto it = state.lower_bound(request->key()); it != state.end() && it->first < request->range_end();
           ++it) {
        ++count;
        if (request->limit() > 0 && count > request->limit()) continue;
        fill(*reply->add_kvs(), it->second);
      }
      reply->set_count(count);
      reply->set_more(request->limit() > 0 && count > request->limit());
      all.head(*reply->mutable_header(), request->revision() > 0 ? history.revision() : newest);
      return Status::OK;
    }
    Status Put(grpc::ServerContext* context, const pb::PutRequest* request, pb::PutResponse* reply) override {
      std::unique_lock lock(all.owner.cluster_->mutex);
      if (Status status = all.met(*context, lock); !status.ok()) return status;
      if (request->lease() != 0 && !all.leases.contains(request->lease()))
        return {StatusCode::NOT_FOUND, "etcdserver: requested lease not found"};
      all.owner.cluster_->history.put(request->key(), request->value(), request->lease());
      all.head(*reply->mutable_header(), all.owner.cluster_->history.revision());
      all.owner.cluster_->changed.notify_all();
      return Status::OK;
    }
    Status DeleteRange(grpc::ServerContext* context, const pb::DeleteRangeRequest* request,
                       pb::DeleteRangeResponse* reply) override {
      std::unique_lock lock(all.owner.cluster_->mutex);
      if (Status status = all.met(*context, lock); !status.ok()) return status;
      const std::int64_t before = all.owner.cluster_->history.revision();
      const std::int64_t after = all.owner.cluster_->history.remove(request->key());
      reply->set_deleted(after > before ? 1 : 0);
      all.head(*reply->mutable_header(), after);
      all.owner.cluster_->changed.notify_all();
      return Status::OK;
    }
    Status Compact(grpc::ServerContext* context, const pb::CompactionRequest* request,
                   pb::CompactionResponse* reply) override {
      std::unique_lock lock(all.owner.cluster_->mutex);
      if (Status status = all.met(*context, lock); !status.ok()) return status;
      all.owner.cluster_->history.compact(request->revision());
      all.head(*reply->mutable_header(), all.owner.cluster_->history.revision());
      return Status::OK;
    }
    Services& all;
  };

  struct Watching final : pb::Watch::Service {
    explicit Watching(Services& of) : all(of) {}
    using Stream = grpc::ServerReaderWriter<pb::WatchResponse, pb::WatchRequest>;
    Status Watch(grpc::ServerContext* context, Stream* stream) override {
      pb::WatchRequest request;
      if (!stream->Read(&request) || !request.has_create_request()) return Status::OK;
      const pb::WatchCreateRequest create = request.create_request();
      EtcdServer& owner = all.owner;
      std::unique_lock lock(owner.cluster_->mutex);
      ++owner.watches;
      owner.asked_.push_back(std::chrono::steady_clock::now());
      if (Status status = all.met(*context, lock); !status.ok()) return status;
      const std::uint64_t generation = owner.generation_;
      if (owner.faults_.slow_creation) owner.cluster_->changed.wait_for(lock, std::chrono::milliseconds(300));
      const EtcdHistory& history = owner.cluster_->history;
      std::int64_t sent = create.start_revision() > 0 ? create.start_revision() - 1 : history.revision();
      pb::WatchResponse created;
      all.head(*created.mutable_header(), history.revision() - owner.faults_.lag);
      created.set_created(true);
      if (!write(lock, *stream, created)) return Status::OK;
      ++owner.open_watches;
      std::atomic<int> asked{0};
      std::thread reads([&] {
        pb::WatchRequest next;
        while (stream->Read(&next))
          if (next.has_progress_request()) {
            ++asked;
            ++owner.progress_asked;
            const std::lock_guard inner(owner.cluster_->mutex);
            owner.cluster_->changed.notify_all();
          }
      });
      const Status status = serve(lock, *context, *stream, create, sent, generation, asked);
      --owner.open_watches;
      lock.unlock();
      context->TryCancel();  // ends the thread that reads from the stream
      reads.join();
      return status;
    }

   private:
    // Writes with the lock released. The lock is held before and after.
    static bool write(std::unique_lock<std::mutex>& lock, Stream& stream, const pb::WatchResponse& reply) {
      lock.unlock();
      const bool ok = stream.Write(reply);
      lock.lock();
      return ok;
    }
    Status serve(std::unique_lock<std::mutex>& lock, grpc::ServerContext& context, Stream& stream,
                 const pb::WatchCreateRequest& create, std::int64_t sent, std::uint64_t generation,
                 std::atomic<int>& asked) {
      EtcdServer& owner = all.owner;
      while (!owner.ended_ && !context.IsCancelled()) {
        all.expire();
        const EtcdHistory& history = owner.cluster_->history;
        if (generation != owner.generation_ || owner.faults_.unavailable)
          return {StatusCode::UNAVAILABLE, "etcdserver: the member stops"};
        if (!owner.faults_.silent) {
          if (sent < history.compacted()) {
            pb::WatchResponse gone;
            all.head(*gone.mutable_header(), history.revision());
            gone.set_canceled(true);
            gone.set_compact_revision(history.compacted());
            gone.set_cancel_reason("etcdserver: mvcc: required revision has been compacted");
            write(lock, stream, gone);
            return Status::OK;
          }
          if (sent < history.revision()) {
            const auto events = history.events(sent + 1, history.revision());
            sent = history.revision();
            if (!deliver(lock, stream, create, events, sent)) return {StatusCode::UNAVAILABLE, "broken off"};
            continue;
          }
          if (asked > 0) {
            asked = 0;
            pb::WatchResponse progress;
            all.head(*progress.mutable_header(), history.revision());
            if (!write(lock, stream, progress)) return Status::OK;
            continue;
          }
        }
        owner.cluster_->changed.wait_for(lock, std::chrono::milliseconds(20));
      }
      return {StatusCode::UNAVAILABLE, "ended"};
    }
    bool deliver(std::unique_lock<std::mutex>& lock, Stream& stream, const pb::WatchCreateRequest& create,
                 const std::vector<EtcdHistory::Event>& events, std::int64_t revision) {
      EtcdServer& owner = all.owner;
      const Faults faults = owner.faults_;
      for (int times = 0; times < (faults.repeat ? 2 : 1); ++times) {
        pb::WatchResponse reply;
        std::size_t told = 0, seen = 0;
        for (const auto& event : events) {
          ++seen;
          if (event.kv.key < create.key() || event.kv.key >= create.range_end()) continue;
          auto& out = *reply.add_events();
          out.set_type(event.removed ? mvccpb::Event::DELETE : mvccpb::Event::PUT);
          fill(*out.mutable_kv(), event.kv);
          ++told;
          if (faults.fragment > 0 && reply.events_size() >= faults.fragment && seen < events.size()) {
            all.head(*reply.mutable_header(), revision);
            reply.set_fragment(true);
            if (!write(lock, stream, reply)) return false;
            if (faults.break_in_batch) return false;
            reply = {};
          }
        }
        if (told == 0) return true;
        all.head(*reply.mutable_header(), revision);
        if (!write(lock, stream, reply)) return false;
        owner.events_sent += told;
      }
      return true;
    }
    Services& all;
  };

  struct Leases final : pb::Lease::Service {
    explicit Leases(Services& of) : all(of) {}
    Status LeaseGrant(grpc::ServerContext* context, const pb::LeaseGrantRequest* request,
                      pb::LeaseGrantResponse* reply) override {
      std::unique_lock lock(all.owner.cluster_->mutex);
      if (Status status = all.met(*context, lock); !status.ok()) return status;
      const std::int64_t id = request->id() != 0 ? request->id() : ++all.last_lease;
      const std::chrono::seconds ttl(request->ttl());
      all.leases[id] = {ttl, std::chrono::steady_clock::now() + ttl};
      reply->set_id(id);
      reply->set_ttl(request->ttl());
      all.head(*reply->mutable_header(), all.owner.cluster_->history.revision());
      return Status::OK;
    }
    Status LeaseRevoke(grpc::ServerContext* context, const pb::LeaseRevokeRequest* request,
                       pb::LeaseRevokeResponse* reply) override {
      std::unique_lock lock(all.owner.cluster_->mutex);
      if (Status status = all.met(*context, lock); !status.ok()) return status;
      if (all.leases.erase(request->id()) == 0)
        return {StatusCode::NOT_FOUND, "etcdserver: requested lease not found"};
      all.owner.cluster_->history.end_lease(request->id());
      all.head(*reply->mutable_header(), all.owner.cluster_->history.revision());
      all.owner.cluster_->changed.notify_all();
      return Status::OK;
    }
    Status LeaseKeepAlive(
        grpc::ServerContext* context,
        grpc::ServerReaderWriter<pb::LeaseKeepAliveResponse, pb::LeaseKeepAliveRequest>* stream) override {
      pb::LeaseKeepAliveRequest request;
      while (stream->Read(&request)) {
        pb::LeaseKeepAliveResponse reply;
        {
          std::unique_lock lock(all.owner.cluster_->mutex);
          if (Status status = all.met(*context, lock); !status.ok()) return status;
          const auto found = all.leases.find(request.id());
          reply.set_id(request.id());
          if (found != all.leases.end()) {
            found->second.until = std::chrono::steady_clock::now() + found->second.ttl;
            reply.set_ttl(found->second.ttl.count());
          }
          all.head(*reply.mutable_header(), all.owner.cluster_->history.revision());
        }
        if (!stream->Write(reply)) break;
      }
      return Status::OK;
    }
    Services& all;
  };

  struct Authentication final : pb::Auth::Service {
    explicit Authentication(Services& of) : all(of) {}
    Status Authenticate(grpc::ServerContext*, const pb::AuthenticateRequest* request,
                        pb::AuthenticateResponse* reply) override {
      const std::lock_guard lock(all.owner.cluster_->mutex);
      ++all.owner.authentications;
      if (request->password() != all.owner.faults_.password)
        return {StatusCode::INVALID_ARGUMENT,
                "etcdserver: authentication failed, invalid user ID or password"};
      reply->set_token(request->name() + "." + std::to_string(++all.last_token));
      all.tokens[reply->token()] = all.owner.faults_.token_calls;
      return Status::OK;
    }
    Services& all;
  };

  static void fill(mvccpb::KeyValue& out, const EtcdHistory::KeyValue& kv) {
    out.set_key(kv.key);
    out.set_value(kv.value);
    out.set_create_revision(kv.create_revision);
    out.set_mod_revision(kv.mod_revision);
  }

  EtcdServer& owner;
  std::map<std::string, int> tokens;  // by token, the number of calls left; 0: no limit
  std::uint64_t last_token = 0;
  struct Granted {
    std::chrono::seconds ttl;
    std::chrono::steady_clock::time_point until;
  };
  std::map<std::int64_t, Granted> leases;
  std::int64_t last_lease = 100;
  Kv kv;
  Watching watch;
  Leases lease;
  Authentication auth;
  std::unique_ptr<grpc::Server> server;
};

EtcdServer::EtcdServer(std::shared_ptr<EtcdCluster> cluster, int port, const Tls& tls)
    : cluster_(std::move(cluster)), port_(port), services_(std::make_unique<Services>(*this, tls)) {}

EtcdServer::~EtcdServer() {
  {
    const std::lock_guard lock(cluster_->mutex);
    ended_ = true;
    cluster_->changed.notify_all();
  }
  services_->server->Shutdown(std::chrono::system_clock::now() + std::chrono::milliseconds(200));
  services_->server->Wait();
}

void EtcdServer::on(const std::function<void(EtcdHistory&)>& what) {
  const std::lock_guard lock(cluster_->mutex);
  what(cluster_->history);
  cluster_->changed.notify_all();
}
void EtcdServer::put(const std::string& key, const std::string& value) {
  on([&](EtcdHistory& history) { history.put(key, value); });
}
void EtcdServer::remove(const std::string& key) {
  on([&](EtcdHistory& history) { history.remove(key); });
}
void EtcdServer::set(const Faults& faults) {
  const std::lock_guard lock(cluster_->mutex);
  faults_ = faults;
  cluster_->changed.notify_all();
}
std::vector<std::chrono::steady_clock::time_point> EtcdServer::asked() const {
  const std::lock_guard lock(cluster_->mutex);
  return asked_;
}
void EtcdServer::drop_watches() {
  const std::lock_guard lock(cluster_->mutex);
  ++generation_;
  cluster_->changed.notify_all();
}

}  // namespace streampick::standin
