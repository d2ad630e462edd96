// Some answers of the cache servers are spoilt: their length does not fit, Content-Length is less than the
// body that stands behind the head. The client must get the answer that was made for its request, or an
// error.
#include "stage.h"

using namespace stage;

namespace {

constexpr int kReads = 200;
constexpr int kSpoiltOneIn = 5;

std::string value_of(const std::string& target) {
  return "the value of " + target + ", whole to the last byte.";
}

int play(Case& setup) {
  Record& record = *setup.record;
  std::atomic<int> answers{0};
  std::atomic<int> spoilt{0};
  const auto serve = [&](const char* id) {
    return answer_each([&, id](const Message& request) {
      const std::string target = request.word(1);
      const std::string body = value_of(target);
      if (!setup.trouble || ++answers % kSpoiltOneIn != 0) {
        record.line("%s: answers %s with %zu bytes", id, request.header("x-txn").c_str(), body.size());
        return ok(body);
      }
      ++spoilt;
      const std::size_t told = body.size() / 2;
      record.line("%s: answers %s with %zu bytes, Content-Length %zu: spoilt", id,
                  request.header("x-txn").c_str(), body.size(), told);
      return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(told) + "\r\n\r\n" + body;
    });
  };
  Server first(serve("s-1"));
  Server second(serve("s-2"));
  Server origin(serve("s-origin"));
  Discovery discovery(
      record, {{"s-1", first.address()}, {"s-2", second.address()}, {"s-origin", origin.address(), true}});
  Router router(setup, "n1", discovery, {}, free_port());
  if (!router.wait_until_ready(30)) return kCouldNotRun;

  int served = 0;
  int wrong = 0;
  std::mt19937_64 keys{3};
  for (int i = 0; i < kReads; ++i) {
    Request request;
    char key[32];
    std::snprintf(key, sizeof key, "%016llx", static_cast<unsigned long long>(keys()));
    request.key = key;
    const Answer answer = ask(router.port(), request, 4);
    const bool is_wrong = answer.is_served() && answer.body != value_of("/tile-read/" + request.key);
    record.line("client: %s -> %d, %zu bytes, %s%s", request.id.c_str(), answer.status, answer.body.size(),
                name_of(answer.end), is_wrong ? ": WRONG DATA" : "");
    served += answer.is_served() ? 1 : 0;
    wrong += is_wrong ? 1 : 0;
    sleep_for(0.01);
  }
  record.line("%d reads, %d served, %d of them with a body that no cache server made; %d answers were spoilt",
              kReads, served, wrong, spoilt.load());
  if (router.ended() || served < kReads / 2 || (setup.trouble && spoilt == 0)) return kCouldNotRun;
  return wrong > 0 ? kBroken : kHeld;
}

}  // namespace

int main(int argc, char** argv) { return main_of(argc, argv, play); }
