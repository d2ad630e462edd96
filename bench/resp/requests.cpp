// Measures requests per CPU second of the router for GETs of 1 KB, with HTTP and RESP clients in front of
// HTTP and RESP caches, and the memory of a RESP connection.
//   bench_resp_requests --router build-full/streampick_router --requests 40000
#include <sys/resource.h>

#include <CLI/CLI.hpp>
#include <atomic>
#include <boost/asio.hpp>
#include <cstdio>
#include <iostream>
#include <thread>

#include "resp/decode.h"
#include "resp/encode.h"
#include "standin/http_cache.h"
#include "standin/platform.h"
#include "standin/resp_cache.h"

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using namespace streampick;

constexpr int kClients = 8, kKeys = 100;

std::string http_get(int i) {
  static std::atomic<std::uint64_t> id = 1;
  char text[256];
  std::snprintf(text, sizeof text,
                "GET /tile-read/sheet-%d HTTP/1.1\r\nHost: app.svc\r\nX-Txn: %016llx\r\nX-Lane: tile-read\r\n"
                "X-Remaining: 3.0\r\n\r\n",
                i % kKeys, static_cast<unsigned long long>(++id));
  return text;
}

// Runs one client with one request at a time. Returns the number of replies that hold a value.
int ask_http(tcp::socket& socket, int count) {
  int good = 0;
  std::string in;
  std::array<char, 16 * 1024> chunk{};
  for (int i = 0; i < count; ++i) {
    asio::write(socket, asio::buffer(http_get(i)));
    std::size_t head = std::string::npos, length = 0;
    while (head == std::string::npos || in.size() < head + 4 + length) {
      in.append(chunk.data(), socket.read_some(asio::buffer(chunk)));
      head = in.find("\r\n\r\n");
      if (head == std::string::npos) continue;
      const std::size_t at = in.find("Content-Length: ");
      length = at < head ? std::strtoul(in.c_str() + at + 16, nullptr, 10) : 0;
    }
    good += in.rfind("HTTP/1.1 200", 0) == 0 ? 1 : 0;
    in.erase(0, head + 4 + length);
  }
  return good;
}

int ask_resp(tcp::socket& socket, int count, int depth) {
  int good = 0, sent = 0, got = 0;
  static std::atomic<bool> error_printed = false;
  resp::Decoder decoder;
  std::array<char, 16 * 1024> chunk{};
  while (got < count) {
    std::string bytes;
    for (; sent < count && sent < got + depth; ++sent)
      resp::encode_command({"GET", "sheet-" + std::to_string(sent % kKeys)}, bytes);
    if (!bytes.empty()) asio::write(socket, asio::buffer(bytes));
    std::string_view part(chunk.data(), socket.read_some(asio::buffer(chunk)));
    while (!part.empty()) {
      part.remove_prefix(decoder.put(part));
      if (!decoder.done()) continue;
      const resp::Value reply = decoder.take();
      if (reply.is_error() && !error_printed.exchange(true)) std::cout << "(" << reply.text << ")\n";
      good += reply.type == resp::Type::blob ? 1 : 0;
      ++got;
    }
  }
  return good;
}

struct Result {
  double per_cpu_second = 0;
  double rate = 0;
};

}  // namespace

int main(int argc, char** argv) {
  std::string program = "build-full/streampick_router";
  int requests = 40'000;
  CLI::App app("Requests per CPU second of the router.");
  app.add_option("--router", program);
  app.add_option("--requests", requests);
  bool only_reference = false;
  app.add_flag("--only-reference", only_reference,
               "only HTTP clients with HTTP caches, for counting instructions");
  CLI11_PARSE(app, argc, argv);
  std::setbuf(stdout, nullptr);

  asio::io_context io(1);
  const auto guard = asio::make_work_guard(io);
  const std::string value(1024, 'x');
  standin::HttpCache http_cache(io, value), http_origin(io, value);
  standin::RespCache resp_cache(io), resp_origin(io);
  for (int i = 0; i < kKeys; ++i) resp_cache.values["sheet-" + std::to_string(i)] = value;
  std::thread serving([&] { io.run(); });

  const auto run = [&](bool resp_front, bool resp_servers, int depth) {
    const std::vector<standin::PlatformMember> members = {
        {"cache-1", resp_servers ? resp_cache.address() : http_cache.address()},
        {"origin", resp_servers ? resp_origin.address() : http_origin.address(), true}};
    asio::io_context own(1);
    const unsigned short http_port = standin::free_port(own), resp_port = standin::free_port(own);
    const std::string host = "127.0.0.1:";
    std::string options = "[resp.front]\nlisten = \"" + host + std::to_string(resp_port) +
                          "\"\nread_class = \"tile-read\"\nwrite_class = \"annotation-save\"\n";
    if (resp_servers) options += "[resp.servers]\nsend_ids = true\nconnections = 16\n";
    standin::RouterProcess router(
        program, standin::router_config(host + std::to_string(http_port), host + "1", members, 512), options,
        "/dev/null");
    std::vector<std::unique_ptr<tcp::socket>> sockets;
    for (int i = 0; i < kClients; ++i) {
      boost::system::error_code error = asio::error::not_connected;
      for (int tries = 0; tries < 200 && error; ++tries) {
        sockets.push_back(std::make_unique<tcp::socket>(own));
        sockets.back()->connect({asio::ip::make_address("127.0.0.1"), resp_front ? resp_port : http_port},
                                error);
        if (!error) break;
        sockets.pop_back();
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
      }
    }
    std::atomic<int> good = 0;
    const auto all = [&](int each) {
      std::vector<std::thread> clients;
      for (const auto& socket : sockets)
        clients.emplace_back(
            [&] { good += resp_front ? ask_resp(*socket, each, depth) : ask_http(*socket, each); });
      for (std::thread& client : clients) client.join();
    };
    all(requests / kClients / 10);  // warm-up of connections and caches
    good = 0;
    const double before = router.cpu_seconds();
    const auto begin = std::chrono::steady_clock::now();
    all(requests / kClients);
    const double took = std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
    const double cpu = router.cpu_seconds() - before;
    if (good != requests / kClients * kClients)
      std::cout << "(next line: " << good << " of " << requests << " requests were served)\n" << std::flush;
    return Result{requests / cpu, requests / took};
  };
  const Result reference = run(false, false, 1);
  if (only_reference) {
    std::printf("%.0f per CPU second\n", reference.per_cpu_second);
    io.stop();
    serving.join();
    return 0;
  }
  const auto print = [&](const char* name, const Result& result) {
    std::fflush(stdout);
    std::printf("%-44s %8.0f per CPU second  %8.0f per second  ratio %.2f\n", name, result.per_cpu_second,
                result.rate, result.per_cpu_second / reference.per_cpu_second);
  };
  print("HTTP front, HTTP caches (the reference)", reference);
  print("RESP front, HTTP caches, one at a time", run(true, false, 1));
  print("HTTP front, RESP caches, one at a time", run(false, true, 1));
  print("RESP front, RESP caches, one at a time", run(true, true, 1));
  print("RESP front, RESP caches, pipelines of 16", run(true, true, 16));

  // Memory of connections that sent one command and stay open.
  {
    const std::vector<standin::PlatformMember> members = {{"cache-1", resp_cache.address()},
                                                          {"origin", resp_origin.address(), true}};
    asio::io_context own(1);
    const unsigned short http_port = standin::free_port(own), resp_port = standin::free_port(own);
    const std::string host = "127.0.0.1:";
    standin::RouterProcess router(
        program, standin::router_config(host + std::to_string(http_port), host + "1", members, 2'100),
        "[resp.front]\nlisten = \"" + host + std::to_string(resp_port) +
            "\"\nread_class = \"tile-read\"\nwrite_class = \"annotation-save\"\nmost_clients = 1000\n"
            "[resp.servers]\nsend_ids = true\n",
        "/dev/null");
    std::vector<std::unique_ptr<tcp::socket>> sockets;
    long before = 0;
    for (int i = 0; i < 810; ++i) {
      if (i == 10) before = router.resident_kb();
      boost::system::error_code error = asio::error::not_connected;
      sockets.push_back(std::make_unique<tcp::socket>(own));
      for (int tries = 0; tries < 200 && error; ++tries) {
        sockets.back() = std::make_unique<tcp::socket>(own);
        sockets.back()->connect({asio::ip::make_address("127.0.0.1"), resp_port}, error);
        if (error) std::this_thread::sleep_for(std::chrono::milliseconds(20));
      }
      ask_resp(*sockets.back(), 1, 1);
    }
    std::printf("memory of a RESP connection that sent one command: %.2f KB (mean of 800)\n",
                static_cast<double>(router.resident_kb() - before) / 800);
  }
  io.stop();
  serving.join();
}
