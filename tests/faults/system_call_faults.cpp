/// A library for LD_PRELOAD: makes system calls of a program fail with errors that Linux documents, and steps
/// the program's wall clock. Environment variables:
///
///   STREAMPICK_FAULTS       the calls that fail, as in "accept/10 connect/200:ENOBUFS+EMFILE socket/1x3":
///                           the call's name (fault_counts.h), "/" and N if one of N calls fails, "x" and the
///                           maximum number of failures, ":" and the errors. The error "short" transfers
///                           only a part of the bytes.
///   STREAMPICK_FAULTS_SEED  selects which calls fail: for each seed the same n-th calls of a kind.
///   STREAMPICK_FAULTS_FILE  a file that holds FaultCounts; without it calls fail from the start.
///   STREAMPICK_CLOCK_STEPS  "300:3600,900:-7": 300 ms after the start the wall clock is set forward by
///                           3600 s, and 900 ms after the start it is set back by 7 s.
#include <dlfcn.h>
#include <fcntl.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <ctime>

#include "fault_counts.h"

namespace {

using streampick::faults::Call;
using streampick::faults::FaultCounts;
using streampick::faults::kCallNames;
using streampick::faults::kCalls;

/// Stands for an error number: the call transfers only a part of the bytes.
constexpr int kShort = -1;
constexpr std::size_t kMaxErrors = 8, kMaxSteps = 4, kMaxDescriptors = 65'536;
constexpr int kMaxParts = 64;

struct ErrorName {
  const char* name;
  int number;
};
constexpr ErrorName kErrorNames[] = {{"short", kShort},
                                     {"EACCES", EACCES},
                                     {"EADDRINUSE", EADDRINUSE},
                                     {"EADDRNOTAVAIL", EADDRNOTAVAIL},
                                     {"EAGAIN", EAGAIN},
                                     {"ECONNABORTED", ECONNABORTED},
                                     {"ECONNREFUSED", ECONNREFUSED},
                                     {"ECONNRESET", ECONNRESET},
                                     {"EHOSTUNREACH", EHOSTUNREACH},
                                     {"EINTR", EINTR},
                                     {"EMFILE", EMFILE},
                                     {"ENETUNREACH", ENETUNREACH},
                                     {"ENFILE", ENFILE},
                                     {"ENOBUFS", ENOBUFS},
                                     {"ENOMEM", ENOMEM},
                                     {"ENOSPC", ENOSPC},
                                     {"EPERM", EPERM},
                                     {"EPROTO", EPROTO},
                                     {"ETIMEDOUT", ETIMEDOUT}};

/// The errors of each call, indexed by Call, if the plan names none.
constexpr std::array<const char*, kCalls> kDefaultErrors = {
    "EMFILE+ENFILE+ENOBUFS+ENOMEM",
    "EAGAIN+ENOBUFS+ENOMEM",
    "ENOBUFS+ENOMEM",
    "EADDRNOTAVAIL+ENETUNREACH+ENOBUFS+EAGAIN+ENOMEM",
    "ECONNABORTED+EMFILE+ENFILE+ENOBUFS+ENOMEM+EPROTO+EINTR",
    "ENOMEM+ENOSPC",
    "EINTR",
    "EMFILE+ENFILE+ENOMEM",
    "short",
    "short",
    "short",
    "short",
    "ECONNREFUSED+EHOSTUNREACH+ENOMEM+EINTR",
    "EAGAIN+ENOBUFS+EPERM+ENETUNREACH+EINTR"};

/// How a call fails.
struct CallPlan {
  std::uint64_t one_in = 0;  // 0: never
  std::uint64_t max_faults = UINT64_MAX;
  std::array<int, kMaxErrors> errors{};
  std::size_t error_count = 0;
};

struct ClockStep {
  std::int64_t after_ns = 0;
  std::int64_t by_seconds = 0;
};

/// The kind of socket of a descriptor.
enum class Side : unsigned char { none, client, server, peer };

FaultCounts own_counts{};
FaultCounts* counts = &own_counts;
std::array<CallPlan, kCalls> plans;
std::array<ClockStep, kMaxSteps> steps;
std::size_t step_count = 0;
std::int64_t started_ns = 0;
std::uint64_t seed = 0;
std::array<std::atomic<Side>, kMaxDescriptors> sides;

/// Returns the definition that the library's function of this name overrides.
template <typename Function>
Function* next(Function*& cached, const char* name) {
  if (cached == nullptr) cached = reinterpret_cast<Function*>(::dlsym(RTLD_NEXT, name));
  return cached;
}

#define NEXT(name)                                \
  static decltype(name)* cached_##name = nullptr; \
  next(cached_##name, #name)

[[noreturn]] void refuse(const char* variable, const char* text) {
  std::fprintf(stderr, "%s: can't be read from '%s' on\n", variable, text);
  std::abort();
}

const char* read_errors(const char* text, CallPlan& plan) {
  plan.error_count = 0;
  for (;;) {
    const std::size_t length = std::strcspn(text, "+ ");
    const auto* found =
        std::find_if(std::begin(kErrorNames), std::end(kErrorNames), [&](const ErrorName& one) {
          return std::strlen(one.name) == length && std::strncmp(one.name, text, length) == 0;
        });
    if (found == std::end(kErrorNames) || plan.error_count == kMaxErrors) refuse("STREAMPICK_FAULTS", text);
    plan.errors[plan.error_count++] = found->number;
    text += length;
    if (*text != '+') return text;
    ++text;
  }
}

const char* read_plan(const char* text) {
  const std::size_t length = std::strcspn(text, "/");
  const auto* found = std::find_if(kCallNames.begin(), kCallNames.end(), [&](const char* name) {
    return std::strlen(name) == length && std::strncmp(name, text, length) == 0;
  });
  if (found == kCallNames.end()) refuse("STREAMPICK_FAULTS", text);
  const auto call = static_cast<std::size_t>(found - kCallNames.begin());
  CallPlan& plan = plans[call];
  char* end = nullptr;
  plan.one_in = std::strtoull(text + length + 1, &end, 10);
  if (*end == 'x') plan.max_faults = std::strtoull(end + 1, &end, 10);
  read_errors(kDefaultErrors[call], plan);
  if (*end == ':') return read_errors(end + 1, plan);
  return end;
}

void read_plans(const char* text) {
  while (*text != '\0') {
    if (*text == ' ') {
      ++text;
    } else {
      text = read_plan(text);
    }
  }
}

void read_steps(const char* text) {
  constexpr std::int64_t kNsPerMs = 1'000'000;
  while (*text != '\0' && step_count < kMaxSteps) {
    char* end = nullptr;
    ClockStep& step = steps[step_count++];
    step.after_ns = std::strtoll(text, &end, 10) * kNsPerMs;
    if (*end != ':') refuse("STREAMPICK_CLOCK_STEPS", text);
    step.by_seconds = std::strtoll(end + 1, &end, 10);
    text = *end == ',' ? end + 1 : end;
  }
}

void map_counts(const char* path) {
  const int file = ::open(path, O_RDWR | O_CLOEXEC);
  if (file < 0) refuse("STREAMPICK_FAULTS_FILE", path);
  void* at = ::mmap(nullptr, sizeof(FaultCounts), PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
  ::close(file);
  if (at == MAP_FAILED) refuse("STREAMPICK_FAULTS_FILE", path);
  counts = static_cast<FaultCounts*>(at);
}

std::int64_t steady_ns() {
  NEXT(clock_gettime);
  timespec now{};
  cached_clock_gettime(CLOCK_MONOTONIC, &now);
  return now.tv_sec * 1'000'000'000LL + now.tv_nsec;
}

/// Returns the seconds by which the wall clock is now set forward.
std::int64_t wall_clock_ahead() {
  if (step_count == 0) return 0;
  const std::int64_t age = steady_ns() - started_ns;
  std::int64_t ahead = 0;
  for (std::size_t i = 0; i < step_count; ++i)
    if (age >= steps[i].after_ns) ahead += steps[i].by_seconds;
  return ahead;
}

__attribute__((constructor)) void begin() {
  own_counts.armed = 1;
  started_ns = steady_ns();
  if (const char* text = std::getenv("STREAMPICK_FAULTS_SEED")) seed = std::strtoull(text, nullptr, 10);
  if (const char* text = std::getenv("STREAMPICK_FAULTS")) read_plans(text);
  if (const char* text = std::getenv("STREAMPICK_CLOCK_STEPS")) read_steps(text);
  if (const char* path = std::getenv("STREAMPICK_FAULTS_FILE")) map_counts(path);
}

/// SplitMix64.
std::uint64_t mix(std::uint64_t value) {
  value += 0x9e3779b97f4a7c15ULL;
  value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31U);
}

/// Counts the call. Returns the error that it must fail with, or 0.
int next_fault(Call call) {
  const auto index = static_cast<std::size_t>(call);
  const std::uint64_t number = ++counts->calls[index];
  const CallPlan& plan = plans[index];
  if (plan.one_in == 0 || counts->armed == 0) return 0;
  const std::uint64_t draw = mix(mix(seed ^ (static_cast<std::uint64_t>(index) << 56U)) ^ number);
  if (draw % plan.one_in != 0 || counts->faults[index] >= plan.max_faults) return 0;
  ++counts->faults[index];
  return plan.errors[mix(draw) % plan.error_count];
}

/// Whether the call must fail; sets `errno` if so.
bool fails(Call call) {
  const int error = next_fault(call);
  if (error == 0) return false;
  errno = error;
  return true;
}

void set_side(int fd, Side side) {
  if (fd >= 0 && static_cast<std::size_t>(fd) < kMaxDescriptors) sides[static_cast<std::size_t>(fd)] = side;
}
Side side_of(int fd) {
  if (fd < 0 || static_cast<std::size_t>(fd) >= kMaxDescriptors) return Side::none;
  return sides[static_cast<std::size_t>(fd)];
}

/// What a send or receive must do.
struct Transfer {
  bool failed = false;
  std::size_t bytes = 0;  // number of the requested bytes to transfer
};

Transfer begin_transfer(Call call, std::size_t bytes) {
  const int error = next_fault(call);
  if (error == 0) return {false, bytes};
  if (error == kShort) return {false, bytes < 2 ? bytes : 1 + mix(bytes ^ counts->calls[0]) % (bytes - 1)};
  errno = error;
  return {true, 0};
}

Transfer begin_receive(int fd, std::size_t bytes, int flags) {
  if ((flags & MSG_PEEK) != 0) return {false, bytes};
  switch (side_of(fd)) {
    case Side::none: return {false, bytes};
    case Side::client: return begin_transfer(Call::client_receive, bytes);
    case Side::server: return begin_transfer(Call::server_receive, bytes);
    case Side::peer: return begin_transfer(Call::peer_receive, bytes);
  }
  return {false, bytes};
}

Transfer begin_send(int fd, std::size_t bytes) {
  switch (side_of(fd)) {
    case Side::none: return {false, bytes};
    case Side::client: return begin_transfer(Call::client_send, bytes);
    case Side::server: return begin_transfer(Call::server_send, bytes);
    case Side::peer: return begin_transfer(Call::peer_send, bytes);
  }
  return {false, bytes};
}

/// A copy of a message whose buffers are shortened to `bytes` in total.
class CutMessage {
 public:
  CutMessage(const msghdr& whole, std::size_t bytes) : message_(whole) {
    const int count = std::min<int>(static_cast<int>(whole.msg_iovlen), kMaxParts);
    for (int i = 0; i < count; ++i) {
      parts_[i] = whole.msg_iov[i];
      parts_[i].iov_len = std::min(parts_[i].iov_len, bytes);
      bytes -= parts_[i].iov_len;
    }
    message_.msg_iov = parts_;
    message_.msg_iovlen = static_cast<std::size_t>(count);
  }
  msghdr* get() { return &message_; }

 private:
  msghdr message_;
  iovec parts_[kMaxParts];
};

std::size_t bytes_of(const msghdr& message) {
  std::size_t bytes = 0;
  for (std::size_t i = 0; i < message.msg_iovlen; ++i) bytes += message.msg_iov[i].iov_len;
  return bytes;
}

/// Whether accept() returns this error because the connection in the queue has failed. The kernel removes
/// that connection from the queue.
bool takes_connection(int error) {
  return error == ECONNABORTED || error == EPROTO || error == ENETUNREACH || error == EHOSTUNREACH;
}

/// Makes accept() fail with `error`; `accept_one` calls the real function.
template <typename Accept>
int fail_accept(int error, Accept accept_one) {
  if (takes_connection(error)) {
    const int failed = accept_one();
    if (failed < 0) return -1;  // the queue is empty
    ::close(failed);
  }
  errno = error;
  return -1;
}

bool is_socket(int fd) {
  int type = 0;
  socklen_t size = sizeof type;
  const int before = errno;
  const bool out = ::getsockopt(fd, SOL_SOCKET, SO_TYPE, &type, &size) == 0;
  errno = before;
  return out;
}

}  // namespace

extern "C" {

int socket(int domain, int type, int protocol) noexcept {
  NEXT(socket);
  if (fails(Call::socket)) return -1;
  const int fd = cached_socket(domain, type, protocol);
  set_side(fd, (type & SOCK_DGRAM) != 0 ? Side::peer : Side::server);
  return fd;
}
int bind(int fd, const sockaddr* address, socklen_t length) noexcept {
  NEXT(bind);
  return fails(Call::bind) ? -1 : cached_bind(fd, address, length);
}
int listen(int fd, int backlog) noexcept {
  NEXT(listen);
  return fails(Call::listen) ? -1 : cached_listen(fd, backlog);
}
int connect(int fd, const sockaddr* address, socklen_t length) {
  NEXT(connect);
  return fails(Call::connect) ? -1 : cached_connect(fd, address, length);
}
int accept(int fd, sockaddr* address, socklen_t* length) {
  NEXT(accept);
  const auto accept_one = [&] { return cached_accept(fd, address, length); };
  if (const int error = next_fault(Call::accept); error != 0) return fail_accept(error, accept_one);
  const int out = accept_one();
  set_side(out, Side::client);
  return out;
}
int accept4(int fd, sockaddr* address, socklen_t* length, int flags) {
  NEXT(accept4);
  const auto accept_one = [&] { return cached_accept4(fd, address, length, flags); };
  if (const int error = next_fault(Call::accept); error != 0) return fail_accept(error, accept_one);
  const int out = accept_one();
  set_side(out, Side::client);
  return out;
}
int epoll_ctl(int fd, int operation, int of, epoll_event* event) noexcept {
  NEXT(epoll_ctl);
  if (operation == EPOLL_CTL_ADD && is_socket(of) && fails(Call::watch)) return -1;
  return cached_epoll_ctl(fd, operation, of, event);
}
int epoll_wait(int fd, epoll_event* events, int max_events, int timeout) {
  NEXT(epoll_wait);
  return fails(Call::wait) ? -1 : cached_epoll_wait(fd, events, max_events, timeout);
}
int epoll_create1(int flags) noexcept {
  NEXT(epoll_create1);
  return fails(Call::loop) ? -1 : cached_epoll_create1(flags);
}
int eventfd(unsigned initial, int flags) noexcept {
  NEXT(eventfd);
  return fails(Call::loop) ? -1 : cached_eventfd(initial, flags);
}
int pipe(int* ends) noexcept {
  NEXT(pipe);
  return fails(Call::loop) ? -1 : cached_pipe(ends);
}
ssize_t recv(int fd, void* to, std::size_t bytes, int flags) {
  NEXT(recv);
  const Transfer transfer = begin_receive(fd, bytes, flags);
  return transfer.failed ? -1 : cached_recv(fd, to, transfer.bytes, flags);
}
ssize_t recvfrom(int fd, void* to, std::size_t bytes, int flags, sockaddr* address, socklen_t* length) {
  NEXT(recvfrom);
  const Transfer transfer = begin_receive(fd, bytes, flags);
  return transfer.failed ? -1 : cached_recvfrom(fd, to, transfer.bytes, flags, address, length);
}
ssize_t recvmsg(int fd, msghdr* message, int flags) {
  NEXT(recvmsg);
  const std::size_t bytes = bytes_of(*message);
  const Transfer transfer = begin_receive(fd, bytes, flags);
  if (transfer.failed) return -1;
  if (transfer.bytes == bytes) return cached_recvmsg(fd, message, flags);
  CutMessage cut(*message, transfer.bytes);
  const ssize_t got = cached_recvmsg(fd, cut.get(), flags);
  message->msg_namelen = cut.get()->msg_namelen;
  message->msg_flags = cut.get()->msg_flags;
  return got;
}
ssize_t send(int fd, const void* from, std::size_t bytes, int flags) {
  NEXT(send);
  const Transfer transfer = begin_send(fd, bytes);
  return transfer.failed ? -1 : cached_send(fd, from, transfer.bytes, flags);
}
ssize_t sendto(int fd, const void* from, std::size_t bytes, int flags, const sockaddr* to, socklen_t length) {
  NEXT(sendto);
  const Transfer transfer = begin_send(fd, bytes);
  return transfer.failed ? -1 : cached_sendto(fd, from, transfer.bytes, flags, to, length);
}
ssize_t sendmsg(int fd, const msghdr* message, int flags) {
  NEXT(sendmsg);
  const std::size_t bytes = bytes_of(*message);
  const Transfer transfer = begin_send(fd, bytes);
  if (transfer.failed) return -1;
  if (transfer.bytes == bytes) return cached_sendmsg(fd, message, flags);
  CutMessage cut(*message, transfer.bytes);
  return cached_sendmsg(fd, cut.get(), flags);
}

int clock_gettime(clockid_t clock, timespec* out) noexcept {
  NEXT(clock_gettime);
  const int result = cached_clock_gettime(clock, out);
  const bool is_wall_clock = clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE;
  if (result == 0 && is_wall_clock) out->tv_sec += wall_clock_ahead();
  return result;
}
int gettimeofday(timeval* __restrict out, void* __restrict zone) noexcept {
  NEXT(gettimeofday);
  const int result = cached_gettimeofday(out, zone);
  if (result == 0) out->tv_sec += wall_clock_ahead();
  return result;
}
time_t time(time_t* out) noexcept {
  timespec now{};
  clock_gettime(CLOCK_REALTIME, &now);
  if (out != nullptr) *out = now.tv_sec;
  return now.tv_sec;
}
}
