// Digests of what the HTTP/1.1 downstream sends, closes and reports for fixed byte streams of clients. A
// digest that no longer matches means that the behaviour has changed.
#include <sys/socket.h>

#include "http1/scripted_downstream.h"

namespace streampick::test {
namespace {

using DownstreamDigest = ScriptedDownstream;
using std::chrono::milliseconds;

TEST_F(DownstreamDigest, ValidRequests) {
  engine.respond_at_once = [] { return served("value"); };
  start();
  exchange("plain", read_request());
  exchange("query", request("GET", "/read/7f3a9c21e0b4d655?a=b", "read"));
  exchange("absolute", request("GET", "HTTP://a:80/read/a/b/c", "read"));
  exchange("keyless", request("GET", "/read", "read"));
  exchange("hints", read_request("X-Org: umbrella\r\nX-Estimate: 1500\r\nX-Estimated: 3\r\n"));
  exchange("bad hint", read_request("X-Org: nobody\r\nX-Estimate: soon\r\n"));
  exchange("write", write_request("hello", "Content-Type: text/y\r\n"));
  exchange("empty write", request("PUT", "/pay/1", "pay"));
  exchange("keyed write",
           request("PUT", "/save/key", "save", "Idempotency-Key: k1\r\nContent-Length: 0\r\n"));
  exchange("64 KiB", write_request(body_of(64 * 1024)));
  exchange("chunked", request("PUT", "/pay/1", "pay", "Transfer-Encoding: chunked\r\n",
                              "5;x=y\r\nhello\r\n3\r\nabc\r\n0\r\nX-Other: 1\r\n\r\n"));
  exchange("close", read_request("Connection: close\r\n"));
  exchange("continue", write_request("hello", "Expect: 100-Continue\r\n"));
  const auto client = connect();
  for (std::size_t i = 1; i <= 3; ++i) {
    send(*client, read_request());
    ASSERT_TRUE(has_responses(*client, i));
  }
  record("kept alive", *client);
  record_counts();
  expect_digest(6994399956386938277U);
}

TEST_F(DownstreamDigest, MalformedAndRejectedRequests) {
  engine.respond_at_once = [] { return served("value"); };
  start();
  const auto without = [](std::string text, const std::string& header) {
    const std::size_t begin = text.find(header);
    return text.erase(begin, text.find("\r\n", begin) + 2 - begin);
  };
  const auto replaced = [](std::string text, const std::string& from, const std::string& to) {
    return text.replace(text.find(from), from.size(), to);
  };
  const std::string chunked = "Transfer-Encoding: chunked\r\n";
  const std::string chunks = "5\r\nvalue\r\n0\r\n\r\n";
  const std::vector<std::string> texts = {
      "nonsense\r\n\r\n",
      "GET\r\n\r\n",
      "GET /read/1 HTTP/9.9\r\n\r\n",
      "GET /read/1 HTTP/1.1\r\nno colon\r\n\r\n",
      "GET /read/1 HTTP/1.1\r\nHost: a\r\n folded\r\n\r\n",
      without(read_request(), "Host"),
      without(read_request(), "X-Txn"),
      without(read_request(), "X-Lane"),
      without(read_request(), "X-Remaining"),
      replaced(read_request(), "Host: a", "Host: a b"),
      replaced(read_request(), "Host: a", "Host:"),
      read_request("Host: a\r\n"),
      replaced(read_request(), "00000000000000aa", "xyz"),
      replaced(read_request(), "00000000000000aa", "00000000000000aaa"),
      replaced(read_request(), "5.25", "soon"),
      replaced(read_request(), "5.25", "-1"),
      replaced(read_request(), "5.25", "1e3"),
      replaced(read_request(), "5.25", "1.2.3"),
      replaced(read_request(), "5.25", "86401"),
      replaced(read_request(), "5.25", "86400"),
      replaced(read_request(), "5.25", "0"),
      request("GET", "/song/1", "song"),
      request("GET", "/read/1", "save"),
      request("GET", "/song/1", "read"),
      request("GET", "/", "read"),
      request("GET", "*", "read"),
      request("GET", "http://a", "read"),
      request("GET", "http:///read/1", "read"),
      request("GET", "ftp://a/read/1", "read"),
      without(request("GET", "/song/1", "song"), "X-Lane"),
      request("POST", "/read/1", "read"),
      request("DELETE", "/read/1", "read"),
      request("HEAD", "/read/1", "read"),
      request("OPTIONS", "/read/1", "read"),
      request("BREW", "/read/1", "read"),
      request("CONNECT", "a:80", "read"),
      request("PUT", "/save/1", "save", "Content-Length: 1\r\n", "x"),
      read_request("X-Txn: 00000000000000ab\r\n"),
      read_request("X-Lane: save\r\n"),
      read_request("X-Remaining: 1\r\n"),
      read_request("X-Org: a\r\nX-Org: b\r\n"),
      read_request("X-Estimate: 1\r\nX-Estimate: 1\r\n"),
      request("PUT", "/save/1", "save", "Idempotency-Key: a\r\nIdempotency-Key: b\r\nContent-Length: 0\r\n"),
      request("PUT", "/pay/1", "pay", chunked, "1\r\nx\r\n0\r\nX-Txn: 0000000000000001\r\n\r\n"),
      request("PUT", "/pay/1", "pay", "Content-Length: 5\r\n" + chunked, chunks),
      request("PUT", "/pay/1", "pay", "Content-Length: 5\r\nContent-Length: 5\r\n", "value"),
      request("PUT", "/pay/1", "pay", "Content-Length: 5, 5\r\n", "value"),
      request("PUT", "/pay/1", "pay", "Content-Length: +5\r\n", "value"),
      request("PUT", "/pay/1", "pay", "Transfer-Encoding: gzip, chunked\r\n", chunks),
      request("PUT", "/pay/1", "pay", "Transfer-Encoding: identity\r\n", "value"),
      request("PUT", "/pay/1", "pay", chunked, "x\r\nvalue\r\n0\r\n\r\n"),
      request("PUT", "/pay/1", "pay", chunked, "5\r\nvaluevalue\r\n0\r\n\r\n"),
      replaced(request("PUT", "/pay/1", "pay", chunked, chunks), "HTTP/1.1", "HTTP/1.0"),
      request("PUT", "/pay/1", "pay", "Content-Length: 33554433\r\n"),
      request("GET", "/read/1", "read", "Content-Length: 65537\r\n", body_of(65'537)),
      request("GET", "/read/1", "read", "Content-Length: 1048577\r\n"),
      read_request("X-Pad: " + std::string(17'000, 'p') + "\r\n"),
      request("GET", "/read/1", "read") + "GET",
      request("GET", "/song/1", "song") + request("GET", "/read/1", "read"),
      "GET /up HTTP/1.1\r\n\r\n",
      "GET http://b/up HTTP/1.0\r\n\r\n",
      "PUT /up HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
      "GET /up?x HTTP/1.1\r\nHost: a\r\n\r\n",
  };
  for (const std::string& text : texts) exchange(printable(text).substr(0, 60), text);
  record_counts();
  expect_digest(16908526342915854667U);
}

TEST_F(DownstreamDigest, Versions) {
  engine.respond_at_once = [] { return served("value"); };
  start();
  const auto as_http10 = [](std::string text) { return text.replace(text.find("HTTP/1.1"), 8, "HTTP/1.0"); };
  exchange("1.0", as_http10(read_request()));
  exchange("1.0, kept alive", as_http10(read_request("Connection: keep-alive\r\n")));
  exchange("1.0 and 1.1",
           as_http10(read_request("Connection: keep-alive\r\n")) + read_request("Connection: Close\r\n"), 2);
  exchange("1.0, bad", as_http10(request("GET", "/song/1", "song", "Connection: keep-alive\r\n")));
  exchange("1.0, 405", as_http10(request("POST", "/read/1", "read")));
  record_counts();
  expect_digest(6676142719619157017U);
}

TEST_F(DownstreamDigest, PipelinedRequestsAreAnsweredInOrder) {
  start();
  const auto client = connect();
  std::string texts;
  for (int i = 0; i < 4; ++i) texts += request("GET", "/read/" + std::to_string(i), "read");
  send(*client, texts + write_request("hello") + read_request().substr(0, 50));
  for (std::size_t i = 1; i <= 5; ++i) {
    ASSERT_TRUE(has_requests(i));
    settle();
    EXPECT_EQ(engine.open.size(), 1U);
    transcript.add("counts " + server->summary());
    engine.respond(served("value " + std::to_string(i)));
    ASSERT_TRUE(has_responses(*client, i));
    record("client", *client);
  }
  send(*client, read_request().substr(50) + "junk\r\n\r\n");
  ASSERT_TRUE(has_requests(6));
  engine.respond(served("last"));
  ASSERT_TRUE(has_ended(*client));
  record("client", *client);
  const auto slow = connect();
  for (const char character : write_request("value")) {
    slow->write(std::string(1, character));
    run_once();
  }
  ASSERT_TRUE(has_requests(7));
  record("one byte at a time", *slow);
  engine.respond(served("dripped"));
  record("one byte at a time", *slow);
  record_counts();
  expect_digest(9764688706285865372U);
}

TEST_F(DownstreamDigest, BytesSentAheadAreBounded) {
  // All pipelined bytes fit into the receive buffer, so the sizes of the reads do not depend on timing.
  constexpr std::size_t kReceiveBuffer = 200'000;
  net::tcp::acceptor listening(io);
  listening.open(net::tcp::v4());
  listening.set_option(asio::socket_base::receive_buffer_size(kReceiveBuffer));
  listening.bind(any_address());
  listening.listen();
  start(::dup(listening.native_handle()));
  for (const bool has_memory : {true, false}) {
    body_memory.set_limit(has_memory ? 8U * 1024 * 1024 : 0);
    for (const std::size_t size : {15'000U, 40'000U, 100'000U, 150'000U}) {
      const std::size_t requests = engine.requests();
      const auto client = connect();
      send(*client, read_request());
      ASSERT_TRUE(has_requests(requests + 1));
      std::string ahead;
      while (ahead.size() < size) ahead += request("GET", "/read/" + std::string(500, 'x'), "read");
      send(*client, ahead, kReceiveBuffer);
      settle();
      record_counts();
      engine.respond_at_once = [] { return served("value"); };
      engine.respond(served("first"));
      if (size < (has_memory ? 80'000U : 16'000U)) {
        ASSERT_TRUE(has_responses(*client, 2));
      } else {
        ASSERT_TRUE(has_ended(*client));
      }
      engine.respond_at_once = {};
      record("client " + std::to_string(size), *client);
    }
  }
  record_counts();
  expect_digest(7251825875969769116U);
}

TEST_F(DownstreamDigest, Responses) {
  start();
  const auto as_http10 = [](std::string text) { return text.replace(text.find("HTTP/1.1"), 8, "HTTP/1.0"); };
  std::size_t requests = 0;
  const auto respond = [&](const std::string& name, const std::string& text, engine::Response response) {
    const auto client = connect();
    send(*client, text);
    EXPECT_TRUE(has_requests(++requests)) << name;
    engine.respond(std::move(response));
    EXPECT_TRUE(has_responses(*client, 1)) << name;
    record(name, *client);
  };
  respond("no type", read_request(), served("value", ""));
  respond("empty", read_request(), served(""));
  respond("large", read_request(), served(body_of(900'000)));
  engine::Response rejected;
  rejected.kind = engine::Response::Kind::rejected;
  respond("rejected", read_request(), std::move(rejected));
  for (const Time time : {1, 499, 500, 1'500'400, 61'000'000}) {
    engine::Response later;
    later.kind = engine::Response::Kind::rejected;
    later.retry_after = time;
    respond("rejected for " + std::to_string(time), read_request(), std::move(later));
  }
  engine::Response failed;
  respond("failed", read_request(), std::move(failed));
  engine::Response late;
  late.late = true;
  respond("late", read_request(), std::move(late));
  using State = engine::BodyStream::State;
  const auto stream_of = [](std::optional<std::uint64_t> length, const std::string& body, State state) {
    auto stream = std::make_shared<engine::BodyStream>(length, 1024 * 1024);
    stream->write(body);
    if (state != State::open) stream->end(state);
    return stream;
  };
  for (const bool is_old : {false, true}) {
    const std::string text = is_old ? as_http10(read_request()) : read_request();
    const std::string version = is_old ? "1.0 " : "1.1 ";
    respond(version + "length", text, served(stream_of(5, "value", State::complete)));
    respond(version + "no length", text, served(stream_of({}, "value", State::complete)));
    respond(version + "empty", text, served(stream_of({}, "", State::complete)));
    respond(version + "truncated", text, served(stream_of({}, "value", State::truncated)));
  }
  const auto parts = stream_of({}, "first", State::open);
  const auto client = connect();
  send(*client, read_request() + read_request());
  ASSERT_TRUE(has_requests(++requests));
  engine.respond(served(parts));
  ASSERT_TRUE(has_responses(*client, 1));
  record("in parts", *client);
  parts->write("second");
  record("in parts", *client);
  parts->write(body_of(200'000));
  record("in parts", *client);
  parts->end(State::complete);
  ASSERT_TRUE(has_requests(++requests));
  record("in parts", *client);
  engine.respond(served("next"));
  record("in parts", *client);
  record_counts();
  expect_digest(409389168677762079U);
}

TEST_F(DownstreamDigest, Uploads) {
  start();
  const std::string body = body_of(2 * 1024 * 1024);
  std::size_t requests = 0;
  // Sends a request whose body the engine reads as it arrives. `following` is sent after `text` on the same
  // connection.
  const auto upload = [&](const std::string& name, const std::string& text, const std::string& following,
                          std::size_t size) {
    const auto client = connect();
    send(*client, text + following);
    EXPECT_TRUE(has_requests(++requests)) << name;
    EXPECT_TRUE(run_until([&] { return !engine.open.empty() && engine.open[0].upload.size() == size; }))
        << name;
    settle();
    transcript.add(name + " uploaded [" + printable(engine.open[0].upload) + "] state " +
                   std::to_string(static_cast<int>(engine.open[0].incoming.message->upload->state())));
    record(name, *client);
    engine.respond(served("stored"));
    EXPECT_TRUE(has_responses(*client, 1)) << name;
    record(name, *client);
    record_counts();
  };
  upload("length", write_request(body), "", body.size());
  upload("chunked", request("PUT", "/pay/1", "pay", "Transfer-Encoding: chunked\r\n", "200000\r\n" + body),
         "\r\n0\r\n\r\n", body.size());
  upload("answered early", write_request(body).substr(0, 1'000'000), "",
         1'000'000 - (write_request(body).size() - body.size()));
  upload("close", write_request(body, "Connection: close\r\n"), "", body.size());
  {
    const auto client = connect();
    const std::string text = write_request(body, "Expect: 100-continue\r\n");
    const std::size_t head = text.size() - body.size();
    send(*client, text.substr(0, head));
    ASSERT_TRUE(has_requests(++requests));
    ASSERT_TRUE(has_responses(*client, 1));
    record("continue", *client);
    send(*client, text.substr(head) + read_request());
    ASSERT_TRUE(run_until([&] { return engine.open[0].upload.size() == body.size(); }));
    engine.respond(served("stored"));
    ASSERT_TRUE(has_requests(++requests));
    engine.respond(served("read"));
    ASSERT_TRUE(has_responses(*client, 3));
    record("continue", *client);
  }
  {
    const auto client = connect();
    send(*client,
         request("PUT", "/pay/1", "pay", "Transfer-Encoding: chunked\r\n", "200000\r\n" + body) + "junk\r\n");
    ASSERT_TRUE(has_requests(++requests));
    ASSERT_TRUE(has_ended(*client));
    record("malformed chunk", *client);
  }
  {
    auto client = connect();
    send(*client, write_request(body).substr(0, 500'000));
    ASSERT_TRUE(has_requests(++requests));
    client.reset();
    ASSERT_TRUE(run_until([&] { return engine.cancelled() == 2; }));
  }
  engine.rejects_id = true;
  {
    const auto client = connect();
    send(*client, write_request(body).substr(0, 500'000));
    ASSERT_TRUE(has_requests(++requests));
    ASSERT_TRUE(has_ended(*client));
    record("id is open", *client);
  }
  exchange("id is open", read_request());
  engine.rejects_id = false;
  record_counts();
  expect_digest(14393336585352176689U);
}

TEST_F(DownstreamDigest, UploadsOverTheMaximumAreRejected) {
  start();
  const std::string body = body_of(2 * 1024 * 1024);
  const auto client = connect();
  send(*client, request("PUT", "/pay/1", "pay", "Transfer-Encoding: chunked\r\n"));
  for (int i = 0; i < 17 && !client->end; ++i) {
    send(*client, "200000\r\n" + body + "\r\n");
    client->take();
  }
  ASSERT_TRUE(has_ended(*client));
  record("client", *client);
  record_counts();
  expect_digest(5379966663439807524U);
}

TEST_F(DownstreamDigest, MemoryForBodies) {
  engine.respond_at_once = [] { return served("stored"); };
  start();
  const std::string middle = body_of(300'000);
  exchange("kept", write_request(middle));
  exchange("kept, chunked", request("PUT", "/pay/1", "pay", "Transfer-Encoding: chunked\r\n",
                                    "493e0\r\n" + middle + "\r\n0\r\n\r\n"));
  record_counts();
  body_memory.set_limit(100'000);
  engine.respond_at_once = {};
  {
    const auto client = connect();
    send(*client, write_request(middle));
    ASSERT_TRUE(has_requests(3));
    ASSERT_TRUE(run_until([&] { return engine.open[0].upload.size() == middle.size(); }));
    record_counts();
    engine.respond(served("streamed"));
    record("streamed", *client);
  }
  body_memory.set_limit(0);
  exchange("no memory", write_request(middle));
  exchange("no memory, unknown class", request("PUT", "/song/1", "song", "Content-Length: 300000\r\n"));
  exchange("no memory, chunked", request("PUT", "/pay/1", "pay", "Transfer-Encoding: chunked\r\n",
                                         "493e0\r\n" + middle + "\r\n0\r\n\r\n"));
  exchange("small", request("GET", "/song/1", "song"));
  record_counts();
  expect_digest(4797648746650563130U);
}

TEST_F(DownstreamDigest, ClientsThatDisconnect) {
  start();
  for (const Client::Way way : {Client::Way::fin, Client::Way::reset}) {
    for (const std::string& ahead : {std::string(), read_request(), std::string(10'000, 'x')}) {
      const auto client = connect();
      const std::size_t requests = engine.requests();
      const std::size_t cancelled = engine.cancelled();
      send(*client, read_request());
      ASSERT_TRUE(has_requests(requests + 1));
      send(*client, ahead);
      settle();
      const auto sink = engine.open[0].sink;
      transcript.add("gone before: " + std::to_string(sink->client_gone()));
      client->go(way);
      ASSERT_TRUE(run_until([&] { return engine.cancelled() == cancelled + 1; }));
      transcript.add("gone: " + std::to_string(sink->client_gone()));
      sink->respond(0, served("nobody reads this"));
      settle();
      record_counts();
    }
  }
  const auto client = connect();
  send(*client, read_request());
  ASSERT_TRUE(has_requests(7));
  client->socket.shutdown(net::tcp::socket::shutdown_send);
  ASSERT_TRUE(has_ended(*client));
  record("half closed", *client);
  record_counts();
  expect_digest(1329917764089469975U);
}

TEST_F(DownstreamDigest, Draining) {
  start();
  const auto with_request = connect();
  send(*with_request, read_request());
  ASSERT_TRUE(has_requests(1));
  const auto pipelining = connect();
  send(*pipelining, read_request());
  ASSERT_TRUE(has_requests(2));
  send(*pipelining, read_request());
  settle();
  engine.respond_at_once = [] { return served("value"); };
  const auto idle = connect();
  send(*idle, read_request());
  ASSERT_TRUE(has_responses(*idle, 1));
  const auto with_unread = connect();
  send(*with_unread, read_request());
  ASSERT_TRUE(has_responses(*with_unread, 1));
  const auto half = connect();
  send(*half, read_request().substr(0, 40));
  const auto fresh = connect();
  ASSERT_TRUE(run_until([&] { return server->open_connections() == 6; }));
  settle();
  record_counts();
  send(*with_unread, read_request());
  server->on_drain_started();
  ASSERT_TRUE(has_ended(*idle));
  record("idle", *idle);
  ASSERT_TRUE(has_ended(*with_unread));
  record("unread request", *with_unread);
  engine.respond(served("value"));
  ASSERT_TRUE(has_ended(*with_request));
  record("open request", *with_request);
  engine.respond(served("value"));
  ASSERT_TRUE(has_ended(*pipelining));
  record("pipelined requests", *pipelining);
  send(*half, read_request().substr(40));
  ASSERT_TRUE(has_ended(*half));
  record("half a request", *half);
  ASSERT_TRUE(has_ended(*fresh));
  record("fresh", *fresh);
  exchange("new", read_request());
  exchange("health check", "GET /up HTTP/1.1\r\n\r\n");
  server->on_drain_ended();
  exchange("after the end", read_request());
  exchange("health check", "GET /up HTTP/1.1\r\n\r\n");
  record_counts();
  server->stop_accepting();
  transcript.add("listens " + std::to_string(server->listens()));
  expect_digest(5523372239395689570U);
}

TEST_F(DownstreamDigest, ShutdownBesideAnotherProcess) {
  engine.respond_at_once = [] { return served("value"); };
  net::tcp::acceptor listening(io, any_address());
  start(::dup(listening.native_handle()));
  std::vector<std::unique_ptr<Client>> idle;
  for (int i = 0; i < 2; ++i) {
    idle.push_back(connect());
    send(*idle.back(), read_request());
    ASSERT_TRUE(has_responses(*idle.back(), 1));
  }
  server->on_shutdown_started();
  server->on_drain_started();
  transcript.add("listens " + std::to_string(server->listens()));
  record("kept", *idle[0]);
  send(*idle[0], read_request());
  ASSERT_TRUE(has_ended(*idle[0]));
  record("one more", *idle[0]);
  server->stop_accepting();
  ASSERT_TRUE(has_ended(*idle[1]));
  record("closed", *idle[1]);
  ASSERT_TRUE(run_until([&] { return server->open_connections() == 0; }));
  record_counts();
  expect_digest(13556688095491181398U);
}

TEST_F(DownstreamDigest, TimeLimits) {
  overload.idle_timeout = 300'000;
  start();
  std::vector<std::pair<std::string, std::unique_ptr<Client>>> clients;
  const auto stop_after = [&](const std::string& name, const std::string& text) {
    clients.emplace_back(name, connect());
    send(*clients.back().second, text);
    settle();
  };
  stop_after("nothing", "");
  stop_after("half a head", read_request().substr(0, 40));
  stop_after("half a body", write_request("hello").substr(0, write_request("hello").size() - 2));
  stop_after("half a long body", write_request(body_of(200'000)).substr(0, 100'000));
  stop_after("half an upload", write_request(body_of(2'000'000)).substr(0, 1'000));
  stop_after("half a chunk",
             request("PUT", "/pay/1", "pay", "Transfer-Encoding: chunked\r\n", "ff\r\nhalf a chunk"));
  engine.respond_at_once = [] { return served("value"); };
  stop_after("idle", read_request());
  stop_after("half a second request", read_request() + "GET");
  ASSERT_TRUE(run_until([&] {
    for (const auto& [name, client] : clients) {
      if (client->end) continue;
      client->take();
      if (client->end) client->socket.shutdown(net::tcp::socket::shutdown_send);
    }
    return std::all_of(clients.begin(), clients.end(),
                       [](const auto& named) { return static_cast<bool>(named.second->end); });
  }));
  for (const auto& [name, client] : clients) record(name, *client);
  ASSERT_TRUE(run_until([&] { return server->open_connections() == 0; }));
  record_counts();
  expect_digest(16694928666294934791U);
}

TEST_F(DownstreamDigest, EvictionWithoutFreeDescriptors) {
  engine.respond_at_once = [] { return served("value"); };
  overload.connection_pressure_share = 1;
  descriptors = overload::DescriptorBudget({8, 2, 2});
  start();
  std::vector<std::unique_ptr<Client>> clients;
  for (int i = 0; i < 6; ++i) {
    clients.push_back(connect());
    if (i % 2 == 0) {
      send(*clients.back(), read_request());
      ASSERT_TRUE(has_responses(*clients.back(), 1));
    }
    run_for(milliseconds(60));  // a connection without a request is evicted only if it is older than 50 ms
  }
  record_counts();
  for (int i = 0; i < 5; ++i) {
    clients.push_back(connect());
    send(*clients.back(), read_request());
    ASSERT_TRUE(has_responses(*clients.back(), 1));
    settle();
  }
  transcript.add("evicted one more " + std::to_string(server->evict_connection()));
  for (std::size_t i = 0; i < clients.size(); ++i) record(std::to_string(i), *clients[i]);
  record_counts();
  expect_digest(2290603722178274474U);
}

TEST_F(DownstreamDigest, ConnectionPressureClosesAfterTheFirstResponse) {
  engine.respond_at_once = [] { return served("value"); };
  overload.connection_pressure_share = 0.02;
  start();
  std::vector<std::unique_ptr<Client>> clients;
  for (int i = 0; i < 6; ++i) {
    clients.push_back(connect());
    send(*clients.back(), read_request());
    ASSERT_TRUE(has_responses(*clients.back(), 1));
    record(std::to_string(i), *clients.back());
  }
  send(*clients[0], read_request());
  ASSERT_TRUE(has_responses(*clients[0], 2));
  record("second request", *clients[0]);
  expect_digest(5093176269817096927U);
}

TEST_F(DownstreamDigest, LoadSheddingWhileTheLoopIsBehind) {
  overload.target_loop_lag = 1;
  start();
  // Makes every probe of the event loop late, so that the shedding level reaches its maximum within a few
  // windows.
  const auto delay_loop = [&](milliseconds time) {
    const auto end = std::chrono::steady_clock::now() + time;
    while (std::chrono::steady_clock::now() < end) {
      load_shedder().on_client_activity();
      std::this_thread::sleep_for(milliseconds(1));
      run_once();
    }
  };
  const auto without_time_left = [](std::string text) { return text.replace(text.find("5.25"), 4, "0.00"); };
  const auto exchange_behind = [&](const std::string& name, const std::string& text,
                                   std::size_t responses = 1) {
    delay_loop(milliseconds(150));
    exchange(name, text, responses);
  };
  delay_loop(milliseconds(1'500));
  exchange_behind("read", without_time_left(read_request()));
  exchange_behind("two", without_time_left(read_request()) + without_time_left(read_request()), 2);
  exchange_behind("body to come", without_time_left(write_request(body_of(1'000'000)).substr(0, 300)));
  exchange_behind("bad path", without_time_left(request("GET", "/song/1", "song")));
  exchange_behind("no path", without_time_left(request("GET", "*", "read")));
  exchange_behind("bad time", request("GET", "/read/1", "read", "X-Remaining: 1\r\n"));
  record_counts();
  expect_digest(503777692283660611U);
}

}  // namespace
}  // namespace streampick::test
