// streampick_demo: starts three stand-in caches, an origin and the router, and sends 200 requests each over
// HTTP and RESP. Then it keeps running for the user's own clients until Ctrl-C; with --once it exits.
#include <signal.h>

#include <CLI/CLI.hpp>
#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <iostream>
#include <thread>

#include "resp/decode.h"
#include "resp/encode.h"
#include "standin/platform.h"
#include "standin/resp_cache.h"

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using namespace streampick;

struct Tally {
  int served = 0, refused = 0, failed = 0;
};

void print(const char* front, const Tally& tally) {
  std::cout << "  " << front << ": " << tally.served << " served, " << tally.refused << " refused, "
            << tally.failed << " failed\n";
}

Tally over_http(const tcp::endpoint& router) {
  Tally out;
  asio::io_context io;
  tcp::socket socket(io);
  socket.connect(router);
  boost::beast::flat_buffer buffer;
  for (int i = 0; i < 200; ++i) {
    const bool write = i % 10 == 0;
    char id[17];
    std::snprintf(id, sizeof id, "%016x", i + 1);
    const std::string lane = write ? "annotation-save" : "tile-read";
    http::request<http::string_body> request(write ? http::verb::put : http::verb::get,
                                             "/" + lane + "/sheet-" + std::to_string(i % 40), 11);
    request.set(http::field::host, "app.svc");
    request.set("X-Txn", id);
    request.set("X-Lane", lane);
    request.set("X-Remaining", "3.0");
    if (write) {
      request.set("Idempotency-Key", id);
      request.body() = "drawing " + std::to_string(i);
    }
    request.prepare_payload();
    http::write(socket, request);
    http::response<http::string_body> response;
    http::read(socket, buffer, response);
    const unsigned status = response.result_int();
    ++(status == 200 ? out.served : status == 503 || status == 429 ? out.refused : out.failed);
  }
  return out;
}

Tally over_resp(const tcp::endpoint& router) {
  Tally out;
  asio::io_context io;
  tcp::socket socket(io);
  socket.connect(router);
  std::string bytes;
  resp::encode_command({"HELLO", "3"}, bytes);
  int sent = 0;
  for (; sent < 200; ++sent) {
    const std::string key = "sheet-" + std::to_string(sent % 40), value = "drawing " + std::to_string(sent);
    if (sent % 10 == 0)
      resp::encode_command({"SET", key, value}, bytes);
    else
      resp::encode_command({"GET", key}, bytes);
  }
  asio::write(socket, asio::buffer(bytes));
  resp::Decoder decoder;
  std::array<char, 4096> chunk{};
  for (int replies = -1; replies < sent;) {  // the reply to HELLO comes first
    const std::size_t got = socket.read_some(asio::buffer(chunk));
    std::string_view part(chunk.data(), got);
    while (!part.empty() && !decoder.failed()) {
      part.remove_prefix(decoder.put(part));
      if (!decoder.done()) continue;
      const resp::Value reply = decoder.take();
      if (replies++ < 0) continue;
      ++(!reply.is_error() ? out.served : reply.text.rfind("TRYAGAIN", 0) == 0 ? out.refused : out.failed);
    }
    if (decoder.failed()) throw std::runtime_error("invalid reply: " + decoder.error());
  }
  return out;
}

bool is_free(unsigned short port) {
  asio::io_context io;
  boost::system::error_code error;
  tcp::acceptor probe(io);
  probe.open(tcp::v4());
  probe.set_option(asio::socket_base::reuse_address(true), error);
  probe.bind({asio::ip::make_address("127.0.0.1"), port}, error);
  return !error;
}

}  // namespace

int main(int argc, char** argv) {
  bool once = false;
  unsigned short http_port = 3000, resp_port = 6380;
  std::string router = "build-demo/streampick_router", log = "build-demo/demo-router.log";
  CLI::App app("Runs the router between stand-in servers on loopback.", "demo");
  app.add_flag("--once", once, "exit after the requests");
  app.add_option("--http", http_port, "the router's port for HTTP");
  app.add_option("--resp", resp_port, "the router's port for RESP");
  app.add_option("--router", router, "path of the router's executable");
  app.add_option("--log", log, "file for the router's log");
  CLI11_PARSE(app, argc, argv);
  for (const unsigned short port : {http_port, resp_port})
    if (!is_free(port)) {
      std::cerr << "demo: port " << port << " is in use; choose others with --http and --resp\n";
      return 1;
    }
  ::signal(SIGPIPE, SIG_IGN);
  try {
    asio::io_context io(1);
    standin::RespCache one(io), two(io), three(io), origin(io);
    for (int i = 0; i < 40; ++i) origin.values["sheet-" + std::to_string(i)] = "tile " + std::to_string(i);
    const std::vector<standin::PlatformMember> members = {{"cache-1", one.address()},
                                                          {"cache-2", two.address()},
                                                          {"cache-3", three.address()},
                                                          {"scan-store", origin.address(), true}};
    standin::StaticDiscovery discovery(io, members);
    const std::string host = "127.0.0.1:";
    standin::RouterProcess process(
        router, standin::router_config(host + std::to_string(http_port), discovery.address(), members, 256),
        "[resp.front]\nlisten = \"" + host + std::to_string(resp_port) +
            "\"\nread_class = \"tile-read\"\nwrite_class = \"annotation-save\"\n"
            "[resp.servers]\nsend_ids = true\nstore_ms = 60000\n",
        log);
    asio::signal_set stop(io, SIGINT, SIGTERM);
    stop.async_wait([&](boost::system::error_code error, int) {
      if (!error) io.stop();
    });
    std::string problem;
    std::thread traffic([&] {
      try {
        const auto address = asio::ip::make_address("127.0.0.1");
        boost::system::error_code error;
        for (int tries = 0; tries < 100; ++tries) {
          asio::io_context own;
          tcp::socket probe(own);
          probe.connect({address, resp_port}, error);
          if (!error) break;
          std::this_thread::sleep_for(std::chrono::milliseconds(50));
        }
        if (error) throw std::runtime_error("the router did not accept connections within 5 s");
        std::cout << "200 requests each over HTTP and RESP:\n";
        print("HTTP", over_http({address, http_port}));
        print("RESP", over_resp({address, resp_port}));
        if (!once)
          std::cout << "HTTP at 127.0.0.1:" << http_port << ", RESP at 127.0.0.1:" << resp_port
                    << " (redis-cli -p " << resp_port << "). Press Ctrl-C to stop.\n"
                    << std::flush;
      } catch (const std::exception& wrong) {
        problem = wrong.what();
      }
      if (once || !problem.empty()) asio::post(io, [&io] { io.stop(); });
    });
    io.run();
    traffic.join();
    std::cout << "  values stored in the caches after a miss: " << one.stores + two.stores + three.stores
              << "\n";
    const int code = process.stop();
    std::cout << "  the router's log: " << log << '\n';
    if (!problem.empty()) throw std::runtime_error(problem);
    return code;
  } catch (const std::exception& wrong) {
    std::cerr << "demo: " << wrong.what() << '\n';
    return 1;
  }
}
