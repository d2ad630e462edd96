// Cache servers and an origin that behave as sound ones do, and the deployment of the cases.
#pragma once

#include <random>

#include "standin.h"

namespace review {

/// What a server made for one request: the text names the request, so that a client can tell its own answer.
inline std::string value_for(const Head& head) { return "value for " + head.field("x-txn"); }

inline std::string ok_answer(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Serves one connection: each whole request takes `work` seconds and is answered 200.
inline void serve_soundly(int fd, const std::string& name, Record& record, double work) {
  Reader reader(fd);
  Head head;
  std::string body;
  while (reader.head(head) == Reader::End::whole && reader.body(head, false, body) == Reader::End::whole) {
    pause_for(work);
    record.line("%s ran %s (%s)", name.c_str(), head.field("x-txn").c_str(), head.first_line.c_str());
    if (!write_all(fd, ok_answer(value_for(head)))) return;
  }
}

inline const char* zone_of(int number) {
  static const char* const zones[] = {"cyberjaya", "bangsar", "shah-alam"};
  return zones[number % 3];
}

struct Sent {
  std::string id;
  std::string text;
};

inline Sent read_request(const std::string& key, double remaining) {
  Sent sent{new_id(), {}};
  char seconds[32];
  std::snprintf(seconds, sizeof seconds, "%.3f", remaining);
  sent.text = "GET /tile-read/" + key + " HTTP/1.1\r\nHost: app.svc\r\nX-Txn: " + sent.id +
              "\r\nX-Lane: tile-read\r\nX-Remaining: " + seconds + "\r\n\r\n";
  return sent;
}

/// The head of a save; its body follows. `framing`: the header of the body's length.
inline Sent save_head(const std::string& key, double remaining, const std::string& framing) {
  Sent sent{new_id(), {}};
  char seconds[32];
  std::snprintf(seconds, sizeof seconds, "%.3f", remaining);
  sent.text = "PUT /annotation-save/" + key + " HTTP/1.1\r\nHost: app.svc\r\nX-Txn: " + sent.id +
              "\r\nX-Lane: annotation-save\r\nX-Remaining: " + seconds + "\r\nIdempotency-Key: save-" +
              sent.id + "\r\n" + framing + "\r\n\r\n";
  return sent;
}

inline std::string key_text(unsigned number) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx",
                static_cast<unsigned long long>(number) * 0x9e3779b97f4a7c15ULL);
  return text;
}

}  // namespace review
