// A library for LD_PRELOAD that counts a program's system calls on sockets, allocations and copies. The
// counters are not synchronized, so the program must have one thread. Calls that libc makes internally are
// not counted.
#include <dlfcn.h>
#include <fcntl.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/timerfd.h>
#include <sys/uio.h>
#include <unistd.h>

#include <cstdarg>
#include <cstdlib>
#include <cstring>

#include "counters.h"

extern "C" void* __libc_malloc(std::size_t);
extern "C" void* __libc_calloc(std::size_t, std::size_t);
extern "C" void* __libc_realloc(void*, std::size_t);
extern "C" void* __libc_memalign(std::size_t, std::size_t);
extern "C" void* __memcpy_chk(void*, const void*, std::size_t, std::size_t);
extern "C" void* __memmove_chk(void*, const void*, std::size_t, std::size_t);

namespace {

using streampick::bench::Call;
using streampick::bench::Counters;

Counters unmapped_counters;
Counters* counters = &unmapped_counters;

__attribute__((constructor)) void map_counters() {
  const char* path = std::getenv("STREAMPICK_COUNTERS");
  if (path == nullptr) return;
  const int file = ::open(path, O_RDWR);
  if (file < 0) return;
  void* address = ::mmap(nullptr, sizeof(Counters), PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
  ::close(file);
  if (address != MAP_FAILED) counters = static_cast<Counters*>(address);
}

void count(Call call) { ++counters->calls[static_cast<std::size_t>(call)]; }
ssize_t received(ssize_t result, bool peek = false) {
  count(peek ? Call::peek : Call::receive);
  if (result <= 0 && !peek) count(Call::receive_none);
  if (result > 0 && !peek) counters->received_bytes += static_cast<std::uint64_t>(result);
  return result;
}
ssize_t sent(ssize_t result) {
  count(Call::send);
  if (result > 0) counters->sent_bytes += static_cast<std::uint64_t>(result);
  return result;
}
void* allocated(void* address, std::size_t bytes) {
  ++counters->allocations;
  counters->allocated_bytes += bytes;
  return address;
}

// The definition of a function that the shim's own definition overrides.
template <typename Function>
Function* next(Function*& cached, const char* name) {
  if (cached == nullptr) cached = reinterpret_cast<Function*>(::dlsym(RTLD_NEXT, name));
  return cached;
}

}  // namespace

#define NEXT(name)                                \
  static decltype(name)* cached_##name = nullptr; \
  next(cached_##name, #name)

extern "C" {

int epoll_wait(int fd, epoll_event* events, int capacity, int timeout_ms) {
  count(Call::epoll_wait);
  NEXT(epoll_wait);
  return cached_epoll_wait(fd, events, capacity, timeout_ms);
}
int epoll_ctl(int fd, int operation, int target, epoll_event* event) noexcept {
  count(Call::epoll_ctl);
  NEXT(epoll_ctl);
  return cached_epoll_ctl(fd, operation, target, event);
}
ssize_t recv(int fd, void* to, std::size_t capacity, int flags) {
  NEXT(recv);
  return received(cached_recv(fd, to, capacity, flags), (flags & MSG_PEEK) != 0);
}
ssize_t recvfrom(int fd, void* to, std::size_t capacity, int flags, sockaddr* from, socklen_t* length) {
  NEXT(recvfrom);
  return received(cached_recvfrom(fd, to, capacity, flags, from, length), (flags & MSG_PEEK) != 0);
}
ssize_t recvmsg(int fd, msghdr* message, int flags) {
  NEXT(recvmsg);
  return received(cached_recvmsg(fd, message, flags), (flags & MSG_PEEK) != 0);
}
ssize_t read(int fd, void* to, std::size_t capacity) {
  NEXT(read);
  return received(cached_read(fd, to, capacity));
}
ssize_t readv(int fd, const iovec* buffers, int element_count) {
  NEXT(readv);
  return received(cached_readv(fd, buffers, element_count));
}
ssize_t send(int fd, const void* from, std::size_t length, int flags) {
  NEXT(send);
  return sent(cached_send(fd, from, length, flags));
}
ssize_t sendto(int fd, const void* from, std::size_t length, int flags, const sockaddr* to, socklen_t size) {
  NEXT(sendto);
  return sent(cached_sendto(fd, from, length, flags, to, size));
}
ssize_t sendmsg(int fd, const msghdr* message, int flags) {
  NEXT(sendmsg);
  return sent(cached_sendmsg(fd, message, flags));
}
ssize_t write(int fd, const void* from, std::size_t length) {
  NEXT(write);
  return sent(cached_write(fd, from, length));
}
ssize_t writev(int fd, const iovec* buffers, int element_count) {
  NEXT(writev);
  return sent(cached_writev(fd, buffers, element_count));
}
int accept(int fd, sockaddr* from, socklen_t* length) {
  count(Call::accept);
  NEXT(accept);
  return cached_accept(fd, from, length);
}
int accept4(int fd, sockaddr* from, socklen_t* length, int flags) {
  count(Call::accept);
  NEXT(accept4);
  return cached_accept4(fd, from, length, flags);
}
int connect(int fd, const sockaddr* to, socklen_t length) {
  count(Call::connect);
  NEXT(connect);
  return cached_connect(fd, to, length);
}
int close(int fd) {
  count(Call::close);
  NEXT(close);
  return cached_close(fd);
}
int setsockopt(int fd, int level, int name, const void* value, socklen_t length) noexcept {
  count(Call::socket_option);
  NEXT(setsockopt);
  return cached_setsockopt(fd, level, name, value, length);
}
int getsockopt(int fd, int level, int name, void* value, socklen_t* length) noexcept {
  count(Call::socket_option);
  NEXT(getsockopt);
  return cached_getsockopt(fd, level, name, value, length);
}
int shutdown(int fd, int how) noexcept {
  count(Call::socket_option);
  NEXT(shutdown);
  return cached_shutdown(fd, how);
}
int ioctl(int fd, unsigned long request, ...) noexcept {
  va_list more;
  va_start(more, request);
  void* argument = va_arg(more, void*);
  va_end(more);
  count(Call::socket_option);
  static int (*following)(int, unsigned long, ...) = nullptr;
  return next(following, "ioctl")(fd, request, argument);
}
int timerfd_settime(int fd, int flags, const itimerspec* new_value, itimerspec* old_value) noexcept {
  count(Call::timer_set);
  NEXT(timerfd_settime);
  return cached_timerfd_settime(fd, flags, new_value, old_value);
}

void* malloc(std::size_t bytes) { return allocated(__libc_malloc(bytes), bytes); }
void* calloc(std::size_t element_count, std::size_t bytes) {
  return allocated(__libc_calloc(element_count, bytes), element_count * bytes);
}
void* realloc(void* address, std::size_t bytes) { return allocated(__libc_realloc(address, bytes), bytes); }
void* aligned_alloc(std::size_t alignment, std::size_t bytes) {
  return allocated(__libc_memalign(alignment, bytes), bytes);
}

// Calls libc's checked variants, which the shim does not override.
void* memcpy(void* to, const void* from, std::size_t bytes) {
  counters->copied_bytes += bytes;
  return __memcpy_chk(to, from, bytes, SIZE_MAX);
}
void* memmove(void* to, const void* from, std::size_t bytes) {
  counters->copied_bytes += bytes;
  return __memmove_chk(to, from, bytes, SIZE_MAX);
}
}
